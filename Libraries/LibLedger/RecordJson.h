#pragma once

/// @file
/// Records as JSON values. Internal to the library: include it only in source files.

#include <LibLedger/Record.h>
#include <json/json.h>
#include <optional>

namespace zinc::detail {

/// @return the record as an array that starts with its kind.
[[nodiscard]] Json::Value
RecordToJson(const Record& aRecord);

/// @return the record, or nothing if the value is not one.
[[nodiscard]] std::optional<Record>
RecordFromJson(const Json::Value& aValue);

}
