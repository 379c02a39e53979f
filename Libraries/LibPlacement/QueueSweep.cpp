#include <LibPlacement/QueueSweep.h>

#include <LibPlacement/ReservationPlanner.h>

namespace zinc {

namespace {

constexpr Milliseconds kSweepInterval{ 1000 };
/// Workers move between instances, so one with enough capacity may return soon.
constexpr Milliseconds kInfeasibleTimeout{ 30'000 };

}

void
QueueSweep::Run()
{
  if (this->now < this->state.nextSweepAt) {
    return;
  }
  this->state.nextSweepAt = this->now + kSweepInterval;
  for (const Tier tier : { Tier::Urgent, Tier::Check, Tier::Bulk }) {
    const std::set<TeamIndex> teams = this->state.teamQueues.TeamsWithTasks(tier);
    for (const TeamIndex team : teams) {
      this->SweepQueue(this->state.teamQueues.QueueFor(tier, team));
    }
  }
}

void
QueueSweep::SweepQueue(TeamTierQueue& aQueue)
{
  const std::set<TeamTierQueue::OrderKey> order = aQueue.BucketOrder();
  for (const auto& key : order) {
    TaskBucket& bucket = aQueue.Bucket(key.bucket);
    const TaskIndex oldest = bucket.tasks.begin()->second;
    if (!this->IsFeasible(oldest)) {
      this->RejectInfeasible(aQueue, key.bucket);
      continue;
    }
    bucket.infeasibleSince.reset();
    if (bucket.isBlocked) {
      ReservationPlanner(this->state, this->now).ReserveIfEligible(oldest);
    }
  }
}

bool
QueueSweep::IsFeasible(TaskIndex aTask) const
{
  const TaskRecord& record = this->state.tasks[aTask];
  const std::uint32_t copies = std::max(1U, record.spec.gangSize);
  return this->state.pool.CountFittingWhenEmpty(this->state.SizeForPlacement(aTask), copies) >=
         copies;
}

void
QueueSweep::RejectInfeasible(TeamTierQueue& aQueue, std::uint32_t aBucket)
{
  TaskBucket& bucket = aQueue.Bucket(aBucket);
  if (!bucket.infeasibleSince) {
    bucket.infeasibleSince = this->now;
    return;
  }
  if (this->now - *bucket.infeasibleSince < kInfeasibleTimeout) {
    return;
  }
  while (!bucket.tasks.empty() && !this->IsFeasible(bucket.tasks.begin()->second)) {
    this->state.RejectQueued(
      bucket.tasks.begin()->second,
      NotRun(ErrorCode::Impossible,
             "No known worker has enough capacity for the task's request or its expected usage."),
      this->now);
  }
}

}
