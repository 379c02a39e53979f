#pragma once

/// @file
/// Keeps a view of a store table up to date: reads a snapshot, then watches for changes.

#include <LibCell/Ports.h>
#include <LibCell/Timer.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace zinc::cell {

/// The table to watch, and the intervals.
struct TableWatcherOptions
{
  std::string table;
  /// Partitions that a snapshot reads.
  std::vector<std::string> partitions;
  /// How long the store may delay its response while nothing changes. Also bounds for how long a
  /// broken connection hides changes.
  Milliseconds maxWait{ 800 };
  /// Delay between a response and the next call; changes in between arrive together.
  Milliseconds pollDelay{ 0 };
  /// Partitions of a snapshot that are read concurrently.
  std::size_t maxConcurrentReads = 8;
  /// Delay before a failed call is retried.
  Milliseconds retryDelay{ 150 };
  /// Interval at which a new snapshot is read, in case the store loses a change; 0 for never.
  Milliseconds resyncInterval{ 0 };
};

/// Rows of the watched table.
struct TableUpdate
{
  std::vector<Row> rows;
  /// True if @ref rows are all rows of the table, false if they are changes.
  bool isSnapshot = false;
};

/// Reads and watches a table until it is stopped or destroyed.
class TableWatcher : public std::enable_shared_from_this<TableWatcher>
{
public:
  using UpdateHandler = std::function<void(const TableUpdate&)>;

  TableWatcher(StorePort& aStore,
               TimerPort& aTimer,
               const Clock& aClock,
               TableWatcherOptions aOptions,
               UpdateHandler aOnUpdate);

  void Start();
  /// Changes @ref TableWatcherOptions::pollDelay.
  void SetPollDelay(Milliseconds aDelay) { this->options.pollDelay = aDelay; }
  void Stop() { this->isStopped = true; }
  /// @return when the last response arrived; empty if the last call failed.
  [[nodiscard]] std::optional<TimePoint> LastResponse() const;
  /// @return true once a snapshot was read.
  [[nodiscard]] bool HasSnapshot() const { return this->hasSnapshot; }

private:
  void ReadSnapshot();
  /// A snapshot that is being read.
  struct SnapshotRead
  {
    TableUpdate update;
    std::size_t nextPartition = 0;
    std::size_t inFlight = 0;
    bool hasFailed = false;
    /// Lowest version of the store in any response.
    std::uint64_t version = 0;
  };

  void ReadNextPartition(const std::shared_ptr<SnapshotRead>& aRead);
  /// @param aPartition index of the partition in the options
  /// @param aFrom first key to read
  void ReadPartition(const std::shared_ptr<SnapshotRead>& aRead,
                     std::size_t aPartition,
                     std::string aFrom);
  void OnPartitionRead(const std::shared_ptr<SnapshotRead>& aRead,
                       std::size_t aPartition,
                       Result<RowBatch> aBatch);
  void OnSnapshotRead(SnapshotRead& aRead);
  void WatchNext();
  void OnChanges(Result<RowBatch> aBatch);
  /// Calls a method after a delay, unless the watcher is stopped or destroyed by then.
  void RunLater(Milliseconds aDelay, void (TableWatcher::*aStep)());

  StorePort& store;
  TimerPort& timer;
  const Clock& clock;
  TableWatcherOptions options;
  UpdateHandler onUpdate;
  bool isStopped = false;
  bool hasSnapshot = false;
  bool hasFailed = true;
  TimePoint lastResponse{};
  TimePoint lastSnapshot{};
  /// Version of the store up to which changes were received.
  std::uint64_t version = 0;
};

}
