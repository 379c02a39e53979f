#include <LibPlatform/Url.h>

#include <algorithm>

namespace zinc {

namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";

bool
IsUnreserved(char aCharacter)
{
  const bool isLetter =
    (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z');
  const bool isDigit = aCharacter >= '0' && aCharacter <= '9';
  return isLetter || isDigit || std::string_view("-._~").find(aCharacter) != std::string_view::npos;
}

std::optional<unsigned>
HexValue(char aCharacter)
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  if (aCharacter >= 'A' && aCharacter <= 'F') {
    return aCharacter - 'A' + 10;
  }
  if (aCharacter >= 'a' && aCharacter <= 'f') {
    return aCharacter - 'a' + 10;
  }
  return {};
}

std::optional<QueryField>
ParseQueryField(std::string_view aField)
{
  const std::size_t equals = std::min(aField.find('='), aField.size());
  const auto name = PercentDecode(aField.substr(0, equals));
  const auto value = PercentDecode(aField.substr(std::min(equals + 1, aField.size())));
  if (!name || !value) {
    return {};
  }
  return QueryField{ .name = *name, .value = *value };
}

}

std::string
PercentEncode(std::string_view aText)
{
  std::string encoded;
  encoded.reserve(aText.size());
  for (const char character : aText) {
    if (IsUnreserved(character)) {
      encoded.push_back(character);
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte >> 4U]);
    encoded.push_back(kHexDigits[byte & 0xFU]);
  }
  return encoded;
}

std::optional<std::string>
PercentDecode(std::string_view aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] != '%') {
      decoded.push_back(aText[index]);
      continue;
    }
    if (index + 2 >= aText.size()) {
      return {};
    }
    const auto high = HexValue(aText[index + 1]);
    const auto low = HexValue(aText[index + 2]);
    if (!high || !low) {
      return {};
    }
    decoded.push_back(static_cast<char>(*high * 16 + *low));
    index += 2;
  }
  return decoded;
}

std::optional<std::string>
Target::Query(std::string_view aName) const
{
  for (const QueryField& field : this->query) {
    if (field.name == aName) {
      return field.value;
    }
  }
  return {};
}

std::optional<Target>
ParseTarget(std::string_view aTarget)
{
  const std::size_t mark = std::min(aTarget.find('?'), aTarget.size());
  const auto path = PercentDecode(aTarget.substr(0, mark));
  if (!path) {
    return {};
  }
  Target target{ .path = *path };
  std::string_view rest = aTarget.substr(std::min(mark + 1, aTarget.size()));
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const auto field = ParseQueryField(rest.substr(0, end));
    if (!field) {
      return {};
    }
    target.query.push_back(*field);
    rest = rest.substr(std::min(end + 1, rest.size()));
  }
  return target;
}

}
