#include <LibCell/UnreadWorkers.h>

#include <algorithm>
#include <iterator>

namespace zinc::cell {

void
UnreadWorkers::Begin(const TermSnapshot& aSnapshot, TimePoint aNow)
{
  this->rowsCurrentSince = std::max(this->rowsCurrentSince, aNow);
  this->drainingJobs = aSnapshot.drainingJobs;
  if (!aSnapshot.hadPredecessor) {
    return;
  }
  this->workers.insert(aSnapshot.previousWorkers.begin(), aSnapshot.previousWorkers.end());
  this->unlisted = this->workers;
  this->suspendedLeases = aSnapshot.suspendedLeases;
  for (const auto& entry : aSnapshot.workers) {
    this->unlisted.erase(entry.id);
    this->workers.insert(entry.id);
  }
}

bool
UnreadWorkers::MarkRead(const WorkerId& aWorker)
{
  return this->workers.erase(aWorker) > 0 && !this->HasUnrestricted();
}

std::vector<WorkerId>
UnreadWorkers::TakePresumedGone(TimePoint aNow)
{
  std::vector<WorkerId> gone;
  if (aNow < this->rowsCurrentSince + this->options.rowRestoreTimeout) {
    return gone;
  }
  for (const auto& [worker, expiry] : this->suspendedLeases) {
    if (expiry <= aNow && this->unlisted.erase(worker) > 0) {
      gone.push_back(worker);
    }
  }
  return gone;
}

TimePoint
UnreadWorkers::LeaseExpiryOf(const WorkerId& aWorker) const
{
  const auto found = this->suspendedLeases.find(aWorker);
  return found == this->suspendedLeases.end() ? this->leasesExpiry
                                              : std::min(found->second, this->leasesExpiry);
}

TimePoint
UnreadWorkers::AwaitedUntil() const
{
  const bool hasRestarted = std::ranges::any_of(
    this->workers, [this](const WorkerId& aId) { return this->restarted.contains(aId); });
  return this->leasesExpiry + (hasRestarted ? this->options.maxOrderDelay : Milliseconds{ 0 });
}

bool
UnreadWorkers::HasUnrestricted() const
{
  return std::ranges::any_of(this->workers,
                             [this](const WorkerId& aId) { return !this->IsRestricted(aId); });
}

bool
UnreadWorkers::MayKnowOf(const JobId& aJob) const
{
  return std::ranges::any_of(this->workers, [this, &aJob](const WorkerId& aId) {
    const auto draining = this->drainingJobs.find(aId);
    return draining == this->drainingJobs.end() || draining->second.contains(aJob);
  });
}

DrainingJobs
UnreadWorkers::Draining() const
{
  DrainingJobs draining;
  std::ranges::copy_if(this->drainingJobs,
                       std::inserter(draining, draining.end()),
                       [this](const auto& aEntry) { return this->workers.contains(aEntry.first); });
  return draining;
}

}
