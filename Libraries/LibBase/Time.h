#pragma once

/// @file
/// Time units and the clock interface.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace zinc {

using Milliseconds = std::chrono::milliseconds;

/// Longest duration that is read from outside or computed from such durations, 31 years. Thousands
/// of them add up in milliseconds, and one fits into a timer's nanoseconds.
inline constexpr Milliseconds kMaxDuration{ 1'000'000'000'000 };

/// @return the duration, from 0 to @ref kMaxDuration; 0 for what is not a number
[[nodiscard]] inline Milliseconds
SaturatedMilliseconds(double aTime)
{
  if (!(aTime > 0.0)) {
    return Milliseconds{ 0 };
  }
  const auto most = static_cast<double>(kMaxDuration.count());
  return Milliseconds(static_cast<std::int64_t>(std::min(aTime, most)));
}

/// A point on the monotonic clock of one process, never sent to another.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Milliseconds>;

/// Source of monotonic time.
class Clock
{
public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual TimePoint Now() const = 0;
};

/// The monotonic clock of the machine.
class SteadyClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const override
  {
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::steady_clock::now());
  }
};

/// A clock that moves only when told to.
class ManualClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const override { return this->now; }
  void Advance(Milliseconds aStep) { this->now += aStep; }

private:
  TimePoint now{};
};

}
