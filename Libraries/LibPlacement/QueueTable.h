#pragma once

/// @file
/// The declared queues and the number of tasks waiting in each.

#include <LibDocument/Document.h>
#include <LibPlacement/DrainMeter.h>
#include <LibPlacement/IndexMap.h>
#include <vector>

namespace zinc {

/// A queue's configuration and counters.
struct QueueRecord
{
  Queue config;
  /// False if the current document does not declare the queue.
  bool isDeclared = false;
  /// Waiting tasks of all teams and the rate at which they start.
  DrainMeter drainMeter;
  /// The same for each team.
  std::unordered_map<TeamIndex, DrainMeter> drainMetersByTeam;
  /// Number of teams with a waiting task.
  std::uint32_t waitingTeamCount = 0;
};

/// Why a task stopped waiting.
enum class DequeueReason : std::uint8_t
{
  Started,
  /// Rejected, cancelled or found running on a worker.
  Removed,
};

/// Owns the queue records. Records are never erased, so an index stays valid.
class QueueTable
{
public:
  /// Sets the configuration of the declared queues and marks all others as undeclared. Their
  /// records stay, since tasks may still be queued there.
  void SetDeclaredQueues(const std::vector<Queue>& aQueues);

  /// @return the index of the queue, which is added as undeclared if it is new.
  QueueIndex Ensure(const QueueId& aId);

  /// @return the index of a declared queue, or @ref kNoIndex.
  [[nodiscard]] QueueIndex FindDeclared(const QueueId& aId) const;

  /// Counts one more waiting task.
  void OnTaskQueued(QueueIndex aQueue, TeamIndex aTeam, TimePoint aNow);

  /// Counts one waiting task less.
  void OnTaskDequeued(QueueIndex aQueue, TeamIndex aTeam, DequeueReason aReason, TimePoint aNow);

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
