#include <LibLimits/ResourceArithmetic.h>
#include <LibLimits/TeamQuota.h>

#include <algorithm>
#include <cstdlib>
#include <random>

namespace zinc::detail {

namespace {

constexpr std::uint32_t kMaxDoublings = 16;

/// After returning quota that others need, an entry instance requests more only when the others
/// have had time to read the row twice.
constexpr int kPollsBeforeNextRequest = 2;

/// @return true if an amount on one side is more than twice that on the other.
bool
DiffersWidely(const Resources& aLeft, const Resources& aRight)
{
  return !aLeft.FitsIn(aRight + aRight) || !aRight.FitsIn(aLeft + aLeft);
}

/// @return true if the holder's grant changes by at least the limit divided by the number of
/// holders. Only a few such changes can follow one another before the limit is used up or returned.
bool
IsLargeChange(const TeamQuotaRow& aBefore, const TeamQuotaRow& aAfter, const EntryId& aHolder)
{
  const Resources before = aBefore.FindGrant(aHolder).amount;
  const Resources after = aAfter.FindGrant(aHolder).amount;
  const auto holders = static_cast<std::int64_t>(aAfter.grants.size());
  return std::ranges::any_of(kResourceFields, [&](const auto aAmount) {
    const std::int64_t change = std::abs(after.*aAmount - before.*aAmount);
    return change > 0 && change * holders >= aAfter.limit.*aAmount;
  });
}

/// @return one entry instance's share of the rate at which all holders together write a row.
WriteBudgetOptions
ComputeWriteRate(Milliseconds aInterval, double aBurst, const TeamQuotaRow& aRow)
{
  const std::chrono::duration<double> mean =
    aInterval * std::max<std::size_t>(1, aRow.grants.size());
  return { .rowsPerSecond = 1.0 / mean.count(), .burst = aBurst };
}

}

Milliseconds
QuotaContext::ApplyJitter(Milliseconds aTime)
{
  std::uniform_int_distribution<Milliseconds::rep> jitter(aTime.count() / 2,
                                                          aTime.count() + aTime.count() / 2);
  return Milliseconds(jitter(this->random));
}

Milliseconds
QuotaContext::ComputeRetryDelay(std::uint32_t aFailures)
{
  const auto doublingCount = std::min(aFailures, kMaxDoublings);
  return this->ApplyJitter(
    std::min(this->options.maxRetryDelay, this->options.minRetryDelay * (1U << doublingCount)));
}

TeamQuota::TeamQuota(QuotaContext& aContext, TeamId aTeam)
  : context(aContext)
  , team(std::move(aTeam))
  , rowWriteBudget(
      ComputeWriteRate(aContext.options.minWriteInterval, aContext.options.writeBurst, {}))
{
}

void
TeamQuota::SetLimit(std::uint64_t aDocumentVersion, const Resources& aLimit)
{
  const bool isChanged = aLimit != this->limit;
  this->documentVersion = aDocumentVersion;
  this->limit = aLimit;
  if (isChanged) {
    // All entry instances receive a document at about the same time. A random delay lets the first
    // one write the new limit for all.
    this->nextWriteAt = std::max(
      this->nextWriteAt,
      this->context.Now() + this->context.ApplyJitter(this->context.options.minWriteInterval));
    this->needsRead = true;
    this->UpdateUsableQuota();
  }
}

void
TeamQuota::ReportUsage(const TeamUsage& aUsage)
{
  this->usage = aUsage;
  this->UpdateIdleSince();
  this->UpdateUsableQuota();
}

void
TeamQuota::Adopt(const EntryId& aFrom, const Resources& aAmount, DoneHandler aHandler)
{
  this->pendingAdoptions.push_back({ .id = ++this->lastAdoptionId,
                                     .from = aFrom,
                                     .amount = aAmount,
                                     .handler = std::move(aHandler) });
  // The adopted amount must be recorded soon, and the cached row may be outdated.
  this->needsRead = true;
}

void
TeamQuota::Forfeit(const Resources& aAmount)
{
  if (this->context.options.safeguards == QuotaSafeguards::WithoutForfeit) {
    return;
  }
  this->forfeitedTotal += aAmount;
  this->UpdateUsableQuota();
}

void
TeamQuota::SettleForfeited(const Resources& aAmount)
{
  this->settledTotal += aAmount;
}

Resources
TeamQuota::UnadoptedForfeit(const Grant& aOwn) const
{
  return SaturatingSubtract(this->forfeitedTotal, aOwn.transferred + this->returnedTotal);
}

Resources
TeamQuota::ReturnableForfeit(const Grant& aOwn) const
{
  // Adoptions may include tasks whose loss is not known here yet, so this is a lower bound.
  return SaturatingSubtract(this->settledTotal, aOwn.transferred + this->returnedTotal);
}

void
TeamQuota::Invalidate()
{
  this->hasValidRow = false;
  this->needsRead = true;
  this->UpdateUsableQuota();
}

void
TeamQuota::OnHint(QuotaHint aHint)
{
  const bool isRelevant =
    aHint == QuotaHint::Wanted ? this->CanReturnQuota() : this->HasUnmetDemand();
  if (isRelevant && !this->hintedReadAt) {
    // Without a random delay all receivers would write at once, and all but one would conflict.
    std::uniform_int_distribution<Milliseconds::rep> spread(
      0, this->context.options.minWriteInterval.count());
    this->hintedReadAt = this->context.Now() + Milliseconds(spread(this->context.random));
  }
}

void
TeamQuota::ReleaseGrants(const EntryId& aHolder, DoneHandler aHandler)
{
  this->pendingReleases.push_back({ .holder = aHolder, .handler = std::move(aHandler) });
  this->needsRead = true;
}

void
TeamQuota::Tick()
{
  if (this->phase != Phase::Idle || this->context.Now() < this->retryAt || !this->IsActive()) {
    return;
  }
  if (this->IsReadDue()) {
    this->ReadRow();
    return;
  }
  this->WriteIfDue();
}

bool
TeamQuota::IsActive() const
{
  const Grant own = this->row.FindGrant(this->context.options.self);
  const bool isUsed = !IsZero(this->usage.demand) || !IsZero(this->usage.running);
  return isUsed || !IsZero(own.amount) || !IsZero(own.unmetDemand) ||
         !this->pendingAdoptions.empty() || !this->pendingReleases.empty() ||
         !this->pendingWrites.empty();
}

bool
TeamQuota::HasUnmetDemand() const
{
  const Grant own = this->row.FindGrant(this->context.options.self);
  return !IsZero(own.unmetDemand) || !this->usage.demand.FitsIn(own.amount);
}

bool
TeamQuota::CanReturnQuota() const
{
  const Grant own = this->row.FindGrant(this->context.options.self);
  return !own.amount.FitsIn(this->usage.running);
}

std::optional<Milliseconds>
TeamQuota::PollInterval() const
{
  const QuotaOptions& options = this->context.options;
  if (this->HasUnmetDemand()) {
    return options.pollInterval;
  }
  if (this->CanReturnQuota() || !this->row.Ungranted().IsNonNegative()) {
    return options.idlePollInterval;
  }
  return {};
}

bool
TeamQuota::IsReadDue() const
{
  const bool isHinted = this->hintedReadAt && this->context.Now() >= *this->hintedReadAt;
  if (this->needsRead || isHinted) {
    return true;
  }
  const std::optional<Milliseconds> interval = this->PollInterval();
  if (!interval) {
    return false;
  }
  const std::chrono::duration<double, std::milli> sinceRead =
    this->context.Now() - this->lastReadAt;
  return sinceRead >= *interval * this->pollJitterFactor;
}

void
TeamQuota::ReadRow()
{
  this->phase = Phase::Reading;
  this->hintedReadAt.reset();
  ++this->context.statistics.reads;
  this->context.environment.table.Read(TeamQuotaKey(this->team),
                                       [weak = this->weak_from_this()](const auto& aResult) {
                                         if (const auto self = weak.lock()) {
                                           self->OnRowRead(aResult);
                                         }
                                       });
}

void
TeamQuota::OnRowRead(const Result<std::optional<Row>>& aResult)
{
  this->phase = Phase::Idle;
  if (IsError(aResult)) {
    this->retryAt =
      this->context.Now() + this->context.ComputeRetryDelay(this->consecutiveFailures++);
    return;
  }
  this->consecutiveFailures = 0;
  const std::optional<Row>& found = ValueOf(aResult);
  Result<TeamQuotaRow> decoded =
    found ? DecodeTeamQuotaRow(found->value) : Result<TeamQuotaRow>(TeamQuotaRow{});
  if (IsError(decoded)) {
    this->retryAt = this->context.Now() + this->context.options.maxRetryDelay;
    return;
  }
  this->ApplyRow(std::move(ValueOf(decoded)), found ? found->version : kAbsentVersion);
}

void
TeamQuota::ApplyRow(TeamQuotaRow aRow, std::uint64_t aVersion)
{
  const bool isNewVersion = aVersion != this->rowVersion;
  const bool hadGrant = this->row.HasGrant(this->context.options.self);
  this->row = std::move(aRow);
  this->rowVersion = aVersion;
  this->needsRead = false;
  this->hasValidRow = true;
  this->lastReadAt = this->context.Now();
  this->pollJitterFactor = std::uniform_real_distribution<double>(0.5, 1.5)(this->context.random);
  if (isNewVersion) {
    this->ResolvePendingWrites();
  }
  if (hadGrant && !this->row.HasGrant(this->context.options.self)) {
    // Without a grant there is nothing left that others could adopt.
    this->forfeitedTotal = {};
    this->settledTotal = {};
    this->returnedTotal = {};
  }
  this->CompleteReleases();
  this->UpdateIdleSince();
  this->UpdateUsableQuota();
}

void
TeamQuota::ResolvePendingWrites()
{
  // At most one of the writes based on the old version took effect, and no other can any more.
  const std::uint64_t committedNumber =
    this->row.FindGrant(this->context.options.self).lastWriteNumber;
  for (const PendingWrite& write : this->pendingWrites) {
    if (write.number == committedNumber) {
      this->CompleteWrite(write);
    }
  }
  this->pendingWrites.clear();
}

void
TeamQuota::WriteIfDue()
{
  if (this->context.Now() < this->nextWriteAt) {
    return;
  }
  PendingWrite write{ .number = this->lastWriteNumber + 1 };
  write.row = this->BuildNextRow(write);
  if (!this->NeedsWrite(write.row)) {
    return;
  }
  const TimePoint now = this->context.Now();
  const bool isRateLimited = !IsLargeChange(this->row, write.row, this->context.options.self) &&
                             this->pendingAdoptions.empty();
  if (isRateLimited && !this->rowWriteBudget.TryTake(1, now)) {
    return;
  }
  if (!this->context.environment.budget.TryTake(1, now)) {
    return;
  }
  this->SendWrite(std::move(write));
}

TeamQuotaRow
TeamQuota::BuildNextRow(PendingWrite& aWrite)
{
  TeamQuotaRow next = this->row;
  if (this->documentVersion > next.documentVersion) {
    next.documentVersion = this->documentVersion;
    next.limit = this->limit;
  }
  for (const PendingRelease& release : this->pendingReleases) {
    next.RemoveGrant(release.holder);
  }
  this->ApplyAdoption(next, aWrite);
  this->ApplyPlan(next, aWrite);
  Grant own = next.FindGrant(this->context.options.self);
  own.lastWriteNumber = aWrite.number;
  // An empty grant stays while its write number may be needed after a lost reply.
  const bool canRemoveGrant =
    own.IsEmpty() && IsZero(this->forfeitedTotal) && aWrite.adoptionId == 0;
  next.RemoveGrant(own.holder);
  if (!canRemoveGrant) {
    next.SetGrant(std::move(own));
  }
  return next;
}

void
TeamQuota::ApplyAdoption(TeamQuotaRow& aRow, PendingWrite& aWrite)
{
  if (this->pendingAdoptions.empty()) {
    return;
  }
  const PendingAdoption& adoption = this->pendingAdoptions.front();
  aWrite.adoptionId = adoption.id;
  Grant from = aRow.FindGrant(adoption.from);
  const Resources moved = ElementwiseMin(from.amount, adoption.amount);
  from.amount -= moved;
  from.transferred += moved;
  aRow.SetGrant(std::move(from));
  Grant own = aRow.FindGrant(this->context.options.self);
  own.amount += moved;
  aRow.SetGrant(std::move(own));
}

void
TeamQuota::ApplyPlan(TeamQuotaRow& aRow, PendingWrite& aWrite)
{
  const TimePoint now = this->context.Now();
  const QuotaOptions& options = this->context.options;
  const bool isReturnDelayOver =
    this->idleSince && now - *this->idleSince >= options.idleReturnDelay;
  Grant own = aRow.FindGrant(options.self);
  aWrite.returnedForfeit = this->ReturnableForfeit(own);
  own.amount = SaturatingSubtract(own.amount, aWrite.returnedForfeit);
  aRow.SetGrant(own);
  const Resources unadopted =
    SaturatingSubtract(this->UnadoptedForfeit(own), aWrite.returnedForfeit);
  TeamUsage accounted = this->usage;
  // Forfeited amounts stay granted until the new leaseholder of the worker has adopted them.
  accounted.running += unadopted;
  accounted.demand += unadopted;
  const GrantPlan plan =
    PlanGrant(aRow,
              options.self,
              accounted,
              options.policy,
              now >= this->nextRequestAt ? QuotaRequests::Allowed : QuotaRequests::Paused,
              isReturnDelayOver ? IdleQuota::Return : IdleQuota::Keep);
  if (plan.yieldsToOthers) {
    this->nextRequestAt =
      now + this->context.ApplyJitter(options.pollInterval * kPollsBeforeNextRequest);
  }
  aWrite.yieldsToOthers = plan.yieldsToOthers;
  own.amount = plan.amount;
  own.overcommitted = plan.overcommitted;
  own.unmetDemand = plan.unmetDemand;
  aRow.SetGrant(std::move(own));
}

bool
TeamQuota::NeedsWrite(const TeamQuotaRow& aNext) const
{
  const EntryId& self = this->context.options.self;
  const Grant before = this->row.FindGrant(self);
  const Grant after = aNext.FindGrant(self);
  const bool hasPendingRelease =
    std::ranges::any_of(this->pendingReleases, [&](const PendingRelease& aRelease) {
      return this->row.HasGrant(aRelease.holder);
    });
  const bool hasUnmetDemandChanged = IsZero(before.unmetDemand) != IsZero(after.unmetDemand) ||
                                     DiffersWidely(before.unmetDemand, after.unmetDemand);
  const bool hasOvercommitChanged = !after.overcommitted.FitsIn(before.overcommitted) ||
                                    DiffersWidely(before.overcommitted, after.overcommitted);
  // A write whose outcome is unknown may still take effect until another write supersedes it.
  const bool hasPendingWrites = !this->pendingWrites.empty();
  return hasPendingWrites || before.amount != after.amount || hasOvercommitChanged ||
         hasUnmetDemandChanged || hasPendingRelease || this->row.limit != aNext.limit ||
         !this->pendingAdoptions.empty();
}

void
TeamQuota::SendWrite(PendingWrite aWrite)
{
  const std::uint64_t number = aWrite.number;
  const std::string key = TeamQuotaKey(this->team);
  Transaction transaction{ .writes = { { .key = key, .value = EncodeTeamQuotaRow(aWrite.row) } } };
  if (this->context.options.safeguards != QuotaSafeguards::WithoutCondition) {
    transaction.conditions.push_back({ .key = key, .version = this->rowVersion });
  }
  this->lastWriteNumber = number;
  const Milliseconds interval = this->context.options.minWriteInterval;
  this->nextWriteAt = this->context.Now() + this->context.ApplyJitter(interval);
  this->rowWriteBudget.SetOptions(
    ComputeWriteRate(interval, this->context.options.writeBurst, aWrite.row));
  this->pendingWrites.push_back(std::move(aWrite));
  this->UpdateUsableQuota();
  this->phase = Phase::Writing;
  ++this->context.statistics.writes;
  this->context.environment.table.Commit(
    std::move(transaction), [weak = this->weak_from_this(), number](const auto& aResult) {
      if (const auto self = weak.lock()) {
        self->OnWriteFinished(number, aResult);
      }
    });
}

void
TeamQuota::OnWriteFinished(std::uint64_t aNumber, const Result<CommitOutcome>& aResult)
{
  this->phase = Phase::Idle;
  this->needsRead = true;
  if (!IsError(aResult)) {
    this->consecutiveFailures = 0;
    if (ValueOf(aResult) == CommitOutcome::Committed) {
      this->OnWriteCommitted(aNumber);
      return;
    }
    ++this->context.statistics.conflicts;
    this->rowWriteBudget.Return(1);
    this->nextWriteAt =
      this->context.Now() + this->context.ApplyJitter(this->context.options.minWriteInterval) / 8;
    return;
  }
  this->retryAt =
    this->context.Now() + this->context.ComputeRetryDelay(this->consecutiveFailures++);
  if (ErrorOf(aResult).run != RunState::NotRun) {
    ++this->context.statistics.lostReplies;
    return;
  }
  ++this->context.statistics.rejectedWrites;
  std::erase_if(this->pendingWrites,
                [&](const PendingWrite& aWrite) { return aWrite.number == aNumber; });
  this->UpdateUsableQuota();
}

void
TeamQuota::OnWriteCommitted(std::uint64_t aNumber)
{
  const auto found = std::ranges::find(this->pendingWrites, aNumber, &PendingWrite::number);
  const PendingWrite committed = std::move(*found);
  this->pendingWrites.clear();
  this->row = committed.row;
  this->CompleteWrite(committed);
  this->CompleteReleases();
  this->UpdateIdleSince();
  this->UpdateUsableQuota();
  if (committed.yieldsToOthers) {
    this->context.environment.observer.SendHint(this->team, QuotaHint::Returned);
  } else if (!IsZero(this->row.FindGrant(this->context.options.self).unmetDemand)) {
    this->context.environment.observer.SendHint(this->team, QuotaHint::Wanted);
  }
}

void
TeamQuota::CompleteWrite(const PendingWrite& aWrite)
{
  this->returnedTotal += aWrite.returnedForfeit;
  const bool isAdopted = aWrite.adoptionId != 0 && !this->pendingAdoptions.empty() &&
                         this->pendingAdoptions.front().id == aWrite.adoptionId;
  if (!isAdopted) {
    return;
  }
  const PendingAdoption finished = std::move(this->pendingAdoptions.front());
  this->pendingAdoptions.pop_front();
  finished.handler(Done{});
}

void
TeamQuota::CompleteReleases()
{
  std::vector<PendingRelease> remaining;
  std::vector<PendingRelease> finished;
  for (PendingRelease& release : this->pendingReleases) {
    const bool hasGrant = this->row.HasGrant(release.holder);
    (hasGrant ? remaining : finished).push_back(std::move(release));
  }
  this->pendingReleases = std::move(remaining);
  for (const PendingRelease& release : finished) {
    release.handler(Done{});
  }
}

void
TeamQuota::UpdateIdleSince()
{
  const Grant own = this->row.FindGrant(this->context.options.self);
  if (own.amount.FitsIn(ElementwiseMax(this->usage.demand, this->usage.running))) {
    this->idleSince.reset();
  } else if (!this->idleSince) {
    this->idleSince = this->context.Now();
  }
}

void
TeamQuota::UpdateUsableQuota()
{
  const EntryId& self = this->context.options.self;
  const Grant own = this->row.FindGrant(self);
  Resources next = own.amount;
  for (const PendingWrite& write : this->pendingWrites) {
    const Resources amount = write.row.FindGrant(self).amount;
    const bool usesUnconfirmed =
      this->context.options.safeguards == QuotaSafeguards::WithoutConfirmation;
    next = usesUnconfirmed ? ElementwiseMax(next, amount) : ElementwiseMin(next, amount);
  }
  next = SaturatingSubtract(next, this->UnadoptedForfeit(own));
  next = ElementwiseMin(next, this->limit);
  next = ElementwiseMin(
    next, ComputeMaxUsableQuota(this->row, self, this->usage, this->context.options.policy));
  if (!this->hasValidRow) {
    next = {};
  }
  if (next == this->usableQuota) {
    return;
  }
  this->usableQuota = next;
  this->context.environment.observer.OnQuotaChanged(this->team, this->usableQuota);
}

}
