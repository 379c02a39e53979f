#pragma once

/// @file
/// State of the scheduler, and the operations that keep its tables consistent.

#include <LibPlacement/CheckHeadroom.h>
#include <LibPlacement/DeadlineIndex.h>
#include <LibPlacement/DemandEstimator.h>
#include <LibPlacement/FairShare.h>
#include <LibPlacement/GangReservation.h>
#include <LibPlacement/GangTable.h>
#include <LibPlacement/PlacementStrategies.h>
#include <LibPlacement/QuarantineTracker.h>
#include <LibPlacement/QueueTable.h>
#include <LibPlacement/Scheduler.h>
#include <LibPlacement/SpreadTracker.h>
#include <LibPlacement/TeamQueues.h>
#include <LibPlacement/UrgentReservations.h>
#include <LibPlacement/WorkerPool.h>

namespace zinc {

/// Owns all tables of the scheduler. Each operation updates every table that it affects.
class CellState
{
public:
  explicit CellState(SchedulerOptions aOptions);

  /// Creates the record of a task, neither queued nor running.
  TaskIndex AddTask(TaskSpec aTask, TimePoint aNow);

  /// Queues the task by its sequence number. A gang is queued once all its members are waiting.
  void EnqueueTask(TaskIndex aTask, TimePoint aNow);

  /// Removes a waiting task from its queue. The other members of its gang are assembling again.
  void DequeueTask(TaskIndex aTask, DequeueReason aReason, TimePoint aNow);

  /// Allocates the worker's resources to the task and marks the task as running.
  void Allocate(TaskIndex aTask, WorkerIndex aWorker, TimePoint aNow);

  /// Changes the amount that is allocated to a running task on its worker.
  void UpdateAllocation(TaskIndex aTask, const Resources& aCharged);

  /// Releases the resources of a running task; the task is neither queued nor running afterwards.
  void ReleaseAllocation(TaskIndex aTask);

  /// Erases the record of a task. @pre it is neither queued nor running.
  void RemoveTask(TaskIndex aTask);

  /// Marks a running task as preempting; the next call of Scheduler::Decide returns the preemption.
  void RequestPreemption(TaskIndex aTask, PreemptReason aReason);

  /// Removes a waiting task and reports @p aVerdict for it. The waiting members of its gang, which
  /// can no longer start, are rejected with the same verdict.
  void RejectQueued(TaskIndex aTask, const Verdict& aVerdict, TimePoint aNow);

  /// Removes a waiting task without reporting a verdict, and rejects the waiting members of its
  /// gang.
  void CancelQueued(TaskIndex aTask);

  /// @return the team's index; an unknown team is added.
  TeamIndex EnsureTeam(const TeamId& aTeam);

  /// @return the members of the task's gang, or only the task if it has none.
  [[nodiscard]] std::vector<TaskIndex> MembersOf(TaskIndex aTask) const;

  /// @return the resources to allocate when the waiting task is placed: its estimated usage, or its
  /// request and own peak usage if no worker has the capacity for the estimate.
  [[nodiscard]] Resources SizeForPlacement(TaskIndex aTask) const;

  /// @return the kind of use under which the task's resources are accounted.
  [[nodiscard]] static RoomUse RoomUseOf(const TaskSpec& aTask);

  /// @return the placement policy of a work class.
  [[nodiscard]] const ClassPolicy& PolicyOf(WorkClass aClass) const;

  /// @return true if the task has no worker: it is queued, or its gang is assembling.
  [[nodiscard]] static bool IsWaiting(const TaskRecord& aRecord);

  SchedulerOptions options;
  PlacementPolicy policy;
  IndexMap<TeamId> teams;
  QueueTable queueTable;
  TaskTable tasks;
  GangTable gangs;
  WorkerPool pool;
  FairShare shares;
  TeamQueues teamQueues;
  DeadlineIndex deadlines;
  DemandEstimator estimator;
  PlacementStrategies strategies;
  SpreadTracker spreadTracker;
  pcg32 random;
  CheckHeadroom headroom;
  GangReservation reservation;
  /// Earliest time of the next attempt to plan a reservation.
  TimePoint nextReservationAt{};
  /// Earliest time of the next run of @ref QueueSweep.
  TimePoint nextSweepAt{};
  UrgentReservations urgentReservations;
  QuarantineTracker quarantine;
  /// Rejections that the next call of Scheduler::Decide returns first.
  std::vector<Decision> pendingRejections;
  /// Preemptions that the next call of Scheduler::Decide returns, except for tasks that have ended
  /// by then.
  std::vector<PreemptTask> pendingPreemptions;
  /// Number of waiting tasks, by work class.
  std::array<std::uint32_t, kWorkClassCount> queuedByClass{};
  std::uint32_t runningCount = 0;
  std::uint32_t runningChecks = 0;

private:
  /// Releases the gang reservation of a task that stops waiting, and its urgent reservation unless
  /// it starts, in which case the allocation releases it.
  void ReleaseReservations(TaskIndex aTask, DequeueReason aReason);
  /// Preempts the running members of the gang that can be repeated, and queues the gang if all its
  /// members are waiting.
  void EnqueueGangMember(TaskIndex aTask);
  void EnqueueIfComplete(GangRecord& aGang);
  void PreemptRunningMembers(const GangRecord& aGang);
  void DequeueGang(TaskIndex aTask);
  /// Adds the task to @ref pendingRejections and removes it.
  void EmitRejection(TaskIndex aTask, Verdict aVerdict);
  /// Rejects all waiting members of a gang that lost a member.
  void RejectIncompleteGang(GangIndex aGang, const Verdict& aVerdict);
  [[nodiscard]] DomainIndex SpreadDomainOf(const TaskRecord& aRecord, WorkerIndex aWorker) const;

  std::uint64_t nextSequence = 1;
};

}
