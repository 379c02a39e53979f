#include <LibCell/CellScheduler.h>
#include <LibCell/HangDetection.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// Delay before a stop that was not accepted is sent again.
constexpr Milliseconds kStopRetryDelay{ 400 };

TaskName
MakeTaskName(const Job& aJob, const TaskKey& aKey)
{
  return { aJob.spec.id, aKey };
}

}

void
CellScheduler::StopGang(const TaskName& aTask, std::uint64_t aRun)
{
  if (this->FindTask(aTask) == nullptr) {
    return;
  }
  const auto& job = *this->FindJob(aTask.job);
  const auto& [occurrence, step, ended] = aTask.key;
  if (!job.spec.steps[step].isGang || job.outcome != JobOutcome::Active) {
    return;
  }
  const auto& run = job.occurrences.at(occurrence).steps[step];
  for (const auto& [index, task] : run.tasks.WithObject()) {
    const bool isMember = task.phase == TaskPhase::Placed && task.run == aRun;
    auto* worker = isMember ? this->workers.Find(task.worker) : nullptr;
    if (worker == nullptr) {
      continue;
    }
    if (auto* allocation =
          worker->FindAllocation(MakeTaskName(job, { occurrence, step, index }), aRun)) {
      this->StopRun(*worker, *allocation, "gang_incomplete");
    }
  }
}

void
CellScheduler::PreventLateStart(Worker& aWorker, Allocation& aAllocation)
{
  const auto now = this->dependencies.clock.Now();
  aAllocation.phase = RunPhase::Stopping;
  this->workersWithStops.insert(aWorker.number);
  aAllocation.phaseSince = now;
  aAllocation.isStopAccepted = false;
  aAllocation.nextStopAttempt = now;
  if (!aAllocation.isStopInFlight) {
    this->SendStop(aWorker, aAllocation);
  }
}

void
CellScheduler::StopRun(Worker& aWorker, Allocation& aAllocation, std::string_view aReason)
{
  if (aAllocation.phase == RunPhase::Stopping) {
    return;
  }
  const auto now = this->dependencies.clock.Now();
  aAllocation.phase = RunPhase::Stopping;
  this->workersWithStops.insert(aWorker.number);
  aAllocation.phaseSince = now;
  aAllocation.nextStopAttempt = now;
  this->dependencies.log.Log(LogLevel::Info,
                             "run_stopped",
                             { { "job", aAllocation.task.job.value },
                               { "step", aAllocation.task.key.step },
                               { "index", aAllocation.task.key.index },
                               { "run", aAllocation.run },
                               { "worker", aWorker.entry.id.value },
                               { "reason", aReason } });
  this->SendStop(aWorker, aAllocation);
}

void
CellScheduler::SendStop(Worker& aWorker, Allocation& aAllocation)
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Orders);
  this->load.CountOrder();
  aAllocation.isStopInFlight = true;
  const RunOrder order{ .target = this->MakeOrderTarget(aWorker),
                        .task = aAllocation.task,
                        .run = aAllocation.run };
  this->dependencies.workers.Stop(
    order,
    [this, guard = std::weak_ptr<bool>(this->livenessToken), order](Result<OrderResult> aResult) {
      if (!guard.expired() && !this->hasLostLeadership) {
        this->OnStopResponse(order, aResult);
      }
    });
}

void
CellScheduler::OnStopResponse(const RunOrder& aOrder, const Result<OrderResult>& aResult)
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Orders);
  const auto now = this->dependencies.clock.Now();
  auto* worker = this->workers.Find(aOrder.target.worker);
  if (worker == nullptr) {
    return;
  }
  auto* allocation = worker->FindAllocation(aOrder.task, aOrder.run);
  if (allocation == nullptr) {
    return;
  }
  allocation->isStopInFlight = false;
  allocation->nextStopAttempt = now + kStopRetryDelay;
  if (IsError(aResult)) {
    return;
  }
  if (ValueOf(aResult) == OrderResult::Fenced &&
      worker->fence.IsEarlier(aOrder.target.fencingToken)) {
    return;
  }
  if (ValueOf(aResult) == OrderResult::Fenced) {
    this->StepDown("a worker has seen a higher fencing token");
    return;
  }
  if (ValueOf(aResult) == OrderResult::WrongIncarnation) {
    this->OnWorkerRestarted(*worker, WorkerLossReason::AddressReused);
    return;
  }
  if (ValueOf(aResult) == OrderResult::Accepted) {
    allocation->isStopAccepted = true;
    allocation->phaseSince = now;
    this->renewals.ScheduleAtLatest(*worker, now);
  }
}

