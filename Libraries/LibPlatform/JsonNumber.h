#pragma once

/// @file
/// The reader of all numbers in JSON that comes from outside.

#include <LibBase/Time.h>
#include <boost/json/fwd.hpp>
#include <cstdint>
#include <json/forwards.h>
#include <limits>
#include <optional>
#include <variant>

namespace zinc {

/// Largest integer that every JSON implementation represents exactly.
inline constexpr std::int64_t kJsonIntegerLimit = (std::int64_t{ 1 } << 53) - 1;

/// What becomes of a number that is not whole where an integer is needed.
enum class Fraction : std::uint8_t
{
  /// Counts, numbers and versions: half a task does not exist.
  Refuse,
  /// What this side offers or promises, such as a capacity or the time until an answer.
  RoundDown,
  /// What this side waits for or occupies, such as a foreign lease or a task's memory.
  RoundUp,
};

/// A number of a JSON text. JSON has one kind of number: 6, 6.0 and 6e0 are the same, although
/// parsers store them as different types.
class JsonNumber
{
public:
  /// @return nothing if the value is not a number
  [[nodiscard]] static std::optional<JsonNumber> Of(const Json::Value& aValue);
  /// @return nothing if the value is null or not a number
  [[nodiscard]] static std::optional<JsonNumber> Of(const boost::json::value* aValue);

  /// @return the integer; nothing if the number is out of range, or has a fraction that is refused
  [[nodiscard]] std::optional<std::int64_t> ToInteger(std::int64_t aLeast,
                                                      std::int64_t aMost,
                                                      Fraction aFraction = Fraction::Refuse) const;

  /// @return the integer; nothing if the number is negative, too large or not whole
  [[nodiscard]] std::optional<std::uint64_t> ToUnsigned() const;

  [[nodiscard]] double ToDouble() const;

  /// @param aUnit what the number counts
  /// @param aFraction direction in which a fraction of a millisecond is rounded
  /// @return the duration, at most @ref kMaxDuration; nothing if the number is negative
  [[nodiscard]] std::optional<Milliseconds> ToDuration(Milliseconds aUnit,
                                                       Fraction aFraction) const;

private:
  using Stored = std::variant<std::int64_t, std::uint64_t, double>;

  explicit JsonNumber(Stored aNumber)
    : number(aNumber)
  {
  }

  Stored number;
};

}
