#pragma once

/// @file
/// Room that is kept free of other work so that checks start at once.

#include <LibPlacement/WorkerPool.h>

namespace zinc {

/// Sizes the headroom by the checks of the last half minute, between two parts of the capacity,
/// and lays it out one place a worker.
class CheckHeadroom
{
public:
  /// Keeps a small part free from the start if the document declares queues for checks.
  void SetChecksDeclared(bool aAreChecksDeclared) { this->areChecksDeclared = aAreChecksDeclared; }

  /// Notes the size of a check that was asked for.
  void ObserveRequest(const Resources& aRequest);

  /// Notes how many checks run or wait now, and lays the headroom out anew if it is time.
  void Update(WorkerPool& aPool, std::uint32_t aChecks, TimePoint aNow);

private:
  [[nodiscard]] Resources UnitSize(const WorkerPool& aPool) const;
  [[nodiscard]] std::uint64_t TargetUnits(const WorkerPool& aPool) const;

  bool areChecksDeclared = false;
  /// The largest check that was asked for.
  Resources largestCheck;
  double recentPeak = 0;
  std::uint64_t appliedUnits = 0;
  std::size_t appliedWorkers = 0;
  TimePoint lastUpdateAt{};
  bool hasUpdated = false;
};

}
