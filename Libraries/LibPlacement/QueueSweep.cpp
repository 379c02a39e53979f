#include <LibPlacement/QueueSweep.h>

#include <LibPlacement/ReservationPlanner.h>

namespace zinc {

namespace {

constexpr Milliseconds kInterval{ 1000 };
/// Workers change owners; one that can hold the task may be back soon.
constexpr Milliseconds kUnholdablePatience{ 30'000 };

}

void
QueueSweep::Run()
{
  if (this->now < this->state.nextSweepAt) {
    return;
  }
  this->state.nextSweepAt = this->now + kInterval;
  for (const Tier tier : { Tier::Urgent, Tier::Check, Tier::Bulk }) {
    const std::set<TeamIndex> teams = this->state.lanes.TeamsWithTasks(tier);
    for (const TeamIndex team : teams) {
      this->SweepLane(this->state.lanes.QueueFor(tier, team));
    }
  }
}

void
QueueSweep::SweepLane(TeamTierQueue& aLane)
{
  const std::set<TeamTierQueue::OrderKey> order = aLane.BucketOrder();
  for (const auto& key : order) {
    TaskBucket& bucket = aLane.Bucket(key.bucket);
    const TaskIndex oldest = bucket.tasks.begin()->second;
    if (!this->IsHoldable(oldest)) {
      this->GiveUpUnholdable(aLane, key.bucket);
      continue;
    }
    bucket.infeasibleSince.reset();
    if (bucket.isBlocked) {
      ReservationPlanner(this->state, this->now).ReserveIfEligible(oldest);
    }
  }
}

bool
QueueSweep::IsHoldable(TaskIndex aTask) const
{
  const TaskRecord& record = this->state.tasks[aTask];
  const std::uint32_t copies = std::max(1U, record.spec.gangSize);
  return this->state.pool.CountFittingWhenEmpty(this->state.SizeOf(aTask), copies) >= copies;
}

void
QueueSweep::GiveUpUnholdable(TeamTierQueue& aLane, std::uint32_t aBucket)
{
  TaskBucket& bucket = aLane.Bucket(aBucket);
  if (!bucket.infeasibleSince) {
    bucket.infeasibleSince = this->now;
    return;
  }
  if (this->now - *bucket.infeasibleSince < kUnholdablePatience) {
    return;
  }
  while (!bucket.tasks.empty() && !this->IsHoldable(bucket.tasks.begin()->second)) {
    this->state.GiveUp(
      bucket.tasks.begin()->second,
      NotRun(ErrorCode::Impossible, "No known worker can hold this any more, or what it used."),
      this->now);
  }
}

}
