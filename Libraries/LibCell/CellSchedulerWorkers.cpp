#include <LibCell/CellScheduler.h>
#include <LibCell/LatelyStartedWorkers.h>
#include <LibCell/Placement.h>

#include <algorithm>
#include <fmt/format.h>

namespace zinc::cell {

namespace {

/// Delay before a service task that ended is started again; limits the restarts of one that fails
/// immediately.
constexpr Milliseconds kServiceRestartDelay{ 200 };
/// Interval of the lease renewals of a worker whose ends are not stored yet.
constexpr Milliseconds kUnacknowledgedRenewalInterval{ 400 };

/// Logs that a report lacks ends which this leader has not seen.
void
LogMissingEnds(const Logger& aLog, Worker& aWorker, const WorkerReport& aReport)
{
  const auto expected = aWorker.seenSequence + 1;
  const bool hasGap = aWorker.isSequenceKnown && !aReport.endedRuns.empty() &&
                      aReport.endedRuns.front().sequence > expected;
  aWorker.isSequenceKnown = aWorker.isSequenceKnown || !aReport.endedRuns.empty();
  if (hasGap) {
    aLog.Log(LogLevel::Error,
             "ends_missing",
             { { "worker", aWorker.entry.id.value },
               { "incarnation", aReport.incarnation },
               { "expected", expected },
               { "first", aReport.endedRuns.front().sequence },
               { "acknowledged", aWorker.acknowledgedSequence } });
  }
}

}

OrderTarget
CellScheduler::MakeOrderTarget(const Worker& aWorker) const
{
  return { .worker = aWorker.entry.id,
           .address = aWorker.entry.address,
           .port = aWorker.entry.port,
           .fencingToken = aWorker.fence.Token() };
}

void
CellScheduler::OnWorkerEntry(const WorkerEntry& aEntry)
{
  this->isPlacementDue = true;
  this->unreadWorkers.OnListed(aEntry.id);
  this->ApplyWorkerEntry(aEntry);
  this->ConfirmCrash(aEntry.MachineOrId(), aEntry.incarnation);
}

void
CellScheduler::ApplyWorkerEntry(const WorkerEntry& aEntry)
{
  const auto now = this->dependencies.clock.Now();
  if (HasStartedLately(aEntry.incarnation, this->dependencies.wallClock(), this->options)) {
    this->unreadWorkers.OnStartedLately(aEntry.id, aEntry.incarnation);
  }
  auto* known = this->workers.Find(aEntry.id);
  if (known == nullptr) {
    auto& added = this->workers.Add(aEntry);
    added.fence = OrderFence(this->latestFencingToken);
    this->renewals.Schedule(added, now);
    this->unresponsiveWorkers.insert(added.number);
    added.lastResponse = now;
    added.isPublished = this->publishedWorkers.contains(aEntry.id);
    added.isLeaseSuspended = this->leaseSuspensions.Contains(aEntry.id);
    UpdateColdTime(added, aEntry.coldLeft, now);
    this->dependencies.log.Log(LogLevel::Info,
                               "worker_listed",
                               { { "worker", aEntry.id.value },
                                 { "pool", aEntry.pool },
                                 { "zone", aEntry.zone.value },
                                 { "rack", aEntry.rack.value } });
    // A new incarnation on the same machine proves that the previous one has ended.
    for (auto* worker : this->workers.All()) {
      const bool isSuperseded = worker != &added && !aEntry.machine.empty() &&
                                worker->entry.machine == aEntry.machine &&
                                worker->entry.incarnation < aEntry.incarnation;
      if (isSuperseded) {
        this->RequeueLostRuns(*worker, WorkerLossReason::Superseded);
        worker->leaseExpiry = {};
        worker->isListed = false;
        this->MarkWorkerRead(worker->entry.id);
      }
    }
    return;
  }
  auto& worker = *known;
  if (aEntry.isDraining && !worker.entry.isDraining) {
    this->dependencies.log.Log(
      LogLevel::Info, "worker_draining", { { "worker", aEntry.id.value } });
  }
  const bool hasRestarted = worker.incarnation != 0 && aEntry.incarnation > worker.incarnation;
  if (hasRestarted) {
    this->OnWorkerRestarted(worker, WorkerLossReason::RowOfNextIncarnation);
    worker.incarnation = aEntry.incarnation;
    // Its connections may stay silent until requests on them time out.
    this->dependencies.workers.Disconnect(aEntry.id);
  }
  if (aEntry.incarnation > worker.entry.incarnation) {
    // The cold time of the previous incarnation has ended with it.
    worker.coldUntil = {};
  }
  worker.entry = aEntry;
  worker.isListed = true;
  UpdateColdTime(worker, aEntry.coldLeft, now);
}

void
CellScheduler::OnWorkerUnlisted(const WorkerId& aWorker)
{
  this->unreadWorkers.OnUnlisted(aWorker);
  auto* worker = this->workers.Find(aWorker);
  if (worker == nullptr) {
    return;
  }
  worker->isListed = false;
  this->isPlacementDue = true;
  this->dependencies.log.Log(LogLevel::Info, "worker_unlisted", { { "worker", aWorker.value } });
}

void
CellScheduler::RenewDueLeases()
{
  const auto now = this->dependencies.clock.Now();
  for (const auto number : this->renewals.TakeDue(now)) {
    auto* worker = this->workers.FindByNumber(number);
    const bool isDue =
      worker != nullptr && !worker->isRenewalInFlight && worker->nextRenewal <= now;
    if (isDue) {
      this->SendLeaseRenewal(*worker);
    }
  }
}

std::int64_t
CellScheduler::ExtendLease(Worker& aWorker)
{
  const auto now = this->dependencies.clock.Now();
  aWorker.leaseExpiry = std::max(aWorker.leaseExpiry, now + this->options.LeaseExpiryBound());
  return now.time_since_epoch().count() + aWorker.clockOffset + this->options.maxLease.count();
}

Milliseconds
CellScheduler::RenewalWait() const
{
  constexpr std::size_t kMsPerSecond = 1000;
  const Milliseconds wait(this->workers.Size() * kMsPerSecond /
                          this->options.idleRenewalsPerSecond);
  // A short lease would expire while its worker waits for an end.
  constexpr int kWaitsPerLease = 4;
  const auto longest =
    std::max(this->options.minRenewalInterval, this->options.maxLease / kWaitsPerLease);
  return std::min(longest,
                  std::clamp(wait, this->options.renewalWait, this->options.maxRenewalWait));
}

void
CellScheduler::SendLeaseRenewal(Worker& aWorker)
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Renewals);
  const auto now = this->dependencies.clock.Now();
  // The acknowledgement and the deadline hold for the incarnation that has reported, and mean
  // something else to a later one. Without a connection to it the request only reads the report,
  // and the lease of a worker that does not respond expires.
  LeaseRenewal order{ .target = this->MakeOrderTarget(aWorker),
                      .acknowledgedSequence = aWorker.connection ? aWorker.acknowledgedSequence : 0,
                      .connection = aWorker.connection };
  const bool renewsLease = aWorker.isClockKnown && aWorker.connection &&
                           !aWorker.isLeaseSuspended && !aWorker.fence.AwaitsToken() &&
                           now < this->termEnd;
  if (renewsLease) {
    order.leaseDeadline = this->ExtendLease(aWorker);
  }
  // The response to an order with a higher token fences the worker; that must not wait for an end.
  if (renewsLease && aWorker.reachability == WorkerReachability::Reachable &&
      aWorker.unacknowledgedEnds.empty() && !aWorker.fence.IsOpen()) {
    order.maxWait = this->RenewalWait();
  }
  this->load.CountRenewal();
  aWorker.isRenewalInFlight = true;
  this->dependencies.workers.RenewLease(
    std::move(order),
    [this,
     guard = std::weak_ptr<bool>(this->livenessToken),
     id = aWorker.entry.id,
     incarnation = aWorker.incarnation,
     token = aWorker.fence.Token(),
     now](Result<std::variant<WorkerReport, OrderResult>> aResponse) {
      if (!guard.expired() && !this->hasLostLeadership) {
        this->OnLeaseRenewalResponse(id, incarnation, token, now, aResponse);
      }
    });
}

