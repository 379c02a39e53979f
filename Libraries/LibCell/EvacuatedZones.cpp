#include <LibCell/EvacuatedZones.h>
#include <LibCell/Placement.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// @return how many tasks of the step the worker could run if it were idle, at most @p aMax
std::uint32_t
CountPossibleTasks(const Candidate& aCandidate, const Worker& aWorker, std::uint32_t aMax)
{
  const auto& step = *aCandidate.specification;
  const auto& advice = aCandidate.run->advice;
  const bool isIneligible = aCandidate.queue->needsAdvice && advice.WasRequested(aWorker.number) &&
                            advice.FindTicket(aWorker.number) == nullptr;
  if (isIneligible || !HasRequiredLabel(aWorker, step)) {
    return 0;
  }
  const auto perWorker = step.maxTasksPerWorker > 0 ? std::min(step.maxTasksPerWorker, aMax) : aMax;
  return CountFittingTasks(aWorker.entry.capacity, AllocatedDemand(step), perWorker);
}

}

std::vector<EvacuatedZones::Change>
EvacuatedZones::Update(const std::set<ZoneId>& aZones, TimePoint aNow)
{
  std::erase_if(this->withdrawals, [this, aNow](const auto& aItem) {
    return aNow - aItem.second >= this->ReturnDuration();
  });
  std::vector<Change> changes;
  for (const auto& [zone, since] : this->requests) {
    if (!aZones.contains(zone)) {
      changes.push_back({ .zone = zone, .age = aNow - since });
      this->withdrawals[zone] = aNow;
    }
  }
  std::erase_if(this->requests,
                [&aZones](const auto& aItem) { return !aZones.contains(aItem.first); });
  for (const auto& zone : aZones) {
    if (this->requests.emplace(zone, aNow).second) {
      changes.push_back({ .zone = zone, .isEvacuated = true });
      this->withdrawals.erase(zone);
    }
  }
  return changes;
}

std::int64_t
EvacuatedZones::PartsAt(TimePoint aSince, TimePoint aUntil, TimePoint aNow) const
{
  if (aNow >= aUntil) {
    return this->options.returnParts;
  }
  return 1 + (aNow - aSince) * (this->options.returnParts - 1) / (aUntil - aSince);
}

std::int64_t
EvacuatedZones::UsableParts(const Worker& aWorker, TimePoint aNow) const
{
  const auto& zone = aWorker.entry.zone;
  if (this->IsEvacuated(zone)) {
    return 0;
  }
  auto parts = this->options.returnParts;
  const auto withdrawal = this->withdrawals.find(zone);
  if (withdrawal != this->withdrawals.end()) {
    const auto since = withdrawal->second;
    parts = this->PartsAt(since, since + this->ReturnDuration(), aNow);
  }
  if (this->options.limitsColdWorkers) {
    parts = std::min(parts, this->PartsAt(aWorker.coldSince, aWorker.coldUntil, aNow));
  }
  return parts;
}

void
EvacuatedZones::WithholdColdCapacity(std::span<Worker* const> aPool, TimePoint aNow) const
{
  const bool isEveryWorkerCold =
    std::ranges::all_of(aPool, [aNow](const Worker* aWorker) { return aNow < aWorker->coldUntil; });
  for (auto* worker : aPool) {
    worker->withheld = {};
    const auto withdrawal = this->withdrawals.find(worker->entry.zone);
    const bool isReturning =
      withdrawal != this->withdrawals.end() && aNow < withdrawal->second + this->ReturnDuration();
    const auto parts = isEveryWorkerCold && !isReturning ? this->options.returnParts
                                                         : this->UsableParts(*worker, aNow);
    const auto unusable = this->options.returnParts - parts;
    if (unusable == 0) {
      continue;
    }
    const auto free = worker->UnusedResources();
    const auto withhold = [this, unusable](std::int64_t aCapacity, std::int64_t aFree) {
      return std::clamp<std::int64_t>(
        aCapacity * unusable / this->options.returnParts, 0, std::max<std::int64_t>(0, aFree));
    };
    const auto& capacity = worker->entry.capacity;
    worker->withheld = { .milliCores = withhold(capacity.milliCores, free.milliCores),
                         .memoryMiB = withhold(capacity.memoryMiB, free.memoryMiB),
                         .accelerators = withhold(capacity.accelerators, free.accelerators) };
  }
}

void
UpdateColdTime(Worker& aWorker, Milliseconds aColdLeft, TimePoint aNow)
{
  if (aNow >= aWorker.coldUntil) {
    aWorker.coldSince = aNow;
  }
  aWorker.coldUntil = aNow + aColdLeft;
}

bool
NeedsEvacuatedWorkers(const Candidate& aCandidate,
                      std::span<Worker* const> aUsable,
                      std::span<Worker* const> aEvacuated)
{
  const auto& step = *aCandidate.specification;
  // Workers that were named in a request without a response yet may be eligible.
  if (aEvacuated.empty() || aCandidate.run->advice.requestsInFlight > 0) {
    return false;
  }
  const std::uint32_t needed = step.isGang ? step.count : 1;
  std::uint32_t possible = 0;
  const auto areEnough = [&](std::span<Worker* const> aWorkers) {
    return std::ranges::any_of(aWorkers, [&](const Worker* aWorker) {
      possible += CountPossibleTasks(aCandidate, *aWorker, needed);
      return possible >= needed;
    });
  };
  return !areEnough(aUsable) && areEnough(aEvacuated);
}

}
