#pragma once

/// @file
/// The records of which a shard's log consists.

#include <LibBase/Identifier.h>
#include <LibBase/Task.h>
#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibPlatform/Worker.h>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace zinc {

/// Wall-clock time; comparable between processes within their clock skew.
using WallTime = std::chrono::sys_time<Milliseconds>;

/// Rises with every change of a shard's driver; 0 before the first.
using DriverEpoch = std::uint64_t;

/// Position of a batch in its shard's log; the first is 1.
using Sequence = std::uint64_t;

using ShardIndex = std::uint32_t;

using TaskIndex = std::uint32_t;

/// How a job ended.
enum class JobEnd : std::uint8_t
{
  Succeeded,
  Failed,
  Cancelled,
};

inline constexpr std::size_t kJobEndCount = 3;

/// A job was accepted; any entry may write it.
struct AcceptedRecord
{
  JobId job;
  RequestId request;
  TeamId team;
  QueueId queue;
  /// Zone of the entry that accepted it.
  ZoneId zone;
  EntryId acceptedBy;
  WallTime acceptedAt{};
  /// Digest of the submitted body, to tell a repeated request from a reused request id.
  std::string bodyHash;
  std::uint32_t tasks = 1;
  WorkClass workClass = WorkClass::Batch;
  Urgency urgency = Urgency::Normal;
  Idempotence idempotence = Idempotence::Idempotent;
  /// Charged to the team for each task.
  Resources resources;
  Milliseconds expectedRun{ 0 };
  std::optional<WallTime> deadline;
  std::string payload;

  friend bool operator==(const AcceptedRecord&, const AcceptedRecord&) = default;
};

/// A start is about to be sent to a worker; only the driver writes it.
struct AttemptRecord
{
  JobId job;
  TaskIndex task = 0;
  /// One more than the task's attempt before; the first is 1.
  std::uint32_t attempt = 1;
  WorkerId worker;
  LeaseTerm term = 0;
  DriverEpoch epoch = 0;

  friend bool operator==(const AttemptRecord&, const AttemptRecord&) = default;
};

/// An attempt is over and nothing of it runs; only the driver writes it.
struct OutcomeRecord
{
  JobId job;
  TaskIndex task = 0;
  std::uint32_t attempt = 1;
  DriverEpoch epoch = 0;
  TaskState state = TaskState::Stopped;
  RunState run = RunState::Ran;
  std::string result;
  /// Opaque progress of a checkpointed attempt.
  std::string progress;
  /// The worker has left the instance list, and the attempt's end is unknown.
  bool isWorkerLost = false;

  friend bool operator==(const OutcomeRecord&, const OutcomeRecord&) = default;
};

/// A job has its final answer; only the driver writes it.
struct JobEndedRecord
{
  JobId job;
  DriverEpoch epoch = 0;
  JobEnd end = JobEnd::Failed;
  RunState run = RunState::Ran;
  WallTime endedAt{};
  std::string result;

  friend bool operator==(const JobEndedRecord&, const JobEndedRecord&) = default;
};

/// A job is to be cancelled; any entry may write it. No attempt is recorded after it.
struct CancelledRecord
{
  JobId job;

  friend bool operator==(const CancelledRecord&, const CancelledRecord&) = default;
};

/// An entry takes over the jobs of its availability zone in the shard.
struct DriverRecord
{
  ZoneId zone;
  EntryId entry;
  /// One more than the epoch before.
  DriverEpoch epoch = 0;

  friend bool operator==(const DriverRecord&, const DriverRecord&) = default;
};

/// Jobs that ended at or before a time are forgotten; only the driver writes it.
struct RetiredRecord
{
  WallTime endedUpTo{};
  DriverEpoch epoch = 0;

  friend bool operator==(const RetiredRecord&, const RetiredRecord&) = default;
};

using Record = std::variant<AcceptedRecord,
                            AttemptRecord,
                            OutcomeRecord,
                            JobEndedRecord,
                            CancelledRecord,
                            DriverRecord,
                            RetiredRecord>;

/// One row of a shard's log.
struct Batch
{
  /// Random; tells the writer's own row from another's after a lost reply.
  std::string id;
  EntryId writer;
  std::vector<Record> records;

  friend bool operator==(const Batch&, const Batch&) = default;
};

/// Where recovery starts: the state after a sequence number, kept as an object.
struct LogBase
{
  /// 0 while there is no snapshot.
  Sequence sequence = 0;
  /// Rows before this one are surely deleted.
  Sequence oldestRow = 1;
  std::string object;

  friend bool operator==(const LogBase&, const LogBase&) = default;
};

/// @return the job that a record concerns, or null if it concerns the shard.
[[nodiscard]] const JobId*
JobOf(const Record& aRecord);

/// @return the identifier of a job's task, as workers see it.
[[nodiscard]] TaskId
TaskIdOf(const JobId& aJob, TaskIndex aTask);

/// A task identifier taken apart.
struct TaskAddress
{
  JobId job;
  TaskIndex task = 0;

  friend bool operator==(const TaskAddress&, const TaskAddress&) = default;
};

/// @return the inverse of @ref TaskIdOf; empty if the identifier was not made by it.
[[nodiscard]] std::optional<TaskAddress>
ParseTaskId(const TaskId& aId);

}
