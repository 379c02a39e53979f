#include <LibCell/SpeedProbe.h>

#include <algorithm>
#include <cstdint>

namespace zinc::cell {

SpeedProbe::Duration
SpeedProbe::Measure()
{
  constexpr int kRounds = 20'000;
  const auto begin = std::chrono::steady_clock::now();
  // A chain of dependent operations, which the compiler cannot shorten.
  volatile std::uint64_t value = 1;
  for (int round = 0; round < kRounds; ++round) {
    value = value * 6364136223846793005U + 1442695040888963407U;
  }
  return std::chrono::steady_clock::now() - begin;
}

void
SpeedProbe::AddMeasurement(Duration aDuration)
{
  this->fastest = std::min(this->fastest.value_or(aDuration), aDuration);
  this->recentMeasurements.push_back(aDuration);
  if (this->recentMeasurements.size() > this->options.minMeasurements) {
    this->recentMeasurements.pop_front();
  }
}

bool
SpeedProbe::IsSlow() const
{
  if (!this->fastest || this->recentMeasurements.size() < this->options.minMeasurements) {
    return false;
  }
  const auto shortest = std::ranges::min(this->recentMeasurements);
  return static_cast<double>(shortest.count()) >
         static_cast<double>(this->fastest->count()) * this->options.slowFactor;
}

}
