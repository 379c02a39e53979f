#include <LibPlacement/CheckHeadroom.h>

#include <LibPlacement/ResourceMath.h>
#include <algorithm>
#include <cmath>

namespace zinc {

namespace {

constexpr Milliseconds kUpdateInterval{ 100 };
constexpr Milliseconds kMemory{ 30'000 };
/// Most of the capacity that may be kept free.
constexpr double kMaxFraction = 0.04;
/// Part that is kept free before any check was seen.
constexpr double kMinFraction = 0.025;
/// Part of a slot's portion of a worker that a check is taken to need before one was seen.
constexpr std::int64_t kUnseenCheckDivisor = 4;
/// Places kept over the largest recent number of checks, for bursts.
constexpr double kSpareRatio = 1.5;
constexpr double kSparePlaces = 2;
/// Part of the places below which they are laid out anew.
constexpr double kShrinkBelow = 0.7;

std::uint64_t
PlacesWithin(std::int64_t aPlace, std::int64_t aTotal, double aFraction)
{
  if (aPlace <= 0) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  return static_cast<std::uint64_t>(static_cast<double>(aTotal) * aFraction /
                                    static_cast<double>(aPlace));
}

/// @return places of the size that this part of the total makes.
std::uint64_t
PlacesWithin(const Resources& aPlace, const Resources& aTotal, double aFraction)
{
  return std::min({ PlacesWithin(aPlace.milliCores, aTotal.milliCores, aFraction),
                    PlacesWithin(aPlace.memoryMiB, aTotal.memoryMiB, aFraction),
                    PlacesWithin(aPlace.accelerators, aTotal.accelerators, aFraction),
                    PlacesWithin(aPlace.slots, aTotal.slots, aFraction) });
}

std::uint32_t
Shuffled(WorkerIndex aWorker)
{
  constexpr std::uint32_t kMultiplier = 2'654'435'761U;
  return aWorker * kMultiplier;
}

}

void
CheckHeadroom::ObserveRequest(const Resources& aRequest)
{
  this->largestCheck = ElementwiseMax(this->largestCheck, aRequest);
}

void
CheckHeadroom::Update(WorkerPool& aPool, std::uint32_t aChecks, TimePoint aNow)
{
  this->recentPeak = std::max(this->recentPeak, static_cast<double>(aChecks));
  if (this->hasUpdated && aNow - this->lastUpdateAt < kUpdateInterval) {
    return;
  }
  const double elapsed =
    this->hasUpdated ? static_cast<double>((aNow - this->lastUpdateAt).count()) : 0.0;
  this->hasUpdated = true;
  this->lastUpdateAt = aNow;
  this->recentPeak =
    std::max(static_cast<double>(aChecks),
             this->recentPeak * std::exp(-elapsed / static_cast<double>(kMemory.count())));
  std::vector<WorkerIndex> order(aPool.PresentWorkers().begin(), aPool.PresentWorkers().end());
  std::ranges::sort(order, {}, Shuffled);
  const std::uint64_t wanted = this->TargetUnits(aPool);
  // Small changes would have every waiting task look at many workers again.
  const bool isShrinking = wanted < this->appliedUnits;
  if (isShrinking &&
      static_cast<double>(wanted) > static_cast<double>(this->appliedUnits) * kShrinkBelow &&
      order.size() == this->appliedWorkers) {
    return;
  }
  this->appliedUnits = wanted;
  this->appliedWorkers = order.size();
  const Resources place = this->UnitSize(aPool);
  std::uint64_t left = wanted;
  const std::uint64_t perWorker = order.empty() ? 0 : left / order.size();
  std::uint64_t extra = order.empty() ? 0 : left % order.size();
  for (const WorkerIndex worker : order) {
    std::uint64_t places = perWorker;
    if (extra > 0) {
      ++places;
      --extra;
    }
    Resources headroom;
    for (std::uint64_t count = 0; count < places; ++count) {
      headroom += place;
    }
    aPool.SetHeadroom(worker, ElementwiseMin(headroom, aPool[worker].info.capacity));
  }
}

Resources
CheckHeadroom::UnitSize(const WorkerPool& aPool) const
{
  if (this->largestCheck != Resources{}) {
    return this->largestCheck;
  }
  const Resources& total = aPool.TotalCapacity();
  const std::int64_t parts = std::max<std::int64_t>(total.slots, 1) * kUnseenCheckDivisor;
  return { .milliCores = total.milliCores / parts,
           .memoryMiB = total.memoryMiB / parts,
           .slots = total.slots > 0 ? 1 : 0 };
}

std::uint64_t
CheckHeadroom::TargetUnits(const WorkerPool& aPool) const
{
  const Resources place = this->UnitSize(aPool);
  if (place == Resources{}) {
    return 0;
  }
  const Resources& total = aPool.TotalCapacity();
  const auto wanted = this->recentPeak < 1
                        ? 0
                        : static_cast<std::uint64_t>(this->recentPeak * kSpareRatio + kSparePlaces);
  const std::uint64_t least =
    this->areChecksDeclared ? PlacesWithin(place, total, kMinFraction) : 0;
  return std::clamp(wanted, least, std::max(least, PlacesWithin(place, total, kMaxFraction)));
}

}
