#include <LibMetrics/Metrics.h>

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cassert>
#include <cmath>
#include <mutex>

namespace zinc {

namespace {

namespace accumulators = boost::accumulators;
namespace tag = boost::accumulators::tag;

constexpr std::array kProbabilities = { 0.5, 0.9, 0.99 };
/// The algorithm has two markers for each probability and three more; it estimates nothing before
/// each has a value.
constexpr std::uint64_t kMinCountForQuantiles = 2 * kProbabilities.size() + 3;

using Summary = accumulators::accumulator_set<
  double,
  accumulators::stats<tag::count, tag::sum, tag::max, tag::extended_p_square>>;

}

struct Histogram::State
{
  explicit State(std::size_t aBucketCount)
    : counts(aBucketCount)
  {
  }

  std::mutex mutex;
  Summary summary{ tag::extended_p_square::probabilities = kProbabilities };
  /// Counts of the single buckets, not cumulative.
  std::vector<std::uint64_t> counts;
};

Histogram::Histogram(std::span<const double> aBounds)
  : bounds(aBounds.begin(), aBounds.end())
  , state(std::make_unique<State>(aBounds.size() + 1))
{
  assert(std::ranges::is_sorted(this->bounds));
}

Histogram::~Histogram() = default;

void
Histogram::Record(double aValue)
{
  if (!std::isfinite(aValue)) {
    return;
  }
  const auto bucket = std::ranges::lower_bound(this->bounds, aValue) - this->bounds.begin();
  const std::scoped_lock lock(this->state->mutex);
  this->state->summary(aValue);
  ++this->state->counts[static_cast<std::size_t>(bucket)];
}

HistogramSnapshot
Histogram::Snapshot() const
{
  const std::scoped_lock lock(this->state->mutex);
  const Summary& summary = this->state->summary;
  HistogramSnapshot snapshot;
  snapshot.count = accumulators::count(summary);
  snapshot.sum = accumulators::sum(summary);
  snapshot.max = snapshot.count == 0 ? 0.0 : accumulators::max(summary);
  std::uint64_t total = 0;
  for (const auto count : this->state->counts) {
    total += count;
    snapshot.cumulativeCounts.push_back(total);
  }
  if (snapshot.count >= kMinCountForQuantiles) {
    const auto estimates = accumulators::extended_p_square(summary);
    for (std::size_t index = 0; index < kProbabilities.size(); ++index) {
      snapshot.quantiles.push_back({ kProbabilities.at(index), estimates[index] });
    }
  }
  return snapshot;
}

}
