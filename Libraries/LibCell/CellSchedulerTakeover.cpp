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
  this->latestFencingToken = aSnapshot.fencingToken;
  this->unreadWorkers.Begin(aSnapshot, now);
  this->startRecords.Begin(!aSnapshot.hadPredecessor || aSnapshot.hasStartRecords, now);
  // The record of the takeover repeats the predecessor's.
  (void)this->leaseSuspensions.OnRecordMade(RemainingLeases(aSnapshot.suspendedLeases, now));
  for (const auto& entry : aSnapshot.workers) {
    this->OnWorkerEntry(entry);
  }
  this->isAdoptingJobs = true;
  this->OnJobRows(aSnapshot.jobRows);
  this->isAdoptingJobs = false;
  for (const auto* worker : this->workers.All()) {
    this->ConfirmCrash(worker->entry.MachineOrId(), worker->entry.incarnation);
  }
  if (!this->unreadWorkers.HasUnrestricted()) {
    this->ReleaseHeldJobs();
  }
  const auto candidates = this->CollectCandidates(HeldSteps::Included);
  const auto held = std::ranges::count_if(candidates, [](const Candidate& aCandidate) {
    return aCandidate.job->IsHeld(*aCandidate.run);
  });
  this->dependencies.log.Log(LogLevel::Info,
                             "term_begun",
                             { { "token", this->fencingToken },
                               { "jobs", this->jobs.size() + this->endedJobArchive.Size() },
                               { "active", this->activeJobs.size() },
                               { "workers", this->workers.Size() },
                               { "to_read", this->unreadWorkers.Size() },
                               { "pending_steps", candidates.size() },
                               { "held_steps", held },
                               { "unfenced", this->unreadWorkers.CountUnfenced() },
                               { "leases_ms", (this->unreadWorkers.LeasesExpiry() - now).count() },
                               { "has_start_records", this->startRecords.AreComplete() } });
  this->Tick();
}

Milliseconds
CellScheduler::RemainingRecoveryTime() const
{
  return std::max(Milliseconds{ 0 },
                  this->unreadWorkers.AwaitedUntil() - this->dependencies.clock.Now());
}

void
CellScheduler::AdoptRun(Worker& aWorker, const ActiveRun& aActiveRun)
{
  const auto now = this->dependencies.clock.Now();
  auto* job = this->FindJob(aActiveRun.task.job);
  const auto* reported = this->FindReportedTask(aActiveRun.task);
  Allocation allocation{ .task = aActiveRun.task,
                         .run = aActiveRun.run,
                         .phase = RunPhase::Running,
                         .phaseSince = now,
                         .startedAt = now,
                         .isStartConfirmed = true,
                         .isReported = true,
                         .progressPercent = aActiveRun.progressPercent,
                         .lastProgress = now,
                         .load = aActiveRun.load,
                         .checkpoint = aActiveRun.checkpoint };
  if (const auto* step = job == nullptr ? nullptr : job->FindStep(aActiveRun.task.key)) {
    // Of an ended job, the occurrence may not exist in this term.
    allocation.demand = AllocatedDemand(*step);
    allocation.workspaceUsage = job->workspaceUsage;
    allocation.isService = step->isService;
    allocation.isBestEffort = step->isBestEffort;
    allocation.tailLatencyTarget = step->tailLatencyTarget;
    allocation.estimate = step->estimate;
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
  aWorker.leaseExpiry = std::max(aWorker.leaseExpiry, this->unreadWorkers.LeasesExpiry());
  const bool isWanted = reported != nullptr && job->outcome == JobOutcome::Active &&
                        reported->phase == TaskPhase::Waiting;
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
  auto* task = job->FindOrCreateTask(key);
  job->occurrences.at(key.occurrence).steps[key.step].SetPhase(*task, TaskPhase::Placed);
  task->run = aActiveRun.run;
  task->worker = aWorker.entry.id;
  this->RecordStepStart(*job, job->occurrences.at(key.occurrence).steps[key.step]);
  this->MarkJobStarted(*job);
}

bool
CellScheduler::AreAllStartsStored() const
{
  if (this->startRecords.AreComplete()) {
    return true;
  }
  // Once all workers have been read, each run of a previous leader has been adopted or has ended.
  // The end of a job is as good as the records of its starts, once it is stored.
  return !this->IsRecovering() && std::ranges::all_of(this->activeJobs, [](const auto& aEntry) {
    return aEntry.second->AreAllStartsStored();
  }) && std::ranges::all_of(this->dirtyJobs, [this](const JobId& aJob) {
    return this->jobs.at(aJob).outcome == JobOutcome::Active;
  });
}

void
CellScheduler::OnWorkerRowsUnavailable()
{
  this->unreadWorkers.OnRowsUnavailable(this->dependencies.clock.Now());
}

void
CellScheduler::StopAwaitingUnlistedWorkers()
{
  const auto now = this->dependencies.clock.Now();
  const auto gone = this->unreadWorkers.TakePresumedGone(now);
  if (gone.empty()) {
    return;
  }
  this->dependencies.log.Log(LogLevel::Info,
                             "workers_gone",
                             { { "workers", gone.size() },
                               { "first", gone.front().value },
                               { "unlisted_ms", (now - this->termBegin).count() } });
  for (const auto& id : gone) {
    this->MarkWorkerRead(id);
  }
}

void
CellScheduler::MarkWorkerRead(const WorkerId& aWorker)
{
  if (!this->unreadWorkers.MarkRead(aWorker)) {
    return;
  }
  if (!this->unreadWorkers.IsRestricted(aWorker) || this->unreadWorkers.IsEmpty()) {
    this->dependencies.log.Log(
      LogLevel::Info,
      "workers_read",
      { { "after_ms", (this->dependencies.clock.Now() - this->termBegin).count() },
        { "last", aWorker.value },
        { "draining_unread", this->unreadWorkers.Size() } });
  }
  this->ReleaseHeldJobs();
}

void
CellScheduler::ReleaseHeldJobs()
{
  std::size_t released = 0;
  for (const auto& [id, job] : this->activeJobs) {
    if (job->awaitsReports && !this->unreadWorkers.MayKnowOf(id)) {
      job->awaitsReports = false;
      ++released;
    }
  }
  this->isPlacementDue = true;
  if (released > 0) {
    this->dependencies.log.Log(
      LogLevel::Info,
      "jobs_released",
      { { "jobs", released },
        { "held_ms", (this->dependencies.clock.Now() - this->termBegin).count() },
        { "unread", this->unreadWorkers.Size() },
        { "unfenced", this->unreadWorkers.CountUnfenced() } });
  }
}

}
