#include <LibCell/CellScheduler.h>
#include <LibCell/LatelyStartedWorkers.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// Bounds the size of the leader record. Further draining workers count as other workers.
constexpr std::size_t kMaxDrainingWorkersPublished = 128;
/// Bounds the size of the leader record. The next leader waits for the leases of further workers.
constexpr std::size_t kMaxSuspendedLeasesPublished = 1024;

}

CellScheduler::CellScheduler(Dependencies aDependencies, CellSchedulerOptions aOptions)
  : dependencies(std::move(aDependencies))
  , options(aOptions)
  , policy(std::make_shared<CellPolicy>())
  , adviceDispatcher(std::make_unique<AdviceDispatcher>(this->dependencies.advice))
  , rankings(this->dependencies.log, this->dependencies.metrics, this->options.unevenPools)
  , evacuationReport(this->dependencies.log, this->dependencies.metrics)
  , load(this->dependencies.log)
{
}

CellScheduler::~CellScheduler() = default;

void
CellScheduler::SetPolicy(std::shared_ptr<const CellPolicy> aPolicy)
{
  this->policy = std::move(aPolicy);
  const auto higherLimit = [](std::int64_t aLeft, std::int64_t aRight) {
    return aLeft == 0 || aRight == 0 ? 0 : std::max(aLeft, aRight);
  };
  for (auto& [id, usage] : this->workspaces) {
    usage.limit.reset();
  }
  for (const auto& [id, workspace] : this->policy->workspaces) {
    const auto& limit = workspace.quota;
    auto& usage = this->UsageOf(id);
    usage.limit = limit;
    const auto highest = usage.highestLimit.value_or(limit);
    usage.highestLimit = { .milliCores = higherLimit(highest.milliCores, limit.milliCores),
                           .memoryMiB = higherLimit(highest.memoryMiB, limit.memoryMiB),
                           .accelerators = higherLimit(highest.accelerators, limit.accelerators) };
  }
  this->isPlacementDue = true;
}

void
CellScheduler::SetInstances(const std::vector<std::string>& aInstances)
{
  this->adviceDispatcher->SetInstances(aInstances);
}

void
CellScheduler::Tick()
{
  if (this->hasLostLeadership) {
    return;
  }
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::DueChecks);
  const auto now = this->dependencies.clock.Now();
  this->load.CountTick(now);
  if (!this->unreadWorkers.IsEmpty() && now >= this->unreadWorkers.AwaitedUntil()) {
    this->dependencies.log.Log(LogLevel::Info,
                               "predecessor_waited_out",
                               { { "unread", this->unreadWorkers.Size() },
                                 { "first", this->unreadWorkers.All().begin()->value },
                                 { "after_ms", (now - this->termBegin).count() },
                                 { "unfenced", this->unreadWorkers.CountUnfenced() } });
    this->unreadWorkers.Clear();
    this->ReleaseHeldJobs();
  }
  this->StopAwaitingUnlistedWorkers();
  this->RenewDueLeases();
  this->SendDueStops();
  this->RemoveLostWorkers();
  for (const auto& id : std::vector<JobId>(this->timedJobs.begin(), this->timedJobs.end())) {
    if (auto* job = this->FindJob(id)) {
      this->StartDueOccurrences(*job);
    }
  }
  this->RemoveExpiredJobs();
  this->adviceDispatcher->DispatchPending(now);
  // Tickets expire and delays end without an event.
  const bool isDue =
    this->isPlacementDue || now - this->lastPlacement >= this->options.maxPlacementInterval;
  if (isDue && now >= this->nextPlacement) {
    this->RunPlacementRound();
  }
  this->FlushProgress();
  this->CompactEndedJobs();
  this->LogLoad();
}

