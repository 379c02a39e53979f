#include <LibCell/CellScheduler.h>
#include <LibCell/Placement.h>

#include <algorithm>

namespace zinc::cell {

void
CellScheduler::BeginTerm(TermSnapshot aSnapshot)
{
  const auto now = this->dependencies.clock.Now();
  this->termBegin = now;
  this->fencingToken = aSnapshot.fencingToken;
  this->inheritedDrainingJobs = std::move(aSnapshot.drainingJobs);
  if (aSnapshot.hadPredecessor) {
    this->unsyncedWorkers.insert(aSnapshot.previousWorkers.begin(),
                                 aSnapshot.previousWorkers.end());
  }
  this->inheritedUnlistedWorkers.insert(aSnapshot.unlistedWorkers.begin(),
                                        aSnapshot.unlistedWorkers.end());
  // A predecessor that renewed its record within the row timeout was connected to the store. It had
  // no contact with workers from which the store received no heartbeat for that time, except those
  // that its record names.
  if (aSnapshot.predecessorRecordAge &&
      *aSnapshot.predecessorRecordAge < this->options.workerRowTimeout) {
    this->presumedGoneWorkers = this->unsyncedWorkers;
    std::erase_if(this->presumedGoneWorkers, [this](const WorkerId& aId) {
      return this->inheritedUnlistedWorkers.contains(aId);
    });
    this->olderLeasesExpiry = aSnapshot.olderLeasesExpiry;
  }
  for (const auto& entry : aSnapshot.workers) {
    this->presumedGoneWorkers.erase(entry.id);
    this->OnWorkerEntry(entry);
    if (aSnapshot.hadPredecessor) {
      this->unsyncedWorkers.insert(entry.id);
    }
  }
  this->isAdoptingJobs = true;
  this->OnJobRows(aSnapshot.jobRows);
  this->isAdoptingJobs = false;
  for (const auto* worker : this->workers.All()) {
    this->ConfirmCrash(worker->entry.MachineOrId(), worker->entry.incarnation);
  }
  if (!this->HasUnrestrictedUnsyncedWorkers()) {
    this->ReleaseHeldJobs();
  }
  this->dependencies.log.Log(LogLevel::Info,
                             "term_begun",
                             { { "token", this->fencingToken },
                               { "jobs", this->jobs.size() },
                               { "active", this->activeJobs.size() },
                               { "workers", this->workers.Size() },
                               { "to_read", this->unsyncedWorkers.size() } });
  this->Tick();
}

void
CellScheduler::SetPriorLeasesExpiry(TimePoint aExpiry)
{
  this->priorLeasesExpiry = aExpiry;
}

Milliseconds
CellScheduler::RemainingRecoveryTime() const
{
  return std::max(Milliseconds{ 0 }, this->priorLeasesExpiry - this->dependencies.clock.Now());
}

void
CellScheduler::AdoptRun(Worker& aWorker, const ActiveRun& aActiveRun)
{
  const auto now = this->dependencies.clock.Now();
  auto* job = this->FindJob(aActiveRun.task.job);
  auto* task = this->FindReportedTask(aActiveRun.task);
  Allocation allocation{ .task = aActiveRun.task,
                         .run = aActiveRun.run,
                         .phase = RunPhase::Running,
                         .phaseSince = now,
                         .startedAt = now,
                         .isStartConfirmed = true,
                         .progressPercent = aActiveRun.progressPercent,
                         .lastProgress = now,
                         .load = aActiveRun.load,
                         .checkpoint = aActiveRun.checkpoint };
  if (task != nullptr) {
    const auto& step = job->spec.steps[aActiveRun.task.key.step];
    allocation.demand = AllocatedDemand(step);
    allocation.workspaceUsage = job->workspaceUsage;
    allocation.isService = step.isService;
    allocation.isBestEffort = step.isBestEffort;
    allocation.tailLatencyTarget = step.tailLatencyTarget;
    allocation.estimate = step.estimate;
  } else {
    // The demand is no longer known; the worker gets no tasks until the run has ended.
    allocation.isDemandUnknown = true;
    ++aWorker.runsOfUnknownDemand;
  }
  aWorker.used += allocation.demand;
  if (allocation.workspaceUsage != nullptr) {
    allocation.workspaceUsage->running += allocation.demand;
    allocation.workspaceUsage->adopted += allocation.demand;
  }
  aWorker.allocations.push_back(std::move(allocation));
  // A predecessor's lease lasts until then, even if this leader has not granted one yet.
  aWorker.leaseExpiry = std::max(aWorker.leaseExpiry, this->priorLeasesExpiry);
  const bool isWanted =
    task != nullptr && job->outcome == JobOutcome::Active && task->phase == TaskPhase::Waiting;
  this->dependencies.log.Log(LogLevel::Info,
                             "run_adopted",
                             { { "job", aActiveRun.task.job.value },
                               { "step", aActiveRun.task.key.step },
                               { "index", aActiveRun.task.key.index },
                               { "run", aActiveRun.run },
                               { "worker", aWorker.entry.id.value },
                               { "kept", isWanted } });
  if (!isWanted) {
    this->StopRun(aWorker, aWorker.allocations.back(), "unwanted");
    return;
  }
  const auto& key = aActiveRun.task.key;
  job->occurrences.at(key.occurrence).steps[key.step].SetPhase(*task, TaskPhase::Placed);
  task->run = aActiveRun.run;
  task->worker = aWorker.entry.id;
  this->MarkJobStarted(*job);
}

void
CellScheduler::StopAwaitingUnlistedWorkers()
{
  if (this->presumedGoneWorkers.empty()) {
    return;
  }
  const auto rowsCurrentSince = std::max(this->termBegin, this->workerRowsCurrentSince);
  const auto minSilence =
    std::max(this->options.rowRestoreTimeout,
             this->options.LeaseExpiryBound() - this->options.workerRowTimeout);
  if (this->dependencies.clock.Now() <
      std::max(rowsCurrentSince + minSilence, this->olderLeasesExpiry)) {
    return;
  }
  const auto unlisted = std::move(this->presumedGoneWorkers);
  this->presumedGoneWorkers.clear();
  this->dependencies.log.Log(
    LogLevel::Info,
    "workers_gone",
    { { "workers", unlisted.size() },
      { "first", unlisted.begin()->value },
      { "unlisted_ms", (this->dependencies.clock.Now() - this->termBegin).count() } });
  for (const auto& id : unlisted) {
    this->MarkWorkerSynced(id);
  }
}

void
CellScheduler::MarkWorkerSynced(const WorkerId& aWorker)
{
  const bool wasUnrestricted = !this->inheritedDrainingJobs.contains(aWorker);
  if (this->unsyncedWorkers.erase(aWorker) == 0 || this->HasUnrestrictedUnsyncedWorkers()) {
    return;
  }
  if (wasUnrestricted || this->unsyncedWorkers.empty()) {
    this->dependencies.log.Log(
      LogLevel::Info,
      "workers_read",
      { { "after_ms", (this->dependencies.clock.Now() - this->termBegin).count() },
        { "last", aWorker.value },
        { "draining_unread", this->unsyncedWorkers.size() } });
  }
  this->ReleaseHeldJobs();
}

bool
CellScheduler::HasUnrestrictedUnsyncedWorkers() const
{
  return std::ranges::any_of(this->unsyncedWorkers, [this](const WorkerId& aId) {
    return !this->inheritedDrainingJobs.contains(aId);
  });
}

void
CellScheduler::ReleaseHeldJobs()
{
  std::set<JobId> uncertain;
  for (const auto& id : this->unsyncedWorkers) {
    const auto& jobs = this->inheritedDrainingJobs.at(id);
    uncertain.insert(jobs.begin(), jobs.end());
  }
  for (const auto& [id, job] : this->activeJobs) {
    job->awaitsReports = job->awaitsReports && uncertain.contains(id);
  }
  this->isPlacementDue = true;
}

}
