#pragma once

/// @file
/// One-way messages between entry instances. They are delivered in order and at most once to a
/// live peer; a sender learns of a dead one from its membership.

#include <LibBase/Task.h>
#include <LibBase/Verdict.h>
#include <LibJobs/JobAnswer.h>
#include <LibJobs/Submission.h>
#include <LibLimits/QuotaManager.h>
#include <LibPlatform/Worker.h>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace zinc {

/// Names one attempt of a task.
struct AttemptId
{
  TaskId task;
  std::uint32_t attempt = 1;

  friend bool operator==(const AttemptId&, const AttemptId&) = default;
  friend bool operator<(const AttemptId& aLeft, const AttemptId& aRight)
  {
    return std::tie(aLeft.task, aLeft.attempt) < std::tie(aRight.task, aRight.attempt);
  }
};

/// Whether the origin records a start before it is sent.
enum class ClaimMode : std::uint8_t
{
  None,
  Required,
};

/// Origin to owner: queue this task.
struct PlaceTask
{
  TaskSpec task;
  ClaimMode claim = ClaimMode::None;
};

/// Owner to origin: the task was not queued or was given up before a start.
struct TaskRefused
{
  AttemptId attempt;
  Verdict verdict;
};

/// Owner to origin: may this attempt be started here?
struct ClaimTask
{
  AttemptId attempt;
  WorkerId worker;
  LeaseTerm term = 0;
};

/// Origin to owner: the answer to @ref ClaimTask; a verdict forbids the start.
struct ClaimDecided
{
  AttemptId attempt;
  std::optional<Verdict> refusal;
};

/// Owner to origin: the worker runs the attempt.
struct TaskStarted
{
  AttemptId attempt;
  WorkerId worker;
};

/// What becomes of a task after the end of an attempt.
enum class AfterEnd : std::uint8_t
{
  /// The owner has forgotten the task.
  Forgotten,
  /// The owner has queued it again and will claim its next attempt.
  Requeued,
};

/// Owner to origin: nothing of the attempt runs any more.
struct TaskEnded
{
  AttemptId attempt;
  TaskState state = TaskState::Failed;
  RunState run = RunState::Ran;
  std::string result;
  std::string progress;
  AfterEnd after = AfterEnd::Forgotten;
};

/// Owner to origin: the owner lost the worker's lease, so the attempt may still run there.
struct TaskLost
{
  AttemptId attempt;
  WorkerId worker;
};

/// Origin to owner: stop the attempt or take it out of the queue.
struct StopTask
{
  AttemptId attempt;
};

/// What a caller wants of the driver of its job.
enum class AskKind : std::uint8_t
{
  Submit,
  Query,
  Cancel,
};

/// Entry to driver: a caller's request, to be answered by @ref Reply with the same ticket.
struct Ask
{
  std::uint64_t ticket = 0;
  AskKind kind = AskKind::Submit;
  /// Only team and request id count for a query or a cancellation.
  Submission submission;
  /// Longest time until the reply.
  Milliseconds wait{ 0 };
};

/// Driver to entry.
struct Reply
{
  std::uint64_t ticket = 0;
  Result<JobAnswer> answer;
};

/// To entry instances that serve a team: allowance of its limit is wanted or has been returned.
struct AllowanceHinted
{
  TeamId team;
  QuotaHint hint = QuotaHint::Wanted;
};

/// To the previous holder of a worker's lease: what ran there is counted by the new one.
struct WorkerAdopted
{
  WorkerId worker;
};

using Notice = std::variant<PlaceTask,
                            TaskRefused,
                            ClaimTask,
                            ClaimDecided,
                            TaskStarted,
                            TaskEnded,
                            TaskLost,
                            StopTask,
                            Ask,
                            Reply,
                            AllowanceHinted,
                            WorkerAdopted>;

/// Notices in the order in which they are to be handled.
struct NoticeBatch
{
  EntryId from;
  /// A process that has taken the receiver's address over refuses the batch.
  EntryId to;
  /// Rises by one with every batch from this sender to this receiver; the first is 1.
  std::uint64_t sequence = 0;
  std::vector<Notice> notices;
};

}
