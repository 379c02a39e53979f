#pragma once

/// @file
/// One instance of the cell: watches the document and the leader record, serves callers, and runs
/// the scheduler while it is the leader.

#include <LibCell/CallerPort.h>
#include <LibCell/CellScheduler.h>
#include <LibCell/EvacuationDirectory.h>
#include <LibCell/GatedIntake.h>
#include <LibCell/Intake.h>
#include <LibCell/JobCanceller.h>
#include <LibCell/LeaderElection.h>
#include <LibCell/MonitoredStore.h>
#include <LibCell/SpeedProbe.h>
#include <LibCell/TableWatcher.h>
#include <LibCell/Timer.h>
#include <LibCell/TombstoneSweeper.h>
#include <LibCell/WorkerDirectory.h>
#include <LibInstanceCalls/InstanceCalls.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace zinc {

/// Tables and keys of the platform that the instance reads, and their decoders.
struct PlatformLayout
{
  /// Table and key of the declared document.
  std::string documentTable;
  std::string documentKey;
  std::function<Result<cell::CellPolicy>(std::string_view)> decodeDocument;
  /// Decodes the keys of the evacuation rows, which are in the document's table.
  cell::EvacuationDirectory::Decoder decodeEvacuation;
  /// Table to which each worker writes its own row.
  std::string workerTable;
  std::function<Result<cell::WorkerEntry>(const std::string&, std::string_view)> decodeWorker;
};

