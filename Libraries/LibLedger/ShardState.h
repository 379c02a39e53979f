#pragma once

/// @file
/// The state that results from a shard's log.

#include <LibLedger/LedgerJob.h>
#include <LibLedger/LedgerOptions.h>
#include <LibLedger/Record.h>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace zinc {

/// Most tasks of one job.
inline constexpr std::uint32_t kMaxTasksPerJob = 10'000;

/// What became of a record.
enum class RecordOutcome : std::uint8_t
{
  Applied,
  /// The request id stands with the same body; the existing job answers it.
  AlreadyAccepted,
  RequestIdReused,
  JobIdReused,
  UnknownJob,
  JobHasEnded,
  JobIsCancelled,
  /// The writer is not the driver of the current epoch.
  StaleDriver,
  /// The attempt or task number does not follow from the state.
  WrongAttempt,
  /// An attempt of the job may still be running.
  AttemptOpen,
  Invalid,
};

/// The last batch of a writer.
struct WriterMark
{
  EntryId writer;
  std::string batch;

  friend bool operator==(const WriterMark&, const WriterMark&) = default;
};

/// Whether a batch is among those applied.
enum class BatchPresence : std::uint8_t
{
  Present,
  Absent,
  /// The writer's mark was dropped to make room for others.
  Unknown,
};

/// Everything of a shard's state, for snapshots.
struct ShardImage
{
  /// One for each availability zone that has had a driver.
  std::vector<DriverRecord> drivers;
  std::vector<WriterMark> writers;
  std::vector<LedgerJob> jobs;

  friend bool operator==(const ShardImage&, const ShardImage&) = default;
};

/// Applies records in log order. Pure and deterministic: every reader of a log comes to the same
/// state and to the same outcome of each record.
class ShardState
{
public:
  explicit ShardState(LedgerSafeguards aSafeguards = LedgerSafeguards::All);

  /// Restores the state of a snapshot.
  explicit ShardState(ShardImage aImage, LedgerSafeguards aSafeguards = LedgerSafeguards::All);

  /// @return what @ref Apply would do now.
  [[nodiscard]] RecordOutcome Check(const EntryId& aWriter, const Record& aRecord) const;

  /// Applies a record; one that does not hold changes nothing.
  RecordOutcome Apply(const EntryId& aWriter, const Record& aRecord);

  /// @return true if a record that was applied some time ago still shows in the state.
  [[nodiscard]] bool Reflects(const Record& aRecord) const;

  /// Remembers that a batch has been applied.
  void MarkBatch(const EntryId& aWriter, const std::string& aBatch);

  /// @return whether the writer's last batch is this one. @pre the writer writes one at a time
  [[nodiscard]] BatchPresence FindBatch(const EntryId& aWriter, const std::string& aBatch) const;

  [[nodiscard]] const LedgerJob* Find(const JobId& aJob) const;
  [[nodiscard]] const LedgerJob* Find(const TeamId& aTeam, const RequestId& aRequest) const;

  /// Calls the visitor for each job that has not ended, in the order of job identifiers.
  void ForEachUnfinished(const std::function<void(const LedgerJob&)>& aVisitor) const;

  /// @return true if a job ended at or before this time.
  [[nodiscard]] bool HasEndedUpTo(WallTime aTime) const;

  /// @return the current driver of a zone's jobs; its epoch is 0 before the first.
  [[nodiscard]] DriverRecord Driver(const ZoneId& aZone) const;

  [[nodiscard]] std::size_t JobCount() const { return this->jobs.size(); }

  /// @return a copy of everything.
  [[nodiscard]] ShardImage Image() const;

private:
  struct RequestKey
  {
    TeamId team;
    RequestId request;
  };

  struct RequestOrder
  {
    bool operator()(const RequestKey& aLeft, const RequestKey& aRight) const
    {
      return std::tie(aLeft.team, aLeft.request) < std::tie(aRight.team, aRight.request);
    }
  };

  struct Checker;
  struct Applier;
  struct Reflector;

  [[nodiscard]] bool IsDriver(const ZoneId& aZone,
                              const EntryId& aWriter,
                              DriverEpoch aEpoch) const;
  [[nodiscard]] bool IsAnyDriver(const EntryId& aWriter) const;
  [[nodiscard]] LedgerTask& TaskAt(const JobId& aJob, TaskIndex aTask);
  void Insert(LedgerJob aJob);

  LedgerSafeguards safeguards;
  std::map<ZoneId, DriverRecord> drivers;
  std::vector<WriterMark> writers;
  std::map<JobId, LedgerJob> jobs;
  std::map<RequestKey, JobId, RequestOrder> requests;
  std::set<JobId> unfinished;
};

}
