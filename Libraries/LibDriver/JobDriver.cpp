#include <LibDriver/JobDriver.h>

#include <LibDriver/TaskFactory.h>
#include <LibLedger/LedgerKeys.h>
#include <algorithm>
#include <set>

namespace zinc {

namespace {

constexpr Milliseconds kAskAgain{ 500 };
constexpr Milliseconds kResolveEvery{ 1000 };
constexpr Milliseconds kFirstPostponement{ 100 };
constexpr Milliseconds kLongestPostponement{ 5000 };
constexpr Milliseconds kTakeOverRetry{ 500 };
/// Time between readings of what other entry instances appended.
constexpr Milliseconds kRefreshEvery{ 1000 };
constexpr std::uint32_t kMostDoublings = 6;
constexpr std::uint32_t kDefaultAttempts = 3;
/// Lost workers after which a task is given up, since it may be what takes them down.
constexpr std::uint32_t kMaxLostWorkers = 3;

Verdict
UnknownJob()
{
  return NotRun(ErrorCode::NotFound, "No job of this team has this request id.");
}

/// True for tasks about which nothing is to be waited for before the job can end.
bool
IsAtRest(const DrivenTask& aTask)
{
  return aTask.stage == DriveStage::Idle;
}

bool
HasSucceeded(const LedgerTask& aTask)
{
  return aTask.outcome && aTask.outcome->state == TaskState::Succeeded;
}

bool
HasFailed(const LedgerTask& aTask)
{
  return aTask.outcome && aTask.outcome->state == TaskState::Failed;
}

/// Resolves attempts that were recorded although their claim was refused, or whose end was not
/// recorded before the next claim: no owner will report them.
void
ResolveUnclaimed(DrivenJob& aJob, const LedgerJob& aRecorded)
{
  for (TaskIndex index = 0; index < aJob.tasks.size(); ++index) {
    auto& task = aJob.tasks.at(index);
    if (task.stage == DriveStage::Idle && aRecorded.tasks.at(index).IsOpen()) {
      task.stage = DriveStage::Resolving;
      task.owner = {};
    }
  }
}

/// True if the last attempt may have run without an end of its own.
bool
IsDoubtful(const LedgerTask& aTask)
{
  return aTask.outcome && aTask.outcome->state == TaskState::Stopped &&
         aTask.outcome->run != RunState::NotRun;
}

}

JobDriver::JobDriver(JobDriverOptions aOptions, JobDriverEnvironment aEnvironment)
  : options(std::move(aOptions))
  , environment(std::move(aEnvironment))
{
}

void
JobDriver::Submit(const Submission& aSubmission,
                  const Queue& aQueue,
                  Milliseconds aWait,
                  Handler aHandler)
{
  auto record = MakeAcceptedRecord(aSubmission, aQueue, this->environment.wallClock());
  record.job = this->environment.ledger.NewJobId(aSubmission.team, aSubmission.request);
  record.zone = this->options.zone;
  record.acceptedBy = this->options.self;
  this->environment.ledger.Append(
    std::move(record),
    [this, aWait, handler = std::move(aHandler)](const Result<AppendReceipt>& aReceipt) {
      if (IsError(aReceipt)) {
        handler(ErrorOf(aReceipt));
        return;
      }
      this->Await(ValueOf(aReceipt).job, aWait, handler);
    });
}

void
JobDriver::Query(const TeamId& aTeam,
                 const RequestId& aRequest,
                 Milliseconds aWait,
                 Handler aHandler)
{
  const auto* known = this->environment.ledger.Find(aTeam, aRequest);
  if (known) {
    this->Await(known->accepted.job, aWait, std::move(aHandler));
    return;
  }
  const auto shard = this->environment.ledger.ShardOf(aTeam, aRequest);
  this->environment.ledger.Refresh(
    shard,
    [this, aTeam, aRequest, aWait, handler = std::move(aHandler)](const Result<Done>& aDone) {
      const auto* found = this->environment.ledger.Find(aTeam, aRequest);
      if (found) {
        this->Await(found->accepted.job, aWait, handler);
        return;
      }
      handler(IsError(aDone) ? ErrorOf(aDone) : UnknownJob());
    });
}

void
JobDriver::Cancel(const TeamId& aTeam, const RequestId& aRequest, Handler aHandler)
{
  this->Query(aTeam,
              aRequest,
              Milliseconds{ 0 },
              [this, handler = std::move(aHandler)](const Result<JobAnswer>& aAnswer) {
                if (IsError(aAnswer) || IsFinal(ValueOf(aAnswer).state)) {
                  handler(aAnswer);
                  return;
                }
                const auto job = ValueOf(aAnswer).job;
                this->environment.ledger.Append(
                  CancelledRecord{ .job = job },
                  [this, job, handler](const Result<AppendReceipt>& aReceipt) {
                    if (IsError(aReceipt) && ErrorOf(aReceipt).code != ErrorCode::Conflict) {
                      handler(ErrorOf(aReceipt));
                      return;
                    }
                    this->Await(job, Milliseconds{ 0 }, handler);
                  });
              });
}

void
JobDriver::Drive(std::vector<ShardIndex> aShards)
{
  this->wanted = std::move(aShards);
  std::erase_if(this->jobs, [this](const auto& aItem) {
    const auto shard = ShardOfJob(aItem.first);
    return !shard || !this->IsDriven(*shard);
  });
}

void
JobDriver::OnOwnerDead(const EntryId& aOwner)
{
  const auto now = this->environment.clock.Now();
  for (auto& [id, job] : this->jobs) {
    for (auto& task : job.tasks) {
      if (task.owner != aOwner) {
        continue;
      }
      if (task.stage == DriveStage::Placed) {
        task = { .dueAt = now };
      }
      if (task.stage == DriveStage::Open) {
        task.stage = DriveStage::Resolving;
        task.dueAt = now;
      }
      if (task.stage == DriveStage::Claiming) {
        task.owner = {};
      }
    }
  }
}

void
JobDriver::OnRefused(const EntryId& aFrom, const TaskRefused& aNotice)
{
  const auto view = this->View(aNotice.attempt.task);
  const bool current = view && view->task.stage == DriveStage::Placed && view->task.owner == aFrom;
  if (!current) {
    return;
  }
  this->Postpone(view->task);
  const bool hasRun = view->recordedTask.attempt > 0;
  const auto& verdict = aNotice.verdict;
  const bool isFinal =
    verdict.code == ErrorCode::DeadlineExceeded || verdict.code == ErrorCode::Impossible;
  const bool givesUp =
    isFinal || (IsAnsweredInline({ .workClass = view->recorded.accepted.workClass }) &&
                verdict.code != ErrorCode::Cancelled);
  if (givesUp) {
    this->EndJob(
      view->job, JobEnd::Failed, hasRun ? RunState::MayHaveRun : RunState::NotRun, verdict.message);
    return;
  }
  this->Advance(view->job.id);
}

void
JobDriver::OnClaim(const EntryId& aFrom, const ClaimTask& aNotice)
{
  const auto view = this->View(aNotice.attempt.task);
  const auto refuse = [this, aFrom, attempt = aNotice.attempt](Verdict aVerdict) {
    this->environment.send(aFrom,
                           ClaimDecided{ .attempt = attempt, .refusal = std::move(aVerdict) });
  };
  if (view && view->task.stage == DriveStage::Claiming && view->task.owner == aFrom) {
    // A repetition; the first is being recorded.
    return;
  }
  const bool granted =
    view && view->task.stage == DriveStage::Open && view->task.owner == aFrom &&
    view->recordedTask.IsOpen() && view->recordedTask.attempt == aNotice.attempt.attempt &&
    view->recordedTask.worker == aNotice.worker && view->recordedTask.term == aNotice.term;
  if (granted) {
    this->environment.send(aFrom, ClaimDecided{ .attempt = aNotice.attempt });
    return;
  }
  const bool startable =
    view && !view->job.isEnding && !view->recorded.isCancelled &&
    (view->task.stage == DriveStage::Placed || view->task.stage == DriveStage::Idle ||
     view->task.stage == DriveStage::Ending);
  if (!startable) {
    refuse(NotRun(ErrorCode::Conflict, "The task is not to be started."));
    return;
  }
  view->task.stage = DriveStage::Claiming;
  view->task.owner = aFrom;
  const AttemptRecord record{ .job = view->job.id,
                              .task = view->index,
                              .attempt = aNotice.attempt.attempt,
                              .worker = aNotice.worker,
                              .term = aNotice.term,
                              .epoch = this->EpochOf(view->job.id) };
  this->environment.ledger.Append(
    record,
    [this, aFrom, refuse, attempt = aNotice.attempt](const Result<AppendReceipt>& aReceipt) {
      const auto claimed = this->View(attempt.task);
      if (IsError(aReceipt)) {
        if (claimed && claimed->task.stage == DriveStage::Claiming) {
          this->Postpone(claimed->task);
        }
        refuse(ErrorOf(aReceipt));
        return;
      }
      const bool isPending = claimed && claimed->task.stage == DriveStage::Claiming;
      if (isPending && claimed->task.owner != aFrom) {
        claimed->task.stage = DriveStage::Resolving;
        refuse(NotRun(ErrorCode::Unavailable, "The owner was lost before the start."));
        return;
      }
      if (isPending) {
        claimed->task.stage = DriveStage::Open;
        claimed->task.refusals = 0;
      }
      this->environment.send(aFrom, ClaimDecided{ .attempt = attempt });
    });
}

void
JobDriver::OnStarted(const EntryId& aFrom, const TaskStarted& aNotice)
{
  const auto view = this->View(aNotice.attempt.task);
  const bool current =
    view && view->recordedTask.IsOpen() && view->recordedTask.attempt == aNotice.attempt.attempt;
  if (!current) {
    return;
  }
  view->task.stage = DriveStage::Open;
  view->task.owner = aFrom;
  view->task.isRunning = true;
  if (view->recorded.isCancelled) {
    this->environment.send(aFrom, StopTask{ .attempt = aNotice.attempt });
  }
}

void
JobDriver::OnEnded(const EntryId& aFrom, const TaskEnded& aNotice)
{
  const auto view = this->View(aNotice.attempt.task);
  if (!view) {
    return;
  }
  const bool recorded =
    view->recordedTask.IsOpen() && view->recordedTask.attempt == aNotice.attempt.attempt;
  if (!recorded && view->task.stage != DriveStage::Claiming) {
    return;
  }
  view->task.owner = aNotice.after == AfterEnd::Requeued ? aFrom : EntryId{};
  this->RecordOutcome(aNotice.attempt, aNotice);
}

void
JobDriver::OnLost(const EntryId&, const TaskLost& aNotice)
{
  const auto view = this->View(aNotice.attempt.task);
  if (view && view->task.stage == DriveStage::Open) {
    view->task.stage = DriveStage::Resolving;
    view->task.dueAt = this->environment.clock.Now();
  }
}

void
JobDriver::Tick()
{
  const auto now = this->environment.clock.Now();
  if (now - this->lastTakeOver >= kTakeOverRetry) {
    this->lastTakeOver = now;
    for (const auto shard : this->wanted) {
      this->TakeOver(shard);
    }
  }
  this->RefreshDue();
  std::vector<JobId> ids;
  for (const auto& [id, job] : this->jobs) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    const auto found = this->jobs.find(id);
    const auto* recorded = this->environment.ledger.Find(id);
    if (found == this->jobs.end() || !recorded) {
      continue;
    }
    this->PlaceDue(found->second, *recorded);
  }
  for (auto& [id, list] : this->waiters) {
    const auto* recorded = this->environment.ledger.Find(id);
    std::vector<JobWaiter> late;
    std::erase_if(list, [&](JobWaiter& aWaiter) {
      if (aWaiter.until > now) {
        return false;
      }
      late.push_back(std::move(aWaiter));
      return true;
    });
    for (const auto& waiter : late) {
      waiter.handler(recorded ? this->AnswerOf(*recorded)
                              : MayHaveRun(ErrorCode::Unavailable, "Ask again.", kAskAgain));
    }
  }
  std::erase_if(this->waiters, [](const auto& aItem) { return aItem.second.empty(); });
}

