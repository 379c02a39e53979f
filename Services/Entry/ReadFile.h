#pragma once

/// @file
/// Reading a settings file.

#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace zinc {

/// @return the whole text of a file, or nothing if it cannot be read.
[[nodiscard]] inline std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return {};
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}
