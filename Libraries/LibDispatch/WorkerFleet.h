#pragma once

/// @file
/// The workers of our availability zone and the part of them that is owned here.

#include <LibDispatch/WorkerAgent.h>
#include <LibMembership/OwnershipMap.h>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace zinc {

/// Fixed at creation.
struct WorkerFleetOptions
{
  EntryId self;
  ZoneId zone;
  LeaseTiming timing;
};

/// What a fleet works with; all of it outlives the fleet.
struct WorkerFleetEnvironment
{
  const Clock& clock;
  FleetObserver& observer;
  std::function<Result<std::shared_ptr<Worker>>(const Instance&)> connect;
};

/// Whether a request could be held by any known worker.
enum class FitOutlook : std::uint8_t
{
  Possible,
  /// No worker in reach is listed.
  NoWorkers,
  /// Workers in reach are listed and all are too small.
  Impossible,
};

/// A known worker and whether it is owned here.
struct FleetWorker
{
  Instance instance;
  EntryId desiredOwner;
  bool isHeld = false;
};

/// Acquires, keeps and hands over worker leases as the ownership map says.
class WorkerFleet final : private FleetObserver
{
public:
  /// @return a verdict if an option is out of range.
  [[nodiscard]] static Result<std::unique_ptr<WorkerFleet>> Create(
    WorkerFleetOptions aOptions,
    WorkerFleetEnvironment aEnvironment);

  /// Takes over a reading of the instance list.
  void Listed(std::span<const Instance> aInstances);

  /// Takes over which entry instances are live.
  void SetEntries(std::vector<OwnerCandidate> aEntries);

  /// Makes due moves and calls.
  void Tick();

  /// Gives up the leases of workers on which a hand-over cuts nothing off.
  /// @return the number of leases still held; call it again until it is 0.
  std::size_t ReleaseAll();

  /// @return the agent of a worker whose lease is held; null otherwise.
  [[nodiscard]] std::shared_ptr<WorkerAgent> Held(const WorkerId& aWorker) const;

  /// @return every known worker of the zone.
  [[nodiscard]] std::vector<FleetWorker> Workers() const;

  /// @return a listed worker of any zone; null if there is none.
  [[nodiscard]] const Instance* FindListed(const WorkerId& aWorker) const;

  /// @return whether some listed worker could hold the amount when empty.
  /// @param aZone only workers of this zone; empty for all
  [[nodiscard]] FitOutlook OutlookFor(const Resources& aRequest, const ZoneId& aZone) const;

  /// @return true once the instance list has been read.
  [[nodiscard]] bool IsKnown() const { return this->known; }

private:
  WorkerFleet(WorkerFleetOptions aOptions,
              WorkerFleetEnvironment aEnvironment,
              OwnershipMap aOwnership);

  void WorkerAcquired(const Instance& aWorker, const LeaseGrant& aGrant) override;
  void WorkerLost(const WorkerId& aWorker) override;
  void WorkerChanged(const WorkerId& aWorker, const EventBatch& aEvents) override;
  void WorkerRefused(const WorkerId& aWorker) override;
  [[nodiscard]] bool PrepareRelease(const WorkerId& aWorker) override;

  [[nodiscard]] WorkerAgent* AgentOf(const WorkerId& aWorker);
  void Describe(const Instance& aInstance);

  WorkerFleetOptions options;
  WorkerFleetEnvironment environment;
  OwnershipMap ownership;
  std::map<WorkerId, Instance> listed;
  std::map<WorkerId, std::shared_ptr<WorkerAgent>> agents;
  bool known = false;
};

}
