#include <LibCell/EndedJobCompactor.h>

namespace zinc::cell {

namespace {

/// Each job needs a write and a removal; the store accepts 100 entries.
constexpr std::size_t kJobsPerBatch = 40;
constexpr Milliseconds kInterval{ 250 };
/// Added to @ref kInterval after a batch that failed.
constexpr Milliseconds kRetryDelay{ 2000 };

}

void
EndedJobCompactor::Add(const JobId& aJob, EndedJobRecord aRecord)
{
  this->queue.emplace_back(aJob, std::move(aRecord));
}

bool
EndedJobCompactor::IsDue() const
{
  return !this->isCommitInFlight && this->queue.size() >= kJobsPerBatch &&
         this->clock.Now() >= this->nextBatch;
}

std::vector<EndedJobCompactor::EndedJob>
EndedJobCompactor::TakeBatch(const std::function<bool(const JobId&)>& aHasRuns)
{
  std::vector<EndedJob> batch;
  const auto count = this->queue.size();
  for (std::size_t number = 0; number < count && batch.size() < kJobsPerBatch; ++number) {
    auto job = std::move(this->queue.front());
    this->queue.pop_front();
    if (aHasRuns(job.first)) {
      this->queue.push_back(std::move(job));
    } else {
      batch.push_back(std::move(job));
    }
  }
  return batch;
}

void
EndedJobCompactor::Compact(const std::function<bool(const JobId&)>& aHasRuns)
{
  this->nextBatch = this->clock.Now() + kInterval;
  auto batch = this->TakeBatch(aHasRuns);
  if (batch.empty()) {
    return;
  }
  Transaction transaction{ .spansPartitions = true };
  for (const auto& [job, record] : batch) {
    transaction.writes.push_back(
      { .key = JobRowKey(job, JobRowKind::Specification), .value = EncodeEndedJob(record) });
    transaction.removals.push_back(JobRowKey(job, JobRowKind::Progress));
  }
  this->isCommitInFlight = true;
  this->store.Commit(std::move(transaction),
                     [this,
                      guard = std::weak_ptr<bool>(this->livenessToken),
                      batch = std::move(batch)](const Result<CommitResult>& aResult) {
                       if (!guard.expired()) {
                         this->OnCommitted(batch, aResult);
                       }
                     });
}

void
EndedJobCompactor::OnCommitted(const std::vector<EndedJob>& aBatch,
                               const Result<CommitResult>& aResult)
{
  this->isCommitInFlight = false;
  this->nextBatch = this->clock.Now() + kInterval;
  if (IsError(aResult)) {
    // The commit may have taken effect; writing the same rows again is harmless.
    this->queue.insert(this->queue.end(), aBatch.begin(), aBatch.end());
    this->nextBatch += kRetryDelay;
  }
}

}
