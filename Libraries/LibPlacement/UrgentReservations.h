#pragma once

/// @file
/// Room that is being made for urgent tasks.

#include <LibBase/Time.h>
#include <LibPlacement/WorkerPool.h>
#include <unordered_map>

namespace zinc {

/// Keeps all other work off the room that preempted tasks leave, until the urgent task starts.
class UrgentReservations
{
public:
  [[nodiscard]] bool Contains(TaskIndex aTask) const { return this->holds.contains(aTask); }

  /// @return true if room was held for the task so lately that it may still come free.
  [[nodiscard]] bool IsPending(TaskIndex aTask, TimePoint aNow) const;

  void Add(WorkerPool& aPool,
           TaskIndex aTask,
           WorkerIndex aWorker,
           const Resources& aAmount,
           TimePoint aNow);

  /// Drops the task's hold, if it has one.
  void Release(WorkerPool& aPool, TaskIndex aTask);

  /// The task starts on a worker; a task whose room it takes gets the one that it leaves.
  void OnTaskStarted(WorkerPool& aPool, TaskIndex aTask, WorkerIndex aWorker);

  void OnWorkerRemoved(WorkerIndex aWorker);

private:
  struct Hold
  {
    WorkerIndex worker = kNoIndex;
    Resources amount;
    TimePoint since;
  };

  std::unordered_map<TaskIndex, Hold> holds;
};

}
