#include <LibCell/TableWatcher.h>

namespace zinc::cell {

TableWatcher::TableWatcher(StorePort& aStore,
                           TimerPort& aTimer,
                           const Clock& aClock,
                           TableWatcherOptions aOptions,
                           OnView aOnView)
  : store(aStore)
  , timer(aTimer)
  , clock(aClock)
  , options(std::move(aOptions))
  , onView(std::move(aOnView))
{
}

std::optional<TimePoint>
TableWatcher::LastAnswer() const
{
  if (this->hasFailed) {
    return {};
  }
  return this->lastAnswer;
}

void
TableWatcher::Start()
{
  this->ReadWhole();
}

void
TableWatcher::Later(Milliseconds aDelay, void (TableWatcher::*aStep)())
{
  this->timer.RunAfter(aDelay, [weak = this->weak_from_this(), aStep] {
    const auto self = weak.lock();
    if (self && !self->isStopped) {
      (self.get()->*aStep)();
    }
  });
}

void
TableWatcher::ReadWhole()
{
  auto read = std::make_shared<WholeRead>();
  read->view.isWhole = true;
  const auto count = std::min(this->options.readsAtOnce, this->options.partitions.size());
  for (std::size_t index = 0; index < count; ++index) {
    this->ReadNextPart(read);
  }
}

void
TableWatcher::ReadNextPart(const std::shared_ptr<WholeRead>& aRead)
{
  // The last partition is read when the others have been, so that it is never older than they are.
  const bool isLast = aRead->nextPart + 1 == this->options.partitions.size();
  if (aRead->nextPart < this->options.partitions.size() && !(isLast && aRead->open > 0)) {
    ++aRead->open;
    this->ReadPart(aRead, aRead->nextPart++, {});
  }
}

void
TableWatcher::ReadPart(const std::shared_ptr<WholeRead>& aRead,
                       std::size_t aPart,
                       std::string aFrom)
{
  this->store.Read({ .table = this->options.table,
                     .partition = this->options.partitions[aPart],
                     .from = std::move(aFrom) },
                   [weak = this->weak_from_this(), read = aRead, aPart](Result<RowBatch> aBatch) {
                     const auto self = weak.lock();
                     if (self && !self->isStopped) {
                       self->OnPart(read, aPart, std::move(aBatch));
                     }
                   });
}

void
TableWatcher::OnPart(const std::shared_ptr<WholeRead>& aRead,
                     std::size_t aPart,
                     Result<RowBatch> aBatch)
{
  this->hasFailed = IsError(aBatch);
  if (IsError(aBatch)) {
    --aRead->open;
    aRead->hasFailed = true;
    aRead->nextPart = this->options.partitions.size();
  } else {
    this->lastAnswer = this->clock.Now();
    auto& batch = ValueOf(aBatch);
    // What changes while the partitions are read is seen again as a change after the first answer.
    const bool isOldest = aRead->version == 0 || batch.version < aRead->version;
    aRead->version = isOldest ? batch.version : aRead->version;
    const bool hasMore = batch.hasMore && !batch.rows.empty();
    const auto lastKey = batch.rows.empty() ? std::string() : batch.rows.back().key.key;
    std::ranges::move(batch.rows, std::back_inserter(aRead->view.rows));
    if (hasMore && !aRead->hasFailed) {
      // The smallest key after the last one.
      this->ReadPart(aRead, aPart, lastKey + '\0');
      return;
    }
    --aRead->open;
    this->ReadNextPart(aRead);
  }
  if (aRead->open == 0) {
    this->OnWhole(*aRead);
  }
}

void
TableWatcher::OnWhole(WholeRead& aRead)
{
  if (aRead.hasFailed) {
    this->hasFailed = true;
    this->Later(this->options.retry, &TableWatcher::ReadWhole);
    return;
  }
  this->version = aRead.version;
  this->hasView = true;
  this->lastWhole = this->lastAnswer;
  this->onView(aRead.view);
  this->FollowNext();
}

void
TableWatcher::FollowNext()
{
  if (this->isStopped) {
    return;
  }
  const bool isRereadDue =
    this->options.reread.count() > 0 && this->clock.Now() - this->lastWhole >= this->options.reread;
  if (isRereadDue) {
    this->ReadWhole();
    return;
  }
  this->store.Watch(this->options.table,
                    this->version,
                    this->options.wait,
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
    this->ReadWhole();
    return;
  }
  if (IsError(aBatch)) {
    this->Later(this->options.retry, &TableWatcher::FollowNext);
    return;
  }
  this->lastAnswer = this->clock.Now();
  const auto& batch = ValueOf(aBatch);
  this->version = std::max(this->version, batch.version);
  if (!batch.rows.empty()) {
    this->onView({ .rows = batch.rows, .isWhole = false });
  }
  if (this->options.pause.count() > 0) {
    this->Later(this->options.pause, &TableWatcher::FollowNext);
    return;
  }
  this->FollowNext();
}

}
