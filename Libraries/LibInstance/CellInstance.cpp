#include <LibInstance/CellInstance.h>

#include <algorithm>
#include <fmt/format.h>
#include <span>

namespace zinc {

namespace {

using cell::CallerJobState;
using cell::JobOutcome;

/// Lines about single parts of a document that cannot be read.
constexpr std::size_t kMaxDocumentFaultLines = 100;

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
  , gatedIntake({ .store = this->store,
                  .intake = this->intake,
                  .log = this->dependencies.log,
                  .metrics = this->dependencies.metrics,
                  .findForecast = [this] { return this->CurrentForecast(); } })
  , canceller({ .store = this->store,
                .timer = this->dependencies.timer,
                .clock = this->dependencies.clock,
                .metrics = this->dependencies.metrics })
  , election({ .store = this->store,
               .clock = this->dependencies.clock,
               .log = this->dependencies.log,
               .onTermBegun = [this](const cell::Term& aTerm) { this->OnTermBegun(aTerm); },
               .onTermLost = [this](std::string_view) { this->OnTermLost(); },
               .makeReport = [this] { return this->BuildLeaderReport(); },
               .onReportStored =
                 [this](const cell::LeaderReport& aReport, std::uint64_t aVersion) {
                   if (this->scheduler) {
                     this->scheduler->OnReportStored(aReport, aVersion);
                   }
                 } },
             this->options.identity,
             this->options.election)
  , workerDirectory(this->dependencies.layout.decodeWorker,
                    this->dependencies.log,
                    this->dependencies.metrics)
  , evacuationDirectory(this->dependencies.layout.decodeEvacuation,
                        this->options.evacuation,
                        this->dependencies.log)
{
}

CellInstance::~CellInstance() = default;

void
CellInstance::Start()
{
  this->StartDocumentWatcher();
  this->cellWatcher = this->StartWatcher({ .table = std::string(cell::kCellTable),
                                           .partitions = cell::CellTablePartitions(),
                                           .pollDelay = this->options.minCellReadInterval },
                                         &CellInstance::OnCellRows);
  this->WriteHeartbeat();
  this->MeasureSpeed();
  this->TickElection();
}

void
CellInstance::StartDocumentWatcher()
{
  if (this->documentWatcher) {
    this->documentWatcher->Stop();
  }
  this->documentWatcher =
    this->StartWatcher({ .table = this->dependencies.layout.documentTable,
                         .partitions = { "" },
                         .maxWait = this->options.documentLongPollTimeout,
                         .resyncInterval = this->options.documentRereadInterval },
                       &CellInstance::OnDocumentRows);
}

void
CellInstance::MeasureSpeed()
{
  this->speed.AddMeasurement(cell::SpeedProbe::Measure());
  this->election.SetSlow(this->speed.IsSlow());
  this->dependencies.timer.RunAfter(this->options.speedMeasurementInterval,
                                    [this] { this->MeasureSpeed(); });
}

std::shared_ptr<cell::TableWatcher>
CellInstance::StartWatcher(cell::TableWatcherOptions aOptions,
                           void (CellInstance::*aOnUpdate)(const cell::TableUpdate&))
{
  auto watcher = std::make_shared<cell::TableWatcher>(
    this->store,
    this->dependencies.timer,
    this->dependencies.clock,
    std::move(aOptions),
    [this, aOnUpdate](const cell::TableUpdate& aUpdate) { (this->*aOnUpdate)(aUpdate); });
  watcher->Start();
  return watcher;
}

void
CellInstance::BeginShutdown()
{
  this->isShuttingDown = true;
  this->election.Leave();
}

bool
CellInstance::IsReady() const
{
  return this->policy != nullptr && !this->isShuttingDown && this->store.IsAvailable();
}

void
CellInstance::OnDocumentRows(const cell::TableUpdate& aUpdate)
{
  this->UpdateSchedulerZones(
    this->evacuationDirectory.Apply(aUpdate, this->dependencies.clock.Now()));
  for (const auto& row : aUpdate.rows) {
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
           now - this->formerPolicies.front().first > this->options.formerDocumentRetention) {
      this->formerPolicies.pop_front();
    }
    this->policy = std::make_shared<cell::CellPolicy>(std::move(ValueOf(decoded)));
    this->dependencies.log.Log(LogLevel::Info,
                               "document_in_force",
                               { { "version", this->policy->version },
                                 { "queues", this->policy->routes.size() },
                                 { "keys", this->policy->workspaceByApiKey.size() } });
    this->LogDocumentFaults();
    if (this->scheduler) {
      this->scheduler->SetPolicy(this->policy);
    }
  }
}

void
CellInstance::LogDocumentFaults() const
{
  const std::span<const std::string> faults(this->policy->faults);
  for (const auto& fault : faults.first(std::min(faults.size(), kMaxDocumentFaultLines))) {
    this->dependencies.log.Log(LogLevel::Error,
                               "document_field_unreadable",
                               { { "version", this->policy->version }, { "reason", fault } });
  }
  if (faults.size() > kMaxDocumentFaultLines) {
    this->dependencies.log.Log(
      LogLevel::Error,
      "document_fields_unreadable",
      { { "version", this->policy->version }, { "fields", faults.size() } });
  }
}

void
CellInstance::UpdateSchedulerZones(bool aHaveChanged)
{
  const bool isDue = aHaveChanged || !this->hasSchedulerZones;
  if (!this->scheduler || !isDue || !this->documentWatcher->HasSnapshot()) {
    return;
  }
  this->hasSchedulerZones = true;
  this->scheduler->SetEvacuatedZones(this->evacuationDirectory.Zones());
}

void
CellInstance::OnCellRows(const cell::TableUpdate& aUpdate)
{
  bool hasLeader = false;
  for (const auto& row : aUpdate.rows) {
    if (row.key.key == cell::kLeaderKey) {
      hasLeader = true;
      this->election.OnLeaderRow(row);
    } else if (row.key.key.starts_with(cell::kInstancePrefix)) {
      this->OnPeerRow(row);
    }
  }
  if (aUpdate.isSnapshot && !hasLeader) {
    this->election.OnLeaderRow({});
  }
}

void
CellInstance::OnPeerRow(const cell::Row& aRow)
{
  const auto name = aRow.key.key.substr(cell::kInstancePrefix.size());
  const auto record = cell::DecodeInstanceRecord(aRow.value);
  if (aRow.isDeleted || IsError(record)) {
    this->peers.erase(name);
    this->canceller.SetInstanceCount(this->peers.size());
    return;
  }
  auto& peer = this->peers[name];
  peer.record = ValueOf(record);
  peer.endpoint = { .address = peer.record.address, .port = peer.record.port };
  peer.lastChangedAt = this->dependencies.clock.Now();
  this->canceller.SetInstanceCount(this->peers.size());
  this->election.OnInstanceRecord(name, peer.record, aRow.version);
}

void
CellInstance::WriteHeartbeat()
{
  cell::Transaction transaction;
  transaction.writes.push_back(
    { .key = cell::InstanceRowKey(this->options.identity.name),
      .value = cell::EncodeInstanceRecord({ .incarnation = this->options.identity.incarnation,
                                            .address = this->options.identity.address,
                                            .port = this->options.identity.port,
                                            .zone = this->options.zone,
                                            .milliCores = this->options.identity.milliCores,
                                            .heartbeat = ++this->heartbeatCount }) });
  this->store.Commit(std::move(transaction), [this](Result<cell::CommitResult> aResult) {
    this->dependencies.timer.RunAfter(IsError(aResult) ? this->options.heartbeatRetryDelay
                                                       : this->options.heartbeatInterval,
                                      [this] { this->WriteHeartbeat(); });
  });
}

void
CellInstance::TickElection()
{
  const auto lastReadAt =
    this->cellWatcher->HasSnapshot() ? this->cellWatcher->LastResponse() : std::nullopt;
  this->election.Tick(lastReadAt);
  if (this->scheduler) {
    this->scheduler->SetTermEnd(this->election.TermEnd());
    this->UpdateSchedulerInstances();
  }
  this->endedSchedulers.clear();
  const bool isCandidate = this->election.Rank() < this->options.candidateCount;
  this->cellWatcher->SetPollDelay(isCandidate ? this->options.minCellReadInterval
                                              : this->options.minCellReadIntervalAtLowRank);
  this->dependencies.timer.RunAfter(this->options.electionTickInterval,
                                    [this] { this->TickElection(); });
}

void
CellInstance::UpdateSchedulerInstances()
{
  const auto now = this->dependencies.clock.Now();
  std::vector<std::string> names{ this->options.identity.name };
  for (const auto& [name, peer] : this->peers) {
    if (now - peer.lastChangedAt < this->options.instanceTimeout) {
      names.push_back(name);
    }
  }
  this->scheduler->SetInstances(names);
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
  this->pendingTerm = PendingTerm{ .term = aTerm };
  this->workerDirectory.Clear();
  // A new leader has to know the zones that are evacuated now. The call in progress may belong to a
  // connection that broke with the predecessor.
  this->StartDocumentWatcher();
  this->jobWatcher = this->StartWatcher({ .table = std::string(cell::kJobTable),
                                          .partitions = cell::JobTablePartitions(),
                                          .pollDelay = this->options.minJobReadInterval },
                                        &CellInstance::OnJobRows);
  this->workerWatcher = this->StartWatcher({ .table = this->dependencies.layout.workerTable,
                                             .partitions = { "" },
                                             .pollDelay = this->options.minWorkerReadInterval },
                                           &CellInstance::OnWorkerRows);
}

void
CellInstance::OnTermLost()
{
  this->pendingTerm.reset();
  for (auto* watcher : { &this->jobWatcher, &this->workerWatcher }) {
    if (*watcher) {
      (*watcher)->Stop();
      watcher->reset();
    }
  }
  if (this->scheduler) {
    this->endedSchedulers.push_back(std::move(this->scheduler));
  }
  this->tombstoneSweeper.reset();
}

void
CellInstance::OnJobRows(const cell::TableUpdate& aUpdate)
{
  // A newer term ends this one before any job written after it is handled.
  for (const auto& row : aUpdate.rows) {
    if (row.key.partition == cell::kTermPartition) {
      this->election.OnTermRow(row.version);
    }
  }
  if (this->scheduler) {
    this->tombstoneSweeper->OnJobRows(aUpdate.rows);
    this->scheduler->OnJobRows(aUpdate.rows);
    return;
  }
  if (this->pendingTerm) {
    auto& rows = this->pendingTerm->jobRows;
    if (!rows) {
      rows.emplace();
    }
    rows->insert(rows->end(), aUpdate.rows.begin(), aUpdate.rows.end());
    this->StartSchedulerIfReady();
  }
}

void
CellInstance::OnWorkerRows(const cell::TableUpdate& aUpdate)
{
  const auto changes = this->workerDirectory.Apply(aUpdate);
  if (!this->scheduler) {
    if (this->pendingTerm) {
      this->pendingTerm->hasReadWorkers = true;
      this->StartSchedulerIfReady();
    }
    return;
  }
  for (const auto& entry : changes.listed) {
    this->scheduler->OnWorkerEntry(entry);
  }
  for (const auto& id : changes.unlisted) {
    this->scheduler->OnWorkerUnlisted(id);
  }
}

void
CellInstance::StartSchedulerIfReady()
{
  if (!this->pendingTerm->jobRows || !this->pendingTerm->hasReadWorkers || this->scheduler) {
    return;
  }
  auto start = std::move(*this->pendingTerm);
  this->pendingTerm.reset();
  this->scheduler = std::make_unique<cell::CellScheduler>(
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
              if (this->scheduler) {
                this->scheduler->Tick();
              }
            });
          }
        },
      .onUnpublishedWorker = [this] { this->election.RenewSoon(); } },
    this->options.scheduler);
  const auto now = this->dependencies.clock.Now();
  for (const auto& [replacedAt, former] : this->formerPolicies) {
    if (now - replacedAt <= this->options.formerDocumentRetention) {
      this->scheduler->SetPolicy(former);
    }
  }
  if (this->policy) {
    this->scheduler->SetPolicy(this->policy);
  }
  this->hasSchedulerZones = false;
  this->UpdateSchedulerInstances();
  this->scheduler->SetTermEnd(this->election.TermEnd());
  this->scheduler->SetPriorLeasesExpiry(start.term.priorLeasesExpiry);
  this->tombstoneSweeper = std::make_unique<cell::TombstoneSweeper>(
    cell::TombstoneSweeper::Dependencies{ .store = this->store,
                                          .clock = this->dependencies.clock,
                                          .metrics = this->dependencies.metrics });
  this->tombstoneSweeper->OnJobRows(*start.jobRows);
  this->scheduler->BeginTerm({ .fencingToken = start.term.token,
                               .previousWorkers = start.term.previousWorkers,
                               .drainingJobs = start.term.drainingJobs,
                               .suspendedLeases = start.term.suspendedLeases,
                               .fencedIncarnations = start.term.fencedIncarnations,
                               .hadPredecessor = start.term.hadPredecessor,
                               .hasStartRecords = start.term.hasStartRecords,
                               .jobRows = std::move(*start.jobRows),
                               .workers = this->workerDirectory.Entries() });
  this->election.RenewSoon();
  this->TickScheduler();
}

