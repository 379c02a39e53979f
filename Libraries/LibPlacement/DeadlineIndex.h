#pragma once

/// @file
/// Queued tasks, ordered by the time at which they expire.

#include <LibPlacement/TaskTable.h>
#include <set>

namespace zinc {

/// Finds expired tasks. Tasks without a deadline are ignored.
class DeadlineIndex
{
public:
  void Insert(TaskIndex aTask, const TaskRecord& aRecord)
  {
    if (aRecord.expiresAt) {
      this->entries.emplace(*aRecord.expiresAt, aTask);
    }
  }

  void Erase(TaskIndex aTask, const TaskRecord& aRecord)
  {
    if (aRecord.expiresAt) {
      this->entries.erase({ *aRecord.expiresAt, aTask });
    }
  }

  /// @return the task that expired first, or @ref kNoIndex if none has.
  [[nodiscard]] TaskIndex FirstExpired(TimePoint aNow) const
  {
    if (this->entries.empty() || this->entries.begin()->first > aNow) {
      return kNoIndex;
    }
    return this->entries.begin()->second;
  }

private:
  std::set<std::pair<TimePoint, TaskIndex>> entries;
};

}