void
CellScheduler::OnLeaseRenewalResponse(
  const WorkerId& aWorker,
  std::int64_t aIncarnation,
  std::uint64_t aFencingToken,
  TimePoint aSent,
  const Result<std::variant<WorkerReport, OrderResult>>& aResponse)
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Reports);
  auto* found = this->workers.Find(aWorker);
  if (found == nullptr) {
    return;
  }
  auto& worker = *found;
  worker.isRenewalInFlight = false;
  const auto now = this->dependencies.clock.Now();
  if (IsError(aResponse)) {
    const bool isConnectionClosed = worker.connection && ErrorOf(aResponse).run == RunState::NotRun;
    const bool hasRestarted = aIncarnation != 0 && worker.incarnation != aIncarnation;
    if (isConnectionClosed || hasRestarted) {
      worker.connection.reset();
      this->renewals.Schedule(worker, now);
      return;
    }
    this->OnLeaseRenewalFailed(worker);
    return;
  }
  if (const auto* rejection = std::get_if<OrderResult>(&ValueOf(aResponse))) {
    if (*rejection == OrderResult::Fenced && worker.fence.IsEarlier(aFencingToken)) {
      // The token that it has seen is this leader's.
      this->renewals.Schedule(worker, now);
      return;
    }
    if (*rejection == OrderResult::Fenced) {
      this->StepDown("a worker has seen a higher fencing token");
      return;
    }
    if (*rejection == OrderResult::WrongIncarnation) {
      this->OnWorkerRestarted(worker, WorkerLossReason::AddressReused);
      worker.isListed = false;
      worker.reachability = WorkerReachability::Unreachable;
      this->unresponsiveWorkers.insert(worker.number);
      worker.leaseExpiry = {};
      this->renewals.Schedule(worker, now + this->options.workerRemovalDelay);
      return;
    }
    this->OnLeaseRenewalFailed(worker);
    return;
  }
  if (worker.incarnation != aIncarnation && aIncarnation != 0) {
    // The report may come from the previous incarnation; the next one does not.
    this->renewals.Schedule(worker, now);
    return;
  }
  this->OnReport(worker, aSent, std::get<WorkerReport>(ValueOf(aResponse)));
  if (worker.fence.IsOpen()) {
    // The deadline of an earlier order is a time on another clock.
    worker.leaseExpiry =
      std::max(worker.leaseExpiry, now + this->options.GrantedLeaseExpiryBound());
    worker.fence.OnResponse(aFencingToken);
    const bool hasRestarted = worker.fence.Token() != this->fencingToken;
    if (!worker.fence.IsOpen() && hasRestarted && this->dependencies.onUnpublishedWorker) {
      // The next leader needs not wait for orders to the previous incarnation any more.
      this->dependencies.onUnpublishedWorker();
    }
  }
}

