#pragma once

/// @file
/// What a caller asks for: a job, its steps and the names of its tasks.

#include <LibBase/Identifier.h>
#include <LibBase/Resources.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace zinc::cell {

/// Milliseconds since 1970.
using WallTime = std::chrono::sys_time<Milliseconds>;

/// What a queue's policy service needs to say which workers may run a step.
struct AdvicePolicy
{
  /// Time that a call takes whatever it asks.
  double baseMs = 0.0;
  /// Time that each worker named adds.
  double perWorkerMs = 0.0;
  /// How long a ticket may be used.
  Milliseconds validity{ 0 };

  friend bool operator==(const AdvicePolicy&, const AdvicePolicy&) = default;
};

/// How a queue is served.
struct QueuePolicy
{
  QueueId name;
  /// Service whose workers run its tasks.
  std::string pool;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Failed runs after which a task fails for good.
  std::uint32_t attempts = 1;
  /// A job's objective is this many times its longest chain of work, and @ref slack more.
  double stretch = 1.0;
  Milliseconds slack{ 0 };
  bool isAdvised = false;
  AdvicePolicy advice;
};

/// A step: a number of equal tasks.
struct StepSpecification
{
  std::uint32_t count = 1;
  /// What each task occupies.
  Resources demand;
  /// The caller's rough estimate of a task's run time.
  Milliseconds estimate{ 0 };
  /// Earlier steps whose tasks must all have succeeded.
  std::vector<std::uint32_t> dependsOn;
  bool checkpoints = false;
  /// All tasks run together or not at all.
  bool isGang = false;
  /// A gang is slower when its tasks are on several racks.
  bool prefersOneRack = false;
  bool maySpeculate = false;
  /// Runs until the job is cancelled.
  bool isService = false;
  /// Uses processor time that others leave over; its processors are not counted.
  bool isBestEffort = false;
  /// Label that a worker must have; empty for none.
  std::string requiredLabel;
  /// Rack that holds the step's data; empty for none.
  std::string dataRack;
  /// Program; tasks of one image behave alike.
  std::string image;
  /// Most tasks of the step on one worker; 0 for no limit.
  std::uint32_t maxPerWorker = 0;
  /// Bound of the tail of the response times of a serving task; 0 for none.
  Milliseconds tailTarget{ 0 };
  /// Serving tasks that may be away at a time by the system's own doing.
  bool hasAvailabilityBudget = false;
  std::uint32_t availabilityBudget = 0;
};

/// A job as it was accepted.
struct JobSpecification
{
  JobId id;
  WorkspaceId workspace;
  /// The queue's policy when the job was accepted; used if the queue is removed later.
  QueuePolicy queue;
  /// Passed to the workers unread.
  std::string payload;
  std::vector<StepSpecification> steps;
  /// How often the steps run; 0 for once, at once.
  std::uint32_t occurrences = 0;
  WallTime firstDue{};
  Milliseconds interval{ 0 };
  /// When the first request for it arrived, as the receiving instance saw it.
  WallTime received{};
};

/// Names a task within its job.
struct TaskKey
{
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskKey&, const TaskKey&) = default;
};

/// Names a task within the cell.
struct TaskName
{
  JobId job;
  TaskKey key;

  friend bool operator==(const TaskName&, const TaskName&) = default;
};

}
