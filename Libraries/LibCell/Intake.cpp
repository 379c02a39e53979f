#include <LibCell/Intake.h>
#include <LibCell/Tombstone.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace zinc::cell {

namespace {

std::size_t
PartitionIndex(const JobId& aJob)
{
  const auto name = JobPartition(aJob);
  std::size_t index = 0;
  std::from_chars(name.data(), name.data() + name.size(), index);
  return index;
}

}

Intake::Intake(MonitoredStore& aStore, const Clock& aClock, IntakeOptions aOptions)
  : store(aStore)
  , clock(aClock)
  , options(aOptions)
{
}

void
Intake::Submit(const JobSpecification& aSpec, AcceptanceHandler aHandler)
{
  const auto index = PartitionIndex(aSpec.id);
  auto& partition = this->partitions[index];
  if (!this->store.IsAvailable()) {
    this->Reject(
      aSpec.id,
      aHandler,
      NotRun(ErrorCode::Unavailable, "The store is unavailable.", this->options.retryAfter));
    return;
  }
  const bool isUncertain = this->unansweredWrites.IsFull(this->clock.Now());
  if (isUncertain || partition.queue.size() >= this->options.maxQueuedJobs) {
    this->Reject(aSpec.id,
                 aHandler,
                 NotRun(ErrorCode::Overloaded,
                        isUncertain ? "Too many writes to the store got no response."
                                    : "Too many jobs are waiting to be written to the store.",
                        this->options.retryAfter));
    return;
  }
  partition.queue.push_back({ .job = aSpec.id,
                              .workspace = aSpec.workspace,
                              .value = EncodeSpecification(aSpec),
                              .received = this->clock.Now(),
                              .handler = std::move(aHandler) });
  this->CommitNext(index);
}

void
Intake::CommitNext(std::size_t aPartition)
{
  auto& partition = this->partitions[aPartition];
  if (partition.isBusy) {
    return;
  }
  const auto now = this->clock.Now();
  auto batch = std::make_shared<std::vector<Entry>>();
  std::set<JobId> batchedJobs;
  std::deque<Entry> postponed;
  std::size_t bytes = 0;
  while (!partition.queue.empty() && batch->size() < this->options.maxJobsPerCommit &&
         bytes < this->options.maxBytesPerCommit) {
    auto entry = std::move(partition.queue.front());
    partition.queue.pop_front();
    if (now - entry.received > this->options.maxQueueTime) {
      this->Reject(entry.job,
                   entry.handler,
                   NotRun(ErrorCode::Unavailable,
                          "The store is too slow to accept the job.",
                          this->options.retryAfter));
      continue;
    }
    if (!batchedJobs.insert(entry.job).second) {
      // The id is in this batch already: the entry goes into the next transaction, which finds the
      // row of the first one.
      postponed.push_back(std::move(entry));
      continue;
    }
    bytes += entry.value.size();
    batch->push_back(std::move(entry));
  }
  for (auto entry = postponed.rbegin(); entry != postponed.rend(); ++entry) {
    partition.queue.push_front(std::move(*entry));
  }
  if (batch->empty()) {
    return;
  }
  Transaction transaction{ .extraTimeout = this->options.extraCommitTimeout };
  for (const auto& entry : *batch) {
    const auto key = JobRowKey(entry.job, JobRowKind::Specification);
    transaction.conditions.push_back({ .key = key, .version = entry.replacedVersion });
    transaction.writes.push_back({ .key = key, .value = entry.value });
  }
  partition.isBusy = true;
  this->store.Commit(std::move(transaction),
                     [this, aPartition, batch](Result<CommitResult> aResult) {
                       this->partitions[aPartition].isBusy = false;
                       this->OnCommitted(aPartition, batch, aResult);
                       this->CommitNext(aPartition);
                     });
}

void
Intake::OnCommitted(std::size_t aPartition,
                    const std::shared_ptr<std::vector<Entry>>& aBatch,
                    const Result<CommitResult>& aResult)
{
  if (!IsError(aResult) && !ValueOf(aResult).isCommitted) {
    this->OnConflict(aPartition, *aBatch, ValueOf(aResult).currentRows);
    return;
  }
  for (auto& entry : *aBatch) {
    if (!IsError(aResult)) {
      entry.handler(Done{});
      continue;
    }
    auto verdict = ErrorOf(aResult);
    verdict.retryAfter = this->options.retryAfter;
    if (verdict.run != RunState::NotRun) {
      this->unansweredWrites.Add(entry.job, this->clock.Now());
    }
    this->Reject(entry.job, entry.handler, std::move(verdict));
  }
}

void
Intake::Reject(const JobId& aJob, const AcceptanceHandler& aHandler, Verdict aVerdict) const
{
  if (this->MayBeStored(aJob)) {
    aVerdict.run = RunState::MayHaveRun;
  }
  aHandler(std::move(aVerdict));
}

void
Intake::OnConflict(std::size_t aPartition,
                   std::vector<Entry>& aBatch,
                   const std::vector<Row>& aCurrentRows)
{
  std::map<RowKey, const Row*> currentRows;
  for (const auto& row : aCurrentRows) {
    currentRows[row.key] = &row;
  }
  const auto findRow = [&currentRows](const Entry& aEntry) -> const Row* {
    const auto found = currentRows.find(JobRowKey(aEntry.job, JobRowKind::Specification));
    return found == currentRows.end() || found->second->version == 0 ? nullptr : found->second;
  };
  const auto hasChanged = [&findRow](const Entry& aEntry) {
    const auto* row = findRow(aEntry);
    return (row == nullptr ? 0 : row->version) != aEntry.replacedVersion;
  };
  const bool isExplained = std::ranges::any_of(aBatch, hasChanged);
  auto& queue = this->partitions[aPartition].queue;
  for (auto entry = aBatch.rbegin(); entry != aBatch.rend(); ++entry) {
    if (!isExplained) {
      // The store reports a conflict although no row has changed.
      this->Reject(
        entry->job,
        entry->handler,
        NotRun(ErrorCode::Unavailable, "The store rejected the job.", this->options.retryAfter));
      continue;
    }
    const auto* row = findRow(*entry);
    const auto tombstone = row == nullptr ? std::nullopt : DecodeTombstone(row->value);
    if (row != nullptr && !tombstone) {
      entry->handler(Done{});
    } else if (tombstone && tombstone->Covers(entry->workspace)) {
      entry->handler(CancelledBeforeSubmission());
    } else {
      entry->replacedVersion = row == nullptr ? 0 : row->version;
      queue.push_front(std::move(*entry));
    }
  }
}

}
