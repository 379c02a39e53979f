#pragma once

/// @file
/// Room that is kept for the one gang whose turn it is.

#include <LibBase/Time.h>
#include <LibPlacement/WorkerPool.h>
#include <vector>

namespace zinc {

/// Room planned for on one worker.
struct ReservedRoom
{
  WorkerIndex worker = kNoIndex;
  Resources amount;
};

/// Keeps bulk work off the reserved room, but for a bounded number of short tasks that are expected
/// to end before the gang can start. Only one gang at a time has one, and it holds nothing that
/// runs, so gangs cannot wait for each other's halves.
class GangReservation
{
public:
  [[nodiscard]] bool IsActive() const { return this->holder != kNoIndex; }

  /// @return the task that represents the waiting gang or large task, or @ref kNoIndex.
  [[nodiscard]] TaskIndex Holder() const { return this->holder; }

  /// Replaces the plan. A later plan for the same holder allows no more backfill by expected end.
  void Set(WorkerPool& aPool,
           TaskIndex aHolder,
           std::vector<ReservedRoom> aRooms,
           TimePoint aStart,
           TimePoint aNow);
  void Release(WorkerPool& aPool);

  /// @return true if a task that is expected to run this long may use the reserved room.
  [[nodiscard]] bool AllowsBackfill(Milliseconds aExpectedRun, TimePoint aNow) const;
  void CountBackfill() { ++this->backfillCount; }

  /// @return true if the planned start has passed and a new plan may be made.
  [[nodiscard]] bool NeedsReplan(TimePoint aNow) const;

private:
  TaskIndex holder = kNoIndex;
  std::vector<ReservedRoom> rooms;
  TimePoint plannedStartAt{};
  TimePoint firstPlannedAt{};
  TimePoint lastPlannedAt{};
  std::uint32_t planCount = 0;
  std::uint32_t backfillCount = 0;
};

}