void
CellInstance::TickScheduler()
{
  if (!this->scheduler) {
    return;
  }
  auto* currentScheduler = this->scheduler.get();
  // A watch responds within its wait while nothing changes.
  constexpr Milliseconds kMaxWorkerRowAge{ 2000 };
  const auto lastRead = this->workerWatcher->LastResponse();
  if (!lastRead || this->dependencies.clock.Now() - *lastRead > kMaxWorkerRowAge) {
    currentScheduler->OnWorkerRowsUnavailable();
  }
  this->UpdateSchedulerZones(false);
  currentScheduler->Tick();
  if (this->tombstoneSweeper) {
    this->tombstoneSweeper->Tick();
  }
  this->dependencies.timer.RunAfter(this->options.schedulerTickInterval, [this, currentScheduler] {
    if (this->scheduler.get() == currentScheduler) {
      this->TickScheduler();
    }
  });
}

cell::LeaderReport
CellInstance::BuildLeaderReport()
{
  if (!this->scheduler) {
    // Until the scheduler starts, the report repeats what the predecessor published.
    const auto& leader = this->election.CurrentLeader();
    cell::LeaderReport report{ .isRecovering = true };
    if (this->pendingTerm) {
      const auto now = this->dependencies.clock.Now();
      const auto& term = this->pendingTerm->term;
      report.recoveryLeft = term.priorLeasesExpiry - now;
      report.suspendedLeases = cell::RemainingLeases(term.suspendedLeases, now);
      report.fencedIncarnations = term.fencedIncarnations;
      report.recordsStarts = term.hasStartRecords;
    }
    if (leader) {
      report.workers = leader->workers;
      report.drainingJobs = leader->drainingJobs;
      std::erase_if(report.workers, [&report](const std::string& aWorker) {
        return report.drainingJobs.contains({ aWorker });
      });
      report.pendingJobs = leader->backlog;
    }
    return report;
  }
  this->expectedWaits = this->scheduler->ExpectedWaits();
  this->expectedWaitsMadeAt = this->dependencies.clock.Now();
  this->LogExpectedWaits();
  auto report = this->scheduler->MakeLeaderReport();
  report.expectedWaits = this->expectedWaits;
  return report;
}

