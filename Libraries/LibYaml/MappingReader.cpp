#include <LibYaml/MappingReader.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>

namespace zinc {

namespace {

constexpr std::size_t kMaxNameLength = 64;
/// Longer values are cut in messages.
constexpr std::size_t kMaxQuotedLength = 40;

constexpr std::string_view kNameCharacters =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         aText.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

bool
IsAnyText(std::string_view aText)
{
  return !aText.empty();
}

template<typename T>
std::optional<T>
FromChars(std::string_view aText)
{
  T value{};
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || stop != end) {
    return {};
  }
  return value;
}

/// @return the text cut to a bounded length, for messages.
std::string
Shortened(std::string_view aText)
{
  if (aText.size() <= kMaxQuotedLength) {
    return std::string(aText);
  }
  return fmt::format("{}...", aText.substr(0, kMaxQuotedLength));
}

std::string
Describe(IntegerRange aRange)
{
  if (aRange.max == std::numeric_limits<std::int64_t>::max()) {
    return fmt::format("an integer from {} up", aRange.min);
  }
  return fmt::format("an integer from {} to {}", aRange.min, aRange.max);
}

std::string
Describe(NumberRange aRange)
{
  if (aRange.excludesMin) {
    return fmt::format("a number above {} and at most {}", aRange.min, aRange.max);
  }
  return fmt::format("a number from {} to {}", aRange.min, aRange.max);
}

bool
Contains(NumberRange aRange, double aValue)
{
  const bool aboveMin = aRange.excludesMin ? aValue > aRange.min : aValue >= aRange.min;
  return aboveMin && aValue <= aRange.max;
}

}

const TextRule kNameRule{ .holds = IsName,
                          .expected = "1 to 64 letters, digits, dots, underscores or hyphens" };

const TextRule kAnyTextRule{ .holds = IsAnyText, .expected = "a text" };

MappingReader::MappingReader(const YamlNode& aNode, std::string aPath, Faults& aFaults)
  : node(aNode)
  , path(std::move(aPath))
  , faults(aFaults)
{
  if (this->node.kind != YamlKind::Mapping) {
    AddFault(this->faults,
             { .line = this->node.line,
               .path = this->path,
               .message = "not a mapping",
               .expected = "a mapping of keys to values" });
  }
}

bool
MappingReader::Has(std::string_view aKey) const
{
  return this->node.kind == YamlKind::Mapping && this->node.Find(aKey) != nullptr;
}

bool
MappingReader::ReadText(std::string_view aKey,
                        Presence aPresence,
                        const TextRule& aRule,
                        std::string& aDestination)
{
  const YamlNode* const value = this->FindScalar(aKey, aPresence, aRule.expected);
  if (value == nullptr) {
    return false;
  }
  if (!aRule.holds(value->text)) {
    this->AddFaultAt(aKey,
                     fmt::format("{} cannot be \"{}\"", aKey, Shortened(value->text)),
                     std::string(aRule.expected));
    return false;
  }
  aDestination = value->text;
  return true;
}

bool
MappingReader::ReadMilliseconds(std::string_view aKey,
                                Presence aPresence,
                                IntegerRange aRange,
                                Milliseconds& aDestination)
{
  std::int64_t count = 0;
  const bool read = this->ReadInteger(aKey, aPresence, aRange, count);
  if (read) {
    aDestination = Milliseconds(count);
  }
  return read;
}

bool
MappingReader::ReadNumber(std::string_view aKey,
                          Presence aPresence,
                          NumberRange aRange,
                          double& aDestination)
{
  const std::string expected = Describe(aRange);
  const YamlNode* const value = this->FindScalar(aKey, aPresence, expected);
  if (value == nullptr) {
    return false;
  }
  const auto number = FromChars<double>(value->text);
  if (value->kind != YamlKind::Plain || !number || !std::isfinite(*number)) {
    this->AddFaultAt(aKey, fmt::format("{} is not a number", aKey), expected);
    return false;
  }
  if (!Contains(aRange, *number)) {
    this->AddFaultAt(aKey, fmt::format("{} {} is out of range", aKey, *number), expected);
    return false;
  }
  aDestination = *number;
  return true;
}

void
MappingReader::ReadMapping(std::string_view aKey,
                           Presence aPresence,
                           const std::function<void(MappingReader&)>& aRead)
{
  const YamlNode* const value = this->Find(aKey, aPresence);
  if (value == nullptr) {
    return;
  }
  MappingReader reader(*value, this->PathOf(aKey), this->faults);
  if (value->kind == YamlKind::Mapping) {
    aRead(reader);
    reader.RefuseUnknownKeys();
  }
}

