#include <LibCell/LeaderElection.h>

#include <algorithm>

namespace zinc::cell {

LeaderElection::LeaderElection(Dependencies aDependencies,
                               Identity aIdentity,
                               LeaderElectionOptions aOptions)
  : dependencies(std::move(aDependencies))
  , identity(std::move(aIdentity))
  , options(aOptions)
  , created(this->dependencies.clock.Now())
{
}

RowKey
LeaderElection::OwnerKey() const
{
  return { .table = std::string(kCellTable),
           .partition = std::string(kLeaderPartition),
           .key = std::string(kLeaderKey) };
}

bool
LeaderElection::IsMine(const LeaderRecord& aRecord) const
{
  return aRecord.instance == this->identity.name &&
         aRecord.incarnation == this->identity.incarnation;
}

void
LeaderElection::OnLeaderRow(const Row& aRow)
{
  if (this->hasRow && aRow.version <= this->version) {
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
  this->version = aRow.version;
  this->unchangedSince = now;
  this->changedAt = now;
  this->goneSince = {};
  const bool isMine = record && this->IsMine(*record);
  this->owner = std::move(record);
  if (this->state == State::Leader && !isMine) {
    this->Lose("the ownership row names another instance");
    return;
  }
  if (this->state == State::Leader && this->owner->isLeaving) {
    // The answer to it may be lost, and others take the row at once.
    this->GiveUp();
    return;
  }
  if (this->state == State::Follower && isMine && !this->owner->isLeaving &&
      this->owner->token == 0) {
    // An attempt whose answer was lost has taken effect.
    this->Begin(aRow.version, now);
  }
}

void
LeaderElection::OnTermRow(std::uint64_t aVersion)
{
  if (this->state == State::Leader && aVersion > this->token) {
    this->Lose("a later term has begun");
  }
}

void
LeaderElection::OnInstance(const std::string& aName,
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
LeaderElection::IsOwnerDead() const
{
  if (!this->owner) {
    return true;
  }
  if (this->owner->isLeaving || this->owner->instance == this->identity.name ||
      this->HasOwnerResigned()) {
    return true;
  }
  const auto found = this->instances.find(this->owner->instance);
  // A row written before the owner took over is of a life before.
  return found != this->instances.end() && found->second.incarnation != this->owner->incarnation &&
         found->second.version > this->version;
}

bool
LeaderElection::HasOwnerResigned() const
{
  return this->owner && this->resigned && this->resigned->token != 0 &&
         this->owner->token == this->resigned->token;
}

bool
LeaderElection::IsOwnerGone(std::optional<TimePoint> aLastRead) const
{
  const auto now = this->dependencies.clock.Now();
  if (!this->hasRow || !aLastRead || now - *aLastRead > this->options.staleView) {
    return false;
  }
  return this->IsOwnerDead() || now - this->unchangedSince > this->options.takeoverAfter;
}

std::optional<Milliseconds>
LeaderElection::RowAge() const
{
  const auto storeTime = this->dependencies.store.StoreTime();
  if (!this->owner || this->owner->written.count() == 0 || !storeTime) {
    return {};
  }
  return *storeTime - this->owner->written;
}

TimePoint
LeaderElection::GrantsEnd() const
{
  const auto now = this->dependencies.clock.Now();
  // A renewal was sent before its row was seen, and none has been carried out since.
  const auto termEnd = this->changedAt + this->options.term;
  const auto actsUntil = this->IsOwnerDead() ? std::min(now, termEnd) : termEnd;
  return actsUntil + this->options.leaseBound;
}

TimePoint
LeaderElection::FormerGrantsEnd() const
{
  return this->owner->isRecovering ? this->changedAt + this->owner->recoveryLeft : TimePoint{};
}

std::size_t
LeaderElection::Rank() const
{
  // Those with more processor time go first; a hash that changes with the row spreads the others,
  // so that not always the same instance conducts.
  const auto rankOf = [this](const std::string& aName, std::uint32_t aMilliCores) {
    return std::pair(
      -static_cast<std::int64_t>(aMilliCores),
      std::hash<std::string>{}(aName + std::to_string(this->owner ? this->owner->token : 0)));
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
  if (this->state == State::Leader) {
    if (!this->isRenewing && now >= this->nextRenewal) {
      this->Renew();
    }
    return;
  }
  if (this->state != State::Follower || this->isLeaving) {
    return;
  }
  if (!aLastRead || now - *aLastRead > this->options.staleView) {
    // Nothing is known of the owner while the row cannot be read.
    this->unchangedSince = now;
    this->goneSince = {};
    return;
  }
  if (!this->IsOwnerGone(aLastRead)) {
    this->goneSince = {};
    return;
  }
  if (this->goneSince == TimePoint{}) {
    this->goneSince = now;
  }
  // The rows of the others are in the store already if there was an owner before.
  const bool isNew = !this->owner && now - this->created < this->options.firstTake;
  // Nobody else knows of a resignation, so that there is nobody to wait for.
  const std::size_t rank = this->HasOwnerResigned() ? 0 : this->Rank();
  const auto delay = this->isSlow ? this->options.slowDelay : Milliseconds{ 0 };
  if (!isNew && now - this->goneSince >= this->options.stagger * rank + delay) {
    this->Take();
  }
}

std::optional<Resignation>
LeaderElection::Resign()
{
  if (this->state != State::Leader) {
    return {};
  }
  Resignation resignation{ .token = this->token, .workers = this->dependencies.news().workers };
  this->Lose("resigned without the store");
  return resignation;
}

void
LeaderElection::OnResigned(Resignation aResignation)
{
  this->dependencies.log.Log(LogLevel::Info,
                             "owner_resigned",
                             { { "token", aResignation.token },
                               { "workers", aResignation.workers.size() },
                               { "row", this->owner ? this->owner->token : 0 } });
  this->resigned = std::move(aResignation);
}

void
LeaderElection::Take()
{
  const auto now = this->dependencies.clock.Now();
  this->state = State::Taking;
  this->replaced = this->owner;
  this->isReplacedDead = this->IsOwnerDead();
  this->formerEnd = this->owner ? this->FormerGrantsEnd() : TimePoint{};
  this->replacedEnd = this->owner ? std::max(this->GrantsEnd(), this->formerEnd) : now;
  this->replacedAge = this->RowAge();
  if (this->HasOwnerResigned()) {
    auto& workers = this->replaced->workers;
    for (const auto& worker : this->resigned->workers) {
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
                       .recoveryLeft = this->replacedEnd - now,
                       .written =
                         this->dependencies.store.StoreTime().value_or(Milliseconds{ 0 }) };
  if (this->owner) {
    record.workers = this->replaced->workers;
    record.waiting = this->owner->waiting;
  }
  const auto key = this->OwnerKey();
  Transaction transaction;
  transaction.conditions.push_back({ .key = key, .version = this->version });
  transaction.writes.push_back({ .key = key, .value = EncodeLeaderRecord(record) });
  // Whoever follows the jobs learns of this term before any job that is accepted after it.
  transaction.writes.push_back({ .key = { .table = std::string(kJobTable),
                                          .partition = std::string(kTermPartition),
                                          .key = std::string(kLeaderKey) },
                                 .value = "{}" });
  transaction.spansPartitions = true;
  this->dependencies.log.Log(LogLevel::Info,
                             "term_sought",
                             { { "version", this->version },
                               { "owner", this->owner ? this->owner->instance : "" },
                               { "dead", this->isReplacedDead },
                               { "unchanged_ms", (now - this->unchangedSince).count() } });
  this->dependencies.store.Commit(
    std::move(transaction),
    [this, now](Result<CommitResult> aAnswer) { this->OnTaken(now, aAnswer); });
}

void
LeaderElection::OnTaken(TimePoint aSent, const Result<CommitResult>& aAnswer)
{
  if (this->state != State::Taking) {
    return;
  }
  this->state = State::Follower;
  this->goneSince = {};
  if (IsError(aAnswer)) {
    return;
  }
  const auto& answer = ValueOf(aAnswer);
  if (answer.isCommitted) {
    this->hasRow = true;
    this->version = answer.version;
    this->Begin(answer.version, aSent);
    return;
  }
  for (const auto& row : answer.currentRows) {
    this->OnLeaderRow(row);
  }
}

void
LeaderElection::Begin(std::uint64_t aToken, TimePoint aSent)
{
  this->state = State::Leader;
  this->termBegun = this->dependencies.clock.Now();
  this->isHandingOver = false;
  this->token = aToken;
  this->termEnd = aSent + this->options.term;
  this->nextRenewal = this->dependencies.clock.Now();
  Term term{ .token = aToken, .hadPredecessor = this->replaced.has_value() };
  if (this->replaced) {
    // A predecessor that had not finished its own recovery leaves what its predecessor left.
    term.isPredecessorDead = this->isReplacedDead && !this->replaced->isRecovering;
    term.predecessorEnd = this->replacedEnd;
    term.formerEnd = this->formerEnd;
    term.predecessorAge = this->replacedAge;
    for (const auto& worker : this->replaced->workers) {
      term.previousWorkers.push_back({ worker });
    }
  }
  this->dependencies.onBegun(term);
}

void
LeaderElection::Renew()
{
  const auto now = this->dependencies.clock.Now();
  const auto news = this->dependencies.news();
  const LeaderRecord record{ .instance = this->identity.name,
                             .incarnation = this->identity.incarnation,
                             .address = this->identity.address,
                             .port = this->identity.port,
                             .token = this->token,
                             .isLeaving = this->isLeaving || this->isHandingOver,
                             .isRecovering = news.isRecovering,
                             .recoveryLeft = news.recoveryLeft,
                             .written =
                               this->dependencies.store.StoreTime().value_or(Milliseconds{ 0 }),
                             .workers = news.workers,
                             .waiting = news.waiting };
  const auto key = this->OwnerKey();
  Transaction transaction;
  transaction.conditions.push_back({ .key = key, .version = this->version });
  transaction.writes.push_back({ .key = key, .value = EncodeLeaderRecord(record) });
  this->isRenewing = true;
  this->isRenewalOld = false;
  this->dependencies.store.Commit(
    std::move(transaction),
    [this, now, workers = news.workers, isGivenUp = record.isLeaving](
      Result<CommitResult> aAnswer) { this->OnRenewed(now, workers, isGivenUp, aAnswer); });
}

void
LeaderElection::OnRenewed(TimePoint aSent,
                          const std::vector<std::string>& aWorkers,
                          bool aIsGivenUp,
                          const Result<CommitResult>& aAnswer)
{
  this->isRenewing = false;
  if (this->state != State::Leader) {
    return;
  }
  if (IsError(aAnswer)) {
    this->nextRenewal = this->dependencies.clock.Now() + this->options.renewRetry;
    return;
  }
  const auto& answer = ValueOf(aAnswer);
  if (!answer.isCommitted) {
    const auto before = this->version;
    for (const auto& row : answer.currentRows) {
      this->OnLeaderRow(row);
    }
    if (answer.currentRows.empty()) {
      this->Lose("the ownership row is gone");
    } else if (this->state == State::Leader && this->version != before) {
      // A renewal whose answer was lost has taken effect.
      this->nextRenewal = this->dependencies.clock.Now();
    }
    return;
  }
  this->version = std::max(this->version, answer.version);
  this->unchangedSince = this->dependencies.clock.Now();
  this->changedAt = this->unchangedSince;
  this->termEnd = aSent + this->options.term;
  this->nextRenewal =
    this->isRenewalOld ? this->dependencies.clock.Now() : aSent + this->options.renewEvery;
  if (this->dependencies.onPublished) {
    this->dependencies.onPublished(aWorkers);
  }
  if (aIsGivenUp) {
    this->GiveUp();
  }
}

void
LeaderElection::GiveUp()
{
  this->Lose("handed over");
  this->state = this->isLeaving ? State::Left : State::Follower;
}

void
LeaderElection::Lose(std::string_view aReason)
{
  this->state = State::Follower;
  this->termEnd = {};
  this->dependencies.log.Log(
    LogLevel::Info, "ownership_lost", { { "token", this->token }, { "reason", aReason } });
  this->dependencies.onLost(aReason);
}

void
LeaderElection::RenewSoon()
{
  this->isRenewalOld = true;
  this->nextRenewal = {};
}

bool
LeaderElection::HasHeir() const
{
  return std::ranges::any_of(this->instances, [this](const auto& aEntry) {
    return aEntry.first != this->identity.name &&
           aEntry.second.milliCores >= this->options.heirSize * this->identity.milliCores;
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
  const bool isSettled =
    this->dependencies.clock.Now() - this->termBegun >= this->options.handOverPause &&
    !this->isHandingOver;
  if (this->isSlow && this->IsLeader() && isSettled && this->HasHeir()) {
    this->isHandingOver = true;
    this->nextRenewal = {};
  }
}

void
LeaderElection::Leave()
{
  this->isLeaving = true;
  this->nextRenewal = {};
}

}
