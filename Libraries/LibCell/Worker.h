#pragma once

/// @file
/// A worker as the leader sees it.

#include <LibCell/Ports.h>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinc::cell {

/// Whether a worker can be spoken to.
enum class WorkerReachability : std::uint8_t
{
  /// Its lists were not read under the present token.
  Unsynced,
  Reachable,
  /// It does not answer.
  Unreachable,
};

/// What is known of a run at a worker.
enum class RunPhase : std::uint8_t
{
  /// The start was sent and not answered.
  Starting,
  /// The start was lost: the run may be there, or may appear later.
  Uncertain,
  Running,
  /// A stop was sent.
  Stopping,
};

/// A run that occupies room at a worker.
struct Allocation
{
  TaskName task;
  std::uint64_t run = 0;
  Resources demand;
  /// The job has ended and its steps are no longer known.
  bool isSizeUnknown = false;
  WorkspaceId workspace;
  RunPhase phase = RunPhase::Starting;
  /// When the phase began.
  TimePoint since{};
  TimePoint started{};
  /// A stop was answered; the run can no longer appear.
  bool isStopAnswered = false;
  bool isStopInFlight = false;
  TimePoint nextStop{};
  bool isService = false;
  bool isBestEffort = false;
  Milliseconds tailTarget{ 0 };
  int percent = 0;
  TimePoint percentChanged{};
  std::int64_t load = 0;
  int pace = 100;
  std::string checkpoint;
  Milliseconds estimate{ 0 };
};

/// An end that was seen and is not yet in the store.
struct UnacknowledgedEnd
{
  std::uint64_t sequence = 0;
  JobId job;
  /// Change of the job's progress that records it; 0 if nothing has to be recorded.
  std::uint64_t change = 0;
};

/// A worker with all that the leader believes of it.
struct Worker
{
  WorkerEntry entry;
  /// Its row is in the store.
  bool isListed = true;
  WorkerReachability reachability = WorkerReachability::Unsynced;
  /// The worker's clock less ours, ms; never more than the true difference.
  std::int64_t clockOffset = 0;
  bool isClockKnown = false;
  /// Start of the life that we speak to, as it said itself.
  std::int64_t incarnation = 0;
  /// Nothing started or held by this leader can run here beyond it.
  TimePoint leaseEnd{};
  std::uint64_t seenSequence = 0;
  std::uint64_t acknowledged = 0;
  std::deque<UnacknowledgedEnd> unacknowledged;
  bool isHoldInFlight = false;
  TimePoint nextHold{};
  TimePoint lastAnswer{};
  std::uint32_t holdFailures = 0;
  /// Round of the placement that last took it into its pool.
  std::uint64_t pooledIn = 0;
  Resources used;
  Resources reserved;
  std::uint32_t runsOfUnknownSize = 0;
  std::vector<Allocation> allocations;
  /// Failed runs in a row that speak against the worker.
  std::uint32_t failureStreak = 0;
  TaskName lastFailed;
  TimePoint avoidUntil{};
  /// Run time over the estimate, smoothed; 1 is the cell's mean.
  double slowness = 1.0;

  [[nodiscard]] Resources Free() const
  {
    return this->entry.capacity - this->used - this->reserved;
  }

  [[nodiscard]] Allocation* Find(const TaskName& aTask, std::uint64_t aRun)
  {
    for (auto& occupant : this->allocations) {
      if (occupant.run == aRun && occupant.task == aTask) {
        return &occupant;
      }
    }
    return nullptr;
  }
};

}
