#pragma once

/// @file
/// Drives durable jobs from their acceptance to their end.

#include <LibDriver/DrivenJob.h>
#include <LibDriver/TaskRouter.h>
#include <LibJobs/Submission.h>
#include <LibLedger/Ledger.h>
#include <LibPlatform/Worker.h>
#include <map>
#include <memory>
#include <unordered_map>

namespace zinc {

/// Fixed at creation.
struct JobDriverOptions
{
  EntryId self;
  ZoneId zone;
  /// A worker that has been missing from the instance list for this long runs nothing any more.
  Milliseconds unlistedTimeout{ 30'000 };
};

/// What a driver works with; all of it outlives the driver.
struct JobDriverEnvironment
{
  const Clock& clock;
  Ledger& ledger;
  TaskRouter& router;
  std::function<void(const EntryId&, Notice)> send;
  std::function<WallTime()> wallClock;
  /// @return the queue, or null if it is not in the document any more.
  std::function<const Queue*(const QueueId&)> findQueue;
  /// @return a client of a listed worker; null if it is not listed.
  std::function<std::shared_ptr<Worker>(const WorkerId&)> probe;
};

/// Places the tasks of jobs of this availability zone whose shard is driven here, records their
/// starts before they are sent and their ends before they are told, and answers callers. Not
/// thread-safe; used on the control thread.
class JobDriver final : public LedgerObserver
{
public:
  using Handler = std::function<void(Result<JobAnswer>)>;

  JobDriver(JobDriverOptions aOptions, JobDriverEnvironment aEnvironment);

  /// Accepts a submission durably.
  /// @param aWait how long the answer may wait for the job's end; 0 answers with acceptance
  void Submit(const Submission& aSubmission,
              const Queue& aQueue,
              Milliseconds aWait,
              Handler aHandler);

  /// Answers with the job's state, at the latest after @p aWait.
  void Query(const TeamId& aTeam, const RequestId& aRequest, Milliseconds aWait, Handler aHandler);

  /// Records a cancellation.
  void Cancel(const TeamId& aTeam, const RequestId& aRequest, Handler aHandler);

  /// Takes over or keeps driving exactly these shards.
  void Drive(std::vector<ShardIndex> aShards);

  /// Forgets placements at an owner that is gone.
  void OnOwnerDead(const EntryId& aOwner);

  void OnRefused(const EntryId& aFrom, const TaskRefused& aNotice);
  void OnClaim(const EntryId& aFrom, const ClaimTask& aNotice);
  void OnStarted(const EntryId& aFrom, const TaskStarted& aNotice);
  void OnEnded(const EntryId& aFrom, const TaskEnded& aNotice);
  void OnLost(const EntryId& aFrom, const TaskLost& aNotice);

  /// Applies the time. Call it at least every 100 ms.
  void Tick();

  /// @return callers that wait for the end of a job.
  [[nodiscard]] std::size_t OpenWaiters() const;

  /// @return unfinished jobs driven here.
  [[nodiscard]] std::size_t OpenJobs() const { return this->jobs.size(); }

  void RecordApplied(ShardIndex aShard, const EntryId& aWriter, const Record& aRecord) override;
  void ShardReloaded(ShardIndex aShard) override;

private:
  /// A driven task with its job and its record.
  struct TaskView
  {
    DrivenJob& job;
    DrivenTask& task;
    const LedgerJob& recorded;
    const LedgerTask& recordedTask;
    TaskIndex index = 0;
  };

  /// How far the question whether an attempt runs has come.
  struct ResolutionStep
  {
    LeaseTerm term = 0;
    /// The worker has refused the term as stale since the attempt was last found unknown.
    bool termIsOver = false;
  };

  [[nodiscard]] std::optional<TaskView> View(const TaskId& aTask);
  [[nodiscard]] bool IsDriven(ShardIndex aShard) const;
  [[nodiscard]] DriverEpoch EpochOf(const JobId& aJob) const;

  void RefreshDue();
  void TakeOver(ShardIndex aShard);
  void Adopt(ShardIndex aShard);
  void StartDriving(const LedgerJob& aJob);
  void Advance(const JobId& aJob);
  void AdvanceCancelled(DrivenJob& aJob, const LedgerJob& aRecorded);
  void AdvanceGang(DrivenJob& aJob, const LedgerJob& aRecorded);
  void AdvanceTask(DrivenJob& aJob, const LedgerJob& aRecorded, TaskIndex aTask);
  void PlaceDue(DrivenJob& aJob, const LedgerJob& aRecorded);
  void PlaceGang(DrivenJob& aJob, const LedgerJob& aRecorded);
  void PlaceTask(DrivenJob& aJob,
                 const LedgerJob& aRecorded,
                 TaskIndex aTask,
                 const EntryId& aOwner);
  void Postpone(DrivenTask& aTask);
  /// How the end of an attempt is known.
  enum class EndSource : std::uint8_t
  {
    Reported,
    /// The worker is gone.
    WorkerLost,
  };

  void RecordOutcome(const AttemptId& aAttempt,
                     const TaskEnded& aEnd,
                     EndSource aSource = EndSource::Reported);
  void EndJob(DrivenJob& aJob, JobEnd aEnd, RunState aRun, std::string aResult);
  void Resolve(const TaskView& aView);
  void AskWorker(const TaskView& aView, const ResolutionStep& aStep);
  void OnInspected(const AttemptId& aAttempt,
                   const ResolutionStep& aStep,
                   const Result<TaskStatus>& aReply);
  void Forbid(const TaskView& aView, const AttemptId& aAttempt, LeaseTerm aTerm);
  void OnForbidden(const AttemptId& aAttempt, LeaseTerm aTerm, const Result<TaskStatus>& aReply);
  void ResolveUnlisted(const TaskView& aView);
  void TakeStatus(const AttemptId& aAttempt, const TaskStatus& aStatus);
  void AnswerWaiters(const JobId& aJob);
  void Await(const JobId& aJob, Milliseconds aWait, Handler aHandler);
  [[nodiscard]] Result<JobAnswer> AnswerOf(const LedgerJob& aJob) const;
  [[nodiscard]] JobState StateOf(const LedgerJob& aJob) const;
  [[nodiscard]] std::uint32_t MaxAttempts(const LedgerJob& aJob) const;

  JobDriverOptions options;
  JobDriverEnvironment environment;
  std::vector<ShardIndex> wanted;
  std::map<ShardIndex, bool> takingOver;
  std::unordered_map<JobId, DrivenJob> jobs;
  std::unordered_map<JobId, std::vector<JobWaiter>> waiters;
  TimePoint lastTakeOver{};
  TimePoint lastRefresh{};
};

}
