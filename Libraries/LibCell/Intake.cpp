#include <LibCell/Intake.h>

#include <charconv>
#include <set>

namespace zinc::cell {

namespace {

std::size_t
PartIndex(const JobId& aJob)
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
Intake::Submit(const JobSpecification& aSpec, Accepted aHandler)
{
  const auto index = PartIndex(aSpec.id);
  auto& part = this->parts[index];
  if (!this->store.IsServing()) {
    aHandler(
      NotRun(ErrorCode::Unavailable, "The store does not answer.", this->options.retryAfter));
    return;
  }
  if (part.queue.size() >= this->options.queueLimit) {
    aHandler(
      NotRun(ErrorCode::Overloaded, "Too many jobs wait to be written.", this->options.retryAfter));
    return;
  }
  part.queue.push_back({ .job = aSpec.id,
                         .value = EncodeSpecification(aSpec),
                         .received = this->clock.Now(),
                         .handler = std::move(aHandler) });
  this->Pump(index);
}

void
Intake::Pump(std::size_t aPart)
{
  auto& part = this->parts[aPart];
  if (part.isBusy) {
    return;
  }
  const auto now = this->clock.Now();
  auto batch = std::make_shared<std::vector<Entry>>();
  std::set<JobId> named;
  std::deque<Entry> later;
  std::size_t bytes = 0;
  while (!part.queue.empty() && batch->size() < this->options.jobsPerCommit &&
         bytes < this->options.bytesPerCommit) {
    auto entry = std::move(part.queue.front());
    part.queue.pop_front();
    if (now - entry.received > this->options.longestWait) {
      entry.handler(
        NotRun(ErrorCode::Unavailable, "The store takes too long.", this->options.retryAfter));
      continue;
    }
    if (!named.insert(entry.job).second) {
      // The same id twice in one transaction; the second finds the row of the first.
      later.push_back(std::move(entry));
      continue;
    }
    bytes += entry.value.size();
    batch->push_back(std::move(entry));
  }
  for (auto entry = later.rbegin(); entry != later.rend(); ++entry) {
    part.queue.push_front(std::move(*entry));
  }
  if (batch->empty()) {
    return;
  }
  Transaction transaction{ .extraTimeout = this->options.patience };
  for (const auto& entry : *batch) {
    const auto key = JobRowKey(entry.job, JobRowKind::Specification);
    transaction.conditions.push_back({ .key = key, .version = 0 });
    transaction.writes.push_back({ .key = key, .value = entry.value });
  }
  part.isBusy = true;
  this->store.Commit(std::move(transaction), [this, aPart, batch](Result<CommitResult> aAnswer) {
    this->parts[aPart].isBusy = false;
    this->OnCommitted(aPart, batch, aAnswer);
    this->Pump(aPart);
  });
}

void
Intake::OnCommitted(std::size_t aPart,
                    const std::shared_ptr<std::vector<Entry>>& aBatch,
                    const Result<CommitResult>& aAnswer)
{
  if (!IsError(aAnswer) && !ValueOf(aAnswer).isCommitted) {
    this->OnStanding(aPart, *aBatch, ValueOf(aAnswer).currentRows);
    return;
  }
  for (auto& entry : *aBatch) {
    if (!IsError(aAnswer)) {
      entry.handler(Done{});
      continue;
    }
    auto verdict = ErrorOf(aAnswer);
    verdict.retryAfter = this->options.retryAfter;
    entry.handler(std::move(verdict));
  }
}

void
Intake::OnStanding(std::size_t aPart, std::vector<Entry>& aBatch, const std::vector<Row>& aStanding)
{
  std::set<std::string> present;
  for (const auto& row : aStanding) {
    if (row.version > 0) {
      present.insert(row.key.key);
    }
  }
  auto& queue = this->parts[aPart].queue;
  for (auto entry = aBatch.rbegin(); entry != aBatch.rend(); ++entry) {
    if (present.contains(JobRowKey(entry->job, JobRowKind::Specification).key)) {
      entry->handler(Done{});
    } else if (present.empty()) {
      // Nothing stands in the way and still nothing was written: the answer makes no sense.
      entry->handler(
        NotRun(ErrorCode::Unavailable, "The store refused the job.", this->options.retryAfter));
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
                [this, aJob, aWorkspace, handler = std::move(aHandler)](Result<StoredJob> aStored) {
                  if (IsError(aStored)) {
                    handler(ErrorOf(aStored));
                    return;
                  }
                  const auto& stored = ValueOf(aStored);
                  const bool isTheirs = aWorkspace.IsEmpty() || stored.workspace == aWorkspace;
                  if (!stored.isKnown || !isTheirs) {
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
                     [handler = std::move(aHandler)](Result<CommitResult> aAnswer) {
                       if (IsError(aAnswer)) {
                         handler(ErrorOf(aAnswer));
                         return;
                       }
                       handler(CancelResult::Recorded);
                     });
}

namespace {

/// Reads what a job's own row and its cancellation say.
void
ReadOwnRow(StorePort& aStore, const JobId& aJob, Handler<StoredJob> aHandler)
{
  aStore.Read(JobRowRange(aJob), [aJob, handler = std::move(aHandler)](Result<RowBatch> aBatch) {
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
      if (const auto ended = DecodeEndedJob(row.value)) {
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

/// Adds what a job's progress row says.
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
ReadStoredJob(StorePort& aStore, const JobId& aJob, Handler<StoredJob> aHandler)
{
  ReadOwnRow(aStore, aJob, [&aStore, aJob, handler = std::move(aHandler)](Result<StoredJob> aOwn) {
    const bool isSettled =
      IsError(aOwn) || !ValueOf(aOwn).isKnown || ValueOf(aOwn).outcome != JobOutcome::Active;
    if (isSettled) {
      handler(std::move(aOwn));
      return;
    }
    ReadProgressRow(aStore, aJob, ValueOf(aOwn), handler);
  });
}

}
