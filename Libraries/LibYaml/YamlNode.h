#pragma once

/// @file
/// A bounded YAML tree with line numbers.

#include <LibYaml/Fault.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinc {

/// What a node of the tree holds.
enum class YamlKind : std::uint8_t
{
  Null,
  /// Text without quotes, which may stand for a number or a flag.
  Plain,
  /// Text in quotes, never a number or a flag.
  Quoted,
  Sequence,
  Mapping,
};

/// One node; the children of a mapping carry their keys.
struct YamlNode
{
  YamlKind kind = YamlKind::Null;
  /// Counted from 1.
  int line = 0;
  /// Key in the mapping that holds the node; empty elsewhere.
  std::string key;
  /// Value of a scalar.
  std::string text;
  std::vector<YamlNode> children;

  [[nodiscard]] bool IsScalar() const
  {
    return this->kind == YamlKind::Plain || this->kind == YamlKind::Quoted;
  }

  /// @return the child with this key, if there is one.
  [[nodiscard]] const YamlNode* Find(std::string_view aKey) const;
  [[nodiscard]] YamlNode* Find(std::string_view aKey);
};

/// Bounds of what is read from outside.
struct YamlLimits
{
  std::size_t maxBytes = 1U << 20U;
  std::size_t maxDepth = 16;
  std::size_t maxNodes = 200'000;
};

/// Reads one YAML document. Anchors, aliases, tags, keys that are not text and duplicate keys are
/// refused.
/// @return the root, or every fault found.
[[nodiscard]] std::variant<YamlNode, Faults>
ParseYaml(std::string_view aText, const YamlLimits& aLimits = {});

}
