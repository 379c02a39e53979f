#pragma once

/// @file
/// Keys, partitions and encodings of the rows that the cell keeps in the store.

#include <LibBase/Verdict.h>
#include <LibCell/ExpectedWait.h>
#include <LibCell/Forward.h>
#include <LibCell/Job.h>
#include <LibCell/Ports.h>
#include <LibCell/StartRecords.h>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinc::cell {

/// Table of all rows about jobs; watched by the leader.
inline constexpr std::string_view kJobTable = "zinc-jobs";
/// Table of the leader record and the instance records; watched by every instance.
inline constexpr std::string_view kCellTable = "zinc-cell";
/// Partition of the leader record in @ref kCellTable, which has no other row: a partition commits
/// one transaction at a time, and a renewal of the leader record must not wait behind instance
/// records while the store is slow.
inline constexpr std::string_view kLeaderPartition = "cell";
/// Number of partitions of the instance records in @ref kCellTable.
inline constexpr std::uint32_t kInstancePartitionCount = 8;
inline constexpr std::string_view kLeaderKey = "owner";
inline constexpr std::string_view kInstancePrefix = "instance/";
/// Number of partitions of the job specifications. A partition commits one transaction at a time,
/// and only 4 a second while the store is slow.
inline constexpr std::uint32_t kJobPartitionCount = 96;
/// Number of partitions of the progress rows. Only the leader writes these rows; they are apart
/// from the partitions in which jobs are accepted.
inline constexpr std::uint32_t kProgressPartitionCount = 4;
/// Partition of the row in @ref kJobTable that a new leader writes at the start of its term.
inline constexpr std::string_view kTermPartition = "term";

/// Content of a row in the job table.
enum class JobRowKind : std::uint8_t
{
  /// The job as accepted; replaced by an @ref EndedJobRecord after its end.
  Specification,
  /// The progress of its tasks and its outcome.
  Progress,
  /// A request to cancel it.
  Cancellation,
};

/// A parsed row key of @ref kJobTable.
struct JobRowName
{
  JobId job;
  JobRowKind kind = JobRowKind::Specification;
};

/// @return the partition of a job's specification and cancellation rows.
[[nodiscard]] std::string
JobPartition(const JobId& aJob);

/// @return the key of a row about a job.
[[nodiscard]] RowKey
JobRowKey(const JobId& aJob, JobRowKind aKind);

/// @return the key range of a job's specification and cancellation rows.
[[nodiscard]] RowRange
JobRowRange(const JobId& aJob);

/// @return the key range of a job's progress row.
[[nodiscard]] RowRange
ProgressRowRange(const JobId& aJob);

/// @return the job and kind that a key of the job table names, or nothing if it has another form.
[[nodiscard]] std::optional<JobRowName>
ParseJobRowKey(std::string_view aKey);

[[nodiscard]] std::string
EncodeSpecification(const JobSpecification& aSpec);

/// @return the specification, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<JobSpecification>
DecodeSpecification(const JobId& aJob, std::string_view aText);

/// Replaces the specification of an ended job, so that its id stays in use and the next leader has
/// little to read.
struct EndedJobRecord
{
  JobOutcome outcome = JobOutcome::Succeeded;
  WorkspaceId workspace;
  QueueId queue;
};

/// Names without spaces get the form that older versions read, others are written as JSON.
[[nodiscard]] std::string
EncodeEndedJob(const EndedJobRecord& aRecord);

/// Older versions separated names by spaces whatever they contained, so that such a row may have
/// several readings. The one whose workspace and queue the policy knows is taken; if there is none,
/// or more than one, both names are left empty.
/// @param aPolicy may be null: then only a row with one reading has names
/// @return the record, or nothing if the row is not that of an ended job.
[[nodiscard]] std::optional<EndedJobRecord>
DecodeEndedJob(std::string_view aText, const CellPolicy* aPolicy = nullptr);

/// Stored state of a task.
struct TaskRecord
{
  TaskKey key;
  bool hasSucceeded = false;
  std::set<std::uint64_t> failedRuns;
  std::string checkpoint;
  /// Runs during which workers crashed; see @ref Task for these fields.
  std::set<std::uint64_t> crashedRuns;
  std::set<std::uint64_t> blamedRuns;
  std::set<std::uint64_t> rackLossRuns;
  std::optional<RecordedStart> recordedStart;
};

/// Content of a job's progress row.
struct ProgressRecord
{
  JobOutcome outcome = JobOutcome::Active;
  bool hasStarted = false;
  std::uint32_t occurrencesSucceeded = 0;
  /// Steps whose tasks have all succeeded; these tasks are not in @ref tasks.
  std::vector<TaskKey> succeededSteps;
  /// Other steps whose tasks may have started.
  std::vector<TaskKey> startedSteps;
  std::vector<TaskRecord> tasks;
};

