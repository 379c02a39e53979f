#pragma once

/// @file
/// An entry instance: wires the packages together on the control thread.

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

/// Contexts that run an entry; both outlive it.
struct EntryContexts
{
  boost::asio::io_context& control;
  boost::asio::io_context& traffic;
};

/// Who is asking, as its key says.
struct Caller
{
  TeamId team;
};

/// Which availability zones have a document in force.
struct ZoneConfirmation
{
  ZoneId zone;
  bool confirmed = false;
};

/// Everything runs on the control thread.
class Entry final
  : public PeerHandler
  , public PeerObserver
{
public:
  using JobHandler = std::function<void(Result<JobAnswer>)>;
  using ZonesHandler = std::function<void(std::vector<ZoneConfirmation>)>;

  /// Connects to the platform and opens the peer port.
  [[nodiscard]] static Result<std::unique_ptr<Entry>> Create(EntrySettings aSettings,
                                                             EntryContexts aContexts);
  ~Entry() override;

  /// Starts the periodic work.
  void Start();

  /// Begins a graceful shutdown.
  void Stop();

  /// Runs once everything has ended after @ref Stop.
  void OnStopped(std::function<void()> aHandler) { this->stopped = std::move(aHandler); }

  /// Tells the entry how many requests its HTTP server has open and how to close its port.
  void AttachServer(std::function<std::size_t()> aOpenRequests, std::function<void()> aClose);

  [[nodiscard]] LifeStage Stage() const { return this->life.Stage(); }

  /// @return the queue and who may be charged for the caller's work, or why it is refused.
  [[nodiscard]] Result<const Queue*> Admit(const QueueId& aQueue,
                                           std::string_view aPresentedKey,
                                           TeamId& aTeam) const;

  /// @return the team that a key or an open queue stands for.
  [[nodiscard]] Result<TeamId> Identify(std::string_view aPresentedKey,
                                        const std::optional<QueueId>& aQueue) const;

  void Submit(Submission aSubmission, const Queue& aQueue, JobHandler aHandler);
  void Query(Submission aSubject, Milliseconds aWait, JobHandler aHandler);
  void Cancel(Submission aSubject, JobHandler aHandler);

  [[nodiscard]] DocumentRepository& Documents() { return *this->documents; }
  [[nodiscard]] const EntrySettings& Settings() const { return this->settings; }
  [[nodiscard]] EntryMetrics& Metrics() { return this->metrics; }
  [[nodiscard]] const WorkerFleet& Fleet() const { return *this->fleet; }
  [[nodiscard]] const Scheduler& Decisions() const { return *this->scheduler; }
  [[nodiscard]] const Executor& Owner() const { return *this->executor; }
  [[nodiscard]] std::vector<PeerView> Peers() const { return this->hub->HeardPeers(); }
  [[nodiscard]] PeerBeat Describe() const;

  /// Tells peers of a new version and answers when every zone has it, or after a while.
  void AwaitZones(std::uint64_t aVersion, ZonesHandler aHandler);

  [[nodiscard]] PeerBeat OnBeat(const PeerBeat& aBeat) override;
  [[nodiscard]] Result<Done> OnNotices(NoticeBatch aBatch) override;
  [[nodiscard]] DocumentCopy OnDocumentAsked() override;
  void PeerChanged(const PeerChange& aChange) override;
  void BeatHeard(const PeerView& aPeer) override;
  void NoticeReceived(const EntryId& aFrom, Notice aNotice) override;

private:
  friend struct NoticeRouter;

  /// A handler that waits for the zones.
  struct ZoneWaiter
  {
    std::uint64_t version = 0;
    TimePoint until{};
    ZonesHandler handler;
  };

  /// Passes the ledger's news on; the ledger is made before the driver that observes it.
  class LedgerRelay final : public LedgerObserver
  {
  public:
    void Attach(LedgerObserver& aTarget) { this->target = &aTarget; }
    void RecordApplied(ShardIndex aShard, const EntryId& aWriter, const Record& aRecord) override;
    void ShardReloaded(ShardIndex aShard) override;

  private:
    LedgerObserver* target = nullptr;
  };

  Entry(EntrySettings aSettings, EntryContexts aContexts);

  [[nodiscard]] Result<Done> ConnectPlatform();
  [[nodiscard]] Result<Done> MakeLimits();
  [[nodiscard]] Result<Done> MakeOwner();
  [[nodiscard]] Result<Done> MakeDriver();
  [[nodiscard]] Result<Done> MakePeers();
  [[nodiscard]] Result<std::shared_ptr<Worker>> ConnectWorker(const Instance& aInstance) const;
  [[nodiscard]] std::shared_ptr<Worker> Probe(const WorkerId& aWorker);

  void ScheduleTick();
  void Tick();
  void FetchInstances();
  void TakeInstances(const std::vector<Instance>& aInstances);
  void ApplyDocument(const Document& aDocument);
  void UpdateEntries();
  void UpdateLimits();
  /// Does what needs no tick of its own.
  void TickSlowly();
  void FetchDocumentFrom(const PeerView& aPeer);
  void Send(const EntryId& aTo, Notice aNotice);
  void HandleAsk(const EntryId& aFrom, const Ask& aAsk);
  void TickZoneWaiters();
  void TickDrain();
  void UpdateGauges();
  void ChangeStage(LifeEvent aEvent);
  [[nodiscard]] EntryId DriverOf(ShardIndex aShard, const ZoneId& aZone) const;
  [[nodiscard]] EntryId DriverOfJob(const JobId& aJob, const EntryId& aOrigin) const;
  [[nodiscard]] std::optional<Milliseconds> ConfirmationAge() const;
  [[nodiscard]] std::optional<Milliseconds> AgreementAge() const;
  [[nodiscard]] std::vector<ZoneConfirmation> ZonesWith(std::uint64_t aVersion) const;
  [[nodiscard]] Result<Done> CheckPossible(const Submission& aSubmission,
                                           const Queue& aQueue) const;

  EntrySettings settings;
  EntryContexts contexts;
  SteadyClock clock;
  Logger logger;
  EntryMetrics metrics;
  LifeCycle life;
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
  LedgerRelay ledgerRelay;
  std::unique_ptr<Ledger> ledger;
  std::unique_ptr<TaskRouter> router;
  std::unique_ptr<CheckRunner> checks;
  std::unique_ptr<JobDriver> driver;
  std::unique_ptr<AskForwarder> forwarder;
  /// Assigns the shards to the live entry instances of each zone.
  std::map<ZoneId, OwnershipMap> shardMaps;
  std::map<WorkerId, std::shared_ptr<Worker>> probes;
  std::vector<ZoneWaiter> zoneWaiters;
  boost::asio::steady_timer timer;
  std::function<void()> stopped;
  std::function<std::size_t()> openRequests;
  std::function<void()> closeServer;
  std::size_t instanceCount = 0;
  TimePoint nextInstances{};
  TimePoint nextLimits{};
  TimePoint nextGauges{};
  TimePoint drainStarted{};
  bool fetchingInstances = false;
  bool fetchingDocument = false;
  bool serverClosed = false;
  bool answeredRest = false;
};

}