void
JobDriver::RefreshDue()
{
  const auto now = this->environment.clock.Now();
  if (now - this->lastRefresh < kRefreshEvery) {
    return;
  }
  this->lastRefresh = now;
  std::set<ShardIndex> due(this->wanted.begin(), this->wanted.end());
  for (const auto& [id, list] : this->waiters) {
    const auto shard = ShardOfJob(id);
    if (shard) {
      due.insert(*shard);
    }
  }
  for (const auto shard : due) {
    if (this->environment.ledger.IsOpen(shard)) {
      this->environment.ledger.Refresh(shard, [](const Result<Done>&) {});
    }
  }
}

std::size_t
JobDriver::OpenWaiters() const
{
  std::size_t count = 0;
  for (const auto& [id, list] : this->waiters) {
    count += list.size();
  }
  return count;
}

void
JobDriver::RecordApplied(ShardIndex aShard, const EntryId&, const Record& aRecord)
{
  const auto* id = JobOf(aRecord);
  if (!id) {
    return;
  }
  if (std::holds_alternative<JobEndedRecord>(aRecord)) {
    this->AnswerWaiters(*id);
    this->jobs.erase(*id);
    return;
  }
  const auto* recorded = this->environment.ledger.Find(*id);
  if (!recorded || !this->IsDriven(aShard)) {
    return;
  }
  if (std::holds_alternative<AcceptedRecord>(aRecord)) {
    this->StartDriving(*recorded);
    return;
  }
  const auto* outcome = std::get_if<OutcomeRecord>(&aRecord);
  if (outcome) {
    const auto view = this->View(TaskIdOf(*id, outcome->task));
    if (view && view->task.stage != DriveStage::Claiming) {
      const bool requeued = !view->task.owner.IsEmpty();
      view->task.stage = requeued ? DriveStage::Placed : DriveStage::Idle;
      view->task.isRunning = false;
    }
    this->Advance(*id);
  }
  if (std::holds_alternative<CancelledRecord>(aRecord)) {
    this->Advance(*id);
  }
}

