#include <LibPlacement/CheckHeadroom.h>

#include <LibPlacement/ResourceMath.h>
#include <algorithm>
#include <cmath>

namespace zinc {

namespace {

constexpr Milliseconds kUpdateInterval{ 100 };
constexpr Milliseconds kPeakDecayTime{ 30'000 };
/// Upper bound of the fraction of the capacity that is kept free.
constexpr double kMaxCapacityFraction = 0.04;
/// Lower bound of that fraction if queues for checks are declared.
constexpr double kMinCapacityFraction = 0.025;
/// Before the first request, a check is assumed to need the resources of one slot divided by this.
constexpr std::int64_t kDefaultChecksPerSlot = 4;
/// For bursts, the headroom exceeds the recent peak by this factor and number of units.
constexpr double kBurstFactor = 1.5;
constexpr double kBurstUnits = 2;
/// While the workers stay the same, the headroom shrinks only to this fraction of its size or less.
constexpr double kShrinkThreshold = 0.7;

std::uint64_t
CountUnitsWithin(std::int64_t aUnit, std::int64_t aTotal, double aFraction)
{
  if (aUnit <= 0) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  return static_cast<std::uint64_t>(static_cast<double>(aTotal) * aFraction /
                                    static_cast<double>(aUnit));
}

/// @return the number of units that fit in a fraction of the total.
std::uint64_t
CountUnitsWithin(const Resources& aUnit, const Resources& aTotal, double aFraction)
{
  return std::min({ CountUnitsWithin(aUnit.milliCores, aTotal.milliCores, aFraction),
                    CountUnitsWithin(aUnit.memoryMiB, aTotal.memoryMiB, aFraction),
                    CountUnitsWithin(aUnit.accelerators, aTotal.accelerators, aFraction),
                    CountUnitsWithin(aUnit.slots, aTotal.slots, aFraction) });
}

/// Gives the workers a stable pseudo-random order, in which surplus units are distributed.
std::uint32_t
HashOf(WorkerIndex aWorker)
{
  // A prime close to 2^32 divided by the golden ratio, for multiplicative hashing.
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
CheckHeadroom::Update(WorkerPool& aPool, std::uint32_t aCheckCount, TimePoint aNow)
{
  this->recentPeak = std::max(this->recentPeak, static_cast<double>(aCheckCount));
  if (this->hasUpdated && aNow - this->lastUpdateAt < kUpdateInterval) {
    return;
  }
  const double elapsedMs =
    this->hasUpdated ? static_cast<double>((aNow - this->lastUpdateAt).count()) : 0.0;
  this->hasUpdated = true;
  this->lastUpdateAt = aNow;
  this->recentPeak =
    std::max(static_cast<double>(aCheckCount),
             this->recentPeak * std::exp(-elapsedMs / static_cast<double>(kPeakDecayTime.count())));
  std::vector<WorkerIndex> workers(aPool.PresentWorkers().begin(), aPool.PresentWorkers().end());
  std::ranges::sort(workers, {}, HashOf);
  const std::uint64_t targetUnits = this->TargetUnits(aPool);
  // A small reduction is not worth its cost: every blocked task would be tried again on all workers
  // that gain room.
  const bool isShrinking = targetUnits < this->appliedUnits;
  if (isShrinking &&
      static_cast<double>(targetUnits) >
        static_cast<double>(this->appliedUnits) * kShrinkThreshold &&
      workers.size() == this->appliedWorkers) {
    return;
  }
  this->appliedUnits = targetUnits;
  this->appliedWorkers = workers.size();
  const Resources unit = this->UnitSize(aPool);
  std::uint64_t remaining = targetUnits;
  const std::uint64_t unitsPerWorker = workers.empty() ? 0 : remaining / workers.size();
  std::uint64_t extraUnits = workers.empty() ? 0 : remaining % workers.size();
  for (const WorkerIndex worker : workers) {
    std::uint64_t units = unitsPerWorker;
    if (extraUnits > 0) {
      ++units;
      --extraUnits;
    }
    Resources headroom;
    for (std::uint64_t count = 0; count < units; ++count) {
      headroom += unit;
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
  const std::int64_t checkCount = std::max<std::int64_t>(total.slots, 1) * kDefaultChecksPerSlot;
  return { .milliCores = total.milliCores / checkCount,
           .memoryMiB = total.memoryMiB / checkCount,
           .slots = total.slots > 0 ? 1 : 0 };
}

std::uint64_t
CheckHeadroom::TargetUnits(const WorkerPool& aPool) const
{
  const Resources unit = this->UnitSize(aPool);
  if (unit == Resources{}) {
    return 0;
  }
  const Resources& total = aPool.TotalCapacity();
  const auto targetUnits =
    this->recentPeak < 1
      ? 0
      : static_cast<std::uint64_t>(this->recentPeak * kBurstFactor + kBurstUnits);
  const std::uint64_t minUnits =
    this->areChecksDeclared ? CountUnitsWithin(unit, total, kMinCapacityFraction) : 0;
  return std::clamp(
    targetUnits, minUnits, std::max(minUnits, CountUnitsWithin(unit, total, kMaxCapacityFraction)));
}

}
