#pragma once

/// @file
/// One entry instance: follows the document and the ownership row, answers callers, and conducts
/// the cell while it owns the row.

#include <LibCell/CallerPort.h>
#include <LibCell/CellScheduler.h>
#include <LibCell/Intake.h>
#include <LibCell/LeaderElection.h>
#include <LibCell/MonitoredStore.h>
#include <LibCell/SpeedProbe.h>
#include <LibCell/TableWatcher.h>
#include <LibCell/Timer.h>
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

/// Where the platform keeps what the instance reads, and how it is decoded.
struct PlatformLayout
{
  /// Table and key of the declared document.
  std::string documentTable;
  std::string documentKey;
  std::function<Result<cell::CellPolicy>(std::string_view)> decodeDocument;
  /// Table of the workers' own rows.
  std::string workerTable;
  std::function<Result<cell::WorkerEntry>(const std::string&, std::string_view)> decodeWorker;
};

/// Times of an instance.
struct CellInstanceOptions
{
  cell::LeaderElection::Identity identity;
  std::string zone;
  cell::CellSchedulerOptions conductor;
  cell::LeaderElectionOptions leadership;
  /// Time between two rounds of the leader.
  Milliseconds conductorTick{ 10 };
  /// Time between two looks at the ownership row's state.
  Milliseconds leadershipTick{ 50 };
  /// Least time between two reads of new jobs; they wait for each other that long.
  Milliseconds jobPause{ 40 };
  /// Least time between two reads of the workers' rows, each of which changes with every heartbeat;
  /// a tenth of the time in which a worker that drains must get no more tasks.
  Milliseconds workerPause{ 200 };
  /// Least time between two reads of the ownership row and the instances; each renewal is a change.
  Milliseconds cellPause{ 250 };
  /// The same for instances that are not among the next to take over.
  Milliseconds idleCellPause{ 800 };
  /// Instances that watch the ownership row closely.
  std::size_t successors = 4;
  /// How long the store may hold back its answer on the document; bounds how long a silent
  /// connection hides a change, which has to be in force within 2 s.
  Milliseconds documentWait{ 900 };
  /// The document is read anew this often, in case the store drops a change from its feed.
  Milliseconds documentReread{ 4000 };
  /// How long a document that was replaced bounds what a predecessor may have started: the longest
  /// term and the longest lease with its slack.
  Milliseconds formerDocumentKept{ 20'000 };
  /// Time between two measurements of the machine's speed.
  Milliseconds speedPause{ 250 };
  /// Time between two writes of the instance's own row.
  Milliseconds beat{ 3000 };
  /// Time until a write that failed is tried again. A store that refuses for load must not get
  /// more.
  Milliseconds beatRetry{ 800 };
  /// A leader without an answer of the store for this long hands over to an instance that
  /// reaches it: more than a slow store takes for a call, less than the others wait before they
  /// take over.
  Milliseconds resignAfter{ 500 };
  /// The store answers a leader that it serves within this; a transaction takes 4 ms.
  Milliseconds ownAnswer{ 150 };
  /// A leader that lost the store asks only instances of this part of the largest one's
  /// processor or more: a small one falls behind a large cell.
  double heirSize = 0.75;
  /// The store's last answer is good enough for a peer that asks if it is younger.
  Milliseconds freshAnswer{ 150 };
  /// An instance whose row stands still for longer makes no calls to the policy service.
  Milliseconds instanceGoneAfter{ 8000 };
};

/// The instance.
class CellInstance final
  : public cell::CallerPort
  , public cell::AdvicePort
{
public:
  struct Dependencies
  {
    cell::StorePort& store;
    cell::WorkerPort& workers;
    /// Calls the policy service from this instance.
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

  void Start();
  /// Reports not ready and hands over the term.
  void Leave();

  /// @return whether the store answers this instance, and soon.
  [[nodiscard]] bool ReachesStore() const { return this->store.IsResponsive(); }
  /// Finds out whether the store answers now.
  void AskStore(cell::Handler<bool> aHandler);
  /// @return the other instances, as the store last told; for the leader only those that would
  /// be its best successors.
  [[nodiscard]] std::vector<std::string> PeersToAsk() const;
  /// @return where an instance takes calls of others; an address that cannot be called if it is not
  /// known.
  [[nodiscard]] Endpoint EndpointOf(const std::string& aPeer) const;
  /// Takes notice that another instance reaches the store: a leader that does not hands over.
  void OnPeerReachesStore(const std::string& aPeer);
  /// Takes over from a leader that has stopped.
  void OnResigned(cell::Resignation aResignation);

  /// @return a job's state if this instance is the leader.
  [[nodiscard]] std::optional<cell::JobStatus> ConductorStatus(const JobId& aJob) const;

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
                     cell::AdviceRequest aQuestion,
                     cell::Handler<cell::AdviceResponse> aHandler) override;

private:
  struct Peer
  {
    Endpoint endpoint;
    cell::InstanceRecord record;
    TimePoint changed{};
  };

  /// What is gathered before the term's leader begins.
  struct TermStart
  {
    cell::Term term;
    std::optional<std::vector<cell::Row>> jobRows;
    std::optional<std::vector<cell::WorkerEntry>> workers;
  };

  /// Starts to follow a table; views go to a member.
  [[nodiscard]] std::shared_ptr<cell::TableWatcher> Follow(
    cell::TableWatcherOptions aOptions,
    void (CellInstance::*aOnView)(const cell::TableUpdate&));
  void OnDocument(const cell::TableUpdate& aView);
  void OnCell(const cell::TableUpdate& aView);
  void OnPeerRow(const cell::Row& aRow);
  void OnTermBegun(const cell::Term& aTerm);
  void OnTermLost();
  void OnJobs(const cell::TableUpdate& aView);
  void OnWorkers(const cell::TableUpdate& aView);
  [[nodiscard]] std::optional<cell::WorkerEntry> DecodeWorker(const cell::Row& aRow);
  void BeginIfComplete();
  [[nodiscard]] cell::LeaderReport News();
  void TickConductor();
  void TickLeadership();
  void MeasureSpeed();
  void Beat();
  void NameInstances();
  /// Hands the term over unless the store has answered meanwhile.
  void ResignTo(const std::string& aPeer);
  void StatusFromStore(const JobId& aJob,
                       const WorkspaceId& aWorkspace,
                       cell::Handler<cell::CallerJobState> aHandler);

  Dependencies dependencies;
  CellInstanceOptions options;
  cell::MonitoredStore store;
  cell::Intake intake;
  cell::LeaderElection leadership;
  cell::SpeedProbe speed;
  std::shared_ptr<cell::TableWatcher> documentFollower;
  std::shared_ptr<cell::TableWatcher> cellFollower;
  std::shared_ptr<cell::TableWatcher> jobFollower;
  std::shared_ptr<cell::TableWatcher> workerFollower;
  std::unique_ptr<cell::CellScheduler> conductor;
  /// Schedulers of terms that ended while their own call was running.
  std::vector<std::unique_ptr<cell::CellScheduler>> endedConductors;
  std::optional<TermStart> termStart;
  std::set<WorkerId> listedWorkers;
  std::shared_ptr<const cell::CellPolicy> policy;
  /// Documents that were in force a short while ago, oldest first, with the time of their end.
  std::deque<std::pair<TimePoint, std::shared_ptr<const cell::CellPolicy>>> formerPolicies;
  std::uint64_t documentRowVersion = 0;
  std::map<std::string, Peer> peers;
  std::uint64_t beatCount = 0;
  bool isLeaving = false;
  bool isCheckingStore = false;
  bool isPlacementPosted = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