void
CellScheduler::OnLeaseRenewalFailed(Worker& aWorker)
{
  const auto now = this->dependencies.clock.Now();
  aWorker.connection.reset();
  ++aWorker.failedRenewals;
  this->renewals.Schedule(aWorker, now + this->options.renewalRetryDelay);
  if (aWorker.reachability == WorkerReachability::Reachable &&
      now - aWorker.lastResponse > this->options.unreachableTimeout) {
    aWorker.reachability = WorkerReachability::Unreachable;
    this->unresponsiveWorkers.insert(aWorker.number);
    this->dependencies.log.Log(LogLevel::Warning,
                               "worker_silent",
                               { { "worker", aWorker.entry.id.value },
                                 { "silent_ms", (now - aWorker.lastResponse).count() },
                                 { "runs", aWorker.allocations.size() },
                                 { "lease_left_ms", (aWorker.leaseExpiry - now).count() } });
  }
}

void
CellScheduler::OnReport(Worker& aWorker, TimePoint aSent, const WorkerReport& aReport)
{
  const auto now = this->dependencies.clock.Now();
  if (aReport.incarnation != 0 && aWorker.incarnation != 0 &&
      aReport.incarnation < aWorker.incarnation) {
    this->renewals.Schedule(aWorker, now);
    return;
  }
  if (aReport.incarnation != 0 && aWorker.incarnation != 0 &&
      aReport.incarnation > aWorker.incarnation) {
    this->OnWorkerRestarted(aWorker, WorkerLossReason::ReportOfNextIncarnation);
  }
  if (aReport.incarnation != 0) {
    aWorker.incarnation = aReport.incarnation;
    this->ConfirmCrash(aWorker.entry.MachineOrId(), aReport.incarnation);
    this->lostWorkers.Dismiss(aWorker.entry.MachineOrId(), aReport.incarnation);
  }
  if (aWorker.reachability == WorkerReachability::Unreachable) {
    this->dependencies.log.Log(LogLevel::Info,
                               "worker_answers",
                               { { "worker", aWorker.entry.id.value },
                                 { "silent_ms", (now - aWorker.lastResponse).count() } });
  }
  const bool wasUsable =
    aWorker.reachability == WorkerReachability::Reachable && aWorker.isClockKnown;
  aWorker.reachability = WorkerReachability::Reachable;
  this->unresponsiveWorkers.erase(aWorker.number);
  aWorker.failedRenewals = 0;
  aWorker.connection = aReport.connection;
  aWorker.lastResponse = now;
  aWorker.clockOffset = aReport.clockMs - now.time_since_epoch().count();
  aWorker.isClockKnown = true;
  LogMissingEnds(this->dependencies.log, aWorker, aReport);
  bool hasEnds = false;
  for (const auto& end : aReport.endedRuns) {
    if (end.sequence > aWorker.seenSequence) {
      aWorker.seenSequence = end.sequence;
      hasEnds = true;
      this->OnRunEnded(aWorker, end);
    }
  }
  for (const auto& run : aReport.activeRuns) {
    this->OnActiveRun(aWorker, run);
  }
  this->ReconcileAllocations(aWorker, aSent, aReport);
  this->rankings.OnReport(aWorker, now);
  if (!aReport.hasMoreEnds) {
    this->MarkWorkerRead(aWorker.entry.id);
  }
  this->AdvanceAcknowledgementsOf(aWorker);
  this->StopStalledRuns(aWorker);
  this->ThrottleBestEffortTasks(aWorker);
  if (!aWorker.unacknowledgedEnds.empty()) {
    this->renewals.Schedule(aWorker, now + kUnacknowledgedRenewalInterval);
  } else if (aWorker.isLeaseSuspended) {
    this->renewals.Schedule(aWorker, now + this->options.renewalRetryDelay);
  } else {
    this->renewals.Schedule(aWorker, !wasUsable ? now : now + this->options.minRenewalInterval);
  }
  this->isPlacementDue = this->isPlacementDue || hasEnds || !wasUsable;
  const bool awaitsRecord = !aWorker.isPublished || aWorker.isLeaseSuspended;
  if (!wasUsable && awaitsRecord && this->dependencies.onUnpublishedWorker) {
    this->dependencies.onUnpublishedWorker();
  }
}

