#pragma once

/// @file
/// Every task that the scheduler knows, queued or running.

#include <LibBase/Task.h>
#include <LibPlacement/Indices.h>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace zinc {

/// Where a task is in its life at this scheduler.
enum class TaskPhase : std::uint8_t
{
  /// Member of a gang that is not complete yet.
  Assembling,
  Queued,
  Running,
  /// Running; its checkpoint has been asked for.
  Preempting,
};

/// A task and its bookkeeping.
struct TaskRecord
{
  TaskSpec spec;
  TaskPhase phase = TaskPhase::Queued;
  bool isCancelled = false;
  /// True once an attempt may have begun on a worker.
  bool mayHaveRun = false;
  /// Later of equal tasks have higher ones; kept over preemptions.
  std::uint64_t sequence = 0;
  TeamIndex team = kNoIndex;
  QueueIndex queue = kNoIndex;
  WorkerIndex worker = kNoIndex;
  GangIndex gang = kNoIndex;
  /// Position among the running tasks of the worker.
  std::uint32_t indexOnWorker = 0;
  /// Position among the running tasks of the team.
  std::uint32_t indexInTeam = 0;
  /// Bucket of the team's lane while queued.
  std::uint32_t bucket = kNoIndex;
  std::uint32_t preemptionCount = 0;
  /// Failure domain in which the running task is counted.
  DomainIndex spreadDomain = kNoIndex;
  /// What it takes from its worker: at least the request.
  Resources charged;
  /// Largest usage reported of any attempt.
  Resources peakUsage;
  TimePoint enqueuedAt;
  TimePoint startedAt;
  std::optional<TimePoint> expiresAt;
};

/// @return a key for the team and queue of the task, by which things are learned.
[[nodiscard]] std::uint64_t
MakeTeamQueueKey(const TaskRecord& aRecord);

/// Owns the task records; an index stays valid until its task is erased.
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
