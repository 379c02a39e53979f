#pragma once

/// @file
/// Enforces the teams' upper limits across all entry instances.

#include "EntryId.h"
#include <LibDispatch/Executor.h>
#include <LibLimits/QuotaManager.h>
#include <LibPeer/PeerHub.h>
#include <LibPlacement/Scheduler.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace zinc {

/// Settings that do not change after construction.
struct TeamLimitsOptions
{
  EntryId self;
  ZoneId zone;
  std::uint64_t seed = 1;
  /// Duration of a worker lease.
  Milliseconds lease{ 3000 };
  /// Time after which a worker whose lease has expired stops its tasks.
  Milliseconds orphanTimeout{ 15'000 };
};

/// Dependencies of @ref TeamLimits; all of them outlive it.
struct TeamLimitsEnvironment
{
  const Clock& clock;
  Table& table;
  WriteBudget& budget;
  Scheduler& scheduler;
  /// Called when an allowance has changed, so that queued tasks are considered again.
  std::function<void()> wake;
  /// Sends a notice to an entry instance.
  std::function<void(const EntryId&, Notice)> send;
  /// @return the peers that have been heard and are not dead.
  std::function<std::vector<PeerView>()> peers;
  std::function<bool(const EntryId&)> isDead;
};

/// Numbers of workers of the own zone by lease holder, as known to this entry instance.
struct WorkerLeaseCounts
{
  /// Workers in the instance list.
  std::size_t listed = 0;
  std::size_t leasedHere = 0;
  std::size_t leasedByPeers = 0;
  /// True if no live peer of the zone has pending adoptions.
  bool arePeersSettled = false;
};

/// Connects the allowance book with the scheduler, the worker leases and the peers: reports what
/// runs, applies allowances to the scheduler, and transfers amounts when a worker and its tasks
/// move to another entry instance. Not thread-safe; used on the control thread.
class TeamLimits final
  : public HandOverObserver
  , private QuotaObserver
{
public:
  /// @return a verdict if an option is out of range.
  [[nodiscard]] static Result<std::unique_ptr<TeamLimits>> Create(
    TeamLimitsOptions aOptions,
    TeamLimitsEnvironment aEnvironment);

  /// Applies the teams and limits of a new document.
  void ApplyDocument(const Document& aDocument);

  /// Reports usage, runs the allowance book and releases the allowances of dead entry instances.
  /// Call it more often than once per lease duration: a longer gap counts as a pause of the process
  /// and invalidates all allowances.
  void Tick(const WorkerLeaseCounts& aLeaseCounts);

  /// Handles a peer's hint that it waits for or has returned allowance.
  void OnAllowanceHint(const AllowanceHinted& aNotice);

  /// Handles a peer's notice that it counts the tasks of a worker that was lost here.
  void OnWorkerAdopted(const WorkerAdopted& aNotice);

  void TasksAdopted(const WorkerId& aWorker,
                    const EntryId& aPreviousHolder,
                    std::span<const TeamAmount> aAmounts) override;
  void TasksForfeited(const WorkerId& aWorker, std::span<const TeamAmount> aAmounts) override;

  /// @return number of adoptions whose tasks are not durably counted here yet.
  [[nodiscard]] std::size_t PendingAdoptions() const { return this->adoptions.size(); }

  [[nodiscard]] const QuotaStatistics& Statistics() const { return this->book->Statistics(); }

private:
  /// An acquired worker whose tasks are not durably counted here yet. A worker that is lost and
  /// acquired again in the meantime has several of them.
  struct PendingAdoption
  {
    WorkerId worker;
    EntryId previousHolder;
    /// Teams whose amounts are not durable yet.
    std::size_t pendingTeams = 0;
  };

  /// Tasks whose worker was lost and that are still counted here.
  struct ForfeitedTasks
  {
    std::vector<TeamAmount> amounts;
    TimePoint lostAt{};
  };

  TeamLimits(TeamLimitsOptions aOptions, TeamLimitsEnvironment aEnvironment);

  void OnQuotaChanged(const TeamId& aTeam, const Resources& aAllowance) override;
  void SendHint(const TeamId& aTeam, QuotaHint aHint) override;

  void ReportUse();
  /// @return the allowance to keep ready here for future tasks of a team; nothing while a peer
  /// waits for the team's allowance.
  [[nodiscard]] Resources HeadroomOf(const Team& aTeam) const;
  /// Invalidates all allowances after a pause of the process or a long time without leases: peers
  /// may have released them meanwhile.
  void InvalidateIfStale(TimePoint aNow, const WorkerLeaseCounts& aLeaseCounts);
  /// Handles that the amount of one team of an adoption is durable; the last one completes it.
  void CompleteAdoption(std::uint64_t aAdoptionId);
  /// Stops counting the tasks that were lost with a worker.
  void SettleForfeits(const WorkerId& aWorker);
  /// Settles forfeits for which no notice of an adoption arrived in time.
  void SettleOverdueForfeits(TimePoint aNow);
  /// Releases the allowances of dead entry instances of the zone once live ones have leased all
  /// workers for long enough.
  void ReleaseDeadHolders(TimePoint aNow, const WorkerLeaseCounts& aLeaseCounts);
  void ReleaseHoldersNotLive(const std::vector<QuotaHolder>& aHolders);

  TeamLimitsOptions options;
  TeamLimitsEnvironment environment;
  std::unique_ptr<QuotaManager> book;
  std::vector<Team> teams;
  /// When a peer last waited for a team's allowance.
  std::map<TeamId, TimePoint> lastWantedByPeers;
  std::map<std::uint64_t, PendingAdoption> adoptions;
  std::uint64_t lastAdoptionId = 0;
  std::map<WorkerId, std::vector<ForfeitedTasks>> forfeits;
  TimePoint lastTick{};
  TimePoint lastReport{};
  /// Last tick at which this entry instance held a lease; its creation before the first one.
  TimePoint lastLeaseHeld{};
  /// True once the allowances have been invalidated because no lease is held.
  bool isInvalidated = false;
  /// Since when live entry instances have leased every listed worker without interruption.
  std::optional<TimePoint> allLeasedSince;
  TimePoint nextReleaseCheck{};
};

}
