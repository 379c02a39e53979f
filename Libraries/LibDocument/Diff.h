#pragma once

/// @file
/// What one document changes in another.

#include <LibDocument/Document.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinc {

/// How a value differs.
enum class ChangeKind : std::uint8_t
{
  Added,
  Removed,
  Changed,
};

/// One difference: an item added or removed whole, or one field changed.
struct Change
{
  ChangeKind kind = ChangeKind::Changed;
  /// E.g. "teams/nights" or "teams/nights/share".
  std::string path;
  /// Value in YAML; empty for an added item.
  std::string before;
  /// Value in YAML; empty for a removed item.
  std::string after;

  friend bool operator==(const Change&, const Change&) = default;
};

/// @return the wire name: "added", "removed" or "changed".
[[nodiscard]] std::string_view
ToString(ChangeKind aKind);

/// @return the differences in the order of the sections; versions are not compared.
[[nodiscard]] std::vector<Change>
DiffDocuments(const Document& aBefore, const Document& aAfter);

}
