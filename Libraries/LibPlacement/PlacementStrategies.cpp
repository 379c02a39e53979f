#include <LibPlacement/PlacementStrategies.h>

#include <array>
#include <cmath>

namespace zinc {

namespace {

/// Number of random workers to compare before all candidates are considered.
constexpr std::uint32_t kSampleSize = 4;

double
Fraction(std::int64_t aAmount, std::int64_t aCapacity)
{
  return aCapacity > 0 ? static_cast<double>(aAmount) / static_cast<double>(aCapacity) : 0.0;
}

/// @return the sum of the remaining amounts, each as a fraction of the capacity.
double
RemainingFractions(const Resources& aRoom, const Resources& aRequest, const Resources& aCapacity)
{
  const Resources remaining = aRoom - aRequest;
  return Fraction(remaining.milliCores, aCapacity.milliCores) +
         Fraction(remaining.memoryMiB, aCapacity.memoryMiB) +
         Fraction(remaining.accelerators, aCapacity.accelerators) +
         Fraction(remaining.slots, aCapacity.slots);
}

/// @return the dominant share of the worker's used resources after the placement.
double
LoadAfterPlacement(const Resources& aRoom, const Resources& aRequest, const Resources& aCapacity)
{
  return DominantShare(aCapacity - aRoom + aRequest, aCapacity);
}

/// @return the negated scalar projection of the request onto the room, both as fractions of the
/// capacity. It is lowest where the free resources have the proportions of the request.
double
NegativeAlignment(const Resources& aRoom, const Resources& aRequest, const Resources& aCapacity)
{
  const std::array room{ Fraction(aRoom.milliCores, aCapacity.milliCores),
                         Fraction(aRoom.memoryMiB, aCapacity.memoryMiB),
                         Fraction(aRoom.accelerators, aCapacity.accelerators),
                         Fraction(aRoom.slots, aCapacity.slots) };
  const std::array request{ Fraction(aRequest.milliCores, aCapacity.milliCores),
                            Fraction(aRequest.memoryMiB, aCapacity.memoryMiB),
                            Fraction(aRequest.accelerators, aCapacity.accelerators),
                            Fraction(aRequest.slots, aCapacity.slots) };
  double product = 0;
  double roomSquare = 0;
  for (std::size_t index = 0; index < room.size(); ++index) {
    product += room.at(index) * request.at(index);
    roomSquare += room.at(index) * room.at(index);
  }
  return roomSquare > 0 ? -product / std::sqrt(roomSquare) : 0;
}

std::uint32_t
DomainPenaltyOf(const PlacementQuery& aQuery, const WorkerRecord& aWorker, WorkerIndex aIndex)
{
  const std::uint32_t domain = aQuery.spread == SpreadDomain::Rack ? aWorker.rack : aIndex;
  return domain < aQuery.domainPenalties.size() ? aQuery.domainPenalties[domain] : 0;
}

/// @return the candidate with enough room that has the lowest penalty, then the lowest score, or
/// @ref kNoIndex.
template<typename Score>
WorkerIndex
ChooseLowestScore(const WorkerPool& aPool, const PlacementQuery& aQuery, Score aScore)
{
  const auto rooms = aPool.Rooms(aQuery.kind);
  WorkerIndex best = kNoIndex;
  std::uint32_t bestPenalty = 0;
  double bestScore = 0;
  for (const WorkerIndex index : aQuery.candidates) {
    const Resources& room = rooms[index];
    if (!aQuery.request.FitsIn(room)) {
      continue;
    }
    const std::uint32_t penalty =
      aQuery.domainPenalties.empty() ? 0 : DomainPenaltyOf(aQuery, aPool[index], index);
    const double score = aScore(room, aPool[index].info.capacity);
    if (best == kNoIndex || std::pair(penalty, score) < std::pair(bestPenalty, bestScore)) {
      best = index;
      bestPenalty = penalty;
      bestScore = score;
    }
  }
  return best;
}

}

PlacementStrategies::PlacementStrategies(std::uint64_t aSeed)
  : random(aSeed)
{
}

WorkerIndex
PlacementStrategies::Choose(const WorkerPool& aPool, const PlacementQuery& aQuery)
{
  static constexpr std::array<Selector, 6> kSelectors = {
    &PlacementStrategies::FirstFit,       &PlacementStrategies::BestFit,
    &PlacementStrategies::DotProduct,     &PlacementStrategies::LeastLoaded,
    &PlacementStrategies::PowerOfChoices, &PlacementStrategies::Random,
  };
  const auto selector = kSelectors.at(static_cast<std::size_t>(aQuery.strategy));
  return (this->*selector)(aPool, aQuery);
}

WorkerIndex
PlacementStrategies::FirstFit(const WorkerPool& aPool, const PlacementQuery& aQuery)
{
  if (!aQuery.domainPenalties.empty()) {
    return ChooseLowestScore(aPool, aQuery, [](const Resources&, const Resources&) { return 0.0; });
  }
  const auto rooms = aPool.Rooms(aQuery.kind);
  for (const WorkerIndex index : aQuery.candidates) {
    if (aQuery.request.FitsIn(rooms[index])) {
      return index;
    }
  }
  return kNoIndex;
}

WorkerIndex
PlacementStrategies::BestFit(const WorkerPool& aPool, const PlacementQuery& aQuery)
{
  return ChooseLowestScore(
    aPool, aQuery, [&aQuery](const Resources& aRoom, const Resources& aCapacity) {
      return RemainingFractions(aRoom, aQuery.request, aCapacity);
    });
}

WorkerIndex
PlacementStrategies::DotProduct(const WorkerPool& aPool, const PlacementQuery& aQuery)
{
  return ChooseLowestScore(
    aPool, aQuery, [&aQuery](const Resources& aRoom, const Resources& aCapacity) {
      return NegativeAlignment(aRoom, aQuery.request, aCapacity);
    });
}

WorkerIndex
PlacementStrategies::LeastLoaded(const WorkerPool& aPool, const PlacementQuery& aQuery)
{
  return ChooseLowestScore(
    aPool, aQuery, [&aQuery](const Resources& aRoom, const Resources& aCapacity) {
      return LoadAfterPlacement(aRoom, aQuery.request, aCapacity);
    });
}

WorkerIndex
PlacementStrategies::PowerOfChoices(const WorkerPool& aPool, const PlacementQuery& aQuery)
{
  if (aQuery.candidates.size() <= kSampleSize) {
    return this->LeastLoaded(aPool, aQuery);
  }
  std::array<WorkerIndex, kSampleSize> sample{};
  const auto count = static_cast<std::uint32_t>(aQuery.candidates.size());
  for (WorkerIndex& index : sample) {
    index = aQuery.candidates[this->random(count)];
  }
  PlacementQuery narrowed = aQuery;
  narrowed.candidates = sample;
  const WorkerIndex chosen = this->LeastLoaded(aPool, narrowed);
  return chosen != kNoIndex ? chosen : this->LeastLoaded(aPool, aQuery);
}

WorkerIndex
PlacementStrategies::Random(const WorkerPool& aPool, const PlacementQuery& aQuery)
{
  return ChooseLowestScore(aPool, aQuery, [this](const Resources&, const Resources&) {
    return static_cast<double>(this->random());
  });
}

}
