#pragma once

/// @file
/// Inputs and outputs of the scheduler.

#include <LibBase/Identifier.h>
#include <LibBase/Task.h>
#include <LibBase/Verdict.h>
#include <array>
#include <variant>

namespace zinc {

/// Description of a worker.
struct WorkerInfo
{
  WorkerId id;
  ZoneId zone;
  RackId rack;
  Resources capacity;
};

/// Whether new tasks are placed on a worker.
enum class WorkerMode : std::uint8_t
{
  Accepting,
  /// Running tasks continue; no new task is placed.
  Draining,
};

/// Result of a task's attempt, as reported to the scheduler.
enum class TaskOutcome : std::uint8_t
{
  Succeeded,
  Failed,
  /// Stopped on request: cancelled, or checkpointed after a @ref PreemptTask.
  Stopped,
  /// The worker rejected the start or was lost; no part of the task is running.
  NotStarted,
};

/// Decision to start a task on a worker, where its resources are already allocated.
struct StartTask
{
  TaskSpec task;
  WorkerId worker;
};

/// Why a running task is preempted.
enum class PreemptReason : std::uint8_t
{
  /// An urgent task is waiting and the running task's team exceeds its fair share.
  UrgentWork,
  /// Another member of the task's gang has to restart, and the members only run together.
  IncompleteGang,
  /// The task uses more than it requested and its worker is over capacity.
  ExceededRequest,
};

/// Decision to checkpoint and stop a running task. It is requeued at its previous position once its
/// end is reported as @ref TaskOutcome::Stopped.
struct PreemptTask
{
  TaskId task;
  WorkerId worker;
  PreemptReason reason = PreemptReason::UrgentWork;
};

/// Decision to end the wait of a queued task, which is already removed, with a verdict for its
/// caller.
struct RejectTask
{
  TaskId task;
  Verdict verdict;
};

using Decision = std::variant<StartTask, PreemptTask, RejectTask>;

/// Summary of the load, sent to peer instances.
struct SchedulerLoad
{
  Resources capacity;
  Resources used;
  /// Largest free amount of each resource on any accepting worker; the maxima may belong to
  /// different workers.
  Resources largestRoom;
  std::array<std::uint32_t, kWorkClassCount> queued{};
  std::uint32_t running = 0;
};

}