void
CellInstance::LogExpectedWaits()
{
  constexpr Milliseconds kLineInterval{ 1000 };
  constexpr std::size_t kMaxWaitsPerLine = 8;
  if (this->expectedWaits.empty() || this->expectedWaitsMadeAt < this->nextExpectedWaitsLine) {
    return;
  }
  this->nextExpectedWaitsLine = this->expectedWaitsMadeAt + kLineInterval;
  const auto waits =
    std::span(this->expectedWaits).first(std::min(this->expectedWaits.size(), kMaxWaitsPerLine));
  this->dependencies.log.Log(
    LogLevel::Info,
    "expected_waits",
    { { "count", this->expectedWaits.size() }, { "waits", cell::EncodeExpectedWaits(waits) } });
}

cell::ForecastView
CellInstance::CurrentForecast() const
{
  if (this->scheduler) {
    return { .waits = this->expectedWaits,
             .age = this->dependencies.clock.Now() - this->expectedWaitsMadeAt,
             .isRecovering = this->scheduler->IsRecovering() };
  }
  const auto& leader = this->election.CurrentLeader();
  if (!leader) {
    return {};
  }
  return { .waits = leader->expectedWaits,
           .age = this->election.LeaderRecordAge(),
           .isRecovering = leader->isRecovering };
}

