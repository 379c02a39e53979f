#pragma once

/// @file
/// Detection of a machine that has become slow.

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace zinc::cell {

/// When a machine counts as slow.
struct SpeedProbeOptions
{
  /// Ratio to the fastest measurement from which on a measurement is slow; sharing the core with
  /// another process does not reach it.
  double slowFactor = 3.0;
  /// Number of slow measurements in a row that make the machine count as slow.
  std::size_t minMeasurements = 3;
};

/// Compares how long a fixed workload takes with the fastest measurement so far.
class SpeedProbe
{
public:
  using Duration = std::chrono::nanoseconds;

  explicit SpeedProbe(SpeedProbeOptions aOptions = {})
    : options(aOptions)
  {
  }

  /// Runs the workload, some tens of microseconds of processor time.
  /// @return how long it took
  [[nodiscard]] static Duration Measure();

  void AddMeasurement(Duration aDuration);

  /// @return true if each of the last measurements was slow.
  [[nodiscard]] bool IsSlow() const;

private:
  SpeedProbeOptions options;
  std::optional<Duration> fastest;
  std::deque<Duration> recentMeasurements;
};

}
