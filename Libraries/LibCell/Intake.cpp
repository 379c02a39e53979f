#include <LibCell/Intake.h>

#include <charconv>
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
    aHandler(NotRun(ErrorCode::Unavailable, "The store is unavailable.", this->options.retryAfter));
    return;
  }
  if (partition.queue.size() >= this->options.maxQueuedJobs) {
    aHandler(NotRun(ErrorCode::Overloaded,
                    "Too many jobs are waiting to be written to the store.",
                    this->options.retryAfter));
    return;
  }
  partition.queue.push_back({ .job = aSpec.id,
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
      entry.handler(NotRun(ErrorCode::Unavailable,
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
    transaction.conditions.push_back({ .key = key, .version = 0 });
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
    entry.handler(std::move(verdict));
  }
}

void
Intake::OnConflict(std::size_t aPartition,
                   std::vector<Entry>& aBatch,
                   const std::vector<Row>& aCurrentRows)
{
  std::set<std::string> existing;
  for (const auto& row : aCurrentRows) {
    if (row.version > 0) {
      existing.insert(row.key.key);
    }
  }
  auto& queue = this->partitions[aPartition].queue;
  for (auto entry = aBatch.rbegin(); entry != aBatch.rend(); ++entry) {
    if (existing.contains(JobRowKey(entry->job, JobRowKind::Specification).key)) {
      entry->handler(Done{});
    } else if (existing.empty()) {
      // The store reports a conflict although none of the rows exists.
      entry->handler(
        NotRun(ErrorCode::Unavailable, "The store rejected the job.", this->options.retryAfter));
    } else {
      queue.push_front(std::move(*entry));
    }
  }
}

void
Intake::Cancel(const JobId& aJob, const WorkspaceId& aWorkspace, Handler<CancelResult> aHandler)
{
  ReadStoredJob(this->store,
                aJob,
                nullptr,
                [this, aJob, aWorkspace, handler = std::move(aHandler)](Result<StoredJob> aStored) {
                  if (IsError(aStored)) {
                    handler(ErrorOf(aStored));
                    return;
                  }
                  const auto& stored = ValueOf(aStored);
                  const bool isOfWorkspace = aWorkspace.IsEmpty() || stored.workspace == aWorkspace;
                  if (!stored.isKnown || !isOfWorkspace) {
                    handler(CancelResult::UnknownJob);
                    return;
                  }
                  if (stored.outcome != JobOutcome::Active) {
                    handler(CancelResult::AlreadyEnded);
                    return;
                  }
                  this->RecordCancellation(aJob, handler);
                });
}

void
Intake::RecordCancellation(const JobId& aJob, Handler<CancelResult> aHandler)
{
  const auto key = JobRowKey(aJob, JobRowKind::Cancellation);
  Transaction transaction;
  transaction.writes.push_back({ .key = key, .value = "{}" });
  this->store.Commit(std::move(transaction),
                     [handler = std::move(aHandler)](Result<CommitResult> aResult) {
                       if (IsError(aResult)) {
                         handler(ErrorOf(aResult));
                         return;
                       }
                       handler(CancelResult::Recorded);
                     });
}

namespace {

/// Reads a job's specification row and its cancellation row.
void
ReadSpecificationRow(StorePort& aStore,
                     const JobId& aJob,
                     std::shared_ptr<const CellPolicy> aPolicy,
                     Handler<StoredJob> aHandler)
{
  aStore.Read(
    JobRowRange(aJob),
    [aJob, policy = std::move(aPolicy), handler = std::move(aHandler)](Result<RowBatch> aBatch) {
      if (IsError(aBatch)) {
        handler(ErrorOf(aBatch));
        return;
      }
      StoredJob stored;
      for (const auto& row : ValueOf(aBatch).rows) {
        const auto name = ParseJobRowKey(row.key.key);
        if (name && name->kind == JobRowKind::Cancellation) {
          stored.outcome = JobOutcome::Cancelled;
        }
        if (!name || name->kind != JobRowKind::Specification) {
          continue;
        }
        stored.isKnown = true;
        if (const auto ended = DecodeEndedJob(row.value, policy.get())) {
          handler(StoredJob{ .isKnown = true,
                             .workspace = ended->workspace,
                             .queue = ended->queue,
                             .outcome = ended->outcome,
                             .hasStarted = true });
          return;
        }
        const auto spec = DecodeSpecification(aJob, row.value);
        if (IsError(spec)) {
          handler(ErrorOf(spec));
          return;
        }
        stored.workspace = ValueOf(spec).workspace;
        stored.queue = ValueOf(spec).queue.name;
      }
      handler(std::move(stored));
    });
}

/// Reads a job's progress row and adds it to @p aStored.
void
ReadProgressRow(StorePort& aStore,
                const JobId& aJob,
                StoredJob aStored,
                Handler<StoredJob> aHandler)
{
  aStore.Read(
    ProgressRowRange(aJob),
    [stored = std::move(aStored), handler = std::move(aHandler)](Result<RowBatch> aBatch) mutable {
      if (IsError(aBatch)) {
        handler(ErrorOf(aBatch));
        return;
      }
      for (const auto& row : ValueOf(aBatch).rows) {
        const auto progress = DecodeProgress(row.value);
        if (IsError(progress)) {
          handler(ErrorOf(progress));
          return;
        }
        stored.outcome = ValueOf(progress).outcome;
        stored.hasStarted = ValueOf(progress).hasStarted;
      }
      handler(std::move(stored));
    });
}

}

void
ReadStoredJob(StorePort& aStore,
              const JobId& aJob,
              std::shared_ptr<const CellPolicy> aPolicy,
              Handler<StoredJob> aHandler)
{
  ReadSpecificationRow(aStore,
                       aJob,
                       std::move(aPolicy),
                       [&aStore, aJob, handler = std::move(aHandler)](Result<StoredJob> aStored) {
                         const bool isFinal = IsError(aStored) || !ValueOf(aStored).isKnown ||
                                              ValueOf(aStored).outcome != JobOutcome::Active;
                         if (isFinal) {
                           handler(std::move(aStored));
                           return;
                         }
                         ReadProgressRow(aStore, aJob, ValueOf(aStored), handler);
                       });
}

}
