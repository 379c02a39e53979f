#include <LibCell/MonitoredStore.h>

namespace zinc::cell {

namespace {

constexpr MetricFamily kLatencies{ .name = "zinc_cell_store_seconds",
                                   .help = "Calls to the store." };

}

MonitoredStore::MonitoredStore(StorePort& aStore,
                               const Clock& aClock,
                               const Logger& aLog,
                               MetricRegistry& aMetrics)
  : store(aStore)
  , clock(aClock)
  , log(aLog)
  , reads(aMetrics, "read")
  , watches(aMetrics, "follow")
  , commits(aMetrics, "commit")
  , unreadableRows(
      aMetrics.FindCounter({ .name = "zinc_cell_unreadable_store_rows_total",
                             .help = "Rows in responses of the store that cannot be read." }))
{
}

MonitoredStore::Latencies::Latencies(MetricRegistry& aMetrics, const std::string& aCall)
  : served(aMetrics.FindHistogram(kLatencies, { { "call", aCall }, { "outcome", "served" } }))
  , failed(aMetrics.FindHistogram(kLatencies, { { "call", aCall }, { "outcome", "failed" } }))
{
}

template<typename T>
Handler<T>
MonitoredStore::Measure(Latencies& aLatencies, Handler<T> aHandler)
{
  const auto sent = this->clock.Now();
  return [this, &aLatencies, sent, handler = std::move(aHandler)](Result<T> aResult) {
    // The store responded, although it no longer has the requested history.
    const bool isServed = !IsError(aResult) || ErrorOf(aResult).code == ErrorCode::StaleVersion;
    (isServed ? aLatencies.served : aLatencies.failed)
      .Record(std::chrono::duration<double>(this->clock.Now() - sent).count());
    if (isServed) {
      this->OnResponse();
    } else {
      this->OnFailure(ErrorOf(aResult));
    }
    handler(std::move(aResult));
  };
}

template<typename T>
Handler<T>
MonitoredStore::MeasureInFlight(Latencies& aLatencies, Handler<T> aHandler)
{
  const auto sent = this->inFlightSince.insert(this->clock.Now());
  return this->Measure(aLatencies,
                       Handler<T>([this, sent, handler = std::move(aHandler)](Result<T> aResult) {
                         this->inFlightSince.erase(sent);
                         handler(std::move(aResult));
                       }));
}

Handler<RowBatch>
MonitoredStore::UpdateClockOffset(Handler<RowBatch> aHandler)
{
  return [this, handler = std::move(aHandler)](Result<RowBatch> aResult) {
    if (!IsError(aResult) && ValueOf(aResult).unreadableRows > 0) {
      this->OnUnreadableRows(ValueOf(aResult).unreadableRows);
    }
    if (!IsError(aResult) && ValueOf(aResult).storeTime.count() > 0) {
      const auto offset = this->clock.Now().time_since_epoch() - ValueOf(aResult).storeTime;
      // The fastest response gives the most accurate offset.
      this->clockOffset = std::min(this->clockOffset.value_or(offset), offset);
    }
    handler(std::move(aResult));
  };
}

std::optional<Milliseconds>
MonitoredStore::StoreTime() const
{
  if (!this->clockOffset) {
    return {};
  }
  return this->clock.Now().time_since_epoch() - *this->clockOffset;
}

bool
MonitoredStore::IsResponsive() const
{
  const bool isSlow = !this->inFlightSince.empty() &&
                      this->clock.Now() - *this->inFlightSince.begin() > kSlowCallThreshold;
  return this->IsAvailable() && !isSlow;
}

void
MonitoredStore::OnUnreadableRows(std::size_t aCount)
{
  this->unreadableRows.Add(aCount);
  const auto now = this->clock.Now();
  if (now >= this->nextUnreadableLine) {
    this->nextUnreadableLine = now + kUnreadableLineInterval;
    this->log.Log(LogLevel::Error, "store_rows_unreadable", { { "rows", aCount } });
  }
}

void
MonitoredStore::OnResponse()
{
  if (!this->IsAvailable()) {
    this->log.Log(LogLevel::Info,
                  "store_regained",
                  { { "away_ms", (this->clock.Now() - this->lastResponse).count() } });
  }
  this->failures = 0;
  this->lastResponse = this->clock.Now();
}

void
MonitoredStore::OnFailure(const Verdict& aVerdict)
{
  ++this->failures;
  if (this->failures == kFailuresUntilUnavailable) {
    this->log.Log(LogLevel::Warning,
                  "store_lost",
                  { { "reason", aVerdict.message },
                    { "last_answer_ms", (this->clock.Now() - this->lastResponse).count() } });
  }
}

void
MonitoredStore::Read(const RowRange& aRange, Handler<RowBatch> aHandler)
{
  this->store.Read(
    aRange, this->MeasureInFlight(this->reads, this->UpdateClockOffset(std::move(aHandler))));
}

void
MonitoredStore::Watch(const std::string& aTable,
                      std::uint64_t aAfterVersion,
                      Milliseconds aMaxWait,
                      Handler<RowBatch> aHandler)
{
  this->store.Watch(aTable,
                    aAfterVersion,
                    aMaxWait,
                    this->Measure(this->watches, this->UpdateClockOffset(std::move(aHandler))));
}

void
MonitoredStore::Commit(Transaction aTransaction, Handler<CommitResult> aHandler)
{
  this->store.Commit(std::move(aTransaction),
                     this->MeasureInFlight(this->commits, std::move(aHandler)));
}

}
