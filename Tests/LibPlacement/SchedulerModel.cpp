#include "SchedulerModel.h"

#include <algorithm>

namespace zinc {

namespace {

constexpr std::array kTeams = { "days", "nights" };
constexpr std::array kNonGangQueues = { "checks", "rebuilds", "services", "alarms" };
constexpr int kDrainRounds = 400;

Resources
ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return { .milliCores = std::max(aLeft.milliCores, aRight.milliCores),
           .memoryMiB = std::max(aLeft.memoryMiB, aRight.memoryMiB),
           .accelerators = std::max(aLeft.accelerators, aRight.accelerators),
           .slots = std::max(aLeft.slots, aRight.slots) };
}

}

SchedulerModel::SchedulerModel(std::uint64_t aSeed)
{
  auto created = Scheduler::Create({ .seed = aSeed });
  this->scheduler = std::move(ValueOf(created));
  this->scheduler->ApplyDocument(this->document);
  for (const auto* team : kTeams) {
    this->ChangeAllowance({ .first = 20, .second = static_cast<std::uint32_t>(*team) });
  }
  this->AddWorker({});
}

void
SchedulerModel::Apply(const Operation& aOperation)
{
  using Handler = void (SchedulerModel::*)(const Operation&);
  static constexpr std::array<Handler, 16> kHandlers = {
    &SchedulerModel::Enqueue,        &SchedulerModel::Enqueue,
    &SchedulerModel::Enqueue,        &SchedulerModel::Enqueue,
    &SchedulerModel::EnqueueGang,    &SchedulerModel::EnqueueGang,
    &SchedulerModel::EndRunningTask, &SchedulerModel::EndRunningTask,
    &SchedulerModel::EndRunningTask, &SchedulerModel::Cancel,
    &SchedulerModel::AddWorker,      &SchedulerModel::RemoveWorker,
    &SchedulerModel::ChangeMode,     &SchedulerModel::Adopt,
    &SchedulerModel::ReportUsage,    &SchedulerModel::ChangeAllowance,
  };
  (this->*kHandlers.at(aOperation.kind % kHandlers.size()))(aOperation);
  this->AdvanceTime(aOperation);
  this->Decide();
}

void
SchedulerModel::Drain()
{
  for (const auto* team : kTeams) {
    this->allowances[{ team }] = kUnlimited;
    this->scheduler->SetAllowance({ team }, kUnlimited);
  }
  this->workers[{ "ample" }] = { .info = { .id = { "ample" },
                                           .zone = { "leicester" },
                                           .rack = { "last" },
                                           .capacity = kUnlimited } };
  this->scheduler->UpsertWorker(this->workers[{ "ample" }].info);
  for (int round = 0; round < kDrainRounds; ++round) {
    this->Decide();
    for (ModelTask* task : this->RunningTasks()) {
      const bool isStopped = task->isPreempting || task->isCancelled;
      this->EndAttempt(*task, isStopped ? TaskOutcome::Stopped : TaskOutcome::Succeeded);
    }
    this->now += Milliseconds(5000);
  }
  for (const auto& [id, task] : this->tasks) {
    RC_ASSERT(task.phase == Phase::Ended);
  }
  const SchedulerLoad load = this->scheduler->CurrentLoad();
  RC_ASSERT(load.used == Resources{});
  RC_ASSERT(load.running == 0U);
}

TaskSpec
SchedulerModel::MakeTask(const Operation& aOperation, const std::string& aQueue)
{
  const std::string name = std::to_string(this->nameCount++);
  const Queue& queue = *this->document.FindQueue({ aQueue });
  return { .id = { name },
           .job = { "job" + name },
           .team = { kTeams.at(aOperation.first % kTeams.size()) },
           .queue = queue.id,
           .workClass = queue.workClass,
           .urgency = queue.urgency,
           .idempotence =
             aOperation.second % 5 == 0 ? Idempotence::NonIdempotent : Idempotence::Idempotent,
           .request = { .milliCores = 500 + 700 * (aOperation.first % 7),
                        .memoryMiB = 100 + 900 * (aOperation.second % 5),
                        .slots = 1 + aOperation.second % 2 },
           .expectedRun = Milliseconds(aOperation.first % 3000),
           .deadline = aOperation.second % 7 == 0 ? std::optional(Milliseconds(500))
                                                  : std::optional<Milliseconds>{} };
}

void
SchedulerModel::Enqueue(const Operation& aOperation)
{
  const TaskSpec task =
    this->MakeTask(aOperation, kNonGangQueues.at(aOperation.kind / 16 % kNonGangQueues.size()));
  if (!IsError(this->scheduler->Enqueue(task, this->now))) {
    this->tasks[task.id] = { .spec = task };
  }
}

void
SchedulerModel::EnqueueGang(const Operation& aOperation)
{
  const TaskSpec first = this->MakeTask(aOperation, "gangs");
  const std::uint32_t size = 2 + aOperation.first % 3;
  for (std::uint32_t index = 0; index < size; ++index) {
    TaskSpec member = first;
    member.id = { first.id.value + "-" + std::to_string(index) };
    member.gangSize = size;
    // Every member is admitted if the first one is.
    if (IsError(this->scheduler->Enqueue(member, this->now))) {
      RC_ASSERT(index == 0U);
      return;
    }
    this->tasks[member.id] = { .spec = member };
  }
}

