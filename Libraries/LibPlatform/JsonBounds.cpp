#include <LibPlatform/JsonBounds.h>

#include <algorithm>

namespace zinc {

namespace {

/// Characters of the longest integer that 64 bits hold.
constexpr std::size_t kLongestInteger = 20;

/// @return true if the character ends a number, `true`, `false` or `null`
bool
IsDelimiter(char aCharacter)
{
  switch (aCharacter) {
    case ' ':
    case '\t':
    case '\n':
    case '\r':
    case ',':
    case ':':
    case '"':
    case '[':
    case ']':
    case '{':
    case '}':
      return true;
    default:
      return false;
  }
}

/// @param aBegin where the text begins, behind its quotation mark
/// @return the position behind the closing quotation mark, or the end of the JSON text
std::size_t
SkipText(std::string_view aText, std::size_t aBegin)
{
  for (auto position = aBegin; position < aText.size(); ++position) {
    if (aText[position] == '"') {
      return position + 1;
    }
    if (aText[position] == '\\') {
      ++position;
    }
  }
  return aText.size();
}

bool
IsFraction(std::string_view aWord)
{
  const bool isNumber = aWord.front() == '-' || (aWord.front() >= '0' && aWord.front() <= '9');
  return isNumber &&
         (aWord.size() > kLongestInteger || aWord.find_first_of(".eE") != std::string_view::npos);
}

}

bool
IsWithinBounds(std::string_view aText, const JsonBounds& aBounds)
{
  // Whatever is counted takes a byte.
  if (aText.size() <=
      std::min({ aBounds.values, aBounds.containers, aBounds.texts, aBounds.fractions })) {
    return true;
  }
  JsonBounds counted;
  std::size_t position = 0;
  while (position < aText.size()) {
    const char character = aText[position];
    if (character == '"') {
      position = SkipText(aText, position + 1);
      ++counted.texts;
    } else if (character == '[' || character == '{') {
      ++position;
      ++counted.containers;
    } else if (IsDelimiter(character)) {
      ++position;
      continue;
    } else {
      const auto* const begin = aText.begin() + position;
      const auto* const end = std::find_if(begin, aText.end(), &IsDelimiter);
      position += static_cast<std::size_t>(end - begin);
      counted.fractions += IsFraction({ begin, end }) ? 1 : 0;
    }
    ++counted.values;
    if (counted.values > aBounds.values || counted.containers > aBounds.containers ||
        counted.texts > aBounds.texts || counted.fractions > aBounds.fractions) {
      return false;
    }
  }
  return true;
}

}
