#include <LibCell/CellScheduler.h>
#include <LibCell/Tombstone.h>

#include <algorithm>
#include <fmt/format.h>

namespace zinc::cell {

namespace {

/// Clocks of two instances differ by less than this. A recorded arrival time that is older, or in
/// the future, is ignored.
constexpr Milliseconds kMaxPlausibleAge{ 10'000 };
/// Maximum number of steps in a job's open occurrences, which have begun and not succeeded. Load: a
/// few kilobytes ask for 100,000 occurrences of 1,000 steps, all of them due.
constexpr std::uint32_t kMaxOpenSteps = 1000;
/// So many occurrences may overlap however many steps they have.
constexpr std::uint32_t kMinOpenOccurrences = 4;

/// @return true if further occurrences begin only after earlier ones have succeeded
bool
HasMaxOpenOccurrences(const Job& aJob)
{
  const auto steps = static_cast<std::uint32_t>(aJob.spec.steps.size());
  const auto open = aJob.occurrencesStarted - aJob.occurrencesSucceeded;
  return open >= std::max(kMinOpenOccurrences, kMaxOpenSteps / steps);
}

}

Job*
CellScheduler::FindJob(const JobId& aJob)
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() ? nullptr : &found->second;
}

const Task*
CellScheduler::FindReportedTask(const TaskName& aTask)
{
  auto* job = this->FindJob(aTask.job);
  if (job != nullptr && job->outcome == JobOutcome::Active &&
      aTask.key.occurrence < job->TotalOccurrences()) {
    this->FindOrCreateOccurrence(*job, aTask.key.occurrence);
  }
  return this->FindTask(aTask);
}

const Task*
CellScheduler::FindTask(const TaskName& aTask)
{
  const auto* job = this->FindJob(aTask.job);
  return job == nullptr ? nullptr : job->FindTask(aTask.key);
}

Task*
CellScheduler::FindOrCreateTask(const TaskName& aTask)
{
  auto* job = this->FindJob(aTask.job);
  return job == nullptr ? nullptr : job->FindOrCreateTask(aTask.key);
}

const QueuePolicy&
CellScheduler::CurrentQueuePolicy(const Job& aJob) const
{
  const auto* route = this->policy->FindRouteByQueue(aJob.spec.queue.name);
  return route != nullptr ? route->queue : aJob.spec.queue;
}

void
CellScheduler::OnJobRows(const std::vector<Row>& aRows)
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Jobs);
  // Specifications go first: rows arrive in key order, so that others about a job can precede it.
  for (const auto& row : aRows) {
    const auto name = ParseJobRowKey(row.key.key);
    if (name && name->kind == JobRowKind::Specification && !row.isDeleted) {
      this->ApplySpecificationRow(row);
    }
  }
  for (const auto& row : aRows) {
    const auto name = ParseJobRowKey(row.key.key);
    if (!name || row.isDeleted) {
      continue;
    }
    if (name->kind == JobRowKind::Cancellation) {
      this->ApplyCancellation(name->job);
    }
    auto* job = this->FindJob(name->job);
    if (name->kind == JobRowKind::Progress && job != nullptr) {
      this->ApplyProgressRow(*job, row);
    }
  }
  this->isPlacementDue = true;
  if (!this->isAdoptingJobs) {
    this->FlushProgress();
  }
}

