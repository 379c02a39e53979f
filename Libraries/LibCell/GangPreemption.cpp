#include <LibCell/GangPreemption.h>

#include <LibCell/Placement.h>
#include <algorithm>

namespace zinc::cell {

namespace {

/// The time to stop a run, to get new tickets for its task and to find room elsewhere.
constexpr Milliseconds kMinSlack{ 2000 };
/// Run time of a gang over the time of a stop: at most a tenth of what the gang's room does is lost
/// to the stops.
constexpr int kMinRunTimePerStopTime = 10;
/// A task that was stopped this often is not stopped again.
constexpr std::uint32_t kMaxPreemptions = 2;

/// Room for one more member at a worker.
struct MemberSlot
{
  /// Thousandths of a core of the runs that have to stop.
  std::int64_t stoppedMilliCores = 0;
  /// Order of the slots of one worker, whose later slots rely on the earlier ones.
  std::uint32_t ordinal = 0;
  Worker* worker = nullptr;
  std::vector<const Allocation*> stopped;
};

/// @return the runs at the worker that may be stopped, the largest first
std::vector<const Allocation*>
FindStoppableRuns(const Worker& aWorker, const PreemptionPredicate& aMayStop)
{
  std::vector<const Allocation*> runs;
  for (const auto& allocation : aWorker.allocations) {
    if (aMayStop(allocation)) {
      runs.push_back(&allocation);
    }
  }
  std::ranges::stable_sort(
    runs, std::greater{}, [](const Allocation* aRun) { return aRun->demand.milliCores; });
  return runs;
}

/// @return the smallest run whose end makes room for a member, or the largest one if none does;
/// null if there are no runs
const Allocation*
ChooseRunToStop(std::span<const Allocation* const> aRuns,
                const Resources& aFree,
                const Resources& aDemand)
{
  const Allocation* chosen = aRuns.empty() ? nullptr : aRuns.front();
  for (const auto* run : aRuns) {
    if (CountFittingTasks(aFree + run->demand, aDemand, 1) > 0) {
      chosen = run;
    }
  }
  return chosen;
}

/// Appends the worker's slots, those without a stopped run first.
void
AppendSlots(Worker& aWorker,
            const StepSpecification& aStep,
            const PreemptionPredicate& aMayStop,
            std::vector<MemberSlot>& aSlots)
{
  const auto demand = AllocatedDemand(aStep);
  const auto maxMembers = std::min(MaxTasksPerWorker(aStep), CountFreeRuns(aWorker));
  auto stoppable = FindStoppableRuns(aWorker, aMayStop);
  auto free = aWorker.FreeResources();
  // The room of runs that are being stopped already becomes free soon.
  for (const auto& allocation : aWorker.allocations) {
    if (allocation.phase == RunPhase::Stopping) {
      free += allocation.demand;
    }
  }
  std::int64_t stoppedMilliCores = 0;
  for (std::uint32_t ordinal = 0; ordinal < maxMembers; ++ordinal) {
    MemberSlot slot{ .ordinal = ordinal, .worker = &aWorker };
    while (CountFittingTasks(free, demand, 1) == 0) {
      const auto* run = ChooseRunToStop(stoppable, free, demand);
      if (run == nullptr) {
        return;
      }
      std::erase(stoppable, run);
      slot.stopped.push_back(run);
      free += run->demand;
      stoppedMilliCores += run->demand.milliCores;
    }
    free -= demand;
    // A slot costs at least as much as the earlier ones, so that these are chosen before it.
    slot.stoppedMilliCores = stoppedMilliCores;
    aSlots.push_back(std::move(slot));
  }
}

}

bool
IsPreemptible(const StepSpecification& aStep, const PreemptionInput& aInput)
{
  const bool isOrdinaryTask = !aStep.isGang && !aStep.isService && !aStep.isBestEffort;
  return isOrdinaryTask && aStep.hasCheckpoints && aInput.phase == RunPhase::Running &&
         aInput.runPriority > aInput.gangPriority && aInput.preemptions < kMaxPreemptions &&
         aInput.latestStart >= aInput.now + kMinSlack;
}

bool
IsWorthStops(const StepSpecification& aGang, Milliseconds aStopTime)
{
  return aStopTime * kMinRunTimePerStopTime <= aGang.estimate;
}

std::optional<PreemptionPlan>
PlanGangPreemption(const StepSpecification& aStep,
                   std::span<Worker* const> aWorkers,
                   const PreemptionPredicate& aMayStop)
{
  if (aStep.prefersSameRack) {
    return {};
  }
  std::vector<MemberSlot> slots;
  for (auto* worker : aWorkers) {
    AppendSlots(*worker, aStep, aMayStop, slots);
  }
  if (slots.size() < aStep.count) {
    return {};
  }
  std::ranges::stable_sort(slots, {}, [](const MemberSlot& aSlot) {
    return std::pair(aSlot.stoppedMilliCores, aSlot.ordinal);
  });
  PreemptionPlan plan;
  for (const auto& slot : std::span(slots).first(aStep.count)) {
    plan.members.push_back(slot.worker);
    for (const auto* run : slot.stopped) {
      plan.preempted.push_back({ .worker = slot.worker, .task = run->task, .run = run->run });
    }
  }
  return plan;
}

}
