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
  , feeds(aMetrics, "follow")
  , commits(aMetrics, "commit")
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
    // An answer that history was dropped is an answer.
    const bool isServed = !IsError(aResult) || ErrorOf(aResult).code == ErrorCode::StaleVersion;
    (isServed ? aLatencies.served : aLatencies.failed)
      .Record(std::chrono::duration<double>(this->clock.Now() - sent).count());
    if (isServed) {
      this->OnAnswer();
    } else {
      this->OnFailure(ErrorOf(aResult));
    }
    handler(std::move(aResult));
  };
}

template<typename T>
Handler<T>
MonitoredStore::MeasurePrompt(Latencies& aLatencies, Handler<T> aHandler)
{
  const auto sent = this->open.insert(this->clock.Now());
  return this->Measure(aLatencies,
                       Handler<T>([this, sent, handler = std::move(aHandler)](Result<T> aResult) {
                         this->open.erase(sent);
                         handler(std::move(aResult));
                       }));
}

Handler<RowBatch>
MonitoredStore::WithTime(Handler<RowBatch> aHandler)
{
  return [this, handler = std::move(aHandler)](Result<RowBatch> aResult) {
    if (!IsError(aResult) && ValueOf(aResult).storeTime.count() > 0) {
      const auto ahead = this->clock.Now().time_since_epoch() - ValueOf(aResult).storeTime;
      // The quickest answer shows the difference best.
      this->aheadOfStore = std::min(this->aheadOfStore.value_or(ahead), ahead);
    }
    handler(std::move(aResult));
  };
}

std::optional<Milliseconds>
MonitoredStore::StoreTime() const
{
  if (!this->aheadOfStore) {
    return {};
  }
  return this->clock.Now().time_since_epoch() - *this->aheadOfStore;
}

bool
MonitoredStore::IsPrompt() const
{
  const bool waitsLong = !this->open.empty() && this->clock.Now() - *this->open.begin() > kPatience;
  return this->IsServing() && !waitsLong;
}

void
MonitoredStore::OnAnswer()
{
  if (!this->IsServing()) {
    this->log.Log(LogLevel::Info,
                  "store_regained",
                  { { "away_ms", (this->clock.Now() - this->lastAnswer).count() } });
  }
  this->failures = 0;
  this->lastAnswer = this->clock.Now();
}

void
MonitoredStore::OnFailure(const Verdict& aVerdict)
{
  ++this->failures;
  if (this->failures == kFailuresToDoubt) {
    this->log.Log(LogLevel::Warning,
                  "store_lost",
                  { { "reason", aVerdict.message },
                    { "last_answer_ms", (this->clock.Now() - this->lastAnswer).count() } });
  }
}

void
MonitoredStore::Read(const RowRange& aRange, Handler<RowBatch> aHandler)
{
  this->store.Read(aRange, this->MeasurePrompt(this->reads, this->WithTime(std::move(aHandler))));
}

void
MonitoredStore::Watch(const std::string& aTable,
                      std::uint64_t aAfter,
                      Milliseconds aWait,
                      Handler<RowBatch> aHandler)
{
  this->store.Watch(
    aTable, aAfter, aWait, this->Measure(this->feeds, this->WithTime(std::move(aHandler))));
}

void
MonitoredStore::Commit(Transaction aTransaction, Handler<CommitResult> aHandler)
{
  this->store.Commit(std::move(aTransaction),
                     this->MeasurePrompt(this->commits, std::move(aHandler)));
}

}