void
MappingReader::ReadMappings(std::string_view aKey,
                            Presence aPresence,
                            const std::function<void(MappingReader&)>& aRead)
{
  const YamlNode* const value = this->FindSequence(aKey, aPresence, "a list of mappings");
  if (value == nullptr) {
    return;
  }
  for (std::size_t index = 0; index < value->children.size(); ++index) {
    const YamlNode& item = value->children.at(index);
    MappingReader reader(item, fmt::format("{}[{}]", this->PathOf(aKey), index), this->faults);
    if (item.kind == YamlKind::Mapping) {
      aRead(reader);
      reader.RefuseUnknownKeys();
    }
  }
}

void
MappingReader::ReadTexts(std::string_view aKey,
                         Presence aPresence,
                         const TextRule& aRule,
                         const std::function<void(std::string_view, int)>& aRead)
{
  const YamlNode* const value = this->FindSequence(aKey, aPresence, "a list of texts");
  if (value == nullptr) {
    return;
  }
  for (std::size_t index = 0; index < value->children.size(); ++index) {
    const YamlNode& item = value->children.at(index);
    if (item.IsScalar() && aRule.holds(item.text)) {
      aRead(item.text, item.line);
      continue;
    }
    AddFault(this->faults,
             { .line = item.line,
               .path = fmt::format("{}[{}]", this->PathOf(aKey), index),
               .message = fmt::format("\"{}\" is not allowed here", Shortened(item.text)),
               .expected = std::string(aRule.expected) });
  }
}

void
MappingReader::AddFaultAt(std::string_view aKey, std::string aMessage, std::string aExpected)
{
  const YamlNode* const value = this->node.Find(aKey);
  AddFault(this->faults,
           { .line = value == nullptr ? this->node.line : value->line,
             .path = this->PathOf(aKey),
             .message = std::move(aMessage),
             .expected = std::move(aExpected) });
}

void
MappingReader::RefuseUnknownKeys()
{
  for (const auto& child : this->node.children) {
    if (std::ranges::find(this->knownKeys, child.key) != this->knownKeys.end()) {
      continue;
    }
    AddFault(this->faults,
             { .line = child.line,
               .path = this->PathOf(Shortened(child.key)),
               .message = fmt::format("unknown key {}", Shortened(child.key)),
               .expected = fmt::format("one of {}", fmt::join(this->knownKeys, ", ")) });
  }
}

const YamlNode*
MappingReader::Find(std::string_view aKey, Presence aPresence)
{
  this->knownKeys.push_back(aKey);
  const YamlNode* const value = this->node.Find(aKey);
  if (value == nullptr && aPresence == Presence::Required) {
    this->AddFaultAt(aKey, fmt::format("{} is missing", aKey), fmt::format("a value for {}", aKey));
  }
  return value;
}

const YamlNode*
MappingReader::FindScalar(std::string_view aKey, Presence aPresence, std::string_view aExpected)
{
  const YamlNode* const value = this->Find(aKey, aPresence);
  if (value != nullptr && !value->IsScalar()) {
    this->AddFaultAt(aKey, fmt::format("{} is not a single value", aKey), std::string(aExpected));
    return nullptr;
  }
  return value;
}

const YamlNode*
MappingReader::FindSequence(std::string_view aKey, Presence aPresence, std::string_view aExpected)
{
  const YamlNode* const value = this->Find(aKey, aPresence);
  if (value != nullptr && value->kind != YamlKind::Sequence) {
    this->AddFaultAt(aKey, fmt::format("{} is not a list", aKey), std::string(aExpected));
    return nullptr;
  }
  return value;
}

std::optional<std::int64_t>
MappingReader::Integer64(std::string_view aKey, Presence aPresence, IntegerRange aRange)
{
  const std::string expected = Describe(aRange);
  const YamlNode* const value = this->FindScalar(aKey, aPresence, expected);
  if (value == nullptr) {
    return {};
  }
  const auto number = FromChars<std::int64_t>(value->text);
  if (value->kind != YamlKind::Plain || !number) {
    this->AddFaultAt(aKey, fmt::format("{} is not an integer", aKey), expected);
    return {};
  }
  if (*number < aRange.min || *number > aRange.max) {
    this->AddFaultAt(aKey, fmt::format("{} {} is out of range", aKey, *number), expected);
    return {};
  }
  return number;
}

std::optional<std::size_t>
MappingReader::ChoiceIndex(std::string_view aKey,
                           Presence aPresence,
                           std::span<const std::string_view> aNames)
{
  const std::string expected = fmt::format("one of {}", fmt::join(aNames, ", "));
  const YamlNode* const value = this->FindScalar(aKey, aPresence, expected);
  if (value == nullptr) {
    return {};
  }
  const auto found = std::ranges::find(aNames, value->text);
  if (found == aNames.end()) {
    this->AddFaultAt(
      aKey, fmt::format("{} cannot be \"{}\"", aKey, Shortened(value->text)), expected);
    return {};
  }
  return static_cast<std::size_t>(found - aNames.begin());
}

std::string
MappingReader::PathOf(std::string_view aKey) const
{
  return this->path.empty() ? std::string(aKey) : fmt::format("{}.{}", this->path, aKey);
}

}
