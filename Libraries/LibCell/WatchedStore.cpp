#include <LibCell/WatchedStore.h>

namespace zinc::cell {

WatchedStore::WatchedStore(StorePort& aStore,
                           const Clock& aClock,
                           const Logger& aLog,
                           MetricRegistry& aMetrics)
  : store(aStore)
  , clock(aClock)
  , log(aLog)
  , metrics(aMetrics)
{
}

template<typename T>
Handler<T>
WatchedStore::Watch(std::string_view aCall, Handler<T> aHandler)
{
  const auto sent = this->clock.Now();
  return [this, call = std::string(aCall), sent, handler = std::move(aHandler)](Result<T> aResult) {
    // An answer that history was dropped is an answer.
    const bool isServed = !IsError(aResult) || ErrorOf(aResult).code == ErrorCode::StaleVersion;
    const auto outcome = isServed ? "served" : "failed";
    this->metrics
      .FindHistogram({ .name = "zinc_cell_store_seconds", .help = "Calls to the store." },
                     { { "call", call }, { "outcome", outcome } })
      .Record(std::chrono::duration<double>(this->clock.Now() - sent).count());
    if (isServed) {
      this->OnAnswer();
    } else {
      this->OnFailure(ErrorOf(aResult));
    }
    handler(std::move(aResult));
  };
}

void
WatchedStore::OnAnswer()
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
WatchedStore::OnFailure(const Verdict& aVerdict)
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
WatchedStore::Read(const RowRange& aRange, Handler<RowBatch> aHandler)
{
  this->store.Read(aRange, this->Watch("read", std::move(aHandler)));
}

void
WatchedStore::Follow(const std::string& aTable,
                     std::uint64_t aAfter,
                     Milliseconds aWait,
                     Handler<RowBatch> aHandler)
{
  this->store.Follow(aTable, aAfter, aWait, this->Watch("follow", std::move(aHandler)));
}

void
WatchedStore::ListParts(const std::string& aTable, Handler<std::vector<std::string>> aHandler)
{
  this->store.ListParts(aTable, this->Watch("parts", std::move(aHandler)));
}

void
WatchedStore::Commit(Transaction aTransaction, Handler<CommitAnswer> aHandler)
{
  this->store.Commit(std::move(aTransaction), this->Watch("commit", std::move(aHandler)));
}

}
