#include <LibCell/JobCanceller.h>
#include <LibCell/Records.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace zinc::cell {

namespace {

Counter&
FindTombstoneCounter(MetricRegistry& aMetrics, std::string_view aOutcome)
{
  return aMetrics.FindCounter(
    { .name = "zinc_cell_tombstones_total",
      .help = "Cancellations of ids without a job, by whether a tombstone was written." },
    { { "outcome", std::string(aOutcome) } });
}

}

JobCanceller::JobCanceller(Dependencies aDependencies, JobCancellerOptions aOptions)
  : dependencies(aDependencies)
  , options(aOptions)
  , written(FindTombstoneCounter(this->dependencies.metrics, "written"))
  , refused(FindTombstoneCounter(this->dependencies.metrics, "refused"))
  , budget(this->options.budget)
{
}

void
JobCanceller::Cancel(const JobId& aJob,
                     const WorkspaceId& aWorkspace,
                     Handler<CancelResult> aHandler)
{
  this->Decide({ .job = aJob, .workspace = aWorkspace, .handler = std::move(aHandler) });
}

void
JobCanceller::Decide(Request aRequest)
{
  if (aRequest.attempts++ >= this->options.maxAttempts) {
    aRequest.handler(NotRun(ErrorCode::Unavailable,
                            "The job's rows are being changed by other requests.",
                            this->options.retryAfter));
    return;
  }
  const auto job = aRequest.job;
  ReadStoredJob(this->dependencies.store,
                job,
                nullptr,
                [this, request = std::move(aRequest)](Result<StoredJob> aStored) {
                  if (IsError(aStored)) {
                    request.handler(ErrorOf(aStored));
                    return;
                  }
                  this->OnStoredJob(request, ValueOf(aStored));
                });
}

void
JobCanceller::OnStoredJob(Request aRequest, const StoredJob& aStored)
{
  if (!aStored.isKnown) {
    this->WriteTombstone(std::move(aRequest), aStored);
    return;
  }
  // The row of another workspace's job keeps the id from being written, too.
  if (!aRequest.workspace.IsEmpty() && aStored.workspace != aRequest.workspace) {
    aRequest.handler(CancelResult::UnknownJob);
    return;
  }
  if (aStored.outcome != JobOutcome::Active) {
    aRequest.handler(CancelResult::AlreadyEnded);
    return;
  }
  this->RecordCancellation(aRequest.job, std::move(aRequest.handler));
}

void
JobCanceller::RecordCancellation(const JobId& aJob, Handler<CancelResult> aHandler)
{
  const auto key = JobRowKey(aJob, JobRowKind::Cancellation);
  Transaction transaction;
  transaction.writes.push_back({ .key = key, .value = "{}" });
  this->dependencies.store.Commit(std::move(transaction),
                                  [handler = std::move(aHandler)](Result<CommitResult> aResult) {
                                    if (IsError(aResult)) {
                                      handler(ErrorOf(aResult));
                                      return;
                                    }
                                    handler(CancelResult::Recorded);
                                  });
}

void
JobCanceller::WriteTombstone(Request aRequest, const StoredJob& aStored)
{
  const auto now = this->dependencies.clock.Now();
  if (const auto& other = aStored.tombstone) {
    const bool coversBoth = other->Covers(aRequest.workspace) || aRequest.workspace.IsEmpty();
    if (!coversBoth) {
      // One row cannot hold two workspaces, and that one may be removed too soon for this one.
      aRequest.handler(NotRun(ErrorCode::Unavailable,
                              "Another workspace has cancelled a job of this id.",
                              kTombstoneRetention));
      return;
    }
  }
  if (const auto wait = this->budget.Take(aRequest.workspace, now)) {
    this->refused.Add();
    aRequest.handler(NotRun(
      ErrorCode::Overloaded, "Too many jobs that are not known are being cancelled.", *wait));
    return;
  }
  const bool coversAll =
    aRequest.workspace.IsEmpty() || (aStored.tombstone && aStored.tombstone->workspace.IsEmpty());
  aRequest.tombstone.workspace = coversAll ? WorkspaceId{} : aRequest.workspace;
  aRequest.replacedVersion = aStored.version;
  this->queue.push_back(std::move(aRequest));
  this->CommitTombstones();
}

