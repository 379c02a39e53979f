#include <LibPlatform/Json.h>

#include <fmt/format.h>
#include <json/json.h>
#include <memory>
#include <sstream>

namespace zinc {

namespace {

const Json::Value&
NullValue()
{
  static const Json::Value value;
  return value;
}

const Json::Value&
EmptyArray()
{
  static const Json::Value value(Json::arrayValue);
  return value;
}

Json::CharReaderBuilder
ReaderBuilder()
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kJsonDepthLimit;
  return builder;
}

Json::StreamWriterBuilder
WriterBuilder()
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return builder;
}

}

Result<Json::Value>
ParseJson(std::string_view aText)
{
  // A reader starts anew with every parse; making one costs more than a short parse.
  thread_local const std::unique_ptr<Json::CharReader> reader(ReaderBuilder().newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (!reader->parse(aText.data(), aText.data() + aText.size(), &value, &errors)) {
      return NotRun(ErrorCode::BadRequest, "The JSON text is malformed.");
    }
  } catch (const Json::Exception&) {
    return NotRun(ErrorCode::BadRequest, "The JSON text is nested too deeply.");
  }
  return value;
}

Result<Json::Value>
ParseJson(std::string_view aText, const JsonBounds& aBounds)
{
  if (!IsWithinBounds(aText, aBounds)) {
    return NotRun(ErrorCode::BadRequest, "The JSON text holds too many values.");
  }
  return ParseJson(aText);
}

std::string
WriteJson(const Json::Value& aValue)
{
  thread_local const std::unique_ptr<Json::StreamWriter> writer(WriterBuilder().newStreamWriter());
  std::ostringstream text;
  writer->write(aValue, &text);
  return std::move(text).str();
}

JsonFields::JsonFields(const Json::Value& aValue, std::string_view aName)
  : value(aValue)
  , name(aName)
{
  if (!this->value.isObject()) {
    this->fault = NotRun(ErrorCode::BadRequest, fmt::format("{} must be an object.", aName));
  }
}

std::string
JsonFields::Text(const char* aField, std::size_t aLimit)
{
  if (!this->Has(aField)) {
    this->AddFault(aField, "is missing");
    return {};
  }
  return this->OptionalText(aField, aLimit);
}

std::string
JsonFields::OptionalText(const char* aField, std::size_t aLimit)
{
  const Json::Value& member = this->Member(aField);
  if (member.isNull()) {
    return {};
  }
  if (!member.isString()) {
    this->AddFault(aField, "must be text");
    return {};
  }
  std::string text = member.asString();
  if (text.size() > aLimit) {
    this->AddFault(aField, fmt::format("must have at most {} bytes", aLimit));
    return {};
  }
  return text;
}

std::int64_t
JsonFields::Integer(const char* aField, std::int64_t aLeast, std::int64_t aMost)
{
  if (!this->Has(aField)) {
    this->AddFault(aField, "is missing");
    return aLeast;
  }
  return this->OptionalInteger(aField, aLeast, aMost).value_or(aLeast);
}

std::optional<std::int64_t>
JsonFields::OptionalInteger(const char* aField, std::int64_t aLeast, std::int64_t aMost)
{
  const Json::Value& member = this->Member(aField);
  if (member.isNull()) {
    return {};
  }
  const bool isInteger = member.type() == Json::intValue || member.type() == Json::uintValue;
  if (!isInteger || !member.isInt64() || member.asInt64() < aLeast || member.asInt64() > aMost) {
    this->AddFault(aField, fmt::format("must be an integer from {} to {}", aLeast, aMost));
    return {};
  }
  return member.asInt64();
}

std::uint64_t
JsonFields::Unsigned(const char* aField)
{
  const Json::Value& member = this->Member(aField);
  const bool isInteger = member.type() == Json::intValue || member.type() == Json::uintValue;
  if (!isInteger || !member.isUInt64()) {
    this->AddFault(aField, "must be an integer of at least 0");
    return 0;
  }
  return member.asUInt64();
}

bool
JsonFields::Boolean(const char* aField, bool aAbsent)
{
  const Json::Value& member = this->Member(aField);
  if (member.isNull()) {
    return aAbsent;
  }
  if (!member.isBool()) {
    this->AddFault(aField, "must be true or false");
    return aAbsent;
  }
  return member.asBool();
}

double
JsonFields::Number(const char* aField, double aAbsent, double aLeast, double aMost)
{
  const Json::Value& member = this->Member(aField);
  if (member.isNull()) {
    return aAbsent;
  }
  if (!member.isNumeric() || member.asDouble() < aLeast || member.asDouble() > aMost) {
    this->AddFault(aField, fmt::format("must be a number from {} to {}", aLeast, aMost));
    return aAbsent;
  }
  return member.asDouble();
}

const Json::Value&
JsonFields::Array(const char* aField)
{
  const Json::Value& member = this->Member(aField);
  if (member.isNull()) {
    return EmptyArray();
  }
  if (!member.isArray()) {
    this->AddFault(aField, "must be an array");
    return EmptyArray();
  }
  return member;
}

const Json::Value&
JsonFields::Member(const char* aField)
{
  return this->Has(aField) ? this->value[aField] : NullValue();
}

bool
JsonFields::Has(const char* aField) const
{
  return this->value.isObject() && this->value.isMember(aField) && !this->value[aField].isNull();
}

void
JsonFields::AddFault(std::string_view aField, std::string_view aExpected)
{
  if (this->fault) {
    return;
  }
  this->fault =
    NotRun(ErrorCode::BadRequest, fmt::format("{}.{} {}.", this->name, aField, aExpected));
}

void
JsonFields::AddFault(const Verdict& aVerdict)
{
  if (!this->fault) {
    this->fault = aVerdict;
  }
}

}
