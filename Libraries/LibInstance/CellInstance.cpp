#include <LibInstance/CellInstance.h>

#include <algorithm>

namespace zinc {

namespace {

using cell::CallerJobState;
using cell::JobOutcome;

CallerJobState
CallerStateOf(JobOutcome aOutcome, bool aHasStarted)
{
  switch (aOutcome) {
    case JobOutcome::Succeeded:
      return CallerJobState::Succeeded;
    case JobOutcome::Failed:
      return CallerJobState::Failed;
    case JobOutcome::Cancelled:
      return CallerJobState::Cancelled;
    case JobOutcome::Active:
      break;
  }
  return aHasStarted ? CallerJobState::Running : CallerJobState::Queued;
}

Verdict
UnknownJobVerdict()
{
  return NotRun(ErrorCode::NotFound, "The job does not exist.");
}

/// @return the range that holds only the leader record.
cell::RowRange
LeaderRecordRange()
{
  const std::string key(cell::kLeaderKey);
  return { .table = std::string(cell::kCellTable),
           .partition = std::string(cell::kLeaderPartition),
           .from = key,
           .to = key + '\0' };
}

}

CellInstance::CellInstance(Dependencies aDependencies, CellInstanceOptions aOptions)
  : dependencies(std::move(aDependencies))
  , options(std::move(aOptions))
  , store(this->dependencies.store,
          this->dependencies.clock,
          this->dependencies.log,
          this->dependencies.metrics)
  , intake(this->store, this->dependencies.clock)
  , leadership({ .store = this->store,
                 .clock = this->dependencies.clock,
                 .log = this->dependencies.log,
                 .onTermBegun = [this](const cell::Term& aTerm) { this->OnTermBegun(aTerm); },
                 .onTermLost = [this](std::string_view) { this->OnTermLost(); },
                 .makeReport = [this] { return this->News(); },
                 .onWorkersPublished =
                   [this](const std::vector<std::string>& aWorkers) {
                     if (this->conductor) {
                       this->conductor->OnWorkersPublished(aWorkers);
                     }
                   } },
               this->options.identity,
               this->options.leadership)
{
}

CellInstance::~CellInstance() = default;

void
CellInstance::Start()
{
  this->documentFollower = this->Follow({ .table = this->dependencies.layout.documentTable,
                                          .partitions = { "" },
                                          .maxWait = this->options.documentWait,
                                          .resyncInterval = this->options.documentReread },
                                        &CellInstance::OnDocument);
  this->cellFollower = this->Follow({ .table = std::string(cell::kCellTable),
                                      .partitions = cell::CellTablePartitions(),
                                      .pollDelay = this->options.cellPause },
                                    &CellInstance::OnCell);
  this->Beat();
  this->MeasureSpeed();
  this->TickLeadership();
}

void
CellInstance::MeasureSpeed()
{
  this->speed.AddMeasurement(cell::SpeedProbe::Measure());
  this->leadership.SetSlow(this->speed.IsSlow());
  this->dependencies.timer.RunAfter(this->options.speedPause, [this] { this->MeasureSpeed(); });
}

std::shared_ptr<cell::TableWatcher>
CellInstance::Follow(cell::TableWatcherOptions aOptions,
                     void (CellInstance::*aOnView)(const cell::TableUpdate&))
{
  auto watcher = std::make_shared<cell::TableWatcher>(
    this->store,
    this->dependencies.timer,
    this->dependencies.clock,
    std::move(aOptions),
    [this, aOnView](const cell::TableUpdate& aView) { (this->*aOnView)(aView); });
  watcher->Start();
  return watcher;
}

void
CellInstance::Leave()
{
  this->isLeaving = true;
  this->leadership.Leave();
}

bool
CellInstance::IsReady() const
{
  return this->policy != nullptr && !this->isLeaving && this->store.IsAvailable();
}

void
CellInstance::OnDocument(const cell::TableUpdate& aView)
{
  for (const auto& row : aView.rows) {
    const bool isNewer = row.key.key == this->dependencies.layout.documentKey && !row.isDeleted &&
                         row.version > this->documentRowVersion;
    if (!isNewer) {
      continue;
    }
    auto decoded = this->dependencies.layout.decodeDocument(row.value);
    if (IsError(decoded)) {
      this->dependencies.log.Log(
        LogLevel::Error, "document_unreadable", { { "reason", ErrorOf(decoded).message } });
      continue;
    }
    const bool isOlder = this->policy && ValueOf(decoded).version <= this->policy->version;
    if (isOlder) {
      continue;
    }
    this->documentRowVersion = row.version;
    const auto now = this->dependencies.clock.Now();
    if (this->policy) {
      this->formerPolicies.emplace_back(now, this->policy);
    }
    while (!this->formerPolicies.empty() &&
           now - this->formerPolicies.front().first > this->options.formerDocumentKept) {
      this->formerPolicies.pop_front();
    }
    this->policy = std::make_shared<cell::CellPolicy>(std::move(ValueOf(decoded)));
    this->dependencies.log.Log(LogLevel::Info,
                               "document_in_force",
                               { { "version", this->policy->version },
                                 { "queues", this->policy->routes.size() },
                                 { "keys", this->policy->workspaceByApiKey.size() } });
    if (this->conductor) {
      this->conductor->SetPolicy(this->policy);
    }
  }
}

void
CellInstance::OnCell(const cell::TableUpdate& aView)
{
  bool hasLeader = false;
  for (const auto& row : aView.rows) {
    if (row.key.key == cell::kLeaderKey) {
      hasLeader = true;
      this->leadership.OnLeaderRow(row);
    } else if (row.key.key.starts_with(cell::kInstancePrefix)) {
      this->OnPeerRow(row);
    }
  }
  if (aView.isSnapshot && !hasLeader) {
    this->leadership.OnLeaderRow({});
  }
}

void
CellInstance::OnPeerRow(const cell::Row& aRow)
{
  const auto name = aRow.key.key.substr(cell::kInstancePrefix.size());
  const auto record = cell::DecodeInstanceRecord(aRow.value);
  if (aRow.isDeleted || IsError(record)) {
    this->peers.erase(name);
    return;
  }
  auto& peer = this->peers[name];
  peer.record = ValueOf(record);
  peer.endpoint = { .address = peer.record.address, .port = peer.record.port };
  peer.changed = this->dependencies.clock.Now();
  this->leadership.OnInstanceRecord(name, peer.record, aRow.version);
}

void
CellInstance::Beat()
{
  cell::Transaction transaction;
  transaction.writes.push_back(
    { .key = cell::InstanceRowKey(this->options.identity.name),
      .value = cell::EncodeInstanceRecord({ .incarnation = this->options.identity.incarnation,
                                            .address = this->options.identity.address,
                                            .port = this->options.identity.port,
                                            .zone = this->options.zone,
                                            .milliCores = this->options.identity.milliCores,
                                            .heartbeat = ++this->beatCount }) });
  this->store.Commit(std::move(transaction), [this](Result<cell::CommitResult> aResult) {
    this->dependencies.timer.RunAfter(
      IsError(aResult) ? this->options.beatRetry : this->options.beat, [this] { this->Beat(); });
  });
}

void
CellInstance::TickLeadership()
{
  const auto lastReadAt =
    this->cellFollower->HasSnapshot() ? this->cellFollower->LastResponse() : std::nullopt;
  this->leadership.Tick(lastReadAt);
  if (this->conductor) {
    this->conductor->SetTermEnd(this->leadership.TermEnd());
    this->NameInstances();
  }
  this->endedConductors.clear();
  const bool isCandidate = this->leadership.Rank() < this->options.successors;
  this->cellFollower->SetPollDelay(isCandidate ? this->options.cellPause
                                               : this->options.idleCellPause);
  this->dependencies.timer.RunAfter(this->options.leadershipTick,
                                    [this] { this->TickLeadership(); });
}

void
CellInstance::NameInstances()
{
  const auto now = this->dependencies.clock.Now();
  std::vector<std::string> names{ this->options.identity.name };
  for (const auto& [name, peer] : this->peers) {
    if (now - peer.changed < this->options.instanceGoneAfter) {
      names.push_back(name);
    }
  }
  this->conductor->SetInstances(names);
}

void
CellInstance::OnTermBegun(const cell::Term& aTerm)
{
  this->dependencies.log.Log(
    LogLevel::Info,
    "term_taken",
    { { "token", aTerm.token },
      { "predecessor_dead", aTerm.hasPredecessorStopped },
      { "predecessor_ends_ms", (aTerm.priorLeasesExpiry - this->dependencies.clock.Now()).count() },
      { "previous_workers", aTerm.previousWorkers.size() } });
  this->termStart = TermStart{ .term = aTerm };
  this->listedWorkers.clear();
  this->jobFollower = this->Follow({ .table = std::string(cell::kJobTable),
                                     .partitions = cell::JobTablePartitions(),
                                     .pollDelay = this->options.jobPause },
                                   &CellInstance::OnJobs);
  this->workerFollower = this->Follow({ .table = this->dependencies.layout.workerTable,
                                        .partitions = { "" },
                                        .pollDelay = this->options.workerPause },
                                      &CellInstance::OnWorkers);
}

void
CellInstance::OnTermLost()
{
  this->termStart.reset();
  for (auto* watcher : { &this->jobFollower, &this->workerFollower }) {
    if (*watcher) {
      (*watcher)->Stop();
      watcher->reset();
    }
  }
  if (this->conductor) {
    this->endedConductors.push_back(std::move(this->conductor));
  }
}

void
CellInstance::OnJobs(const cell::TableUpdate& aView)
{
  // A newer term ends this one before any job written after it is handled.
  for (const auto& row : aView.rows) {
    if (row.key.partition == cell::kTermPartition) {
      this->leadership.OnTermRow(row.version);
    }
  }
  if (this->conductor) {
    this->conductor->OnJobRows(aView.rows);
    return;
  }
  if (this->termStart) {
    auto& rows = this->termStart->jobRows;
    if (!rows) {
      rows.emplace();
    }
    rows->insert(rows->end(), aView.rows.begin(), aView.rows.end());
    this->BeginIfComplete();
  }
}

std::optional<cell::WorkerEntry>
CellInstance::DecodeWorker(const cell::Row& aRow)
{
  auto decoded = this->dependencies.layout.decodeWorker(aRow.key.key, aRow.value);
  if (IsError(decoded)) {
    this->dependencies.log.Log(
      LogLevel::Warning,
      "worker_row_unreadable",
      { { "worker", aRow.key.key }, { "reason", ErrorOf(decoded).message } });
    return {};
  }
  return std::move(ValueOf(decoded));
}

void
CellInstance::OnWorkers(const cell::TableUpdate& aView)
{
  std::set<WorkerId> seen;
  std::vector<cell::WorkerEntry> entries;
  for (const auto& row : aView.rows) {
    const WorkerId id{ row.key.key };
    if (row.isDeleted) {
      this->listedWorkers.erase(id);
      if (this->conductor) {
        this->conductor->OnWorkerUnlisted(id);
      }
      continue;
    }
    seen.insert(id);
    if (auto entry = this->DecodeWorker(row)) {
      this->listedWorkers.insert(id);
      entries.push_back(std::move(*entry));
    }
  }
  if (!this->conductor) {
    if (this->termStart) {
      auto& workers = this->termStart->workers;
      if (!workers) {
        workers.emplace();
      }
      std::ranges::move(entries, std::back_inserter(*workers));
      this->BeginIfComplete();
    }
    return;
  }
  for (const auto& entry : entries) {
    this->conductor->OnWorkerEntry(entry);
  }
  if (aView.isSnapshot) {
    for (const auto& id : std::set<WorkerId>(this->listedWorkers)) {
      if (!seen.contains(id)) {
        this->listedWorkers.erase(id);
        this->conductor->OnWorkerUnlisted(id);
      }
    }
  }
}

void
CellInstance::BeginIfComplete()
{
  if (!this->termStart->jobRows || !this->termStart->workers || this->conductor) {
    return;
  }
  auto start = std::move(*this->termStart);
  this->termStart.reset();
  this->conductor = std::make_unique<cell::CellScheduler>(
    cell::CellScheduler::Dependencies{
      .workers = this->dependencies.workers,
      .store = this->store,
      .advice = *this,
      .clock = this->dependencies.clock,
      .log = this->dependencies.log,
      .metrics = this->dependencies.metrics,
      .wallClock = this->dependencies.wallClock,
      .onLeadershipLost = [this] { this->OnTermLost(); },
      .onPlacementDue =
        [this] {
          if (!this->isPlacementPosted) {
            this->isPlacementPosted = true;
            this->dependencies.timer.RunAfter(Milliseconds{ 0 }, [this] {
              this->isPlacementPosted = false;
              if (this->conductor) {
                this->conductor->Tick();
              }
            });
          }
        },
      .onUnpublishedWorker = [this] { this->leadership.RenewSoon(); } },
    this->options.conductor);
  const auto now = this->dependencies.clock.Now();
  for (const auto& [replacedAt, former] : this->formerPolicies) {
    if (now - replacedAt <= this->options.formerDocumentKept) {
      this->conductor->SetPolicy(former);
    }
  }
  if (this->policy) {
    this->conductor->SetPolicy(this->policy);
  }
  this->NameInstances();
  this->conductor->SetTermEnd(this->leadership.TermEnd());
  this->conductor->SetPriorLeasesExpiry(start.term.priorLeasesExpiry);
  this->conductor->BeginTerm({ .fencingToken = start.term.token,
                               .previousWorkers = start.term.previousWorkers,
                               .hadPredecessor = start.term.hadPredecessor,
                               .predecessorRecordAge = start.term.predecessorRecordAge,
                               .olderLeasesExpiry = start.term.olderLeasesExpiry,
                               .jobRows = std::move(*start.jobRows),
                               .workers = std::move(*start.workers) });
  this->leadership.RenewSoon();
  this->TickConductor();
}

void
CellInstance::TickConductor()
{
  if (!this->conductor) {
    return;
  }
  auto* currentScheduler = this->conductor.get();
  currentScheduler->Tick();
  this->dependencies.timer.RunAfter(this->options.conductorTick, [this, currentScheduler] {
    if (this->conductor.get() == currentScheduler) {
      this->TickConductor();
    }
  });
}

cell::LeaderReport
CellInstance::News()
{
  if (!this->conductor) {
    // Until the scheduler starts, the report repeats what the predecessor published.
    const auto& leader = this->leadership.CurrentLeader();
    cell::LeaderReport report{ .isRecovering = true };
    if (this->termStart) {
      report.recoveryLeft =
        this->termStart->term.priorLeasesExpiry - this->dependencies.clock.Now();
    }
    if (leader) {
      report.workers = leader->workers;
      report.pendingJobs = leader->backlog;
    }
    return report;
  }
  return { .workers = this->conductor->WorkersToPublish(),
           .pendingJobs = this->conductor->PendingJobsByQueue(),
           .isRecovering = this->conductor->IsRecovering(),
           .recoveryLeft = this->conductor->RemainingRecoveryTime() };
}

void
CellInstance::AskStore(cell::Handler<bool> aHandler)
{
  const bool isFresh =
    this->dependencies.clock.Now() - this->store.LastResponse() <= this->options.freshAnswer;
  if (isFresh && this->ReachesStore()) {
    aHandler(true);
    return;
  }
  this->store.Read(LeaderRecordRange(),
                   [handler = std::move(aHandler)](const Result<cell::RowBatch>& aBatch) {
                     handler(!IsError(aBatch));
                   });
}

std::vector<std::string>
CellInstance::PeersToAsk() const
{
  std::uint32_t maxMilliCores = 0;
  for (const auto& [name, peer] : this->peers) {
    maxMilliCores = name == this->options.identity.name
                      ? maxMilliCores
                      : std::max(maxMilliCores, peer.record.milliCores);
  }
  const auto minMilliCores =
    this->leadership.IsLeader() ? this->options.heirSize * static_cast<double>(maxMilliCores) : 0.0;
  std::vector<std::string> names;
  for (const auto& [name, peer] : this->peers) {
    if (name != this->options.identity.name && peer.record.milliCores >= minMilliCores) {
      names.push_back(name);
    }
  }
  return names;
}

Endpoint
CellInstance::EndpointOf(const std::string& aPeer) const
{
  const auto peer = this->peers.find(aPeer);
  return peer == this->peers.end() ? Endpoint{} : peer->second.endpoint;
}

void
CellInstance::OnPeerReachesStore(const std::string& aPeer)
{
  const auto storeSilence = this->dependencies.clock.Now() - this->store.LastResponse();
  const bool hasLostStore = !this->ReachesStore() && storeSilence >= this->options.resignAfter;
  if (!this->leadership.IsLeader() || !hasLostStore || this->isCheckingStore) {
    return;
  }
  // The store may have recovered for all instances while earlier calls still wait for it.
  this->isCheckingStore = true;
  this->store.Read(LeaderRecordRange(), [](const Result<cell::RowBatch>&) {});
  this->dependencies.timer.RunAfter(this->options.ownAnswer, [this, aPeer] {
    this->isCheckingStore = false;
    this->ResignTo(aPeer);
  });
}

void
CellInstance::ResignTo(const std::string& aPeer)
{
  const auto peer = this->peers.find(aPeer);
  const auto storeSilence = this->dependencies.clock.Now() - this->store.LastResponse();
  if (peer == this->peers.end() || storeSilence < this->options.resignAfter) {
    return;
  }
  const auto resignation = this->leadership.Resign();
  if (!resignation) {
    return;
  }
  this->dependencies.log.Log(LogLevel::Warning,
                             "term_resigned",
                             { { "token", resignation->token },
                               { "to", aPeer },
                               { "store_silent_ms", storeSilence.count() } });
  this->dependencies.calls.Resign(
    peer->second.endpoint, *resignation, [this, aPeer](const Result<Done>& aResult) {
      if (IsError(aResult)) {
        // The other instances take over when the leader record expires.
        this->dependencies.log.Log(LogLevel::Warning,
                                   "resignation_unanswered",
                                   { { "to", aPeer }, { "reason", ErrorOf(aResult).message } });
      }
    });
}

void
CellInstance::OnResigned(cell::Resignation aResignation)
{
  this->leadership.OnResignation(std::move(aResignation));
}

std::optional<cell::JobStatus>
CellInstance::ConductorStatus(const JobId& aJob) const
{
  if (!this->conductor) {
    return {};
  }
  return this->conductor->StatusOf(aJob);
}

void
CellInstance::Submit(const cell::JobSpecification& aSpec, cell::Handler<Done> aHandler)
{
  this->intake.Submit(aSpec, std::move(aHandler));
}

void
CellInstance::Cancel(const JobId& aJob,
                     const WorkspaceId& aWorkspace,
                     cell::Handler<cell::CancelResult> aHandler)
{
  this->intake.Cancel(aJob, aWorkspace, std::move(aHandler));
}

void
CellInstance::QueryStatus(const JobId& aJob,
                          const WorkspaceId& aWorkspace,
                          cell::Handler<CallerJobState> aHandler)
{
  auto respond =
    [this, aJob, aWorkspace, handler = std::move(aHandler)](Result<cell::JobStatus> aStatus) {
      if (IsError(aStatus) || !ValueOf(aStatus).isKnown) {
        // A job that was just accepted is in the store before the leader has read it.
        this->StatusFromStore(aJob, aWorkspace, handler);
        return;
      }
      const auto& status = ValueOf(aStatus);
      const bool isInWorkspace = aWorkspace.IsEmpty() || status.workspace == aWorkspace;
      if (!isInWorkspace) {
        handler(UnknownJobVerdict());
        return;
      }
      handler(CallerStateOf(status.outcome, status.hasStarted));
    };
  if (const auto own = this->ConductorStatus(aJob)) {
    respond(*own);
    return;
  }
  const auto& leader = this->leadership.CurrentLeader();
  if (!leader || leader->instance == this->options.identity.name) {
    respond(NotRun(ErrorCode::Unavailable, "No leader is known."));
    return;
  }
  this->dependencies.calls.Status(
    { .address = leader->address, .port = leader->port }, aJob, std::move(respond));
}

void
CellInstance::StatusFromStore(const JobId& aJob,
                              const WorkspaceId& aWorkspace,
                              cell::Handler<CallerJobState> aHandler)
{
  cell::ReadStoredJob(this->store,
                      aJob,
                      [aWorkspace, handler = std::move(aHandler)](Result<cell::StoredJob> aStored) {
                        if (IsError(aStored)) {
                          handler(NotRun(ErrorCode::Unavailable,
                                         "The job's state cannot be read from the store.",
                                         Milliseconds{ 1000 }));
                          return;
                        }
                        const auto& stored = ValueOf(aStored);
                        const bool isInWorkspace =
                          aWorkspace.IsEmpty() || stored.workspace == aWorkspace;
                        if (!stored.isKnown || !isInWorkspace) {
                          handler(UnknownJobVerdict());
                          return;
                        }
                        handler(CallerStateOf(stored.outcome, stored.hasStarted));
                      });
}

Result<std::uint64_t>
CellInstance::CountPendingJobs(const QueueId& aQueue) const
{
  if (this->conductor) {
    const auto waiting = this->conductor->PendingJobsByQueue();
    const auto found = waiting.find(aQueue.value);
    return found == waiting.end() ? 0 : found->second;
  }
  const auto& leader = this->leadership.CurrentLeader();
  const auto lastReadAt = this->cellFollower->LastResponse();
  constexpr Milliseconds kMaxReportAge{ 2000 };
  const bool isFresh = lastReadAt && this->dependencies.clock.Now() - *lastReadAt < kMaxReportAge;
  if (!leader || !isFresh) {
    return NotRun(
      ErrorCode::Unavailable, "The backlog of the queue is currently unknown.", kMaxReportAge);
  }
  const auto found = leader->backlog.find(aQueue.value);
  return found == leader->backlog.end() ? 0 : found->second;
}

void
CellInstance::RequestAdvice(const std::string& aInstance,
                            cell::AdviceRequest aRequest,
                            cell::Handler<cell::AdviceResponse> aHandler)
{
  if (aInstance == this->options.identity.name) {
    this->dependencies.advise(aRequest, std::move(aHandler));
    return;
  }
  const auto peer = this->peers.find(aInstance);
  if (peer == this->peers.end()) {
    aHandler(NotRun(ErrorCode::Unavailable, "The instance is unknown."));
    return;
  }
  this->dependencies.calls.Advise(peer->second.endpoint, aRequest, std::move(aHandler));
}

}
