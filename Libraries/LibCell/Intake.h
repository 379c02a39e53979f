#pragma once

/// @file
/// Durable acceptance of jobs and of cancellations.

#include <LibCell/MonitoredStore.h>
#include <LibCell/Records.h>
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

/// Outcome of a cancellation.
enum class CancelResult : std::uint8_t
{
  Recorded,
  AlreadyEnded,
  UnknownJob,
};

/// Writes accepted jobs and cancellations to the store. Jobs are batched, and a job id is accepted
/// at most once.
class Intake
{
public:
  using AcceptanceHandler = std::function<void(Result<Done>)>;

  Intake(MonitoredStore& aStore, const Clock& aClock, IntakeOptions aOptions = {});

  /// Accepts a job. Submitting an accepted id again succeeds and has no effect.
  /// @param aHandler gets a verdict if the job was not written; it says whether the job may still
  /// be accepted
  void Submit(const JobSpecification& aSpec, AcceptanceHandler aHandler);

  /// Records a request to cancel a job.
  /// @param aWorkspace the workspace that the job must belong to; empty for any
  void Cancel(const JobId& aJob, const WorkspaceId& aWorkspace, Handler<CancelResult> aHandler);

private:
  struct Entry
  {
    JobId job;
    std::string value;
    TimePoint received{};
    AcceptanceHandler handler;
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
  /// Accepts the jobs whose row exists already and requeues the others.
  void OnConflict(std::size_t aPartition,
                  std::vector<Entry>& aBatch,
                  const std::vector<Row>& aCurrentRows);
  void RecordCancellation(const JobId& aJob, Handler<CancelResult> aHandler);

  MonitoredStore& store;
  const Clock& clock;
  IntakeOptions options;
  std::array<Partition, kJobPartitionCount> partitions;
};

/// State of a job according to its rows in the store.
struct StoredJob
{
  bool isKnown = false;
  WorkspaceId workspace;
  QueueId queue;
  JobOutcome outcome = JobOutcome::Active;
  bool hasStarted = false;
};

/// Reads a job's state from the store.
/// @param aPolicy for rows of ended jobs with several readings; see @ref DecodeEndedJob. May be
/// null
void
ReadStoredJob(StorePort& aStore,
              const JobId& aJob,
              std::shared_ptr<const CellPolicy> aPolicy,
              Handler<StoredJob> aHandler);

}
