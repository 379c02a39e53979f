#include <LibDocument/VerifierRules.h>

namespace zinc {

namespace {

constexpr std::size_t kSaltDigits = 32;
constexpr std::size_t kHashDigits = 64;

bool
IsHexadecimal(std::string_view aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool
IsSalt(std::string_view aText)
{
  return aText.size() == kSaltDigits && IsHexadecimal(aText);
}

bool
IsHash(std::string_view aText)
{
  return aText.size() == kHashDigits && IsHexadecimal(aText);
}

}

const TextRule kSaltRule{ .holds = IsSalt, .expected = "32 lower-case hexadecimal digits" };

const TextRule kHashRule{ .holds = IsHash, .expected = "64 lower-case hexadecimal digits" };

}
