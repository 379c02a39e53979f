#include <LibCell/LeaderElection.h>

#include <algorithm>

namespace zinc::cell {

LeaderElection::LeaderElection(Dependencies aDependencies,
                               Identity aIdentity,
                               LeaderElectionOptions aOptions)
  : dependencies(std::move(aDependencies))
  , identity(std::move(aIdentity))
  , options(aOptions)
  , createdAt(this->dependencies.clock.Now())
{
}

RowKey
LeaderElection::LeaderRowKey() const
{
  return { .table = std::string(kCellTable),
           .partition = std::string(kLeaderPartition),
           .key = std::string(kLeaderKey) };
}

bool
LeaderElection::IsOwnRecord(const LeaderRecord& aRecord) const
{
  return aRecord.instance == this->identity.name &&
         aRecord.incarnation == this->identity.incarnation;
}

void
LeaderElection::OnLeaderRow(const Row& aRow)
{
  if (this->hasRow && aRow.version <= this->rowVersion) {
    return;
  }
  std::optional<LeaderRecord> record;
  if (aRow.version > 0 && !aRow.isDeleted) {
    const auto decoded = DecodeLeaderRecord(aRow.value);
    if (IsError(decoded)) {
      this->dependencies.log.Log(
        LogLevel::Error, "owner_row_unreadable", { { "reason", ErrorOf(decoded).message } });
    } else {
      record = ValueOf(decoded);
    }
  }
  const auto now = this->dependencies.clock.Now();
  this->hasRow = true;
  this->rowVersion = aRow.version;
  this->unchangedSince = now;
  this->rowSeenAt = now;
  this->takeoverDueSince = {};
  const bool isOwn = record && this->IsOwnRecord(*record);
  this->leader = std::move(record);
  if (this->state == State::Leader && !isOwn) {
    this->EndTerm("the leader record names another instance");
    return;
  }
  if (this->state == State::Leader && this->leader->isResigning) {
    // The response to the handover renewal may be lost, and others take over immediately.
    this->CompleteHandover();
    return;
  }
  if (this->state == State::Follower && isOwn && !this->leader->isResigning &&
      this->leader->token == 0) {
    // A request for leadership took effect although its response was lost.
    this->BeginTerm(aRow.version, now);
  }
}

void
LeaderElection::OnTermRow(std::uint64_t aVersion)
{
  if (this->state == State::Leader && aVersion > this->token) {
    this->EndTerm("a later term has begun");
  }
}

void
LeaderElection::OnInstanceRecord(const std::string& aName,
                                 const InstanceRecord& aRecord,
                                 std::uint64_t aVersion)
{
  auto& known = this->instances[aName];
  if (aVersion > known.version) {
    known = { .incarnation = aRecord.incarnation,
              .milliCores = aRecord.milliCores,
              .version = aVersion };
  }
}

bool
LeaderElection::HasLeaderStopped() const
{
  if (!this->leader) {
    return true;
  }
  if (this->leader->isResigning || this->leader->instance == this->identity.name ||
      this->HasLeaderResigned()) {
    return true;
  }
  const auto found = this->instances.find(this->leader->instance);
  // An instance record older than the leader record is of an earlier incarnation.
  return found != this->instances.end() && found->second.incarnation != this->leader->incarnation &&
         found->second.version > this->rowVersion;
}

bool
LeaderElection::HasLeaderResigned() const
{
  return this->leader && this->resignation && this->resignation->token != 0 &&
         this->leader->token == this->resignation->token;
}

bool
LeaderElection::IsTakeoverDue(std::optional<TimePoint> aLastRead) const
{
  const auto now = this->dependencies.clock.Now();
  if (!this->hasRow || !aLastRead || now - *aLastRead > this->options.maxReadAge) {
    return false;
  }
  return this->HasLeaderStopped() || now - this->unchangedSince > this->options.leaderTimeout;
}

std::optional<Milliseconds>
LeaderElection::LeaderRecordAge() const
{
  const auto storeTime = this->dependencies.store.StoreTime();
  if (!this->leader || this->leader->writtenAt.count() == 0 || !storeTime) {
    return {};
  }
  return *storeTime - this->leader->writtenAt;
}

TimePoint
LeaderElection::LeaderLeasesExpiry() const
{
  const auto now = this->dependencies.clock.Now();
  // The renewal was sent before its row was seen, and no later one has taken effect.
  const auto termEnd = this->rowSeenAt + this->options.termDuration;
  const auto lastGrant = this->HasLeaderStopped() ? std::min(now, termEnd) : termEnd;
  return std::max(lastGrant + this->options.maxLeaseAfterTerm,
                  this->rowSeenAt + this->leader->longestLease);
}

bool
LeaderElection::HasLeaderRecordedStarts() const
{
  // The times of the store that two instances know differ by the transit of a response.
  constexpr Milliseconds kMaxTransit{ 100 };
  // The clock of the leader may run fast, so that its record seems younger than it is.
  const auto sinceSeen = this->dependencies.clock.Now() - this->rowSeenAt;
  const auto age = this->LeaderRecordAge();
  // A leader whose handover was stored may lead on if it did not get the response.
  const bool hasStopped = this->leader && !this->leader->isResigning && this->HasLeaderStopped();
  return hasStopped && this->leader->recordsStarts && age &&
         std::max(*age, sinceSeen) + kMaxTransit < kStartRecordPromise;
}

std::map<WorkerId, TimePoint>
LeaderElection::SuspendedLeasesExpiry() const
{
  std::map<WorkerId, TimePoint> expiry;
  if (this->leader) {
    for (const auto& [worker, left] : this->leader->suspendedLeases) {
      expiry.emplace(worker, this->rowSeenAt + left);
    }
  }
  return expiry;
}

bool
LeaderElection::IsSmall() const
{
  return std::ranges::any_of(this->instances, [this](const auto& aEntry) {
    return this->identity.milliCores <
           this->options.minSuccessorCpuRatio * aEntry.second.milliCores;
  });
}

std::size_t
LeaderElection::Rank() const
{
  // The largest processor goes first. Among equals, a hash that changes with each term varies which
  // instance becomes the leader.
  const auto rankOf = [this](const std::string& aName, std::uint32_t aMilliCores) {
    return std::pair(
      -static_cast<std::int64_t>(aMilliCores),
      std::hash<std::string>{}(aName + std::to_string(this->leader ? this->leader->token : 0)));
  };
  const auto own = rankOf(this->identity.name, this->identity.milliCores);
  return static_cast<std::size_t>(std::ranges::count_if(this->instances, [&](const auto& aEntry) {
    return aEntry.first != this->identity.name &&
           rankOf(aEntry.first, aEntry.second.milliCores) < own;
  }));
}

void
LeaderElection::Tick(std::optional<TimePoint> aLastRead)
{
  const auto now = this->dependencies.clock.Now();
  const auto elapsed = this->lastTick == TimePoint{} ? Milliseconds{ 0 } : now - this->lastTick;
  this->lastTick = now;
  if (this->state == State::Leader) {
    // At most one of several renewals in flight takes effect, since they have the same condition.
    const bool isOverdue =
      this->isRenewing && now - this->renewalSentAt >= this->options.renewalResendDelay;
    if ((!this->isRenewing || isOverdue) && now >= this->nextRenewalAt) {
      this->Renew();
    }
    return;
  }
  if (this->state != State::Follower || this->isLeaving) {
    return;
  }
  if (!aLastRead || now - *aLastRead > this->options.maxReadAge) {
    // Time in which the record cannot be read does not count, since the leader may have been unable
    // to renew it.
    this->unchangedSince = std::min(now, this->unchangedSince + elapsed);
    this->unreadableAt = now;
    this->takeoverDueSince = {};
    return;
  }
  if (!this->IsTakeoverDue(aLastRead)) {
    this->takeoverDueSince = {};
    return;
  }
  if (this->takeoverDueSince == TimePoint{}) {
    this->takeoverDueSince = now;
  }
  // If there was a leader before, the rows of the other instances are in the store already.
  const bool isStartingUp = !this->leader && now - this->createdAt < this->options.startupDelay;
  // A resignation is sent to one instance only, so no other one competes.
  const std::size_t rank = this->HasLeaderResigned() ? 0 : this->Rank();
  const auto delay = this->isSlow ? this->options.slowCandidacyDelay : Milliseconds{ 0 };
  const bool isAfterOutage =
    this->unreadableAt && now - *this->unreadableAt < this->options.smallInstanceDelayAfterOutage;
  if (isAfterOutage && this->IsSmall() && !this->HasLeaderResigned()) {
    return;
  }
  if (!isStartingUp &&
      now - this->takeoverDueSince >= this->options.candidacyStagger * rank + delay) {
    this->RequestLeadership();
  }
}

std::optional<Resignation>
LeaderElection::Resign()
{
  if (this->state != State::Leader) {
    return {};
  }
  auto report = this->dependencies.makeReport();
  Resignation resignation{ .token = this->token, .workers = std::move(report.workers) };
  for (const auto& [worker, jobs] : report.drainingJobs) {
    resignation.workers.push_back(worker.value);
  }
  this->EndTerm("resigned without access to the store");
  return resignation;
}

void
LeaderElection::OnResignation(Resignation aResignation)
{
  this->dependencies.log.Log(LogLevel::Info,
                             "owner_resigned",
                             { { "token", aResignation.token },
                               { "workers", aResignation.workers.size() },
                               { "row", this->leader ? this->leader->token : 0 } });
  this->resignation = std::move(aResignation);
}

void
LeaderElection::RequestLeadership()
{
  const auto now = this->dependencies.clock.Now();
  this->state = State::Candidate;
  this->predecessor = this->leader;
  this->hasPredecessorStopped = this->HasLeaderStopped();
  this->hasStartRecords = this->HasLeaderRecordedStarts();
  this->suspendedLeasesExpiry = this->SuspendedLeasesExpiry();
  this->priorLeasesExpiry = this->leader ? this->LeaderLeasesExpiry() : now;
  if (this->leader && this->leader->isRecovering) {
    this->priorLeasesExpiry =
      std::max(this->priorLeasesExpiry, this->rowSeenAt + this->leader->recoveryLeft);
  }
  if (this->HasLeaderResigned()) {
    auto& workers = this->predecessor->workers;
    for (const auto& worker : this->resignation->workers) {
      if (std::ranges::find(workers, worker) == workers.end()) {
        workers.push_back(worker);
      }
    }
  }
  LeaderRecord record{ .instance = this->identity.name,
                       .incarnation = this->identity.incarnation,
                       .address = this->identity.address,
                       .port = this->identity.port,
                       .isRecovering = true,
                       .recoveryLeft = this->priorLeasesExpiry - now,
                       .writtenAt =
                         this->dependencies.store.StoreTime().value_or(Milliseconds{ 0 }) };
  if (this->leader) {
    record.workers = this->predecessor->workers;
    record.drainingJobs = this->predecessor->drainingJobs;
    record.suspendedLeases = RemainingLeases(this->suspendedLeasesExpiry, now);
    record.fencedIncarnations = this->predecessor->fencedIncarnations;
    record.recordsStarts = this->hasStartRecords;
    record.backlog = this->leader->backlog;
  }
  const auto key = this->LeaderRowKey();
  Transaction transaction;
  transaction.conditions.push_back({ .key = key, .version = this->rowVersion });
  transaction.writes.push_back({ .key = key, .value = EncodeLeaderRecord(record) });
  // Watchers of the job table see this term before any job that is accepted after it.
  transaction.writes.push_back({ .key = { .table = std::string(kJobTable),
                                          .partition = std::string(kTermPartition),
                                          .key = std::string(kLeaderKey) },
                                 .value = "{}" });
  for (std::uint32_t partition = 0; partition < kProgressPartitionCount; ++partition) {
    transaction.writes.push_back({ .key = ProgressTermRowKey(partition), .value = "{}" });
  }
  transaction.spansPartitions = true;
  this->dependencies.log.Log(LogLevel::Info,
                             "term_sought",
                             { { "version", this->rowVersion },
                               { "owner", this->leader ? this->leader->instance : "" },
                               { "dead", this->hasPredecessorStopped },
                               { "unchanged_ms", (now - this->unchangedSince).count() } });
  this->dependencies.store.Commit(
    std::move(transaction),
    [this, now](Result<CommitResult> aResult) { this->OnLeadershipResult(now, aResult); });
}

void
LeaderElection::OnLeadershipResult(TimePoint aSent, const Result<CommitResult>& aResult)
{
  if (this->state != State::Candidate) {
    return;
  }
  this->state = State::Follower;
  this->takeoverDueSince = {};
  if (IsError(aResult)) {
    return;
  }
  const auto& result = ValueOf(aResult);
  if (result.isCommitted) {
    this->hasRow = true;
    this->rowVersion = result.version;
    this->BeginTerm(result.version, aSent);
    return;
  }
  for (const auto& row : result.currentRows) {
    this->OnLeaderRow(row);
  }
}

void
LeaderElection::BeginTerm(std::uint64_t aToken, TimePoint aSent)
{
  this->state = State::Leader;
  this->termBegunAt = this->dependencies.clock.Now();
  this->isHandingOver = false;
  this->token = aToken;
  this->termEnd = aSent + this->options.termDuration;
  this->nextRenewalAt = this->dependencies.clock.Now();
  Term term{ .token = aToken, .hadPredecessor = this->predecessor.has_value() };
  if (this->predecessor) {
    // If the predecessor was still recovering, runs of leaders before it may still exist.
    term.hasPredecessorStopped = this->hasPredecessorStopped && !this->predecessor->isRecovering;
    term.priorLeasesExpiry = this->priorLeasesExpiry;
    term.suspendedLeases = this->suspendedLeasesExpiry;
    term.drainingJobs = this->predecessor->drainingJobs;
    term.fencedIncarnations = this->predecessor->fencedIncarnations;
    term.hasStartRecords = this->hasStartRecords;
    for (const auto& worker : this->predecessor->workers) {
      term.previousWorkers.push_back({ worker });
    }
  }
  this->dependencies.onTermBegun(term);
}

void
LeaderElection::Renew()
{
  const auto now = this->dependencies.clock.Now();
  auto report = this->dependencies.makeReport();
  LeaderRecord record{ .instance = this->identity.name,
                       .incarnation = this->identity.incarnation,
                       .address = this->identity.address,
                       .port = this->identity.port,
                       .token = this->token,
                       .isResigning = this->isLeaving || this->isHandingOver,
                       .isRecovering = report.isRecovering,
                       .recoveryLeft = report.recoveryLeft,
                       .writtenAt =
                         this->dependencies.store.StoreTime().value_or(Milliseconds{ 0 }),
                       .workers = report.workers,
                       .drainingJobs = report.drainingJobs,
                       .suspendedLeases = report.suspendedLeases,
                       .fencedIncarnations = report.fencedIncarnations,
                       .longestLease = report.longestLease,
                       .recordsStarts = report.recordsStarts,
                       .backlog = report.pendingJobs,
                       .expectedWaits = report.expectedWaits };
  // A successor reads the draining workers, too.
  for (const auto& [worker, jobs] : report.drainingJobs) {
    record.workers.push_back(worker.value);
  }
  const auto key = this->LeaderRowKey();
  Transaction transaction;
  transaction.conditions.push_back({ .key = key, .version = this->rowVersion });
  transaction.writes.push_back({ .key = key, .value = EncodeLeaderRecord(record) });
  this->isRenewing = true;
  this->renewalSentAt = now;
  this->isRenewalOutdated = false;
  this->dependencies.store.Commit(
    std::move(transaction),
    [this, now, report = std::move(report), isHandover = record.isResigning](
      Result<CommitResult> aResult) { this->OnRenewalResult(now, report, isHandover, aResult); });
}

void
LeaderElection::OnRenewalResult(TimePoint aSent,
                                const LeaderReport& aReport,
                                bool aIsHandover,
                                const Result<CommitResult>& aResult)
{
  this->isRenewing = false;
  if (this->state != State::Leader) {
    return;
  }
  if (IsError(aResult)) {
    this->nextRenewalAt = this->dependencies.clock.Now() + this->options.renewalRetryDelay;
    return;
  }
  const auto& result = ValueOf(aResult);
  if (!result.isCommitted) {
    const auto previousVersion = this->rowVersion;
    for (const auto& row : result.currentRows) {
      this->OnLeaderRow(row);
    }
    if (result.currentRows.empty()) {
      this->EndTerm("the leader record was deleted");
    } else if (this->state == State::Leader && this->rowVersion != previousVersion) {
      // An earlier renewal took effect although its response was lost.
      this->nextRenewalAt = this->dependencies.clock.Now();
    }
    return;
  }
  this->rowVersion = std::max(this->rowVersion, result.version);
  this->unchangedSince = this->dependencies.clock.Now();
  this->rowSeenAt = this->unchangedSince;
  this->termEnd = aSent + this->options.termDuration;
  this->nextRenewalAt = this->isRenewalOutdated ? this->dependencies.clock.Now()
                                                : aSent + this->options.renewalInterval;
  if (this->dependencies.onReportStored) {
    this->dependencies.onReportStored(aReport, result.version);
  }
  if (aIsHandover) {
    this->CompleteHandover();
  }
}

void
LeaderElection::CompleteHandover()
{
  this->EndTerm("handed over");
  this->state = this->isLeaving ? State::Left : State::Follower;
}

void
LeaderElection::EndTerm(std::string_view aReason)
{
  this->state = State::Follower;
  this->termEnd = {};
  this->dependencies.log.Log(
    LogLevel::Info, "ownership_lost", { { "token", this->token }, { "reason", aReason } });
  this->dependencies.onTermLost(aReason);
}

void
LeaderElection::RenewSoon()
{
  this->isRenewalOutdated = true;
  this->nextRenewalAt = {};
}

bool
LeaderElection::HasSuccessor() const
{
  return std::ranges::any_of(this->instances, [this](const auto& aEntry) {
    return aEntry.first != this->identity.name &&
           aEntry.second.milliCores >=
             this->options.minSuccessorCpuRatio * this->identity.milliCores;
  });
}

void
LeaderElection::SetSlow(bool aIsSlow)
{
  if (aIsSlow != this->isSlow) {
    this->dependencies.log.Log(
      LogLevel::Info, "machine_speed", { { "slow", aIsSlow }, { "owner", this->IsLeader() } });
  }
  this->isSlow = aIsSlow;
  const bool canHandOver =
    this->dependencies.clock.Now() - this->termBegunAt >= this->options.minTermBeforeHandover &&
    !this->isHandingOver;
  if (this->isSlow && this->IsLeader() && canHandOver && this->HasSuccessor()) {
    this->isHandingOver = true;
    this->nextRenewalAt = {};
  }
}

void
LeaderElection::Leave()
{
  this->isLeaving = true;
  this->nextRenewalAt = {};
}

}
