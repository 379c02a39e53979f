#include <LibCell/CellScheduler.h>

#include <algorithm>
#include <iterator>

namespace zinc::cell {

namespace {

/// A transaction holds 100 entries; each job takes a condition and a write.
constexpr std::size_t kJobsPerFlush = 48;
/// Each job takes a write and a removal.
constexpr std::size_t kJobsPerCompaction = 40;
constexpr Milliseconds kCompactPause{ 250 };
constexpr Milliseconds kCompactRetry{ 2000 };
/// The store answers in a few ms; above this it is slow.
constexpr Milliseconds kSlowAnswer{ 60 };
/// A transaction's size limit, with room for its conditions.
constexpr std::size_t kBytesPerFlush = 700'000;
/// Time until a write is tried again that the store did not answer.
constexpr Milliseconds kFlushRetry{ 150 };

}

void
CellScheduler::Flush()
{
  if (this->dirty.empty() || this->dependencies.clock.Now() < this->nextFlush) {
    return;
  }
  std::vector<std::uint32_t> free;
  for (std::uint32_t lane = 0; lane < kProgressPartitionCount; ++lane) {
    if (!this->busyLanes.at(lane)) {
      free.push_back(lane);
    }
  }
  if (this->isStoreSlow) {
    for (const auto lane : free) {
      this->FlushLanes({ &lane, 1 });
    }
  } else if (free.size() == kProgressPartitionCount) {
    this->FlushLanes(free);
  }
}

void
CellScheduler::FlushLanes(std::span<const std::uint32_t> aLanes)
{
  const auto now = this->dependencies.clock.Now();
  Transaction transaction;
  std::vector<std::pair<JobId, std::uint64_t>> written;
  std::set<std::uint32_t> lanes;
  std::size_t bytes = 0;
  // Outcomes go first, since callers wait for them.
  std::vector<JobId> order;
  std::ranges::copy_if(this->dirty, std::back_inserter(order), [aLanes](const JobId& aJob) {
    return std::ranges::find(aLanes, ProgressPartition(aJob)) != aLanes.end();
  });
  std::stable_partition(order.begin(), order.end(), [this](const JobId& aJob) {
    return this->jobs.at(aJob).outcome != JobOutcome::Active;
  });
  for (const auto& id : order) {
    if (written.size() == kJobsPerFlush || bytes > kBytesPerFlush) {
      break;
    }
    const auto& job = this->jobs.at(id);
    const auto key = JobRowKey(id, JobRowKind::Progress);
    transaction.conditions.push_back({ .key = key, .version = job.progressVersion });
    transaction.writes.push_back({ .key = key, .value = EncodeProgress(ProgressOf(job)) });
    bytes += transaction.writes.back().value.size();
    written.emplace_back(id, job.changes);
    lanes.insert(ProgressPartition(id));
  }
  if (written.empty()) {
    return;
  }
  transaction.spansPartitions = lanes.size() > 1;
  for (const auto lane : lanes) {
    this->busyLanes.at(lane) = true;
  }
  auto sent = transaction;
  this->dependencies.store.Commit(
    std::move(transaction),
    [this, guard = std::weak_ptr<bool>(this->alive), written, lanes, now, sent = std::move(sent)](
      Result<CommitResult> aAnswer) {
      if (guard.expired()) {
        return;
      }
      for (const auto lane : lanes) {
        this->busyLanes.at(lane) = false;
      }
      this->isStoreSlow = this->dependencies.clock.Now() - now > kSlowAnswer;
      this->OnFlushed(written, sent, aAnswer);
    });
}

void
CellScheduler::Compact()
{
  const auto now = this->dependencies.clock.Now();
  // Only with a good number at a time, and not while the store is slow: nobody waits for it.
  const bool isWorthwhile = this->toCompact.size() >= kJobsPerCompaction && !this->isStoreSlow;
  if (this->isCompactInFlight || !isWorthwhile || now < this->nextCompact) {
    return;
  }
  Transaction transaction{ .spansPartitions = true };
  std::vector<JobId> compacted;
  while (compacted.size() < kJobsPerCompaction && !this->toCompact.empty()) {
    const auto id = this->toCompact.front();
    this->toCompact.pop_front();
    const auto* job = this->FindJob(id);
    if (job == nullptr) {
      continue;
    }
    compacted.push_back(id);
    transaction.writes.push_back({ .key = JobRowKey(id, JobRowKind::Specification),
                                   .value = EncodeEndedJob({ .outcome = job->outcome,
                                                             .workspace = job->spec.workspace,
                                                             .queue = job->spec.queue.name }) });
    transaction.removals.push_back(JobRowKey(id, JobRowKind::Progress));
  }
  this->isCompactInFlight = true;
  this->dependencies.store.Commit(
    std::move(transaction),
    [this, guard = std::weak_ptr<bool>(this->alive), compacted](Result<CommitResult> aAnswer) {
      if (guard.expired()) {
        return;
      }
      this->isCompactInFlight = false;
      this->nextCompact = this->dependencies.clock.Now() + kCompactPause;
      if (IsError(aAnswer)) {
        // The rows are the same however often they are written.
        this->toCompact.insert(this->toCompact.end(), compacted.begin(), compacted.end());
        this->nextCompact += kCompactRetry;
      }
    });
}

void
CellScheduler::OnFlushed(const std::vector<std::pair<JobId, std::uint64_t>>& aJobs,
                         const Transaction& aSent,
                         const Result<CommitResult>& aAnswer)
{
  const auto now = this->dependencies.clock.Now();
  this->nextFlush = now + this->options.flushPause;
  if (IsError(aAnswer)) {
    this->nextFlush = now + kFlushRetry;
    this->dependencies.log.Log(
      LogLevel::Warning,
      "progress_unwritten",
      { { "jobs", aJobs.size() }, { "reason", ErrorOf(aAnswer).message } });
    return;
  }
  const auto& answer = ValueOf(aAnswer);
  if (!answer.isCommitted) {
    this->OnFlushConflict(aJobs, aSent, answer);
    return;
  }
  for (const auto& [id, changes] : aJobs) {
    if (auto* job = this->FindJob(id)) {
      this->OnProgressDurable(*job, changes, answer.version);
    }
  }
  this->AdvanceAcknowledgements();
}

void
CellScheduler::OnProgressDurable(Job& aJob, std::uint64_t aChanges, std::uint64_t aVersion)
{
  aJob.progressVersion = std::max(aJob.progressVersion, aVersion);
  aJob.durableChanges = std::max(aJob.durableChanges, aChanges);
  if (aJob.changes > aJob.durableChanges) {
    return;
  }
  this->dirty.erase(aJob.spec.id);
  if (aJob.outcome != JobOutcome::Active) {
    this->OnOutcomeDurable(aJob);
  }
}

void
CellScheduler::OnFlushConflict(const std::vector<std::pair<JobId, std::uint64_t>>& aJobs,
                               const Transaction& aSent,
                               const CommitResult& aAnswer)
{
  std::map<RowKey, Row> standing;
  for (const auto& row : aAnswer.currentRows) {
    standing[row.key] = row;
  }
  for (std::size_t index = 0; index < aJobs.size(); ++index) {
    const auto& condition = aSent.conditions[index];
    const auto found = standing.find(condition.key);
    const std::uint64_t version = found == standing.end() ? 0 : found->second.version;
    auto* job = this->FindJob(aJobs[index].first);
    if (version == condition.version || job == nullptr) {
      continue;
    }
    if (version == 0) {
      job->progressVersion = 0;
      continue;
    }
    if (found->second.value == aSent.writes[index].value) {
      // An earlier write of the same was carried out although its answer was lost.
      this->OnProgressDurable(*job, aJobs[index].second, version);
      continue;
    }
    this->dependencies.log.Log(
      LogLevel::Info,
      "progress_conflict",
      { { "job", job->spec.id.value }, { "expected", condition.version }, { "found", version } });
    this->AdoptProgress(*job, found->second);
  }
  this->AdvanceAcknowledgements();
}

void
CellScheduler::AdvanceAcknowledgements()
{
  const auto now = this->dependencies.clock.Now();
  for (auto& [id, worker] : this->workers) {
    bool hasAdvanced = false;
    while (!worker->unacknowledged.empty()) {
      const auto& end = worker->unacknowledged.front();
      const auto* job = this->FindJob(end.job);
      const bool isDurable = end.change == 0 || job == nullptr ||
                             job->durableChanges >= end.change || job->isOutcomeDurable;
      if (!isDurable) {
        break;
      }
      worker->acknowledged = end.sequence;
      worker->unacknowledged.pop_front();
      hasAdvanced = true;
    }
    if (hasAdvanced && worker->unacknowledged.empty()) {
      worker->nextHold = std::min(worker->nextHold, now);
    }
  }
}

}