void
CellScheduler::ApplySpecificationRow(const Row& aRow)
{
  const auto name = ParseJobRowKey(aRow.key.key);
  if (auto* known = this->FindJob(name->job)) {
    this->ApplyEndedRow(*known, aRow);
    return;
  }
  if (auto ended = DecodeEndedJob(aRow.value, this->policy.get())) {
    this->endedJobArchive.Add(name->job, std::move(*ended), this->dependencies.clock.Now());
    return;
  }
  if (DecodeTombstone(aRow.value)) {
    return;
  }
  auto decoded = DecodeSpecification(name->job, aRow.value);
  if (IsError(decoded)) {
    this->dependencies.log.Log(
      LogLevel::Error,
      "job_row_unreadable",
      { { "job", name->job.value }, { "reason", ErrorOf(decoded).message } });
    return;
  }
  auto& job = this->jobs[name->job];
  job.spec = std::move(ValueOf(decoded));
  job.criticalPaths = ComputeCriticalPaths(job.spec);
  const auto now = this->dependencies.clock.Now();
  const auto age = this->dependencies.wallClock() - job.spec.received;
  const bool isPlausible = age >= Milliseconds{ 0 } && age <= kMaxPlausibleAge;
  job.receivedAt = isPlausible ? now - age : now;
  job.awaitsReports = this->isAdoptingJobs && !this->unreadWorkers.IsEmpty();
  job.areStartsUnknown = this->isAdoptingJobs && !this->startRecords.AreComplete();
  job.workspaceUsage = &this->UsageOf(job.spec.workspace);
  job.isBeyondWeight = this->IsBeyondWeight(job.spec.workspace);
  this->activeJobs.emplace(name->job, &job);
  if (job.spec.occurrences > 0) {
    this->timedJobs.insert(name->job);
  }
  const auto objective =
    ComputeObjective(this->CurrentQueuePolicy(job), std::ranges::max(job.criticalPaths));
  this->dependencies.log.Log(LogLevel::Info,
                             "job_adopted",
                             { { "job", name->job.value },
                               { "queue", job.spec.queue.name.value },
                               { "workspace", job.spec.workspace.value },
                               { "age_ms", (now - job.receivedAt).count() },
                               { "steps", job.spec.steps.size() },
                               { "objective_ms", objective.count() },
                               { "beyond_weight", job.isBeyondWeight } });
  this->StartDueOccurrences(job);
  if (this->CurrentQueuePolicy(job).priority == 0 && !this->isAdoptingJobs) {
    // An urgent job starts as soon as it arrives, and its record takes time.
    for (auto& [number, occurrence] : job.occurrences) {
      for (auto& run : occurrence.steps) {
        if (run.isReady) {
          this->RecordStepStart(job, run);
        }
      }
    }
  }
  if (this->earlyCancellations.erase(name->job) > 0) {
    this->EndJob(job, JobOutcome::Cancelled, "cancelled");
  }
}

bool
CellScheduler::IsBeyondWeight(const WorkspaceId& aWorkspace)
{
  const auto found = this->policy->workspaces.find(aWorkspace);
  return found != this->policy->workspaces.end() &&
         !this->UsageOf(aWorkspace)
            .jobTokens.Take(found->second.weight, this->dependencies.clock.Now());
}

WorkspaceUsage&
CellScheduler::UsageOf(const WorkspaceId& aWorkspace)
{
  return this->workspaces[aWorkspace];
}

void
CellScheduler::ApplyEndedRow(Job& aJob, const Row& aRow)
{
  if (const auto ended = DecodeEndedJob(aRow.value)) {
    this->ApplyRecordedOutcome(aJob, ended->outcome);
  }
}

void
CellScheduler::ApplyRecordedOutcome(Job& aJob, JobOutcome aOutcome)
{
  // A previous leader ended the job, possibly with a write that took effect during this term.
  if (aJob.outcome == JobOutcome::Active) {
    this->EndJob(aJob, aOutcome, "recorded");
  }
  aJob.outcome = aOutcome;
  aJob.durableChangeCount = aJob.changeCount;
  this->dirtyJobs.erase(aJob.spec.id);
  this->OnOutcomeDurable(aJob);
}

void
CellScheduler::OnOutcomeDurable(Job& aJob)
{
  if (!aJob.isOutcomeDurable) {
    aJob.isOutcomeDurable = true;
    this->compactor.Add(
      aJob.spec.id,
      { .outcome = aJob.outcome, .workspace = aJob.spec.workspace, .queue = aJob.spec.queue.name });
  }
}

void
CellScheduler::ApplyCancellation(const JobId& aJob)
{
  if (this->endedJobArchive.Contains(aJob)) {
    return;
  }
  auto* job = this->FindJob(aJob);
  if (job == nullptr) {
    this->earlyCancellations.insert(aJob);
    return;
  }
  if (job->outcome == JobOutcome::Active) {
    this->EndJob(*job, JobOutcome::Cancelled, "cancelled");
  }
}

