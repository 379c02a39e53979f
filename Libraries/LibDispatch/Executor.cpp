#include <LibDispatch/Executor.h>

#include <algorithm>
#include <vector>

namespace zinc {

namespace {

constexpr Milliseconds kInspectDelay{ 200 };
/// An unanswered claim is sent again after this time, to whoever drives the job then.
constexpr Milliseconds kClaimRetry{ 1000 };

/// Wait before a stop or a checkpoint that has not ended the task is asked for again.
constexpr Milliseconds kStopAgain{ 1000 };

/// Longest time for which a worker holds the reply to a start back.
constexpr Milliseconds kLongestStartWait{ 1000 };

Milliseconds
StartWait(const TaskSpec& aSpec)
{
  const bool inlineAnswer = aSpec.workClass == WorkClass::Check;
  return inlineAnswer ? kLongestStartWait : Milliseconds{ 0 };
}

TaskOutcome
OutcomeOf(TaskState aState)
{
  switch (aState) {
    case TaskState::Succeeded:
      return TaskOutcome::Succeeded;
    case TaskState::Failed:
      return TaskOutcome::Failed;
    default:
      return TaskOutcome::Stopped;
  }
}

}

/// Calls the member that carries out each kind of decision.
struct DecisionRunner
{
  Executor& executor;

  void operator()(const StartTask& aDecision) const { this->executor.Begin(aDecision); }
  void operator()(const PreemptTask& aDecision) const { this->executor.Preempt(aDecision); }
  void operator()(const RejectTask& aDecision) const { this->executor.GiveUp(aDecision); }
};

Executor::Executor(ExecutorEnvironment aEnvironment)
  : environment(std::move(aEnvironment))
{
}

void
Executor::ApplyDocument(const Document& aDocument)
{
  this->document = aDocument;
  this->environment.scheduler.ApplyDocument(aDocument);
  for (const auto& queue : aDocument.queues) {
    this->BudgetOf(queue.id).SetFraction(queue.retryBudget);
  }
  this->Wake();
}

void
Executor::Place(const EntryId& aOrigin, PlaceTask aNotice)
{
  if (this->Find(aNotice.task.id)) {
    return;
  }
  const auto now = this->environment.clock.Now();
  OwnedTask task{
    .spec = std::move(aNotice.task), .origin = aOrigin, .claim = aNotice.claim, .queuedAt = now
  };
  const auto queued = this->environment.scheduler.Enqueue(task.spec, now);
  if (IsError(queued)) {
    this->Tell(task, TaskRefused{ .attempt = task.Attempt(), .verdict = ErrorOf(queued) });
    return;
  }
  const auto id = task.spec.id;
  this->tasks.emplace(id, std::move(task));
  this->Wake();
}

void
Executor::OnClaimDecided(const ClaimDecided& aNotice)
{
  auto* task = this->Find(aNotice.attempt);
  if (!task || task->stage != TaskStage::Claiming) {
    return;
  }
  if (aNotice.refusal) {
    (void)this->environment.scheduler.Cancel(task->spec.id);
    this->environment.scheduler.ReportEnd(
      task->spec.id, TaskOutcome::Stopped, this->environment.clock.Now());
    // A new driver may have placed the task here while the former one was asked.
    this->Tell(*task,
               TaskRefused{ .attempt = task->Attempt(),
                            .verdict = NotRun(ErrorCode::Cancelled, "The claim was refused.") });
    this->tasks.erase(task->spec.id);
    this->Wake();
    return;
  }
  if (task->stopRequested) {
    this->Forget(
      *task,
      { .attempt = task->Attempt(), .state = TaskState::Stopped, .run = RunState::NotRun },
      TaskOutcome::Stopped);
    return;
  }
  this->Send(*task);
}

void
Executor::Stop(const StopTask& aNotice)
{
  auto* task = this->Find(aNotice.attempt.task);
  if (!task || task->stopRequested) {
    return;
  }
  task->stopRequested = true;
  switch (this->environment.scheduler.Cancel(task->spec.id)) {
    case CancelOutcome::NotFound:
    case CancelOutcome::WasQueued: {
      this->Refuse(*task, NotRun(ErrorCode::Cancelled, "The task was cancelled."));
      this->Wake();
      return;
    }
    case CancelOutcome::IsRunning:
      break;
  }
  if (task->stage == TaskStage::Running) {
    this->AskToLeave(*task);
  }
}

void
Executor::ForgetOrigin(const EntryId& aOrigin)
{
  std::vector<AttemptId> orphans;
  for (const auto& [id, task] : this->tasks) {
    const bool waitsForNobody = task.claim == ClaimMode::None && task.origin == aOrigin;
    if (waitsForNobody && !task.HasWorker()) {
      orphans.push_back(task.Attempt());
    }
  }
  for (const auto& attempt : orphans) {
    this->Stop({ .attempt = attempt });
  }
}

void
Executor::Tick()
{
  const auto now = this->environment.clock.Now();
  std::vector<TaskId> due;
  for (auto& [id, task] : this->tasks) {
    const bool isLeaving =
      task.stage == TaskStage::Running && (task.stopRequested || task.checkpointRequested);
    if ((isLeaving || task.stage == TaskStage::Uncertain) && now >= task.askAgainAt) {
      due.push_back(id);
    }
    if (task.stage == TaskStage::Claiming && this->IsClaimDue(task)) {
      this->SendClaim(task);
    }
  }
  for (const auto& id : due) {
    auto* task = this->Find(id);
    if (!task) {
      continue;
    }
    if (task->stage == TaskStage::Running) {
      this->AskToLeave(*task);
    } else {
      this->Inspect(*task);
    }
  }
  this->Pump();
}

void
Executor::Wake()
{
  if (this->pumpDue) {
    return;
  }
  this->pumpDue = true;
  this->environment.defer([this] { this->Pump(); });
}

std::size_t
Executor::OpenChecks() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    this->tasks, [](const auto& aItem) { return aItem.second.claim == ClaimMode::None; }));
}

