#include <LibCell/CompletionRanking.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace zinc::cell {

namespace {

/// Ranks of workers at which a task ends too late begin here; larger than any band.
constexpr int kLateRank = 1000;
/// Ranks for a gang are finer, so that the range of its speeds can begin at any worker: its members
/// differ by at most 0.4, as the workers of one band.
constexpr double kGangRanksPerLog = 20.0;
constexpr int kGangSpeedRange = 8;
/// Time for the order to reach the worker and for its report to return.
constexpr Milliseconds kTransitMargin{ 40 };
/// Margin for the estimation error in standard deviations. A quick check has one attempt at its
/// objective, so that one in 40 is late at two; work with slack is looked at again while it waits.
constexpr double kUrgentMargin = 2.0;
constexpr double kSlackMargin = 1.0;
/// Multiplies the margin for the last waiting tasks of a step, which determine its end.
constexpr double kLastTaskFactor = 2.0;
/// A step's last tasks are the last waiting one and at most a tenth of the step.
constexpr std::uint32_t kLastTaskShare = 10;
/// Every worker is fast enough.
constexpr double kAnyRating = std::numeric_limits<double>::infinity();
/// No worker is fast enough.
constexpr double kNoRating = -std::numeric_limits<double>::infinity();

bool
AreLastTasks(const CompletionInput& aInput)
{
  return !aInput.isGang && aInput.waitingTasks < aInput.tasks &&
         aInput.waitingTasks <= std::max<std::uint32_t>(1, aInput.tasks / kLastTaskShare);
}

/// @return the worst rating at which a task is expected to end by @p aEnd less the rest of the
/// critical path
double
ExpectedRatingFor(const CompletionInput& aInput, TimePoint aEnd)
{
  const auto rest = std::max(Milliseconds{ 0 }, aInput.criticalPath - aInput.estimate);
  const auto available = aEnd - rest - aInput.now - kTransitMargin;
  if (available <= Milliseconds{ 0 }) {
    return kNoRating;
  }
  const auto estimate = std::max(Milliseconds{ 1 }, aInput.estimate);
  return std::log(static_cast<double>(available.count()) / static_cast<double>(estimate.count())) -
         aInput.factor.mean;
}

/// @return the allowance for the error of the expected run time
double
MarginOf(const CompletionInput& aInput)
{
  const double deviations = (aInput.isUrgent ? kUrgentMargin : kSlackMargin) *
                            (AreLastTasks(aInput) ? kLastTaskFactor : 1.0);
  return deviations * std::sqrt(aInput.factor.variance + WorkerSpeeds::NoiseOf(aInput.estimate));
}

}

int
CompletionRanking::MaxBand() const
{
  constexpr double kLargestBand = kLateRank;
  const double band = std::floor(this->maxRating / kRatingBand);
  return static_cast<int>(std::clamp(band, -kLargestBand, kLargestBand));
}

int
CompletionRanking::RankOf(const Worker& aWorker) const
{
  const auto& speed = aWorker.speed;
  const int band =
    this->isGang ? static_cast<int>(std::lround(speed.rating * kGangRanksPerLog)) : speed.band;
  return speed.rating <= this->maxRating ? -band : kLateRank + band;
}

std::optional<int>
CompletionRanking::GangSpeedRange() const
{
  return this->isGang ? std::optional(kGangSpeedRange) : std::nullopt;
}

double
ComputeMaxRating(const CompletionInput& aInput)
{
  const double onTime = ExpectedRatingFor(aInput, aInput.objective);
  // Fast workers would not save the objective of work with slack, but that of other tasks.
  const bool isHopeless = onTime < aInput.fastRating && !aInput.isUrgent;
  if (aInput.now < aInput.objective && !isHopeless) {
    return onTime - MarginOf(aInput);
  }
  return aInput.now < aInput.deadline
           ? ExpectedRatingFor(aInput, aInput.deadline) - MarginOf(aInput)
           : kAnyRating;
}

}
