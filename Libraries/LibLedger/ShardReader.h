#pragma once

/// @file
/// Reading of a shard's log.

#include <LibBase/Verdict.h>
#include <LibLedger/LedgerStatistics.h>
#include <LibLedger/Record.h>
#include <LibLedger/ShardState.h>
#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/Table.h>
#include <functional>
#include <memory>
#include <vector>

namespace zinc::detail {

/// Takes what a reader reads, in log order.
class ShardSink
{
public:
  virtual ~ShardSink() = default;
  virtual void ApplyRow(Sequence aSequence, const Batch& aBatch) = 0;
  virtual void Restart(Sequence aSequence, ShardImage aImage) = 0;
};

/// Reads a log from its base row, its snapshot and its rows. Handlers hold it weakly.
class ShardReader : public std::enable_shared_from_this<ShardReader>
{
public:
  using DoneHandler = std::function<void(Result<Done>)>;

  ShardReader(ShardIndex aShard,
              Table& aTable,
              ObjectStore& aObjects,
              LedgerStatistics& aStatistics,
              ShardSink& aSink);

  /// Reads to the end of the log. @pre no other call is under way
  void CatchUp(DoneHandler aHandler);

  /// Makes the next call of @ref CatchUp read the base row.
  void SuspectBase() { this->isBaseSuspect = true; }

  /// Counts a row that was applied without being read.
  void Advance(Sequence aSequence) { this->applied = aSequence; }

  [[nodiscard]] bool IsLoaded() const { return this->isLoaded; }
  [[nodiscard]] Sequence Applied() const { return this->applied; }
  [[nodiscard]] const LogBase& Base() const { return this->base; }
  [[nodiscard]] std::uint64_t BaseVersion() const { return this->baseVersion; }

private:
  struct VersionedBase
  {
    LogBase base;
    std::uint64_t version = kAbsentVersion;
  };

  void ReadBase();
  void OnBase(const Result<std::optional<Row>>& aResult);
  void UseBase(const VersionedBase& aBase);
  void FetchSnapshot(VersionedBase aBase);
  void OnSnapshot(const VersionedBase& aBase, const Result<std::string>& aResult);
  void ListRows();
  void OnRows(const Result<std::vector<Row>>& aResult);
  void OnEmptyList();
  void Reread();
  void Finish(Result<Done> aResult);

  ShardIndex shard;
  Table& table;
  ObjectStore& objects;
  LedgerStatistics& statistics;
  ShardSink& sink;

  LogBase base;
  std::uint64_t baseVersion = kAbsentVersion;
  Sequence applied = 0;
  bool isLoaded = false;
  bool isBaseSuspect = false;
  /// The base was read since the call began.
  bool isBaseFresh = false;
  /// The list that came before the reading of the base was empty.
  bool isListEmpty = false;
  std::uint32_t rereads = 0;
  DoneHandler handler;
};

}
