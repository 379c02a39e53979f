#pragma once

/// @file
/// A job as submitted: its queue's policy, its steps and the names of its tasks.

#include <LibBase/Identifier.h>
#include <LibBase/Resources.h>
#include <LibBase/Time.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace zinc::cell {

/// Milliseconds since 1970.
using WallTime = std::chrono::sys_time<Milliseconds>;

/// Duration of a queue's policy service calls and the validity of its tickets.
struct AdvicePolicy
{
  /// Fixed part of a call's duration.
  double baseMs = 0.0;
  /// Duration that each worker in the request adds.
  double perWorkerMs = 0.0;
  /// How long a ticket is valid after it was issued.
  Milliseconds ticketValidity{ 0 };

  friend bool operator==(const AdvicePolicy&, const AdvicePolicy&) = default;
};

/// @return the usual duration of a call that names this many workers
[[nodiscard]] inline Milliseconds
ExpectedDuration(const AdvicePolicy& aPolicy, std::size_t aWorkers)
{
  return SaturatedMilliseconds(aPolicy.baseMs +
                               aPolicy.perWorkerMs * static_cast<double>(aWorkers));
}

/// Scheduling policy of a queue.
struct QueuePolicy
{
  QueueId name;
  /// Name of the worker pool that runs its tasks.
  std::string pool;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Number of failed runs of one task that fails its job.
  std::uint32_t maxAttempts = 1;
  /// A job's objective is its critical path times this factor, plus @ref slack.
  double stretch = 1.0;
  Milliseconds slack{ 0 };
  /// The queue's tasks need a ticket of the policy service.
  bool needsAdvice = false;
  AdvicePolicy advice;
};

/// A step: a number of identical tasks.
struct StepSpecification
{
  std::uint32_t count = 1;
  /// Resources of each task.
  Resources demand;
  /// The caller's rough estimate of a task's run time.
  Milliseconds estimate{ 0 };
  /// Indices of earlier steps that must succeed before this one starts.
  std::vector<std::uint32_t> dependsOn;
  /// Its tasks write checkpoints from which a later run resumes.
  bool hasCheckpoints = false;
  /// All tasks run together or not at all.
  bool isGang = false;
  /// A gang is slower when its tasks are on several racks.
  bool prefersSameRack = false;
  /// A speculative copy of a slow task is allowed.
  bool canSpeculate = false;
  /// Runs until the job is cancelled.
  bool isService = false;
  /// Uses processor time that other tasks leave idle; its cores are not reserved.
  bool isBestEffort = false;
  /// Label that a worker needs; empty if any worker is suitable.
  std::string requiredLabel;
  /// Rack that holds the step's data; empty for none.
  std::string dataRack;
  /// Program that the tasks run; tasks of the same image behave alike.
  std::string image;
  /// Maximum number of the step's tasks on one worker; 0 for no limit.
  std::uint32_t maxTasksPerWorker = 0;
  /// Upper limit of a service task's tail latency; 0 for none.
  Milliseconds tailLatencyTarget{ 0 };
  /// @ref availabilityBudget is set.
  bool hasAvailabilityBudget = false;
  /// Maximum number of service tasks that the scheduler itself can make unavailable at a time.
  std::uint32_t availabilityBudget = 0;
};

/// A job as it was accepted; never changes.
struct JobSpecification
{
  JobId id;
  WorkspaceId workspace;
  /// The queue's policy at acceptance; used if the queue is removed later.
  QueuePolicy queue;
  /// Passed to the workers as is.
  std::string payload;
  std::vector<StepSpecification> steps;
  /// Number of times that the steps run at @ref interval; 0 to run once, immediately.
  std::uint32_t occurrences = 0;
  /// Due time of the first occurrence.
  WallTime firstDue{};
  Milliseconds interval{ 0 };
  /// Arrival of the first request for the job, on the receiving instance's clock.
  WallTime received{};
};

/// Identifies a task within its job.
struct TaskKey
{
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskKey&, const TaskKey&) = default;
};

/// Identifies a task within the cell.
struct TaskName
{
  JobId job;
  TaskKey key;

  friend bool operator==(const TaskName&, const TaskName&) = default;
};

}