void
CellScheduler::SendDueStops()
{
  const auto now = this->dependencies.clock.Now();
  std::erase_if(this->workersWithStops, [this, now](WorkerNumber aNumber) {
    auto* worker = this->workers.FindByNumber(aNumber);
    return worker == nullptr || !this->SendDueStopsTo(*worker, now);
  });
}

bool
CellScheduler::SendDueStopsTo(Worker& aWorker, TimePoint aNow)
{
  bool hasOpenStops = false;
  for (auto& allocation : aWorker.allocations) {
    if (allocation.phase != RunPhase::Stopping || allocation.isStopAccepted) {
      continue;
    }
    hasOpenStops = true;
    if (!allocation.isStopInFlight && allocation.nextStopAttempt <= aNow) {
      this->SendStop(aWorker, allocation);
    }
  }
  return hasOpenStops;
}

void
CellScheduler::StopStalledRuns(Worker& aWorker)
{
  const auto now = this->dependencies.clock.Now();
  constexpr int kDonePercent = 99;
  for (auto& allocation : aWorker.allocations) {
    const auto longest = this->options.maxStallTimeout;
    const auto silence = now - std::max(allocation.lastProgress, allocation.startedAt);
    const bool isSilent = allocation.phase == RunPhase::Running && !allocation.isService &&
                          silence > GangStallTimeout(allocation.estimate, longest);
    // A gang member that has finished its own work waits for the others.
    const bool hasFinishedWork = allocation.progressPercent >= kDonePercent;
    if (!isSilent || allocation.isBestEffort || hasFinishedWork) {
      continue;
    }
    if (this->AwaitsGangMembers(allocation)) {
      // The worker is not at fault. The gang is stopped before it times out at its workers.
      this->StopRun(aWorker, allocation, "gang_incomplete");
      continue;
    }
    auto* task = this->FindOrCreateTask(allocation.task);
    const RunPace pace{ .estimate = allocation.estimate,
                        .slowestPercent = allocation.slowestPercent,
                        .earlierHangs = task == nullptr ? 0 : task->stalledRuns };
    if (silence <= HangTimeout(pace, longest)) {
      continue;
    }
    this->RecordRunOutcome(aWorker, allocation.task, true);
    this->StopRun(aWorker, allocation, "stands_still");
    task = this->FindOrCreateTask(allocation.task);
    // A task that has stalled before is no evidence against this worker.
    if (task == nullptr || task->stalledRuns == 0) {
      aWorker.avoidUntil = now + this->options.quarantineDuration;
    }
    if (task != nullptr) {
      ++task->stalledRuns;
      task->lastFailedWorker = aWorker.entry.id;
    }
  }
}

bool
CellScheduler::AwaitsGangMembers(const Allocation& aAllocation)
{
  const auto* job = this->FindJob(aAllocation.task.job);
  const auto& key = aAllocation.task.key;
  if (job == nullptr || job->FindTask(key) == nullptr || !job->spec.steps[key.step].isGang) {
    return false;
  }
  const auto& tasks = job->occurrences.at(key.occurrence).steps[key.step].tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    auto* worker = this->workers.Find(tasks[index].worker);
    const auto* member =
      worker != nullptr
        ? worker->FindAllocation(MakeTaskName(*job, { key.occurrence, key.step, index }),
                                 aAllocation.run)
        : nullptr;
    if (member == nullptr || member->phase != RunPhase::Running) {
      return true;
    }
  }
  return false;
}

}
