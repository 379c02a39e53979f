#include "TeamLimits.h"

#include <algorithm>

namespace zinc {

namespace {

constexpr Milliseconds kReportInterval{ 100 };
/// After this time without a lease, an entry instance reads its allowances again before use.
constexpr Milliseconds kMaxTimeWithoutLease{ 30'000 };
/// Allowances of dead entry instances are released once live ones have leased all workers for this
/// long. It exceeds twice @ref kMaxTimeWithoutLease even if the instances' clocks differ in speed.
constexpr Milliseconds kDeadHolderReleaseDelay{ 75'000 };
constexpr Milliseconds kReleaseCheckInterval{ 10'000 };
/// Time for which this instance keeps no headroom for a team whose allowance a peer waits for.
constexpr Milliseconds kYieldDuration{ 10'000 };
/// All entry instances together keep a limit divided by this as headroom for future tasks.
constexpr std::int64_t kHeadroomDivisor = 2;

Resources
Divide(const Resources& aAmount, std::int64_t aDivisor)
{
  return { .milliCores = aAmount.milliCores / aDivisor,
           .memoryMiB = aAmount.memoryMiB / aDivisor,
           .accelerators = aAmount.accelerators / aDivisor,
           .slots = aAmount.slots / aDivisor };
}

Resources
ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return { .milliCores = std::max(aLeft.milliCores, aRight.milliCores),
           .memoryMiB = std::max(aLeft.memoryMiB, aRight.memoryMiB),
           .accelerators = std::max(aLeft.accelerators, aRight.accelerators),
           .slots = std::max(aLeft.slots, aRight.slots) };
}

}

TeamLimits::TeamLimits(TeamLimitsOptions aOptions, TeamLimitsEnvironment aEnvironment)
  : options(std::move(aOptions))
  , environment(std::move(aEnvironment))
{
}

Result<std::unique_ptr<TeamLimits>>
TeamLimits::Create(TeamLimitsOptions aOptions, TeamLimitsEnvironment aEnvironment)
{
  std::unique_ptr<TeamLimits> limits(new TeamLimits(std::move(aOptions), std::move(aEnvironment)));
  auto book = QuotaManager::Create({ .self = limits->options.self, .seed = limits->options.seed },
                                   { .table = limits->environment.table,
                                     .clock = limits->environment.clock,
                                     .budget = limits->environment.budget,
                                     .observer = *limits });
  if (IsError(book)) {
    return ErrorOf(book);
  }
  limits->book = std::move(ValueOf(book));
  limits->lastTick = limits->environment.clock.Now();
  limits->lastLeaseHeld = limits->lastTick;
  return limits;
}

void
TeamLimits::ApplyDocument(const Document& aDocument)
{
  this->teams = aDocument.teams;
  this->book->SetLimits(aDocument.version, this->teams);
  this->ReportUse();
}

void
TeamLimits::Tick(const WorkerLeaseCounts& aLeaseCounts)
{
  const auto now = this->environment.clock.Now();
  this->InvalidateIfStale(now, aLeaseCounts);
  if (now - this->lastReport >= kReportInterval) {
    this->lastReport = now;
    this->ReportUse();
  }
  this->SettleOverdueForfeits(now);
  this->book->Tick();
  this->ReleaseDeadHolders(now, aLeaseCounts);
}

void
TeamLimits::OnAllowanceHint(const AllowanceHinted& aNotice)
{
  if (aNotice.hint == QuotaHint::Wanted) {
    this->lastWantedByPeers[aNotice.team] = this->environment.clock.Now();
    this->ReportUse();
  }
  this->book->OnHint(aNotice.team, aNotice.hint);
}

void
TeamLimits::OnWorkerAdopted(const WorkerAdopted& aNotice)
{
  this->SettleForfeits(aNotice.worker);
}

void
TeamLimits::TasksAdopted(const WorkerId& aWorker,
                         const EntryId& aPreviousHolder,
                         std::span<const TeamAmount> aAmounts)
{
  if (aPreviousHolder == this->options.self) {
    this->ReportUse();
    this->SettleForfeits(aWorker);
    return;
  }
  if (aPreviousHolder.IsEmpty()) {
    return;
  }
  this->ReportUse();
  const auto adoptionId = ++this->lastAdoptionId;
  this->adoptions.emplace(adoptionId,
                          PendingAdoption{ .worker = aWorker,
                                           .previousHolder = aPreviousHolder,
                                           .pendingTeams = aAmounts.size() });
  for (const auto& amount : aAmounts) {
    this->book->Adopt(
      amount.team, aPreviousHolder, amount.amount, [this, adoptionId](const Result<Done>&) {
        this->CompleteAdoption(adoptionId);
      });
  }
  if (aAmounts.empty()) {
    this->CompleteAdoption(adoptionId);
  }
}

void
TeamLimits::TasksForfeited(const WorkerId& aWorker, std::span<const TeamAmount> aAmounts)
{
  for (const auto& amount : aAmounts) {
    this->book->Forfeit(amount.team, amount.amount);
  }
  if (!aAmounts.empty()) {
    this->forfeits[aWorker].push_back(
      { .amounts = { aAmounts.begin(), aAmounts.end() }, .lostAt = this->environment.clock.Now() });
  }
}

void
TeamLimits::OnQuotaChanged(const TeamId& aTeam, const Resources& aAllowance)
{
  this->environment.scheduler.SetAllowance(aTeam, aAllowance);
  this->environment.wake();
}

void
TeamLimits::SendHint(const TeamId& aTeam, QuotaHint aHint)
{
  for (const auto& view : this->environment.peers()) {
    this->environment.send(view.beat.self.id, AllowanceHinted{ .team = aTeam, .hint = aHint });
  }
}

void
TeamLimits::ReportUse()
{
  for (const auto& team : this->teams) {
    const auto demand = this->environment.scheduler.Demand(team.id);
    this->book->ReportUsage(team.id,
                            { .running = this->environment.scheduler.RunningResources(team.id),
                              .demand = ElementwiseMax(demand, this->HeadroomOf(team)) });
  }
}

Resources
TeamLimits::HeadroomOf(const Team& aTeam) const
{
  const auto found = this->lastWantedByPeers.find(aTeam.id);
  const bool isYielding = found != this->lastWantedByPeers.end() &&
                          this->environment.clock.Now() - found->second < kYieldDuration;
  if (isYielding) {
    return {};
  }
  const auto entries = static_cast<std::int64_t>(this->environment.peers().size()) + 1;
  return Divide(aTeam.limit, entries * kHeadroomDivisor);
}

void
TeamLimits::InvalidateIfStale(TimePoint aNow, const WorkerLeaseCounts& aLeaseCounts)
{
  const bool wasPaused = aNow - this->lastTick > this->options.lease;
  this->lastTick = aNow;
  if (aLeaseCounts.leasedHere > 0) {
    this->lastLeaseHeld = aNow;
    this->isInvalidated = false;
  }
  const bool isWithoutLease = aNow - this->lastLeaseHeld > kMaxTimeWithoutLease;
  if (wasPaused || (isWithoutLease && !this->isInvalidated)) {
    this->book->Invalidate();
    this->isInvalidated = isWithoutLease;
  }
}

void
TeamLimits::CompleteAdoption(std::uint64_t aAdoptionId)
{
  const auto found = this->adoptions.find(aAdoptionId);
  if (found == this->adoptions.end()) {
    return;
  }
  if (found->second.pendingTeams > 1) {
    --found->second.pendingTeams;
    return;
  }
  this->environment.send(found->second.previousHolder,
                         WorkerAdopted{ .worker = found->second.worker });
  this->adoptions.erase(found);
}

void
TeamLimits::SettleForfeits(const WorkerId& aWorker)
{
  const auto found = this->forfeits.find(aWorker);
  if (found == this->forfeits.end()) {
    return;
  }
  for (const auto& forfeit : found->second) {
    for (const auto& amount : forfeit.amounts) {
      this->book->SettleForfeited(amount.team, amount.amount);
    }
  }
  this->forfeits.erase(found);
}

void
TeamLimits::SettleOverdueForfeits(TimePoint aNow)
{
  // By now the worker has stopped its tasks, or a peer has adopted it and the notice was lost.
  std::vector<WorkerId> overdue;
  for (const auto& [worker, forfeitsOfWorker] : this->forfeits) {
    if (aNow - forfeitsOfWorker.back().lostAt >
        2 * this->options.orphanTimeout + kDeadHolderReleaseDelay) {
      overdue.push_back(worker);
    }
  }
  for (const auto& worker : overdue) {
    this->SettleForfeits(worker);
  }
}

void
TeamLimits::ReleaseDeadHolders(TimePoint aNow, const WorkerLeaseCounts& aLeaseCounts)
{
  const bool areAllLeased =
    aLeaseCounts.listed > 0 && aLeaseCounts.arePeersSettled && this->adoptions.empty() &&
    aLeaseCounts.leasedHere + aLeaseCounts.leasedByPeers == aLeaseCounts.listed;
  if (!areAllLeased) {
    this->allLeasedSince.reset();
    return;
  }
  if (!this->allLeasedSince) {
    this->allLeasedSince = aNow;
  }
  if (aNow - *this->allLeasedSince < kDeadHolderReleaseDelay || aNow < this->nextReleaseCheck) {
    return;
  }
  this->nextReleaseCheck = aNow + kReleaseCheckInterval;
  this->book->ListHolders([this](const Result<std::vector<QuotaHolder>>& aHolders) {
    if (!IsError(aHolders) && this->allLeasedSince) {
      this->ReleaseHoldersNotLive(ValueOf(aHolders));
    }
  });
}

void
TeamLimits::ReleaseHoldersNotLive(const std::vector<QuotaHolder>& aHolders)
{
  std::set<EntryId> liveEntries{ this->options.self };
  for (const auto& view : this->environment.peers()) {
    liveEntries.insert(view.beat.self.id);
  }
  for (const auto& holder : aHolders) {
    const bool isGone =
      ZoneOfEntry(holder.entry) == this->options.zone && !liveEntries.contains(holder.entry);
    if (isGone) {
      this->book->ReleaseGrants(holder.entry, [](const Result<Done>&) {});
    }
  }
}

}