void
JobDriver::ShardReloaded(ShardIndex aShard)
{
  if (this->IsDriven(aShard)) {
    this->Adopt(aShard);
  }
}

std::optional<JobDriver::TaskView>
JobDriver::View(const TaskId& aTask)
{
  const auto address = ParseTaskId(aTask);
  if (!address) {
    return {};
  }
  const auto job = this->jobs.find(address->job);
  const auto* recorded = this->environment.ledger.Find(address->job);
  if (job == this->jobs.end() || !recorded || address->task >= recorded->tasks.size()) {
    return {};
  }
  return TaskView{ .job = job->second,
                   .task = job->second.tasks.at(address->task),
                   .recorded = *recorded,
                   .recordedTask = recorded->tasks.at(address->task),
                   .index = address->task };
}

bool
JobDriver::IsDriven(ShardIndex aShard) const
{
  return std::ranges::find(this->wanted, aShard) != this->wanted.end() &&
         this->environment.ledger.Driver(aShard, this->options.zone).entry == this->options.self;
}

DriverEpoch
JobDriver::EpochOf(const JobId& aJob) const
{
  const auto shard = ShardOfJob(aJob);
  return shard ? this->environment.ledger.Driver(*shard, this->options.zone).epoch : 0;
}

void
JobDriver::TakeOver(ShardIndex aShard)
{
  const bool driving = this->environment.ledger.IsOpen(aShard) && this->IsDriven(aShard);
  auto& busy = this->takingOver[aShard];
  if (driving || busy) {
    return;
  }
  busy = true;
  this->environment.ledger.TakeOver(aShard, [this, aShard](const Result<DriverEpoch>& aEpoch) {
    this->takingOver[aShard] = false;
    if (!IsError(aEpoch)) {
      this->Adopt(aShard);
    }
  });
}