/// @return the progress of a job to be stored; only the outcome if the job has ended.
[[nodiscard]] ProgressRecord
MakeProgressRecord(const Job& aJob);

[[nodiscard]] std::string
EncodeProgress(const ProgressRecord& aRecord);

/// @return the record, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<ProgressRecord>
DecodeProgress(std::string_view aText);

/// Jobs that may have runs at a draining worker, by worker.
using DrainingJobs = std::map<WorkerId, std::set<JobId>>;

/// Workers whose leases the leader does not renew, each with the time until those granted before
/// have expired.
using SuspendedLeases = std::map<WorkerId, Milliseconds>;

/// Workers that carry out no order which was meant for an earlier incarnation, each with the start
/// of the incarnation for which this is known, Unix ms.
using FencedIncarnations = std::map<WorkerId, std::int64_t>;

/// @return the time that is left of leases, by worker; 0 if they have expired.
[[nodiscard]] SuspendedLeases
RemainingLeases(const std::map<WorkerId, TimePoint>& aExpiry, TimePoint aNow);

/// The leader record: which instance leads the cell, and what its successor needs to know.
struct LeaderRecord
{
  std::string instance;
  /// Identifies one process of the instance.
  std::string incarnation;
  /// Address at which the leader serves the other instances.
  std::string address;
  std::uint16_t port = 0;
  /// The leader's fencing token: version of the row after the takeover. 0 in the takeover's write.
  std::uint64_t token = 0;
  /// The leader resigns; another instance can take over immediately.
  bool isResigning = false;
  /// Runs of a previous leader may still exist at workers that have not reported yet.
  bool isRecovering = false;
  /// Maximum time for which such runs continue after this write.
  Milliseconds recoveryLeft{ 0 };
  /// Time of this write on the store's clock; 0 if unknown.
  Milliseconds writtenAt{ 0 };
  /// Workers that may have runs; a successor reads them all.
  std::vector<std::string> workers;
  /// Those of @ref workers that get no more tasks since they are draining, each with the jobs that
  /// may have runs there.
  DrainingJobs drainingJobs;
  /// Those of @ref workers that the leader is not in contact with. It renews none of these leases
  /// while the record names them. Missing in the rows of older versions.
  SuspendedLeases suspendedLeases;
  /// Those of @ref workers that started lately and are fenced. Missing in the rows of older
  /// versions.
  FencedIncarnations fencedIncarnations;
  /// Time until the last lease has expired of a worker that started lately, if that is later than
  /// the end of a lease granted now; otherwise 0, as in the rows of older versions.
  Milliseconds longestLease{ 0 };
  /// Progress rows name all steps whose tasks may have started, in this term or before, and
  /// continue to for @ref kStartRecordPromise. False in the rows of older versions.
  bool recordsStarts = false;
  /// Number of accepted jobs that have not started, by queue.
  std::map<std::string, std::uint64_t> backlog;
  /// Expected waits of jobs that arrive now, at most @ref kMaxExpectedWaits; empty if nothing waits
  /// for long, and in the rows of older versions.
  std::vector<ExpectedWait> expectedWaits;
};

/// @return expected waits as JSON, as in the leader record.
[[nodiscard]] std::string
EncodeExpectedWaits(std::span<const ExpectedWait> aWaits);

/// @return the key of an instance record.
[[nodiscard]] RowKey
InstanceRowKey(std::string_view aInstance);

/// @return the partitions of @ref kCellTable, that of the leader record last.
[[nodiscard]] std::vector<std::string>
CellTablePartitions();

/// @return the partitions of @ref kJobTable, @ref kTermPartition last.
[[nodiscard]] std::vector<std::string>
JobTablePartitions();

/// @return the key of the row that a new leader writes in a progress partition at the start of its
/// term. Writes of progress require its version to be that of the writer's term, so that a leader
/// that was replaced without noticing changes nothing more.
[[nodiscard]] RowKey
ProgressTermRowKey(std::uint32_t aPartition);

/// @return the index of the progress partition that holds a job's progress row.
[[nodiscard]] std::uint32_t
ProgressPartitionIndex(const JobId& aJob);

[[nodiscard]] std::string
EncodeLeaderRecord(const LeaderRecord& aRecord);

/// @return the record, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<LeaderRecord>
DecodeLeaderRecord(std::string_view aText);

/// An instance's address, size and heartbeat.
struct InstanceRecord
{
  std::string incarnation;
  std::string address;
  std::uint16_t port = 0;
  std::string zone;
  /// CPU capacity of the instance, in thousandths of a core.
  std::uint32_t milliCores = 0;
  /// Incremented with each write; the instance is gone if it stops changing.
  std::uint64_t heartbeat = 0;
};

[[nodiscard]] std::string
EncodeInstanceRecord(const InstanceRecord& aRecord);

/// @return the record, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<InstanceRecord>
DecodeInstanceRecord(std::string_view aText);

}