void
CellScheduler::ApplyProgressRow(Job& aJob, const Row& aRow)
{
  if (aRow.version <= aJob.progressVersion) {
    return;
  }
  const auto record = DecodeProgress(aRow.value);
  if (IsError(record)) {
    this->dependencies.log.Log(
      LogLevel::Error,
      "progress_row_unreadable",
      { { "job", aJob.spec.id.value }, { "reason", ErrorOf(record).message } });
    return;
  }
  aJob.progressVersion = aRow.version;
  // A previous leader's write can take effect after this leader has ended the job.
  const bool isOutdated =
    aJob.outcome != JobOutcome::Active && ValueOf(record).outcome == JobOutcome::Active;
  if (!isOutdated) {
    this->ApplyProgressRecord(aJob, ValueOf(record));
  }
}

void
CellScheduler::ApplyProgressRecord(Job& aJob, const ProgressRecord& aRecord)
{
  aJob.hasStarted = aJob.hasStarted || aRecord.hasStarted;
  if (aRecord.outcome != JobOutcome::Active) {
    this->ApplyRecordedOutcome(aJob, aRecord.outcome);
    return;
  }
  for (std::uint32_t number = 0; number < aRecord.occurrencesSucceeded; ++number) {
    auto& occurrence = this->FindOrCreateOccurrence(aJob, number);
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      this->MarkStepSucceeded(aJob, number, step);
    }
  }
  for (const auto& step : aRecord.succeededSteps) {
    if (step.occurrence < aJob.TotalOccurrences() && step.step < aJob.spec.steps.size()) {
      this->FindOrCreateOccurrence(aJob, step.occurrence);
      this->MarkStepSucceeded(aJob, step.occurrence, step.step);
    }
  }
  for (const auto& step : aRecord.startedSteps) {
    if (step.occurrence < aJob.TotalOccurrences() && step.step < aJob.spec.steps.size()) {
      auto& run = this->FindOrCreateOccurrence(aJob, step.occurrence).steps[step.step];
      run.isStartRecorded = true;
      run.mayHaveEarlierRuns = run.mayHaveEarlierRuns || this->isAdoptingJobs;
    }
  }
  for (const auto& record : aRecord.tasks) {
    if (record.key.occurrence >= aJob.TotalOccurrences()) {
      continue;
    }
    this->FindOrCreateOccurrence(aJob, record.key.occurrence);
    const auto* known = aJob.FindTask(record.key);
    if (known == nullptr || known->phase == TaskPhase::Succeeded) {
      continue;
    }
    if (record.hasSucceeded) {
      this->MarkTaskSucceeded(aJob, record.key);
      continue;
    }
    auto* task = aJob.FindOrCreateTask(record.key);
    task->failedRuns.insert(record.failedRuns.begin(), record.failedRuns.end());
    task->crashedRuns.insert(record.crashedRuns.begin(), record.crashedRuns.end());
    task->blamedRuns.insert(record.blamedRuns.begin(), record.blamedRuns.end());
    task->rackLossRuns.insert(record.rackLossRuns.begin(), record.rackLossRuns.end());
    aJob.isCrashSuspect = aJob.isCrashSuspect || task->IsCrashSuspect();
    if (this->isAdoptingJobs && record.recordedStart) {
      this->AdoptRecordedStart({ aJob.spec.id, record.key }, *record.recordedStart);
    }
    if (task->checkpoint.empty()) {
      task->checkpoint = record.checkpoint;
    }
    if (!aJob.spec.steps[record.key.step].isService) {
      this->GiveUpFailingTask(aJob, record.key);
    }
  }
}

OccurrenceRun&
CellScheduler::FindOrCreateOccurrence(Job& aJob, std::uint32_t aNumber)
{
  // A predecessor whose clock was ahead may have started occurrences that are not due here yet.
  while (aJob.occurrencesStarted <= aNumber) {
    this->CreateOccurrence(aJob, aJob.occurrencesStarted++);
  }
  return aJob.occurrences.at(aNumber);
}

void
CellScheduler::CreateOccurrence(Job& aJob, std::uint32_t aNumber)
{
  auto& occurrence = aJob.occurrences[aNumber];
  occurrence.steps.resize(aJob.spec.steps.size());
  for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
    occurrence.steps[step].CreateTasks(aJob.spec.steps[step].count);
  }
  const auto start = aJob.spec.occurrences > 0 ? this->dependencies.clock.Now() : aJob.receivedAt;
  occurrence.objective =
    start + ComputeObjective(this->CurrentQueuePolicy(aJob), std::ranges::max(aJob.criticalPaths));
  occurrence.deadline = start + (occurrence.objective - start) * kDeadlineFactor;
  this->MarkReadySteps(aJob, aNumber);
}