void
JobDriver::Adopt(ShardIndex aShard)
{
  std::erase_if(this->jobs,
                [aShard](const auto& aItem) { return ShardOfJob(aItem.first) == aShard; });
  std::vector<JobId> unfinished;
  this->environment.ledger.ForEachUnfinished(
    aShard, [&](const LedgerJob& aJob) { unfinished.push_back(aJob.accepted.job); });
  for (const auto& id : unfinished) {
    const auto* recorded = this->environment.ledger.Find(id);
    if (recorded) {
      this->StartDriving(*recorded);
    }
  }
}

void
JobDriver::StartDriving(const LedgerJob& aJob)
{
  const bool elsewhere = aJob.accepted.zone != this->options.zone;
  if (elsewhere || aJob.ended || this->jobs.contains(aJob.accepted.job)) {
    return;
  }
  const auto now = this->environment.clock.Now();
  DrivenJob job{ .id = aJob.accepted.job };
  for (const auto& task : aJob.tasks) {
    const auto stage = task.IsOpen() ? DriveStage::Resolving : DriveStage::Idle;
    job.tasks.push_back({ .stage = stage, .dueAt = now });
  }
  this->jobs.emplace(aJob.accepted.job, std::move(job));
  this->Advance(aJob.accepted.job);
}

void
JobDriver::Advance(const JobId& aJob)
{
  const auto found = this->jobs.find(aJob);
  const auto* recorded = this->environment.ledger.Find(aJob);
  if (found == this->jobs.end() || !recorded || found->second.isEnding || recorded->ended) {
    return;
  }
  ResolveUnclaimed(found->second, *recorded);
  if (recorded->isCancelled) {
    this->AdvanceCancelled(found->second, *recorded);
    return;
  }
  if (recorded->accepted.workClass == WorkClass::AllAtOnce) {
    this->AdvanceGang(found->second, *recorded);
  } else {
    for (TaskIndex task = 0; task < recorded->tasks.size(); ++task) {
      this->AdvanceTask(found->second, *recorded, task);
    }
  }
  if (!found->second.isEnding) {
    this->PlaceDue(found->second, *recorded);
  }
}

