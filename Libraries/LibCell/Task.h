#pragma once

/// @file
/// The leader's state of a task.

#include <LibCell/Ports.h>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace zinc::cell {

/// Scheduling state of a task.
enum class TaskPhase : std::uint8_t
{
  Waiting,
  /// Running at a worker, or its start order was sent.
  Placed,
  Succeeded,
};

/// Where a run starts, as stored before its start is sent.
struct RecordedStart
{
  std::uint64_t run = 0;
  WorkerId worker;
  std::string machine;
  /// Process start of the worker, Unix ms.
  std::int64_t incarnation = 0;
};

/// A task's scheduling state and what its runs left behind.
struct Task
{
  /// @return true if the task may be what crashed its workers
  [[nodiscard]] bool IsCrashSuspect() const
  {
    return !this->blamedRuns.empty() || this->crashedRuns.size() > 1;
  }

  /// Position in its step.
  std::uint32_t index = 0;
  TaskPhase phase = TaskPhase::Waiting;
  /// Number of the latest run; 0 if there was none.
  std::uint64_t run = 0;
  WorkerId worker;
  std::string checkpoint;
  /// Numbers of the runs that failed. A set, since several workers report ends in any order.
  std::set<std::uint64_t> failedRuns;
  /// Numbers of the runs during which their worker crashed, or may have crashed.
  std::set<std::uint64_t> crashedRuns;
  /// Those of @ref crashedRuns that were the latest confirmed start at their worker.
  std::set<std::uint64_t> blamedRuns;
  /// Numbers of the runs that were lost with all workers of a rack; these are not held against the
  /// task.
  std::set<std::uint64_t> rackLossRuns;
  /// The latest start of a task whose job is suspected of crashing workers. If this leader is gone
  /// before the worker's crash is confirmed, a later leader counts it.
  std::optional<RecordedStart> recordedStart;
  /// Change count of the job that must be stored before @ref recordedStart is sent; 0 if it was
  /// sent or dropped.
  std::uint64_t recordedStartChange = 0;
  /// The task is not started before this time.
  TimePoint earliestStart{};
  /// Number of its runs that were stopped because they made no progress.
  std::uint32_t stalledRuns = 0;
  /// Number of its runs that were stopped to make room for gangs.
  std::uint32_t preemptions = 0;
  /// Starts in a row that workers rejected.
  std::uint32_t rejectedStarts = 0;
  /// Worker of the last failed run; the task runs elsewhere next if possible.
  WorkerId lastFailedWorker;
};

}
