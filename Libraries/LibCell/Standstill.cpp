#include <LibCell/Standstill.h>

#include <LibCell/WorkspaceLimit.h>

namespace zinc::cell {

namespace {

/// @return true if the step waits for something that it gets from the scheduler or the policy
/// service, rather than for workers or for its own tasks
bool
IsKeptWaiting(WaitReason aReason)
{
  switch (aReason) {
    case WaitReason::Advice:
    case WaitReason::Limit:
    case WaitReason::Headroom:
    case WaitReason::Earmark:
    case WaitReason::Ticket:
    case WaitReason::Record:
    case WaitReason::Reports:
      return true;
    default:
      return false;
  }
}

bool
RunsNothing(const StepRun& aRun)
{
  return aRun.waitingTasks + aRun.succeededTasks == aRun.tasks.size();
}

}

bool
StandsStill(const Candidate& aCandidate, WaitReason aReason)
{
  const auto& run = *aCandidate.run;
  const auto& step = *aCandidate.specification;
  auto usage = *aCandidate.job->workspaceUsage;
  if (aReason == WaitReason::Reports) {
    // What may run at workers that have not reported is an upper bound, and may not exist.
    usage.unread = {};
  }
  return RunsNothing(run) && IsKeptWaiting(aReason) && UsesLessThanHalfOfLimit(usage) &&
         AllowsWithinLimit(usage, step.demand * (step.isGang ? step.count : 1));
}

bool
HasStoodStill(const StepRun& aRun, Milliseconds aMaxWait)
{
  const auto& standstill = aRun.standstill;
  const auto waited = standstill.TimeOf(WaitReason::Limit) +
                      standstill.TimeOf(WaitReason::Headroom) +
                      standstill.TimeOf(WaitReason::Earmark);
  return waited >= aMaxWait && RunsNothing(aRun);
}

}
