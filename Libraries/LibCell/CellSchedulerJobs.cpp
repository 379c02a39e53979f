#include <LibCell/CellScheduler.h>

#include <algorithm>
#include <fmt/format.h>

namespace zinc::cell {

namespace {

/// Clocks of two instances differ by less than this; a time of receipt further off is not believed.
constexpr Milliseconds kBelievedAge{ 10'000 };
/// A job that takes this many times its objective is of no worth any more; the platform's figure.
constexpr int kWorthlessAfter = 3;
/// A workspace may send this many seconds of its weight at once.
constexpr double kWeightBurstSeconds = 4.0;

}

Job*
CellScheduler::FindJob(const JobId& aJob)
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() ? nullptr : &found->second;
}

Task*
CellScheduler::FindTask(Job& aJob, const TaskKey& aKey)
{
  const auto occurrence = aJob.occurrences.find(aKey.occurrence);
  if (occurrence == aJob.occurrences.end() || aKey.step >= occurrence->second.steps.size() ||
      aKey.index >= occurrence->second.steps[aKey.step].tasks.size()) {
    return nullptr;
  }
  return &occurrence->second.steps[aKey.step].tasks[aKey.index];
}

const QueuePolicy&
CellScheduler::QueueOf(const Job& aJob) const
{
  const auto* route = this->policy->FindRouteByQueue(aJob.spec.queue.name);
  return route != nullptr ? route->queue : aJob.spec.queue;
}

void
CellScheduler::OnJobRows(const std::vector<Row>& aRows)
{
  // A job's own row may follow the rows about it, since their keys are not in the order of writing.
  for (const auto& row : aRows) {
    const auto name = ParseJobRowKey(row.key.key);
    if (name && name->kind == JobRowKind::Specification && !row.isDeleted) {
      this->AdoptSpecification(row);
    }
  }
  for (const auto& row : aRows) {
    const auto name = ParseJobRowKey(row.key.key);
    if (!name || row.isDeleted) {
      continue;
    }
    if (name->kind == JobRowKind::Cancellation) {
      this->AdoptCancellation(name->job);
    }
    auto* job = this->FindJob(name->job);
    if (name->kind == JobRowKind::Progress && job != nullptr) {
      this->AdoptProgress(*job, row);
    }
  }
  this->placementDue = true;
}

void
CellScheduler::AdoptSpecification(const Row& aRow)
{
  const auto name = ParseJobRowKey(aRow.key.key);
  if (auto* known = this->FindJob(name->job)) {
    this->AdoptForeignEnd(*known, aRow);
    return;
  }
  if (const auto ended = DecodeEndedJob(aRow.value)) {
    this->AdoptEnded(name->job, *ended);
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
  job.remaining = RemainingChains(job.spec);
  const auto now = this->dependencies.clock.Now();
  const auto age = this->dependencies.wallClock() - job.spec.received;
  const bool isBelieved = age >= Milliseconds{ 0 } && age <= kBelievedAge;
  job.firstSeen = isBelieved ? now - age : now;
  job.mayRunElsewhere = this->isBeginning && !this->unread.empty();
  job.isBeyondWeight = !this->TakeWeight(job.spec.workspace);
  this->active.insert(name->job);
  if (job.spec.occurrences > 0) {
    this->timed.insert(name->job);
  }
  this->dependencies.log.Log(LogLevel::Info,
                             "job_adopted",
                             { { "job", name->job.value },
                               { "queue", job.spec.queue.name.value },
                               { "workspace", job.spec.workspace.value },
                               { "age_ms", (now - job.firstSeen).count() },
                               { "steps", job.spec.steps.size() },
                               { "beyond_weight", job.isBeyondWeight } });
  this->BeginOccurrences(job);
  if (this->earlyCancellations.erase(name->job) > 0) {
    this->EndJob(job, JobOutcome::Cancelled, "cancelled");
  }
}

void
CellScheduler::AdoptEnded(const JobId& aJob, const EndedJobRecord& aRecord)
{
  auto& job = this->jobs[aJob];
  job.spec.id = aJob;
  job.spec.workspace = aRecord.workspace;
  job.spec.queue.name = aRecord.queue;
  job.outcome = aRecord.outcome;
  job.isOutcomeDurable = true;
  job.hasStarted = true;
  job.ended = this->dependencies.clock.Now();
  this->ended.push_back(aJob);
}

bool
CellScheduler::TakeWeight(const WorkspaceId& aWorkspace)
{
  const auto found = this->policy->workspaces.find(aWorkspace);
  if (found == this->policy->workspaces.end()) {
    return true;
  }
  const auto now = this->dependencies.clock.Now();
  const double rate = found->second.weight;
  const auto [bucket, isNew] = this->weightBuckets.try_emplace(aWorkspace);
  auto& state = bucket->second;
  const double most = rate * kWeightBurstSeconds;
  const double elapsed =
    std::chrono::duration<double>(isNew ? Milliseconds{ 0 } : now - state.updated).count();
  state.tokens = isNew ? most : std::min(most, state.tokens + elapsed * rate);
  state.updated = now;
  if (state.tokens < 1.0) {
    return false;
  }
  state.tokens -= 1.0;
  return true;
}

void
CellScheduler::AdoptForeignEnd(Job& aJob, const Row& aRow)
{
  if (const auto ended = DecodeEndedJob(aRow.value)) {
    this->AdoptOutcome(aJob, ended->outcome);
  }
}

void
CellScheduler::AdoptOutcome(Job& aJob, JobOutcome aOutcome)
{
  // A leader before this one has ended it, perhaps by a write that was carried out late.
  if (aJob.outcome == JobOutcome::Active) {
    this->EndJob(aJob, aOutcome, "recorded");
  }
  aJob.outcome = aOutcome;
  aJob.durableChanges = aJob.changes;
  this->dirty.erase(aJob.spec.id);
  this->OnOutcomeDurable(aJob);
}

void
CellScheduler::OnOutcomeDurable(Job& aJob)
{
  if (!aJob.isOutcomeDurable) {
    aJob.isOutcomeDurable = true;
    this->toCompact.push_back(aJob.spec.id);
  }
}

void
CellScheduler::AdoptCancellation(const JobId& aJob)
{
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
CellScheduler::AdoptProgress(Job& aJob, const Row& aRow)
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
  // A write of a leader before this one may be carried out after the job has ended.
  const bool isOld =
    aJob.outcome != JobOutcome::Active && ValueOf(record).outcome == JobOutcome::Active;
  if (!isOld) {
    this->ApplyProgress(aJob, ValueOf(record));
  }
}

void
CellScheduler::ApplyProgress(Job& aJob, const ProgressRecord& aRecord)
{
  aJob.hasStarted = aJob.hasStarted || aRecord.hasStarted;
  if (aRecord.outcome != JobOutcome::Active) {
    this->AdoptOutcome(aJob, aRecord.outcome);
    return;
  }
  for (std::uint32_t number = 0; number < aRecord.occurrencesSucceeded; ++number) {
    auto& occurrence = this->MakeOccurrence(aJob, number);
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      this->SucceedStep(aJob, number, step);
    }
  }
  for (const auto& step : aRecord.steps) {
    if (step.occurrence < aJob.TotalOccurrences() && step.step < aJob.spec.steps.size()) {
      this->MakeOccurrence(aJob, step.occurrence);
      this->SucceedStep(aJob, step.occurrence, step.step);
    }
  }
  for (const auto& record : aRecord.tasks) {
    if (record.key.occurrence >= aJob.TotalOccurrences()) {
      continue;
    }
    this->MakeOccurrence(aJob, record.key.occurrence);
    auto* task = this->FindTask(aJob, record.key);
    if (task == nullptr) {
      continue;
    }
    if (record.hasSucceeded) {
      this->SucceedTask(aJob, record.key);
      continue;
    }
    task->failedRuns.insert(record.failedRuns.begin(), record.failedRuns.end());
    if (task->checkpoint.empty()) {
      task->checkpoint = record.checkpoint;
    }
  }
}

OccurrenceRun&
CellScheduler::MakeOccurrence(Job& aJob, std::uint32_t aNumber)
{
  const auto [found, isNew] = aJob.occurrences.try_emplace(aNumber);
  auto& occurrence = found->second;
  if (!isNew) {
    return occurrence;
  }
  aJob.occurrencesBegun = std::max(aJob.occurrencesBegun, aNumber + 1);
  occurrence.steps.resize(aJob.spec.steps.size());
  for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
    occurrence.steps[step].tasks.resize(aJob.spec.steps[step].count);
  }
  const auto& queue = this->QueueOf(aJob);
  const auto chain = std::ranges::max(aJob.remaining);
  const auto begin = aJob.spec.occurrences > 0 ? this->dependencies.clock.Now() : aJob.firstSeen;
  occurrence.objective =
    begin + queue.slack +
    Milliseconds(static_cast<std::int64_t>(static_cast<double>(chain.count()) * queue.stretch));
  occurrence.worthless = begin + (occurrence.objective - begin) * kWorthlessAfter;
  this->OpenSteps(aJob, aNumber);
  return occurrence;
}

