#include <LibCell/HangDetection.h>

#include <algorithm>

namespace zinc::cell {

Milliseconds
GangStallTimeout(Milliseconds aEstimate, Milliseconds aLongest)
{
  constexpr Milliseconds kShortest{ 1200 };
  return std::clamp(aEstimate / 2, kShortest, aLongest);
}

Milliseconds
HangTimeout(const RunPace& aPace, Milliseconds aLongestOfGang)
{
  constexpr int kPercents = 100;
  // A worker may be twice as slow as estimated, and the task far from its data.
  constexpr int kSilentPercents = 4;
  constexpr std::uint32_t kMaxDoublings = 10;
  const auto percent = std::max(aPace.estimate / kPercents, aPace.slowestPercent);
  const auto timeout =
    std::max(GangStallTimeout(aPace.estimate, aLongestOfGang), percent * kSilentPercents);
  // The first hang may be the worker's fault.
  const auto doublings = std::min(std::max(1U, aPace.earlierHangs) - 1U, kMaxDoublings);
  return std::min(timeout * (std::int64_t{ 1 } << doublings), kMaxDuration);
}

}
