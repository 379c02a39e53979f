#include <LibCell/CellScheduler.h>
#include <LibCell/Placement.h>

#include <algorithm>
#include <cmath>

namespace zinc::cell {

namespace {

/// Weight of the newest run in a worker's slowness.
constexpr double kSlownessWeight = 0.15;
/// Estimates are rough; a single run counts within these bounds.
constexpr double kLeastRatio = 0.4;
constexpr double kMostRatio = 4.0;
/// Runs shorter than this say more of the worker's polling than of its speed.
constexpr Milliseconds kLeastMeasuredRun{ 200 };
/// Time until a stop that was not answered is sent again.
constexpr Milliseconds kStopRetry{ 400 };
/// A perpetual task that ended is started again after this; spares a worker that fails it at once.
constexpr Milliseconds kPerpetualRestart{ 200 };
/// How long a worker is avoided that refused an order as unhealthy.
constexpr Milliseconds kRefusalAvoidance{ 1500 };
/// Longest time between looks at a worker whose ends cannot be written.
constexpr Milliseconds kUnwrittenHoldPause{ 400 };

TaskName
NameOf(const Job& aJob, const TaskKey& aKey)
{
  return { aJob.spec.id, aKey };
}

}

OrderTarget
CellScheduler::TargetOf(const Worker& aWorker) const
{
  return { .worker = aWorker.entry.id,
           .address = aWorker.entry.address,
           .port = aWorker.entry.port,
           .fencingToken = this->token };
}

void
CellScheduler::OnWorkerEntry(const WorkerEntry& aEntry)
{
  const auto now = this->dependencies.clock.Now();
  this->placementDue = true;
  this->presumedGone.erase(aEntry.id);
  auto& slot = this->workers[aEntry.id];
  if (!slot) {
    slot = std::make_unique<Worker>();
    slot->entry = aEntry;
    slot->nextHold = now;
    slot->lastAnswer = now;
    this->dependencies.log.Log(LogLevel::Info,
                               "worker_listed",
                               { { "worker", aEntry.id.value },
                                 { "pool", aEntry.pool },
                                 { "zone", aEntry.zone.value },
                                 { "rack", aEntry.rack.value } });
    // A new life of an instance proves that the one before it has ended.
    for (auto& [id, worker] : this->workers) {
      const bool isSuperseded = worker.get() != slot.get() && !aEntry.machine.empty() &&
                                worker->entry.machine == aEntry.machine &&
                                worker->entry.incarnation < aEntry.incarnation;
      if (isSuperseded) {
        this->FailAllocations(*worker, "superseded");
        worker->leaseEnd = {};
        worker->isListed = false;
        this->MarkRead(id);
      }
    }
    return;
  }
  auto& worker = *slot;
  if (aEntry.isDraining && !worker.entry.isDraining) {
    this->dependencies.log.Log(
      LogLevel::Info, "worker_draining", { { "worker", aEntry.id.value } });
  }
  const bool isReborn = worker.incarnation != 0 && aEntry.incarnation > worker.incarnation;
  worker.entry = aEntry;
  worker.isListed = true;
  if (isReborn) {
    this->WorkerReborn(worker, "listed");
    worker.incarnation = aEntry.incarnation;
  }
}

void
CellScheduler::OnWorkerUnlisted(const WorkerId& aWorker)
{
  const auto found = this->workers.find(aWorker);
  if (found == this->workers.end()) {
    return;
  }
  found->second->isListed = false;
  this->placementDue = true;
  this->dependencies.log.Log(LogLevel::Info, "worker_unlisted", { { "worker", aWorker.value } });
}

void
CellScheduler::HoldDue()
{
  const auto now = this->dependencies.clock.Now();
  for (auto& [id, worker] : this->workers) {
    if (!worker->isHoldInFlight && worker->nextHold <= now) {
      this->SendHold(*worker);
    }
  }
}

std::int64_t
CellScheduler::DeadlineFor(Worker& aWorker)
{
  const auto now = this->dependencies.clock.Now();
  aWorker.leaseEnd = std::max(aWorker.leaseEnd, now + this->options.LeaseBound());
  return now.time_since_epoch().count() + aWorker.clockOffset + this->options.longestLease.count();
}

void
CellScheduler::SendHold(Worker& aWorker)
{
  const auto now = this->dependencies.clock.Now();
  LeaseRenewal order{ .target = this->TargetOf(aWorker),
                      .acknowledgedSequence = aWorker.acknowledged };
  // A worker that does not answer is only looked at, so that its lease runs out.
  const bool isHeld = aWorker.isClockKnown && aWorker.holdFailures == 0 && now < this->termEnd;
  if (isHeld) {
    order.leaseDeadline = this->DeadlineFor(aWorker);
  }
  if (isHeld && aWorker.reachability == WorkerReachability::Reachable &&
      aWorker.unacknowledged.empty()) {
    order.maxWait = this->options.holdWait;
  }
  aWorker.isHoldInFlight = true;
  this->dependencies.workers.RenewLease(
    std::move(order),
    [this,
     guard = std::weak_ptr<bool>(this->alive),
     id = aWorker.entry.id,
     born = aWorker.incarnation,
     now](Result<std::variant<WorkerReport, OrderResult>> aAnswer) {
      if (!guard.expired() && !this->isDeposed) {
        this->OnHoldAnswer(id, born, now, aAnswer);
      }
    });
}

void
CellScheduler::OnHoldAnswer(const WorkerId& aWorker,
                            std::int64_t aBorn,
                            TimePoint aSent,
                            const Result<std::variant<WorkerReport, OrderResult>>& aAnswer)
{
  const auto found = this->workers.find(aWorker);
  if (found == this->workers.end()) {
    return;
  }
  auto& worker = *found->second;
  worker.isHoldInFlight = false;
  const auto now = this->dependencies.clock.Now();
  if (IsError(aAnswer)) {
    this->OnSilent(worker);
    return;
  }
  if (const auto* refusal = std::get_if<OrderResult>(&ValueOf(aAnswer))) {
    if (*refusal == OrderResult::Fenced) {
      this->Deposed("a worker knows a higher fencing token");
      return;
    }
    if (*refusal == OrderResult::WrongIncarnation) {
      this->WorkerReborn(worker, "other_life");
      worker.isListed = false;
      worker.reachability = WorkerReachability::Unreachable;
      worker.leaseEnd = {};
      worker.nextHold = now + this->options.forgetAfter;
      return;
    }
    this->OnSilent(worker);
    return;
  }
  if (worker.incarnation != aBorn && aBorn != 0) {
    // The report may be of the life before; the next one is not.
    worker.nextHold = now;
    return;
  }
  this->OnReport(worker, aSent, std::get<WorkerReport>(ValueOf(aAnswer)));
}

void
CellScheduler::OnSilent(Worker& aWorker)
{
  const auto now = this->dependencies.clock.Now();
  ++aWorker.holdFailures;
  aWorker.nextHold = now + this->options.holdRetry;
  if (aWorker.reachability == WorkerReachability::Reachable &&
      now - aWorker.lastAnswer > this->options.silentAfter) {
    aWorker.reachability = WorkerReachability::Unreachable;
    this->dependencies.log.Log(LogLevel::Warning,
                               "worker_silent",
                               { { "worker", aWorker.entry.id.value },
                                 { "silent_ms", (now - aWorker.lastAnswer).count() },
                                 { "runs", aWorker.allocations.size() },
                                 { "lease_left_ms", (aWorker.leaseEnd - now).count() } });
  }
}

void
CellScheduler::OnReport(Worker& aWorker, TimePoint aSent, const WorkerReport& aReport)
{
  const auto now = this->dependencies.clock.Now();
  if (aReport.incarnation != 0 && aWorker.incarnation != 0 &&
      aReport.incarnation < aWorker.incarnation) {
    aWorker.nextHold = now;
    return;
  }
  if (aReport.incarnation != 0 && aWorker.incarnation != 0 &&
      aReport.incarnation > aWorker.incarnation) {
    this->WorkerReborn(aWorker, "born_again");
  }
  if (aReport.incarnation != 0) {
    aWorker.incarnation = aReport.incarnation;
  }
  if (aWorker.reachability == WorkerReachability::Unreachable) {
    this->dependencies.log.Log(LogLevel::Info,
                               "worker_answers",
                               { { "worker", aWorker.entry.id.value },
                                 { "silent_ms", (now - aWorker.lastAnswer).count() } });
  }
  const bool wasOpen =
    aWorker.reachability == WorkerReachability::Reachable && aWorker.isClockKnown;
  aWorker.reachability = WorkerReachability::Reachable;
  aWorker.holdFailures = 0;
  aWorker.lastAnswer = now;
  aWorker.clockOffset = aReport.clockMs - now.time_since_epoch().count();
  aWorker.isClockKnown = true;
  bool hasEnds = false;
  for (const auto& end : aReport.endedRuns) {
    if (end.sequence > aWorker.seenSequence) {
      aWorker.seenSequence = end.sequence;
      hasEnds = true;
      this->OnEnd(aWorker, end);
    }
  }
  for (const auto& entry : aReport.activeRuns) {
    this->OnRunningEntry(aWorker, entry);
  }
  this->Reconcile(aWorker, aSent, aReport);
  this->MarkRead(aWorker.entry.id);
  this->AdvanceAcknowledgements();
  this->StopStillRuns(aWorker);
  this->PaceFillers(aWorker);
  if (!aWorker.unacknowledged.empty()) {
    aWorker.nextHold = now + kUnwrittenHoldPause;
  } else {
    aWorker.nextHold = !wasOpen ? now : now + this->options.holdPause;
  }
  this->placementDue = this->placementDue || hasEnds || !wasOpen;
  if (!wasOpen && !this->published.contains(aWorker.entry.id) && this->dependencies.onUnpublished) {
    this->dependencies.onUnpublished();
  }
}

void
CellScheduler::OnEnd(Worker& aWorker, const EndedRun& aEnd)
{
  const auto now = this->dependencies.clock.Now();
  auto* occupant = aWorker.Find(aEnd.task, aEnd.run);
  const bool isMeasured = occupant != nullptr && aEnd.outcome == RunOutcome::Succeeded &&
                          occupant->estimate > kLeastMeasuredRun && occupant->checkpoint.empty();
  if (isMeasured) {
    const double ratio = static_cast<double>((now - occupant->started).count()) /
                         static_cast<double>(occupant->estimate.count());
    aWorker.slowness +=
      (std::clamp(ratio, kLeastRatio, kMostRatio) - aWorker.slowness) * kSlownessWeight;
  }
  if (occupant != nullptr) {
    this->Release(aWorker, aEnd.task, aEnd.run);
  }
  auto* job = this->FindJob(aEnd.task.job);
  auto* task = job != nullptr ? this->FindTask(*job, aEnd.task.key) : nullptr;
  std::uint64_t change = 0;
  if (task != nullptr && job->outcome == JobOutcome::Active) {
    const auto before = job->changes;
    this->ApplyEnd(aWorker, *job, *task, aEnd);
    change = job->changes > before ? job->changes : 0;
  } else if (job != nullptr && !job->isOutcomeDurable) {
    change = job->changes;
  }
  aWorker.unacknowledged.push_back(
    { .sequence = aEnd.sequence, .job = aEnd.task.job, .change = change });
  if (aEnd.outcome != RunOutcome::Succeeded) {
    this->dependencies.log.Log(LogLevel::Info,
                               "run_ended",
                               { { "job", aEnd.task.job.value },
                                 { "step", aEnd.task.key.step },
                                 { "index", aEnd.task.key.index },
                                 { "run", aEnd.run },
                                 { "worker", aWorker.entry.id.value },
                                 { "end", static_cast<int>(aEnd.outcome) } });
  }
}

void
CellScheduler::ApplyEnd(Worker& aWorker, Job& aJob, Task& aTask, const EndedRun& aEnd)
{
  const auto& step = aJob.spec.steps[aEnd.task.key.step];
  const bool isSuccess = aEnd.outcome == RunOutcome::Succeeded && !step.isService;
  this->MarkStarted(aJob);
  if (isSuccess) {
    this->CountOutcome(aWorker, aEnd.task, false);
    if (aTask.phase != TaskPhase::Succeeded) {
      this->Changed(aJob);
      this->SucceedTask(aJob, aEnd.task.key);
    }
    return;
  }
  if (aTask.phase == TaskPhase::Succeeded) {
    return;
  }
  if (!aEnd.checkpoint.empty()) {
    // Any member's checkpoint holds for its gang; the first task keeps it.
    auto& kept =
      step.isGang
        ? *this->FindTask(
            aJob,
            { .occurrence = aEnd.task.key.occurrence, .step = aEnd.task.key.step, .index = 0 })
        : aTask;
    kept.checkpoint = aEnd.checkpoint;
    this->Changed(aJob);
  }
  if (aEnd.outcome == RunOutcome::Failed) {
    this->CountOutcome(aWorker, aEnd.task, true);
    aTask.failedAt = aWorker.entry.id;
    if (!step.isService) {
      this->FailRun(aJob, aEnd.task.key, aEnd.run);
    }
  }
  this->RequeueRun(aEnd.task, aEnd.run);
}

void
CellScheduler::RequeueRun(const TaskName& aTask, std::uint64_t aRun)
{
  auto* job = this->FindJob(aTask.job);
  auto* task = job != nullptr ? this->FindTask(*job, aTask.key) : nullptr;
  if (task == nullptr || job->outcome != JobOutcome::Active) {
    return;
  }
  const bool isCurrent = task->phase == TaskPhase::Placed && task->run == aRun;
  if (!isCurrent && task->phase != TaskPhase::Unresolved) {
    return;
  }
  if (task->phase == TaskPhase::Unresolved && !this->unread.empty()) {
    // Another run of it may still be somewhere else.
    return;
  }
  task->phase = TaskPhase::Waiting;
  task->worker = {};
  if (job->spec.steps[aTask.key.step].isService) {
    task->notBefore = this->dependencies.clock.Now() + kPerpetualRestart;
  }
  this->placementDue = true;
}

void
CellScheduler::BreakGang(Job& aJob,
                         std::uint32_t aOccurrence,
                         std::uint32_t aStep,
                         std::uint64_t aRun)
{
  if (!aJob.spec.steps[aStep].isGang || aJob.outcome != JobOutcome::Active) {
    return;
  }
  auto& run = aJob.occurrences.at(aOccurrence).steps[aStep];
  for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
    const auto& task = run.tasks[index];
    const auto worker = this->workers.find(task.worker);
    if (task.phase != TaskPhase::Placed || task.run != aRun || worker == this->workers.end()) {
      continue;
    }
    if (auto* occupant = worker->second->Find(NameOf(aJob, { aOccurrence, aStep, index }), aRun)) {
      this->StopRun(*worker->second, *occupant, "gang_incomplete");
    }
  }
}

