#pragma once

/// @file
/// Capacity that is kept free of other work so that checks start without waiting.

#include <LibPlacement/WorkerPool.h>

namespace zinc {

/// Sizes the headroom by the recent peak of concurrent checks, within a minimum and a maximum
/// fraction of the capacity, and distributes it evenly over the workers. One unit of headroom has
/// room for one check.
class CheckHeadroom
{
public:
  /// Keeps a minimum of headroom even before the first check, if the document declares queues for
  /// checks.
  void SetChecksDeclared(bool aAreChecksDeclared) { this->areChecksDeclared = aAreChecksDeclared; }

  /// Records the size of a requested check.
  void ObserveRequest(const Resources& aRequest);

  /// Records the number of running and waiting checks, and redistributes the headroom if the update
  /// interval has passed.
  void Update(WorkerPool& aPool, std::uint32_t aCheckCount, TimePoint aNow);

private:
  /// @return the size of one unit: the largest check, or an assumed size before the first check.
  [[nodiscard]] Resources UnitSize(const WorkerPool& aPool) const;
  /// @return the number of units that the headroom should have now.
  [[nodiscard]] std::uint64_t TargetUnits(const WorkerPool& aPool) const;

  bool areChecksDeclared = false;
  /// Elementwise maximum of all requested checks.
  Resources largestCheck;
  /// Largest number of concurrent checks, decaying exponentially.
  double recentPeak = 0;
  /// Number of units and workers of the latest distribution.
  std::uint64_t appliedUnits = 0;
  std::size_t appliedWorkers = 0;
  TimePoint lastUpdateAt{};
  bool hasUpdated = false;
};

}
