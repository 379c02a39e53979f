#pragma once

/// @file
/// The workers that the leader knows during one term.

#include <LibCell/Worker.h>
#include <memory>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace zinc::cell {

/// Finds workers by id and by number, and lists them in order of their ids. Each worker gets a
/// number when it is added, which is not used again during the term, so that other records of the
/// scheduler can refer to workers by small integers.
class WorkerTable
{
public:
  /// Adds a worker.
  /// @param aEntry its row; the id must not be in the table
  Worker& Add(const WorkerEntry& aEntry);
  /// Removes a worker; pointers to it become invalid.
  void Remove(const WorkerId& aId);

  /// @return the worker, or null if it is unknown
  [[nodiscard]] Worker* Find(const WorkerId& aId) const;
  /// @return the worker with this number, or null if it was removed
  [[nodiscard]] Worker* FindByNumber(WorkerNumber aNumber) const;
  /// @return all workers, sorted by id, so that a replay visits them in the same order
  [[nodiscard]] std::span<Worker* const> All() const { return this->sorted; }
  [[nodiscard]] std::size_t Size() const { return this->sorted.size(); }
  /// @return the jobs that have allocations at any worker
  [[nodiscard]] std::unordered_set<JobId> FindJobsWithRuns() const;

private:
  std::unordered_map<WorkerId, std::unique_ptr<Worker>> byId;
  std::vector<Worker*> byNumber;
  std::vector<Worker*> sorted;
};

}