void
CellScheduler::OnRunEnded(Worker& aWorker, const EndedRun& aEnd)
{
  const auto now = this->dependencies.clock.Now();
  auto* allocation = aWorker.FindAllocation(aEnd.task, aEnd.run);
  if (allocation != nullptr) {
    if (aEnd.outcome == RunOutcome::Succeeded) {
      this->rankings.OnRunSucceeded(aWorker, *allocation, now);
    }
    this->ReleaseAllocation(aWorker, aEnd.task, aEnd.run);
  }
  auto* job = this->FindJob(aEnd.task.job);
  const bool isKnown = this->FindReportedTask(aEnd.task) != nullptr;
  if (isKnown && job->outcome == JobOutcome::Active) {
    this->ApplyRunEnd(aWorker, *job, aEnd);
  }
  aWorker.unacknowledgedEnds.push_back({ .sequence = aEnd.sequence,
                                         .job = aEnd.task.job,
                                         .hasFailed = aEnd.outcome == RunOutcome::Failed,
                                         .changeCount = job != nullptr ? job->changeCount : 0 });
  this->workersWithEnds.insert(aWorker.number);
  if (aEnd.outcome != RunOutcome::Succeeded) {
    const auto failures =
      isKnown ? fmt::to_string(job->CountFailures(aEnd.task.key)) : std::string("unknown");
    this->dependencies.log.Log(LogLevel::Info,
                               "run_ended",
                               { { "job", aEnd.task.job.value },
                                 { "occurrence", aEnd.task.key.occurrence },
                                 { "step", aEnd.task.key.step },
                                 { "index", aEnd.task.key.index },
                                 { "run", aEnd.run },
                                 { "worker", aWorker.entry.id.value },
                                 { "end", static_cast<int>(aEnd.outcome) },
                                 { "sequence", aEnd.sequence },
                                 { "failures", failures } });
  }
}