void
CellScheduler::BeginOccurrences(Job& aJob)
{
  if (aJob.outcome != JobOutcome::Active) {
    this->timed.erase(aJob.spec.id);
    return;
  }
  if (aJob.spec.occurrences == 0) {
    this->MakeOccurrence(aJob, 0);
    return;
  }
  const auto wall = this->dependencies.wallClock();
  while (aJob.occurrencesBegun < aJob.spec.occurrences) {
    const auto due = aJob.spec.firstDue + aJob.spec.interval * aJob.occurrencesBegun;
    if (wall + this->options.earliness < due) {
      return;
    }
    this->MakeOccurrence(aJob, aJob.occurrencesBegun);
    this->placementDue = true;
  }
  this->timed.erase(aJob.spec.id);
}

void
CellScheduler::OpenSteps(Job& aJob, std::uint32_t aOccurrence)
{
  auto& occurrence = aJob.occurrences.at(aOccurrence);
  for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
    auto& run = occurrence.steps[step];
    if (run.isOpen) {
      continue;
    }
    const auto& after = aJob.spec.steps[step].dependsOn;
    run.isOpen = std::ranges::all_of(after, [&occurrence](std::uint32_t aStep) {
      const auto& before = occurrence.steps[aStep];
      return before.succeeded == before.tasks.size();
    });
    const bool isUncertain = run.isOpen && aJob.mayRunElsewhere && !this->unread.empty();
    for (auto& task : run.tasks) {
      if (isUncertain && task.phase == TaskPhase::Waiting) {
        task.phase = TaskPhase::Unresolved;
      }
    }
  }
  this->placementDue = true;
}

