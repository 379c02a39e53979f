#pragma once

/// @file
/// Strict reading of JSON that comes from outside.

#include <LibBase/Verdict.h>
#include <LibPlatform/JsonBounds.h>
#include <LibPlatform/JsonNumber.h>
#include <cstdint>
#include <json/forwards.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinc {

/// Parses one JSON object or array that fills the whole text.
/// @return the value, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<Json::Value>
ParseJson(std::string_view aText);

/// Parses one JSON object or array, unless it holds more than the bounds; no tree is built then.
/// @return the value, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<Json::Value>
ParseJson(std::string_view aText, const JsonBounds& aBounds);

/// @return compact JSON text; bytes of strings are kept as they are.
[[nodiscard]] std::string
WriteJson(const Json::Value& aValue);

/// Reads the fields of one JSON object and remembers the faults, so that a decoder reads all fields
/// and checks once. Unknown fields are ignored. The value must outlive the reader.
class JsonFields
{
public:
  /// @param aValue the value that should be an object
  /// @param aName what the object is, for messages
  JsonFields(const Json::Value& aValue, std::string_view aName);

  /// @return the text; empty after a fault.
  std::string Text(const char* aField, std::size_t aLimit);

  /// @return the text; empty if the field is absent or after a fault.
  std::string OptionalText(const char* aField, std::size_t aLimit);

  /// @return the integer; @p aLeast after a fault.
  std::int64_t Integer(const char* aField,
                       std::int64_t aLeast = 0,
                       std::int64_t aMost = kJsonIntegerLimit);

  /// @return the integer; empty if the field is absent or after a fault.
  std::optional<std::int64_t> OptionalInteger(const char* aField,
                                              std::int64_t aLeast = 0,
                                              std::int64_t aMost = kJsonIntegerLimit,
                                              Fraction aFraction = Fraction::Refuse);

  /// @return the unsigned 64-bit integer; 0 after a fault.
  std::uint64_t Unsigned(const char* aField);

  /// @return the truth value; @p aAbsent if the field is absent or after a fault.
  bool Boolean(const char* aField, bool aAbsent = false);

  /// @return the number; @p aAbsent if the field is absent or after a fault.
  double Number(const char* aField, double aAbsent, double aLeast, double aMost);

  /// @return the array; an empty one if the field is absent or after a fault.
  const Json::Value& Array(const char* aField);

  /// @return the value; null if the field is absent or after a fault.
  const Json::Value& Member(const char* aField);

  /// @return true if the field is present and not null.
  [[nodiscard]] bool Has(const char* aField) const;

  /// Notes a fault that does not show the field's value, which may be secret.
  void AddFault(std::string_view aField, std::string_view aExpected);

  /// Notes a fault with the value that the field has.
  void AddFaultOfValue(const char* aField, std::string_view aExpected);

  /// Takes over the first fault of a nested decoder.
  void AddFault(const Verdict& aVerdict);

  /// @return the first fault; empty if there was none.
  [[nodiscard]] std::optional<Verdict> Fault() const;

  /// @return a sentence for each of the first faults.
  [[nodiscard]] const std::vector<std::string>& Faults() const { return this->faults; }

private:
  /// Faults that are remembered; an object has fewer fields, but its arrays may be long.
  static constexpr std::size_t kMaxFaults = 32;

  void AddSentence(std::string aSentence);

  const Json::Value& value;
  std::string name;
  std::vector<std::string> faults;
};

}