void
CellInstance::CheckStore(cell::Handler<bool> aHandler)
{
  const bool isFresh = this->dependencies.clock.Now() - this->store.LastResponse() <=
                       this->options.maxStoreResponseAge;
  if (isFresh && this->IsStoreReachable()) {
    aHandler(true);
    return;
  }
  this->store.Read(LeaderRecordRange(),
                   [handler = std::move(aHandler)](const Result<cell::RowBatch>& aBatch) {
                     handler(!IsError(aBatch));
                   });
}

std::vector<std::string>
CellInstance::PeersToProbe() const
{
  std::uint32_t maxMilliCores = 0;
  for (const auto& [name, peer] : this->peers) {
    maxMilliCores = name == this->options.identity.name
                      ? maxMilliCores
                      : std::max(maxMilliCores, peer.record.milliCores);
  }
  const auto minMilliCores = this->election.IsLeader() ? this->options.minSuccessorCpuRatio *
                                                           static_cast<double>(maxMilliCores)
                                                       : 0.0;
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
  const bool hasLostStore =
    !this->IsStoreReachable() && storeSilence >= this->options.storeLossTimeout;
  if (!this->election.IsLeader() || !hasLostStore || this->isCheckingStore) {
    return;
  }
  // The store may have recovered for all instances while earlier calls still wait for it.
  this->isCheckingStore = true;
  this->store.Read(LeaderRecordRange(), [](const Result<cell::RowBatch>&) {});
  this->dependencies.timer.RunAfter(this->options.storeCheckTimeout, [this, aPeer] {
    this->isCheckingStore = false;
    this->ResignTo(aPeer);
  });
}

