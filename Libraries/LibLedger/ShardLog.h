#pragma once

/// @file
/// One shard's log as one entry reads and writes it.

#include <LibLedger/ShardCompactor.h>
#include <LibLedger/ShardContext.h>
#include <LibLedger/ShardReader.h>
#include <LibLedger/ShardState.h>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace zinc::detail {

/// Gathers records and appends them as rows, at most one at a time. A row whose reply was lost is
/// sent again unchanged until the row at its sequence number is seen, since a row that is absent
/// now may still arrive. Handlers of the table hold it weakly.
class ShardLog
  : public ShardSink
  , public std::enable_shared_from_this<ShardLog>
{
public:
  template<typename T>
  using Handler = std::function<void(Result<T>)>;

  ShardLog(ShardContext& aContext, ShardIndex aShard);

  void Append(Record aRecord, Handler<AppendReceipt> aHandler);
  void TakeOver(Handler<DriverEpoch> aHandler);
  void Refresh(Handler<Done> aHandler);

  /// Answers what has timed out and sends what is due.
  void Tick();

  [[nodiscard]] const ShardState& State() const { return this->state; }
  [[nodiscard]] bool IsDriver() const;

  /// @return true if no record and no caller waits.
  [[nodiscard]] bool IsIdle() const;

  void ApplyRow(Sequence aSequence, const Batch& aBatch) override;
  void Restart(Sequence aSequence, ShardImage aImage) override;

private:
  struct PendingRecord
  {
    Record record;
    /// Empty once the caller has been answered.
    Handler<AppendReceipt> handler;
    TimePoint queuedAt{};
  };

  /// A row that has been sent and whose fate is not known.
  struct SentRow
  {
    Sequence sequence = 0;
    std::string batchId;
    std::string value;
    std::vector<PendingRecord> records;
    /// A send of it may have taken effect. False only while its first send is under way.
    bool mayStand = false;
  };

  enum class Phase : std::uint8_t
  {
    Idle,
    Reading,
    Committing,
  };

  void Advance();
  void AnswerTimedOut();
  void StartReading();
  void OnRead(const Result<Done>& aResult);

  /// A row while it is put together.
  struct RowDraft
  {
    std::vector<PendingRecord> records;
    std::vector<std::string> encoded;
    std::size_t bytes = 0;
    std::unordered_set<JobId> jobs;
    /// It holds a record that concerns the whole shard.
    bool hasShardRecord = false;
  };

  /// Whether a draft has taken a record.
  enum class Draft : std::uint8_t
  {
    Taken,
    Refused,
    Full,
  };

  [[nodiscard]] bool SendNext();
  [[nodiscard]] bool IsFlushDue() const;
  void BuildRow();
  [[nodiscard]] Draft Add(PendingRecord& aPending, RowDraft& aRow);
  [[nodiscard]] RecordOutcome CheckFor(PendingRecord& aPending, const RowDraft& aRow) const;
  void SendRow();
  void OnSent(const Result<CommitOutcome>& aResult);
  void OnConflict();
  void OnSendFailed(const Verdict& aVerdict);
  void RequeueRow();
  void ApplyBatch(const Batch& aBatch, SentRow* aOwn);
  void SettleReloadedRow();
  void Answer(PendingRecord& aPending, RecordOutcome aOutcome) const;
  [[nodiscard]] Result<AppendReceipt> ReceiptFor(const Record& aRecord,
                                                 RecordOutcome aOutcome) const;
  void AnswerReflected(PendingRecord& aPending) const;

  void Compact();
  void Retire(WallTime aEndedUpTo);
  [[nodiscard]] bool Publish();
  void OnPublished(const Result<CommitOutcome>& aResult);

  void FailFor(Milliseconds aWait);
  [[nodiscard]] std::string NewBatchId();

  ShardContext& context;
  ShardIndex shard;
  ShardState state;
  std::shared_ptr<ShardReader> reader;
  std::shared_ptr<ShardCompactor> compactor;

  Phase phase = Phase::Idle;
  bool needsReading = true;
  /// Sending goes before the next reading, so that neither starves the other.
  bool isSendNext = false;
  bool isRetiring = false;
  std::uint32_t failures = 0;
  TimePoint retryAt{};

  std::deque<PendingRecord> pending;
  std::optional<SentRow> sentRow;
  /// Callers that wait for the next reading and for the one under way.
  std::vector<Handler<Done>> waiting;
  std::vector<Handler<Done>> served;
};

}
