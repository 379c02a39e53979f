#include <LibDriver/CheckRunner.h>

#include <LibDriver/TaskFactory.h>
#include <fmt/format.h>
#include <vector>

namespace zinc {

namespace {

/// Wait for the outcome of a check that started just before its deadline, or that has none.
constexpr Milliseconds kRunAllowance{ 2000 };
constexpr Milliseconds kDefaultDeadline{ 30'000 };
constexpr Milliseconds kAskAgain{ 500 };

}

CheckRunner::CheckRunner(CheckRunnerEnvironment aEnvironment)
  : environment(std::move(aEnvironment))
{
}

void
CheckRunner::Run(const Submission& aSubmission, const Queue& aQueue, Handler aHandler)
{
  const RoutingRequest request{ .request = aSubmission.resources,
                                .workClass = aQueue.workClass,
                                .reach = aQueue.reach };
  const auto owner = this->environment.router.Choose(request);
  if (owner.IsEmpty()) {
    aHandler(NotRun(ErrorCode::Unavailable, "No worker in reach can take the check.", kAskAgain));
    return;
  }
  const JobId job{ fmt::format("check-{:016x}-{}", this->environment.seed, ++this->started) };
  auto task = MakeCheckTask(aSubmission, aQueue, job);
  const auto allowance = std::max(kRunAllowance, task.expectedRun * 2);
  const auto wait = task.deadline.value_or(kDefaultDeadline) + allowance;
  this->checks.emplace(task.id,
                       Check{ .request = aSubmission.request,
                              .job = job,
                              .owner = owner,
                              .giveUpAt = this->environment.clock.Now() + wait,
                              .handler = std::move(aHandler) });
  this->environment.send(owner, PlaceTask{ .task = std::move(task) });
}

void
CheckRunner::OnRefused(const TaskRefused& aNotice)
{
  this->Answer(aNotice.attempt.task, aNotice.verdict);
}

void
CheckRunner::OnEnded(const TaskEnded& aNotice)
{
  const auto found = this->checks.find(aNotice.attempt.task);
  if (found == this->checks.end()) {
    return;
  }
  switch (aNotice.state) {
    case TaskState::Succeeded:
      this->Answer(aNotice.attempt.task,
                   JobAnswer{ .request = found->second.request,
                              .job = found->second.job,
                              .state = JobState::Succeeded,
                              .run = RunState::Ran,
                              .result = aNotice.result });
      return;
    case TaskState::Failed:
      this->Answer(aNotice.attempt.task,
                   Verdict{ .code = ErrorCode::TaskFailed,
                            .run = RunState::Ran,
                            .message = "The check failed: " + aNotice.result });
      return;
    default:
      this->Answer(aNotice.attempt.task,
                   Verdict{ .code = ErrorCode::WorkerLost,
                            .run = aNotice.run,
                            .message = "The check was stopped before it ended.",
                            .retryAfter = kAskAgain });
  }
}

void
CheckRunner::OnLost(const TaskLost& aNotice)
{
  this->Answer(
    aNotice.attempt.task,
    MayHaveRun(ErrorCode::WorkerLost, "The worker that ran the check was lost.", kAskAgain));
}

void
CheckRunner::OnOwnerDead(const EntryId& aOwner)
{
  std::vector<TaskId> orphans;
  for (const auto& [task, check] : this->checks) {
    if (check.owner == aOwner) {
      orphans.push_back(task);
    }
  }
  for (const auto& task : orphans) {
    this->Answer(task,
                 MayHaveRun(ErrorCode::WorkerLost,
                            "The entry instance that placed the check was lost.",
                            kAskAgain));
  }
}

void
CheckRunner::Tick()
{
  const auto now = this->environment.clock.Now();
  std::vector<TaskId> late;
  for (const auto& [task, check] : this->checks) {
    if (now >= check.giveUpAt) {
      late.push_back(task);
    }
  }
  for (const auto& task : late) {
    this->Answer(task,
                 MayHaveRun(ErrorCode::Timeout, "The check was not answered in time.", kAskAgain));
  }
}

void
CheckRunner::AnswerAll()
{
  while (!this->checks.empty()) {
    const auto task = this->checks.begin()->first;
    this->Answer(task,
                 MayHaveRun(ErrorCode::Draining, "The instance ends before the check.", kAskAgain));
  }
}

void
CheckRunner::Answer(const TaskId& aTask, Result<JobAnswer> aAnswer)
{
  const auto found = this->checks.find(aTask);
  if (found == this->checks.end()) {
    return;
  }
  const auto handler = std::move(found->second.handler);
  this->checks.erase(found);
  handler(std::move(aAnswer));
}

}
