#pragma once

/// @file
/// A store wrapper that measures calls and tracks whether the store is available.

#include <LibCell/Ports.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <optional>
#include <set>
#include <string>

namespace zinc::cell {

/// Forwards calls to a store, records their latencies, and tracks whether the store responds to
/// this instance. Runs on one thread.
class MonitoredStore final : public StorePort
{
public:
  MonitoredStore(StorePort& aStore,
                 const Clock& aClock,
                 const Logger& aLog,
                 MetricRegistry& aMetrics);

  void Read(const RowRange& aRange, Handler<RowBatch> aHandler) override;
  void Watch(const std::string& aTable,
             std::uint64_t aAfterVersion,
             Milliseconds aMaxWait,
             Handler<RowBatch> aHandler) override;
  void Commit(Transaction aTransaction, Handler<CommitResult> aHandler) override;

  /// @return false after @ref kFailuresUntilUnavailable consecutive failed calls.
  [[nodiscard]] bool IsAvailable() const { return this->failures < kFailuresUntilUnavailable; }
  /// @return true if the store is available and no read or commit has been in flight for longer
  /// than @ref kSlowCallThreshold.
  [[nodiscard]] bool IsResponsive() const;
  /// @return when the last successful call ended.
  [[nodiscard]] TimePoint LastResponse() const { return this->lastResponse; }
  /// @return the current time on the store's clock, behind it by at most the latency of the fastest
  /// response; empty before the store has reported its time.
  [[nodiscard]] std::optional<Milliseconds> StoreTime() const;

private:
  /// Two, because a single call may be lost.
  static constexpr std::uint32_t kFailuresUntilUnavailable = 2;
  /// A slow store takes up to 250 ms for a call.
  static constexpr Milliseconds kSlowCallThreshold{ 500 };
  /// A full read repeats rows that stay unreadable.
  static constexpr Milliseconds kUnreadableLineInterval{ 1000 };

  /// Latency histograms of one kind of call. References, to avoid a lookup for each call.
  struct Latencies
  {
    Latencies(MetricRegistry& aMetrics, const std::string& aCall);

    Histogram& served;
    Histogram& failed;
  };

  /// @return a handler that records latency and outcome before it calls @p aHandler.
  template<typename T>
  [[nodiscard]] Handler<T> Measure(Latencies& aLatencies, Handler<T> aHandler);
  /// As @ref Measure, and tracks the call as in flight. For reads and commits: the store delays the
  /// responses to watches on purpose.
  template<typename T>
  [[nodiscard]] Handler<T> MeasureInFlight(Latencies& aLatencies, Handler<T> aHandler);
  /// @return a handler that updates @ref clockOffset from the response before it calls @p aHandler.
  [[nodiscard]] Handler<RowBatch> UpdateClockOffset(Handler<RowBatch> aHandler);
  /// Counts rows that the response could not be read of, and logs them at a bounded rate.
  void OnUnreadableRows(std::size_t aCount);
  void OnResponse();
  void OnFailure(const Verdict& aVerdict);

  StorePort& store;
  const Clock& clock;
  const Logger& log;
  Latencies reads;
  Latencies watches;
  Latencies commits;
  Counter& unreadableRows;
  TimePoint nextUnreadableLine{};
  /// Consecutive failed calls.
  std::uint32_t failures = 0;
  /// This instance's clock minus the store's, the minimum of all responses.
  std::optional<Milliseconds> clockOffset;
  TimePoint lastResponse{};
  /// When the reads and commits in flight were sent.
  std::multiset<TimePoint> inFlightSince;
};

}
