#include <LibCell/TableFollower.h>

namespace zinc::cell {

TableFollower::TableFollower(StorePort& aStore,
                             TimerPort& aTimer,
                             const Clock& aClock,
                             TableFollowerOptions aOptions,
                             OnView aOnView)
  : store(aStore)
  , timer(aTimer)
  , clock(aClock)
  , options(std::move(aOptions))
  , onView(std::move(aOnView))
{
}

std::optional<TimePoint>
TableFollower::LastAnswer() const
{
  if (this->hasFailed) {
    return {};
  }
  return this->lastAnswer;
}

void
TableFollower::Start()
{
  this->ReadWhole();
}

void
TableFollower::Later(Milliseconds aDelay, void (TableFollower::*aStep)())
{
  this->timer.After(aDelay, [weak = this->weak_from_this(), aStep] {
    const auto self = weak.lock();
    if (self && !self->isStopped) {
      (self.get()->*aStep)();
    }
  });
}

void
TableFollower::ReadWhole()
{
  auto view = std::make_shared<TableView>();
  view->isWhole = true;
  this->wholeVersion = 0;
  this->ReadPart(std::move(view), 0, {});
}

void
TableFollower::ReadPart(std::shared_ptr<TableView> aView, std::size_t aPart, std::string aFrom)
{
  this->store.Read(
    { .table = this->options.table, .part = this->options.parts[aPart], .from = std::move(aFrom) },
    [weak = this->weak_from_this(), view = std::move(aView), aPart](Result<RowBatch> aBatch) {
      const auto self = weak.lock();
      if (self && !self->isStopped) {
        self->OnPart(view, aPart, std::move(aBatch));
      }
    });
}

void
TableFollower::OnPart(const std::shared_ptr<TableView>& aView,
                      std::size_t aPart,
                      Result<RowBatch> aBatch)
{
  this->hasFailed = IsError(aBatch);
  if (IsError(aBatch)) {
    this->Later(this->options.retry, &TableFollower::ReadWhole);
    return;
  }
  this->lastAnswer = this->clock.Now();
  auto& batch = ValueOf(aBatch);
  // What changes while the parts are read is seen again as a change after the first answer.
  if (this->wholeVersion == 0) {
    this->wholeVersion = batch.version;
  }
  const bool hasMore = batch.hasMore && !batch.rows.empty();
  const auto lastKey = batch.rows.empty() ? std::string() : batch.rows.back().key.key;
  std::ranges::move(batch.rows, std::back_inserter(aView->rows));
  if (hasMore) {
    // The smallest key after the last one.
    this->ReadPart(aView, aPart, lastKey + '\0');
    return;
  }
  if (aPart + 1 < this->options.parts.size()) {
    this->ReadPart(aView, aPart + 1, {});
    return;
  }
  this->version = this->wholeVersion;
  this->hasView = true;
  this->lastWhole = this->lastAnswer;
  this->onView(*aView);
  this->FollowNext();
}

void
TableFollower::FollowNext()
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
  this->store.Follow(this->options.table,
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
TableFollower::OnChanges(Result<RowBatch> aBatch)
{
  this->hasFailed = IsError(aBatch);
  if (IsError(aBatch) && ErrorOf(aBatch).code == ErrorCode::StaleVersion) {
    this->ReadWhole();
    return;
  }
  if (IsError(aBatch)) {
    this->Later(this->options.retry, &TableFollower::FollowNext);
    return;
  }
  this->lastAnswer = this->clock.Now();
  const auto& batch = ValueOf(aBatch);
  this->version = std::max(this->version, batch.version);
  if (!batch.rows.empty()) {
    this->onView({ .rows = batch.rows, .isWhole = false });
  }
  if (this->options.pause.count() > 0) {
    this->Later(this->options.pause, &TableFollower::FollowNext);
    return;
  }
  this->FollowNext();
}

}