template<typename Id>
TaskCounts
Executor::CountTasks(Id TaskSpec::*aMember, const Id& aId) const
{
  TaskCounts counts;
  for (const auto& [id, task] : this->tasks) {
    if (task.spec.*aMember != aId) {
      continue;
    }
    auto& count = task.HasWorker() ? counts.running : counts.queued;
    ++count;
  }
  return counts;
}

TaskCounts
Executor::CountsOf(const QueueId& aQueue) const
{
  return this->CountTasks(&TaskSpec::queue, aQueue);
}

TaskCounts
Executor::CountsOf(const TeamId& aTeam) const
{
  return this->CountTasks(&TaskSpec::team, aTeam);
}

void
Executor::WorkerAcquired(const Instance& aWorker, const LeaseGrant& aGrant)
{
  const WorkerId id{ aWorker.name };
  this->environment.scheduler.UpsertWorker(
    { .id = id, .zone = aWorker.zone, .rack = aWorker.rack, .capacity = aGrant.capacity });
  this->environment.scheduler.SetWorkerMode(
    id, aWorker.state == InstanceState::Live ? WorkerMode::Accepting : WorkerMode::Draining);
  std::map<TeamId, Resources> adopted;
  for (const auto& status : aGrant.tasks) {
    if (this->Adopt(id, aGrant.term, status)) {
      adopted[status.spec.team] += status.spec.request;
    }
  }
  std::vector<TeamAmount> amounts;
  for (const auto& [team, amount] : adopted) {
    amounts.push_back({ .team = team, .amount = amount });
  }
  this->environment.handOvers.TasksAdopted(id, aGrant.previousHolder, amounts);
  this->Wake();
}

void
Executor::AnnounceRunning()
{
  for (const auto& [id, task] : this->tasks) {
    if (task.claim == ClaimMode::Required && task.stage == TaskStage::Running) {
      this->Tell(task, TaskStarted{ .attempt = task.Attempt(), .worker = task.worker });
    }
  }
}

