#pragma once

/// @file
/// The store, watched for whether it answers.

#include <LibCell/Ports.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <string>

namespace zinc::cell {

/// Passes calls on, measures them, and knows whether the store answers this instance.
class WatchedStore final : public StorePort
{
public:
  WatchedStore(StorePort& aStore,
               const Clock& aClock,
               const Logger& aLog,
               MetricRegistry& aMetrics);

  void Read(const RowRange& aRange, Handler<RowBatch> aHandler) override;
  void Follow(const std::string& aTable,
              std::uint64_t aAfter,
              Milliseconds aWait,
              Handler<RowBatch> aHandler) override;
  void Commit(Transaction aTransaction, Handler<CommitAnswer> aHandler) override;

  /// @return false after several calls in a row that the store did not serve.
  [[nodiscard]] bool IsServing() const { return this->failures < kFailuresToDoubt; }
  [[nodiscard]] TimePoint LastAnswer() const { return this->lastAnswer; }

private:
  /// Calls in a row after which the store is taken to be away: one may be lost by itself.
  static constexpr std::uint32_t kFailuresToDoubt = 2;

  /// Latencies of one kind of call; looked up once, since calls are frequent.
  struct Latencies
  {
    Latencies(MetricRegistry& aMetrics, const std::string& aCall);

    Histogram& served;
    Histogram& failed;
  };

  template<typename T>
  [[nodiscard]] Handler<T> Watch(Latencies& aLatencies, Handler<T> aHandler);
  void OnAnswer();
  void OnFailure(const Verdict& aVerdict);

  StorePort& store;
  const Clock& clock;
  const Logger& log;
  Latencies reads;
  Latencies feeds;
  Latencies commits;
  std::uint32_t failures = 0;
  TimePoint lastAnswer{};
};

}
