#include <LibCell/CellScheduler.h>
#include <LibCell/Placement.h>

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace zinc::cell {

namespace {

/// Workers that were lost together responded last within this time of each other: an idle worker
/// responds only when the wait of its lease renewal is over.
constexpr Milliseconds kSimultaneousLossWindow{ 2000 };
/// Starts within this time of each other are equally likely to have crashed their worker.
constexpr Milliseconds kSimultaneousStartWindow{ 50 };
/// Crashes after which a task is given up: as the latest start at its worker, and in all, including
/// those where it is not certain that the task ran.
constexpr std::size_t kMaxBlamedCrashes = 2;
constexpr std::size_t kMaxCrashes = 4;
/// Runs lost with their worker after which a task is given up, including those lost with a rack.
constexpr std::size_t kMaxLostRuns = 5;

std::set<JobId>
JobsOf(std::span<const LostRun> aRuns)
{
  std::set<JobId> jobs;
  for (const auto& run : aRuns) {
    jobs.insert(run.task.job);
  }
  return jobs;
}

std::set<JobId>
JobsAt(const Worker& aWorker)
{
  std::set<JobId> jobs;
  for (const auto& allocation : aWorker.allocations) {
    jobs.insert(allocation.task.job);
  }
  return jobs;
}

std::set<JobId>
Intersect(const std::set<JobId>& aLeft, const std::set<JobId>& aRight)
{
  std::set<JobId> both;
  std::ranges::set_intersection(aLeft, aRight, std::inserter(both, both.end()));
  return both;
}

/// @return true if the task's recorded start names this incarnation of the worker
bool
IsRecordedAt(const Task& aTask, const Worker& aWorker)
{
  return aTask.recordedStart->worker == aWorker.entry.id &&
         aTask.recordedStart->incarnation == aWorker.KnownIncarnation();
}

/// @return true if the record of the task's next start is stored, and the start was not sent
bool
IsStartRecorded(const Job& aJob, const Task& aTask)
{
  return aTask.recordedStartChange != 0 && aJob.durableChangeCount >= aTask.recordedStartChange;
}

}

void
CellScheduler::RecordWorkerLoss(const Worker& aWorker)
{
  const auto incarnation = aWorker.KnownIncarnation();
  if (aWorker.entry.isDraining || incarnation == 0) {
    return;
  }
  WorkerLoss loss{ .worker = aWorker.entry.id,
                   .machine = aWorker.entry.MachineOrId(),
                   .incarnation = incarnation,
                   .rack = aWorker.entry.rack,
                   .lastContact = aWorker.lastResponse };
  TimePoint latestStart{};
  auto firstUnconfirmed = TimePoint::max();
  for (const auto& allocation : aWorker.allocations) {
    if (allocation.isStartConfirmed) {
      latestStart = std::max(latestStart, allocation.startedAt);
    } else {
      firstUnconfirmed = std::min(firstUnconfirmed, allocation.startedAt);
    }
  }
  for (const auto& allocation : aWorker.allocations) {
    // Starts after the first one without a response reached a worker that was down already.
    if (allocation.startedAt - kSimultaneousStartWindow > firstUnconfirmed) {
      continue;
    }
    const bool isLatest =
      allocation.isStartConfirmed && allocation.startedAt + kSimultaneousStartWindow >= latestStart;
    loss.runs.push_back({ .task = allocation.task,
                          .run = allocation.run,
                          .age = aWorker.lastResponse - allocation.startedAt,
                          .isLatestStart = isLatest });
  }
  this->lostWorkers.Add(std::move(loss));
}

void
CellScheduler::ConfirmCrash(const std::string& aMachine, std::int64_t aLaterIncarnation)
{
  if (const auto loss = this->lostWorkers.ConfirmCrash(aMachine, aLaterIncarnation)) {
    this->OnWorkerCrashed(*loss);
  }
}

std::optional<std::set<JobId>>
CellScheduler::FindJobsAtLostRack(const WorkerLoss& aLoss) const
{
  const auto losses =
    this->lostWorkers.FindInRack(aLoss.rack, aLoss.lastContact, kSimultaneousLossWindow);
  auto jobs = JobsOf(aLoss.runs);
  std::size_t lostWorkerCount = 1;
  for (const auto* loss : losses) {
    if (loss->machine != aLoss.machine) {
      ++lostWorkerCount;
      jobs = Intersect(jobs, JobsOf(loss->runs));
    }
  }
  for (const auto* worker : this->workers.All()) {
    const bool isKnownLoss = std::ranges::any_of(losses, [worker](const WorkerLoss* aOther) {
      return aOther->machine == worker->entry.MachineOrId();
    });
    if (worker->entry.rack != aLoss.rack || isKnownLoss) {
      continue;
    }
    const bool isSilent =
      worker->reachability == WorkerReachability::Unreachable || worker->failedRenewals > 0;
    if (!isSilent || worker->lastResponse > aLoss.lastContact + kSimultaneousLossWindow) {
      return {};
    }
    if (worker->lastResponse + kSimultaneousLossWindow >= aLoss.lastContact) {
      ++lostWorkerCount;
      jobs = Intersect(jobs, JobsAt(*worker));
    }
  }
  if (aLoss.rack.IsEmpty() || lostWorkerCount == 1) {
    return {};
  }
  return jobs;
}

void
CellScheduler::OnWorkerCrashed(const WorkerLoss& aLoss)
{
  const auto jobsAtLostRack = this->FindJobsAtLostRack(aLoss);
  this->dependencies.metrics
    .FindCounter({ .name = "zinc_cell_worker_crashes_total",
                   .help = "Workers that started again without having drained." },
                 { { "cause", jobsAtLostRack ? "rack" : "worker" } })
    .Add();
  this->dependencies.log.Log(LogLevel::Warning,
                             "worker_crashed",
                             { { "worker", aLoss.worker.value },
                               { "machine", aLoss.machine },
                               { "rack", aLoss.rack.value },
                               { "runs", aLoss.runs.size() },
                               { "rack_lost", jobsAtLostRack.has_value() } });
  for (const auto& run : aLoss.runs) {
    if (jobsAtLostRack && !jobsAtLostRack->contains(run.task.job)) {
      this->RecordRackLoss(run);
    } else {
      this->RecordCrashedRun(run, aLoss.worker);
    }
  }
  if (!jobsAtLostRack) {
    return;
  }
  // Workers that restarted before the others were known to be lost were counted as single crashes.
  for (const auto* loss :
       this->lostWorkers.FindInRack(aLoss.rack, aLoss.lastContact, kSimultaneousLossWindow)) {
    for (const auto& run : loss->runs) {
      if (loss->isCrash && !jobsAtLostRack->contains(run.task.job)) {
        this->RecordRackLoss(run);
      }
    }
  }
}

Task*
CellScheduler::FindOpenTask(const LostRun& aRun)
{
  const auto* job = this->FindJob(aRun.task.job);
  const auto* task = this->FindTask(aRun.task);
  const bool isOpen =
    task != nullptr && job->outcome == JobOutcome::Active && task->phase != TaskPhase::Succeeded;
  return isOpen ? this->FindOrCreateTask(aRun.task) : nullptr;
}

void
CellScheduler::RecordCrashedRun(const LostRun& aRun, const WorkerId& aWorker)
{
  auto* task = this->FindOpenTask(aRun);
  if (task == nullptr) {
    return;
  }
  if (aRun.age >= this->options.minRunToClearCrashes) {
    task->crashedRuns.clear();
    task->blamedRuns.clear();
    task->rackLossRuns.clear();
  }
  if (task->rackLossRuns.contains(aRun.run) || !task->crashedRuns.insert(aRun.run).second) {
    return;
  }
  if (aRun.isLatestStart) {
    task->blamedRuns.insert(aRun.run);
  }
  auto& job = *this->FindJob(aRun.task.job);
  job.isCrashSuspect = job.isCrashSuspect || task->IsCrashSuspect();
  task->lastFailedWorker = aWorker;
  this->MarkJobChanged(job);
  this->dependencies.log.Log(LogLevel::Warning,
                             "run_crashed",
                             { { "job", aRun.task.job.value },
                               { "step", aRun.task.key.step },
                               { "index", aRun.task.key.index },
                               { "run", aRun.run },
                               { "worker", aWorker.value },
                               { "crashes", task->crashedRuns.size() },
                               { "as_latest_start", task->blamedRuns.size() } });
  this->GiveUpCrashingTask(aRun);
}

void
CellScheduler::RecordRackLoss(const LostRun& aRun)
{
  auto* task = this->FindOpenTask(aRun);
  if (task == nullptr || !task->rackLossRuns.insert(aRun.run).second) {
    return;
  }
  task->crashedRuns.erase(aRun.run);
  task->blamedRuns.erase(aRun.run);
  this->MarkJobChanged(*this->FindJob(aRun.task.job));
  this->GiveUpCrashingTask(aRun);
}

void
CellScheduler::GiveUpCrashingTask(const LostRun& aRun)
{
  const auto* task = this->FindOpenTask(aRun);
  const auto crashes = task->crashedRuns.size();
  const bool isWithinLimits = task->blamedRuns.size() < kMaxBlamedCrashes &&
                              crashes < kMaxCrashes &&
                              crashes + task->rackLossRuns.size() < kMaxLostRuns;
  if (isWithinLimits) {
    return;
  }
  const auto& key = aRun.task.key;
  this->EndJob(*this->FindJob(aRun.task.job),
               JobOutcome::Failed,
               fmt::format("task {}.{}.{} lost {} workers to crashes and {} with their racks",
                           key.occurrence,
                           key.step,
                           key.index,
                           crashes,
                           task->rackLossRuns.size()));
}

void
CellScheduler::AdoptRecordedStart(const TaskName& aTask, const RecordedStart& aStart)
{
  this->FindOrCreateTask(aTask)->recordedStart = aStart;
  this->lostWorkers.Add({ .worker = aStart.worker,
                          .machine = aStart.machine,
                          .incarnation = aStart.incarnation,
                          .lastContact = this->dependencies.clock.Now(),
                          .runs = { { .task = aTask, .run = aStart.run } } });
}

void
CellScheduler::RecordStart(Job& aJob, Task& aTask, const Worker& aWorker, std::uint64_t aRun)
{
  aTask.recordedStart = RecordedStart{ .run = aRun,
                                       .worker = aWorker.entry.id,
                                       .machine = aWorker.entry.MachineOrId(),
                                       .incarnation = aWorker.KnownIncarnation() };
  this->MarkJobChanged(aJob);
  aTask.recordedStartChange = aJob.changeCount;
}

bool
CellScheduler::StartRecordedTask(const Candidate& aCandidate,
                                 std::uint32_t aIndex,
                                 Worker& aChosen,
                                 const std::vector<Worker*>& aEligible,
                                 const TaskCountFunction& aCount)
{
  auto& job = *aCandidate.job;
  auto& task = aCandidate.run->tasks[aIndex];
  if (task.recordedStartChange == 0) {
    this->RecordStart(job, task, aChosen, this->NextRunNumber());
  }
  if (!IsStartRecorded(job, task)) {
    return false;
  }
  auto recorded = aEligible;
  std::erase_if(recorded, [&task](const Worker* aWorker) { return !IsRecordedAt(task, *aWorker); });
  auto* worker = ChooseWorker(recorded,
                              *aCandidate.specification,
                              aCount,
                              this->rankings.Select(aCandidate, this->roundBegin));
  if (worker == nullptr) {
    this->RecordStart(job, task, aChosen, this->NextRunNumber());
    return false;
  }
  this->StartTask(aCandidate, aIndex, *worker, task.recordedStart->run, task.checkpoint);
  return true;
}

bool
CellScheduler::IsGangRecorded(const Candidate& aCandidate, std::span<Worker* const> aAssigned)
{
  const auto& tasks = aCandidate.run->tasks;
  if (tasks.size() != aAssigned.size()) {
    return false;
  }
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const auto& task = tasks.Look(index);
    if (!IsStartRecorded(*aCandidate.job, task) || !IsRecordedAt(task, *aAssigned[index])) {
      return false;
    }
  }
  return true;
}