void
CellScheduler::OnRunningEntry(Worker& aWorker, const ActiveRun& aEntry)
{
  const auto now = this->dependencies.clock.Now();
  auto* occupant = aWorker.Find(aEntry.task, aEntry.run);
  if (occupant == nullptr) {
    this->Adopt(aWorker, aEntry);
    return;
  }
  if (occupant->phase == RunPhase::Starting || occupant->phase == RunPhase::Uncertain) {
    occupant->phase = RunPhase::Running;
    occupant->since = now;
    if (auto* job = this->FindJob(aEntry.task.job)) {
      this->MarkStarted(*job);
    }
  }
  if (aEntry.progressPercent != occupant->percent) {
    occupant->percent = aEntry.progressPercent;
    occupant->percentChanged = now;
  }
  occupant->load = aEntry.load;
  if (!aEntry.checkpoint.empty()) {
    occupant->checkpoint = aEntry.checkpoint;
  }
}

void
CellScheduler::Adopt(Worker& aWorker, const ActiveRun& aEntry)
{
  const auto now = this->dependencies.clock.Now();
  auto* job = this->FindJob(aEntry.task.job);
  auto* task = job != nullptr ? this->FindTask(*job, aEntry.task.key) : nullptr;
  Allocation occupant{ .task = aEntry.task,
                       .run = aEntry.run,
                       .phase = RunPhase::Running,
                       .since = now,
                       .started = now,
                       .percent = aEntry.progressPercent,
                       .percentChanged = now,
                       .load = aEntry.load,
                       .checkpoint = aEntry.checkpoint };
  if (task != nullptr) {
    const auto& step = job->spec.steps[aEntry.task.key.step];
    occupant.demand = OccupiedBy(step);
    occupant.workspace = job->spec.workspace;
    occupant.isService = step.isService;
    occupant.isBestEffort = step.isBestEffort;
    occupant.tailTarget = step.tailTarget;
    occupant.estimate = step.estimate;
  } else {
    // What it takes is no longer known; the worker gets nothing until it has ended.
    occupant.isSizeUnknown = true;
    ++aWorker.runsOfUnknownSize;
  }
  aWorker.used += occupant.demand;
  this->running[occupant.workspace] += occupant.demand;
  this->found[occupant.workspace] += occupant.demand;
  aWorker.allocations.push_back(std::move(occupant));
  const bool isWanted = task != nullptr && job->outcome == JobOutcome::Active &&
                        (task->phase == TaskPhase::Waiting || task->phase == TaskPhase::Unresolved);
  this->dependencies.log.Log(LogLevel::Info,
                             "run_adopted",
                             { { "job", aEntry.task.job.value },
                               { "step", aEntry.task.key.step },
                               { "index", aEntry.task.key.index },
                               { "run", aEntry.run },
                               { "worker", aWorker.entry.id.value },
                               { "kept", isWanted } });
  if (!isWanted) {
    this->StopRun(aWorker, aWorker.allocations.back(), "unwanted");
    return;
  }
  task->phase = TaskPhase::Placed;
  task->run = aEntry.run;
  task->worker = aWorker.entry.id;
  this->MarkStarted(*job);
}