void
SchedulerModel::EndRunningTask(const Operation& aOperation)
{
  const auto running = this->RunningTasks();
  if (running.empty()) {
    return;
  }
  ModelTask& task = *running[aOperation.first % running.size()];
  if (task.isPreempting || task.isCancelled) {
    this->EndAttempt(task, TaskOutcome::Stopped);
    return;
  }
  static constexpr std::array kOutcomes = {
    TaskOutcome::Succeeded, TaskOutcome::Succeeded, TaskOutcome::Failed, TaskOutcome::NotStarted
  };
  this->EndAttempt(task, kOutcomes.at(aOperation.second % kOutcomes.size()));
}

void
SchedulerModel::EndAttempt(ModelTask& aTask, TaskOutcome aOutcome)
{
  const bool isRequeued =
    !aTask.isCancelled && (aOutcome == TaskOutcome::NotStarted ||
                           (aTask.isPreempting && aOutcome == TaskOutcome::Stopped));
  aTask.phase = isRequeued ? Phase::Queued : Phase::Ended;
  aTask.isPreempting = false;
  aTask.measuredUsage = {};
  this->scheduler->ReportEnd(aTask.spec.id, aOutcome, this->now);
}

void
SchedulerModel::Cancel(const Operation& aOperation)
{
  if (this->tasks.empty()) {
    return;
  }
  auto entry = this->tasks.begin();
  std::advance(entry, aOperation.first % this->tasks.size());
  ModelTask& task = entry->second;
  static constexpr std::array kExpected = { CancelOutcome::WasQueued,
                                            CancelOutcome::IsRunning,
                                            CancelOutcome::NotFound };
  const CancelOutcome outcome = this->scheduler->Cancel(entry->first);
  RC_ASSERT(outcome == kExpected.at(static_cast<std::size_t>(task.phase)));
  task.isCancelled = true;
  if (outcome == CancelOutcome::WasQueued) {
    task.phase = Phase::Ended;
  }
}

void
SchedulerModel::AddWorker(const Operation& aOperation)
{
  const std::string name = std::to_string(this->nameCount++);
  const WorkerInfo info{ .id = { "w" + name },
                         .zone = { "telford" },
                         .rack = { "r" + std::to_string(aOperation.first % 3) },
                         .capacity = { .milliCores = 4000 + 1000 * (aOperation.first % 5),
                                       .memoryMiB = 4000 + 1000 * (aOperation.second % 5),
                                       .accelerators = 0,
                                       .slots = 4 + aOperation.second % 4 } };
  this->workers[info.id] = { .info = info };
  this->scheduler->UpsertWorker(info);
}

void
SchedulerModel::RemoveWorker(const Operation& aOperation)
{
  if (this->workers.size() < 2) {
    return;
  }
  auto entry = this->workers.begin();
  std::advance(entry, aOperation.first % this->workers.size());
  for (const TaskSpec& removed : this->scheduler->RemoveWorker(entry->first)) {
    ModelTask& task = this->tasks.at(removed.id);
    RC_ASSERT(task.phase == Phase::Running && task.worker == entry->first);
    task.phase = Phase::Ended;
  }
  for (const auto& [id, task] : this->tasks) {
    RC_ASSERT(task.phase != Phase::Running || task.worker != entry->first);
  }
  this->workers.erase(entry);
}

void
SchedulerModel::ChangeMode(const Operation& aOperation)
{
  auto entry = this->workers.begin();
  std::advance(entry, aOperation.first % this->workers.size());
  entry->second.mode = aOperation.second % 3 == 0 ? WorkerMode::Draining : WorkerMode::Accepting;
  this->scheduler->SetWorkerMode(entry->first, entry->second.mode);
}

void
SchedulerModel::ChangeAllowance(const Operation& aOperation)
{
  const TeamId team{ kTeams.at(aOperation.second % kTeams.size()) };
  const std::int64_t amount = aOperation.first % 30;
  const Resources allowance{
    .milliCores = 1000 * amount, .memoryMiB = 1000 * amount, .accelerators = 0, .slots = amount
  };
  this->allowances[team] = allowance;
  this->scheduler->SetAllowance(team, allowance);
}

void
SchedulerModel::Adopt(const Operation& aOperation)
{
  auto entry = this->workers.begin();
  std::advance(entry, aOperation.first % this->workers.size());
  const TaskSpec task = this->MakeTask(aOperation, "rebuilds");
  if (!(this->ComputeUsedOnWorker(entry->first) + task.request)
         .FitsIn(entry->second.info.capacity)) {
    return;
  }
  this->tasks[task.id] = { .spec = task, .phase = Phase::Running, .worker = entry->first };
  this->scheduler->Adopt(task, entry->first, this->now);
}

