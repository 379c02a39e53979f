#pragma once

/// @file
/// The items of a document as named texts, from which both its YAML and its differences are made.

#include <LibDocument/Document.h>
#include <string>
#include <string_view>
#include <vector>

namespace zinc::detail {

/// One field of an item; its text is valid YAML on one line.
struct ItemField
{
  std::string_view name;
  std::string text;
};

using ItemFields = std::vector<ItemField>;

[[nodiscard]] ItemFields
FieldsOf(const Workspace& aWorkspace);
[[nodiscard]] ItemFields
FieldsOf(const Team& aTeam);
[[nodiscard]] ItemFields
FieldsOf(const Key& aKey);
[[nodiscard]] ItemFields
FieldsOf(const Queue& aQueue);
[[nodiscard]] ItemFields
FieldsOf(const PlacementPolicy& aPolicy);

}