void
CellScheduler::Reconcile(Worker& aWorker, TimePoint aSent, const WorkerReport& aReport)
{
  const auto isListed = [&aReport](const Allocation& aOccupant) {
    return std::ranges::any_of(aReport.activeRuns, [&aOccupant](const ActiveRun& aEntry) {
      return aEntry.run == aOccupant.run && aEntry.task == aOccupant.task;
    });
  };
  std::vector<std::pair<TaskName, std::uint64_t>> gone;
  for (auto& occupant : aWorker.allocations) {
    if (occupant.since >= aSent || isListed(occupant)) {
      continue;
    }
    if (occupant.phase == RunPhase::Uncertain) {
      // The start may still be carried out; a stop prevents it.
      this->StopRun(aWorker, occupant, "start_unanswered");
    } else if (occupant.phase == RunPhase::Running ||
               (occupant.phase == RunPhase::Stopping && occupant.isStopAnswered)) {
      gone.emplace_back(occupant.task, occupant.run);
    }
  }
  for (const auto& [task, run] : gone) {
    this->dependencies.log.Log(LogLevel::Info,
                               "run_absent",
                               { { "job", task.job.value },
                                 { "step", task.key.step },
                                 { "index", task.key.index },
                                 { "run", run },
                                 { "worker", aWorker.entry.id.value } });
    this->Release(aWorker, task, run);
    this->RequeueRun(task, run);
    if (auto* job = this->FindJob(task.job)) {
      this->BreakGang(*job, task.key.occurrence, task.key.step, run);
    }
  }
}

