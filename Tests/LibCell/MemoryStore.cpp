#include "MemoryStore.h"

#include <algorithm>
#include <utility>

namespace zinc::cell::test {

void
MemoryStore::Read(const RowRange& aRange, Handler<RowBatch> aHandler)
{
  if (this->mode == StoreMode::Unavailable) {
    aHandler(NotRun(ErrorCode::Unavailable, "refused"));
    return;
  }
  RowBatch batch{ .version = this->version };
  if (this->clock != nullptr) {
    batch.storeTime = this->clock->Now().time_since_epoch();
  }
  for (const auto& [key, row] : this->rows) {
    const bool isInside = key.table == aRange.table && key.partition == aRange.partition &&
                          key.key >= aRange.from && (aRange.to.empty() || key.key < aRange.to);
    if (isInside) {
      batch.rows.push_back(row);
    }
  }
  aHandler(std::move(batch));
}

void
MemoryStore::Watch(const std::string& aTable,
                   std::uint64_t aAfterVersion,
                   Milliseconds,
                   Handler<RowBatch> aHandler)
{
  if (this->mode == StoreMode::Unavailable) {
    aHandler(NotRun(ErrorCode::Unavailable, "refused"));
    return;
  }
  if (aAfterVersion < this->minWatchVersion) {
    aHandler(NotRun(ErrorCode::StaleVersion, "gone"));
    return;
  }
  RowBatch batch{ .version = this->version };
  for (const auto& row : this->RowsOf(aTable)) {
    if (row.version > aAfterVersion) {
      batch.rows.push_back(row);
    }
  }
  std::ranges::sort(batch.rows, {}, &Row::version);
  aHandler(std::move(batch));
}

void
MemoryStore::Commit(Transaction aTransaction, Handler<CommitResult> aHandler)
{
  if (this->mode == StoreMode::LosingRequests) {
    return;
  }
  if (this->mode == StoreMode::Unavailable) {
    aHandler(NotRun(ErrorCode::Unavailable, "refused"));
    return;
  }
  if (this->mode == StoreMode::DelayingRequests) {
    this->delayedRequests.push_back(std::move(aTransaction));
    aHandler(MayHaveRun(ErrorCode::Timeout, "lost"));
    return;
  }
  if (this->mode == StoreMode::HoldingRequests) {
    this->heldRequests.emplace_back(std::move(aTransaction), std::move(aHandler));
    return;
  }
  CommitResult result{ .isCommitted = true };
  for (const auto& condition : aTransaction.conditions) {
    const auto found = this->rows.find(condition.key);
    const auto currentVersion = found == this->rows.end() ? 0 : found->second.version;
    result.isCommitted = result.isCommitted && currentVersion == condition.version;
    if (found != this->rows.end()) {
      result.currentRows.push_back(found->second);
    }
  }
  if (result.isCommitted) {
    result.currentRows.clear();
    result.version = ++this->version;
    ++this->commitCount;
    for (const auto& write : aTransaction.writes) {
      this->rows[write.key] = { .key = write.key, .value = write.value, .version = this->version };
    }
    for (const auto& key : aTransaction.removals) {
      this->rows.erase(key);
    }
  }
  if (this->mode == StoreMode::DroppingResponses) {
    aHandler(MayHaveRun(ErrorCode::Timeout, "lost"));
    return;
  }
  if (this->mode == StoreMode::DelayingResponses) {
    std::set<std::string> partitions;
    for (const auto& write : aTransaction.writes) {
      partitions.insert(write.key.partition);
    }
    this->inFlightPartitions.push_back(std::move(partitions));
    this->pendingResponses.emplace_back(
      [handler = std::move(aHandler), result] { handler(result); });
    return;
  }
  aHandler(std::move(result));
}

void
MemoryStore::DeliverResponses()
{
  this->inFlightPartitions.clear();
  for (const auto& deliver : std::exchange(this->pendingResponses, {})) {
    deliver();
  }
}

void
MemoryStore::ExecuteDelayedRequests()
{
  for (auto& transaction : std::exchange(this->delayedRequests, {})) {
    this->Commit(std::move(transaction), [](Result<CommitResult>) {});
  }
  for (auto& [transaction, handler] : std::exchange(this->heldRequests, {})) {
    this->Commit(std::move(transaction), std::move(handler));
  }
}

std::uint64_t
MemoryStore::Put(const RowKey& aKey, const std::string& aValue)
{
  this->rows[aKey] = { .key = aKey, .value = aValue, .version = ++this->version };
  return this->version;
}

std::vector<Row>
MemoryStore::RowsOf(const std::string& aTable) const
{
  std::vector<Row> found;
  for (const auto& [key, row] : this->rows) {
    if (key.table == aTable) {
      found.push_back(row);
    }
  }
  return found;
}

}
