#include <LibCell/CellScheduler.h>

#include <algorithm>
#include <iterator>

namespace zinc::cell {

namespace {

/// Conditions, writes and removals that the store accepts in one transaction.
constexpr std::size_t kMaxEntriesPerTransaction = 100;
/// Each job needs a condition and a write, and each partition a condition on the term.
constexpr std::size_t kMaxJobsPerFlush = 48;
static_assert(2 * kMaxJobsPerFlush + kProgressPartitionCount <= kMaxEntriesPerTransaction);
/// The store counts as slow above this commit time; it normally commits within a few ms.
constexpr Milliseconds kSlowCommitThreshold{ 60 };
/// No job is added above this size. Leaves room for the conditions within the store's limit on a
/// transaction's size.
constexpr std::size_t kMaxBytesPerFlush = 700'000;
/// Delay after a failed commit.
constexpr Milliseconds kFlushRetryDelay{ 150 };

}

void
CellScheduler::FlushProgress()
{
  const bool isDue = this->dependencies.clock.Now() >= this->nextFlush ||
                     (this->startRecords.HasWaiting() && !this->hasFlushFailed);
  if (this->dirtyJobs.empty() || !isDue) {
    return;
  }
  std::vector<std::uint32_t> idlePartitions;
  for (std::uint32_t partition = 0; partition < kProgressPartitionCount; ++partition) {
    if (!this->partitionsInFlight.at(partition)) {
      idlePartitions.push_back(partition);
    }
  }
  if (this->isStoreSlow) {
    for (const auto partition : idlePartitions) {
      this->FlushPartitions({ &partition, 1 });
    }
  } else if (idlePartitions.size() == kProgressPartitionCount) {
    this->FlushPartitions(idlePartitions);
  }
}

void
CellScheduler::FlushPartitions(std::span<const std::uint32_t> aPartitions)
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Progress);
  const auto now = this->dependencies.clock.Now();
  Transaction transaction;
  std::vector<std::pair<JobId, std::uint64_t>> written;
  std::set<std::uint32_t> partitions;
  std::size_t bytes = 0;
  // Jobs that wait for the record of a start go first, and ended ones next, since callers wait.
  std::vector<JobId> order;
  std::ranges::copy_if(
    this->dirtyJobs, std::back_inserter(order), [aPartitions](const JobId& aJob) {
      return std::ranges::find(aPartitions, ProgressPartitionIndex(aJob)) != aPartitions.end();
    });
  std::stable_partition(order.begin(), order.end(), [this](const JobId& aJob) {
    return this->jobs.at(aJob).outcome != JobOutcome::Active;
  });
  std::stable_partition(order.begin(), order.end(), [this](const JobId& aJob) {
    return this->jobs.at(aJob).AwaitsStartRecord();
  });
  for (const auto& id : order) {
    if (written.size() == kMaxJobsPerFlush || bytes > kMaxBytesPerFlush) {
      break;
    }
    const auto& job = this->jobs.at(id);
    const auto key = JobRowKey(id, JobRowKind::Progress);
    transaction.conditions.push_back({ .key = key, .version = job.progressVersion });
    transaction.writes.push_back({ .key = key, .value = EncodeProgress(MakeProgressRecord(job)) });
    bytes += transaction.writes.back().value.size();
    written.emplace_back(id, job.changeCount);
    partitions.insert(ProgressPartitionIndex(id));
  }
  if (written.empty()) {
    return;
  }
  transaction.spansPartitions = partitions.size() > 1;
  // A leader that was replaced must not store the end of a run, nor acknowledge it afterwards: its
  // successor would find neither the end nor the run. These follow the jobs' conditions.
  for (const auto partition : partitions) {
    transaction.conditions.push_back(
      { .key = ProgressTermRowKey(partition), .version = this->fencingToken });
  }
  for (const auto partition : partitions) {
    this->partitionsInFlight.at(partition) = true;
  }
  auto sent = transaction;
  this->dependencies.store.Commit(std::move(transaction),
                                  [this,
                                   guard = std::weak_ptr<bool>(this->livenessToken),
                                   written,
                                   partitions,
                                   now,
                                   sent = std::move(sent)](Result<CommitResult> aResult) {
                                    if (guard.expired()) {
                                      return;
                                    }
                                    for (const auto partition : partitions) {
                                      this->partitionsInFlight.at(partition) = false;
                                    }
                                    this->isStoreSlow =
                                      this->dependencies.clock.Now() - now > kSlowCommitThreshold;
                                    this->OnFlushed(written, sent, aResult);
                                  });
}

void
CellScheduler::CompactEndedJobs()
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Progress);
  if (this->isStoreSlow || !this->compactor.IsDue()) {
    return;
  }
  const auto jobsWithRuns = this->workers.FindJobsWithRuns();
  this->compactor.Compact([this, &jobsWithRuns](const JobId& aJob) {
    return jobsWithRuns.contains(aJob) || this->unreadWorkers.MayKnowOf(aJob);
  });
}

