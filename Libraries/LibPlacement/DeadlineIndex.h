#pragma once

/// @file
/// Queued tasks by the time at which they are given up.

#include <LibPlacement/TaskTable.h>
#include <set>

namespace zinc {

/// Finds the queued tasks whose time is over.
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

  /// @return a task whose time is over, or @ref kNoIndex.
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