std::vector<TeamAmount>
Executor::AmountsAt(const WorkerId& aWorker) const
{
  std::map<TeamId, Resources> byTeam;
  for (const auto& [id, task] : this->tasks) {
    if (task.HasWorker() && task.worker == aWorker) {
      byTeam[task.spec.team] += task.spec.request;
    }
  }
  std::vector<TeamAmount> amounts;
  for (const auto& [team, amount] : byTeam) {
    amounts.push_back({ .team = team, .amount = amount });
  }
  return amounts;
}

void
Executor::WorkerLost(const WorkerId& aWorker)
{
  std::vector<TaskId> lost;
  for (const auto& [id, task] : this->tasks) {
    if (task.HasWorker() && task.worker == aWorker) {
      lost.push_back(id);
    }
  }
  this->environment.handOvers.TasksForfeited(aWorker, this->AmountsAt(aWorker));
  (void)this->environment.scheduler.RemoveWorker(aWorker);
  for (const auto& id : lost) {
    auto& task = *this->Find(id);
    if (task.stage == TaskStage::Starting) {
      // The reply to its start may still come.
      task.isUnscheduled = true;
      continue;
    }
    const bool claimedOnly = task.stage == TaskStage::Claiming;
    if (claimedOnly) {
      this->Tell(task,
                 TaskEnded{ .attempt = task.Attempt(),
                            .state = TaskState::Stopped,
                            .run = RunState::NotRun });
    } else {
      this->Tell(task, TaskLost{ .attempt = task.Attempt(), .worker = aWorker });
    }
    this->tasks.erase(id);
  }
  this->checksAt.erase(aWorker);
  this->Wake();
}

void
Executor::WorkerChanged(const WorkerId& aWorker, const EventBatch& aEvents)
{
  for (const auto& status : aEvents.changes) {
    const AttemptId attempt{ .task = status.spec.id, .attempt = status.spec.attempt };
    if (status.state == TaskState::Running) {
      this->environment.scheduler.ReportUsage(
        status.spec.id, status.usage, this->environment.clock.Now());
      continue;
    }
    this->TakeStatus(attempt, status);
  }
  const auto* instance = this->fleet->FindListed(aWorker);
  const bool leaving = aEvents.leaving || !instance || instance->state == InstanceState::Leaving;
  if (leaving) {
    this->environment.scheduler.SetWorkerMode(aWorker, WorkerMode::Draining);
  }
}

void
Executor::WorkerRefused(const WorkerId&)
{
}

bool
Executor::PrepareRelease(const WorkerId& aWorker)
{
  this->environment.scheduler.SetWorkerMode(aWorker, WorkerMode::Draining);
  const auto found = this->checksAt.find(aWorker);
  return found == this->checksAt.end() || found->second == 0;
}

OwnedTask*
Executor::Find(const TaskId& aTask)
{
  const auto found = this->tasks.find(aTask);
  return found == this->tasks.end() ? nullptr : &found->second;
}

OwnedTask*
Executor::Find(const AttemptId& aAttempt)
{
  auto* task = this->Find(aAttempt.task);
  return task && task->spec.attempt == aAttempt.attempt ? task : nullptr;
}

void
Executor::Tell(const OwnedTask& aTask, Notice aNotice)
{
  const auto to = aTask.claim == ClaimMode::Required
                    ? this->environment.driverOf(aTask.spec.job, aTask.origin)
                    : aTask.origin;
  if (!to.IsEmpty()) {
    this->environment.send(to, std::move(aNotice));
  }
}

void
Executor::Refuse(OwnedTask& aTask, Verdict aVerdict)
{
  if (aTask.mayHaveRun) {
    aVerdict.run = RunState::MayHaveRun;
  }
  this->Tell(aTask, TaskRefused{ .attempt = aTask.Attempt(), .verdict = std::move(aVerdict) });
  this->tasks.erase(aTask.spec.id);
}

void
Executor::Pump()
{
  this->pumpDue = false;
  const auto decisions = this->environment.scheduler.Decide(this->environment.clock.Now());
  for (const auto& decision : decisions) {
    std::visit(DecisionRunner{ *this }, decision);
  }
}

