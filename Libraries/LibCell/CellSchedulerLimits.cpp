#include <LibCell/CellScheduler.h>
#include <LibCell/Placement.h>
#include <LibCell/PlacementOrder.h>
#include <LibCell/Standstill.h>
#include <LibCell/WorkspaceLimit.h>
#include <algorithm>

namespace zinc::cell {

namespace {

Resources
ComponentMin(const Resources& aLeft, const Resources& aRight)
{
  return { .milliCores = std::min(aLeft.milliCores, aRight.milliCores),
           .memoryMiB = std::min(aLeft.memoryMiB, aRight.memoryMiB),
           .accelerators = std::min(aLeft.accelerators, aRight.accelerators) };
}

}

void
CellScheduler::EstimateUnreadUsage()
{
  for (auto& [id, usage] : this->workspaces) {
    usage.unread = {};
  }
  if (this->unreadWorkers.IsEmpty()) {
    return;
  }
  // At most the capacity of the unread workers. Each counts as the largest worker: a capacity may
  // have shrunk below what runs there, and some have no row.
  Resources largest;
  for (const auto* worker : this->workers.All()) {
    const auto& capacity = worker->entry.capacity;
    largest = { .milliCores = std::max(largest.milliCores, capacity.milliCores),
                .memoryMiB = std::max(largest.memoryMiB, capacity.memoryMiB),
                .accelerators = std::max(largest.accelerators, capacity.accelerators) };
  }
  const auto totalCapacity = largest * static_cast<std::int64_t>(this->unreadWorkers.Size());
  for (const auto& [id, job] : this->activeJobs) {
    if (!job->awaitsReports) {
      continue;
    }
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        const auto& run = occurrence.steps[step];
        const std::int64_t count = run.IsPending() && job->IsHeld(run) ? run.waitingTasks : 0;
        job->workspaceUsage->unread += AllocatedDemand(job->spec.steps[step]) * count;
      }
    }
  }
  for (auto& [id, usage] : this->workspaces) {
    usage.unread = ComponentMin(usage.unread, totalCapacity);
    // The predecessor enforced the limit over all workers, so its runs at unread workers and
    // those that were adopted are within the limit together.
    if (usage.highestLimit) {
      usage.unread = ComponentMin(usage.unread, RemainingLimit(*usage.highestLimit, usage.adopted));
    }
  }
}

bool
CellScheduler::HasReadEnoughWorkers() const
{
  // Unread workers may have runs that count against a workspace's limit. Placement waits until
  // each has responded or a call to it has failed.
  constexpr Milliseconds kSyncTimeout{ 1500 };
  if (this->dependencies.clock.Now() - this->termBegin > kSyncTimeout) {
    return true;
  }
  return std::ranges::all_of(this->unreadWorkers.All(), [this](const WorkerId& aId) {
    const auto* worker = this->workers.Find(aId);
    return worker == nullptr || worker->failedRenewals > 0;
  });
}

void
CellScheduler::ReserveLimitForGang(const Candidate& aCandidate)
{
  const auto& step = *aCandidate.specification;
  if (!step.isGang) {
    return;
  }
  this->ReleaseReservation(*aCandidate.run, step, ReservationEnd::Limit);
  auto& usage = *aCandidate.job->workspaceUsage;
  const auto total = step.demand * step.count;
  const bool isOnTime = !IsAtOrAfter(aCandidate.priorityKey, PriorityClass::Late);
  // One gang per workspace at a time, so that its other batch tasks can go on.
  if (isOnTime && usage.limit && IsWithinLimit(total, *usage.limit) && !usage.reservedForGang) {
    usage.reservedForGang = total;
  }
}

bool
CellScheduler::FitsIntoLimit(const Candidate& aCandidate) const
{
  const auto& step = *aCandidate.specification;
  const std::uint32_t needed = step.isGang ? step.count : 1;
  const bool mayUseReserve =
    !this->IsNonUrgent(aCandidate) || HasStoodStill(*aCandidate.run, this->options.maxReserveWait);
  return CountTasksWithinLimit(*aCandidate.job->workspaceUsage,
                               { .demand = step.demand,
                                 .maxTasks = needed,
                                 .mayUseHeadroom = mayUseReserve,
                                 .mayUseReservation = mayUseReserve || step.isGang },
                               this->options.limitHeadroom) == needed;
}

}
