#include <LibCell/SpeedProbe.h>

#include <algorithm>
#include <cstdint>

namespace zinc::cell {

SpeedProbe::Duration
SpeedProbe::Measure()
{
  constexpr int kRounds = 20'000;
  const auto begin = std::chrono::steady_clock::now();
  // A chain of dependent operations, which no compiler can shorten.
  volatile std::uint64_t value = 1;
  for (int round = 0; round < kRounds; ++round) {
    value = value * 6364136223846793005U + 1442695040888963407U;
  }
  return std::chrono::steady_clock::now() - begin;
}

void
SpeedProbe::Note(Duration aTook)
{
  this->best = std::min(this->best.value_or(aTook), aTook);
  this->recent.push_back(aTook);
  if (this->recent.size() > this->options.measurements) {
    this->recent.pop_front();
  }
}

bool
SpeedProbe::IsSlow() const
{
  if (!this->best || this->recent.size() < this->options.measurements) {
    return false;
  }
  const auto quickest = std::ranges::min(this->recent);
  return static_cast<double>(quickest.count()) >
         static_cast<double>(this->best->count()) * this->options.slowFactor;
}

}
