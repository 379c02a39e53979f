#include <LibPlatform/JsonBounds.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

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
IsNumber(std::string_view aWord)
{
  return aWord.front() == '-' || (aWord.front() >= '0' && aWord.front() <= '9');
}

bool
IsFraction(std::string_view aWord)
{
  return IsNumber(aWord) &&
         (aWord.size() > kLongestInteger || aWord.find_first_of(".eE") != std::string_view::npos);
}

/// Calls a function with the text, opening bracket, number or other word that stands next, until it
/// returns false.
template<typename Function>
void
ForEachToken(std::string_view aText, Function aFunction)
{
  std::size_t position = 0;
  while (position < aText.size()) {
    const auto begin = position;
    const char character = aText[begin];
    if (character == '"') {
      position = SkipText(aText, begin + 1);
    } else if (character == '[' || character == '{') {
      ++position;
    } else if (IsDelimiter(character)) {
      ++position;
      continue;
    } else {
      const auto* const word = aText.begin() + begin;
      position += static_cast<std::size_t>(std::find_if(word, aText.end(), &IsDelimiter) - word);
    }
    if (!aFunction(aText.substr(begin, position - begin))) {
      return;
    }
  }
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
  bool isWithin = true;
  ForEachToken(aText, [&](std::string_view aToken) {
    ++counted.values;
    switch (aToken.front()) {
      case '"':
        ++counted.texts;
        break;
      case '[':
      case '{':
        ++counted.containers;
        break;
      default:
        counted.fractions += IsFraction(aToken) ? 1 : 0;
        break;
    }
    isWithin = counted.values <= aBounds.values && counted.containers <= aBounds.containers &&
               counted.texts <= aBounds.texts && counted.fractions <= aBounds.fractions;
    return isWithin;
  });
  return isWithin;
}

std::optional<std::string>
ClampHugeNumbers(std::string_view aText)
{
  std::string clamped;
  std::size_t copied = 0;
  ForEachToken(aText, [&](std::string_view aToken) {
    const bool isHuge = IsNumber(aToken) && IsFraction(aToken) &&
                        std::isinf(std::strtod(std::string(aToken).c_str(), nullptr));
    if (isHuge) {
      const auto begin = static_cast<std::size_t>(aToken.data() - aText.data());
      clamped.append(aText.substr(copied, begin - copied));
      clamped.append(aToken.front() == '-' ? "-1e308" : "1e308");
      copied = begin + aToken.size();
    }
    return true;
  });
  if (copied == 0) {
    return {};
  }
  clamped.append(aText.substr(copied));
  return clamped;
}

}
