#include <LibCell/CellScheduler.h>
#include <LibCell/Placement.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// How long a worker that rejected a start gets no tasks.
constexpr Milliseconds kRejectionAvoidance{ 1000 };
/// How long a worker that did not answer a start gets no tasks. It may be cut off, which its lease
/// renewals show only after their wait.
constexpr Milliseconds kUnansweredStartAvoidance{ 1000 };
/// Delay before a task that several workers in a row have rejected starts again. It doubles with
/// each rejection.
constexpr Milliseconds kMinRejectionBackoff{ 100 };
constexpr Milliseconds kMaxRejectionBackoff{ 5000 };
constexpr std::uint32_t kMaxBackoffDoublings = 6;

}

void
CellScheduler::StartTask(const Candidate& aCandidate,
                         std::uint32_t aIndex,
                         Worker& aWorker,
                         std::uint64_t aRunNumber,
                         const std::string& aCheckpoint)
{
  const auto now = this->dependencies.clock.Now();
  auto& job = *aCandidate.job;
  const auto& step = *aCandidate.specification;
  auto& task = aCandidate.run->tasks[aIndex];
  aCandidate.run->SetPhase(task, TaskPhase::Placed);
  task.run = aRunNumber;
  task.recordedStartChange = 0;
  task.worker = aWorker.entry.id;
  const TaskName name{ job.spec.id, { aCandidate.occurrence, aCandidate.step, aIndex } };
  const auto demand = AllocatedDemand(step);
  aWorker.allocations.push_back({ .task = name,
                                  .run = aRunNumber,
                                  .demand = demand,
                                  .workspaceUsage = job.workspaceUsage,
                                  .phase = RunPhase::Starting,
                                  .phaseSince = now,
                                  .startedAt = now,
                                  .isService = step.isService,
                                  .isBestEffort = step.isBestEffort,
                                  .tailLatencyTarget = step.tailLatencyTarget,
                                  .lastProgress = now,
                                  .checkpoint = aCheckpoint,
                                  .estimate = step.estimate,
                                  .timing = this->rankings.TimingForRun(aCandidate, aCheckpoint) });
  aWorker.used += demand;
  job.workspaceUsage->running += demand;
  const auto* ticket = aCandidate.run->advice.FindTicket(aWorker.number);
  StartOrder order{ .target = this->MakeOrderTarget(aWorker),
                    .task = name,
                    .run = aRunNumber,
                    .payload = job.spec.payload,
                    .leaseDeadline = this->ExtendLease(aWorker),
                    .checkpoint = aCheckpoint,
                    .ticket = ticket == nullptr ? "" : ticket->text };
  this->forecast.RecordStart(aCandidate, now);
  this->dependencies.log.Log(LogLevel::Info,
                             "run_started",
                             { { "job", job.spec.id.value },
                               { "occurrence", aCandidate.occurrence },
                               { "step", aCandidate.step },
                               { "index", aIndex },
                               { "run", aRunNumber },
                               { "worker", aWorker.entry.id.value },
                               { "failures", job.CountFailures(name.key) },
                               { "age_ms", (now - job.receivedAt).count() } });
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Orders);
  this->load.CountOrder();
  this->dependencies.workers.Start(std::move(order),
                                   [this,
                                    guard = std::weak_ptr<bool>(this->livenessToken),
                                    id = aWorker.entry.id,
                                    name,
                                    aRunNumber,
                                    token = aWorker.fence.Token()](Result<OrderResult> aResult) {
                                     if (!guard.expired() && !this->hasLostLeadership) {
                                       this->OnStartResult(id, name, aRunNumber, token, aResult);
                                     }
                                   });
}

