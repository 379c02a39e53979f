#pragma once

/// @file
/// The store in memory. Calls are answered at once, lost, or performed without an answer.

#include <LibCell/Ports.h>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace zinc::cell::test {

/// How the store treats calls.
enum class StoreMode : std::uint8_t
{
  Serving,
  /// Refuses; nothing is done.
  Refusing,
  /// Performs transactions and loses the answers.
  LosingAnswers,
  /// Performs transactions and keeps the answers until @ref MemoryStore::Release.
  Slow,
};

class MemoryStore final : public StorePort
{
public:
  void Read(const RowRange& aRange, Handler<RowBatch> aHandler) override;
  void Watch(const std::string& aTable,
             std::uint64_t aAfter,
             Milliseconds aWait,
             Handler<RowBatch> aHandler) override;
  void Commit(Transaction aTransaction, Handler<CommitResult> aHandler) override;

  /// Delivers the answers kept so far.
  void Release();
  /// Writes a row as another party would.
  std::uint64_t Put(const RowKey& aKey, const std::string& aValue);
  [[nodiscard]] std::vector<Row> RowsOf(const std::string& aTable) const;

  StoreMode mode = StoreMode::Serving;
  std::map<RowKey, Row> rows;
  std::uint64_t version = 0;
  std::size_t commits = 0;
  /// Parts of the transactions whose answers are kept, one set a transaction.
  std::vector<std::set<std::string>> open;
  std::vector<std::function<void()>> kept;
  /// History before it was dropped.
  std::uint64_t historyFrom = 0;
};

}
