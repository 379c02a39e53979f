#pragma once

/// @file
/// Tells whether this machine has become slow.

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace zinc::cell {

/// When a machine counts as slow.
struct SpeedProbeOptions
{
  /// Times its best at which it is slow; a shared core alone does not reach it.
  double slowFactor = 3.0;
  /// Measurements in a row that have to say so.
  std::size_t measurements = 3;
};

/// Compares how long a fixed piece of work takes with the shortest time seen.
class SpeedProbe
{
public:
  using Duration = std::chrono::nanoseconds;

  explicit SpeedProbe(SpeedProbeOptions aOptions = {})
    : options(aOptions)
  {
  }

  /// Does the piece of work, some tens of microseconds of a core.
  /// @return how long it took
  [[nodiscard]] static Duration Measure();

  /// Takes a measurement.
  void Note(Duration aTook);

  /// @return true if each of the last measurements was far above the best.
  [[nodiscard]] bool IsSlow() const;

private:
  SpeedProbeOptions options;
  std::optional<Duration> best;
  std::deque<Duration> recent;
};

}
