#pragma once

/// @file
/// An in-memory store whose responses can fail, get lost or be delayed.

#include <LibCell/Ports.h>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace zinc::cell::test {

/// How the store handles calls.
enum class StoreMode : std::uint8_t
{
  Available,
  /// Rejects all calls; nothing is done.
  Unavailable,
  /// Applies transactions and reports a timeout; reads work.
  DroppingResponses,
  /// Neither applies transactions nor responds to them; reads work.
  LosingRequests,
  /// Applies transactions and holds back their responses until
  /// @ref MemoryStore::DeliverResponses; reads work.
  DelayingResponses,
  /// Reports a timeout and holds the transaction back until
  /// @ref MemoryStore::ExecuteDelayedRequests; reads work.
  DelayingRequests,
  /// Holds transactions back until @ref MemoryStore::ExecuteDelayedRequests and responds then;
  /// reads work.
  HoldingRequests,
};

class MemoryStore final : public StorePort
{
public:
  void Read(const RowRange& aRange, Handler<RowBatch> aHandler) override;
  void Watch(const std::string& aTable,
             std::uint64_t aAfterVersion,
             Milliseconds aMaxWait,
             Handler<RowBatch> aHandler) override;
  void Commit(Transaction aTransaction, Handler<CommitResult> aHandler) override;

  /// Delivers the responses held back so far.
  void DeliverResponses();
  /// Executes the transactions held back so far. Their callers are told only in
  /// @ref StoreMode::HoldingRequests.
  void ExecuteDelayedRequests();
  /// Writes a row on behalf of another client.
  /// @return the version of the row.
  std::uint64_t Put(const RowKey& aKey, const std::string& aValue);
  [[nodiscard]] std::vector<Row> RowsOf(const std::string& aTable) const;

  StoreMode mode = StoreMode::Available;
  /// The clock that reads report; none by default.
  const Clock* clock = nullptr;
  std::map<RowKey, Row> rows;
  std::uint64_t version = 0;
  std::size_t commitCount = 0;
  /// Partitions written by each transaction whose response is held back.
  std::vector<std::set<std::string>> inFlightPartitions;
  std::vector<std::function<void()>> pendingResponses;
  std::vector<Transaction> delayedRequests;
  std::vector<std::pair<Transaction, Handler<CommitResult>>> heldRequests;
  /// Watching from a lower version fails with @ref ErrorCode::StaleVersion.
  std::uint64_t minWatchVersion = 0;
};

}
