#pragma once

/// @file
/// Runs idempotent quick checks, of which nothing is kept.

#include <LibDriver/TaskRouter.h>
#include <LibJobs/JobAnswer.h>
#include <LibJobs/Submission.h>
#include <functional>
#include <unordered_map>

namespace zinc {

/// What a runner works with; all of it outlives the runner.
struct CheckRunnerEnvironment
{
  const Clock& clock;
  TaskRouter& router;
  std::function<void(const EntryId&, Notice)> send;
  /// Unlike on every process.
  std::uint64_t seed = 1;
};

/// Not thread-safe; used on the control thread.
class CheckRunner
{
public:
  using Handler = std::function<void(Result<JobAnswer>)>;

  explicit CheckRunner(CheckRunnerEnvironment aEnvironment);

  /// Runs a check and answers with its outcome, at the latest when its deadline has passed.
  void Run(const Submission& aSubmission, const Queue& aQueue, Handler aHandler);

  /// @return true if the task is one of the runner's.
  [[nodiscard]] bool Knows(const TaskId& aTask) const { return this->checks.contains(aTask); }

  void OnRefused(const TaskRefused& aNotice);
  void OnEnded(const TaskEnded& aNotice);
  void OnLost(const TaskLost& aNotice);

  /// Answers the checks that a dead owner had.
  void OnOwnerDead(const EntryId& aOwner);

  /// Applies deadlines.
  void Tick();

  /// Answers everything that is open, before the process ends.
  void AnswerAll();

  [[nodiscard]] std::size_t OpenChecks() const { return this->checks.size(); }

private:
  struct Check
  {
    RequestId request;
    JobId job;
    EntryId owner;
    TimePoint giveUpAt{};
    Handler handler;
  };

  void Answer(const TaskId& aTask, Result<JobAnswer> aAnswer);

  CheckRunnerEnvironment environment;
  std::unordered_map<TaskId, Check> checks;
  std::uint64_t started = 0;
};

}
