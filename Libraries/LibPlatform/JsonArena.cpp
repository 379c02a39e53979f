#include <LibPlatform/JsonArena.h>

#include <LibPlatform/JsonBounds.h>
// Boost.JSON is compiled here, so that no library has to be linked.
#include <boost/json/src.hpp>

namespace zinc {

Result<boost::json::value>
ParseJson(std::string_view aText, JsonArena& aArena)
{
  boost::json::parse_options options;
  options.max_depth = kJsonDepthLimit;
  options.allow_invalid_utf8 = true;
  boost::json::error_code error;
  auto value = boost::json::parse({ aText.data(), aText.size() }, error, aArena.Storage(), options);
  if (error) {
    return NotRun(ErrorCode::BadRequest, "The JSON text is malformed or nested too deeply.");
  }
  return value;
}

Result<boost::json::value>
ParseJson(std::string_view aText, JsonArena& aArena, const JsonBounds& aBounds)
{
  if (!IsWithinBounds(aText, aBounds)) {
    return NotRun(ErrorCode::BadRequest, "The JSON text holds too many values.");
  }
  return ParseJson(aText, aArena);
}

std::string
WriteJson(const boost::json::value& aValue)
{
  return boost::json::serialize(aValue);
}

const boost::json::value*
FindMember(const boost::json::value& aValue, std::string_view aName)
{
  const auto* object = aValue.if_object();
  const auto* member =
    object == nullptr ? nullptr : object->if_contains({ aName.data(), aName.size() });
  return member == nullptr || member->is_null() ? nullptr : member;
}

const boost::json::value*
FindElement(const boost::json::value& aValue, std::size_t aIndex)
{
  const auto* array = aValue.if_array();
  return array == nullptr ? nullptr : array->if_contains(aIndex);
}

std::optional<std::uint64_t>
UnsignedOf(const boost::json::value* aValue)
{
  const auto number = JsonNumber::Of(aValue);
  return number ? number->ToUnsigned() : std::nullopt;
}

std::optional<std::int64_t>
IntegerOf(const boost::json::value* aValue, Fraction aFraction)
{
  const auto number = JsonNumber::Of(aValue);
  return number ? number->ToInteger(-kJsonIntegerLimit, kJsonIntegerLimit, aFraction)
                : std::nullopt;
}

std::optional<std::string_view>
TextOf(const boost::json::value* aValue)
{
  const auto* text = aValue == nullptr ? nullptr : aValue->if_string();
  return text == nullptr ? std::nullopt
                         : std::optional(std::string_view(text->data(), text->size()));
}

}
