#include <LibDispatch/WorkerFleet.h>

#include <algorithm>

namespace zinc {

WorkerFleet::WorkerFleet(WorkerFleetOptions aOptions,
                         WorkerFleetEnvironment aEnvironment,
                         OwnershipMap aOwnership)
  : options(std::move(aOptions))
  , environment(std::move(aEnvironment))
  , ownership(std::move(aOwnership))
{
}

Result<std::unique_ptr<WorkerFleet>>
WorkerFleet::Create(WorkerFleetOptions aOptions, WorkerFleetEnvironment aEnvironment)
{
  auto ownership = OwnershipMap::Create({ .self = aOptions.self });
  if (IsError(ownership)) {
    return ErrorOf(ownership);
  }
  return std::unique_ptr<WorkerFleet>(
    new WorkerFleet(std::move(aOptions), std::move(aEnvironment), std::move(ValueOf(ownership))));
}

void
WorkerFleet::Listed(std::span<const Instance> aInstances)
{
  this->known = true;
  this->listed.clear();
  std::vector<OwnedWorker> owned;
  for (const auto& instance : aInstances) {
    if (instance.role != InstanceRole::Worker) {
      continue;
    }
    const WorkerId id{ instance.name };
    this->listed.emplace(id, instance);
    if (instance.zone == this->options.zone) {
      owned.push_back({ .id = id, .zone = instance.zone });
      this->Describe(instance);
    }
  }
  this->ownership.SetWorkers(std::move(owned));
  std::erase_if(this->agents, [this](const auto& aItem) {
    return !this->listed.contains(aItem.first) && !aItem.second->IsHeld();
  });
}

void
WorkerFleet::SetEntries(std::vector<OwnerCandidate> aEntries)
{
  this->ownership.SetEntries(std::move(aEntries));
}

void
WorkerFleet::Tick()
{
  for (const auto& move : this->ownership.Moves(this->environment.clock.Now())) {
    auto* agent = this->AgentOf(move.worker);
    if (!agent) {
      continue;
    }
    if (move.kind == MoveKind::Acquire) {
      agent->Acquire();
      continue;
    }
    if (this->environment.observer.PrepareRelease(move.worker)) {
      agent->GiveUp();
    }
  }
  // A tick may lose a worker, but it never removes an agent.
  for (const auto& [id, agent] : this->agents) {
    agent->Tick();
  }
}

std::size_t
WorkerFleet::ReleaseAll()
{
  std::size_t held = 0;
  for (const auto& [id, agent] : this->agents) {
    if (!agent->IsHeld() || this->environment.observer.PrepareRelease(id)) {
      agent->GiveUp();
    }
    held += agent->IsHeld() ? 1 : 0;
  }
  return held;
}

std::shared_ptr<WorkerAgent>
WorkerFleet::Held(const WorkerId& aWorker) const
{
  const auto found = this->agents.find(aWorker);
  if (found == this->agents.end() || !found->second->IsHeld()) {
    return nullptr;
  }
  return found->second;
}

std::vector<FleetWorker>
WorkerFleet::Workers() const
{
  std::vector<FleetWorker> workers;
  for (const auto& [id, instance] : this->listed) {
    if (instance.zone != this->options.zone) {
      continue;
    }
    workers.push_back({ .instance = instance,
                        .desiredOwner = this->ownership.DesiredOwner(id),
                        .isHeld = this->Held(id) != nullptr });
  }
  return workers;
}

const Instance*
WorkerFleet::FindListed(const WorkerId& aWorker) const
{
  const auto found = this->listed.find(aWorker);
  return found == this->listed.end() ? nullptr : &found->second;
}

FitOutlook
WorkerFleet::OutlookFor(const Resources& aRequest, const ZoneId& aZone) const
{
  auto outlook = FitOutlook::NoWorkers;
  for (const auto& [id, instance] : this->listed) {
    const bool reachable = aZone.IsEmpty() || instance.zone == aZone;
    if (!reachable || instance.state != InstanceState::Live) {
      continue;
    }
    if (aRequest.FitsIn(instance.capacity)) {
      return FitOutlook::Possible;
    }
    outlook = FitOutlook::Impossible;
  }
  return outlook;
}

void
WorkerFleet::WorkerAcquired(const Instance& aWorker, const LeaseGrant& aGrant)
{
  this->ownership.ReportAcquired({ aWorker.name });
  this->environment.observer.WorkerAcquired(aWorker, aGrant);
}

void
WorkerFleet::WorkerLost(const WorkerId& aWorker)
{
  this->ownership.ReportReleased(aWorker);
  this->environment.observer.WorkerLost(aWorker);
}

void
WorkerFleet::WorkerChanged(const WorkerId& aWorker, const EventBatch& aEvents)
{
  this->environment.observer.WorkerChanged(aWorker, aEvents);
}

void
WorkerFleet::WorkerRefused(const WorkerId& aWorker)
{
  this->ownership.ReportRefused(aWorker, this->environment.clock.Now());
  this->environment.observer.WorkerRefused(aWorker);
}

bool
WorkerFleet::PrepareRelease(const WorkerId& aWorker)
{
  return this->environment.observer.PrepareRelease(aWorker);
}

WorkerAgent*
WorkerFleet::AgentOf(const WorkerId& aWorker)
{
  const auto found = this->agents.find(aWorker);
  if (found != this->agents.end()) {
    return found->second.get();
  }
  const auto* instance = this->FindListed(aWorker);
  if (!instance) {
    return nullptr;
  }
  auto client = this->environment.connect(*instance);
  if (IsError(client)) {
    return nullptr;
  }
  auto agent = WorkerAgent::Create({ .self = this->options.self,
                                     .clock = this->environment.clock,
                                     .timing = this->options.timing,
                                     .observer = *this },
                                   *instance,
                                   std::move(ValueOf(client)));
  if (IsError(agent)) {
    return nullptr;
  }
  return this->agents.emplace(aWorker, std::move(ValueOf(agent))).first->second.get();
}

void
WorkerFleet::Describe(const Instance& aInstance)
{
  const auto found = this->agents.find({ aInstance.name });
  if (found != this->agents.end()) {
    found->second->Describe(aInstance);
  }
}

}
