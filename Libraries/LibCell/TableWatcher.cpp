#include <LibCell/TableWatcher.h>

#include <algorithm>

namespace zinc::cell {

TableWatcher::TableWatcher(StorePort& aStore,
                           TimerPort& aTimer,
                           const Clock& aClock,
                           TableWatcherOptions aOptions,
                           UpdateHandler aOnUpdate)
  : store(aStore)
  , timer(aTimer)
  , clock(aClock)
  , options(std::move(aOptions))
  , onUpdate(std::move(aOnUpdate))
{
}

std::optional<TimePoint>
TableWatcher::LastResponse() const
{
  if (this->hasFailed) {
    return {};
  }
  return this->lastResponse;
}

void
TableWatcher::Start()
{
  this->ReadSnapshot();
}

void
TableWatcher::RunLater(Milliseconds aDelay, void (TableWatcher::*aStep)())
{
  this->timer.RunAfter(aDelay, [weak = this->weak_from_this(), aStep] {
    const auto self = weak.lock();
    if (self && !self->isStopped) {
      (self.get()->*aStep)();
    }
  });
}

void
TableWatcher::ReadSnapshot()
{
  auto read = std::make_shared<SnapshotRead>();
  read->update.isSnapshot = true;
  const auto count = std::min(this->options.maxConcurrentReads, this->options.partitions.size());
  for (std::size_t index = 0; index < count; ++index) {
    this->ReadNextPartition(read);
  }
}

void
TableWatcher::ReadNextPartition(const std::shared_ptr<SnapshotRead>& aRead)
{
  // The last partition is read after all others, so that it is at least as recent as they are.
  const bool isLast = aRead->nextPartition + 1 == this->options.partitions.size();
  if (aRead->nextPartition < this->options.partitions.size() && !(isLast && aRead->inFlight > 0)) {
    ++aRead->inFlight;
    this->ReadPartition(aRead, aRead->nextPartition++, {});
  }
}

void
TableWatcher::ReadPartition(const std::shared_ptr<SnapshotRead>& aRead,
                            std::size_t aPartition,
                            std::string aFrom)
{
  this->store.Read(
    { .table = this->options.table,
      .partition = this->options.partitions[aPartition],
      .from = std::move(aFrom) },
    [weak = this->weak_from_this(), read = aRead, aPartition](Result<RowBatch> aBatch) {
      const auto self = weak.lock();
      if (self && !self->isStopped) {
        self->OnPartitionRead(read, aPartition, std::move(aBatch));
      }
    });
}

void
TableWatcher::OnPartitionRead(const std::shared_ptr<SnapshotRead>& aRead,
                              std::size_t aPartition,
                              Result<RowBatch> aBatch)
{
  this->hasFailed = IsError(aBatch);
  if (IsError(aBatch)) {
    --aRead->inFlight;
    aRead->hasFailed = true;
    aRead->nextPartition = this->options.partitions.size();
  } else {
    this->lastResponse = this->clock.Now();
    auto& batch = ValueOf(aBatch);
    // Watching starts at the lowest version, so that changes made during the reads are not missed.
    const bool isLowest = aRead->version == 0 || batch.version < aRead->version;
    aRead->version = isLowest ? batch.version : aRead->version;
    const bool hasMore = batch.hasMore && !batch.rows.empty();
    const auto lastKey = batch.rows.empty() ? std::string() : batch.rows.back().key.key;
    std::ranges::move(batch.rows, std::back_inserter(aRead->update.rows));
    if (hasMore && !aRead->hasFailed) {
      // The smallest key greater than the last one.
      this->ReadPartition(aRead, aPartition, lastKey + '\0');
      return;
    }
    --aRead->inFlight;
    this->ReadNextPartition(aRead);
  }
  if (aRead->inFlight == 0) {
    this->OnSnapshotRead(*aRead);
  }
}

void
TableWatcher::OnSnapshotRead(SnapshotRead& aRead)
{
  if (aRead.hasFailed) {
    this->hasFailed = true;
    this->RunLater(this->options.retryDelay, &TableWatcher::ReadSnapshot);
    return;
  }
  this->version = aRead.version;
  this->hasSnapshot = true;
  this->lastSnapshot = this->lastResponse;
  this->onUpdate(aRead.update);
  this->WatchNext();
}

void
TableWatcher::WatchNext()
{
  if (this->isStopped) {
    return;
  }
  auto maxWait = this->options.maxWait;
  if (this->options.resyncInterval.count() > 0) {
    const auto untilResync = this->lastSnapshot + this->options.resyncInterval - this->clock.Now();
    if (untilResync.count() <= 0) {
      this->ReadSnapshot();
      return;
    }
    maxWait = std::min(maxWait, untilResync);
  }
  this->store.Watch(this->options.table,
                    this->version,
                    maxWait,
                    [weak = this->weak_from_this()](Result<RowBatch> aBatch) {
                      const auto self = weak.lock();
                      if (self && !self->isStopped) {
                        self->OnChanges(std::move(aBatch));
                      }
                    });
}

void
TableWatcher::OnChanges(Result<RowBatch> aBatch)
{
  this->hasFailed = IsError(aBatch);
  if (IsError(aBatch) && ErrorOf(aBatch).code == ErrorCode::StaleVersion) {
    this->ReadSnapshot();
    return;
  }
  if (IsError(aBatch)) {
    this->RunLater(this->options.retryDelay, &TableWatcher::WatchNext);
    return;
  }
  this->lastResponse = this->clock.Now();
  const auto& batch = ValueOf(aBatch);
  this->version = std::max(this->version, batch.version);
  if (!batch.rows.empty()) {
    this->onUpdate({ .rows = batch.rows, .isSnapshot = false });
  }
  if (this->options.pollDelay.count() > 0) {
    this->RunLater(this->options.pollDelay, &TableWatcher::WatchNext);
    return;
  }
  this->WatchNext();
}

}
