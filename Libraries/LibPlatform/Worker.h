#pragma once

/// @file
/// What the system assumes of a worker.

#include <LibBase/Task.h>
#include <LibBase/Verdict.h>
#include <functional>
#include <string>
#include <vector>

namespace zinc {

/// Rises with every change of lease holder at a worker.
using LeaseTerm = std::uint64_t;

/// Life of one attempt of a task at a worker.
enum class TaskState : std::uint8_t
{
  /// The worker has never seen this attempt.
  Unknown,
  Running,
  Succeeded,
  Failed,
  /// Stopped on request or because its lease lapsed; nothing of it runs.
  Stopped,
  /// Stopped with its progress kept.
  Checkpointed,
};

/// @return true if nothing of the attempt runs and nothing of it will.
[[nodiscard]] constexpr bool
IsEnded(TaskState aState)
{
  return aState != TaskState::Unknown && aState != TaskState::Running;
}

/// What a worker knows of an attempt.
struct TaskStatus
{
  TaskSpec spec;
  TaskState state = TaskState::Unknown;
  /// Output of an ended task, or why it failed.
  std::string result;
  /// What it uses, as last measured.
  Resources usage;
  /// Opaque progress of a checkpointed task; empty otherwise.
  std::string progress;
  /// True if the attempt was stopped before it ever started.
  bool neverStarted = false;
};

/// Asks for the worker's lease or renews it.
struct LeaseRequest
{
  EntryId holder;
  /// Term held; 0 to acquire.
  LeaseTerm term = 0;
  /// The lease lapses this long after the worker received the request.
  Milliseconds timeToLive{ 0 };
  /// Tasks are stopped this long after the last renewal by any holder.
  Milliseconds orphanTimeout{ 0 };
};

/// The worker's answer to the holder of its lease.
struct LeaseGrant
{
  LeaseTerm term = 0;
  /// Who held the lease before this term, whether it lapsed or was given up; empty if nobody did.
  EntryId previousHolder;
  Resources capacity;
  /// Sequence number of the newest event; events after it are polled for.
  std::uint64_t lastEvent = 0;
  /// Every running attempt and the ended ones that are still kept; a renewal leaves out ended ones
  /// that a poll under the same term has reported.
  std::vector<TaskStatus> tasks;
};

/// How a task is to be stopped or slowed.
enum class StopMode : std::uint8_t
{
  Stop,
  Checkpoint,
  Throttle,
};

/// Ended attempts and usage since the last poll.
struct EventBatch
{
  std::uint64_t lastEvent = 0;
  std::vector<TaskStatus> changes;
  /// True if the worker asks for no new work.
  bool leaving = false;
};

/// Asynchronous client of one worker. The worker runs a start only under the term of its current,
/// unlapsed lease, and an attempt only once however often its start arrives. Handlers run on the
/// control thread. A verdict of @ref RunState::NotRun is certain.
class Worker
{
public:
  template<typename T>
  using Handler = std::function<void(Result<T>)>;

  virtual ~Worker() = default;

  /// Acquires or renews the lease; fails with @ref ErrorCode::Conflict while another holds it.
  virtual void Lease(LeaseRequest aRequest, Handler<LeaseGrant> aHandler) = 0;

  /// Gives the lease up at once.
  virtual void Release(LeaseTerm aTerm, Handler<Done> aHandler) = 0;

  /// Starts an attempt. The worker may hold its reply back for @p aWait so that a short task is
  /// answered in one exchange; a longer one is answered as running.
  virtual void Start(LeaseTerm aTerm,
                     TaskSpec aTask,
                     Milliseconds aWait,
                     Handler<TaskStatus> aHandler) = 0;

  /// Stops, checkpoints or throttles an attempt. An attempt the worker has never seen is answered
  /// as stopped and will not be started by a late request.
  virtual void Stop(LeaseTerm aTerm,
                    TaskId aTask,
                    std::uint32_t aAttempt,
                    StopMode aMode,
                    Handler<TaskStatus> aHandler) = 0;

  /// Asks about one attempt. A worker that restarted has forgotten its attempts, so that only
  /// @ref Stop under the term of the start tells that an attempt never ran.
  virtual void Inspect(TaskId aTask, std::uint32_t aAttempt, Handler<TaskStatus> aHandler) = 0;

  /// Waits for events after @p aAfter for at most @p aWait; also renews the lease.
  virtual void Poll(LeaseTerm aTerm,
                    std::uint64_t aAfter,
                    Milliseconds aWait,
                    Handler<EventBatch> aHandler) = 0;
};

}
