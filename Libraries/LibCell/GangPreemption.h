#pragma once

/// @file
/// Chooses runs to stop so that a gang fits. Load: gangs, which need room at several workers at
/// once, arrive in a pool that is filled by small batch tasks.

#include <LibCell/Worker.h>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace zinc::cell {

/// What decides whether a run may be stopped for a gang.
struct PreemptionInput
{
  TimePoint now{};
  /// Priorities of the queues of the gang and of the run; 0 is the most urgent.
  std::uint32_t gangPriority = 0;
  std::uint32_t runPriority = 0;
  RunPhase phase = RunPhase::Running;
  /// Start with which the run's job would still meet its objective if nothing of it had run.
  TimePoint latestStart{};
  /// How often the task was stopped for gangs before.
  std::uint32_t preemptions = 0;
};

/// @param aStep the step of the run
/// @return true if the run belongs to a less urgent queue, resumes from a checkpoint, and its job
/// meets its objective even if it starts anew some time later
[[nodiscard]] bool
IsPreemptible(const StepSpecification& aStep, const PreemptionInput& aInput);

/// Whether a gang is worth stopping runs for: the room that it gets is idle until they have
/// stopped.
/// @param aGang the gang's step
/// @param aStopTime longest time that a worker takes to stop a run
/// @return true if that time is short against the gang's run time
[[nodiscard]] bool
IsWorthStops(const StepSpecification& aGang, Milliseconds aStopTime);

/// A run that makes way for a gang.
struct PreemptedRun
{
  Worker* worker = nullptr;
  TaskName task;
  std::uint64_t run = 0;
};

/// Where a gang fits once some runs have stopped.
struct PreemptionPlan
{
  /// A worker for each member.
  std::vector<Worker*> members;
  std::vector<PreemptedRun> preempted;
};

/// Tells whether a run may be stopped for the gang.
using PreemptionPredicate = std::function<bool(const Allocation&)>;

/// Finds room for a gang at the workers where the runs to stop occupy the fewest processors.
/// @param aStep the gang's step
/// @param aWorkers the workers that may run the gang
/// @param aMayStop tells which runs may be stopped
/// @return nothing if the gang does not fit even so, or if it needs a single rack
[[nodiscard]] std::optional<PreemptionPlan>
PlanGangPreemption(const StepSpecification& aStep,
                   std::span<Worker* const> aWorkers,
                   const PreemptionPredicate& aMayStop);

}
