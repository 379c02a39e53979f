#include <LibCell/PlacementOrder.h>

#include <algorithm>

namespace zinc::cell {

namespace {

PriorityClass
ClassOf(const PriorityInput& aInput, TimePoint aLatestStart)
{
  if (aInput.isBeyondWeight) {
    return PriorityClass::BeyondWeight;
  }
  const bool isMostUrgentQueue = aInput.queuePriority == 0;
  if (aInput.isService || (isMostUrgentQueue && aLatestStart >= aInput.now)) {
    return PriorityClass::Urgent;
  }
  if (isMostUrgentQueue && aInput.now < aInput.deadline) {
    return PriorityClass::UrgentLate;
  }
  return aLatestStart < aInput.now ? PriorityClass::Late : PriorityClass::OnTime;
}

}

std::int64_t
ComputePriorityKey(const PriorityInput& aInput)
{
  const auto latestStart = aInput.objective - aInput.criticalPath;
  return MakePriorityKey(ClassOf(aInput, latestStart), latestStart);
}

void
SortByTurn(std::span<Candidate> aCandidates)
{
  const auto firstBatch = std::ranges::find_if(aCandidates, [](const Candidate& aCandidate) {
    return IsAtOrAfter(aCandidate.priorityKey, PriorityClass::OnTime);
  });
  std::ranges::stable_sort(firstBatch, aCandidates.end(), {}, [](const Candidate& aCandidate) {
    return aCandidate.run->lastRound;
  });
}

}