void
CellScheduler::StartDueOccurrences(Job& aJob)
{
  if (aJob.outcome != JobOutcome::Active) {
    this->timedJobs.erase(aJob.spec.id);
    return;
  }
  if (aJob.spec.occurrences == 0) {
    this->FindOrCreateOccurrence(aJob, 0);
    return;
  }
  const auto wallTime = this->dependencies.wallClock();
  while (aJob.occurrencesStarted < aJob.spec.occurrences) {
    const auto due = aJob.spec.firstDue + aJob.spec.interval * aJob.occurrencesStarted;
    if (wallTime + this->options.maxEarlyStart < due || HasMaxOpenOccurrences(aJob)) {
      return;
    }
    this->FindOrCreateOccurrence(aJob, aJob.occurrencesStarted);
    this->isPlacementDue = true;
  }
  this->timedJobs.erase(aJob.spec.id);
}

void
CellScheduler::MarkReadySteps(Job& aJob, std::uint32_t aOccurrence)
{
  auto& occurrence = aJob.occurrences.at(aOccurrence);
  for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
    auto& run = occurrence.steps[step];
    if (run.isReady) {
      continue;
    }
    const auto& dependsOn = aJob.spec.steps[step].dependsOn;
    run.isReady = std::ranges::all_of(dependsOn, [&occurrence](std::uint32_t aStep) {
      const auto& dependency = occurrence.steps[aStep];
      return dependency.succeededTasks == dependency.tasks.size();
    });
  }
  this->isPlacementDue = true;
}

void
CellScheduler::MarkTaskSucceeded(Job& aJob, const TaskKey& aKey)
{
  auto& run = aJob.occurrences.at(aKey.occurrence).steps[aKey.step];
  if (aJob.spec.steps[aKey.step].isGang) {
    this->MarkStepSucceeded(aJob, aKey.occurrence, aKey.step);
    return;
  }
  if (run.tasks.Look(aKey.index).phase == TaskPhase::Succeeded) {
    return;
  }
  if (run.succeededTasks + 1 == run.tasks.size()) {
    this->MarkStepSucceeded(aJob, aKey.occurrence, aKey.step);
    return;
  }
  run.MarkTaskSucceeded(aKey.index);
}

void
CellScheduler::MarkStepSucceeded(Job& aJob, std::uint32_t aOccurrence, std::uint32_t aStep)
{
  auto& occurrence = aJob.occurrences.at(aOccurrence);
  auto& run = occurrence.steps[aStep];
  if (run.succeededTasks == run.tasks.size()) {
    return;
  }
  run.MarkAllTasksSucceeded();
  if (!aJob.spec.steps[aStep].isGang) {
    run.tasks.ReleaseSucceeded();
  }
  this->ReleaseReservation(run, aJob.spec.steps[aStep], ReservationEnd::Done);
  ++occurrence.succeededSteps;
  this->MarkReadySteps(aJob, aOccurrence);
  while (aJob.occurrencesSucceeded < aJob.TotalOccurrences()) {
    const auto next = aJob.occurrences.find(aJob.occurrencesSucceeded);
    if (next == aJob.occurrences.end() || next->second.succeededSteps < next->second.steps.size()) {
      return;
    }
    ++aJob.occurrencesSucceeded;
  }
  this->EndJob(aJob, JobOutcome::Succeeded, "all tasks succeeded");
}

void
CellScheduler::RecordFailedRun(Job& aJob, const TaskKey& aKey, std::uint64_t aRun)
{
  auto& task = *aJob.FindOrCreateTask(aJob.CountedTask(aKey));
  if (!task.failedRuns.insert(aRun).second) {
    return;
  }
  this->MarkJobChanged(aJob);
  this->GiveUpFailingTask(aJob, aKey);
}

