#include <LibPlatform/JsonNumber.h>

#include <algorithm>
#include <boost/json/value.hpp>
#include <cmath>
#include <json/json.h>
#include <utility>

namespace zinc {

namespace {

/// @return the whole number that the fraction is rounded to, or nothing if it is refused
std::optional<double>
Round(double aNumber, Fraction aFraction)
{
  switch (aFraction) {
    case Fraction::RoundDown:
      return std::floor(aNumber);
    case Fraction::RoundUp:
      return std::ceil(aNumber);
    case Fraction::Refuse:
      break;
  }
  return std::floor(aNumber) == aNumber ? std::optional(aNumber) : std::nullopt;
}

}

std::optional<JsonNumber>
JsonNumber::Of(const Json::Value& aValue)
{
  switch (aValue.type()) {
    case Json::intValue:
      return JsonNumber(Stored(aValue.asInt64()));
    case Json::uintValue:
      return JsonNumber(Stored(aValue.asUInt64()));
    case Json::realValue:
      return JsonNumber(Stored(aValue.asDouble()));
    default:
      return {};
  }
}

std::optional<JsonNumber>
JsonNumber::Of(const boost::json::value* aValue)
{
  if (aValue == nullptr) {
    return {};
  }
  switch (aValue->kind()) {
    case boost::json::kind::int64:
      return JsonNumber(Stored(aValue->get_int64()));
    case boost::json::kind::uint64:
      return JsonNumber(Stored(aValue->get_uint64()));
    case boost::json::kind::double_:
      return JsonNumber(Stored(aValue->get_double()));
    default:
      return {};
  }
}

std::optional<std::int64_t>
JsonNumber::ToInteger(std::int64_t aLeast, std::int64_t aMost, Fraction aFraction) const
{
  if (const auto* integer = std::get_if<std::int64_t>(&this->number)) {
    return *integer >= aLeast && *integer <= aMost ? std::optional(*integer) : std::nullopt;
  }
  if (const auto* integer = std::get_if<std::uint64_t>(&this->number)) {
    const bool isInRange =
      std::cmp_greater_equal(*integer, aLeast) && std::cmp_less_equal(*integer, aMost);
    return isInRange ? std::optional(static_cast<std::int64_t>(*integer)) : std::nullopt;
  }
  // Beyond the limit a double stands for several integers.
  const auto least = static_cast<double>(std::max(aLeast, -kJsonIntegerLimit));
  const auto most = static_cast<double>(std::min(aMost, kJsonIntegerLimit));
  const double real = std::get<double>(this->number);
  const bool isInRange = real >= least && real <= most;
  const auto rounded = isInRange ? Round(real, aFraction) : std::nullopt;
  if (!rounded || *rounded < least || *rounded > most) {
    return {};
  }
  return static_cast<std::int64_t>(*rounded);
}

std::optional<std::uint64_t>
JsonNumber::ToUnsigned() const
{
  if (const auto* integer = std::get_if<std::uint64_t>(&this->number)) {
    return *integer;
  }
  const auto integer = this->ToInteger(0, std::numeric_limits<std::int64_t>::max());
  return integer ? std::optional(static_cast<std::uint64_t>(*integer)) : std::nullopt;
}

double
JsonNumber::ToDouble() const
{
  return std::visit([](auto aNumber) { return static_cast<double>(aNumber); }, this->number);
}

std::optional<Milliseconds>
JsonNumber::ToDuration(Milliseconds aUnit, Fraction aFraction) const
{
  const double time = this->ToDouble() * static_cast<double>(aUnit.count());
  if (!(time >= 0.0)) {
    return {};
  }
  // 1.001 s are 1000.9999999999999 ms in binary.
  constexpr double kRepresentationError = 1e-6;
  const double nearest = std::round(time);
  const bool isWhole = std::abs(time - nearest) <= kRepresentationError;
  const auto rounded = isWhole ? std::optional(nearest) : Round(time, aFraction);
  return rounded ? std::optional(SaturatedMilliseconds(*rounded)) : std::nullopt;
}

}