std::vector<JobCanceller::Request>
JobCanceller::TakeBatch()
{
  std::vector<Request> batch;
  std::set<JobId> batchedJobs;
  std::deque<Request> postponed;
  while (!this->queue.empty() && batch.size() < this->options.maxTombstonesPerCommit) {
    auto request = std::move(this->queue.front());
    this->queue.pop_front();
    // A second request for a job goes into the next transaction, which finds the row of the first.
    const bool isFirst = batchedJobs.insert(request.job).second;
    (isFirst ? batch.emplace_back() : postponed.emplace_back()) = std::move(request);
  }
  this->queue.insert(this->queue.begin(),
                     std::make_move_iterator(postponed.begin()),
                     std::make_move_iterator(postponed.end()));
  return batch;
}

void
JobCanceller::CommitTombstones()
{
  const auto now = this->dependencies.clock.Now();
  if (this->isCommitInFlight || this->isTimerSet || this->queue.empty()) {
    return;
  }
  if (now < this->nextCommit) {
    this->isTimerSet = true;
    this->dependencies.timer.RunAfter(this->nextCommit - now, [this] {
      this->isTimerSet = false;
      this->CommitTombstones();
    });
    return;
  }
  auto batch = std::make_shared<std::vector<Request>>(this->TakeBatch());
  const auto writtenAt = this->dependencies.store.StoreTime().value_or(Milliseconds{ 0 });
  Transaction transaction{ .spansPartitions = batch->size() > 1 };
  for (auto& request : *batch) {
    const auto key = JobRowKey(request.job, JobRowKind::Specification);
    request.tombstone.writtenAt = writtenAt;
    transaction.conditions.push_back({ .key = key, .version = request.replacedVersion });
    transaction.writes.push_back({ .key = key, .value = EncodeTombstone(request.tombstone) });
  }
  this->isCommitInFlight = true;
  this->dependencies.store.Commit(
    std::move(transaction), [this, batch, now](const Result<CommitResult>& aResult) {
      const auto end = this->dependencies.clock.Now();
      this->isCommitInFlight = false;
      this->nextCommit =
        end + std::clamp(end - now, this->options.minPause, this->options.maxPause);
      this->OnTombstonesCommitted(*batch, aResult);
      this->CommitTombstones();
    });
}

void
JobCanceller::OnTombstonesCommitted(std::vector<Request>& aBatch,
                                    const Result<CommitResult>& aResult)
{
  if (!IsError(aResult) && !ValueOf(aResult).isCommitted) {
    this->OnConflict(aBatch, ValueOf(aResult).currentRows);
    return;
  }
  for (auto& request : aBatch) {
    if (IsError(aResult)) {
      auto verdict = ErrorOf(aResult);
      verdict.retryAfter = this->options.retryAfter;
      request.handler(std::move(verdict));
      continue;
    }
    this->written.Add();
    request.handler(CancelResult::UnknownJob);
  }
  if (IsError(aResult)) {
    this->RejectQueued();
  }
}

void
JobCanceller::RejectQueued()
{
  for (auto& request : std::exchange(this->queue, {})) {
    request.handler(NotRun(ErrorCode::Unavailable,
                           "The store does not take the cancellation.",
                           this->options.retryAfter));
  }
}

void
JobCanceller::OnConflict(std::vector<Request>& aBatch, const std::vector<Row>& aCurrentRows)
{
  std::map<RowKey, std::uint64_t> currentVersions;
  for (const auto& row : aCurrentRows) {
    currentVersions[row.key] = row.version;
  }
  std::vector<Request> unchanged;
  for (auto& request : aBatch) {
    const auto found = currentVersions.find(JobRowKey(request.job, JobRowKind::Specification));
    const auto version = found == currentVersions.end() ? 0 : found->second;
    if (version == request.replacedVersion) {
      unchanged.push_back(std::move(request));
    } else {
      this->Decide(std::move(request));
    }
  }
  // If the store names no row that has changed, the attempts of all count.
  const bool isExplained = unchanged.size() < aBatch.size();
  for (auto request = unchanged.rbegin(); request != unchanged.rend(); ++request) {
    if (isExplained) {
      this->queue.push_front(std::move(*request));
    } else {
      this->Decide(std::move(*request));
    }
  }
}

}
