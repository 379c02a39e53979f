#pragma once

/// @file
/// Room that preempted tasks free for urgent tasks.

#include <LibBase/Time.h>
#include <LibPlacement/WorkerPool.h>
#include <unordered_map>

namespace zinc {

/// Reserves the room that preempted tasks free until the urgent task starts there. No other task
/// can use it.
class UrgentReservations
{
public:
  /// @return true if the task has a reservation, pending or not.
  [[nodiscard]] bool Contains(TaskIndex aTask) const { return this->reservations.contains(aTask); }

  /// @return true if the task has a reservation whose timeout has not passed, so that the preempted
  /// tasks can still free its room.
  [[nodiscard]] bool IsPending(TaskIndex aTask, TimePoint aNow) const;

  /// Reserves the amount on the worker.
  /// @pre the task has no reservation.
  void Add(WorkerPool& aPool,
           TaskIndex aTask,
           WorkerIndex aWorker,
           const Resources& aAmount,
           TimePoint aNow);

  /// Releases the task's reservation, if it has one.
  void Release(WorkerPool& aPool, TaskIndex aTask);

  /// Releases the reservation of a task that starts. If the task starts on another worker than
  /// planned, a task with a reservation there gets its reservation in exchange.
  void OnTaskStarted(WorkerPool& aPool, TaskIndex aTask, WorkerIndex aWorker);

  /// Discards the reservations on the worker.
  void OnWorkerRemoved(WorkerIndex aWorker);

private:
  struct Reservation
  {
    WorkerIndex worker = kNoIndex;
    Resources amount;
    TimePoint reservedAt;
  };

  std::unordered_map<TaskIndex, Reservation> reservations;
};

}