void
Executor::Begin(const StartTask& aDecision)
{
  auto* task = this->Find(aDecision.task.id);
  const auto agent = this->fleet->Held(aDecision.worker);
  if (!task || !agent || !agent->MayStart()) {
    this->environment.scheduler.ReportEnd(
      aDecision.task.id, TaskOutcome::NotStarted, this->environment.clock.Now());
    return;
  }
  task->worker = aDecision.worker;
  task->term = agent->Term();
  if (task->claim == ClaimMode::None) {
    this->Send(*task);
    return;
  }
  task->stage = TaskStage::Claiming;
  this->SendClaim(*task);
}

bool
Executor::IsClaimDue(const OwnedTask& aTask) const
{
  const auto driver = this->environment.driverOf(aTask.spec.job, aTask.origin);
  const bool isNewDriver = !driver.IsEmpty() && driver != aTask.claimedOf;
  return isNewDriver || this->environment.clock.Now() >= aTask.claimAgainAt;
}

void
Executor::SendClaim(OwnedTask& aTask)
{
  aTask.claimedOf = this->environment.driverOf(aTask.spec.job, aTask.origin);
  aTask.claimAgainAt = this->environment.clock.Now() + kClaimRetry;
  this->Tell(aTask,
             ClaimTask{ .attempt = aTask.Attempt(), .worker = aTask.worker, .term = aTask.term });
}

void
Executor::Preempt(const PreemptTask& aDecision)
{
  auto* task = this->Find(aDecision.task);
  if (!task) {
    return;
  }
  task->checkpointRequested = true;
  if (task->stage == TaskStage::Running) {
    this->AskToLeave(*task);
  }
}

void
Executor::AskToLeave(OwnedTask& aTask)
{
  aTask.askAgainAt = this->environment.clock.Now() + kStopAgain;
  this->StopAtWorker(aTask, aTask.stopRequested ? StopMode::Stop : StopMode::Checkpoint);
}

void
Executor::GiveUp(const RejectTask& aDecision)
{
  auto* task = this->Find(aDecision.task);
  if (!task) {
    return;
  }
  this->Refuse(*task, aDecision.verdict);
}

void
Executor::Send(OwnedTask& aTask)
{
  const auto agent = this->fleet->Held(aTask.worker);
  if (!agent || !agent->MayStart() || agent->Term() != aTask.term) {
    this->OnStartRefused(
      aTask, NotRun(ErrorCode::StaleTerm, "The worker's lease lapsed before the start."));
    return;
  }
  aTask.stage = TaskStage::Starting;
  aTask.startedAt = this->environment.clock.Now();
  if (aTask.claim == ClaimMode::None) {
    ++this->checksAt[aTask.worker];
  }
  agent->Client().Start(aTask.term,
                        aTask.spec,
                        StartWait(aTask.spec),
                        [this, attempt = aTask.Attempt()](const Result<TaskStatus>& aReply) {
                          this->OnStartAnswered(attempt, aReply);
                        });
}

void
Executor::OnStartAnswered(const AttemptId& aAttempt, const Result<TaskStatus>& aReply)
{
  auto* task = this->Find(aAttempt);
  if (!task) {
    return;
  }
  if (!IsError(aReply)) {
    this->TakeStatus(aAttempt, ValueOf(aReply));
    return;
  }
  if (ErrorOf(aReply).run == RunState::NotRun) {
    this->OnStartRefused(*task, ErrorOf(aReply));
    return;
  }
  task->stage = TaskStage::Uncertain;
  this->Inspect(*task);
}

