#pragma once

/// @file
/// Durable acceptance of jobs.

#include <LibCell/MonitoredStore.h>
#include <LibCell/Records.h>
#include <LibCell/UnansweredWrites.h>
#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace zinc::cell {

/// Limits of the intake.
struct IntakeOptions
{
  /// Jobs of one transaction. The store accepts 100 entries, and each job takes two.
  std::size_t maxJobsPerCommit = 40;
  /// Size at which no more jobs are added to a transaction; the store accepts 1 MB.
  std::size_t maxBytesPerCommit = 700'000;
  /// Jobs that can wait for their transaction in one partition; more are rejected.
  std::size_t maxQueuedJobs = 400;
  /// A job that has waited longer for its transaction is rejected.
  Milliseconds maxQueueTime{ 600 };
  /// Added to the timeout of a transaction, since a caller that gets no response within 3 s may not
  /// submit its job again. The store rejects calls that would wait for more than 1 s.
  Milliseconds extraCommitTimeout{ 600 };
  /// Retry delay for callers that were rejected because of the store.
  Milliseconds retryAfter{ 1000 };
};

/// Writes accepted jobs to the store. Jobs are batched, and a job id is accepted at most once. An
/// id that its workspace cancelled before is not accepted; see @ref Tombstone.
class Intake
{
public:
  using AcceptanceHandler = std::function<void(Result<Done>)>;

  Intake(MonitoredStore& aStore, const Clock& aClock, IntakeOptions aOptions = {});

  /// Accepts a job. Submitting an accepted id again succeeds and has no effect.
  /// @param aHandler gets a verdict if the job was not written; it says whether the job may still
  /// be accepted
  void Submit(const JobSpecification& aSpec, AcceptanceHandler aHandler);

  /// @return true if an earlier write of the job got no response and may still be performed.
  [[nodiscard]] bool MayBeStored(const JobId& aJob) const
  {
    return this->unansweredWrites.Contains(aJob, this->clock.Now());
  }

private:
  struct Entry
  {
    JobId job;
    WorkspaceId workspace;
    std::string value;
    TimePoint received{};
    AcceptanceHandler handler;
    /// Version of another workspace's tombstone that the job replaces; 0 if the id is unused.
    std::uint64_t replacedVersion = 0;
  };

  /// A partition of the job table. Its transactions are sent one at a time.
  struct Partition
  {
    std::deque<Entry> queue;
    bool isBusy = false;
  };

  /// Sends the next transaction of a partition, unless one is in flight.
  void CommitNext(std::size_t aPartition);
  void OnCommitted(std::size_t aPartition,
                   const std::shared_ptr<std::vector<Entry>>& aBatch,
                   const Result<CommitResult>& aResult);
  /// Accepts the jobs whose row exists already, refuses those that were cancelled and requeues the
  /// others.
  void OnConflict(std::size_t aPartition,
                  std::vector<Entry>& aBatch,
                  const std::vector<Row>& aCurrentRows);
  /// Responds to a caller whose job this submission does not write. An earlier one may have.
  void Reject(const JobId& aJob, const AcceptanceHandler& aHandler, Verdict aVerdict) const;

  MonitoredStore& store;
  const Clock& clock;
  IntakeOptions options;
  std::array<Partition, kJobPartitionCount> partitions;
  UnansweredWrites unansweredWrites;
};

}
