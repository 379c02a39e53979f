#include <LibPlacement/DrainMeter.h>

#include <algorithm>
#include <cmath>

namespace zinc {

namespace {

constexpr Milliseconds kMemory{ 5000 };
constexpr Milliseconds kLeastObservation{ 500 };
constexpr Milliseconds kLongest{ 3'600'000 };
constexpr double kMillisecondsPerSecond = 1000;

double
Ratio(Milliseconds aPart, Milliseconds aWhole)
{
  return static_cast<double>(aPart.count()) / static_cast<double>(aWhole.count());
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
  if (this->waitingCount == 0 || observed < kLeastObservation) {
    return {};
  }
  // The decayed counter has only seen part of its memory at first.
  const double seen = 1 - std::exp(-Ratio(observed, kMemory));
  const double memory = static_cast<double>(kMemory.count()) / kMillisecondsPerSecond;
  return this->DecayedStarts(aNow) / (memory * seen);
}

std::optional<Milliseconds>
DrainMeter::EstimateTimeToStart(double aCount, TimePoint aNow) const
{
  const auto rate = this->StartsPerSecond(aNow);
  if (!rate) {
    return {};
  }
  const double longest = static_cast<double>(kLongest.count());
  const double time = *rate > 0 ? aCount / *rate * kMillisecondsPerSecond : longest;
  return Milliseconds(static_cast<std::int64_t>(std::min(time, longest)));
}

double
DrainMeter::DecayedStarts(TimePoint aNow) const
{
  return this->decayedStarts *
         std::exp(-Ratio(std::max(aNow - this->lastStartAt, Milliseconds(0)), kMemory));
}

}