void
Executor::OnStartRefused(OwnedTask& aTask, const Verdict& aVerdict)
{
  const TaskEnded end{ .attempt = aTask.Attempt(),
                       .state = TaskState::Stopped,
                       .run = RunState::NotRun,
                       .result = aVerdict.message };
  if (aTask.spec.gangSize > 1) {
    const auto job = aTask.spec.job;
    this->Forget(aTask, end, TaskOutcome::Stopped);
    this->AbandonGang(job);
    return;
  }
  // Its driver places a claimed task again, here or elsewhere, when its worker is lost.
  const bool isOver =
    aTask.stopRequested || (aTask.isUnscheduled && aTask.claim == ClaimMode::Required);
  if (isOver) {
    this->Forget(aTask, end, TaskOutcome::Stopped);
    return;
  }
  this->Requeue(aTask, end);
}

void
Executor::Inspect(OwnedTask& aTask)
{
  aTask.askAgainAt = this->environment.clock.Now() + kInspectDelay;
  const auto agent = this->fleet->Held(aTask.worker);
  if (!agent) {
    this->Tell(aTask, TaskLost{ .attempt = aTask.Attempt(), .worker = aTask.worker });
    this->tasks.erase(aTask.spec.id);
    return;
  }
  agent->Client().Inspect(aTask.spec.id,
                          aTask.spec.attempt,
                          [this, attempt = aTask.Attempt()](const Result<TaskStatus>& aReply) {
                            this->OnInspected(attempt, aReply);
                          });
}

void
Executor::OnInspected(const AttemptId& aAttempt, const Result<TaskStatus>& aReply)
{
  auto* task = this->Find(aAttempt);
  if (!task || task->stage != TaskStage::Uncertain || IsError(aReply)) {
    return;
  }
  if (ValueOf(aReply).state != TaskState::Unknown) {
    this->TakeStatus(aAttempt, ValueOf(aReply));
    return;
  }
  // The start may still be on its way: a stop keeps the worker from running it later.
  this->StopAtWorker(*task, StopMode::Stop);
}

void
Executor::StopAtWorker(const OwnedTask& aTask, StopMode aMode)
{
  const auto agent = this->fleet->Held(aTask.worker);
  if (!agent) {
    return;
  }
  agent->Client().Stop(aTask.term,
                       aTask.spec.id,
                       aTask.spec.attempt,
                       aMode,
                       [this, attempt = aTask.Attempt()](const Result<TaskStatus>& aReply) {
                         this->OnStopAnswered(attempt, aReply);
                       });
}

void
Executor::OnStopAnswered(const AttemptId& aAttempt, const Result<TaskStatus>& aReply)
{
  if (!IsError(aReply)) {
    this->TakeStatus(aAttempt, ValueOf(aReply));
    return;
  }
  auto* task = this->Find(aAttempt);
  const bool isFenced = ErrorOf(aReply).code == ErrorCode::StaleTerm;
  if (task && isFenced && task->stage == TaskStage::Uncertain) {
    this->Lose(*task);
  }
}

void
Executor::Lose(OwnedTask& aTask)
{
  (void)this->environment.scheduler.Cancel(aTask.spec.id);
  this->environment.scheduler.ReportEnd(
    aTask.spec.id, TaskOutcome::Stopped, this->environment.clock.Now());
  if (aTask.claim == ClaimMode::None && this->checksAt[aTask.worker] > 0) {
    --this->checksAt[aTask.worker];
  }
  this->Tell(aTask, TaskLost{ .attempt = aTask.Attempt(), .worker = aTask.worker });
  this->tasks.erase(aTask.spec.id);
  this->Wake();
}

void
Executor::TakeStatus(const AttemptId& aAttempt, const TaskStatus& aStatus)
{
  auto* task = this->Find(aAttempt);
  if (!task || !task->HasWorker() || aStatus.state == TaskState::Unknown) {
    return;
  }
  if (aStatus.state == TaskState::Running) {
    this->NoteRunning(*task);
    return;
  }
  if (aStatus.neverStarted) {
    this->OnStartRefused(*task, NotRun(ErrorCode::Unavailable, "The start did not arrive."));
    return;
  }
  const bool cutShort =
    aStatus.state == TaskState::Stopped || aStatus.state == TaskState::Checkpointed;
  this->Finish(*task, aStatus, cutShort ? RunState::MayHaveRun : RunState::Ran);
}

