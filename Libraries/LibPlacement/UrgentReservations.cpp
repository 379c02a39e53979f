#include <LibPlacement/UrgentReservations.h>

#include <algorithm>

namespace zinc {

namespace {

/// Time in which preempted tasks should have left.
constexpr Milliseconds kHoldTime{ 3000 };

}

bool
UrgentReservations::IsPending(TaskIndex aTask, TimePoint aNow) const
{
  const auto found = this->holds.find(aTask);
  return found != this->holds.end() && aNow - found->second.since < kHoldTime;
}

void
UrgentReservations::Add(WorkerPool& aPool,
                        TaskIndex aTask,
                        WorkerIndex aWorker,
                        const Resources& aAmount,
                        TimePoint aNow)
{
  this->holds[aTask] = { .worker = aWorker, .amount = aAmount, .since = aNow };
  aPool.SetReservedForUrgent(aWorker, aPool[aWorker].reservedForUrgent + aAmount);
}

void
UrgentReservations::Release(WorkerPool& aPool, TaskIndex aTask)
{
  const auto found = this->holds.find(aTask);
  if (found == this->holds.end()) {
    return;
  }
  const Hold hold = found->second;
  this->holds.erase(found);
  aPool.SetReservedForUrgent(hold.worker, aPool[hold.worker].reservedForUrgent - hold.amount);
}

void
UrgentReservations::OnTaskStarted(WorkerPool& aPool, TaskIndex aTask, WorkerIndex aWorker)
{
  const auto own = this->holds.find(aTask);
  if (own == this->holds.end()) {
    return;
  }
  if (own->second.worker != aWorker) {
    const auto isThere = [aWorker](const auto& aEntry) { return aEntry.second.worker == aWorker; };
    const auto other = std::ranges::find_if(this->holds, isThere);
    if (other != this->holds.end()) {
      std::swap(own->second, other->second);
    }
  }
  this->Release(aPool, aTask);
}

void
UrgentReservations::OnWorkerRemoved(WorkerIndex aWorker)
{
  std::erase_if(this->holds,
                [aWorker](const auto& aEntry) { return aEntry.second.worker == aWorker; });
}

}
