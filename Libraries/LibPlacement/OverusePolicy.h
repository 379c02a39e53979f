#pragma once

/// @file
/// Preemption of tasks that use more resources than they requested.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Relieves workers whose running tasks use more than the worker's capacity.
class OverusePolicy
{
public:
  explicit OverusePolicy(CellState& aState)
    : state(aState)
  {
  }

  /// Preempts the task that exceeds its request the most, if the worker is over capacity and no
  /// task on it is being preempted already.
  void RelieveWorker(WorkerIndex aWorker);

private:
  [[nodiscard]] bool CanPreempt(const TaskRecord& aRecord) const;

  CellState& state;
};

}