void
CellScheduler::OnStartResult(const WorkerId& aWorker,
                             const TaskName& aTask,
                             std::uint64_t aRun,
                             std::uint64_t aFencingToken,
                             const Result<OrderResult>& aResult)
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Orders);
  const auto now = this->dependencies.clock.Now();
  auto* found = this->workers.Find(aWorker);
  auto* allocation = found != nullptr ? found->FindAllocation(aTask, aRun) : nullptr;
  if (allocation == nullptr) {
    return;
  }
  auto& worker = *found;
  if (IsError(aResult) && ErrorOf(aResult).run != RunState::NotRun) {
    if (allocation->phase == RunPhase::Starting) {
      allocation->phase = RunPhase::Uncertain;
      allocation->phaseSince = now;
      this->renewals.ScheduleAtLatest(worker, now);
      worker.avoidUntil = std::max(worker.avoidUntil, now + kUnansweredStartAvoidance);
    }
    return;
  }
  auto result = IsError(aResult) ? OrderResult::Rejected : ValueOf(aResult);
  if (result == OrderResult::Fenced && worker.fence.IsEarlier(aFencingToken)) {
    // The token that the worker has seen is this leader's: it has started again meanwhile.
    result = OrderResult::Rejected;
  }
  if (result == OrderResult::Accepted) {
    allocation->isStartConfirmed = true;
    if (allocation->phase == RunPhase::Starting || allocation->phase == RunPhase::Uncertain) {
      allocation->phase = RunPhase::Running;
      allocation->phaseSince = now;
    }
    if (auto* job = this->FindJob(aTask.job)) {
      this->MarkJobStarted(*job);
    }
    const auto* task = this->FindTask(aTask);
    if (task != nullptr && task->rejectedStarts > 0) {
      this->FindOrCreateTask(aTask)->rejectedStarts = 0;
    }
    return;
  }
  this->OnStartRejected(
    worker, aTask, aRun, result, IsError(aResult) ? ErrorOf(aResult).message : ToString(result));
}

void
CellScheduler::BackOffRejectedTask(Worker& aWorker, const TaskName& aTask)
{
  const auto now = this->dependencies.clock.Now();
  auto* task = this->FindOrCreateTask(aTask);
  const auto rejections = task != nullptr ? task->rejectedStarts++ : 0;
  if (rejections == 0) {
    aWorker.avoidUntil = std::max(aWorker.avoidUntil, now + kRejectionAvoidance);
    return;
  }
  // A task that another worker has rejected too is no evidence against this one.
  const auto doublings = std::min(rejections - 1, kMaxBackoffDoublings);
  task->earliestStart =
    now + std::min(kMinRejectionBackoff * (1U << doublings), kMaxRejectionBackoff);
}

void
CellScheduler::OnStartRejected(Worker& aWorker,
                               const TaskName& aTask,
                               std::uint64_t aRun,
                               OrderResult aResult,
                               std::string_view aReason)
{
  const auto now = this->dependencies.clock.Now();
  this->dependencies.log.Log(LogLevel::Warning,
                             "start_refused",
                             { { "job", aTask.job.value },
                               { "step", aTask.key.step },
                               { "index", aTask.key.index },
                               { "run", aRun },
                               { "worker", aWorker.entry.id.value },
                               { "answer", static_cast<int>(aResult) },
                               { "reason", aReason } });
  if (aResult == OrderResult::Fenced) {
    this->StepDown("a worker has seen a higher fencing token");
    return;
  }
  if (aResult == OrderResult::WrongIncarnation) {
    this->OnWorkerRestarted(aWorker, WorkerLossReason::AddressReused);
    return;
  }
  auto* job = this->FindJob(aTask.job);
  if (aResult == OrderResult::InvalidTicket && job != nullptr) {
    const auto occurrence = job->occurrences.find(aTask.key.occurrence);
    if (occurrence != job->occurrences.end()) {
      auto& advice = occurrence->second.steps[aTask.key.step].advice;
      if (auto* ticket = advice.FindTicket(aWorker.number)) {
        ticket->expires = now;
      }
    }
  }
  this->renewals.ScheduleAtLatest(aWorker, now);
  this->ReleaseAllocation(aWorker, aTask, aRun);
  this->RequeueRun(aTask, aRun);
  if (aResult == OrderResult::Rejected || aResult == OrderResult::InsufficientCapacity) {
    this->BackOffRejectedTask(aWorker, aTask);
  }
  this->StopGang(aTask, aRun);
}

}