void
CellScheduler::SucceedTask(Job& aJob, const TaskKey& aKey)
{
  auto& run = aJob.occurrences.at(aKey.occurrence).steps[aKey.step];
  if (aJob.spec.steps[aKey.step].isGang) {
    this->SucceedStep(aJob, aKey.occurrence, aKey.step);
    return;
  }
  auto& task = run.tasks[aKey.index];
  if (task.phase == TaskPhase::Succeeded) {
    return;
  }
  if (run.succeeded + 1 == run.tasks.size()) {
    this->SucceedStep(aJob, aKey.occurrence, aKey.step);
    return;
  }
  task.phase = TaskPhase::Succeeded;
  task.checkpoint.clear();
  ++run.succeeded;
}

void
CellScheduler::SucceedStep(Job& aJob, std::uint32_t aOccurrence, std::uint32_t aStep)
{
  auto& occurrence = aJob.occurrences.at(aOccurrence);
  auto& run = occurrence.steps[aStep];
  if (run.succeeded == run.tasks.size()) {
    return;
  }
  for (auto& task : run.tasks) {
    task.phase = TaskPhase::Succeeded;
    task.checkpoint.clear();
  }
  run.succeeded = static_cast<std::uint32_t>(run.tasks.size());
  this->ReleaseReservation(run, aJob.spec.steps[aStep]);
  ++occurrence.stepsSucceeded;
  this->OpenSteps(aJob, aOccurrence);
  while (aJob.occurrencesSucceeded < aJob.TotalOccurrences()) {
    const auto next = aJob.occurrences.find(aJob.occurrencesSucceeded);
    if (next == aJob.occurrences.end() || next->second.stepsSucceeded < next->second.steps.size()) {
      return;
    }
    ++aJob.occurrencesSucceeded;
  }
  this->EndJob(aJob, JobOutcome::Succeeded, "all tasks have succeeded");
}