void
CellScheduler::ApplyRunEnd(Worker& aWorker, Job& aJob, const EndedRun& aEnd)
{
  const bool hadSucceeded = aJob.FindTask(aEnd.task.key)->phase == TaskPhase::Succeeded;
  const auto& step = aJob.spec.steps[aEnd.task.key.step];
  const bool isSuccess = aEnd.outcome == RunOutcome::Succeeded && !step.isService;
  this->MarkJobStarted(aJob);
  if (isSuccess) {
    this->RecordRunOutcome(aWorker, aEnd.task, false);
    if (!hadSucceeded) {
      this->MarkJobChanged(aJob);
      this->MarkTaskSucceeded(aJob, aEnd.task.key);
    }
    return;
  }
  if (hadSucceeded) {
    return;
  }
  if (!aEnd.checkpoint.empty()) {
    // A checkpoint of any member applies to its whole gang and is stored in the first task.
    const TaskKey key{ .occurrence = aEnd.task.key.occurrence,
                       .step = aEnd.task.key.step,
                       .index = step.isGang ? 0 : aEnd.task.key.index };
    aJob.FindOrCreateTask(key)->checkpoint = aEnd.checkpoint;
    this->MarkJobChanged(aJob);
  }
  if (aEnd.outcome == RunOutcome::Failed) {
    this->RecordRunOutcome(aWorker, aEnd.task, true);
    aJob.FindOrCreateTask(aEnd.task.key)->lastFailedWorker = aWorker.entry.id;
    if (!step.isService) {
      this->RecordFailedRun(aJob, aEnd.task.key, aEnd.run);
    }
  }
  this->RequeueRun(aEnd.task, aEnd.run);
}

void
CellScheduler::RequeueRun(const TaskName& aTask, std::uint64_t aRun)
{
  auto* job = this->FindJob(aTask.job);
  const auto* known = job != nullptr ? job->FindTask(aTask.key) : nullptr;
  if (known == nullptr || job->outcome != JobOutcome::Active) {
    return;
  }
  const bool isRecorded = known->recordedStart && known->recordedStart->run == aRun;
  const bool isCurrent = known->phase == TaskPhase::Placed && known->run == aRun;
  if (!isRecorded && !isCurrent) {
    return;
  }
  auto* task = job->FindOrCreateTask(aTask.key);
  if (isRecorded) {
    task->recordedStart.reset();
    this->MarkJobChanged(*job);
  }
  if (!isCurrent) {
    return;
  }
  job->occurrences.at(aTask.key.occurrence)
    .steps[aTask.key.step]
    .SetPhase(*task, TaskPhase::Waiting);
  task->worker = {};
  if (job->spec.steps[aTask.key.step].isService) {
    task->earliestStart = this->dependencies.clock.Now() + kServiceRestartDelay;
  }
  this->isPlacementDue = true;
}

void
CellScheduler::OnActiveRun(Worker& aWorker, const ActiveRun& aActiveRun)
{
  const auto now = this->dependencies.clock.Now();
  auto* allocation = aWorker.FindAllocation(aActiveRun.task, aActiveRun.run);
  if (allocation == nullptr) {
    this->AdoptRun(aWorker, aActiveRun);
    return;
  }
  allocation->isStartConfirmed = true;
  allocation->isReported = true;
  if (allocation->phase == RunPhase::Starting || allocation->phase == RunPhase::Uncertain) {
    allocation->phase = RunPhase::Running;
    allocation->phaseSince = now;
    if (auto* job = this->FindJob(aActiveRun.task.job)) {
      this->MarkJobStarted(*job);
    }
  }
  allocation->NoteProgress(aActiveRun.progressPercent, now);
  allocation->load = aActiveRun.load;
  if (!aActiveRun.checkpoint.empty()) {
    allocation->checkpoint = aActiveRun.checkpoint;
  }
}

void
CellScheduler::ReconcileAllocations(Worker& aWorker, TimePoint aSent, const WorkerReport& aReport)
{
  const auto isListed = [&aReport](const Allocation& aAllocation) {
    return std::ranges::any_of(aReport.activeRuns, [&aAllocation](const ActiveRun& aActiveRun) {
      return aActiveRun.run == aAllocation.run && aActiveRun.task == aAllocation.task;
    });
  };
  std::vector<std::pair<TaskName, std::uint64_t>> absentRuns;
  for (auto& allocation : aWorker.allocations) {
    if (allocation.phaseSince >= aSent || isListed(allocation)) {
      continue;
    }
    if (allocation.phase == RunPhase::Uncertain) {
      // The start may still take effect; a stop prevents it.
      this->StopRun(aWorker, allocation, "start_unanswered");
    } else if (!aReport.hasMoreEnds &&
               (allocation.phase == RunPhase::Running ||
                (allocation.phase == RunPhase::Stopping && allocation.isStopAccepted))) {
      absentRuns.emplace_back(allocation.task, allocation.run);
    }
  }
  for (const auto& [task, run] : absentRuns) {
    this->dependencies.log.Log(LogLevel::Info,
                               "run_absent",
                               { { "job", task.job.value },
                                 { "step", task.key.step },
                                 { "index", task.key.index },
                                 { "run", run },
                                 { "worker", aWorker.entry.id.value } });
    this->ReleaseAllocation(aWorker, task, run);
    this->RequeueRun(task, run);
    this->StopGang(task, run);
  }
}

