#include <LibCell/WaitEstimate.h>

#include <LibCell/ContendedPool.h>
#include <LibCell/Placement.h>
#include <algorithm>

namespace zinc::cell {

namespace {

Milliseconds
TimeToAdvice(const Candidate& aCandidate, TimePoint aNow)
{
  const auto& queue = *aCandidate.queue;
  const auto& state = aCandidate.run->advice;
  if (!queue.needsAdvice || state.hasResponse) {
    return Milliseconds{ 0 };
  }
  if (state.requestsInFlight > 0) {
    return std::max(Milliseconds{ 0 }, state.expectedResponse - aNow);
  }
  // The smallest request that can be enough names one worker for each task.
  const auto& step = *aCandidate.specification;
  const double workers = step.isGang ? step.count : 1.0;
  return Milliseconds(
    static_cast<std::int64_t>(queue.advice.baseMs + queue.advice.perWorkerMs * workers));
}

}

Milliseconds
EstimateWait(const Candidate& aCandidate, TimePoint aNow)
{
  if (aCandidate.contention == nullptr) {
    return Milliseconds{ 0 };
  }
  const auto& step = *aCandidate.specification;
  const std::int64_t tasks = step.isGang ? step.count : 1;
  // Room becomes free while the policy service responds. A reservation has its room already.
  const auto toRoom =
    aCandidate.run->reservation
      ? Milliseconds{ 0 }
      : aCandidate.contention->TimeUntilFree(AllocatedDemand(step).milliCores * tasks);
  return std::max(TimeToAdvice(aCandidate, aNow), toRoom);
}

}
