#pragma once

/// @file
/// Counts copies by failure domain, so that they can be kept apart.

#include <LibPlacement/TaskTable.h>
#include <unordered_map>
#include <vector>

namespace zinc {

/// Counts running tasks of a job, and of a team's queue, in each rack or on each worker.
class SpreadTracker
{
public:
  void Add(const TaskRecord& aRecord, DomainIndex aDomain);
  void Remove(const TaskRecord& aRecord, DomainIndex aDomain);

  /// @return a penalty for each domain: copies of the same job count before those of the queue.
  [[nodiscard]] std::vector<std::uint32_t> ComputePenalties(const TaskRecord& aRecord) const;

private:
  using Counts = std::unordered_map<DomainIndex, std::uint32_t>;

  std::unordered_map<JobId, Counts> byJob;
  std::unordered_map<std::uint64_t, Counts> byQueue;
};

}