void
CellScheduler::WorkerReborn(Worker& aWorker, std::string_view aReason)
{
  this->FailAllocations(aWorker, aReason);
  aWorker.seenSequence = 0;
  aWorker.acknowledged = 0;
  aWorker.unacknowledged.clear();
  aWorker.isClockKnown = false;
  aWorker.incarnation = 0;
  aWorker.nextHold = this->dependencies.clock.Now();
  this->MarkRead(aWorker.entry.id);
}

void
CellScheduler::FailAllocations(Worker& aWorker, std::string_view aReason)
{
  if (aWorker.allocations.empty()) {
    return;
  }
  this->dependencies.log.Log(LogLevel::Warning,
                             "runs_lost",
                             { { "worker", aWorker.entry.id.value },
                               { "runs", aWorker.allocations.size() },
                               { "reason", aReason } });
  const auto lost = aWorker.allocations;
  for (const auto& occupant : lost) {
    this->KeepCheckpoint(occupant);
    this->Release(aWorker, occupant.task, occupant.run);
    this->RequeueRun(occupant.task, occupant.run);
    if (auto* job = this->FindJob(occupant.task.job)) {
      this->BreakGang(*job, occupant.task.key.occurrence, occupant.task.key.step, occupant.run);
    }
  }
}

void
CellScheduler::KeepCheckpoint(const Allocation& aOccupant)
{
  auto* job = this->FindJob(aOccupant.task.job);
  if (job == nullptr || job->outcome != JobOutcome::Active || aOccupant.checkpoint.empty()) {
    return;
  }
  auto key = aOccupant.task.key;
  auto* task = this->FindTask(*job, key);
  if (task == nullptr || task->phase == TaskPhase::Succeeded) {
    return;
  }
  if (job->spec.steps[key.step].isGang) {
    key.index = 0;
    task = this->FindTask(*job, key);
  }
  task->checkpoint = aOccupant.checkpoint;
}

