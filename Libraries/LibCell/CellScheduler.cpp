#include <LibCell/CellScheduler.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// Often enough to tell a burst from a lasting queue, rare enough to cost nothing.
constexpr Milliseconds kLoadLineEvery{ 1000 };

}

CellScheduler::CellScheduler(Dependencies aDependencies, CellSchedulerOptions aOptions)
  : dependencies(std::move(aDependencies))
  , options(aOptions)
  , policy(std::make_shared<CellPolicy>())
  , desk(std::make_unique<AdviceDispatcher>(this->dependencies.advice))
{
}

CellScheduler::~CellScheduler() = default;

void
CellScheduler::Begin(TermSnapshot aSnapshot)
{
  const auto now = this->dependencies.clock.Now();
  this->begun = now;
  this->token = aSnapshot.token;
  if (aSnapshot.hadPredecessor) {
    this->unread.insert(aSnapshot.previousWorkers.begin(), aSnapshot.previousWorkers.end());
  }
  // A predecessor that wrote its row less than a lapse ago was in touch with the store, and with it
  // with no worker that the store had not heard of for a lapse.
  if (aSnapshot.predecessorAge && *aSnapshot.predecessorAge < this->options.rowLapse) {
    this->presumedGone = this->unread;
    this->formerEnd = aSnapshot.formerEnd;
  }
  for (const auto& entry : aSnapshot.workers) {
    this->presumedGone.erase(entry.id);
    this->OnWorkerEntry(entry);
    if (aSnapshot.hadPredecessor) {
      this->unread.insert(entry.id);
    }
  }
  this->isBeginning = true;
  this->OnJobRows(aSnapshot.jobRows);
  this->isBeginning = false;
  this->dependencies.log.Log(LogLevel::Info,
                             "term_begun",
                             { { "token", this->token },
                               { "jobs", this->jobs.size() },
                               { "active", this->active.size() },
                               { "workers", this->workers.size() },
                               { "to_read", this->unread.size() } });
  this->Tick();
}

void
CellScheduler::SetPredecessorEnd(TimePoint aEnd)
{
  this->predecessorEnd = aEnd;
}

void
CellScheduler::SetPolicy(std::shared_ptr<const CellPolicy> aPolicy)
{
  this->policy = std::move(aPolicy);
  const auto higher = [](std::int64_t aLeft, std::int64_t aRight) {
    return aLeft == 0 || aRight == 0 ? 0 : std::max(aLeft, aRight);
  };
  for (const auto& [id, workspace] : this->policy->workspaces) {
    const auto& maximum = workspace.quota;
    const auto [known, isNew] = this->highestMaximum.try_emplace(id, maximum);
    auto& highest = known->second;
    highest = { .milliCores = higher(highest.milliCores, maximum.milliCores),
                .memoryMiB = higher(highest.memoryMiB, maximum.memoryMiB),
                .accelerators = higher(highest.accelerators, maximum.accelerators) };
  }
  this->placementDue = true;
}

void
CellScheduler::SetInstances(const std::vector<std::string>& aInstances)
{
  this->desk->SetInstances(aInstances);
}

void
CellScheduler::Tick()
{
  if (this->isDeposed) {
    return;
  }
  const auto now = this->dependencies.clock.Now();
  if (this->lastTick != TimePoint{}) {
    this->load.longestTickGap = std::max(this->load.longestTickGap, now - this->lastTick);
  }
  this->lastTick = now;
  if (!this->unread.empty() && now >= this->predecessorEnd) {
    this->dependencies.log.Log(
      LogLevel::Info, "predecessor_waited_out", { { "unread", this->unread.size() } });
    this->unread.clear();
    this->ResolveTasks();
  }
  this->GiveUpUnlistedWorkers();
  this->RenewDueLeases();
  this->SendDueStops();
  this->RemoveLostWorkers();
  for (const auto& id : std::vector<JobId>(this->timed.begin(), this->timed.end())) {
    if (auto* job = this->FindJob(id)) {
      this->StartDueOccurrences(*job);
    }
  }
  this->RemoveExpiredJobs();
  this->desk->Pump(now);
  // Tickets lapse and delays pass without an event.
  const bool isDue =
    this->placementDue || now - this->lastPlacement >= this->options.placementPause;
  if (isDue && now >= this->nextPlacement) {
    this->Place();
  }
  this->FlushProgress();
  this->CompactEndedJobs();
  this->TellLoad();
}

