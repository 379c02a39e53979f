#pragma once

/// @file
/// The rows that the cell keeps in the store, in the project's own form.

#include <LibBase/Verdict.h>
#include <LibCell/Job.h>
#include <LibCell/Ports.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinc::cell {

/// Table of all rows about jobs; followed by the leader.
inline constexpr std::string_view kJobTable = "zinc-jobs";
/// Table of the ownership row and the instances; followed by every instance.
inline constexpr std::string_view kCellTable = "zinc-cell";
/// Partition of the ownership row in @ref kCellTable, alone: a partition commits one transaction
/// after the other, and a renewal must not wait behind the instances' rows while the store is slow.
inline constexpr std::string_view kLeaderPartition = "cell";
/// Partitions of the instances' own rows there.
inline constexpr std::uint32_t kInstancePartitionCount = 8;
inline constexpr std::string_view kLeaderKey = "owner";
inline constexpr std::string_view kInstancePrefix = "instance/";
/// Partitions that the jobs' own rows are spread over. A partition commits one transaction after
/// the other, 4 of them a second while the store is slow.
inline constexpr std::uint32_t kJobPartitionCount = 96;
/// Partitions of the progress rows, which the leader alone writes, apart from those that accept
/// jobs.
inline constexpr std::uint32_t kProgressPartitionCount = 4;
/// Partition of the one row that each new term writes among the jobs.
inline constexpr std::string_view kTermPartition = "term";

/// What a row about a job holds.
enum class JobRowKind : std::uint8_t
{
  /// The job itself; never changes.
  Specification,
  /// What its tasks have reached, and its outcome.
  Progress,
  /// Asks for its cancellation.
  Cancellation,
};

/// A row key of @ref kJobTable taken apart.
struct JobRowName
{
  JobId job;
  JobRowKind kind = JobRowKind::Specification;
};

/// @return the partition in which all rows of a job lie.
[[nodiscard]] std::string
JobPartition(const JobId& aJob);

/// @return the key of a row about a job.
[[nodiscard]] RowKey
JobRowKey(const JobId& aJob, JobRowKind aKind);

/// @return the range of a job's rows in the partition of its own row.
[[nodiscard]] RowRange
JobRowRange(const JobId& aJob);

/// @return the range of a job's progress row.
[[nodiscard]] RowRange
ProgressRowRange(const JobId& aJob);

/// @return what a key of the job table names, if it is one of ours.
[[nodiscard]] std::optional<JobRowName>
ParseJobRowKey(std::string_view aKey);

[[nodiscard]] std::string
EncodeSpecification(const JobSpecification& aSpec);

/// @return the job, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<JobSpecification>
DecodeSpecification(const JobId& aJob, std::string_view aText);

/// What is left of a job's own row when it has ended. Takes the place of the job, so that its id
/// stays taken and the next leader has little to read.
struct EndedJobRecord
{
  JobOutcome outcome = JobOutcome::Succeeded;
  WorkspaceId workspace;
  QueueId queue;
};

[[nodiscard]] std::string
EncodeEndedJob(const EndedJobRecord& aRecord);

/// @return the record, or nothing if the row holds a job that has not ended.
[[nodiscard]] std::optional<EndedJobRecord>
DecodeEndedJob(std::string_view aText);

/// What is kept of one task.
struct TaskRecord
{
  TaskKey key;
  bool hasSucceeded = false;
  std::set<std::uint64_t> failedRuns;
  std::string checkpoint;
};

/// What the progress row of a job holds.
struct ProgressRecord
{
  JobOutcome outcome = JobOutcome::Active;
  bool hasStarted = false;
  std::uint32_t occurrencesSucceeded = 0;
  /// Steps of which all tasks have succeeded; their tasks are left out.
  std::vector<TaskKey> steps;
  std::vector<TaskRecord> tasks;
};

/// @return what there is to keep of a job.
[[nodiscard]] ProgressRecord
ProgressOf(const Job& aJob);

[[nodiscard]] std::string
EncodeProgress(const ProgressRecord& aRecord);

/// @return the record, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<ProgressRecord>
DecodeProgress(std::string_view aText);

/// The ownership row: which instance conducts the cell.
struct LeaderRecord
{
  std::string instance;
  /// The life of the instance's process.
  std::string incarnation;
  /// Where the leader answers the other instances.
  std::string address;
  std::uint16_t port = 0;
  /// Version of the row when the leader took it; its fencing token. 0 in the first write.
  std::uint64_t token = 0;
  /// The leader gives up on purpose; the next may take over at once.
  bool isLeaving = false;
  /// Runs of a leader before it may still be at workers that were not read.
  bool isRecovering = false;
  /// How long such runs last at the most from the time of writing.
  Milliseconds recoveryLeft{ 0 };
  /// Time of writing on the store's clock; 0 if it is not known.
  Milliseconds written{ 0 };
  /// Workers at which something may run.
  std::vector<std::string> workers;
  /// Accepted jobs of each queue that have not started.
  std::map<std::string, std::uint64_t> waiting;
};

/// @return the key of an instance's own row.
[[nodiscard]] RowKey
InstanceRowKey(std::string_view aInstance);

/// @return the partitions of @ref kCellTable, that of the ownership row last.
[[nodiscard]] std::vector<std::string>
CellTablePartitions();

/// @return the partitions of @ref kJobTable, that of the terms last.
[[nodiscard]] std::vector<std::string>
JobTablePartitions();

/// @return which of the progress partitions holds a job's progress.
[[nodiscard]] std::uint32_t
ProgressPartition(const JobId& aJob);

[[nodiscard]] std::string
EncodeLeaderRecord(const LeaderRecord& aRecord);

/// @return the record, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<LeaderRecord>
DecodeLeaderRecord(std::string_view aText);

/// Where an instance answers the others.
struct InstanceRecord
{
  std::string incarnation;
  std::string address;
  std::uint16_t port = 0;
  std::string zone;
  /// Thousandths of a core that the instance has.
  std::uint32_t milliCores = 0;
  /// Rises with each write, so that a row that stands still tells of an instance that is gone.
  std::uint64_t heartbeat = 0;
};

[[nodiscard]] std::string
EncodeInstance(const InstanceRecord& aRecord);

/// @return the record, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<InstanceRecord>
DecodeInstance(std::string_view aText);

}