void
JobDriver::AdvanceCancelled(DrivenJob& aJob, const LedgerJob& aRecorded)
{
  bool atRest = true;
  bool hasRun = false;
  for (TaskIndex index = 0; index < aRecorded.tasks.size(); ++index) {
    auto& task = aJob.tasks.at(index);
    const auto& recordedTask = aRecorded.tasks.at(index);
    const bool ran = recordedTask.outcome && recordedTask.outcome->run != RunState::NotRun;
    hasRun = hasRun || ran || recordedTask.IsOpen();
    const bool known = task.stage == DriveStage::Placed || task.stage == DriveStage::Open;
    if (known && !task.owner.IsEmpty()) {
      const auto attempt = std::max(recordedTask.attempt, 1U);
      this->environment.send(
        task.owner,
        StopTask{ .attempt = { .task = TaskIdOf(aJob.id, index), .attempt = attempt } });
    }
    if (task.stage == DriveStage::Placed) {
      task = {};
    }
    atRest = atRest && IsAtRest(task);
  }
  if (atRest) {
    this->EndJob(aJob,
                 JobEnd::Cancelled,
                 hasRun ? RunState::MayHaveRun : RunState::NotRun,
                 "The job was cancelled.");
  }
}

void
JobDriver::AdvanceGang(DrivenJob& aJob, const LedgerJob& aRecorded)
{
  const bool atRest = std::ranges::all_of(aJob.tasks, IsAtRest);
  const bool failed = std::ranges::any_of(aRecorded.tasks, HasFailed);
  if (std::ranges::all_of(aRecorded.tasks, HasSucceeded)) {
    this->EndJob(aJob, JobEnd::Succeeded, RunState::Ran, aRecorded.tasks.front().outcome->result);
    return;
  }
  if (!atRest) {
    if (!failed) {
      return;
    }
    for (TaskIndex index = 0; index < aJob.tasks.size(); ++index) {
      const auto& task = aJob.tasks.at(index);
      if (task.stage == DriveStage::Open && !task.owner.IsEmpty()) {
        const AttemptId attempt{ .task = TaskIdOf(aJob.id, index),
                                 .attempt = aRecorded.tasks.at(index).attempt };
        this->environment.send(task.owner, StopTask{ .attempt = attempt });
      }
    }
    return;
  }
  const auto attempts = std::ranges::max(aRecorded.tasks, {}, &LedgerTask::attempt).attempt;
  const bool mayRepeat = aRecorded.accepted.idempotence == Idempotence::Idempotent &&
                         attempts < this->MaxAttempts(aRecorded);
  const bool doubtful = std::ranges::any_of(aRecorded.tasks, IsDoubtful);
  if ((failed || doubtful) && !mayRepeat) {
    this->EndJob(aJob,
                 JobEnd::Failed,
                 failed ? RunState::Ran : RunState::MayHaveRun,
                 "A task of the job failed.");
  }
}

void
JobDriver::AdvanceTask(DrivenJob& aJob, const LedgerJob& aRecorded, TaskIndex aTask)
{
  const auto& recordedTask = aRecorded.tasks.at(aTask);
  auto& task = aJob.tasks.at(aTask);
  const bool ended = recordedTask.outcome && IsAtRest(task);
  if (!ended || aJob.isEnding) {
    return;
  }
  if (aRecorded.accepted.workClass == WorkClass::Service) {
    return;
  }
  if (HasSucceeded(recordedTask)) {
    if (std::ranges::all_of(aRecorded.tasks, HasSucceeded)) {
      this->EndJob(aJob, JobEnd::Succeeded, RunState::Ran, recordedTask.outcome->result);
    }
    return;
  }
  const bool idempotent = aRecorded.accepted.idempotence == Idempotence::Idempotent;
  const bool mayRepeat = idempotent && recordedTask.attempt < this->MaxAttempts(aRecorded);
  if (HasFailed(recordedTask) && !mayRepeat) {
    this->EndJob(aJob, JobEnd::Failed, RunState::Ran, recordedTask.outcome->result);
    return;
  }
  if (recordedTask.lostWorkers >= kMaxLostWorkers) {
    this->EndJob(aJob,
                 JobEnd::Failed,
                 RunState::MayHaveRun,
                 "The task was given up: each worker that ran it was lost.");
    return;
  }
  if (IsDoubtful(recordedTask) && !idempotent) {
    this->EndJob(
      aJob, JobEnd::Failed, RunState::MayHaveRun, "The worker was lost; the task may have run.");
  }
}

