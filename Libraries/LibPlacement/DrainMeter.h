#pragma once

/// @file
/// Measures how fast waiting tasks start.

#include <LibBase/Time.h>
#include <cstdint>
#include <optional>

namespace zinc {

/// Counts tasks that wait and estimates how many start in a second while some do.
class DrainMeter
{
public:
  void OnEnqueue(TimePoint aNow);
  void OnStart(TimePoint aNow);
  /// A waiting task left without a start.
  void OnRemove() { --this->waitingCount; }

  [[nodiscard]] std::uint32_t WaitingCount() const { return this->waitingCount; }

  /// @return starts in a second, or nothing until tasks have waited long enough to tell.
  [[nodiscard]] std::optional<double> StartsPerSecond(TimePoint aNow) const;

  /// @return the time that @p aCount waiting tasks take to start; nothing if it is unknown.
  [[nodiscard]] std::optional<Milliseconds> EstimateTimeToStart(double aCount,
                                                                TimePoint aNow) const;

private:
  [[nodiscard]] double DecayedStarts(TimePoint aNow) const;

  std::uint32_t waitingCount = 0;
  double decayedStarts = 0;
  TimePoint lastStartAt{};
  /// When the queue was last empty before the tasks that wait now.
  TimePoint backlogSince{};
};

}
