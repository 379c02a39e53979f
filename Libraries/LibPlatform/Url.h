#pragma once

/// @file
/// Query strings of request targets.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinc {

/// @return the text with every byte but letters, digits and "-._~" percent-encoded.
[[nodiscard]] std::string
PercentEncode(std::string_view aText);

/// @return the decoded text, or nothing if an escape is malformed.
[[nodiscard]] std::optional<std::string>
PercentDecode(std::string_view aText);

/// One "name=value" of a query, decoded.
struct QueryField
{
  std::string name;
  std::string value;
};

/// A request target taken apart.
struct Target
{
  /// Decoded path.
  std::string path;
  std::vector<QueryField> query;

  /// @return the value of the first field of this name.
  [[nodiscard]] std::optional<std::string> Query(std::string_view aName) const;
};

/// @return the target, or nothing if an escape is malformed.
[[nodiscard]] std::optional<Target>
ParseTarget(std::string_view aTarget);

}