void
JobDriver::PlaceDue(DrivenJob& aJob, const LedgerJob& aRecorded)
{
  const auto now = this->environment.clock.Now();
  if (aJob.isEnding) {
    return;
  }
  ResolveUnclaimed(aJob, aRecorded);
  for (TaskIndex index = 0; index < aJob.tasks.size(); ++index) {
    auto& task = aJob.tasks.at(index);
    const bool due = now >= task.dueAt;
    if (task.stage == DriveStage::Resolving && due && !task.isAsking) {
      this->Resolve({ .job = aJob,
                      .task = task,
                      .recorded = aRecorded,
                      .recordedTask = aRecorded.tasks.at(index),
                      .index = index });
    }
  }
  if (aRecorded.isCancelled) {
    return;
  }
  if (aRecorded.accepted.workClass == WorkClass::AllAtOnce) {
    this->PlaceGang(aJob, aRecorded);
    return;
  }
  for (TaskIndex index = 0; index < aJob.tasks.size(); ++index) {
    auto& task = aJob.tasks.at(index);
    const bool isService = aRecorded.accepted.workClass == WorkClass::Service;
    const bool finished = !isService && HasSucceeded(aRecorded.tasks.at(index));
    if (finished || task.stage != DriveStage::Idle || now < task.dueAt) {
      continue;
    }
    const auto* queue = this->environment.findQueue(aRecorded.accepted.queue);
    const auto owner =
      this->environment.router.Choose({ .request = aRecorded.accepted.resources,
                                        .workClass = aRecorded.accepted.workClass,
                                        .reach = queue ? queue->reach : QueueReach::Zone });
    this->PlaceTask(aJob, aRecorded, index, owner);
  }
}

void
JobDriver::PlaceGang(DrivenJob& aJob, const LedgerJob& aRecorded)
{
  const auto now = this->environment.clock.Now();
  const bool ready = std::ranges::all_of(
    aJob.tasks, [now](const DrivenTask& aTask) { return IsAtRest(aTask) && now >= aTask.dueAt; });
  if (!ready) {
    return;
  }
  const auto* queue = this->environment.findQueue(aRecorded.accepted.queue);
  const auto owner =
    this->environment.router.Choose({ .request = aRecorded.accepted.resources,
                                      .workClass = WorkClass::AllAtOnce,
                                      .gangSize = aRecorded.accepted.tasks,
                                      .reach = queue ? queue->reach : QueueReach::Zone });
  for (TaskIndex index = 0; index < aJob.tasks.size(); ++index) {
    this->PlaceTask(aJob, aRecorded, index, owner);
  }
}

void
JobDriver::PlaceTask(DrivenJob& aJob,
                     const LedgerJob& aRecorded,
                     TaskIndex aTask,
                     const EntryId& aOwner)
{
  auto& task = aJob.tasks.at(aTask);
  if (aOwner.IsEmpty()) {
    this->Postpone(task);
    return;
  }
  task.stage = DriveStage::Placed;
  task.owner = aOwner;
  this->environment.send(
    aOwner,
    zinc::PlaceTask{ .task = MakeJobTask(aRecorded, aTask, this->environment.wallClock()),
                     .claim = ClaimMode::Required });
}

void
JobDriver::Postpone(DrivenTask& aTask)
{
  const auto doublings = std::min(aTask.refusals, kMostDoublings);
  const auto delay = std::min(kFirstPostponement * (1U << doublings), kLongestPostponement);
  aTask = { .dueAt = this->environment.clock.Now() + delay, .refusals = aTask.refusals + 1 };
}

