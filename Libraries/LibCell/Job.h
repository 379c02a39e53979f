#pragma once

/// @file
/// The leader's state of a job, its occurrences, steps and tasks.

#include <LibCell/Ports.h>
#include <LibCell/Specification.h>
#include <map>
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

/// Scheduling state of a task.
enum class TaskPhase : std::uint8_t
{
  /// A previous leader may have started it at a worker that has not reported yet.
  Unresolved,
  Waiting,
  /// Running at a worker, or its start order was sent.
  Placed,
  Succeeded,
};

/// A task's scheduling state and what its runs left behind.
struct Task
{
  TaskPhase phase = TaskPhase::Waiting;
  /// Number of the latest run; 0 if there was none.
  std::uint64_t run = 0;
  WorkerId worker;
  std::string checkpoint;
  /// Numbers of the runs that failed. A set, since several workers report ends in any order.
  std::set<std::uint64_t> failedRuns;
  /// The task is not started before this time.
  TimePoint earliestStart{};
  /// Worker of the last failed run; the task runs elsewhere next if possible.
  WorkerId lastFailedWorker;
};

/// A ticket of the policy service with which a step's tasks can start at one worker.
struct CachedTicket
{
  std::string text;
  TimePoint expires{};
};

/// Responses of the policy service about a step. The eligible workers of a step never change, but
/// tickets expire.
struct StepAdvice
{
  /// The policy service has responded at least once.
  bool hasResponse = false;
  /// A response arrived since the last placement attempt.
  bool hasNewResponse = false;
  std::uint32_t requestsInFlight = 0;
  /// No request is sent before this time.
  TimePoint retryAt{};
  /// The eligible workers known so far, each with its latest ticket.
  std::map<WorkerId, CachedTicket> tickets;
  /// Workers named in a request.
  std::set<WorkerId> requestedWorkers;
};

/// Resources set aside for a gang until its tickets arrive.
struct GangReservation
{
  std::vector<WorkerId> workers;
  TimePoint expires{};
};

/// The state of a step within one occurrence of its job.
struct StepRun
{
  std::vector<Task> tasks;
  std::uint32_t succeededTasks = 0;
  /// All steps that it depends on have succeeded.
  bool isReady = false;
  StepAdvice advice;
  std::optional<GangReservation> reservation;
  /// When a placement attempt first left tasks waiting; reset once none is left.
  TimePoint waitingSince{};
  /// Earliest time of the next log line about the wait.
  TimePoint nextWaitLog{};
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
  /// For each step, the estimated duration of the longest chain of steps that begins with it.
  std::vector<Milliseconds> criticalPaths;
  JobOutcome outcome = JobOutcome::Active;
  /// At least one of its tasks has started.
  bool hasStarted = false;
  /// Its workspace submitted more jobs than its weight allows; placed behind the others.
  bool isBeyondWeight = false;
  /// The outcome is in the store.
  bool isOutcomeDurable = false;
  /// Workers at which a run of the job failed.
  std::set<WorkerId> failedWorkers;
  /// Runs that a previous leader started may exist at workers that have not reported yet.
  bool mayHavePredecessorRuns = false;
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

  [[nodiscard]] std::uint32_t TotalOccurrences() const
  {
    return std::max<std::uint32_t>(1, this->spec.occurrences);
  }
};

/// @return for each step the estimated duration of the longest chain of dependent steps that begins
/// with it, itself included
[[nodiscard]] std::vector<Milliseconds>
ComputeCriticalPaths(const JobSpecification& aSpec);

/// @return the outcome's name in the API
[[nodiscard]] std::string_view
ToString(JobOutcome aOutcome);

}
