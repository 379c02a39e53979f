#pragma once

/// @file
/// Checked access to the values of a YAML mapping.

#include <LibBase/Time.h>
#include <LibYaml/YamlNode.h>
#include <algorithm>
#include <array>
#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace zinc {

/// Whether a key has to be there.
enum class Presence : std::uint8_t
{
  Optional,
  Required,
};

/// Inclusive bounds of an integer.
struct IntegerRange
{
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

/// Bounds of a number; the upper one is inclusive.
struct NumberRange
{
  double min = 0.0;
  double max = 1.0;
  /// True if the lower bound itself is out of range.
  bool excludesMin = false;
};

/// A condition on text and its description.
struct TextRule
{
  bool (*holds)(std::string_view) = nullptr;
  std::string_view expected;
};

/// Names of things: 1 to 64 letters, digits, dots, underscores and hyphens.
extern const TextRule kNameRule;

/// Any text that is not empty.
extern const TextRule kAnyTextRule;

/// A wire name and the value that it stands for.
template<typename Enum>
struct NamedValue
{
  std::string_view name;
  Enum value;
};

/// Reads the values of one mapping. Every fault is appended to the list; a destination changes only
/// if its value is right.
class MappingReader
{
public:
  /// @param aNode has to outlive the reader; anything but a mapping is a fault.
  /// @param aPath place of the node, empty for the root.
  MappingReader(const YamlNode& aNode, std::string aPath, Faults& aFaults);

  [[nodiscard]] const std::string& Path() const { return this->path; }
  [[nodiscard]] int Line() const { return this->node.line; }
  [[nodiscard]] Faults& FaultList() { return this->faults; }
  [[nodiscard]] bool Has(std::string_view aKey) const;

  /// @return true if the value was right; also false if an optional one is absent.
  bool ReadText(std::string_view aKey,
                Presence aPresence,
                const TextRule& aRule,
                std::string& aDestination);

  template<std::integral Integer>
  requires(!std::same_as<Integer, bool>) bool ReadInteger(std::string_view aKey,
                                                          Presence aPresence,
                                                          IntegerRange aRange,
                                                          Integer& aDestination)
  {
    const auto value = this->Integer64(aKey, aPresence, aRange);
    if (value) {
      aDestination = static_cast<Integer>(*value);
    }
    return value.has_value();
  }

  bool ReadMilliseconds(std::string_view aKey,
                        Presence aPresence,
                        IntegerRange aRange,
                        Milliseconds& aDestination);
  bool ReadNumber(std::string_view aKey,
                  Presence aPresence,
                  NumberRange aRange,
                  double& aDestination);

  template<typename Enum, std::size_t Count>
  bool ReadChoice(std::string_view aKey,
                  Presence aPresence,
                  const std::array<NamedValue<Enum>, Count>& aChoices,
                  Enum& aDestination)
  {
    std::array<std::string_view, Count> names;
    std::ranges::transform(aChoices, names.begin(), &NamedValue<Enum>::name);
    const auto index = this->ChoiceIndex(aKey, aPresence, names);
    if (index) {
      aDestination = aChoices.at(*index).value;
    }
    return index.has_value();
  }

  /// Calls @p aRead for a value that is there.
  void ReadMapping(std::string_view aKey,
                   Presence aPresence,
                   const std::function<void(MappingReader&)>& aRead);

  /// Calls @p aRead for each item of a sequence of mappings.
  void ReadMappings(std::string_view aKey,
                    Presence aPresence,
                    const std::function<void(MappingReader&)>& aRead);

  /// Calls @p aRead for each item of a sequence of texts.
  void ReadTexts(std::string_view aKey,
                 Presence aPresence,
                 const TextRule& aRule,
                 const std::function<void(std::string_view, int aLine)>& aRead);

  /// Adds a fault at the value of a key, or at the mapping if it has none.
  void AddFaultAt(std::string_view aKey, std::string aMessage, std::string aExpected);

  /// Adds a fault for each key that was never asked for. Call it last.
  void RefuseUnknownKeys();

private:
  [[nodiscard]] const YamlNode* Find(std::string_view aKey, Presence aPresence);
  [[nodiscard]] const YamlNode* FindScalar(std::string_view aKey,
                                           Presence aPresence,
                                           std::string_view aExpected);
  [[nodiscard]] const YamlNode* FindSequence(std::string_view aKey,
                                             Presence aPresence,
                                             std::string_view aExpected);
  [[nodiscard]] std::optional<std::int64_t> Integer64(std::string_view aKey,
                                                      Presence aPresence,
                                                      IntegerRange aRange);
  [[nodiscard]] std::optional<std::size_t> ChoiceIndex(std::string_view aKey,
                                                       Presence aPresence,
                                                       std::span<const std::string_view> aNames);
  [[nodiscard]] std::string PathOf(std::string_view aKey) const;

  const YamlNode& node;
  std::string path;
  Faults& faults;
  std::vector<std::string_view> knownKeys;
};

}