void
CellScheduler::TellLoad()
{
  const auto now = this->dependencies.clock.Now();
  if (now < this->nextLoadLine) {
    return;
  }
  this->nextLoadLine = now + kLoadLineEvery;
  Resources used;
  Resources capacity;
  std::size_t usable = 0;
  for (const auto& [id, worker] : this->workers) {
    if (this->IsUsable(*worker)) {
      ++usable;
      used += worker->used;
      capacity += worker->entry.capacity;
    }
  }
  const auto waits = [this](StepWait aWait) {
    return this->load.waits.at(static_cast<std::size_t>(aWait));
  };
  this->dependencies.log.Log(LogLevel::Info,
                             "cell_load",
                             { { "active", this->active.size() },
                               { "workers", this->workers.size() },
                               { "usable", usable },
                               { "used_millicores", used.milliCores },
                               { "millicores", capacity.milliCores },
                               { "used_mib", used.memoryMiB },
                               { "mib", capacity.memoryMiB },
                               { "unwritten", this->dirty.size() },
                               { "questions", this->desk->Waiting() },
                               { "placements", this->load.placements },
                               { "cut_short", this->load.cutShort },
                               { "placing_ms", this->load.placing.count() },
                               { "longest_tick_gap_ms", this->load.longestTickGap.count() },
                               { "placed", waits(StepWait::Nothing) },
                               { "wait_workers", waits(StepWait::NoWorkers) },
                               { "wait_advice", waits(StepWait::Advice) },
                               { "wait_limit", waits(StepWait::Limit) },
                               { "wait_headroom", waits(StepWait::Headroom) },
                               { "wait_room", waits(StepWait::Room) },
                               { "wait_ticket", waits(StepWait::Ticket) },
                               { "wait_members", waits(StepWait::Members) } });
  this->load = {};
}

void
CellScheduler::StepDown(std::string_view aReason)
{
  if (this->isDeposed) {
    return;
  }
  this->isDeposed = true;
  this->dependencies.log.Log(
    LogLevel::Warning, "term_lost", { { "token", this->token }, { "reason", aReason } });
  this->dependencies.onDeposed();
}

Milliseconds
CellScheduler::RecoveryLeft() const
{
  return std::max(Milliseconds{ 0 }, this->predecessorEnd - this->dependencies.clock.Now());
}

JobStatus
CellScheduler::StatusOf(const JobId& aJob) const
{
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end()) {
    return {};
  }
  const auto& job = found->second;
  // An outcome is shown only once no failure can take it back.
  const bool isShown = job.isOutcomeDurable || job.outcome == JobOutcome::Cancelled;
  return { .isKnown = true,
           .outcome = isShown ? job.outcome : JobOutcome::Active,
           .hasStarted = job.hasStarted,
           .workspace = job.spec.workspace,
           .queue = job.spec.queue.name };
}

std::map<std::string, std::uint64_t>
CellScheduler::WaitingByQueue() const
{
  std::map<std::string, std::uint64_t> waiting;
  for (const auto& id : this->active) {
    const auto& job = this->jobs.at(id);
    if (!job.hasStarted && job.spec.occurrences == 0) {
      ++waiting[job.spec.queue.name.value];
    }
  }
  return waiting;
}

std::vector<std::string>
CellScheduler::WorkersToPublish()
{
  std::set<WorkerId> named = this->unread;
  const auto now = this->dependencies.clock.Now();
  for (const auto& [id, worker] : this->workers) {
    // Any listed worker may come in reach and get a start before the next record.
    if (worker->isListed || (!worker->allocations.empty() && worker->leaseEnd > now)) {
      named.insert(id);
    }
  }
  std::erase_if(this->published, [&named](const WorkerId& aId) { return !named.contains(aId); });
  std::vector<std::string> names;
  for (const auto& id : named) {
    names.push_back(id.value);
  }
  return names;
}

void
CellScheduler::OnPublished(const std::vector<std::string>& aWorkers)
{
  const auto before = this->published.size();
  for (const auto& worker : aWorkers) {
    this->published.insert({ worker });
  }
  this->placementDue = this->placementDue || this->published.size() != before;
}

std::uint64_t
CellScheduler::NextRun()
{
  // Runs rise from term to term without being written anywhere.
  constexpr std::uint32_t kRunsPerTermBits = 22;
  return (this->token << kRunsPerTermBits) + ++this->runCounter;
}

}