void
CellScheduler::ForgetWorkers()
{
  const auto now = this->dependencies.clock.Now();
  std::vector<WorkerId> forgotten;
  for (auto& [id, worker] : this->workers) {
    const bool isSilent = worker->reachability != WorkerReachability::Reachable;
    if (isSilent && now > worker->leaseEnd && !worker->allocations.empty()) {
      this->FailAllocations(*worker, "lease_ended");
    }
    const bool isGone = !worker->isListed && isSilent && now > worker->leaseEnd &&
                        now - worker->lastAnswer > this->options.forgetAfter &&
                        !worker->isHoldInFlight;
    if (isGone) {
      forgotten.push_back(id);
    }
  }
  for (const auto& id : forgotten) {
    this->dependencies.log.Log(LogLevel::Info, "worker_forgotten", { { "worker", id.value } });
    this->dependencies.workers.Disconnect(id);
    this->workers.erase(id);
  }
}

void
CellScheduler::GiveUpGoneWorkers()
{
  if (this->presumedGone.empty()) {
    return;
  }
  const auto silence =
    std::max(this->options.rowReturn, this->options.LeaseBound() - this->options.rowLapse);
  if (this->dependencies.clock.Now() < std::max(this->begun + silence, this->formerEnd)) {
    return;
  }
  const auto gone = std::move(this->presumedGone);
  this->presumedGone.clear();
  this->dependencies.log.Log(
    LogLevel::Info,
    "workers_gone",
    { { "workers", gone.size() },
      { "first", gone.begin()->value },
      { "unlisted_ms", (this->dependencies.clock.Now() - this->begun).count() } });
  for (const auto& id : gone) {
    this->MarkRead(id);
  }
}