void
Executor::NoteRunning(OwnedTask& aTask)
{
  const bool known = aTask.stage == TaskStage::Running;
  aTask.stage = TaskStage::Running;
  if (!known) {
    this->Tell(aTask, TaskStarted{ .attempt = aTask.Attempt(), .worker = aTask.worker });
  }
  const bool heldElsewhere = !this->fleet->Held(aTask.worker);
  if (heldElsewhere) {
    this->Tell(aTask, TaskLost{ .attempt = aTask.Attempt(), .worker = aTask.worker });
    this->tasks.erase(aTask.spec.id);
    return;
  }
  if (!known && (aTask.stopRequested || aTask.checkpointRequested)) {
    this->AskToLeave(aTask);
  }
}

void
Executor::Finish(OwnedTask& aTask, const TaskStatus& aStatus, RunState aRun)
{
  const auto now = this->environment.clock.Now();
  this->environment.record(
    { .spec = aTask.spec,
      .waited = std::chrono::duration_cast<Milliseconds>(aTask.startedAt - aTask.queuedAt),
      .ran = std::chrono::duration_cast<Milliseconds>(now - aTask.startedAt),
      .state = aStatus.state });
  const TaskEnded end{ .attempt = aTask.Attempt(),
                       .state = aStatus.state,
                       .run = aRun,
                       .result = aStatus.result,
                       .progress = aStatus.progress };
  if (aStatus.state == TaskState::Succeeded) {
    this->BudgetOf(aTask.spec.queue).NoteServed();
  }
  const bool preempted = aStatus.state == TaskState::Checkpointed && !aTask.stopRequested;
  if (preempted && aTask.spec.gangSize == 1) {
    this->environment.scheduler.ReportEnd(aTask.spec.id, TaskOutcome::Stopped, now);
    this->Requeue(aTask, end);
    return;
  }
  if (this->MayRetry(aTask, aStatus)) {
    this->environment.scheduler.ReportEnd(aTask.spec.id, OutcomeOf(aStatus.state), now);
    this->Retry(aTask);
    return;
  }
  this->Forget(aTask, end, OutcomeOf(aStatus.state));
}

void
Executor::Requeue(OwnedTask& aTask, const TaskEnded& aEnd)
{
  const bool wasPreempted = aEnd.state == TaskState::Checkpointed;
  if (!wasPreempted) {
    this->environment.scheduler.ReportEnd(
      aTask.spec.id, TaskOutcome::NotStarted, this->environment.clock.Now());
  }
  if (aTask.claim == ClaimMode::None && aTask.stage != TaskStage::Queued &&
      this->checksAt[aTask.worker] > 0) {
    --this->checksAt[aTask.worker];
  }
  auto end = aEnd;
  end.after = AfterEnd::Requeued;
  if (aTask.claim == ClaimMode::Required) {
    this->Tell(aTask, std::move(end));
  }
  aTask.mayHaveRun = aTask.mayHaveRun || aEnd.run != RunState::NotRun;
  aTask.spec.attempt += 1;
  aTask.checkpointRequested = false;
  aTask.spec.progress = aEnd.progress.empty() ? aTask.spec.progress : aEnd.progress;
  aTask.stage = TaskStage::Queued;
  if (aTask.isUnscheduled) {
    this->EnqueueAgain(aTask);
  }
  this->Wake();
}

void
Executor::Forget(OwnedTask& aTask, const TaskEnded& aEnd, TaskOutcome aOutcome)
{
  // A cancelled task is not queued again whatever its outcome.
  if (aOutcome == TaskOutcome::Stopped) {
    (void)this->environment.scheduler.Cancel(aTask.spec.id);
  }
  this->environment.scheduler.ReportEnd(aTask.spec.id, aOutcome, this->environment.clock.Now());
  if (aTask.claim == ClaimMode::None && this->checksAt[aTask.worker] > 0) {
    --this->checksAt[aTask.worker];
  }
  this->Tell(aTask, aEnd);
  this->tasks.erase(aTask.spec.id);
  this->Wake();
}

