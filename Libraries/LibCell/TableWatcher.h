#pragma once

/// @file
/// A table of the store, read whole once and then followed.

#include <LibCell/Ports.h>
#include <LibCell/Timer.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace zinc::cell {

/// Which table is followed and how often.
struct TableWatcherOptions
{
  std::string table;
  /// Partitions that are read for the first view.
  std::vector<std::string> partitions;
  /// How long the store may hold an answer back. Also bounds how long a silent connection hides
  /// changes.
  Milliseconds wait{ 800 };
  /// Least time between two calls; changes meanwhile arrive together.
  Milliseconds pause{ 0 };
  /// Partitions that are read at a time.
  std::size_t readsAtOnce = 8;
  /// Time until a failed call is made again.
  Milliseconds retry{ 150 };
  /// The first view is read anew this often, in case the store drops a change; 0 never.
  Milliseconds reread{ 0 };
};

/// Rows that were read.
struct TableView
{
  std::vector<Row> rows;
  /// True if these are all rows of the table, false if they are changes.
  bool isWhole = false;
};

/// Reads and follows until it is destroyed or stopped.
class TableWatcher : public std::enable_shared_from_this<TableWatcher>
{
public:
  using OnView = std::function<void(const TableView&)>;

  TableWatcher(StorePort& aStore,
               TimerPort& aTimer,
               const Clock& aClock,
               TableWatcherOptions aOptions,
               OnView aOnView);

  void Start();
  /// Changes the least time between two calls.
  void SetPause(Milliseconds aPause) { this->options.pause = aPause; }
  void Stop() { this->isStopped = true; }
  /// @return when the newest answer arrived; nothing if the last call failed.
  [[nodiscard]] std::optional<TimePoint> LastAnswer() const;
  [[nodiscard]] bool HasView() const { return this->hasView; }

private:
  void ReadWhole();
  /// A view that is being read; partitions are read several at a time.
  struct WholeRead
  {
    TableView view;
    std::size_t nextPart = 0;
    std::size_t open = 0;
    bool hasFailed = false;
    /// The store's version before the first partition was read.
    std::uint64_t version = 0;
  };

  void ReadNextPart(const std::shared_ptr<WholeRead>& aRead);
  void ReadPart(const std::shared_ptr<WholeRead>& aRead, std::size_t aPart, std::string aFrom);
  void OnPart(const std::shared_ptr<WholeRead>& aRead, std::size_t aPart, Result<RowBatch> aBatch);
  void OnWhole(WholeRead& aRead);
  void FollowNext();
  void OnChanges(Result<RowBatch> aBatch);
  void Later(Milliseconds aDelay, void (TableWatcher::*aStep)());

  StorePort& store;
  TimerPort& timer;
  const Clock& clock;
  TableWatcherOptions options;
  OnView onView;
  bool isStopped = false;
  bool hasView = false;
  bool hasFailed = true;
  TimePoint lastAnswer{};
  TimePoint lastWhole{};
  /// Changes after it were not seen.
  std::uint64_t version = 0;
};

}