void
CellScheduler::MarkRead(const WorkerId& aWorker)
{
  if (this->unread.erase(aWorker) > 0 && this->unread.empty()) {
    this->dependencies.log.Log(
      LogLevel::Info,
      "workers_read",
      { { "after_ms", (this->dependencies.clock.Now() - this->begun).count() } });
    this->ResolveTasks();
  }
}

void
CellScheduler::ResolveTasks()
{
  for (const auto& id : this->active) {
    auto& job = this->jobs.at(id);
    job.mayRunElsewhere = false;
    for (auto& [number, occurrence] : job.occurrences) {
      for (auto& run : occurrence.steps) {
        for (auto& task : run.tasks) {
          if (task.phase == TaskPhase::Unresolved) {
            task.phase = TaskPhase::Waiting;
          }
        }
      }
    }
  }
  this->placementDue = true;
}

void
CellScheduler::Release(Worker& aWorker, const TaskName& aTask, std::uint64_t aRun)
{
  const auto found = std::ranges::find_if(aWorker.allocations, [&](const Allocation& aOccupant) {
    return aOccupant.run == aRun && aOccupant.task == aTask;
  });
  if (found == aWorker.allocations.end()) {
    return;
  }
  aWorker.used -= found->demand;
  aWorker.runsOfUnknownSize -= found->isSizeUnknown ? 1 : 0;
  this->running[found->workspace] -= found->demand;
  aWorker.allocations.erase(found);
  this->placementDue = true;
}

