#pragma once

/// @file
/// The declared queues and how many tasks wait in each.

#include <LibDocument/Document.h>
#include <LibPlacement/DrainMeter.h>
#include <LibPlacement/IndexMap.h>
#include <vector>

namespace zinc {

/// A queue and its tallies.
struct QueueRecord
{
  Queue config;
  /// False once the document no longer names it.
  bool isDeclared = false;
  /// Counts the queue's waiting tasks.
  DrainMeter drainMeter;
  /// Counts each team's waiting tasks in this queue.
  std::unordered_map<TeamIndex, DrainMeter> drainMetersByTeam;
  /// Teams that have a task waiting.
  std::uint32_t waitingTeamCount = 0;
};

/// How a task stopped waiting.
enum class DequeueReason : std::uint8_t
{
  Started,
  Removed,
};

/// Owns the queue records; an index stays valid for good.
class QueueTable
{
public:
  /// Takes over the declared queues. Records of undeclared ones stay for the tasks they hold.
  void SetDeclaredQueues(const std::vector<Queue>& aQueues);

  /// @return the index of the queue, made undeclared if it is new.
  QueueIndex Ensure(const QueueId& aId);

  /// @return the index of a declared queue, or @ref kNoIndex.
  [[nodiscard]] QueueIndex FindDeclared(const QueueId& aId) const;

  /// Counts a task as waiting.
  void OnTaskQueued(QueueIndex aQueue, TeamIndex aTeam, TimePoint aNow);

  /// Counts a task as waiting no more.
  void OnTaskDequeued(QueueIndex aQueue, TeamIndex aTeam, DequeueReason aEnd, TimePoint aNow);

  [[nodiscard]] QueueRecord& operator[](QueueIndex aQueue) { return this->records[aQueue]; }
  [[nodiscard]] const QueueRecord& operator[](QueueIndex aQueue) const
  {
    return this->records[aQueue];
  }

private:
  IndexMap<QueueId> indices;
  std::vector<QueueRecord> records;
};

}
