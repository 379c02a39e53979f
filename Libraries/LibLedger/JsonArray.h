#pragma once

/// @file
/// Reading and writing of positional JSON arrays. Internal to the library: include it only in
/// source files.

#include <chrono>
#include <cstdint>
#include <json/json.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace zinc::detail {

/// Appends values to a JSON array.
class JsonArrayWriter
{
public:
  JsonArrayWriter& Text(const std::string& aText)
  {
    this->array.append(Json::Value(aText));
    return *this;
  }

  template<typename Number>
  JsonArrayWriter& Number64(Number aNumber)
  {
    this->array.append(Json::Value(static_cast<Json::Int64>(aNumber)));
    return *this;
  }

  JsonArrayWriter& Nested(Json::Value aValue)
  {
    this->array.append(std::move(aValue));
    return *this;
  }

  [[nodiscard]] Json::Value Take() { return std::move(this->array); }

private:
  Json::Value array{ Json::arrayValue };
};

/// Reads the values of a JSON array in order; a missing or mistyped one makes it fail for good.
class JsonArrayReader
{
public:
  explicit JsonArrayReader(const Json::Value& aArray)
    : array(aArray)
    , isValid(aArray.isArray())
  {
  }

  [[nodiscard]] std::string Text()
  {
    const Json::Value* const value = this->Next();
    if (value == nullptr || !value->isString()) {
      this->isValid = false;
      return {};
    }
    return value->asString();
  }

  template<typename Number>
  [[nodiscard]] Number Number64()
  {
    const Json::Value* const value = this->Next();
    if (value == nullptr || !value->isInt64() || !std::in_range<Number>(value->asInt64())) {
      this->isValid = false;
      return {};
    }
    return static_cast<Number>(value->asInt64());
  }

  /// @return an enumerator; fails unless its number is below @p aCount.
  template<typename Enumeration>
  [[nodiscard]] Enumeration Enumerator(std::size_t aCount)
  {
    const auto number = this->Number64<std::uint32_t>();
    if (number >= aCount) {
      this->isValid = false;
      return {};
    }
    return static_cast<Enumeration>(number);
  }

  /// @return the nested value, or null after a failure.
  [[nodiscard]] const Json::Value& Nested()
  {
    const Json::Value* const value = this->Next();
    return value == nullptr ? Json::Value::nullSingleton() : *value;
  }

  /// @return true if there are values left, which a writer may leave out
  [[nodiscard]] bool HasMore() const { return this->isValid && this->next < this->array.size(); }

  [[nodiscard]] bool IsValid() const { return this->isValid; }
  void Fail() { this->isValid = false; }

private:
  const Json::Value* Next()
  {
    if (!this->isValid || this->next >= this->array.size()) {
      this->isValid = false;
      return nullptr;
    }
    return &this->array[this->next++];
  }

  const Json::Value& array;
  Json::ArrayIndex next = 0;
  bool isValid;
};

/// @return JSON text without white space.
[[nodiscard]] std::string
WriteJson(const Json::Value& aValue);

/// @return the value, or nothing if the text is not JSON.
[[nodiscard]] std::optional<Json::Value>
ReadJson(std::string_view aText);

}
