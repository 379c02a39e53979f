#include <LibCell/ContendedPool.h>

#include <LibCell/Candidate.h>
#include <LibCell/PlacementOrder.h>
#include <algorithm>
#include <vector>

namespace zinc::cell {

void
ContendedPool::BeginRound(const Pool& aPool, TimePoint aNow, bool aUpdateRate)
{
  this->now = aNow;
  this->milliCores = aPool.capacity.milliCores;
  this->freeMilliCores = aPool.free.milliCores;
  if (!aUpdateRate) {
    return;
  }
  this->releaseRate = 0.0;
  for (const auto* worker : aPool.workers) {
    for (const auto& allocation : worker->allocations) {
      if (!allocation.isService && allocation.estimate.count() > 0) {
        this->releaseRate += static_cast<double>(allocation.demand.milliCores) /
                             static_cast<double>(allocation.estimate.count());
      }
    }
  }
}

Milliseconds
ContendedPool::TimeUntilFree(std::int64_t aMilliCores) const
{
  const auto missing = aMilliCores - std::max<std::int64_t>(0, this->freeMilliCores);
  if (missing <= 0 || this->releaseRate <= 0.0) {
    return Milliseconds{ 0 };
  }
  return Milliseconds(static_cast<std::int64_t>(static_cast<double>(missing) / this->releaseRate));
}

void
ContendedPool::PlaceExpiredShare(std::span<Candidate> aCandidates)
{
  if (!this->expiredWork.IsDue(this->now)) {
    return;
  }
  std::vector<ExpiredStep> steps;
  std::vector<Candidate*> expired;
  for (auto& candidate : aCandidates) {
    if (candidate.contention != this ||
        !IsAtOrAfter(candidate.priorityKey, PriorityClass::WithoutValue)) {
      continue;
    }
    const auto& step = *candidate.specification;
    steps.push_back({ .name = { candidate.job->spec.id, candidate.occurrence, candidate.step },
                      .workspace = candidate.job->spec.workspace,
                      .latestStart = LatestStartOf(candidate.priorityKey),
                      .work = step.demand.milliCores * step.estimate.count() *
                              std::int64_t{ candidate.run->waitingTasks } });
    expired.push_back(&candidate);
  }
  const auto* chosen = this->expiredWork.Choose(steps, this->milliCores, this->now);
  if (chosen != nullptr) {
    auto& candidate = *expired[static_cast<std::size_t>(chosen - steps.data())];
    candidate.priorityKey = MakePriorityKey(PriorityClass::OnTime, chosen->latestStart);
  }
}

}
