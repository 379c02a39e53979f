#pragma once

/// @file
/// An entry instance: accepts jobs from callers, drives the jobs and owns the workers that the
/// ownership maps assign to it.

#include "EntryMetrics.h"
#include "LifeCycle.h"
#include "TeamLimits.h"
#include <LibAcceptance/DocumentRepository.h>
#include <LibDispatch/Executor.h>
#include <LibDispatch/WorkerFleet.h>
#include <LibDriver/AskForwarder.h>
#include <LibDriver/CheckRunner.h>
#include <LibDriver/JobDriver.h>
#include <LibLedger/Ledger.h>
#include <LibLog/Logger.h>
#include <LibPeer/PeerHub.h>
#include <LibPeer/PeerServer.h>
#include <LibSettings/EntrySettings.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

namespace zinc {

/// The I/O contexts of the control thread and of the traffic threads; both outlive the entry.
struct EntryContexts
{
  boost::asio::io_context& control;
  boost::asio::io_context& traffic;
};

/// The team that an API key identifies.
struct Caller
{
  TeamId team;
};

/// Whether all entry instances of an availability zone have confirmed a document version.
struct ZoneConfirmation
{
  ZoneId zone;
  bool isConfirmed = false;
};

/// Creates the components of an entry instance, connects them and runs their periodic work. Not
/// thread-safe; all methods and callbacks run on the control thread.
class Entry final
  : public PeerHandler
  , public PeerObserver
{
public:
  using JobHandler = std::function<void(Result<JobAnswer>)>;
  using ZoneConfirmationsHandler = std::function<void(std::vector<ZoneConfirmation>)>;

  /// Creates all components and opens the peer port.
  /// @return a verdict if a setting is out of range or the port cannot be opened.
  [[nodiscard]] static Result<std::unique_ptr<Entry>> Create(EntrySettings aSettings,
                                                             EntryContexts aContexts);
  ~Entry() override;

  /// Starts the periodic work; call it once.
  void Start();

  /// Begins a graceful shutdown: readiness fails at once, and the HTTP port closes after a delay.
  void Stop();

  /// Sets the function that runs once the shutdown that @ref Stop began is complete.
  void SetStoppedHandler(std::function<void()> aHandler)
  {
    this->stoppedHandler = std::move(aHandler);
  }

  /// Connects the HTTP server, which a shutdown drains.
  /// @param aOpenRequests returns the number of requests without a complete response
  /// @param aClose closes the port for new connections
  void AttachServer(std::function<std::size_t()> aOpenRequests, std::function<void()> aClose);

  [[nodiscard]] LifeCycleStage Stage() const { return this->lifeCycle.Stage(); }

  /// Checks whether a caller may submit jobs to a queue.
  /// @param aTeam receives the team to which the job is accounted
  /// @return the queue; it stays valid until the next document comes into force
  [[nodiscard]] Result<const Queue*> Admit(const QueueId& aQueue,
                                           std::string_view aPresentedKey,
                                           TeamId& aTeam) const;

  /// @return the team of a valid key. An open queue needs no key and stands for its first team, or
  /// for none. @ref ErrorCode::Unavailable if the document in force, which lists the keys, was not
  /// confirmed recently enough.
  [[nodiscard]] Result<TeamId> Authenticate(std::string_view aPresentedKey,
                                            const std::optional<QueueId>& aQueue) const;

  /// Runs an admitted job: a quick check from here, a durable job through its driver.
  void Submit(Submission aSubmission, const Queue& aQueue, JobHandler aHandler);

  /// Fetches a job's state from its driver.
  /// @param aJob team and request id of the job; other fields are ignored
  /// @param aWait how long the answer waits for the job's end
  void Query(Submission aJob, Milliseconds aWait, JobHandler aHandler);

  /// Requests the cancellation of a job. @param aJob as for @ref Query
  void Cancel(Submission aJob, JobHandler aHandler);

  [[nodiscard]] DocumentRepository& Documents() { return *this->documents; }
  [[nodiscard]] const EntrySettings& Settings() const { return this->settings; }
  [[nodiscard]] EntryMetrics& Metrics() { return this->metrics; }
  [[nodiscard]] const WorkerFleet& Fleet() const { return *this->fleet; }
  [[nodiscard]] const Scheduler& PlacementScheduler() const { return *this->scheduler; }
  [[nodiscard]] const Executor& TaskExecutor() const { return *this->executor; }
  [[nodiscard]] std::vector<PeerView> Peers() const { return this->hub->HeardPeers(); }
  /// @return the status that this instance sends to its peers; its `self` is left empty.
  [[nodiscard]] PeerBeat DescribeSelf() const;

  /// Sends a heartbeat to all peers and waits until every zone has confirmed a document version.
  /// @param aHandler receives the state of each zone, at the latest after a timeout of 3 s
  void AwaitZoneConfirmations(std::uint64_t aVersion, ZoneConfirmationsHandler aHandler);

  [[nodiscard]] PeerBeat OnBeat(const PeerBeat& aBeat) override;
  [[nodiscard]] Result<Done> OnNotices(NoticeBatch aBatch) override;
  [[nodiscard]] DocumentCopy OnDocumentAsked() override;
  void PeerChanged(const PeerChange& aChange) override;
  void BeatHeard(const PeerView& aPeer) override;
  void NoticeReceived(const EntryId& aFrom, Notice aNotice) override;

private:
  friend struct NoticeRouter;

  /// A caller that waits until every zone has confirmed a document version.
  struct ZoneConfirmationWaiter
  {
    std::uint64_t version = 0;
    TimePoint deadline{};
    ZoneConfirmationsHandler handler;
  };

  /// Forwards the ledger's notifications to the driver, which is created after the ledger.
  class LedgerObserverProxy final : public LedgerObserver
  {
  public:
    void Attach(LedgerObserver& aTarget) { this->target = &aTarget; }
    void RecordApplied(ShardIndex aShard, const EntryId& aWriter, const Record& aRecord) override;
    void ShardReloaded(ShardIndex aShard) override;

  private:
    LedgerObserver* target = nullptr;
  };

  Entry(EntrySettings aSettings, EntryContexts aContexts);

  [[nodiscard]] Result<Done> CreatePlatformClients();
  [[nodiscard]] Result<Done> CreateTeamLimits();
  [[nodiscard]] Result<Done> CreateExecutor();
  [[nodiscard]] Result<Done> CreateJobDriver();
  [[nodiscard]] Result<Done> CreatePeerHub();
  /// @return a client of a worker that this instance owns or acquires.
  [[nodiscard]] Result<std::shared_ptr<Worker>> ConnectWorker(const Instance& aInstance) const;
  /// @return a client with which the driver inspects runs on a worker of any owner; null if the
  /// worker is not listed.
  [[nodiscard]] std::shared_ptr<Worker> FindProbeClient(const WorkerId& aWorker);

  void ScheduleTick();
  void Tick();
  void FetchInstances();
  void ApplyInstances(const std::vector<Instance>& aInstances);
  void ApplyDocument(const Document& aDocument);
  /// Recomputes which workers and ledger shards this instance owns, from the live entry instances.
  void UpdateOwnership();
  void UpdateLimits();
  /// Runs the updates whose interval is longer than a tick.
  void RunPeriodicUpdates();
  void FetchDocumentFrom(const PeerView& aPeer);
  void Send(const EntryId& aTo, Notice aNotice);
  /// Handles a caller's request that an entry instance forwarded to the job's driver.
  void HandleAsk(const EntryId& aFrom, const Ask& aAsk);
  void AnswerZoneConfirmationWaiters();
  /// Continues a graceful shutdown.
  void TickDrain();
  void UpdateGauges();
  void ProcessLifeCycleEvent(LifeCycleEvent aEvent);
  /// @return the entry instance that drives a shard of a zone's ledger; empty if none is known.
  [[nodiscard]] EntryId DriverOf(ShardIndex aShard, const ZoneId& aZone) const;
  /// @param aOrigin the entry instance that placed the job's task; its zone holds the job
  [[nodiscard]] EntryId DriverOfJob(const JobId& aJob, const EntryId& aOrigin) const;
  /// @return how long ago the document in force was last confirmed as the latest, by a read of the
  /// table here or at a peer or by agreement of all peers; empty if it never was.
  [[nodiscard]] std::optional<Milliseconds> ConfirmationAge() const;
  /// @return age of the oldest heartbeat by which all entry instances agree on the document in
  /// force; empty if they do not.
  [[nodiscard]] std::optional<Milliseconds> PeerAgreementAge() const;
  [[nodiscard]] std::vector<ZoneConfirmation> ZoneConfirmationsOf(std::uint64_t aVersion) const;
  /// @return a verdict if no known worker can ever run the submission's tasks.
  [[nodiscard]] Result<Done> CheckFeasibility(const Submission& aSubmission,
                                              const Queue& aQueue) const;

  EntrySettings settings;
  EntryContexts contexts;
  SteadyClock clock;
  Logger logger;
  EntryMetrics metrics;
  LifeCycle lifeCycle;
  EntryId self;
  std::uint64_t seed = 0;
  std::shared_ptr<Table> table;
  std::shared_ptr<ObjectStore> objects;
  std::shared_ptr<InstanceList> instances;
  std::unique_ptr<Scheduler> scheduler;
  std::unique_ptr<Executor> executor;
  std::unique_ptr<WorkerFleet> fleet;
  std::unique_ptr<PeerHub> hub;
  std::shared_ptr<PeerServer> peerServer;
  std::unique_ptr<DocumentRepository> documents;
  WriteBudget budget;
  std::unique_ptr<TeamLimits> limits;
  LedgerObserverProxy ledgerObserver;
  std::unique_ptr<Ledger> ledger;
  std::unique_ptr<TaskRouter> router;
  std::unique_ptr<CheckRunner> checks;
  std::unique_ptr<JobDriver> driver;
  std::unique_ptr<AskForwarder> forwarder;
  /// Assigns the ledger shards of each zone to its live entry instances.
  std::map<ZoneId, OwnershipMap> shardMaps;
  std::map<WorkerId, std::shared_ptr<Worker>> probeClients;
  std::vector<ZoneConfirmationWaiter> zoneConfirmationWaiters;
  boost::asio::steady_timer timer;
  std::function<void()> stoppedHandler;
  std::function<std::size_t()> openRequests;
  std::function<void()> closeServer;
  /// Length of the last instance list; a change is logged.
  std::size_t instanceCount = 0;
  TimePoint nextInstanceFetch{};
  TimePoint nextLimitsUpdate{};
  TimePoint nextGaugesUpdate{};
  TimePoint drainStartedAt{};
  bool isFetchingInstances = false;
  bool isFetchingDocument = false;
  bool isServerClosed = false;
  bool hasAnsweredPending = false;
};

}