void
CellScheduler::LogLoad()
{
  const auto now = this->dependencies.clock.Now();
  if (!this->load.IsLineDue(now)) {
    return;
  }
  CellLoad cell{ .activeJobs = this->activeJobs.size(),
                 .workers = this->workers.Size(),
                 .unwrittenJobs = this->dirtyJobs.size(),
                 .pendingAdvice = this->adviceDispatcher->PendingCount() };
  for (const auto* worker : this->workers.All()) {
    if (this->IsUsable(*worker, now)) {
      ++cell.usableWorkers;
      cell.used += worker->used;
      cell.capacity += worker->entry.capacity;
    }
  }
  this->load.LogLoad(cell, now);
  this->evacuationReport.UpdateGauges(this->workers.All());
}

void
CellScheduler::StepDown(std::string_view aReason)
{
  if (this->hasLostLeadership) {
    return;
  }
  this->hasLostLeadership = true;
  this->dependencies.log.Log(
    LogLevel::Warning, "term_lost", { { "token", this->fencingToken }, { "reason", aReason } });
  this->dependencies.onLeadershipLost();
}

JobStatus
CellScheduler::StatusOf(const JobId& aJob) const
{
  if (const auto* ended = this->endedJobArchive.Find(aJob)) {
    return { .isKnown = true,
             .outcome = ended->outcome,
             .hasStarted = true,
             .workspace = ended->workspace,
             .queue = ended->queue };
  }
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end()) {
    return {};
  }
  const auto& job = found->second;
  // An outcome is visible only once no failure can revert it.
  const bool isVisible = job.isOutcomeDurable || job.outcome == JobOutcome::Cancelled;
  return { .isKnown = true,
           .outcome = isVisible ? job.outcome : JobOutcome::Active,
           .hasStarted = job.hasStarted,
           .workspace = job.spec.workspace,
           .queue = job.spec.queue.name };
}

std::map<std::string, std::uint64_t>
CellScheduler::PendingJobsByQueue() const
{
  std::map<std::string, std::uint64_t> pending;
  for (const auto& [id, job] : this->activeJobs) {
    if (!job->hasStarted && job->spec.occurrences == 0) {
      ++pending[job->spec.queue.name.value];
    }
  }
  return pending;
}

std::vector<ExpectedWait>
CellScheduler::ExpectedWaits()
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::LeaderRecord);
  return this->forecast.Update(this->CollectCandidates(HeldSteps::Excluded),
                               this->dependencies.clock.Now());
}

bool
CellScheduler::MayHaveRuns(const Worker& aWorker) const
{
  // Any listed worker may become reachable and get a run before the next record is written. Only
  // the worker knows of ends that are not stored yet, and the next leader has to count them.
  return aWorker.isListed || !aWorker.unacknowledgedEnds.empty() ||
         (!aWorker.allocations.empty() && aWorker.leaseExpiry > this->dependencies.clock.Now());
}

DrainingJobs
CellScheduler::DrainingJobsToPublish() const
{
  auto draining = this->unreadWorkers.Draining();
  for (const auto* worker : this->workers.All()) {
    if (draining.size() >= kMaxDrainingWorkersPublished) {
      break;
    }
    const bool isRead = !this->unreadWorkers.Contains(worker->entry.id);
    if (!isRead || !worker->entry.isDraining || !this->MayHaveRuns(*worker)) {
      continue;
    }
    auto& jobs = draining[worker->entry.id];
    for (const auto& allocation : worker->allocations) {
      jobs.insert(allocation.task.job);
    }
    for (const auto& end : worker->unacknowledgedEnds) {
      jobs.insert(end.job);
    }
  }
  return draining;
}

SuspendedLeases
CellScheduler::SuspendedLeasesToPublish() const
{
  std::map<WorkerId, TimePoint> expiry;
  const auto add = [&expiry](const WorkerId& aWorker, TimePoint aExpiry) {
    if (expiry.size() < kMaxSuspendedLeasesPublished) {
      expiry.emplace(aWorker, aExpiry);
    }
  };
  for (const auto& id : this->unreadWorkers.All()) {
    if (this->workers.Find(id) == nullptr) {
      add(id, this->unreadWorkers.LeaseExpiryOf(id));
    }
  }
  for (const auto* worker : this->workers.All()) {
    const auto& id = worker->entry.id;
    const bool isUnread = this->unreadWorkers.Contains(id);
    const bool isSilent =
      worker->reachability != WorkerReachability::Reachable && worker->failedRenewals > 0;
    if (isSilent && (isUnread || this->MayHaveRuns(*worker))) {
      const auto inherited = isUnread ? this->unreadWorkers.LeaseExpiryOf(id) : TimePoint{};
      add(id, std::max(worker->leaseExpiry, inherited));
    }
  }
  return RemainingLeases(expiry, this->dependencies.clock.Now());
}