void
CellScheduler::StopRun(Worker& aWorker, Allocation& aOccupant, std::string_view aReason)
{
  if (aOccupant.phase == RunPhase::Stopping) {
    return;
  }
  const auto now = this->dependencies.clock.Now();
  aOccupant.phase = RunPhase::Stopping;
  aOccupant.since = now;
  aOccupant.nextStop = now;
  this->dependencies.log.Log(LogLevel::Info,
                             "run_stopped",
                             { { "job", aOccupant.task.job.value },
                               { "step", aOccupant.task.key.step },
                               { "index", aOccupant.task.key.index },
                               { "run", aOccupant.run },
                               { "worker", aWorker.entry.id.value },
                               { "reason", aReason } });
  this->SendStop(aWorker, aOccupant);
}

void
CellScheduler::SendStop(Worker& aWorker, Allocation& aOccupant)
{
  aOccupant.isStopInFlight = true;
  const RunOrder order{ .target = this->TargetOf(aWorker),
                        .task = aOccupant.task,
                        .run = aOccupant.run };
  this->dependencies.workers.Stop(
    order, [this, guard = std::weak_ptr<bool>(this->alive), order](Result<OrderResult> aAnswer) {
      if (!guard.expired() && !this->isDeposed) {
        this->OnStopAnswer(order, aAnswer);
      }
    });
}

void
CellScheduler::OnStopAnswer(const RunOrder& aOrder, const Result<OrderResult>& aAnswer)
{
  const auto now = this->dependencies.clock.Now();
  const auto found = this->workers.find(aOrder.target.worker);
  if (found == this->workers.end()) {
    return;
  }
  auto* occupant = found->second->Find(aOrder.task, aOrder.run);
  if (occupant == nullptr) {
    return;
  }
  occupant->isStopInFlight = false;
  occupant->nextStop = now + kStopRetry;
  if (IsError(aAnswer)) {
    return;
  }
  if (ValueOf(aAnswer) == OrderResult::Fenced) {
    this->Deposed("a worker knows a higher fencing token");
    return;
  }
  if (ValueOf(aAnswer) == OrderResult::WrongIncarnation) {
    this->WorkerReborn(*found->second, "other_life");
    return;
  }
  if (ValueOf(aAnswer) == OrderResult::Accepted) {
    occupant->isStopAnswered = true;
    occupant->since = now;
    found->second->nextHold = std::min(found->second->nextHold, now);
  }
}

void
CellScheduler::StopsDue()
{
  const auto now = this->dependencies.clock.Now();
  for (auto& [id, worker] : this->workers) {
    for (auto& occupant : worker->allocations) {
      const bool isDue = occupant.phase == RunPhase::Stopping && !occupant.isStopAnswered &&
                         !occupant.isStopInFlight && occupant.nextStop <= now;
      if (isDue) {
        this->SendStop(*worker, occupant);
      }
    }
  }
}