void
JobDriver::RecordOutcome(const AttemptId& aAttempt, const TaskEnded& aEnd, EndSource aSource)
{
  const auto view = this->View(aAttempt.task);
  if (!view || view->task.stage == DriveStage::Ending) {
    return;
  }
  view->task.stage = DriveStage::Ending;
  const OutcomeRecord record{ .job = view->job.id,
                              .task = view->index,
                              .attempt = aAttempt.attempt,
                              .epoch = this->EpochOf(view->job.id),
                              .state = aEnd.state,
                              .run = aEnd.run,
                              .result = aEnd.result,
                              .progress = aEnd.progress,
                              .isWorkerLost = aSource == EndSource::WorkerLost };
  if (aEnd.state == TaskState::Failed || aEnd.run == RunState::NotRun) {
    view->task.dueAt = this->environment.clock.Now() + kFirstPostponement;
  }
  this->environment.ledger.Append(
    record, [this, aAttempt, aEnd](const Result<AppendReceipt>& aReceipt) {
      const auto ended = this->View(aAttempt.task);
      if (!IsError(aReceipt) || !ended || ended->task.stage != DriveStage::Ending) {
        return;
      }
      // The record is tried again: its worker keeps the outcome, and asking is idempotent.
      ended->task.stage = DriveStage::Resolving;
      ended->task.dueAt = this->environment.clock.Now() + kAskAgain;
    });
}

void
JobDriver::EndJob(DrivenJob& aJob, JobEnd aEnd, RunState aRun, std::string aResult)
{
  if (aJob.isEnding) {
    return;
  }
  aJob.isEnding = true;
  const JobEndedRecord record{ .job = aJob.id,
                               .epoch = this->EpochOf(aJob.id),
                               .end = aEnd,
                               .run = aRun,
                               .endedAt = this->environment.wallClock(),
                               .result = std::move(aResult) };
  this->environment.ledger.Append(
    record, [this, id = aJob.id](const Result<AppendReceipt>& aReceipt) {
      const auto found = this->jobs.find(id);
      if (IsError(aReceipt) && found != this->jobs.end()) {
        found->second.isEnding = false;
        for (auto& task : found->second.tasks) {
          task.dueAt = this->environment.clock.Now() + kAskAgain;
        }
        this->environment.ledger.Refresh(*ShardOfJob(id),
                                         [this, id](const Result<Done>&) { this->Advance(id); });
      }
    });
}

void
JobDriver::Resolve(const TaskView& aView)
{
  aView.task.dueAt = this->environment.clock.Now() + kResolveEvery;
  const auto worker = this->environment.probe(aView.recordedTask.worker);
  if (!worker) {
    this->ResolveUnlisted(aView);
    return;
  }
  aView.task.unlistedSince = {};
  this->AskWorker(aView, { .term = aView.recordedTask.term });
}

void
JobDriver::AskWorker(const TaskView& aView, const ResolutionStep& aStep)
{
  const auto worker = this->environment.probe(aView.recordedTask.worker);
  if (!worker) {
    return;
  }
  aView.task.isAsking = true;
  const AttemptId attempt{ .task = TaskIdOf(aView.job.id, aView.index),
                           .attempt = aView.recordedTask.attempt };
  worker->Inspect(
    attempt.task, attempt.attempt, [this, attempt, aStep](const Result<TaskStatus>& aReply) {
      this->OnInspected(attempt, aStep, aReply);
    });
}

void
JobDriver::OnInspected(const AttemptId& aAttempt,
                       const ResolutionStep& aStep,
                       const Result<TaskStatus>& aReply)
{
  const auto view = this->View(aAttempt.task);
  if (!view) {
    return;
  }
  view->task.isAsking = false;
  if (view->task.stage != DriveStage::Resolving || IsError(aReply)) {
    return;
  }
  const auto& status = ValueOf(aReply);
  if (status.state != TaskState::Unknown) {
    this->TakeStatus(aAttempt, status);
    return;
  }
  if (aStep.termIsOver) {
    // No start under the attempt's term is accepted any more, and none was before.
    this->RecordOutcome(aAttempt,
                        { .attempt = aAttempt,
                          .state = TaskState::Stopped,
                          .run = RunState::NotRun,
                          .result = "The start did not reach the worker." });
    return;
  }
  this->Forbid(*view, aAttempt, aStep.term);
}

void
JobDriver::Forbid(const TaskView& aView, const AttemptId& aAttempt, LeaseTerm aTerm)
{
  // A start that is still on its way must not run once the attempt is recorded as over.
  const auto worker = this->environment.probe(aView.recordedTask.worker);
  if (!worker) {
    return;
  }
  aView.task.isAsking = true;
  worker->Stop(aTerm,
               aAttempt.task,
               aAttempt.attempt,
               StopMode::Stop,
               [this, aAttempt, aTerm](const Result<TaskStatus>& aReply) {
                 this->OnForbidden(aAttempt, aTerm, aReply);
               });
}