void
SchedulerModel::ReportUsage(const Operation& aOperation)
{
  const auto running = this->RunningTasks();
  if (running.empty()) {
    return;
  }
  ModelTask& task = *running[aOperation.first % running.size()];
  task.measuredUsage = { .milliCores = 100 * (aOperation.second % 30),
                         .memoryMiB = 150 * (aOperation.second % 20) };
  this->scheduler->ReportUsage(task.spec.id, task.measuredUsage, this->now);
}

void
SchedulerModel::AdvanceTime(const Operation& aOperation)
{
  this->now += Milliseconds(aOperation.second % 600);
}

void
SchedulerModel::Decide()
{
  std::map<JobId, std::uint32_t> startedMembers;
  for (const Decision& decision : this->scheduler->Decide(this->now)) {
    if (const auto* start = std::get_if<StartTask>(&decision)) {
      this->OnStart(*start);
      startedMembers[start->task.job] += 1;
    } else if (const auto* preempt = std::get_if<PreemptTask>(&decision)) {
      this->OnPreempt(*preempt);
    } else {
      this->OnReject(std::get<RejectTask>(decision));
    }
  }
  this->CheckCounters();
  this->CheckGangs(startedMembers);
}

void
SchedulerModel::OnStart(const StartTask& aStart)
{
  ModelTask& task = this->tasks.at(aStart.task.id);
  RC_ASSERT(task.phase == Phase::Queued);
  const ModelWorker& worker = this->workers.at(aStart.worker);
  RC_ASSERT(worker.mode == WorkerMode::Accepting);
  task.phase = Phase::Running;
  task.worker = aStart.worker;
  task.hasRestarted = task.hasRestarted || aStart.task.attempt > 1;
  RC_ASSERT(this->ComputeUsedOnWorker(aStart.worker).FitsIn(worker.info.capacity));
  RC_ASSERT(this->ComputeRequestedByTeam(task.spec.team).FitsIn(this->allowances[task.spec.team]));
}

void
SchedulerModel::OnPreempt(const PreemptTask& aPreempt)
{
  ModelTask& task = this->tasks.at(aPreempt.task);
  RC_ASSERT(task.phase == Phase::Running && task.worker == aPreempt.worker);
  RC_ASSERT(task.spec.idempotence == Idempotence::Idempotent);
  RC_ASSERT(!task.isPreempting);
  task.isPreempting = true;
  if (aPreempt.reason == PreemptReason::UrgentWork) {
    RC_ASSERT(++task.preemptionCount <= this->document.placement.maxPreemptions);
  }
}

void
SchedulerModel::OnReject(const RejectTask& aRejection)
{
  ModelTask& task = this->tasks.at(aRejection.task);
  RC_ASSERT(task.phase == Phase::Queued);
  task.phase = Phase::Ended;
}

void
SchedulerModel::CheckCounters() const
{
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  for (const auto& [id, task] : this->tasks) {
    running += task.phase == Phase::Running ? 1 : 0;
    queued += task.phase == Phase::Queued ? 1 : 0;
  }
  const SchedulerLoad load = this->scheduler->CurrentLoad();
  RC_ASSERT(load.running == running);
  RC_ASSERT(load.queued[0] + load.queued[1] + load.queued[2] + load.queued[3] == queued);
  for (const auto* team : kTeams) {
    RC_ASSERT(this->scheduler->RunningResources({ team }) ==
              this->ComputeRequestedByTeam({ team }));
  }
}

void
SchedulerModel::CheckGangs(const std::map<JobId, std::uint32_t>& aStartedMembers) const
{
  for (const auto& [job, count] : aStartedMembers) {
    const auto isMember = [&job = job](const auto& aEntry) {
      return aEntry.second.spec.job == job;
    };
    const auto member = std::ranges::find_if(this->tasks, isMember);
    const auto isQueuedMember = [&job = job](const auto& aEntry) {
      return aEntry.second.spec.job == job && aEntry.second.phase == Phase::Queued;
    };
    RC_ASSERT(!std::ranges::any_of(this->tasks, isQueuedMember));
    const auto isRestarted = [&job = job](const auto& aEntry) {
      return aEntry.second.spec.job == job && aEntry.second.hasRestarted;
    };
    RC_ASSERT(count == member->second.spec.gangSize ||
              std::ranges::any_of(this->tasks, isRestarted));
  }
}

Resources
SchedulerModel::ComputeUsedOnWorker(const WorkerId& aWorker) const
{
  Resources sum;
  for (const auto& [id, task] : this->tasks) {
    if (task.phase == Phase::Running && task.worker == aWorker) {
      sum += ElementwiseMax(task.spec.request, task.measuredUsage);
    }
  }
  return sum;
}

Resources
SchedulerModel::ComputeRequestedByTeam(const TeamId& aTeam) const
{
  Resources sum;
  for (const auto& [id, task] : this->tasks) {
    if (task.phase == Phase::Running && task.spec.team == aTeam) {
      sum += task.spec.request;
    }
  }
  return sum;
}

std::vector<SchedulerModel::ModelTask*>
SchedulerModel::RunningTasks()
{
  std::vector<ModelTask*> running;
  for (auto& [id, task] : this->tasks) {
    if (task.phase == Phase::Running) {
      running.push_back(&task);
    }
  }
  return running;
}

}
