#include <LibPlatform/Json.h>

#include <algorithm>
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

/// @return the start of the value as one line of ASCII
std::string
Describe(const Json::Value& aValue)
{
  if (aValue.isArray() || aValue.isObject()) {
    return aValue.isArray() ? "an array" : "an object";
  }
  constexpr std::size_t kMaxLength = 40;
  auto text =
    WriteJson(aValue.isString() ? Json::Value(aValue.asString().substr(0, kMaxLength)) : aValue);
  std::ranges::replace_if(
    text, [](char aCharacter) { return aCharacter < ' ' || aCharacter > '~'; }, '?');
  return text;
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

/// Parses a text all of whose numbers are those of doubles or 64-bit integers.
Result<Json::Value>
ParseRepresentable(std::string_view aText)
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

}

Result<Json::Value>
ParseJson(std::string_view aText)
{
  auto parsed = ParseRepresentable(aText);
  if (!IsError(parsed)) {
    return parsed;
  }
  // The parser refuses a whole text for one number that no double holds.
  const auto clamped = ClampHugeNumbers(aText);
  return clamped ? ParseRepresentable(*clamped) : parsed;
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
    this->AddSentence(fmt::format("{} must be an object.", aName));
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
JsonFields::OptionalInteger(const char* aField,
                            std::int64_t aLeast,
                            std::int64_t aMost,
                            Fraction aFraction)
{
  const Json::Value& member = this->Member(aField);
  if (member.isNull()) {
    return {};
  }
  const auto number = JsonNumber::Of(member);
  const auto integer = number ? number->ToInteger(aLeast, aMost, aFraction) : std::nullopt;
  if (!integer) {
    const auto* kind = aFraction == Fraction::Refuse ? "an integer" : "a number";
    this->AddFaultOfValue(aField, fmt::format("must be {} from {} to {}", kind, aLeast, aMost));
  }
  return integer;
}

std::uint64_t
JsonFields::Unsigned(const char* aField)
{
  const auto number = JsonNumber::Of(this->Member(aField));
  const auto integer = number ? number->ToUnsigned() : std::nullopt;
  if (!integer) {
    this->AddFaultOfValue(aField, "must be an integer of at least 0");
  }
  return integer.value_or(0);
}

bool
JsonFields::Boolean(const char* aField, bool aAbsent)
{
  const Json::Value& member = this->Member(aField);
  if (member.isNull()) {
    return aAbsent;
  }
  if (!member.isBool()) {
    this->AddFaultOfValue(aField, "must be true or false");
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
  const auto number = JsonNumber::Of(member);
  const double real = number ? number->ToDouble() : aLeast - 1.0;
  if (real < aLeast || real > aMost) {
    this->AddFaultOfValue(aField, fmt::format("must be a number from {} to {}", aLeast, aMost));
    return aAbsent;
  }
  return real;
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
  if (this->faults.size() < kMaxFaults) {
    this->AddSentence(fmt::format("{}.{} {}.", this->name, aField, aExpected));
  }
}

void
JsonFields::AddFaultOfValue(const char* aField, std::string_view aExpected)
{
  if (this->faults.size() < kMaxFaults) {
    this->AddSentence(fmt::format(
      "{}.{} {}, not {}.", this->name, aField, aExpected, Describe(this->Member(aField))));
  }
}

void
JsonFields::AddFault(const Verdict& aVerdict)
{
  this->AddSentence(aVerdict.message);
}

std::optional<Verdict>
JsonFields::Fault() const
{
  return this->faults.empty() ? std::nullopt
                              : std::optional(NotRun(ErrorCode::BadRequest, this->faults.front()));
}

void
JsonFields::AddSentence(std::string aSentence)
{
  // The fields of what is not an object need no sentences of their own.
  const bool isSaid = !this->value.isObject() && !this->faults.empty();
  if (!isSaid && this->faults.size() < kMaxFaults) {
    this->faults.push_back(std::move(aSentence));
  }
}

}
