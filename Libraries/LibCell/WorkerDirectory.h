#pragma once

/// @file
/// The workers that have a readable row in the store.

#include <LibBase/Verdict.h>
#include <LibCell/TableWatcher.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinc::cell {

/// Follows the rows of the workers' table. A row that cannot be read names no worker to use, also
/// if the row before it did.
class WorkerDirectory
{
public:
  using Decoder =
    std::function<Result<WorkerEntry>(const std::string& aId, std::string_view aText)>;

  /// What an update changed.
  struct Changes
  {
    std::vector<WorkerEntry> listed;
    std::vector<WorkerId> unlisted;
  };

  WorkerDirectory(Decoder aDecode, const Logger& aLog, MetricRegistry& aMetrics);

  /// Applies changed rows, or all rows of a snapshot.
  Changes Apply(const TableUpdate& aUpdate);
  /// Forgets all workers.
  void Clear() { this->entries.clear(); }
  /// @return the entries of all workers, sorted by id
  [[nodiscard]] std::vector<WorkerEntry> Entries() const;

private:
  void ApplyRow(const Row& aRow, Changes& aChanges);
  void Unlist(const WorkerId& aWorker, Changes& aChanges);
  /// Counts a row that cannot be read, and logs it unless it was logged before.
  void OnUnreadableRow(const WorkerId& aId, const Verdict& aReason);

  /// Logs a worker that is taken for warm since its cold time cannot be read, unless that was
  /// logged before.
  void NoteColdTime(const WorkerEntry& aEntry);

  Decoder decode;
  const Logger& log;
  Counter& unreadableRows;
  /// Unreadable rows that are logged already.
  std::set<WorkerId> loggedRows;
  std::set<WorkerId> loggedColdTimes;
  std::map<WorkerId, WorkerEntry> entries;
};

}
