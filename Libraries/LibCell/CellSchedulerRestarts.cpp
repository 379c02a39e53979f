#include <LibCell/CellScheduler.h>
#include <LibCell/RunLoss.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// How long a loss of contact may turn out to be a crash.
constexpr Milliseconds kLossRetention{ 60'000 };

void
LogLostRun(const Logger& aLog,
           const Worker& aWorker,
           const Allocation& aAllocation,
           WorkerLossReason aReason,
           TimePoint aNow)
{
  aLog.Log(LogLevel::Info,
           "run_lost",
           { { "job", aAllocation.task.job.value },
             { "step", aAllocation.task.key.step },
             { "index", aAllocation.task.key.index },
             { "run", aAllocation.run },
             { "worker", aWorker.entry.id.value },
             { "machine", aWorker.entry.machine },
             { "rack", aWorker.entry.rack.value },
             { "reason", ToString(aReason) },
             { "reported", aAllocation.isReported },
             { "age_ms", (aNow - aAllocation.startedAt).count() },
             { "silent_ms", (aNow - aWorker.lastResponse).count() },
             { "beyond_lease_ms", (aNow - aWorker.leaseExpiry).count() } });
}

}

void
CellScheduler::OnWorkerRestarted(Worker& aWorker, WorkerLossReason aReason)
{
  const auto unreported = std::ranges::count(aWorker.allocations, false, &Allocation::isReported);
  this->dependencies.log.Log(LogLevel::Info,
                             "worker_restarted",
                             { { "worker", aWorker.entry.id.value },
                               { "reason", ToString(aReason) },
                               { "incarnation", aWorker.KnownIncarnation() },
                               { "acknowledged", aWorker.acknowledgedSequence },
                               { "runs", aWorker.allocations.size() },
                               { "unreported", unreported } });
  aWorker.fence.OnRestarted(this->latestFencingToken);
  if (aWorker.fence.AwaitsToken() && this->dependencies.onUnpublishedWorker) {
    this->dependencies.onUnpublishedWorker();
  }
  this->ExpireTicketsFor(aWorker);
  this->RequeueLostRuns(aWorker, aReason);
  // The start time of the next incarnation may not be known yet; any later one proves the crash.
  this->ConfirmCrash(aWorker.entry.MachineOrId(), aWorker.KnownIncarnation() + 1);
  aWorker.isSequenceKnown = true;
  aWorker.seenSequence = 0;
  aWorker.acknowledgedSequence = 0;
  aWorker.unacknowledgedEnds.clear();
  this->workersWithEnds.erase(aWorker.number);
  aWorker.isClockKnown = false;
  aWorker.connection.reset();
  aWorker.incarnation = 0;
  this->renewals.Schedule(aWorker, this->dependencies.clock.Now());
  this->MarkWorkerRead(aWorker.entry.id);
}

void
CellScheduler::RequeueLostRuns(Worker& aWorker, WorkerLossReason aReason)
{
  this->RecordWorkerLoss(aWorker);
  const auto now = this->dependencies.clock.Now();
  std::vector<Allocation> lostRuns;
  for (auto& allocation : aWorker.allocations) {
    if (IsRunLost(aWorker, allocation, aReason, now, this->options.maxOrderDelay)) {
      lostRuns.push_back(allocation);
    } else if (allocation.phase == RunPhase::Stopping &&
               aReason != WorkerLossReason::LeaseExpired) {
      // The stop may have reached the previous incarnation.
      this->PreventLateStart(aWorker, allocation);
    }
  }
  if (lostRuns.empty()) {
    return;
  }
  this->dependencies.log.Log(LogLevel::Warning,
                             "runs_lost",
                             { { "worker", aWorker.entry.id.value },
                               { "runs", lostRuns.size() },
                               { "reason", ToString(aReason) } });
  this->dependencies.metrics
    .FindCounter({ .name = "zinc_cell_lost_runs_total",
                   .help = "Runs that were lost with their worker, by how that was learned." },
                 { { "reason", std::string(ToString(aReason)) } })
    .Add(lostRuns.size());
  for (const auto& allocation : lostRuns) {
    LogLostRun(this->dependencies.log, aWorker, allocation, aReason, now);
    this->SaveCheckpoint(allocation);
    this->ReleaseAllocation(aWorker, allocation.task, allocation.run);
    this->RequeueRun(allocation.task, allocation.run);
    this->StopGang(allocation.task, allocation.run);
  }
}

void
CellScheduler::SaveCheckpoint(const Allocation& aAllocation)
{
  auto* job = this->FindJob(aAllocation.task.job);
  if (job == nullptr || job->outcome != JobOutcome::Active || aAllocation.checkpoint.empty()) {
    return;
  }
  auto key = aAllocation.task.key;
  const auto* task = job->FindTask(key);
  if (task == nullptr || task->phase == TaskPhase::Succeeded) {
    return;
  }
  if (job->spec.steps[key.step].isGang) {
    key.index = 0;
  }
  job->FindOrCreateTask(key)->checkpoint = aAllocation.checkpoint;
}

void
CellScheduler::RemoveLostWorkers()
{
  const auto now = this->dependencies.clock.Now();
  this->lostWorkers.RemoveOlderThan(now - kLossRetention);
  std::vector<WorkerId> forgottenWorkers;
  for (const auto number :
       std::vector(this->unresponsiveWorkers.begin(), this->unresponsiveWorkers.end())) {
    auto* worker = this->workers.FindByNumber(number);
    const bool hasLostRuns =
      now > worker->leaseExpiry &&
      std::ranges::any_of(worker->allocations, [this, worker, now](const Allocation& aAllocation) {
        return IsRunLost(
          *worker, aAllocation, WorkerLossReason::LeaseExpired, now, this->options.maxOrderDelay);
      });
    if (hasLostRuns) {
      this->RequeueLostRuns(*worker, WorkerLossReason::LeaseExpired);
    }
    const bool isLost = !worker->isListed && now > worker->leaseExpiry &&
                        now - worker->lastResponse > this->options.workerRemovalDelay &&
                        !worker->isRenewalInFlight;
    if (isLost) {
      forgottenWorkers.push_back(worker->entry.id);
    }
  }
  for (const auto& id : forgottenWorkers) {
    this->dependencies.log.Log(LogLevel::Info, "worker_forgotten", { { "worker", id.value } });
    this->RecordWorkerLoss(*this->workers.Find(id));
    this->dependencies.workers.Disconnect(id);
    const auto number = this->workers.Find(id)->number;
    this->workersWithEnds.erase(number);
    this->unresponsiveWorkers.erase(number);
    this->workers.Remove(id);
  }
}

}
