#pragma once

/// @file
/// What is looked at now and then in every queue.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Gives up what no worker can hold any more, and finds large tasks that small ones starve.
class QueueSweep
{
public:
  QueueSweep(CellState& aState, TimePoint aNow)
    : state(aState)
    , now(aNow)
  {
  }

  /// Looks at the oldest task of every size class, at most once a second.
  void Run();

private:
  void SweepLane(TeamTierQueue& aLane);
  [[nodiscard]] bool IsHoldable(TaskIndex aTask) const;

  /// Gives up the oldest tasks that cannot be held once that has been so for long.
  void GiveUpUnholdable(TeamTierQueue& aLane, std::uint32_t aBucket);

  CellState& state;
  TimePoint now;
};

}