void
CellScheduler::StopStillRuns(Worker& aWorker)
{
  const auto now = this->dependencies.clock.Now();
  constexpr Milliseconds kLeastStill{ 1200 };
  constexpr int kPercentDone = 99;
  for (auto& occupant : aWorker.allocations) {
    const auto bound = std::clamp(occupant.estimate / 2, kLeastStill, this->options.stillAfter);
    const bool isStill = occupant.phase == RunPhase::Running && !occupant.isService &&
                         now - occupant.percentChanged > bound && now - occupant.started > bound;
    // A gang's member that has done its part waits for the others.
    const bool hasDoneItsPart = occupant.percent >= kPercentDone;
    if (!isStill || occupant.isBestEffort || hasDoneItsPart) {
      continue;
    }
    this->CountOutcome(aWorker, occupant.task, true);
    aWorker.avoidUntil = now + this->options.avoidance;
    this->StopRun(aWorker, occupant, "stands_still");
    if (auto* job = this->FindJob(occupant.task.job)) {
      if (auto* task = this->FindTask(*job, occupant.task.key)) {
        task->failedAt = aWorker.entry.id;
      }
    }
  }
}

void
CellScheduler::CountOutcome(Worker& aWorker, const TaskName& aTask, bool aHasFailed)
{
  if (!aHasFailed) {
    aWorker.failureStreak = 0;
    return;
  }
  bool failsElsewhere = false;
  if (auto* job = this->FindJob(aTask.job)) {
    job->failedAt.insert(aWorker.entry.id);
    failsElsewhere = job->failedAt.size() > 1;
  }
  const bool isSameJob = aWorker.lastFailed.job == aTask.job;
  // A task that fails again, or a job that fails at other workers too, says nothing of this one.
  if (isSameJob && (failsElsewhere || aWorker.lastFailed == aTask)) {
    return;
  }
  aWorker.lastFailed = aTask;
  ++aWorker.failureStreak;
  if (aWorker.failureStreak < this->options.failureStreak) {
    return;
  }
  aWorker.avoidUntil = this->dependencies.clock.Now() + this->options.avoidance;
  this->dependencies.log.Log(LogLevel::Warning,
                             "worker_avoided",
                             { { "worker", aWorker.entry.id.value },
                               { "failures", aWorker.failureStreak },
                               { "for_ms", this->options.avoidance.count() } });
}

void
CellScheduler::PaceFillers(Worker& aWorker)
{
  // Fillers are slowed well before the bound of a serving task's tail and sped up gradually.
  constexpr double kSlowAt = 0.8;
  constexpr double kRestoreAt = 0.5;
  constexpr int kRestoreStep = 10;
  constexpr int kLeastPace = 5;
  double worst = 0.0;
  for (const auto& occupant : aWorker.allocations) {
    if (occupant.tailTarget.count() > 0 && occupant.phase == RunPhase::Running) {
      worst = std::max(worst,
                       static_cast<double>(occupant.load) /
                         static_cast<double>(occupant.tailTarget.count()));
    }
  }
  for (auto& occupant : aWorker.allocations) {
    if (!occupant.isBestEffort || occupant.phase != RunPhase::Running) {
      continue;
    }
    int pace = occupant.pace;
    if (worst > kSlowAt) {
      pace = pace / 2 < kLeastPace ? 0 : pace / 2;
    } else if (worst < kRestoreAt) {
      pace = std::min(100, pace + kRestoreStep);
    }
    if (pace == occupant.pace) {
      continue;
    }
    occupant.pace = pace;
    this->dependencies.workers.Throttle(
      { .target = this->TargetOf(aWorker), .task = occupant.task, .run = occupant.run },
      pace,
      [this,
       guard = std::weak_ptr<bool>(this->alive),
       id = aWorker.entry.id,
       task = occupant.task,
       run = occupant.run](Result<OrderResult> aAnswer) {
        const bool isDone = !IsError(aAnswer) && ValueOf(aAnswer) == OrderResult::Accepted;
        if (guard.expired() || isDone) {
          return;
        }
        // An unanswered order may not have been carried out; the next report decides anew.
        const auto worker = this->workers.find(id);
        auto* paced = worker != this->workers.end() ? worker->second->Find(task, run) : nullptr;
        if (paced != nullptr) {
          paced->pace = 100;
        }
      });
  }
}

}
