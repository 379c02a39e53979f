#include <LibLedger/LedgerKeys.h>
#include <LibLedger/RecordCodec.h>
#include <LibLedger/ShardCompactor.h>
#include <LibLedger/ShardSnapshot.h>

namespace zinc::detail {

namespace {

/// Deletions take their turn with other writes once this many snapshots' rows wait.
constexpr std::size_t kMaxSnapshotsBehind = 4;

}

ShardCompactor::ShardCompactor(ShardContext& aContext, ShardIndex aShard)
  : context(aContext)
  , shard(aShard)
{
}

bool
ShardCompactor::IsReady() const
{
  return this->phase == Phase::Idle && this->context.Now() >= this->retryAt;
}

void
ShardCompactor::Store(Sequence aSequence, const ShardState& aState)
{
  this->phase = Phase::Storing;
  this->sequence = aSequence;
  this->context.environment.objects.Put(SnapshotName(this->shard, aSequence),
                                        EncodeSnapshot(aState.Image()),
                                        [weak = this->weak_from_this()](const auto& aResult) {
                                          if (const auto self = weak.lock()) {
                                            self->OnStored(aResult);
                                          }
                                        });
}

void
ShardCompactor::OnStored(const Result<Done>& aResult)
{
  if (IsError(aResult)) {
    this->Fail();
    return;
  }
  this->failures = 0;
  this->phase = Phase::Stored;
}

void
ShardCompactor::Fail()
{
  this->phase = Phase::Idle;
  this->retryAt = this->context.Now() + this->context.Backoff(this->failures++);
}

Transaction
ShardCompactor::Publication(const LogBase& aBase, std::uint64_t aBaseVersion)
{
  const bool isDeletionDone = this->deleteFrom > aBase.sequence;
  const LogBase next{ .sequence = this->sequence,
                      .oldestRow = isDeletionDone ? aBase.sequence + 1 : aBase.oldestRow,
                      .object = SnapshotName(this->shard, this->sequence) };
  const std::string key = BaseKey(this->shard);
  this->replacedObject = aBase.object == next.object ? std::string() : aBase.object;
  return { .conditions = { { .key = key, .version = aBaseVersion } },
           .writes = { { .key = key, .value = EncodeBase(next) } } };
}

void
ShardCompactor::Settle(const LogBase& aBase)
{
  if (this->phase != Phase::Stored || aBase.sequence < this->sequence) {
    return;
  }
  this->phase = Phase::Idle;
  if (aBase.sequence != this->sequence) {
    return;
  }
  ++this->context.statistics.snapshots;
  this->deleteFrom = aBase.oldestRow;
  this->deleteUpTo = aBase.sequence;
}

std::size_t
ShardCompactor::TakeDeletions()
{
  const LedgerOptions& options = this->context.options;
  const Sequence left = this->deleteUpTo + 1 - this->deleteFrom;
  const std::size_t most = std::min<std::size_t>(left, options.rowsPerDeletion);
  WriteBudget& budget = this->context.environment.budget;
  const TimePoint now = this->context.Now();
  if (left > kMaxSnapshotsBehind * options.rowsPerSnapshot) {
    const bool isOurTurn = this->context.random() % 2 == 0;
    return isOurTurn && budget.TryTake(1, now) ? 1 : 0;
  }
  return budget.TakeIdle(most, now);
}

void
ShardCompactor::DeleteRows()
{
  if (this->isDeleting || this->deleteFrom > this->deleteUpTo || this->deleteUpTo == 0 ||
      this->context.Now() < this->retryAt) {
    return;
  }
  const std::size_t rows = this->TakeDeletions();
  if (rows == 0) {
    return;
  }
  Transaction transaction;
  for (std::size_t index = 0; index < rows; ++index) {
    transaction.writes.push_back({ .key = LogKey(this->shard, this->deleteFrom + index) });
  }
  this->isDeleting = true;
  ++this->context.statistics.commits;
  this->context.environment.table.Commit(
    std::move(transaction),
    [weak = this->weak_from_this(), next = this->deleteFrom + rows](const auto& aResult) {
      if (const auto self = weak.lock()) {
        self->OnDeleted(next, aResult);
      }
    });
}

void
ShardCompactor::OnDeleted(Sequence aNext, const Result<CommitOutcome>& aResult)
{
  this->isDeleting = false;
  if (IsError(aResult)) {
    this->retryAt = this->context.Now() + this->context.Backoff(this->failures++);
    return;
  }
  this->failures = 0;
  this->context.statistics.rowsDeleted += aNext - this->deleteFrom;
  this->deleteFrom = aNext;
  if (aNext <= this->deleteUpTo || this->replacedObject.empty()) {
    return;
  }
  // An object that is left behind by a failure costs only its space.
  this->context.environment.objects.Remove(this->replacedObject, [](const Result<Done>&) {});
  this->replacedObject.clear();
}

}
