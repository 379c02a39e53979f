#pragma once

/// @file
/// The leader's state of a job, its occurrences, steps and tasks.

#include <LibCell/Ports.h>
#include <LibCell/Specification.h>
#include <LibCell/StepAdvice.h>
#include <LibCell/StepTasks.h>
#include <LibCell/StepWait.h>
#include <LibCell/WorkspaceUsage.h>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinc::cell {

/// Whether a job is active, or how it ended. Stored by number.
enum class JobOutcome : std::uint8_t
{
  Active,
  Succeeded,
  Failed,
  Cancelled,
};

/// Why a reservation for a gang has ended.
enum class ReservationEnd : std::uint8_t
{
  None,
  /// The gang was started, or its job has ended.
  Done,
  /// Its tickets, or the room at its workers, came too late.
  Expired,
  /// A reserved worker became unusable, or lost the room.
  WorkerLost,
  /// A ticket expired before the others came, or the policy service gave none.
  TicketMissing,
  /// The request for its tickets failed.
  AdviceFailed,
  /// The workspace's limit no longer allows the gang.
  Limit,
  Evacuated,
  Count,
};

/// @return the name in the log
[[nodiscard]] constexpr std::string_view
ToString(ReservationEnd aEnd)
{
  constexpr std::array<std::string_view, static_cast<std::size_t>(ReservationEnd::Count)> kNames = {
    "none", "done", "expired", "worker", "ticket", "advice", "limit", "evacuated"
  };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

/// Resources set aside for a gang until its tickets arrive.
struct GangReservation
{
  std::vector<WorkerNumber> workers;
  TimePoint expires{};
};

/// The state of a step within one occurrence of its job.
struct StepRun
{
  /// Sets the number of tasks, all of them waiting.
  void CreateTasks(std::uint32_t aCount)
  {
    this->tasks = StepTasks(aCount);
    this->waitingTasks = aCount;
  }
  /// Sets the phase of a task, which is not to be assigned directly.
  void SetPhase(Task& aTask, TaskPhase aPhase)
  {
    this->waitingTasks -= aTask.phase == TaskPhase::Waiting ? 1 : 0;
    this->waitingTasks += aPhase == TaskPhase::Waiting ? 1 : 0;
    this->tasks.SetPhase(aTask, aPhase);
  }
  /// Marks a task that has not succeeded yet.
  void MarkTaskSucceeded(std::uint32_t aIndex)
  {
    this->waitingTasks -= this->tasks.Look(aIndex).phase == TaskPhase::Waiting ? 1 : 0;
    this->tasks.MarkSucceeded(aIndex);
    ++this->succeededTasks;
  }
  /// Marks all tasks.
  void MarkAllTasksSucceeded()
  {
    this->tasks.MarkAllSucceeded();
    this->waitingTasks = 0;
    this->succeededTasks = this->tasks.size();
  }
  /// @return true if the step has tasks to place
  [[nodiscard]] bool IsPending() const { return this->isReady && this->waitingTasks > 0; }

  StepTasks tasks;
  /// Number of tasks in @ref TaskPhase::Waiting.
  std::uint32_t waitingTasks = 0;
  std::uint32_t succeededTasks = 0;
  /// A previous leader recorded that tasks may have started.
  bool mayHaveEarlierRuns = false;
  /// The progress row says that tasks may have started, or will with the next write.
  bool isStartRecorded = false;
  /// Change count of the job that must be stored first; see @ref Job::durableChangeCount.
  std::uint64_t startRecordChange = 0;
  /// All steps that it depends on have succeeded.
  bool isReady = false;
  StepAdvice advice;
  /// Expected run time of its tasks; set once a placement attempt or a start needs it.
  std::shared_ptr<StepTiming> timing;
  /// The latest placement round that attempted it.
  std::uint64_t lastRound = 0;
  std::optional<GangReservation> reservation;
  /// Reservations with which the gang did not start, and how the last of them ended.
  std::uint32_t failedReservations = 0;
  ReservationEnd lastReservationEnd = ReservationEnd::None;
  /// Tickets were requested for a reservation with which the gang has not started: some may have
  /// expired before the others came.
  bool hasTriedReservation = false;
  /// Since a placement attempt first left tasks waiting; reset once none is left.
  StepWait wait;
  /// Length of the wait at which it is logged next.
  Milliseconds nextWaitLog{ 0 };
  /// While the step stands still; see @ref StandsStill.
  StepWait standstill;
  /// Length of the standstill at which it is logged next.
  Milliseconds nextStandstillLog{ 0 };
};

/// The state of one occurrence of a job.
struct OccurrenceRun
{
  std::vector<StepRun> steps;
  std::uint32_t succeededSteps = 0;
  /// Target end time.
  TimePoint objective{};
  /// A later end has no value for the caller. Three times as far away as the objective.
  TimePoint deadline{};
};

/// A job's specification and its state at the leader.
struct Job
{
  JobSpecification spec;
  /// What the job's workspace uses; set when the job is added.
  WorkspaceUsage* workspaceUsage = nullptr;
  /// For each step, the estimated duration of the longest chain of steps that begins with it.
  std::vector<Milliseconds> criticalPaths;
  JobOutcome outcome = JobOutcome::Active;
  /// At least one of its tasks has started.
  bool hasStarted = false;
  /// Its workspace submitted more jobs than its weight allows; placed behind the others.
  bool isBeyondWeight = false;
  /// The outcome is in the store.
  bool isOutcomeDurable = false;
  /// One of its tasks may be what crashed a worker: its starts are recorded, and placed apart from
  /// those of other suspects.
  bool isCrashSuspect = false;
  /// Workers at which a run of the job failed.
  std::set<WorkerId> failedWorkers;
  /// Runs of a previous leader, or ends that it did not store, may exist at workers that have not
  /// reported yet. No task of the job starts meanwhile.
  bool awaitsReports = false;
  /// Previous leaders may have started tasks of any step, recorded or not.
  bool areStartsUnknown = false;
  /// When the request for the job arrived, or when the leader first saw its row if the recorded
  /// time is not plausible.
  TimePoint receivedAt{};
  TimePoint endedAt{};
  std::map<std::uint32_t, OccurrenceRun> occurrences;
  std::uint32_t occurrencesStarted = 0;
  /// All occurrences below this number have succeeded.
  std::uint32_t occurrencesSucceeded = 0;

  /// Store version of its progress row; 0 if the row does not exist.
  std::uint64_t progressVersion = 0;
  /// Number of changes to the content of the progress row.
  std::uint64_t changeCount = 0;
  /// The value of @ref changeCount that the stored row reflects.
  std::uint64_t durableChangeCount = 0;
  /// Change count of its latest record of a start.
  std::uint64_t startRecordChange = 0;

  /// @return true if the record that one of its steps may have started is not stored yet
  [[nodiscard]] bool AwaitsStartRecord() const
  {
    return this->outcome == JobOutcome::Active &&
           this->startRecordChange > this->durableChangeCount;
  }

  /// @return true if no task of one of its steps may start, since runs of a previous leader may
  /// exist
  [[nodiscard]] bool IsHeld(const StepRun& aRun) const
  {
    return this->awaitsReports && (this->areStartsUnknown || aRun.mayHaveEarlierRuns);
  }
  /// @return true if tasks of one of its steps may start: the next leader will know that they may
  /// have
  [[nodiscard]] bool IsStartStored(const StepRun& aRun) const
  {
    return aRun.isStartRecorded && this->durableChangeCount >= aRun.startRecordChange;
  }
  /// @return true if the store has the records of all its steps whose tasks may have started
  [[nodiscard]] bool AreAllStartsStored() const;
  /// @return the specification of a task's step, or null if the job has no such step
  [[nodiscard]] const StepSpecification* FindStep(const TaskKey& aKey) const;
  /// @return the task, or null if its occurrence does not exist or the key is out of range. Valid
  /// until the task changes.
  [[nodiscard]] const Task* FindTask(const TaskKey& aKey) const;
  /// Does the same for a task that is to be changed.
  [[nodiscard]] Task* FindOrCreateTask(const TaskKey& aKey);
  /// @return key of the task in which the failures of a task are counted: of a gang, the first
  [[nodiscard]] TaskKey CountedTask(const TaskKey& aKey) const;
  /// @return the number of failed runs that count for an existing task
  [[nodiscard]] std::size_t CountFailures(const TaskKey& aKey) const;
  /// @return the first occurrence that has not succeeded, or the end
  [[nodiscard]] auto FirstOpenOccurrence() const
  {
    return this->occurrences.lower_bound(this->occurrencesSucceeded);
  }
  [[nodiscard]] std::uint32_t TotalOccurrences() const
  {
    return std::max<std::uint32_t>(1, this->spec.occurrences);
  }
};

/// State of a job as reported to callers.
struct JobStatus
{
  bool isKnown = false;
  JobOutcome outcome = JobOutcome::Active;
  bool hasStarted = false;
  WorkspaceId workspace;
  QueueId queue;
};

/// @return for each step the estimated duration of the longest chain of dependent steps that begins
/// with it, itself included
[[nodiscard]] std::vector<Milliseconds>
ComputeCriticalPaths(const JobSpecification& aSpec);

/// A job that takes this many times its objective has no value any more, by the platform's rules.
inline constexpr int kDeadlineFactor = 3;

/// @return the time from a job's receipt to its target end
/// @param aCriticalPath estimated duration of the longest chain of its steps
[[nodiscard]] Milliseconds
ComputeObjective(const QueuePolicy& aQueue, Milliseconds aCriticalPath);

/// @return the outcome's name in the API
[[nodiscard]] std::string_view
ToString(JobOutcome aOutcome);

}
