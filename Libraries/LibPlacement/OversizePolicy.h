#pragma once

/// @file
/// What happens to tasks that use more than they declared.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Makes room on a worker whose tasks together use more than it has.
class OversizePolicy
{
public:
  explicit OversizePolicy(CellState& aState)
    : state(aState)
  {
  }

  /// Preempts the task that is furthest over its declaration if the worker is over its capacity and
  /// nothing on it has been asked to leave yet.
  void RelieveWorker(WorkerIndex aWorker);

private:
  [[nodiscard]] bool CanPreempt(const TaskRecord& aRecord) const;

  CellState& state;
};

}