void
JobDriver::OnForbidden(const AttemptId& aAttempt, LeaseTerm aTerm, const Result<TaskStatus>& aReply)
{
  const auto view = this->View(aAttempt.task);
  if (!view) {
    return;
  }
  view->task.isAsking = false;
  if (view->task.stage != DriveStage::Resolving) {
    return;
  }
  if (!IsError(aReply)) {
    this->TakeStatus(aAttempt, ValueOf(aReply));
    return;
  }
  if (ErrorOf(aReply).code == ErrorCode::StaleTerm) {
    this->AskWorker(*view, { .term = aTerm, .termIsOver = true });
  }
}

void
JobDriver::ResolveUnlisted(const TaskView& aView)
{
  const auto now = this->environment.clock.Now();
  if (aView.task.unlistedSince == TimePoint{}) {
    aView.task.unlistedSince = now;
  }
  if (now - aView.task.unlistedSince < this->options.unlistedTimeout) {
    return;
  }
  const AttemptId attempt{ .task = TaskIdOf(aView.job.id, aView.index),
                           .attempt = aView.recordedTask.attempt };
  // The owner has dropped the task with its worker, and will not start it again.
  aView.task.owner = {};
  this->RecordOutcome(attempt,
                      { .attempt = attempt,
                        .state = TaskState::Stopped,
                        .run = RunState::MayHaveRun,
                        .result = "The worker's instance is gone." },
                      EndSource::WorkerLost);
}

void
JobDriver::TakeStatus(const AttemptId& aAttempt, const TaskStatus& aStatus)
{
  const auto view = this->View(aAttempt.task);
  if (aStatus.state == TaskState::Running) {
    view->task.isRunning = true;
    return;
  }
  if (!IsEnded(aStatus.state)) {
    return;
  }
  const bool ran = aStatus.state == TaskState::Succeeded || aStatus.state == TaskState::Failed;
  const auto cutShort = aStatus.neverStarted ? RunState::NotRun : RunState::MayHaveRun;
  view->task.owner = {};
  this->RecordOutcome(aAttempt,
                      { .attempt = aAttempt,
                        .state = aStatus.state,
                        .run = ran ? RunState::Ran : cutShort,
                        .result = aStatus.result,
                        .progress = aStatus.progress });
}

void
JobDriver::AnswerWaiters(const JobId& aJob)
{
  const auto found = this->waiters.find(aJob);
  const auto* recorded = this->environment.ledger.Find(aJob);
  if (found == this->waiters.end() || !recorded) {
    return;
  }
  const auto list = std::move(found->second);
  this->waiters.erase(found);
  for (const auto& waiter : list) {
    waiter.handler(this->AnswerOf(*recorded));
  }
}

void
JobDriver::Await(const JobId& aJob, Milliseconds aWait, Handler aHandler)
{
  const auto* recorded = this->environment.ledger.Find(aJob);
  if (!recorded) {
    aHandler(UnknownJob());
    return;
  }
  if (recorded->ended || aWait <= Milliseconds{ 0 }) {
    aHandler(this->AnswerOf(*recorded));
    return;
  }
  this->waiters[aJob].push_back(
    { .until = this->environment.clock.Now() + aWait, .handler = std::move(aHandler) });
}

Result<JobAnswer>
JobDriver::AnswerOf(const LedgerJob& aJob) const
{
  JobAnswer answer{ .request = aJob.accepted.request,
                    .job = aJob.accepted.job,
                    .state = this->StateOf(aJob) };
  if (aJob.ended) {
    answer.run = aJob.ended->run;
    answer.result = aJob.ended->result;
    return answer;
  }
  const bool started =
    std::ranges::any_of(aJob.tasks, [](const LedgerTask& aTask) { return aTask.attempt > 0; });
  answer.run = started ? RunState::MayHaveRun : RunState::NotRun;
  return answer;
}

JobState
JobDriver::StateOf(const LedgerJob& aJob) const
{
  if (aJob.ended) {
    switch (aJob.ended->end) {
      case JobEnd::Succeeded:
        return JobState::Succeeded;
      case JobEnd::Failed:
        return JobState::Failed;
      case JobEnd::Cancelled:
        return JobState::Cancelled;
    }
  }
  const auto found = this->jobs.find(aJob.accepted.job);
  if (std::ranges::any_of(aJob.tasks, &LedgerTask::IsOpen)) {
    return JobState::Running;
  }
  return found == this->jobs.end() ? JobState::Accepted : JobState::Queued;
}

std::uint32_t
JobDriver::MaxAttempts(const LedgerJob& aJob) const
{
  const auto* queue = this->environment.findQueue(aJob.accepted.queue);
  return queue ? queue->maxAttempts : kDefaultAttempts;
}

}
