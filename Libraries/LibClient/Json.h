#pragma once

/// @file
/// Reading of JSON that may not have the expected form; nothing here throws.

#include <json/forwards.h>
#include <memory>
#include <string>
#include <string_view>

namespace zinc {

/// @return the value, or null if the text is not JSON.
[[nodiscard]] std::unique_ptr<Json::Value>
ParseJson(std::string_view aText);

/// @return the value on one line.
[[nodiscard]] std::string
JsonText(const Json::Value& aValue);

/// @return the member at a path such as "capacity.slots", or the null value.
[[nodiscard]] const Json::Value&
Member(const Json::Value& aValue, std::string_view aPath);

/// @return a string as it is, another value as JSON, null as an empty text.
[[nodiscard]] std::string
TextOf(const Json::Value& aValue);

}
