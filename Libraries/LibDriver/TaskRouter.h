#pragma once

/// @file
/// Chooses the owner that gets a task.

#include <LibDocument/Document.h>
#include <LibPeer/PeerHub.h>
#include <LibPlacement/Decision.h>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <span>
#include <string>
#include <vector>

namespace zinc {

/// What has to fit.
struct RoutingRequest
{
  Resources request;
  WorkClass workClass = WorkClass::Check;
  std::uint32_t gangSize = 1;
  QueueReach reach = QueueReach::Zone;
};

/// What a router works with; all of it outlives the router.
struct TaskRouterEnvironment
{
  EntryId self;
  ZoneId zone;
  std::function<SchedulerLoad()> localLoad;
  std::function<std::vector<PeerView>()> peers;
};

/// Prefers this entry instance while it has room, then the less loaded of two random peers with
/// room, then the least loaded that could hold the task at all.
class TaskRouter
{
public:
  TaskRouter(TaskRouterEnvironment aEnvironment, std::uint64_t aSeed);

  /// @return the owner; empty if no live entry instance has a worker that could hold the task.
  [[nodiscard]] EntryId Choose(const RoutingRequest& aRequest);

private:
  struct Candidate
  {
    EntryId id;
    SchedulerLoad load;
    /// Tasks sent there since its load was told.
    std::uint32_t sent = 0;
  };

  struct SentCount
  {
    TimePoint loadHeardAt{};
    std::uint32_t count = 0;
  };

  [[nodiscard]] std::vector<Candidate> PeersFor(const RoutingRequest& aRequest);
  [[nodiscard]] const Candidate* Pick(std::span<const Candidate> aCandidates);
  [[nodiscard]] static bool HasRoom(const Candidate& aCandidate, const RoutingRequest& aRequest);
  [[nodiscard]] static bool CouldHold(const Candidate& aCandidate, const RoutingRequest& aRequest);
  [[nodiscard]] static double Pressure(const Candidate& aCandidate);

  TaskRouterEnvironment environment;
  pcg32 random;
  std::map<EntryId, SentCount> sent;
};

}