/// Intervals, timeouts and limits of an instance.
struct CellInstanceOptions
{
  cell::LeaderElection::Identity identity;
  std::string zone;
  cell::CellSchedulerOptions scheduler;
  cell::LeaderElectionOptions election;
  /// Interval between two scheduling rounds of the leader.
  Milliseconds schedulerTickInterval{ 10 };
  /// Interval between two checks of the leader record's state.
  Milliseconds electionTickInterval{ 50 };
  /// Minimum time between two reads of new jobs; jobs that arrive within it are read together.
  Milliseconds minJobReadInterval{ 40 };
  /// Minimum time between two reads of the workers' rows, which change with every heartbeat; a
  /// tenth of the time within which a draining worker must stop getting tasks.
  Milliseconds minWorkerReadInterval{ 200 };
  /// Minimum time between two reads of the leader record and the instances' rows; every renewal is
  /// a change.
  Milliseconds minCellReadInterval{ 250 };
  /// The same for instances that are not among the next candidates for leader.
  Milliseconds minCellReadIntervalAtLowRank{ 800 };
  /// Number of instances, by rank, that watch the leader record at the shorter interval.
  std::size_t candidateCount = 4;
  /// Long-poll timeout of the watch on the document; bounds how long a dead connection hides a
  /// change, which has to be in force within 2 s.
  Milliseconds documentLongPollTimeout{ 900 };
  /// Interval of full reads of the document, in case the store drops a change from its watch.
  Milliseconds documentRereadInterval{ 4000 };
  cell::EvacuatedZonesOptions evacuation;
  /// How long a replaced document still counts, since a former leader may have started tasks under
  /// it: the longest term plus the longest lease with its slack.
  Milliseconds formerDocumentRetention{ 20'000 };
  /// Interval between two measurements of the machine's speed.
  Milliseconds speedMeasurementInterval{ 250 };
  /// Interval between two writes of the instance's own row.
  Milliseconds heartbeatInterval{ 3000 };
  /// Retry delay after a failed heartbeat; keeps retries from adding load to an overloaded store.
  Milliseconds heartbeatRetryDelay{ 800 };
  /// A leader that gets no response from the store for this long resigns to an instance that
  /// reaches it: longer than a call to a slow store, shorter than the other instances wait before
  /// they take over.
  Milliseconds storeLossTimeout{ 500 };
  /// Timeout of the leader's last check of the store before it resigns; a transaction takes 4 ms.
  Milliseconds storeCheckTimeout{ 150 };
  /// A leader that lost the store probes only instances with at least this fraction of the largest
  /// instance's processor share: a small one falls behind in a large cell.
  double minSuccessorCpuRatio = 0.75;
  /// A probe of a peer is answered without a call to the store if its last response is younger.
  Milliseconds maxStoreResponseAge{ 150 };
  /// An instance whose row has not changed for this long gets no policy service calls to make.
  Milliseconds instanceTimeout{ 8000 };
};

/// Watches the store's tables, takes part in the leader election and owns the scheduler of the
/// term. Runs on the control thread.
class CellInstance final
  : public cell::CallerPort
  , public cell::AdvicePort
{
public:
  struct Dependencies
  {
    cell::StorePort& store;
    cell::WorkerPort& workers;
    /// Calls the policy service directly from this instance.
    std::function<void(const cell::AdviceRequest&, cell::Handler<cell::AdviceResponse>)> advise;
    InstanceCallClient& calls;
    cell::TimerPort& timer;
    const Clock& clock;
    std::function<cell::WallTime()> wallClock;
    const Logger& log;
    MetricRegistry& metrics;
    PlatformLayout layout;
  };

  CellInstance(Dependencies aDependencies, CellInstanceOptions aOptions);
  ~CellInstance() override;

  /// Starts the watches, the heartbeat and the leader election.
  void Start();
  /// Reports not ready from now on and hands over the term.
  void BeginShutdown();

  /// @return whether the store responds to this instance promptly.
  [[nodiscard]] bool IsStoreReachable() const { return this->store.IsResponsive(); }
  /// Checks whether the store responds now; reads from it if its last response is too old.
  void CheckStore(cell::Handler<bool> aHandler);
  /// @return the other instances, as last read from the store; on the leader only those with enough
  /// processor share to succeed it.
  [[nodiscard]] std::vector<std::string> PeersToProbe() const;
  /// @return the endpoint where an instance takes calls from others; an unusable one if the
  /// instance is unknown.
  [[nodiscard]] Endpoint EndpointOf(const std::string& aPeer) const;
  /// Handles that another instance reaches the store: a leader that lost the store resigns to it.
  void OnPeerReachesStore(const std::string& aPeer);
  /// Takes over from a leader that has resigned.
  void OnLeaderResigned(cell::Resignation aResignation);

  /// @return a job's status if this instance is the leader, otherwise nothing.
  [[nodiscard]] std::optional<cell::JobStatus> JobStatusIfLeader(const JobId& aJob) const;

  [[nodiscard]] std::shared_ptr<const cell::CellPolicy> Policy() const override
  {
    return this->policy;
  }
  [[nodiscard]] bool IsReady() const override;
  void Submit(const cell::JobSpecification& aSpec, cell::Handler<Done> aHandler) override;
  void QueryStatus(const JobId& aJob,
                   const WorkspaceId& aWorkspace,
                   cell::Handler<cell::CallerJobState> aHandler) override;
  void Cancel(const JobId& aJob,
              const WorkspaceId& aWorkspace,
              cell::Handler<cell::CancelResult> aHandler) override;
  [[nodiscard]] Result<std::uint64_t> CountPendingJobs(const QueueId& aQueue) const override;

  void RequestAdvice(const std::string& aInstance,
                     cell::AdviceRequest aRequest,
                     cell::Handler<cell::AdviceResponse> aHandler) override;

private:
  struct Peer
  {
    Endpoint endpoint;
    cell::InstanceRecord record;
    TimePoint lastChangedAt{};
  };

  /// Rows that are collected before the scheduler of a new term starts.
  struct PendingTerm
  {
    cell::Term term;
    std::optional<std::vector<cell::Row>> jobRows;
    bool hasReadWorkers = false;
  };

  /// Starts a watch on a table that passes each update to a member function.
  [[nodiscard]] std::shared_ptr<cell::TableWatcher> StartWatcher(
    cell::TableWatcherOptions aOptions,
    void (CellInstance::*aOnUpdate)(const cell::TableUpdate&));
  /// Starts the watch on the document's table with a full read.
  void StartDocumentWatcher();
  void OnDocumentRows(const cell::TableUpdate& aUpdate);
  /// Logs the parts of the document in force that cannot be read.
  void LogDocumentFaults() const;
  /// Hands the evacuated zones to the scheduler once they were read during its term, and whenever
  /// they change.
  void UpdateSchedulerZones(bool aHaveChanged);
  void OnCellRows(const cell::TableUpdate& aUpdate);
  void OnPeerRow(const cell::Row& aRow);
  void OnTermBegun(const cell::Term& aTerm);
  void OnTermLost();
  void OnJobRows(const cell::TableUpdate& aUpdate);
  void OnWorkerRows(const cell::TableUpdate& aUpdate);
  void StartSchedulerIfReady();
  [[nodiscard]] cell::LeaderReport BuildLeaderReport();
  /// Logs the expected waits, at most once per second.
  void LogExpectedWaits();
  /// @return the leader's expected waits as this instance knows them.
  [[nodiscard]] cell::ForecastView CurrentForecast() const;
  void TickScheduler();
  void TickElection();
  void MeasureSpeed();
  void WriteHeartbeat();
  void UpdateSchedulerInstances();
  /// Resigns to a peer unless the store has responded in the meantime.
  void ResignTo(const std::string& aPeer);
  void StatusFromStore(const JobId& aJob,
                       const WorkspaceId& aWorkspace,
                       cell::Handler<cell::CallerJobState> aHandler);

  Dependencies dependencies;
  CellInstanceOptions options;
  cell::MonitoredStore store;
  cell::Intake intake;
  cell::GatedIntake gatedIntake;
  cell::JobCanceller canceller;
  cell::LeaderElection election;
  cell::SpeedProbe speed;
  cell::WorkerDirectory workerDirectory;
  cell::EvacuationDirectory evacuationDirectory;
  /// True if the scheduler of the term knows the evacuated zones.
  bool hasSchedulerZones = false;
  std::shared_ptr<cell::TableWatcher> documentWatcher;
  std::shared_ptr<cell::TableWatcher> cellWatcher;
  std::shared_ptr<cell::TableWatcher> jobWatcher;
  std::shared_ptr<cell::TableWatcher> workerWatcher;
  std::unique_ptr<cell::CellScheduler> scheduler;
  /// Exists while @ref scheduler does.
  std::unique_ptr<cell::TombstoneSweeper> tombstoneSweeper;
  /// Schedulers of ended terms; destroyed on the next election tick, since the term may end within
  /// a call of the scheduler itself.
  std::vector<std::unique_ptr<cell::CellScheduler>> endedSchedulers;
  std::optional<PendingTerm> pendingTerm;
  /// Expected waits in the last report of this leader, which does not read its own record.
  std::vector<cell::ExpectedWait> expectedWaits;
  TimePoint expectedWaitsMadeAt{};
  TimePoint nextExpectedWaitsLine{};
  std::shared_ptr<const cell::CellPolicy> policy;
  /// Documents that were replaced recently, oldest first, with the time of their replacement.
  std::deque<std::pair<TimePoint, std::shared_ptr<const cell::CellPolicy>>> formerPolicies;
  std::uint64_t documentRowVersion = 0;
  std::map<std::string, Peer> peers;
  std::uint64_t heartbeatCount = 0;
  bool isShuttingDown = false;
  bool isCheckingStore = false;
  bool isPlacementPosted = false;
  std::shared_ptr<bool> livenessToken = std::make_shared<bool>(true);
};

}
