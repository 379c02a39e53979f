#include <LibDriver/TaskRouter.h>

#include <algorithm>
#include <numeric>

namespace zinc {

namespace {

Resources
Times(const Resources& aRequest, std::uint32_t aCount)
{
  return { .milliCores = aRequest.milliCores * aCount,
           .memoryMiB = aRequest.memoryMiB * aCount,
           .accelerators = aRequest.accelerators * aCount,
           .slots = aRequest.slots * aCount };
}

std::uint32_t
QueuedTasks(const SchedulerLoad& aLoad)
{
  return std::accumulate(aLoad.queued.begin(), aLoad.queued.end(), 0U);
}

}

TaskRouter::TaskRouter(TaskRouterEnvironment aEnvironment, std::uint64_t aSeed)
  : environment(std::move(aEnvironment))
  , random(aSeed)
{
}

EntryId
TaskRouter::Choose(const RoutingRequest& aRequest)
{
  const Candidate local{ .id = this->environment.self, .load = this->environment.localLoad() };
  const auto localQueue = local.load.queued.at(static_cast<std::size_t>(aRequest.workClass));
  if (localQueue == 0 && HasRoom(local, aRequest)) {
    return local.id;
  }
  auto candidates = this->PeersFor(aRequest);
  std::vector<Candidate> withRoom;
  std::ranges::copy_if(candidates, std::back_inserter(withRoom), [&](const Candidate& aCandidate) {
    return HasRoom(aCandidate, aRequest);
  });
  const auto* chosen = this->Pick(withRoom);
  if (!chosen) {
    if (CouldHold(local, aRequest)) {
      candidates.push_back(local);
    }
    const auto least = std::ranges::min_element(candidates, {}, Pressure);
    chosen = least == candidates.end() ? nullptr : &*least;
  }
  if (!chosen) {
    return {};
  }
  if (chosen->id != local.id) {
    this->sent[chosen->id].count += aRequest.gangSize;
  }
  return chosen->id;
}

std::vector<TaskRouter::Candidate>
TaskRouter::PeersFor(const RoutingRequest& aRequest)
{
  std::vector<Candidate> candidates;
  for (const auto& view : this->environment.peers()) {
    const bool reachable =
      aRequest.reach == QueueReach::AnyZone || view.beat.self.zone == this->environment.zone;
    if (!reachable || view.peer.state != PeerState::Live) {
      continue;
    }
    auto& sentCount = this->sent[view.beat.self.id];
    if (sentCount.loadHeardAt != view.heardAt) {
      sentCount = { .loadHeardAt = view.heardAt };
    }
    const Candidate candidate{ .id = view.beat.self.id,
                               .load = view.beat.load,
                               .sent = sentCount.count };
    if (CouldHold(candidate, aRequest)) {
      candidates.push_back(candidate);
    }
  }
  return candidates;
}

const TaskRouter::Candidate*
TaskRouter::Pick(std::span<const Candidate> aCandidates)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  const auto count = static_cast<std::uint32_t>(aCandidates.size());
  const auto& first = aCandidates[this->random(count)];
  const auto& second = aCandidates[this->random(count)];
  return Pressure(first) <= Pressure(second) ? &first : &second;
}

bool
TaskRouter::HasRoom(const Candidate& aCandidate, const RoutingRequest& aRequest)
{
  const auto free = aCandidate.load.capacity - aCandidate.load.used;
  return aRequest.request.FitsIn(aCandidate.load.largestRoom) &&
         Times(aRequest.request, aRequest.gangSize).FitsIn(free) &&
         aCandidate.sent + aRequest.gangSize <= static_cast<std::uint64_t>(free.slots);
}

bool
TaskRouter::CouldHold(const Candidate& aCandidate, const RoutingRequest& aRequest)
{
  return Times(aRequest.request, aRequest.gangSize).FitsIn(aCandidate.load.capacity);
}

double
TaskRouter::Pressure(const Candidate& aCandidate)
{
  const auto demand = aCandidate.load.running + QueuedTasks(aCandidate.load) + aCandidate.sent;
  return static_cast<double>(demand) /
         static_cast<double>(std::max<std::int64_t>(aCandidate.load.capacity.slots, 1));
}

}
