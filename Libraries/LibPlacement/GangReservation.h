#pragma once

/// @file
/// Reservation of worker capacity for the next gang or large task.

#include <LibBase/Time.h>
#include <LibPlacement/WorkerPool.h>
#include <vector>

namespace zinc {

/// Capacity reserved on one worker.
struct ReservedRoom
{
  WorkerIndex worker = kNoIndex;
  Resources amount;
};

/// Keeps other bulk tasks off the reserved capacity, except for a bounded number of short backfill
/// tasks that are expected to end before the planned start. There is only one reservation at a time
/// and a gang allocates nothing until it starts as a whole, so gangs cannot deadlock on each
/// other's partial allocations.
class GangReservation
{
public:
  [[nodiscard]] bool IsActive() const { return this->holder != kNoIndex; }

  /// @return the waiting task that the reservation is for (a gang's first member), or @ref
  /// kNoIndex.
  [[nodiscard]] TaskIndex Holder() const { return this->holder; }

  /// Replaces the reservation. A replanned reservation of the same holder admits no more backfill,
  /// because the expected ends that it was planned by proved wrong.
  /// @param aStart when the reserved capacity is expected to be free.
  void Set(WorkerPool& aPool,
           TaskIndex aHolder,
           std::vector<ReservedRoom> aRooms,
           TimePoint aStart,
           TimePoint aNow);
  void Release(WorkerPool& aPool);

  /// @return true if a task with this expected run time may use the reserved capacity.
  [[nodiscard]] bool AllowsBackfill(Milliseconds aExpectedRun, TimePoint aNow) const;
  void CountBackfill() { ++this->backfillCount; }

  /// @return true if the planned start has passed and the replan interval is over.
  [[nodiscard]] bool NeedsReplan(TimePoint aNow) const;

private:
  TaskIndex holder = kNoIndex;
  std::vector<ReservedRoom> rooms;
  TimePoint plannedStartAt{};
  TimePoint firstPlannedAt{};
  TimePoint lastPlannedAt{};
  /// Plans and backfill tasks of the current holder.
  std::uint32_t planCount = 0;
  std::uint32_t backfillCount = 0;
};

}