std::vector<std::string>
CellScheduler::WorkersToPublish()
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::LeaderRecord);
  std::vector<std::string> names;
  for (const auto& id : this->unreadWorkers.All()) {
    names.push_back(id.value);
  }
  const auto draining = this->DrainingJobsToPublish();
  std::erase_if(names, [&draining](const auto& aName) { return draining.contains({ aName }); });
  for (auto* worker : this->workers.All()) {
    if (!draining.contains(worker->entry.id) && this->MayHaveRuns(*worker)) {
      names.push_back(worker->entry.id.value);
    }
  }
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  std::erase_if(this->publishedWorkers, [this, &names](const WorkerId& aId) {
    if (std::ranges::binary_search(names, aId.value)) {
      return false;
    }
    if (auto* worker = this->workers.Find(aId)) {
      worker->isPublished = false;
    }
    return true;
  });
  return names;
}

LeaderReport
CellScheduler::MakeLeaderReport()
{
  LeaderReport report{ .workers = this->WorkersToPublish(),
                       .drainingJobs = this->DrainingJobsToPublish(),
                       .suspendedLeases = this->SuspendedLeasesToPublish(),
                       .pendingJobs = this->PendingJobsByQueue(),
                       .isRecovering = this->IsRecovering(),
                       .recoveryLeft = this->RemainingRecoveryTime() };
  report.madeAt = this->dependencies.clock.Now();
  report.recordsStarts = this->startRecords.Promise(this->AreAllStartsStored(), report.madeAt);
  report.fencedIncarnations = this->unreadWorkers.Fenced();
  ReportLatelyStartedWorkers(report,
                             this->workers.All(),
                             this->options,
                             this->dependencies.clock.Now(),
                             this->dependencies.wallClock());
  report.number = this->leaseSuspensions.OnRecordMade(report.suspendedLeases);
  for (const auto& [id, left] : report.suspendedLeases) {
    if (auto* worker = this->workers.Find(id)) {
      worker->isLeaseSuspended = true;
    }
  }
  return report;
}

void
CellScheduler::OnReportStored(const LeaderReport& aReport, std::uint64_t aVersion)
{
  this->latestFencingToken = std::max(this->latestFencingToken, aVersion);
  this->startRecords.OnReportStored(aReport.madeAt);
  for (auto* worker : this->workers.All()) {
    if (worker->fence.AwaitsToken()) {
      worker->fence.OnTokenAvailable(this->latestFencingToken);
      this->renewals.ScheduleAtLatest(*worker, this->dependencies.clock.Now());
      this->isPlacementDue = true;
    }
  }
  for (const auto& name : aReport.workers) {
    if (!this->publishedWorkers.insert({ name }).second) {
      continue;
    }
    this->isPlacementDue = true;
    if (auto* worker = this->workers.Find({ name })) {
      worker->isPublished = true;
    }
  }
  for (const auto& id : this->leaseSuspensions.OnRecordStored(aReport.number)) {
    if (auto* worker = this->workers.Find(id)) {
      worker->isLeaseSuspended = false;
      this->renewals.ScheduleAtLatest(*worker, this->dependencies.clock.Now());
      this->isPlacementDue = true;
    }
  }
}

std::uint64_t
CellScheduler::NextRunNumber()
{
  // Run numbers increase from term to term without being stored.
  constexpr std::uint32_t kRunCounterBits = 22;
  return (this->fencingToken << kRunCounterBits) + ++this->runCounter;
}

}