void
CellScheduler::ReleaseAllocation(Worker& aWorker, const TaskName& aTask, std::uint64_t aRun)
{
  const auto found = std::ranges::find_if(aWorker.allocations, [&](const Allocation& aAllocation) {
    return aAllocation.run == aRun && aAllocation.task == aTask;
  });
  if (found == aWorker.allocations.end()) {
    return;
  }
  aWorker.used -= found->demand;
  aWorker.runsOfUnknownDemand -= found->isDemandUnknown ? 1 : 0;
  if (found->workspaceUsage != nullptr) {
    found->workspaceUsage->running -= found->demand;
  }
  aWorker.allocations.erase(found);
  this->isPlacementDue = true;
}

void
CellScheduler::RecordRunOutcome(Worker& aWorker, const TaskName& aTask, bool aHasFailed)
{
  if (!aHasFailed) {
    aWorker.failureStreak = 0;
    return;
  }
  bool failsElsewhere = false;
  if (auto* job = this->FindJob(aTask.job)) {
    job->failedWorkers.insert(aWorker.entry.id);
    failsElsewhere = job->failedWorkers.size() > 1;
  }
  const bool isSameJob = aWorker.lastFailed.job == aTask.job;
  // A task that fails again, or a job that also fails at other workers, is no evidence against this
  // worker.
  if (isSameJob && (failsElsewhere || aWorker.lastFailed == aTask)) {
    return;
  }
  aWorker.lastFailed = aTask;
  ++aWorker.failureStreak;
  if (aWorker.failureStreak < this->options.quarantineThreshold) {
    return;
  }
  aWorker.avoidUntil = this->dependencies.clock.Now() + this->options.quarantineDuration;
  this->dependencies.log.Log(LogLevel::Warning,
                             "worker_avoided",
                             { { "worker", aWorker.entry.id.value },
                               { "failures", aWorker.failureStreak },
                               { "for_ms", this->options.quarantineDuration.count() } });
}

void
CellScheduler::ThrottleBestEffortTasks(Worker& aWorker)
{
  // Best-effort tasks are throttled well before a service task reaches its tail latency target, and
  // restored gradually.
  constexpr double kThrottleRatio = 0.8;
  constexpr double kRestoreRatio = 0.5;
  constexpr int kRestoreStepPercent = 10;
  constexpr int kMinDutyCyclePercent = 5;
  double worstRatio = 0.0;
  for (const auto& allocation : aWorker.allocations) {
    if (allocation.tailLatencyTarget.count() > 0 && allocation.phase == RunPhase::Running) {
      worstRatio = std::max(worstRatio,
                            static_cast<double>(allocation.load) /
                              static_cast<double>(allocation.tailLatencyTarget.count()));
    }
  }
  for (auto& allocation : aWorker.allocations) {
    if (!allocation.isBestEffort || allocation.phase != RunPhase::Running) {
      continue;
    }
    int dutyCyclePercent = allocation.dutyCyclePercent;
    if (worstRatio > kThrottleRatio) {
      dutyCyclePercent = dutyCyclePercent / 2 < kMinDutyCyclePercent ? 0 : dutyCyclePercent / 2;
    } else if (worstRatio < kRestoreRatio) {
      dutyCyclePercent = std::min(100, dutyCyclePercent + kRestoreStepPercent);
    }
    if (dutyCyclePercent == allocation.dutyCyclePercent) {
      continue;
    }
    allocation.dutyCyclePercent = dutyCyclePercent;
    this->dependencies.workers.Throttle(
      { .target = this->MakeOrderTarget(aWorker), .task = allocation.task, .run = allocation.run },
      dutyCyclePercent,
      [this,
       guard = std::weak_ptr<bool>(this->livenessToken),
       id = aWorker.entry.id,
       task = allocation.task,
       run = allocation.run](Result<OrderResult> aResult) {
        const bool isDone = !IsError(aResult) && ValueOf(aResult) == OrderResult::Accepted;
        if (guard.expired() || isDone) {
          return;
        }
        // The order may not have taken effect; 100 makes the next report send it again if needed.
        auto* worker = this->workers.Find(id);
        auto* throttled = worker != nullptr ? worker->FindAllocation(task, run) : nullptr;
        if (throttled != nullptr) {
          throttled->dutyCyclePercent = 100;
        }
      });
  }
}

}
