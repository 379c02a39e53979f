#include <LibPlacement/DrainMeter.h>

#include <algorithm>
#include <cmath>

namespace zinc {

namespace {

constexpr Milliseconds kDecayTime{ 5000 };
/// The rate of a shorter backlog is unknown.
constexpr Milliseconds kMinObservation{ 500 };
constexpr Milliseconds kMaxEstimate{ 3'600'000 };
constexpr double kMillisecondsPerSecond = 1000;

double
Ratio(Milliseconds aNumerator, Milliseconds aDenominator)
{
  return static_cast<double>(aNumerator.count()) / static_cast<double>(aDenominator.count());
}

}

void
DrainMeter::OnEnqueue(TimePoint aNow)
{
  if (this->waitingCount == 0) {
    this->backlogSince = aNow;
    this->lastStartAt = aNow;
    this->decayedStarts = 0;
  }
  ++this->waitingCount;
}

void
DrainMeter::OnStart(TimePoint aNow)
{
  this->decayedStarts = this->DecayedStarts(aNow) + 1;
  this->lastStartAt = std::max(this->lastStartAt, aNow);
  --this->waitingCount;
}

std::optional<double>
DrainMeter::StartsPerSecond(TimePoint aNow) const
{
  const Milliseconds observed = aNow - this->backlogSince;
  if (this->waitingCount == 0 || observed < kMinObservation) {
    return {};
  }
  // A short observation covers only a fraction of the decay time; without this correction the rate
  // would be underestimated.
  const double observedFraction = 1 - std::exp(-Ratio(observed, kDecayTime));
  const double decaySeconds = static_cast<double>(kDecayTime.count()) / kMillisecondsPerSecond;
  return this->DecayedStarts(aNow) / (decaySeconds * observedFraction);
}

std::optional<Milliseconds>
DrainMeter::EstimateTimeToStart(double aCount, TimePoint aNow) const
{
  const auto startsPerSecond = this->StartsPerSecond(aNow);
  if (!startsPerSecond) {
    return {};
  }
  const double maxEstimateMs = static_cast<double>(kMaxEstimate.count());
  const double estimateMs =
    *startsPerSecond > 0 ? aCount / *startsPerSecond * kMillisecondsPerSecond : maxEstimateMs;
  return Milliseconds(static_cast<std::int64_t>(std::min(estimateMs, maxEstimateMs)));
}

double
DrainMeter::DecayedStarts(TimePoint aNow) const
{
  return this->decayedStarts *
         std::exp(-Ratio(std::max(aNow - this->lastStartAt, Milliseconds(0)), kDecayTime));
}

}
