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

/// Finds room for a gang by stopping as few processors of other runs as possible at each worker.
/// @param aStep the gang's step
/// @param aWorkers the workers that may run the gang
/// @param aMayStop tells which runs may be stopped
/// @return nothing if the gang does not fit even so, or if it needs a single rack
[[nodiscard]] std::optional<PreemptionPlan>
PlanGangPreemption(const StepSpecification& aStep,
                   std::span<Worker* const> aWorkers,
                   const PreemptionPredicate& aMayStop);

}
