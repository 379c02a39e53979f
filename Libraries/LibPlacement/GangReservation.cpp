#include <LibPlacement/GangReservation.h>

#include <utility>

namespace zinc {

namespace {

/// Number of tasks that may use the reserved capacity of one holder.
constexpr std::uint32_t kMaxBackfillTasks = 64;
/// Backfill is admitted for this long after the first plan.
constexpr Milliseconds kBackfillWindow{ 30'000 };
constexpr Milliseconds kReplanInterval{ 5000 };

}

void
GangReservation::Set(WorkerPool& aPool,
                     TaskIndex aHolder,
                     std::vector<ReservedRoom> aRooms,
                     TimePoint aStart,
                     TimePoint aNow)
{
  const bool isSameHolder = this->holder == aHolder;
  const std::uint32_t previousPlans = isSameHolder ? this->planCount : 0;
  const std::uint32_t previousBackfills = isSameHolder ? this->backfillCount : 0;
  const TimePoint firstPlannedTime = isSameHolder ? this->firstPlannedAt : aNow;
  this->Release(aPool);
  this->holder = aHolder;
  this->rooms = std::move(aRooms);
  this->plannedStartAt = aStart;
  this->firstPlannedAt = firstPlannedTime;
  this->lastPlannedAt = aNow;
  this->planCount = previousPlans + 1;
  this->backfillCount = previousBackfills;
  for (const ReservedRoom& room : this->rooms) {
    aPool.SetReservedForGang(room.worker, room.amount);
  }
}

void
GangReservation::Release(WorkerPool& aPool)
{
  for (const ReservedRoom& room : std::exchange(this->rooms, {})) {
    aPool.SetReservedForGang(room.worker, {});
  }
  this->holder = kNoIndex;
}

bool
GangReservation::AllowsBackfill(Milliseconds aExpectedRun, TimePoint aNow) const
{
  return this->IsActive() && this->planCount == 1 && this->backfillCount < kMaxBackfillTasks &&
         aNow - this->firstPlannedAt < kBackfillWindow && aExpectedRun > Milliseconds(0) &&
         aNow + aExpectedRun <= this->plannedStartAt;
}

bool
GangReservation::NeedsReplan(TimePoint aNow) const
{
  return this->IsActive() && aNow > this->plannedStartAt &&
         aNow - this->lastPlannedAt >= kReplanInterval;
}

}
