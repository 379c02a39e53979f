#pragma once

/// @file
/// Measures the rate at which a backlog drains.

#include <LibBase/Time.h>
#include <cstdint>
#include <optional>

namespace zinc {

/// Counts waiting tasks and measures the rate of starts while there is a backlog.
class DrainMeter
{
public:
  /// A task begins to wait.
  void OnEnqueue(TimePoint aNow);
  /// A waiting task was started.
  void OnStart(TimePoint aNow);
  /// A waiting task was removed without a start.
  void OnRemove() { --this->waitingCount; }

  [[nodiscard]] std::uint32_t WaitingCount() const { return this->waitingCount; }

  /// @return starts per second; nothing without a backlog or until it has lasted long enough to
  /// measure.
  [[nodiscard]] std::optional<double> StartsPerSecond(TimePoint aNow) const;

  /// @return the estimated time until @p aCount waiting tasks have started, at most an hour;
  /// nothing if the rate is unknown.
  [[nodiscard]] std::optional<Milliseconds> EstimateTimeToStart(double aCount,
                                                                TimePoint aNow) const;

private:
  /// @return the exponentially decayed number of starts.
  [[nodiscard]] double DecayedStarts(TimePoint aNow) const;

  std::uint32_t waitingCount = 0;
  double decayedStarts = 0;
  TimePoint lastStartAt{};
  /// When the current backlog began.
  TimePoint backlogSince{};
};

}
