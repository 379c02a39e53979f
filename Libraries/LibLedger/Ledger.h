#pragma once

/// @file
/// Durable state of jobs: append-only logs in the platform's table, one for each shard.

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibLedger/LedgerJob.h>
#include <LibLedger/LedgerOptions.h>
#include <LibLedger/LedgerStatistics.h>
#include <LibLedger/Record.h>
#include <LibLedger/WriteBudget.h>
#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/Table.h>
#include <functional>
#include <memory>
#include <vector>

namespace zinc {

/// Whether a request was new to the ledger.
enum class Acceptance : std::uint8_t
{
  New,
  /// The request id stands with the same body; the receipt names its job.
  Existing,
};

/// Tells that a record is durable.
struct AppendReceipt
{
  ShardIndex shard = 0;
  /// The job that the record concerns; for an existing request the job that stands.
  JobId job;
  Acceptance acceptance = Acceptance::New;
};

/// Is told of every change of the shards that are open.
class LedgerObserver
{
public:
  virtual ~LedgerObserver() = default;

  /// A record, own or another's, has been applied. It is durable.
  virtual void RecordApplied(ShardIndex aShard, const EntryId& aWriter, const Record& aRecord) = 0;

  /// The shard's state was replaced by a snapshot; single records were not told.
  virtual void ShardReloaded(ShardIndex aShard) = 0;
};

/// What a ledger works with; all of it outlives the ledger.
struct LedgerEnvironment
{
  Table& table;
  ObjectStore& objects;
  const Clock& clock;
  WriteBudget& budget;
  LedgerObserver& observer;
};

/// The ledger of one entry instance. Jobs are spread over shards by their request. Every entry may
/// append to every shard; whoever inserts the next row of its log wins, and a loser applies that
/// row and checks its own records anew. Uniqueness therefore needs neither locks nor owners.
/// The jobs that an availability zone accepted in a shard have a driver in that zone, which alone
/// records their attempts, outcomes and ends.
/// Not thread-safe. Handlers run inside @ref Tick or inside handlers of the table and the object
/// store, never inside the call that was given them, and not after destruction.
class Ledger
{
public:
  template<typename T>
  using Handler = std::function<void(Result<T>)>;

  /// @return a verdict if an option is out of range.
  [[nodiscard]] static Result<std::unique_ptr<Ledger>> Create(LedgerOptions aOptions,
                                                              LedgerEnvironment aEnvironment);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  [[nodiscard]] std::uint32_t ShardCount() const;
  [[nodiscard]] ShardIndex ShardOf(const TeamId& aTeam, const RequestId& aRequest) const;

  /// @return a fresh identifier for a job of this request.
  [[nodiscard]] JobId NewJobId(const TeamId& aTeam, const RequestId& aRequest);

  /// Loads a shard and keeps it. Loading goes on in the background after a failure.
  void Open(ShardIndex aShard, Handler<Done> aHandler);

  /// Forgets a shard that has nothing to append.
  /// @return false if records still wait, and the shard stays open.
  bool Close(ShardIndex aShard);

  [[nodiscard]] bool IsOpen(ShardIndex aShard) const;

  /// Becomes the driver of the own zone's jobs in the shard; opens the shard if need be. Attempts
  /// that are then open in
  /// @ref ForEachUnfinished were recorded by earlier drivers: their worker is asked before
  /// the task gets another.
  /// @return through the handler the new epoch, or a verdict: @ref ErrorCode::StaleTerm if another
  /// entry took over first.
  void TakeOver(ShardIndex aShard, Handler<DriverEpoch> aHandler);

  /// Appends a record and reports when it is durable; opens the shard if need be.
  /// @return through the handler a receipt, or a verdict: @ref RunState::NotRun if the record
  /// certainly does not hold and never will, else @ref RunState::MayHaveRun.
  void Append(Record aRecord, Handler<AppendReceipt> aHandler);

  /// Reads what others have appended; opens the shard if need be.
  void Refresh(ShardIndex aShard, Handler<Done> aHandler);

  /// @return the job, as of the last refresh or append; null if unknown or the shard is not open.
  /// Valid until the next call that is not const.
  [[nodiscard]] const LedgerJob* Find(const TeamId& aTeam, const RequestId& aRequest) const;
  [[nodiscard]] const LedgerJob* Find(const JobId& aJob) const;

  /// Calls the visitor for each job of an open shard that has not ended.
  void ForEachUnfinished(ShardIndex aShard,
                         const std::function<void(const LedgerJob&)>& aVisitor) const;

  /// @return the driver of a zone's jobs in the shard, as last read; its epoch is 0 if there is
  /// none.
  [[nodiscard]] DriverRecord Driver(ShardIndex aShard, const ZoneId& aZone) const;

  /// @return the shards that this entry drives, as last read.
  [[nodiscard]] std::vector<ShardIndex> DrivenShards() const;

  /// Sends what is due. Call it at least every flush interval.
  /// @param aWall wall-clock time, for the retention of ended jobs
  void Tick(WallTime aWall);

  [[nodiscard]] const LedgerStatistics& Statistics() const;

private:
  struct State;
  explicit Ledger(std::unique_ptr<State> aState);

  std::unique_ptr<State> state;
};

}
