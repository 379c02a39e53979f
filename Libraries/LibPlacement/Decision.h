#pragma once

/// @file
/// What the scheduler decides and what it is told.

#include <LibBase/Identifier.h>
#include <LibBase/Task.h>
#include <LibBase/Verdict.h>
#include <array>
#include <variant>

namespace zinc {

/// A worker as the scheduler sees it.
struct WorkerInfo
{
  WorkerId id;
  ZoneId zone;
  RackId rack;
  Resources capacity;
};

/// Whether a worker takes new work.
enum class WorkerMode : std::uint8_t
{
  Accepting,
  /// Keeps what it runs, gets nothing new.
  Draining,
};

/// How a start or a run ended, as far as placement is concerned.
enum class TaskOutcome : std::uint8_t
{
  Succeeded,
  Failed,
  /// Ended on request: cancelled, or checkpointed after a @ref PreemptTask.
  Stopped,
  /// The worker refused the start or was lost; nothing of it runs.
  NotStarted,
};

/// Start this task on this worker; its resources are already taken.
struct StartTask
{
  TaskSpec task;
  WorkerId worker;
};

/// Why a running task is asked to leave its worker.
enum class PreemptReason : std::uint8_t
{
  /// Urgent work waits and the task's team is over its share.
  UrgentWork,
  /// A task of the same job has to start again, and they only run together.
  IncompleteGang,
  /// It uses more than was declared and the worker cannot hold it.
  ExceededRequest,
};

/// Checkpoint this running task; it is queued again in its old place once it is reported as
/// @ref TaskOutcome::Stopped.
struct PreemptTask
{
  TaskId task;
  WorkerId worker;
  PreemptReason reason = PreemptReason::UrgentWork;
};

/// Stop waiting for this task and answer with this verdict.
struct RejectTask
{
  TaskId task;
  Verdict verdict;
};

using Decision = std::variant<StartTask, PreemptTask, RejectTask>;

/// Summary that is told to peers.
struct SchedulerLoad
{
  Resources capacity;
  Resources used;
  /// Largest room on any one accepting worker, by amount.
  Resources largestRoom;
  std::array<std::uint32_t, kWorkClassCount> queued{};
  std::uint32_t running = 0;
};

}