void
CellScheduler::OnFlushed(const std::vector<std::pair<JobId, std::uint64_t>>& aJobs,
                         const Transaction& aSent,
                         const Result<CommitResult>& aResult)
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Progress);
  const auto now = this->dependencies.clock.Now();
  this->nextFlush = now + this->options.minFlushInterval;
  this->hasFlushFailed = IsError(aResult);
  if (IsError(aResult)) {
    this->nextFlush = now + kFlushRetryDelay;
    this->dependencies.log.Log(
      LogLevel::Warning,
      "progress_unwritten",
      { { "jobs", aJobs.size() }, { "reason", ErrorOf(aResult).message } });
    return;
  }
  const auto& result = ValueOf(aResult);
  if (!result.isCommitted) {
    this->OnFlushConflict(aJobs, aSent, result);
    return;
  }
  for (const auto& [id, changeCount] : aJobs) {
    if (auto* job = this->FindJob(id)) {
      this->OnProgressDurable(*job, changeCount, result.version);
    }
  }
  this->AdvanceAcknowledgements();
  if (this->startRecords.TakeWaiting()) {
    this->nextGangPlacement = {};
    this->isPlacementDue = true;
    this->NotifyPlacementDue();
  }
}

void
CellScheduler::OnProgressDurable(Job& aJob, std::uint64_t aChangeCount, std::uint64_t aVersion)
{
  aJob.progressVersion = std::max(aJob.progressVersion, aVersion);
  aJob.durableChangeCount = std::max(aJob.durableChangeCount, aChangeCount);
  if (aJob.changeCount > aJob.durableChangeCount) {
    return;
  }
  this->dirtyJobs.erase(aJob.spec.id);
  if (aJob.outcome != JobOutcome::Active) {
    this->OnOutcomeDurable(aJob);
  }
}

void
CellScheduler::OnFlushConflict(const std::vector<std::pair<JobId, std::uint64_t>>& aJobs,
                               const Transaction& aSent,
                               const CommitResult& aResult)
{
  std::map<RowKey, Row> currentRows;
  for (const auto& row : aResult.currentRows) {
    currentRows[row.key] = row;
  }
  const auto termConditions = std::span(aSent.conditions).subspan(aJobs.size());
  const bool isReplaced =
    std::ranges::any_of(termConditions, [&currentRows](const RowCondition& aCondition) {
      const auto found = currentRows.find(aCondition.key);
      return found == currentRows.end() || found->second.version != aCondition.version;
    });
  if (isReplaced) {
    this->StepDown("a later term has begun");
    return;
  }
  for (std::size_t index = 0; index < aJobs.size(); ++index) {
    const auto& condition = aSent.conditions[index];
    const auto found = currentRows.find(condition.key);
    const std::uint64_t version = found == currentRows.end() ? 0 : found->second.version;
    auto* job = this->FindJob(aJobs[index].first);
    if (version == condition.version || job == nullptr) {
      continue;
    }
    if (version == 0) {
      job->progressVersion = 0;
      continue;
    }
    if (found->second.value == aSent.writes[index].value) {
      // An earlier commit of the same row took effect although its response was lost.
      this->OnProgressDurable(*job, aJobs[index].second, version);
      continue;
    }
    this->dependencies.log.Log(
      LogLevel::Info,
      "progress_conflict",
      { { "job", job->spec.id.value }, { "expected", condition.version }, { "found", version } });
    this->ApplyProgressRow(*job, found->second);
  }
  this->AdvanceAcknowledgements();
}

void
CellScheduler::AdvanceAcknowledgements()
{
  const auto numbers =
    std::vector<WorkerNumber>(this->workersWithEnds.begin(), this->workersWithEnds.end());
  for (const auto number : numbers) {
    this->AdvanceAcknowledgementsOf(*this->workers.FindByNumber(number));
  }
}

void
CellScheduler::AdvanceAcknowledgementsOf(Worker& aWorker)
{
  const auto now = this->dependencies.clock.Now();
  bool hasAdvanced = false;
  bool coversFailure = false;
  while (!aWorker.unacknowledgedEnds.empty()) {
    const auto& end = aWorker.unacknowledgedEnds.front();
    const auto* job = this->FindJob(end.job);
    const bool isDurable =
      job == nullptr || job->durableChangeCount >= end.changeCount || job->isOutcomeDurable;
    if (!isDurable) {
      break;
    }
    aWorker.acknowledgedSequence = end.sequence;
    coversFailure = coversFailure || end.hasFailed;
    aWorker.unacknowledgedEnds.pop_front();
    hasAdvanced = true;
  }
  if (coversFailure) {
    this->dependencies.log.Log(
      LogLevel::Info,
      "ends_acknowledged",
      { { "worker", aWorker.entry.id.value }, { "through", aWorker.acknowledgedSequence } });
  }
  if (aWorker.unacknowledgedEnds.empty()) {
    this->workersWithEnds.erase(aWorker.number);
    if (hasAdvanced) {
      this->renewals.ScheduleAtLatest(aWorker, now);
    }
  }
}

}
