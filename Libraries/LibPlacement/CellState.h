#pragma once

/// @file
/// Everything that the scheduler remembers, and the steps that keep its parts in agreement.

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

/// The parts of the scheduler. Each step below leaves all of them consistent.
class CellState
{
public:
  explicit CellState(SchedulerOptions aOptions);

  /// Adds a task without queueing or starting it.
  TaskIndex AddTask(TaskSpec aTask, TimePoint aNow);

  /// Queues the task in its place; a gang once all its members are there.
  void EnqueueTask(TaskIndex aTask, TimePoint aNow);

  /// Takes a waiting task out of its queue; the other members of its gang are left assembling.
  void DequeueTask(TaskIndex aTask, DequeueReason aEnd, TimePoint aNow);

  /// Counts the task as running on the worker.
  void Allocate(TaskIndex aTask, WorkerIndex aWorker, TimePoint aNow);

  /// Changes what the running task takes from its worker.
  void UpdateAllocation(TaskIndex aTask, const Resources& aCharged);

  /// Counts the task as running no more.
  void ReleaseAllocation(TaskIndex aTask);

  /// Forgets a task that neither waits nor runs.
  void RemoveTask(TaskIndex aTask);

  /// Asks for the running task's checkpoint.
  void RequestPreemption(TaskIndex aTask, PreemptReason aReason);

  /// Takes a waiting task out and answers it; its gang, which cannot start any more, as well.
  void RejectQueued(TaskIndex aTask, const Verdict& aVerdict, TimePoint aNow);

  /// Takes a waiting task out unanswered and gives up the rest of its gang.
  void CancelQueued(TaskIndex aTask);

  TeamIndex EnsureTeam(const TeamId& aTeam);

  /// @return the tasks that start together with this one.
  [[nodiscard]] std::vector<TaskIndex> MembersOf(TaskIndex aTask) const;

  /// @return what the waiting task is expected to take from a worker.
  [[nodiscard]] Resources SizeForPlacement(TaskIndex aTask) const;

  /// @return whom the task's room is counted for.
  [[nodiscard]] static RoomUse RoomUseOf(const TaskSpec& aTask);

  /// @return the policy of a work class.
  [[nodiscard]] const ClassPolicy& PolicyOf(WorkClass aClass) const;

  /// @return true if the task waits for a start.
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
  /// No reservation is planned before this time.
  TimePoint nextReservationAt{};
  TimePoint nextSweepAt{};
  UrgentReservations urgentReservations;
  QuarantineTracker quarantine;
  /// Answers that the next call of Decide returns first.
  std::vector<Decision> pendingRejections;
  /// Preemptions that the next call of Decide returns, unless the task has ended by then.
  std::vector<PreemptTask> pendingPreemptions;
  std::array<std::uint32_t, kWorkClassCount> queuedByClass{};
  std::uint32_t runningCount = 0;
  std::uint32_t runningChecks = 0;

private:
  /// Drops the room that is kept for a task which waits no more.
  void ReleaseReservations(TaskIndex aTask, DequeueReason aEnd);
  void EnqueueGangMember(TaskIndex aTask);
  void EnqueueIfComplete(GangRecord& aGang);
  void PreemptRunningMembers(const GangRecord& aGang);
  void DequeueGang(TaskIndex aTask);
  void EmitRejection(TaskIndex aTask, Verdict aVerdict);
  void RejectIncompleteGang(GangIndex aGang, const Verdict& aVerdict);
  [[nodiscard]] DomainIndex SpreadDomainOf(const TaskRecord& aRecord, WorkerIndex aWorker) const;

  std::uint64_t nextSequence = 1;
};

}
