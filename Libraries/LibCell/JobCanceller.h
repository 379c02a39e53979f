#pragma once

/// @file
/// Durable cancellation of jobs, stored or not.

#include <LibCell/MonitoredStore.h>
#include <LibCell/StoredJob.h>
#include <LibCell/Timer.h>
#include <LibCell/TombstoneBudget.h>
#include <LibMetrics/MetricRegistry.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace zinc::cell {

/// Limits of the canceller.
struct JobCancellerOptions
{
  /// Tombstones of one transaction. The store accepts 100 entries, and each takes two.
  std::size_t maxTombstonesPerCommit = 48;
  /// The next transaction with tombstones waits for as long as the last one took, within these
  /// bounds: the partitions that it spans accept no jobs meanwhile, and cancellations that come
  /// together share one.
  Milliseconds minPause{ 30 };
  Milliseconds maxPause{ 250 };
  TombstoneBudgetOptions budget;
  /// How often a cancellation is decided because another write changed the job's rows meanwhile.
  std::uint32_t maxAttempts = 4;
  /// Retry delay for callers whose cancellation was not decided.
  Milliseconds retryAfter{ 1000 };
};

/// Outcome of a cancellation.
enum class CancelResult : std::uint8_t
{
  Recorded,
  AlreadyEnded,
  /// No job of the workspace is stored under the id. No write that is on its way will add one, and
  /// none is accepted for @ref kTombstoneRetention.
  UnknownJob,
};

/// Cancels jobs in the store, whichever instance accepts or runs them. That a job has no row does
/// not mean that it will have none: another instance may be about to write it, or have written it
/// without a response. An id without a job gets a @ref Tombstone for that reason.
class JobCanceller
{
public:
  struct Dependencies
  {
    MonitoredStore& store;
    TimerPort& timer;
    const Clock& clock;
    MetricRegistry& metrics;
  };

  explicit JobCanceller(Dependencies aDependencies, JobCancellerOptions aOptions = {});

  /// Sets the number of instances that share the cell's tombstones.
  void SetInstanceCount(std::size_t aCount) { this->budget.SetInstanceCount(aCount); }

  /// Cancels a job.
  /// @param aWorkspace the workspace that the job must belong to; empty for any
  /// @param aHandler gets @ref ErrorCode::Overloaded and the time of the next attempt, "not run",
  /// if the id needs a tombstone and the instance may not write more
  void Cancel(const JobId& aJob, const WorkspaceId& aWorkspace, Handler<CancelResult> aHandler);

private:
  struct Request
  {
    JobId job;
    WorkspaceId workspace;
    Handler<CancelResult> handler;
    std::uint32_t attempts = 0;
    /// The tombstone that is written, and the version of the row that it replaces.
    Tombstone tombstone;
    std::uint64_t replacedVersion = 0;
  };

  /// Reads the job's rows and decides by them.
  void Decide(Request aRequest);
  void OnStoredJob(Request aRequest, const StoredJob& aStored);
  void RecordCancellation(const JobId& aJob, Handler<CancelResult> aHandler);
  /// Queues a tombstone.
  /// @param aStored state of the job, which is not known
  void WriteTombstone(Request aRequest, const StoredJob& aStored);
  /// Sends the next transaction with tombstones, unless one is in flight or the pause after the
  /// last one is not over.
  void CommitTombstones();
  /// Takes the first requests of different jobs from the queue.
  [[nodiscard]] std::vector<Request> TakeBatch();
  void OnTombstonesCommitted(std::vector<Request>& aBatch, const Result<CommitResult>& aResult);
  /// Refuses the cancellations that wait behind a transaction that failed: the store would keep
  /// their callers waiting one after another.
  void RejectQueued();
  /// Decides again on ids whose rows have changed, and requeues the others.
  void OnConflict(std::vector<Request>& aBatch, const std::vector<Row>& aCurrentRows);

  Dependencies dependencies;
  JobCancellerOptions options;
  Counter& written;
  Counter& refused;
  TombstoneBudget budget;
  std::deque<Request> queue;
  bool isCommitInFlight = false;
  /// End of the pause after the last transaction.
  TimePoint nextCommit{};
  bool isTimerSet = false;
};

}
