#pragma once

/// @file
/// JSON of frequent messages. The values of a message lie in one buffer, so that they need hardly
/// any allocations; @ref ParseJson of Json.h is for everything else.

#include <LibBase/Verdict.h>
#include <LibPlatform/JsonBounds.h>
#include <LibPlatform/JsonNumber.h>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinc {

/// Memory of the values of one message; has to outlive them.
class JsonArena
{
public:
  [[nodiscard]] boost::json::storage_ptr Storage() { return &this->resource; }

private:
  /// Larger messages use the heap for the rest.
  static constexpr std::size_t kBufferBytes = 8192;

  std::array<unsigned char, kBufferBytes> buffer;
  boost::json::monotonic_resource resource{ this->buffer.data(), this->buffer.size() };
};

/// Parses one JSON value that fills the whole text.
/// @return the value, or @ref ErrorCode::BadRequest
[[nodiscard]] Result<boost::json::value>
ParseJson(std::string_view aText, JsonArena& aArena);

/// Parses one JSON value that fills the whole text, unless it holds more than the bounds.
/// @return the value, or @ref ErrorCode::BadRequest
[[nodiscard]] Result<boost::json::value>
ParseJson(std::string_view aText, JsonArena& aArena, const JsonBounds& aBounds);

/// @return compact JSON text
[[nodiscard]] std::string
WriteJson(const boost::json::value& aValue);

/// @return the member, or null if there is none, it is null or the value is not an object
[[nodiscard]] const boost::json::value*
FindMember(const boost::json::value& aValue, std::string_view aName);

/// @return the element, or null if there is none or the value is not an array
[[nodiscard]] const boost::json::value*
FindElement(const boost::json::value& aValue, std::size_t aIndex);

/// @return the integer; nothing if the value is null, of another type, negative, too large or not
/// whole
[[nodiscard]] std::optional<std::uint64_t>
UnsignedOf(const boost::json::value* aValue);

/// @return the integer; nothing if the value is null, of another type, not exact in every JSON
/// implementation, or has a fraction that is refused
[[nodiscard]] std::optional<std::int64_t>
IntegerOf(const boost::json::value* aValue, Fraction aFraction = Fraction::Refuse);

/// @return the text; nothing if the value is null or not a text
[[nodiscard]] std::optional<std::string_view>
TextOf(const boost::json::value* aValue);

}
