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
  this->fencedIncarnations = aSnapshot.fencedIncarnations;
  for (const auto& entry : aSnapshot.workers) {
    this->unlisted.erase(entry.id);
  }
}

void
UnreadWorkers::OnStartedLately(const WorkerId& aWorker, std::int64_t aIncarnation)
{
  const auto fenced = this->fencedIncarnations.find(aWorker);
  if (fenced != this->fencedIncarnations.end() && fenced->second == aIncarnation) {
    this->unfenced.erase(aWorker);
  } else {
    this->unfenced.insert(aWorker);
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
  return this->leasesExpiry +
         (this->CountUnfenced() > 0 ? this->options.maxOrderDelay : Milliseconds{ 0 });
}

std::size_t
UnreadWorkers::CountUnfenced() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    this->workers, [this](const WorkerId& aId) { return this->unfenced.contains(aId); }));
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

FencedIncarnations
UnreadWorkers::Fenced() const
{
  FencedIncarnations fenced;
  std::ranges::copy_if(this->fencedIncarnations,
                       std::inserter(fenced, fenced.end()),
                       [this](const auto& aEntry) { return this->workers.contains(aEntry.first); });
  return fenced;
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