void
CellInstance::ResignTo(const std::string& aPeer)
{
  const auto peer = this->peers.find(aPeer);
  const auto storeSilence = this->dependencies.clock.Now() - this->store.LastResponse();
  if (peer == this->peers.end() || storeSilence < this->options.storeLossTimeout) {
    return;
  }
  const auto resignation = this->election.Resign();
  if (!resignation) {
    return;
  }
  this->dependencies.log.Log(LogLevel::Warning,
                             "term_resigned",
                             { { "token", resignation->token },
                               { "to", aPeer },
                               { "store_silent_ms", storeSilence.count() } });
  this->dependencies.calls.SendResignation(
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
CellInstance::OnLeaderResigned(cell::Resignation aResignation)
{
  this->election.OnResignation(std::move(aResignation));
}

std::optional<cell::JobStatus>
CellInstance::JobStatusIfLeader(const JobId& aJob) const
{
  if (!this->scheduler) {
    return {};
  }
  return this->scheduler->StatusOf(aJob);
}

void
CellInstance::Submit(const cell::JobSpecification& aSpec, cell::Handler<Done> aHandler)
{
  this->gatedIntake.Submit(aSpec, std::move(aHandler));
}

void
CellInstance::Cancel(const JobId& aJob,
                     const WorkspaceId& aWorkspace,
                     cell::Handler<cell::CancelResult> aHandler)
{
  this->canceller.Cancel(aJob, aWorkspace, std::move(aHandler));
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
  if (const auto own = this->JobStatusIfLeader(aJob)) {
    respond(*own);
    return;
  }
  const auto& leader = this->election.CurrentLeader();
  if (!leader || leader->instance == this->options.identity.name) {
    respond(NotRun(ErrorCode::Unavailable, "No leader is known."));
    return;
  }
  this->dependencies.calls.RequestJobStatus(
    { .address = leader->address, .port = leader->port }, aJob, std::move(respond));
}

void
CellInstance::StatusFromStore(const JobId& aJob,
                              const WorkspaceId& aWorkspace,
                              cell::Handler<CallerJobState> aHandler)
{
  cell::ReadStoredJob(this->store,
                      aJob,
                      this->policy,
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
  if (this->scheduler) {
    const auto waiting = this->scheduler->PendingJobsByQueue();
    const auto found = waiting.find(aQueue.value);
    return found == waiting.end() ? 0 : found->second;
  }
  const auto& leader = this->election.CurrentLeader();
  const auto lastReadAt = this->cellWatcher->LastResponse();
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
  this->dependencies.calls.RequestAdvice(peer->second.endpoint, aRequest, std::move(aHandler));
}

}
