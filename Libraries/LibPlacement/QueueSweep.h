#pragma once

/// @file
/// Periodic check of all queued tasks.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Rejects tasks that no present worker has the capacity for, and makes reservations for large
/// tasks that smaller ones starve.
class QueueSweep
{
public:
  QueueSweep(CellState& aState, TimePoint aNow)
    : state(aState)
    , now(aNow)
  {
  }

  /// Checks the oldest task of each bucket. Does nothing if the last sweep was less than a second
  /// ago.
  void Run();

private:
  void SweepQueue(TeamTierQueue& aQueue);
  /// @return true if the present workers, when empty, have room for the task or its whole gang.
  [[nodiscard]] bool IsFeasible(TaskIndex aTask) const;

  /// Rejects the infeasible tasks at the front of the bucket once the front has been infeasible
  /// for the timeout.
  void RejectInfeasible(TeamTierQueue& aQueue, std::uint32_t aBucket);

  CellState& state;
  TimePoint now;
};

}