void
CellScheduler::RecordGangStart(const Candidate& aCandidate,
                               std::span<Worker* const> aAssigned,
                               std::uint64_t aRun)
{
  auto& tasks = aCandidate.run->tasks;
  const auto& first = tasks.Look(0);
  if (first.recordedStartChange != 0 && !IsStartRecorded(*aCandidate.job, first)) {
    return;
  }
  for (std::uint32_t index = 0; index < aAssigned.size(); ++index) {
    this->RecordStart(*aCandidate.job, tasks[index], *aAssigned[index], aRun);
  }
}

std::optional<std::vector<Worker*>>
CellScheduler::FindRecordedGang(const Candidate& aCandidate,
                                const std::vector<Worker*>& aEligible) const
{
  const auto& step = *aCandidate.specification;
  std::vector<Worker*> workers;
  std::map<const Worker*, std::uint32_t> members;
  const auto& tasks = aCandidate.run->tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const auto& task = tasks.Look(index);
    if (!IsStartRecorded(*aCandidate.job, task)) {
      return {};
    }
    const auto found = std::ranges::find_if(
      aEligible, [&task](const Worker* aWorker) { return IsRecordedAt(task, *aWorker); });
    if (found == aEligible.end()) {
      return {};
    }
    workers.push_back(*found);
    ++members[*found];
  }
  const bool fits = std::ranges::all_of(members, [&step](const auto& aItem) {
    return CountFittingTasks(*aItem.first, AllocatedDemand(step), aItem.second) == aItem.second;
  });
  return fits ? std::optional(std::move(workers)) : std::nullopt;
}

bool
CellScheduler::HostsOtherCrashSuspect(const Worker& aWorker, const Job& aJob)
{
  return std::ranges::any_of(aWorker.allocations, [this, &aJob](const Allocation& aAllocation) {
    const auto* job = this->FindJob(aAllocation.task.job);
    return job != nullptr && job != &aJob && job->isCrashSuspect;
  });
}

std::vector<Worker*>
CellScheduler::KeepSuspectsApart(const Job& aJob, std::vector<Worker*> aWorkers)
{
  if (aJob.isCrashSuspect) {
    std::erase_if(aWorkers, [this, &aJob](const Worker* aWorker) {
      return this->HostsOtherCrashSuspect(*aWorker, aJob);
    });
  }
  return aWorkers;
}

}
