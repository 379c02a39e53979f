#include <LibCell/InterferenceRanking.h>

#include <algorithm>
#include <cmath>

namespace zinc::cell {

namespace {

/// Costs are compared in steps of this size, of the logarithm of the slowdown, so that other
/// preferences decide between similar ones.
constexpr double kCostStep = 0.25;
constexpr double kMaxDutyCyclePercent = 100.0;

}

WorkerRank
InterferenceRanking::RankOf(const Worker& aWorker) const
{
  auto rank = this->base->RankOf(aWorker);
  double cost = 0.0;
  for (auto current = aWorker.allocations.begin(); current != aWorker.allocations.end();
       ++current) {
    const auto other = current->neighbours.image;
    if (other == kNoImage) {
      continue;
    }
    cost += this->model.EffectOn(other, this->image);
    const double effect = this->model.EffectOn(this->image, other);
    // Further tasks of the same image slow the task down little more than the first.
    const auto isSameImage = [other](const Allocation& aAllocation) {
      return aAllocation.neighbours.image == other;
    };
    if (effect > 0.0 && std::none_of(aWorker.allocations.begin(), current, isSameImage)) {
      cost += effect * current->dutyCyclePercent / kMaxDutyCyclePercent;
    }
  }
  rank.interference = static_cast<int>(std::lround(cost / kCostStep));
  return rank;
}

}
