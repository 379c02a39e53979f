#pragma once

/// @file
/// All tasks known to the scheduler, queued or running.

#include <LibBase/Task.h>
#include <LibPlacement/Indices.h>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace zinc {

/// Phase of a task at this scheduler.
enum class TaskPhase : std::uint8_t
{
  /// Member of a gang that is not complete, or between two other phases.
  Assembling,
  Queued,
  Running,
  /// Running, with a checkpoint requested.
  Preempting,
};

/// A task and its state at the scheduler.
struct TaskRecord
{
  TaskSpec spec;
  TaskPhase phase = TaskPhase::Queued;
  bool isCancelled = false;
  /// True once an attempt may have started on a worker.
  bool mayHaveRun = false;
  /// Position in the queue order, lowest first. Stays the same when the task is requeued.
  std::uint64_t sequence = 0;
  TeamIndex team = kNoIndex;
  QueueIndex queue = kNoIndex;
  WorkerIndex worker = kNoIndex;
  GangIndex gang = kNoIndex;
  /// Index in @c WorkerRecord::tasks while running.
  std::uint32_t indexOnWorker = 0;
  /// Index in @c TeamUsage::running while running.
  std::uint32_t indexInTeam = 0;
  /// Bucket of the @c TeamTierQueue while queued.
  std::uint32_t bucket = kNoIndex;
  /// Preemptions that count against the policy's limit.
  std::uint32_t preemptionCount = 0;
  /// Failure domain in which @c SpreadTracker counts the running task.
  DomainIndex spreadDomain = kNoIndex;
  /// Resources allocated on the worker: at least the request.
  Resources charged;
  /// Highest usage reported in any attempt.
  Resources peakUsage;
  TimePoint enqueuedAt;
  TimePoint startedAt;
  /// Time at which the task is rejected if it has not started.
  std::optional<TimePoint> expiresAt;
};

/// @return a key for the task's team and queue, under which statistics are kept.
[[nodiscard]] std::uint64_t
MakeTeamQueueKey(const TaskRecord& aRecord);

/// Owns the task records. An index stays valid until its task is erased, and is then reused.
class TaskTable
{
public:
  /// @pre no task has this identifier.
  TaskIndex Insert(TaskRecord aRecord);
  void Erase(TaskIndex aTask);

  /// @return the task's index, or @ref kNoIndex.
  [[nodiscard]] TaskIndex Find(const TaskId& aId) const;

  [[nodiscard]] TaskRecord& operator[](TaskIndex aTask) { return this->records[aTask]; }
  [[nodiscard]] const TaskRecord& operator[](TaskIndex aTask) const { return this->records[aTask]; }
  [[nodiscard]] std::size_t Size() const { return this->indices.size(); }

private:
  std::deque<TaskRecord> records;
  std::vector<TaskIndex> freeIndices;
  std::unordered_map<TaskId, TaskIndex> indices;
};

}
