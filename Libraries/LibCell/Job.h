#pragma once

/// @file
/// A job's state at the leader.

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

/// How far a job is.
enum class JobOutcome : std::uint8_t
{
  Active,
  Succeeded,
  Failed,
  Cancelled,
};

/// How far a task is.
enum class TaskPhase : std::uint8_t
{
  /// A previous leader may have started it at a worker that was not read yet.
  Unresolved,
  Waiting,
  /// Present at a worker, or on its way there.
  Placed,
  Succeeded,
};

/// A task's state.
struct Task
{
  TaskPhase phase = TaskPhase::Waiting;
  /// Newest run; 0 if there was none.
  std::uint64_t run = 0;
  WorkerId worker;
  std::string checkpoint;
  /// Runs that failed. Kept by number, since ends at several workers are read in any order.
  std::set<std::uint64_t> failedRuns;
  /// No start before it.
  TimePoint notBefore{};
  /// Where its last run failed; tried again elsewhere if possible.
  WorkerId failedAt;
};

/// A ticket held for a step.
struct HeldTicket
{
  std::string text;
  TimePoint expires{};
};

/// What is known of the workers that may run a step. The set does not change; tickets lapse.
struct StepAdvice
{
  bool isComplete = false;
  /// An answer has come since the step was looked at.
  bool isNews = false;
  std::uint32_t questionsOpen = 0;
  TimePoint retryAt{};
  std::map<WorkerId, HeldTicket> good;
  /// Workers that a question has named.
  std::set<WorkerId> asked;
};

/// Room set aside for a gang until its tickets arrive.
struct GangReservation
{
  std::vector<WorkerId> workers;
  TimePoint expires{};
};

/// One run of a step's tasks.
struct StepRun
{
  std::vector<Task> tasks;
  std::uint32_t succeeded = 0;
  /// Every step before it has succeeded.
  bool isOpen = false;
  StepAdvice advice;
  std::optional<GangReservation> reservation;
  /// When its tasks were found waiting for the first time since the last start.
  TimePoint waitsSince{};
  TimePoint nextWaitLine{};
};

/// One occurrence of a job.
struct OccurrenceRun
{
  std::vector<StepRun> steps;
  std::uint32_t stepsSucceeded = 0;
  /// Objective for its end.
  TimePoint objective{};
  /// An end after it is of no worth to the caller: three times the objective.
  TimePoint worthless{};
};

/// A job with all that is known of it.
struct Job
{
  JobSpecification spec;
  /// Longest chain of estimated work from each step to the job's end.
  std::vector<Milliseconds> remaining;
  JobOutcome outcome = JobOutcome::Active;
  /// A task of it has started.
  bool hasStarted = false;
  /// The job's workspace sends more than it is entitled to; served when there is room.
  bool isBeyondWeight = false;
  /// The end is in the store.
  bool isOutcomeDurable = false;
  /// Workers at which runs of it have failed.
  std::set<WorkerId> failedAt;
  /// A leader before this one may have started tasks of it.
  bool mayRunElsewhere = false;
  TimePoint firstSeen{};
  TimePoint ended{};
  std::map<std::uint32_t, OccurrenceRun> occurrences;
  std::uint32_t occurrencesBegun = 0;
  /// Occurrences up to this number have all succeeded.
  std::uint32_t occurrencesSucceeded = 0;

  /// Version of its progress row; 0 if there is none.
  std::uint64_t progressVersion = 0;
  /// Counts changes of what the progress row holds.
  std::uint64_t changes = 0;
  std::uint64_t durableChanges = 0;

  [[nodiscard]] std::uint32_t TotalOccurrences() const
  {
    return std::max<std::uint32_t>(1, this->spec.occurrences);
  }
};

/// @return for each step the longest chain of estimated work to the job's end, itself included.
[[nodiscard]] std::vector<Milliseconds>
RemainingChains(const JobSpecification& aSpec);

/// @return the name callers see.
[[nodiscard]] std::string_view
ToString(JobOutcome aOutcome);

}
