#pragma once

/// @file
/// The store, watched for whether it answers.

#include <LibCell/Ports.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <optional>
#include <set>
#include <string>

namespace zinc::cell {

/// Passes calls on, measures them, and knows whether the store answers this instance.
class MonitoredStore final : public StorePort
{
public:
  MonitoredStore(StorePort& aStore,
                 const Clock& aClock,
                 const Logger& aLog,
                 MetricRegistry& aMetrics);

  void Read(const RowRange& aRange, Handler<RowBatch> aHandler) override;
  void Watch(const std::string& aTable,
             std::uint64_t aAfter,
             Milliseconds aWait,
             Handler<RowBatch> aHandler) override;
  void Commit(Transaction aTransaction, Handler<CommitResult> aHandler) override;

  /// @return false after several calls in a row that the store did not serve.
  [[nodiscard]] bool IsServing() const { return this->failures < kFailuresToDoubt; }
  /// @return true if the store serves and no call but a feed has waited long for its answer.
  [[nodiscard]] bool IsPrompt() const;
  [[nodiscard]] TimePoint LastAnswer() const { return this->lastAnswer; }
  /// @return the time on the store's clock, behind it by the way of an answer at most; nothing
  /// before the store has told it.
  [[nodiscard]] std::optional<Milliseconds> StoreTime() const;

private:
  /// Calls in a row after which the store is taken to be away: one may be lost by itself.
  static constexpr std::uint32_t kFailuresToDoubt = 2;
  /// Wait after which an answer is not expected soon; a slow store takes up to 250 ms for a call.
  static constexpr Milliseconds kPatience{ 500 };

  /// Latencies of one kind of call; looked up once, since calls are frequent.
  struct Latencies
  {
    Latencies(MetricRegistry& aMetrics, const std::string& aCall);

    Histogram& served;
    Histogram& failed;
  };

  template<typename T>
  [[nodiscard]] Handler<T> Measure(Latencies& aLatencies, Handler<T> aHandler);
  /// As @ref Measure, for calls that the store answers at once.
  template<typename T>
  [[nodiscard]] Handler<T> MeasurePrompt(Latencies& aLatencies, Handler<T> aHandler);
  /// Takes the store's time from the answer before the handler gets it.
  [[nodiscard]] Handler<RowBatch> WithTime(Handler<RowBatch> aHandler);
  void OnAnswer();
  void OnFailure(const Verdict& aVerdict);

  StorePort& store;
  const Clock& clock;
  const Logger& log;
  Latencies reads;
  Latencies feeds;
  Latencies commits;
  std::uint32_t failures = 0;
  /// Our clock less the store's, as small as any answer has shown it.
  std::optional<Milliseconds> aheadOfStore;
  TimePoint lastAnswer{};
  /// When the calls were sent that have no answer yet, without feeds.
  std::multiset<TimePoint> open;
};

}
