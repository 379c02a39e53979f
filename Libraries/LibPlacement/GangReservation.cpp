#include <LibPlacement/GangReservation.h>

#include <utility>

namespace zinc {

namespace {

/// Tasks that may use reserved room because they are expected to end in time.
constexpr std::uint32_t kMaxBackfills = 64;
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
  const std::uint32_t earlierPlans = isSameHolder ? this->planCount : 0;
  const std::uint32_t earlierBackfills = isSameHolder ? this->backfillCount : 0;
  const TimePoint earliest = isSameHolder ? this->firstPlannedAt : aNow;
  this->Release(aPool);
  this->holder = aHolder;
  this->rooms = std::move(aRooms);
  this->plannedStartAt = aStart;
  this->firstPlannedAt = earliest;
  this->lastPlannedAt = aNow;
  this->planCount = earlierPlans + 1;
  this->backfillCount = earlierBackfills;
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
  return this->IsActive() && this->planCount == 1 && this->backfillCount < kMaxBackfills &&
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
