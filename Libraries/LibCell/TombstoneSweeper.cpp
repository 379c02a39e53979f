#include <LibCell/Records.h>
#include <LibCell/Tombstone.h>
#include <LibCell/TombstoneSweeper.h>

#include <algorithm>
#include <map>

namespace zinc::cell {

TombstoneSweeper::TombstoneSweeper(Dependencies aDependencies, TombstoneSweeperOptions aOptions)
  : dependencies(aDependencies)
  , options(aOptions)
  , count(this->dependencies.metrics.FindGauge(
      { .name = "zinc_cell_tombstones",
        .help = "Ids in the store that were cancelled before a job was stored." }))
{
}

void
TombstoneSweeper::OnJobRows(std::span<const Row> aRows)
{
  for (const auto& row : aRows) {
    const auto name = ParseJobRowKey(row.key.key);
    if (!name || name->kind != JobRowKind::Specification) {
      continue;
    }
    const auto tombstone = row.isDeleted ? std::nullopt : DecodeTombstone(row.value);
    if (tombstone) {
      this->ages.Add(name->job, row.version, this->ExpiryOf(tombstone->writtenAt));
    } else {
      this->ages.Remove(name->job, row.version);
    }
  }
  this->UpdateGauge();
}

TimePoint
TombstoneSweeper::ExpiryOf(Milliseconds aWrittenAt) const
{
  const auto storeTime = this->dependencies.store.StoreTime();
  const bool isKnown = storeTime && aWrittenAt.count() > 0 && aWrittenAt <= *storeTime;
  const auto age = isKnown ? *storeTime - aWrittenAt : Milliseconds{ 0 };
  return this->dependencies.clock.Now() + kTombstoneRetention - std::min(age, kTombstoneRetention);
}

void
TombstoneSweeper::Tick()
{
  const auto now = this->dependencies.clock.Now();
  if (this->isCommitInFlight || now < this->nextCommit) {
    return;
  }
  const auto expired = this->ages.FindExpired(now, this->options.maxPerCommit);
  if (expired.empty()) {
    return;
  }
  Transaction transaction{ .spansPartitions = expired.size() > 1 };
  for (const auto& tombstone : expired) {
    const auto key = JobRowKey(tombstone.job, JobRowKind::Specification);
    transaction.conditions.push_back({ .key = key, .version = tombstone.version });
    transaction.removals.push_back(key);
  }
  this->isCommitInFlight = true;
  this->dependencies.store.Commit(
    std::move(transaction),
    [this, guard = std::weak_ptr<bool>(this->livenessToken), expired, now](
      const Result<CommitResult>& aResult) {
      if (!guard.expired()) {
        this->OnCommitted(expired, now, aResult);
      }
    });
}

void
TombstoneSweeper::OnCommitted(const std::vector<ExpiredTombstone>& aRemoved,
                              TimePoint aSent,
                              const Result<CommitResult>& aResult)
{
  const auto now = this->dependencies.clock.Now();
  this->isCommitInFlight = false;
  if (IsError(aResult)) {
    // If it took effect all the same, the next attempt finds that the rows are gone.
    this->nextCommit = now + this->options.retryDelay;
    return;
  }
  this->nextCommit =
    now + std::max(this->options.minInterval, (now - aSent) * this->options.restFactor);
  const auto& result = ValueOf(aResult);
  std::map<RowKey, std::uint64_t> currentVersions;
  for (const auto& row : result.currentRows) {
    currentVersions[row.key] = row.version;
  }
  for (const auto& tombstone : aRemoved) {
    const auto found = currentVersions.find(JobRowKey(tombstone.job, JobRowKind::Specification));
    const auto version = found == currentVersions.end() ? 0 : found->second;
    // The watch reports what a changed row holds now.
    if (result.isCommitted || version != tombstone.version) {
      this->ages.Remove(tombstone.job, tombstone.version);
    }
  }
  this->UpdateGauge();
}

void
TombstoneSweeper::UpdateGauge()
{
  this->count.Set(static_cast<double>(this->ages.Size()));
}

}