void
CellScheduler::FailRun(Job& aJob, const TaskKey& aKey, std::uint64_t aRun)
{
  const auto& step = aJob.spec.steps[aKey.step];
  // A gang's failures are counted at its first task.
  auto counted = aKey;
  counted.index = step.isGang ? 0 : aKey.index;
  auto* task = this->FindTask(aJob, counted);
  if (!task->failedRuns.insert(aRun).second) {
    return;
  }
  this->Changed(aJob);
  if (task->failedRuns.size() >= std::max(1U, this->QueueOf(aJob).attempts)) {
    this->EndJob(aJob,
                 JobOutcome::Failed,
                 fmt::format("task {}.{}.{} failed {} times",
                             aKey.occurrence,
                             aKey.step,
                             aKey.index,
                             task->failedRuns.size()));
  }
}

void
CellScheduler::EndJob(Job& aJob, JobOutcome aOutcome, std::string_view aReason)
{
  if (aJob.outcome != JobOutcome::Active) {
    return;
  }
  const auto now = this->dependencies.clock.Now();
  aJob.outcome = aOutcome;
  aJob.ended = now;
  this->active.erase(aJob.spec.id);
  this->timed.erase(aJob.spec.id);
  this->StopAllOf(aJob);
  this->Changed(aJob);
  this->ended.push_back(aJob.spec.id);
  const auto& queue = aJob.spec.queue.name.value;
  this->dependencies.metrics
    .FindCounter({ .name = "zinc_cell_jobs_ended_total", .help = "Jobs by how they ended." },
                 { { "queue", queue }, { "outcome", std::string(ToString(aOutcome)) } })
    .Add();
  this->dependencies.metrics
    .FindHistogram({ .name = "zinc_cell_job_seconds", .help = "Time from receipt to end." },
                   { { "queue", queue }, { "workspace", aJob.spec.workspace.value } })
    .Record(std::chrono::duration<double>(now - aJob.firstSeen).count());
  this->dependencies.log.Log(LogLevel::Info,
                             "job_ended",
                             { { "job", aJob.spec.id.value },
                               { "outcome", ToString(aOutcome) },
                               { "reason", aReason },
                               { "age_ms", (now - aJob.firstSeen).count() } });
}

void
CellScheduler::StopAllOf(Job& aJob)
{
  for (auto& [number, occurrence] : aJob.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& run = occurrence.steps[step];
      this->ReleaseReservation(run, aJob.spec.steps[step]);
      for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
        auto& task = run.tasks[index];
        const auto worker = this->workers.find(task.worker);
        if (task.phase != TaskPhase::Placed || worker == this->workers.end()) {
          continue;
        }
        const TaskName name{ aJob.spec.id, { number, step, index } };
        if (auto* occupant = worker->second->Find(name, task.run)) {
          this->StopRun(*worker->second, *occupant, "job_ended");
        }
      }
    }
  }
}

void
CellScheduler::MarkStarted(Job& aJob)
{
  if (aJob.hasStarted) {
    return;
  }
  aJob.hasStarted = true;
  this->dependencies.metrics
    .FindHistogram(
      { .name = "zinc_cell_wait_seconds", .help = "Time from receipt to first start." },
      { { "queue", aJob.spec.queue.name.value }, { "workspace", aJob.spec.workspace.value } })
    .Record(std::chrono::duration<double>(this->dependencies.clock.Now() - aJob.firstSeen).count());
}

void
CellScheduler::Changed(Job& aJob)
{
  ++aJob.changes;
  this->dirty.insert(aJob.spec.id);
}

void
CellScheduler::ForgetOldJobs()
{
  const auto now = this->dependencies.clock.Now();
  while (!this->ended.empty()) {
    const auto* job = this->FindJob(this->ended.front());
    if (job != nullptr && (now - job->ended < this->options.statusKept || !job->isOutcomeDurable)) {
      return;
    }
    if (job != nullptr) {
      this->jobs.erase(this->ended.front());
    }
    this->ended.pop_front();
  }
}

}
