#pragma once

/// @file
/// Finds when and where a gang can start.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Plans from the expected ends of running tasks.
class ReservationPlanner
{
public:
  ReservationPlanner(CellState& aState, TimePoint aNow)
    : state(aState)
    , now(aNow)
  {
  }

  /// Reserves room for the waiting task that found none, if it is its turn.
  void ReserveIfEligible(TaskIndex aTask);

  /// Reserves room for the waiting task or its gang. @return false if no ends of running tasks that
  /// are expected make enough room.
  bool Reserve(TaskIndex aTask);

private:
  /// A running task's expected end.
  struct ExpectedEnd
  {
    TimePoint at;
    WorkerIndex worker = kNoIndex;
    Resources freed;

    [[nodiscard]] bool IsLaterThan(const ExpectedEnd& aOther) const { return this->at > aOther.at; }
  };

  [[nodiscard]] bool DeservesReservation(TaskIndex aTask) const;
  [[nodiscard]] std::vector<ExpectedEnd> ExpectedEnds() const;
  [[nodiscard]] TimePoint ExpectedEndOf(const TaskRecord& aRecord) const;
  [[nodiscard]] bool IsOpen(WorkerIndex aWorker) const;

  CellState& state;
  TimePoint now;
};

}
