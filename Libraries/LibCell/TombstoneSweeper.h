#pragma once

/// @file
/// Removes old tombstones from the store.

#include <LibCell/MonitoredStore.h>
#include <LibCell/TombstoneAges.h>
#include <LibMetrics/MetricRegistry.h>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace zinc::cell {

/// Limits of the sweeper.
struct TombstoneSweeperOptions
{
  /// Tombstones of one transaction. The store accepts 100 entries, and each takes two.
  std::size_t maxPerCommit = 48;
  /// Shortest time between two transactions. The partitions that one of them spans accept no jobs
  /// meanwhile.
  Milliseconds minInterval{ 40 };
  /// The next transaction waits this many times as long as the last one took, so that a slow store
  /// is left to the jobs.
  int restFactor = 8;
  /// Delay after a failed transaction.
  Milliseconds retryDelay{ 2000 };
};

/// Runs on the leader, which reads all rows of jobs. A row is removed only if it has not changed,
/// so that a former leader, or a removal that is late, does no harm.
class TombstoneSweeper
{
public:
  struct Dependencies
  {
    MonitoredStore& store;
    const Clock& clock;
    MetricRegistry& metrics;
  };

  explicit TombstoneSweeper(Dependencies aDependencies, TombstoneSweeperOptions aOptions = {});

  /// Applies new and changed rows of the job table.
  void OnJobRows(std::span<const Row> aRows);
  /// Removes tombstones that are due.
  void Tick();
  /// @return the number of tombstones in the store, as last read.
  [[nodiscard]] std::size_t CountTombstones() const { return this->ages.Size(); }

private:
  /// @return when a tombstone may be removed. Leaders may change more often than tombstones are
  /// removed, so that its age counts, where it is known.
  [[nodiscard]] TimePoint ExpiryOf(Milliseconds aWrittenAt) const;
  void OnCommitted(const std::vector<ExpiredTombstone>& aRemoved,
                   TimePoint aSent,
                   const Result<CommitResult>& aResult);
  void UpdateGauge();

  Dependencies dependencies;
  TombstoneSweeperOptions options;
  Gauge& count;
  TombstoneAges ages;
  bool isCommitInFlight = false;
  TimePoint nextCommit{};
  /// Lets callbacks notice that the sweeper is gone.
  std::shared_ptr<bool> livenessToken = std::make_shared<bool>(true);
};

}
