#pragma once

/// @file
/// Reads a file into memory.

#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace zinc {

/// @return the content of a file; empty if it cannot be opened.
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
