#include <LibCell/PlacementOrder.h>

namespace zinc::cell {

namespace {

PriorityClass
ClassOf(const PriorityInput& aInput, TimePoint aLatestStart)
{
  // In a pool that is not contended a step counts as late only after its latest start.
  const auto earliestStart = aInput.isContended ? aInput.now + aInput.expectedWait : aInput.now;
  const bool isWithoutValue = aInput.isContended && !aInput.isService &&
                              earliestStart + aInput.criticalPath > aInput.deadline;
  if (isWithoutValue) {
    return PriorityClass::WithoutValue;
  }
  if (aInput.isBeyondWeight) {
    return PriorityClass::BeyondWeight;
  }
  const bool isMostUrgentQueue = aInput.queuePriority == 0;
  if (aInput.isService || (isMostUrgentQueue && aLatestStart >= earliestStart)) {
    return PriorityClass::Urgent;
  }
  if (isMostUrgentQueue && aInput.now < aInput.deadline) {
    return PriorityClass::UrgentLate;
  }
  return aLatestStart < earliestStart ? PriorityClass::Late : PriorityClass::OnTime;
}

}

std::int64_t
ComputePriorityKey(const PriorityInput& aInput)
{
  const auto latestStart = aInput.objective - aInput.criticalPath;
  return MakePriorityKey(ClassOf(aInput, latestStart), latestStart);
}

}
