#pragma once

/// @file
/// Durable acceptance of jobs and of their cancellations.

#include <LibCell/MonitoredStore.h>
#include <LibCell/Records.h>
#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace zinc::cell {

/// Bounds of the intake.
struct IntakeOptions
{
  /// Jobs of one transaction; the store takes 100 entries, two for each job.
  std::size_t jobsPerCommit = 40;
  /// Bytes of one transaction; the store takes 1 MB.
  std::size_t bytesPerCommit = 700'000;
  /// Jobs that wait for their transaction in one part.
  std::size_t queueLimit = 400;
  /// A job that waited longer without being sent is refused.
  Milliseconds longestWait{ 600 };
  /// How much longer than for other calls the answer of a transaction is waited for: a caller that
  /// hears nothing may not send its job again, and has 3 s. A store refuses what would wait for
  /// more than 1 s.
  Milliseconds patience{ 600 };
  /// When a caller that was refused for lack of the store should come back.
  Milliseconds retryAfter{ 1000 };
};

/// What became of a cancellation.
enum class CancelResult : std::uint8_t
{
  Recorded,
  AlreadyEnded,
  UnknownJob,
};

/// Writes jobs to the store, several with one transaction, each at most once by its id.
class Intake
{
public:
  using Accepted = std::function<void(Result<Done>)>;

  Intake(MonitoredStore& aStore, const Clock& aClock, IntakeOptions aOptions = {});

  /// Accepts a job. A job with an id that was accepted before is accepted again and stays one.
  /// @param aHandler gets a verdict that says whether the job may yet be accepted
  void Submit(const JobSpecification& aSpec, Accepted aHandler);

  /// Records that a job is to be cancelled.
  /// @param aWorkspace whose job it has to be
  void Cancel(const JobId& aJob, const WorkspaceId& aWorkspace, Handler<CancelResult> aHandler);

private:
  struct Entry
  {
    JobId job;
    std::string value;
    TimePoint received{};
    Accepted handler;
  };

  /// One part of the table; it commits one transaction after the other.
  struct Part
  {
    std::deque<Entry> queue;
    bool isBusy = false;
  };

  void Pump(std::size_t aPart);
  void OnCommitted(std::size_t aPart,
                   const std::shared_ptr<std::vector<Entry>>& aBatch,
                   const Result<CommitResult>& aAnswer);
  void OnStanding(std::size_t aPart, std::vector<Entry>& aBatch, const std::vector<Row>& aStanding);
  void RecordCancellation(const JobId& aJob, Handler<CancelResult> aHandler);

  MonitoredStore& store;
  const Clock& clock;
  IntakeOptions options;
  std::array<Part, kJobPartitionCount> parts;
};

/// What the store says of a job.
struct StoredJob
{
  bool isKnown = false;
  WorkspaceId workspace;
  QueueId queue;
  JobOutcome outcome = JobOutcome::Active;
  bool hasStarted = false;
};

/// Reads what the store says of a job.
void
ReadStoredJob(StorePort& aStore, const JobId& aJob, Handler<StoredJob> aHandler);

}
