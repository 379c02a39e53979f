#pragma once

/// @file
/// Counts running tasks by failure domain, so that copies can be spread over the domains.

#include <LibPlacement/TaskTable.h>
#include <unordered_map>
#include <vector>

namespace zinc {

/// Counts the running tasks of each job, and of each team's queue, per failure domain (a rack or a
/// worker).
class SpreadTracker
{
public:
  void Add(const TaskRecord& aRecord, DomainIndex aDomain);
  void Remove(const TaskRecord& aRecord, DomainIndex aDomain);

  /// @return a penalty by domain index, for placing the task there: tasks of the same job weigh
  /// more than other tasks of the team's queue. Domains beyond the end have no penalty.
  [[nodiscard]] std::vector<std::uint32_t> ComputePenalties(const TaskRecord& aRecord) const;

private:
  using Counts = std::unordered_map<DomainIndex, std::uint32_t>;

  std::unordered_map<JobId, Counts> countsByJob;
  std::unordered_map<std::uint64_t, Counts> countsByTeamQueue;
};

}
