#pragma once

/// @file
/// Counters, gauges and histograms. Every operation may be called on any thread.

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace zinc {

/// A number that only rises.
class Counter
{
public:
  void Add(std::uint64_t aAmount = 1) { this->value.fetch_add(aAmount, std::memory_order_relaxed); }
  [[nodiscard]] std::uint64_t Value() const { return this->value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value{ 0 };
};

/// A number that rises and falls.
class Gauge
{
public:
  void Set(double aValue) { this->value.store(aValue, std::memory_order_relaxed); }
  void Add(double aAmount) { this->value.fetch_add(aAmount, std::memory_order_relaxed); }
  [[nodiscard]] double Value() const { return this->value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> value{ 0.0 };
};

/// An estimate of a quantile.
struct QuantileEstimate
{
  double probability = 0.0;
  double value = 0.0;
};

/// Values recorded so far.
struct HistogramSnapshot
{
  std::uint64_t count = 0;
  double sum = 0.0;
  double max = 0.0;
  /// Number of values at most each bound; one more than there are bounds, the last being all.
  std::vector<std::uint64_t> cumulativeCounts;
  /// Estimates by the P² algorithm; empty while nothing is recorded.
  std::vector<QuantileEstimate> quantiles;
};

/// Distribution of a quantity. Recording takes an uncontended lock.
class Histogram
{
public:
  /// @param aBounds rising upper bounds of the buckets; there is one more without a bound.
  explicit Histogram(std::span<const double> aBounds);
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  void Record(double aValue);
  [[nodiscard]] HistogramSnapshot Snapshot() const;
  [[nodiscard]] std::span<const double> Bounds() const { return this->bounds; }

private:
  struct State;

  std::vector<double> bounds;
  std::unique_ptr<State> state;
};

}
