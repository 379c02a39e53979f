#pragma once

/// @file
/// Plans when and where a gang or a large task can start.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Reserves room that the running tasks are expected to free.
class ReservationPlanner
{
public:
  ReservationPlanner(CellState& aState, TimePoint aNow)
    : state(aState)
    , now(aNow)
  {
  }

  /// Reserves room for a waiting task that could not be placed, if it is eligible and the retry
  /// delay after a failed plan has passed.
  void ReserveIfEligible(TaskIndex aTask);

  /// Reserves room for the waiting task or its gang.
  /// @return false if the expected ends of all running tasks do not free enough room.
  bool Reserve(TaskIndex aTask);

private:
  /// The expected end of a running task and the resources that it frees.
  struct ExpectedEnd
  {
    TimePoint at;
    WorkerIndex worker = kNoIndex;
    Resources freedResources;

    [[nodiscard]] bool IsLaterThan(const ExpectedEnd& aOther) const { return this->at > aOther.at; }
  };

  /// @return true for the holder of an overdue reservation, for a gang, and for a large normal task
  /// that has waited long enough. If another task holds the reservation, only an urgent gang is
  /// eligible, and only if the holder is not urgent.
  [[nodiscard]] bool IsEligible(TaskIndex aTask) const;
  /// @return the expected ends of all running tasks except service tasks, in no particular order.
  [[nodiscard]] std::vector<ExpectedEnd> CollectExpectedEnds() const;
  [[nodiscard]] TimePoint EstimateEnd(const TaskRecord& aRecord) const;
  [[nodiscard]] bool CanTakeTasks(WorkerIndex aWorker) const;

  CellState& state;
  TimePoint now;
};

}