bool
Executor::MayRetry(const OwnedTask& aTask, const TaskStatus& aStatus)
{
  const bool unsuccessful =
    aStatus.state == TaskState::Failed || aStatus.state == TaskState::Stopped;
  const bool allowed = aTask.claim == ClaimMode::None && !aTask.stopRequested &&
                       aTask.spec.idempotence == Idempotence::Idempotent;
  const auto* queue = this->document.FindQueue(aTask.spec.queue);
  if (!unsuccessful || !allowed || !queue || aTask.spec.attempt >= queue->maxAttempts) {
    return false;
  }
  return this->BudgetOf(aTask.spec.queue).TryTake();
}

void
Executor::Retry(OwnedTask& aTask)
{
  if (this->checksAt[aTask.worker] > 0) {
    --this->checksAt[aTask.worker];
  }
  aTask.mayHaveRun = true;
  aTask.checkpointRequested = false;
  aTask.spec.attempt += 1;
  aTask.stage = TaskStage::Queued;
  this->EnqueueAgain(aTask);
  this->Wake();
}

void
Executor::EnqueueAgain(OwnedTask& aTask)
{
  const auto now = this->environment.clock.Now();
  const auto waited = std::chrono::duration_cast<Milliseconds>(now - aTask.queuedAt);
  aTask.isUnscheduled = false;
  auto spec = aTask.spec;
  if (spec.deadline) {
    spec.deadline = std::max(*spec.deadline - waited, Milliseconds{ 0 });
  }
  const auto queued = this->environment.scheduler.Enqueue(std::move(spec), now);
  if (IsError(queued)) {
    this->Refuse(aTask, ErrorOf(queued));
  }
}

void
Executor::AbandonGang(const JobId& aJob)
{
  std::vector<AttemptId> members;
  for (const auto& [id, task] : this->tasks) {
    if (task.spec.job == aJob) {
      members.push_back(task.Attempt());
    }
  }
  for (const auto& attempt : members) {
    this->Stop({ .attempt = attempt });
  }
}

bool
Executor::Adopt(const WorkerId& aWorker, LeaseTerm aTerm, const TaskStatus& aStatus)
{
  const AttemptId attempt{ .task = aStatus.spec.id, .attempt = aStatus.spec.attempt };
  if (auto* known = this->Find(attempt)) {
    const bool runs = aStatus.state == TaskState::Running;
    known->worker = aWorker;
    known->term = aTerm;
    if (runs) {
      known->isUnscheduled = false;
      this->environment.scheduler.Adopt(known->spec, aWorker, this->environment.clock.Now());
    }
    this->TakeStatus(attempt, aStatus);
    return runs;
  }
  if (aStatus.state != TaskState::Running) {
    return false;
  }
  if (const auto* waiting = this->Find(attempt.task)) {
    // The task has been placed here again; its claim will be refused while this attempt runs.
    const auto again = waiting->Attempt();
    (void)this->environment.scheduler.Cancel(again.task);
    this->environment.scheduler.ReportEnd(
      again.task, TaskOutcome::Stopped, this->environment.clock.Now());
    this->tasks.erase(again.task);
  }
  const auto now = this->environment.clock.Now();
  OwnedTask task{ .spec = aStatus.spec,
                  .claim = aStatus.spec.workClass == WorkClass::Check &&
                               aStatus.spec.idempotence == Idempotence::Idempotent
                             ? ClaimMode::None
                             : ClaimMode::Required,
                  .stage = TaskStage::Running,
                  .worker = aWorker,
                  .term = aTerm,
                  .queuedAt = now,
                  .startedAt = now };
  this->environment.scheduler.Adopt(task.spec, aWorker, now);
  this->Tell(task, TaskStarted{ .attempt = attempt, .worker = aWorker });
  this->tasks.emplace(attempt.task, std::move(task));
  return true;
}

RetryBudget&
Executor::BudgetOf(const QueueId& aQueue)
{
  return this->budgets.try_emplace(aQueue, RetryBudget(0.0)).first->second;
}

}