void
CellScheduler::GiveUpFailingTask(Job& aJob, const TaskKey& aKey)
{
  const auto failures = aJob.CountFailures(aKey);
  if (failures < std::max(1U, this->CurrentQueuePolicy(aJob).maxAttempts)) {
    return;
  }
  this->EndJob(
    aJob,
    JobOutcome::Failed,
    fmt::format("task {}.{}.{} failed {} times", aKey.occurrence, aKey.step, aKey.index, failures));
}

void
CellScheduler::EndJob(Job& aJob, JobOutcome aOutcome, std::string_view aReason)
{
  if (aJob.outcome != JobOutcome::Active) {
    return;
  }
  const auto now = this->dependencies.clock.Now();
  aJob.outcome = aOutcome;
  aJob.endedAt = now;
  this->activeJobs.erase(aJob.spec.id);
  this->timedJobs.erase(aJob.spec.id);
  this->StopAllRuns(aJob);
  this->MarkJobChanged(aJob);
  this->endedJobs.push_back(aJob.spec.id);
  const auto& queue = aJob.spec.queue.name.value;
  this->dependencies.metrics
    .FindCounter({ .name = "zinc_cell_jobs_ended_total", .help = "Jobs by how they ended." },
                 { { "queue", queue }, { "outcome", std::string(ToString(aOutcome)) } })
    .Add();
  this->dependencies.metrics
    .FindHistogram({ .name = "zinc_cell_job_seconds", .help = "Time from receipt to end." },
                   { { "queue", queue }, { "workspace", aJob.spec.workspace.value } })
    .Record(std::chrono::duration<double>(now - aJob.receivedAt).count());
  this->dependencies.log.Log(LogLevel::Info,
                             "job_ended",
                             { { "job", aJob.spec.id.value },
                               { "outcome", ToString(aOutcome) },
                               { "reason", aReason },
                               { "age_ms", (now - aJob.receivedAt).count() } });
}

void
CellScheduler::StopAllRuns(Job& aJob)
{
  for (auto& [number, occurrence] : aJob.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& run = occurrence.steps[step];
      this->ReleaseReservation(run, aJob.spec.steps[step], ReservationEnd::Done);
      for (const auto& [index, task] : run.tasks.WithObject()) {
        auto* worker = task.phase == TaskPhase::Placed ? this->workers.Find(task.worker) : nullptr;
        if (worker == nullptr) {
          continue;
        }
        const TaskName name{ aJob.spec.id, { number, step, index } };
        if (auto* allocation = worker->FindAllocation(name, task.run)) {
          this->StopRun(*worker, *allocation, "job_ended");
        }
      }
    }
  }
}

void
CellScheduler::MarkJobStarted(Job& aJob)
{
  if (aJob.hasStarted) {
    return;
  }
  aJob.hasStarted = true;
  this->forecast.RecordFirstStart(aJob.spec.id, this->dependencies.clock.Now());
  this->dependencies.metrics
    .FindHistogram(
      { .name = "zinc_cell_wait_seconds", .help = "Time from receipt to first start." },
      { { "queue", aJob.spec.queue.name.value }, { "workspace", aJob.spec.workspace.value } })
    .Record(
      std::chrono::duration<double>(this->dependencies.clock.Now() - aJob.receivedAt).count());
}

void
CellScheduler::MarkJobChanged(Job& aJob)
{
  ++aJob.changeCount;
  this->dirtyJobs.insert(aJob.spec.id);
}

void
CellScheduler::RecordStepStart(Job& aJob, StepRun& aRun)
{
  if (!aRun.isStartRecorded) {
    aRun.isStartRecorded = true;
    this->MarkJobChanged(aJob);
    aRun.startRecordChange = aJob.changeCount;
    aJob.startRecordChange = aJob.changeCount;
  }
}

void
CellScheduler::RemoveExpiredJobs()
{
  const auto now = this->dependencies.clock.Now();
  this->endedJobArchive.RemoveOlderThan(now - this->options.statusRetention);
  while (!this->endedJobs.empty()) {
    const auto* job = this->FindJob(this->endedJobs.front());
    if (job != nullptr &&
        (now - job->endedAt < this->options.statusRetention || !job->isOutcomeDurable)) {
      return;
    }
    if (job != nullptr) {
      this->jobs.erase(this->endedJobs.front());
    }
    this->endedJobs.pop_front();
  }
}

}
