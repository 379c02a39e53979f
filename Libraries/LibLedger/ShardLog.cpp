#include <LibLedger/LedgerKeys.h>
#include <LibLedger/RecordCodec.h>
#include <LibLedger/RecordVerdict.h>
#include <LibLedger/ShardLog.h>

#include <fmt/format.h>

namespace zinc::detail {

namespace {

/// Room in a row for the identifiers around its records.
constexpr std::size_t kRowOverheadBytes = 256;

Verdict
TableUnavailable(Milliseconds aRetryAfter)
{
  return NotRun(ErrorCode::Unavailable, "The table service does not answer.", aRetryAfter);
}

Verdict
AppendUnknown()
{
  return MayHaveRun(ErrorCode::Timeout, "The table service did not confirm the record.");
}

}

ShardLog::ShardLog(ShardContext& aContext, ShardIndex aShard)
  : context(aContext)
  , shard(aShard)
  , state(aContext.options.safeguards)
  , reader(std::make_shared<ShardReader>(aShard,
                                         aContext.environment.table,
                                         aContext.environment.objects,
                                         aContext.statistics,
                                         *this))
  , compactor(std::make_shared<ShardCompactor>(aContext, aShard))
{
}

void
ShardLog::Append(Record aRecord, Handler<AppendReceipt> aHandler)
{
  if (this->pending.size() >= this->context.options.maxPending) {
    this->context.deferred.emplace_back(
      [handler = std::move(aHandler), wait = this->context.Backoff(this->failures)] {
        handler(NotRun(ErrorCode::Overloaded, "Too many records wait for the table.", wait));
      });
    return;
  }
  this->pending.push_back({ .record = std::move(aRecord),
                            .handler = std::move(aHandler),
                            .queuedAt = this->context.Now() });
}

void
ShardLog::TakeOver(Handler<DriverEpoch> aHandler)
{
  // The epoch is set when the record is first put into a row, after the log has been read.
  this->pending.push_back({ .record = DriverRecord{ .zone = this->context.options.zone,
                                                    .entry = this->context.options.self },
                            .handler =
                              [this, handler = std::move(aHandler)](const auto& aResult) {
                                if (IsError(aResult)) {
                                  handler(ErrorOf(aResult));
                                  return;
                                }
                                handler(this->state.Driver(this->context.options.zone).epoch);
                              },
                            .queuedAt = this->context.Now() });
}

void
ShardLog::Refresh(Handler<Done> aHandler)
{
  this->waiting.push_back(std::move(aHandler));
}

bool
ShardLog::IsDriver() const
{
  const DriverRecord driver = this->state.Driver(this->context.options.zone);
  return driver.epoch > 0 && driver.entry == this->context.options.self;
}

bool
ShardLog::IsIdle() const
{
  return this->pending.empty() && !this->sentRow && this->waiting.empty() && this->served.empty();
}

void
ShardLog::Tick()
{
  this->AnswerTimedOut();
  this->compactor->DeleteRows();
  this->Advance();
}

void
ShardLog::Advance()
{
  if (this->phase != Phase::Idle || this->context.Now() < this->retryAt) {
    return;
  }
  if (this->needsReading || (!this->waiting.empty() && !this->isSendNext)) {
    this->StartReading();
    return;
  }
  this->isSendNext = false;
  if (!this->SendNext()) {
    this->Compact();
  }
}

bool
ShardLog::SendNext()
{
  WriteBudget& budget = this->context.environment.budget;
  if (!this->sentRow && this->compactor->IsStored()) {
    return this->Publish();
  }
  if (!this->sentRow && !this->IsFlushDue()) {
    return false;
  }
  if (!budget.TryTake(1, this->context.Now())) {
    return false;
  }
  if (!this->sentRow) {
    this->BuildRow();
  }
  if (!this->sentRow) {
    return false;
  }
  this->SendRow();
  return true;
}

void
ShardLog::AnswerTimedOut()
{
  const TimePoint oldest = this->context.Now() - this->context.options.appendTimeout;
  while (!this->pending.empty() && this->pending.front().queuedAt <= oldest) {
    PendingRecord expired = std::move(this->pending.front());
    this->pending.pop_front();
    expired.handler(TableUnavailable(this->context.Backoff(this->failures)));
  }
  if (!this->sentRow) {
    return;
  }
  std::vector<Handler<AppendReceipt>> handlers;
  for (PendingRecord& record : this->sentRow->records) {
    if (record.handler && record.queuedAt <= oldest) {
      handlers.push_back(std::move(record.handler));
      record.handler = nullptr;
    }
  }
  for (const auto& handler : handlers) {
    handler(AppendUnknown());
  }
}

void
ShardLog::StartReading()
{
  this->phase = Phase::Reading;
  this->served = std::move(this->waiting);
  this->waiting.clear();
  this->reader->CatchUp([this](const Result<Done>& aResult) { this->OnRead(aResult); });
}

void
ShardLog::OnRead(const Result<Done>& aResult)
{
  this->phase = Phase::Idle;
  const auto handlers = std::move(this->served);
  this->served.clear();
  if (IsError(aResult)) {
    this->needsReading = true;
    this->FailFor(this->context.Backoff(this->failures++));
  } else {
    this->needsReading = false;
    this->isSendNext = true;
    this->failures = 0;
    this->compactor->Settle(this->reader->Base());
    if (this->sentRow && this->context.options.safeguards == LedgerSafeguards::WithoutResend) {
      this->RequeueRow();
    }
  }
  for (const auto& handler : handlers) {
    handler(aResult);
  }
}

bool
ShardLog::IsFlushDue() const
{
  if (this->pending.empty()) {
    return false;
  }
  return this->context.Now() - this->pending.front().queuedAt >=
         this->context.options.flushInterval;
}

void
ShardLog::BuildRow()
{
  RowDraft row{ .bytes = kRowOverheadBytes };
  while (!this->pending.empty()) {
    PendingRecord next = std::move(this->pending.front());
    this->pending.pop_front();
    if (this->Add(next, row) == Draft::Full) {
      this->pending.push_front(std::move(next));
      break;
    }
  }
  if (row.records.empty()) {
    return;
  }
  const std::string id = this->NewBatchId();
  this->sentRow = SentRow{ .sequence = this->reader->Applied() + 1,
                           .batchId = id,
                           .value = EncodeBatch(id, this->context.options.self, row.encoded),
                           .records = std::move(row.records) };
}

ShardLog::Draft
ShardLog::Add(PendingRecord& aPending, RowDraft& aRow)
{
  const RecordOutcome outcome = this->CheckFor(aPending, aRow);
  std::string text = EncodeRecord(aPending.record);
  const bool isTooLarge = kRowOverheadBytes + text.size() > this->context.options.maxRowBytes;
  if (outcome != RecordOutcome::Applied || isTooLarge) {
    // Answered later, lest the caller's next record be drawn into this row.
    this->context.deferred.emplace_back(
      [handler = std::move(aPending.handler),
       answer = isTooLarge ? Result<AppendReceipt>(NotRun(ErrorCode::PayloadTooLarge,
                                                          "The record is larger than a row."))
                           : this->ReceiptFor(aPending.record, outcome)] { handler(answer); });
    return Draft::Refused;
  }
  if (aRow.bytes + text.size() > this->context.options.maxRowBytes) {
    return Draft::Full;
  }
  aRow.bytes += text.size() + 1;
  aRow.encoded.push_back(std::move(text));
  const JobId* const job = JobOf(aPending.record);
  if (job != nullptr) {
    aRow.jobs.insert(*job);
  }
  aRow.hasShardRecord |= job == nullptr;
  aRow.records.push_back(std::move(aPending));
  return Draft::Taken;
}

RecordOutcome
ShardLog::CheckFor(PendingRecord& aPending, const RowDraft& aRow) const
{
  auto* const driver = std::get_if<DriverRecord>(&aPending.record);
  if (driver != nullptr && driver->epoch == 0) {
    driver->epoch = this->state.Driver(driver->zone).epoch + 1;
  }
  // What follows from records of the same row can be checked only when the row is applied.
  const JobId* const job = JobOf(aPending.record);
  if (aRow.hasShardRecord || (job != nullptr && aRow.jobs.contains(*job))) {
    return RecordOutcome::Applied;
  }
  return this->state.Check(this->context.options.self, aPending.record);
}

void
ShardLog::SendRow()
{
  Transaction transaction;
  const std::string key = LogKey(this->shard, this->sentRow->sequence);
  transaction.conditions.push_back({ .key = key, .version = kAbsentVersion });
  if (this->context.options.safeguards != LedgerSafeguards::WithoutBaseCondition) {
    // Without it a writer that slept could insert a row below the base, where nobody reads it.
    transaction.conditions.push_back(
      { .key = BaseKey(this->shard), .version = this->reader->BaseVersion() });
  }
  transaction.writes.push_back({ .key = key, .value = this->sentRow->value });
  this->phase = Phase::Committing;
  ++this->context.statistics.commits;
  this->context.environment.table.Commit(std::move(transaction),
                                         [weak = this->weak_from_this()](const auto& aResult) {
                                           if (const auto self = weak.lock()) {
                                             self->OnSent(aResult);
                                           }
                                         });
}

void
ShardLog::OnSent(const Result<CommitOutcome>& aResult)
{
  this->phase = Phase::Idle;
  if (IsError(aResult)) {
    this->OnSendFailed(ErrorOf(aResult));
    return;
  }
  this->failures = 0;
  if (ValueOf(aResult) == CommitOutcome::ConditionFailed) {
    this->OnConflict();
    return;
  }
  ++this->context.statistics.rowsWritten;
  this->context.statistics.bytesWritten += this->sentRow->value.size();
  Batch batch{ .id = this->sentRow->batchId, .writer = this->context.options.self };
  for (const PendingRecord& record : this->sentRow->records) {
    batch.records.push_back(record.record);
  }
  this->reader->Advance(this->sentRow->sequence);
  SentRow own = std::move(*this->sentRow);
  this->sentRow.reset();
  this->ApplyBatch(batch, &own);
}

void
ShardLog::OnConflict()
{
  ++this->context.statistics.conflicts;
  this->needsReading = true;
  if (!this->sentRow->mayStand) {
    this->RequeueRow();
  }
}

void
ShardLog::OnSendFailed(const Verdict& aVerdict)
{
  this->FailFor(this->context.Backoff(this->failures++));
  if (aVerdict.run != RunState::NotRun) {
    ++this->context.statistics.lostReplies;
    this->sentRow->mayStand = true;
    this->needsReading = true;
    return;
  }
  ++this->context.statistics.refusals;
  if (!this->sentRow->mayStand) {
    this->RequeueRow();
  }
}

void
ShardLog::RequeueRow()
{
  std::vector<PendingRecord> records = std::move(this->sentRow->records);
  this->sentRow.reset();
  for (auto record = records.rbegin(); record != records.rend(); ++record) {
    if (record->handler) {
      this->pending.push_front(std::move(*record));
    }
  }
}

void
ShardLog::ApplyRow(Sequence, const Batch& aBatch)
{
  const bool isOwn = this->sentRow && this->sentRow->batchId == aBatch.id &&
                     this->context.options.safeguards != LedgerSafeguards::WithoutBatchIdentity;
  if (isOwn) {
    SentRow own = std::move(*this->sentRow);
    this->sentRow.reset();
    this->ApplyBatch(aBatch, &own);
    return;
  }
  if (this->sentRow) {
    // Another row stands in its place, so that none of its sends can ever take effect.
    this->RequeueRow();
  }
  this->ApplyBatch(aBatch, nullptr);
}

void
ShardLog::ApplyBatch(const Batch& aBatch, SentRow* aOwn)
{
  std::vector<RecordOutcome> outcomes;
  outcomes.reserve(aBatch.records.size());
  for (const Record& record : aBatch.records) {
    outcomes.push_back(this->state.Apply(aBatch.writer, record));
  }
  this->state.MarkBatch(aBatch.writer, aBatch.id);
  for (std::size_t index = 0; index < outcomes.size(); ++index) {
    if (outcomes[index] == RecordOutcome::Applied) {
      this->context.environment.observer.RecordApplied(
        this->shard, aBatch.writer, aBatch.records[index]);
    }
  }
  if (aOwn == nullptr) {
    return;
  }
  this->context.statistics.recordsAppended += outcomes.size();
  for (std::size_t index = 0; index < outcomes.size(); ++index) {
    this->Answer(aOwn->records[index], outcomes[index]);
  }
}

void
ShardLog::Restart(Sequence, ShardImage aImage)
{
  ++this->context.statistics.reloads;
  this->state = ShardState(std::move(aImage), this->context.options.safeguards);
  if (this->sentRow) {
    this->SettleReloadedRow();
  }
  this->context.environment.observer.ShardReloaded(this->shard);
}

void
ShardLog::SettleReloadedRow()
{
  const BatchPresence presence =
    this->state.FindBatch(this->context.options.self, this->sentRow->batchId);
  if (presence == BatchPresence::Absent) {
    this->RequeueRow();
    return;
  }
  SentRow row = std::move(*this->sentRow);
  this->sentRow.reset();
  for (PendingRecord& record : row.records) {
    this->AnswerReflected(record);
  }
}

void
ShardLog::Answer(PendingRecord& aPending, RecordOutcome aOutcome) const
{
  if (aPending.handler) {
    aPending.handler(this->ReceiptFor(aPending.record, aOutcome));
  }
}

Result<AppendReceipt>
ShardLog::ReceiptFor(const Record& aRecord, RecordOutcome aOutcome) const
{
  AppendReceipt receipt{ .shard = this->shard };
  if (aOutcome == RecordOutcome::AlreadyAccepted) {
    const auto& accepted = std::get<AcceptedRecord>(aRecord);
    receipt.job = this->state.Find(accepted.team, accepted.request)->accepted.job;
    receipt.acceptance = receipt.job == accepted.job ? Acceptance::New : Acceptance::Existing;
    return receipt;
  }
  if (aOutcome != RecordOutcome::Applied) {
    return VerdictOf(aOutcome);
  }
  if (const JobId* const job = JobOf(aRecord)) {
    receipt.job = *job;
  }
  return receipt;
}

void
ShardLog::AnswerReflected(PendingRecord& aPending) const
{
  if (!aPending.handler) {
    return;
  }
  if (this->state.Reflects(aPending.record)) {
    this->Answer(aPending, RecordOutcome::Applied);
    return;
  }
  aPending.handler(AppendUnknown());
}

void
ShardLog::Compact()
{
  const LedgerOptions& options = this->context.options;
  const Sequence rows = this->reader->Applied() - this->reader->Base().sequence;
  if (!this->IsDriver() || rows < options.rowsPerSnapshot || !this->compactor->IsReady()) {
    return;
  }
  const WallTime endedUpTo = this->context.wall - options.retention;
  if (this->state.HasEndedUpTo(endedUpTo)) {
    this->Retire(endedUpTo);
    return;
  }
  this->compactor->Store(this->reader->Applied(), this->state);
}

void
ShardLog::Retire(WallTime aEndedUpTo)
{
  if (this->isRetiring) {
    return;
  }
  this->isRetiring = true;
  this->Append(RetiredRecord{ .endedUpTo = aEndedUpTo,
                              .epoch = this->state.Driver(this->context.options.zone).epoch },
               [this](const Result<AppendReceipt>&) { this->isRetiring = false; });
}

bool
ShardLog::Publish()
{
  if (!this->context.environment.budget.TryTake(1, this->context.Now())) {
    return false;
  }
  this->phase = Phase::Committing;
  ++this->context.statistics.commits;
  this->context.environment.table.Commit(
    this->compactor->Publication(this->reader->Base(), this->reader->BaseVersion()),
    [weak = this->weak_from_this()](const auto& aResult) {
      if (const auto self = weak.lock()) {
        self->OnPublished(aResult);
      }
    });
  return true;
}

void
ShardLog::OnPublished(const Result<CommitOutcome>& aResult)
{
  this->phase = Phase::Idle;
  this->needsReading = true;
  this->reader->SuspectBase();
  if (IsError(aResult)) {
    this->FailFor(this->context.Backoff(this->failures++));
    return;
  }
  if (ValueOf(aResult) == CommitOutcome::Committed) {
    ++this->context.statistics.rowsWritten;
  }
}

void
ShardLog::FailFor(Milliseconds aWait)
{
  this->retryAt = this->context.Now() + aWait;
}

std::string
ShardLog::NewBatchId()
{
  return fmt::format("{:016x}", this->context.random());
}

}
