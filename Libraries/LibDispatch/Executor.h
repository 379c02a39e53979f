#pragma once

/// @file
/// Queues tasks at their owner, starts them on its workers and reports how they end.

#include <LibDispatch/OwnedTask.h>
#include <LibDispatch/RetryBudget.h>
#include <LibDispatch/WorkerFleet.h>
#include <LibDocument/Document.h>
#include <LibPeer/Notice.h>
#include <LibPlacement/Scheduler.h>
#include <functional>
#include <map>
#include <span>
#include <unordered_map>

namespace zinc {

/// How long a task waited and ran, for metrics.
struct TaskTiming
{
  const TaskSpec& spec;
  Milliseconds waited{ 0 };
  Milliseconds ran{ 0 };
  TaskState state = TaskState::Succeeded;
};

/// Resources of one team's tasks.
struct TeamAmount
{
  TeamId team;
  Resources amount;
};

/// Tasks of one queue or team at an owner.
struct TaskCounts
{
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
};

/// Is told when running tasks change hands together with their worker.
class HandOverObserver
{
public:
  virtual ~HandOverObserver() = default;

  /// Tasks that another holder started were found on an acquired worker.
  virtual void TasksAdopted(const WorkerId& aWorker,
                            const EntryId& aPreviousHolder,
                            std::span<const TeamAmount> aAmounts) = 0;

  /// A worker was lost with these tasks on it.
  virtual void TasksForfeited(const WorkerId& aWorker, std::span<const TeamAmount> aAmounts) = 0;
};

/// What an executor works with; all of it outlives the executor.
struct ExecutorEnvironment
{
  const Clock& clock;
  Scheduler& scheduler;
  /// Sends a notice to an entry instance, which may be this one.
  std::function<void(const EntryId&, Notice)> send;
  /// @return who drives the job now, given who placed its task; empty if nobody is known to.
  std::function<EntryId(const JobId&, const EntryId&)> driverOf;
  /// Runs a function after the current one, on the control thread.
  std::function<void(std::function<void()>)> defer;
  std::function<void(const TaskTiming&)> record;
  HandOverObserver& handOvers;
};

/// Not thread-safe; used on the control thread.
class Executor final : public FleetObserver
{
public:
  explicit Executor(ExecutorEnvironment aEnvironment);

  /// The fleet, which is made after the executor that observes it.
  void Attach(WorkerFleet& aFleet) { this->fleet = &aFleet; }

  void ApplyDocument(const Document& aDocument);

  /// Queues a task or answers its origin with @ref TaskRefused.
  void Place(const EntryId& aOrigin, PlaceTask aNotice);
  void OnClaimDecided(const ClaimDecided& aNotice);
  void Stop(const StopTask& aNotice);

  /// Answers for tasks of an origin that is gone are of no use to anybody.
  void ForgetOrigin(const EntryId& aOrigin);

  /// Applies the time. Call it at least every 100 ms.
  void Tick();

  /// Lets the scheduler decide soon.
  void Wake();

  /// Tells drivers, who may have changed, of every running task that needed a claim.
  void AnnounceRunning();

  /// @return tasks that a caller waits for and that are not over.
  [[nodiscard]] std::size_t OpenChecks() const;

  [[nodiscard]] TaskCounts CountsOf(const QueueId& aQueue) const;
  [[nodiscard]] TaskCounts CountsOf(const TeamId& aTeam) const;

  void WorkerAcquired(const Instance& aWorker, const LeaseGrant& aGrant) override;
  void WorkerLost(const WorkerId& aWorker) override;
  void WorkerChanged(const WorkerId& aWorker, const EventBatch& aEvents) override;
  void WorkerRefused(const WorkerId& aWorker) override;
  [[nodiscard]] bool PrepareRelease(const WorkerId& aWorker) override;

private:
  friend struct DecisionRunner;

  template<typename Id>
  [[nodiscard]] TaskCounts CountTasks(Id TaskSpec::*aMember, const Id& aId) const;

  /// @return amounts of the tasks that hold resources of a worker, by team.
  [[nodiscard]] std::vector<TeamAmount> AmountsAt(const WorkerId& aWorker) const;
  [[nodiscard]] OwnedTask* Find(const TaskId& aTask);
  [[nodiscard]] OwnedTask* Find(const AttemptId& aAttempt);
  void Tell(const OwnedTask& aTask, Notice aNotice);

  /// Answers the origin that the task is not started any more, and forgets it.
  void Refuse(OwnedTask& aTask, Verdict aVerdict);
  void Pump();
  void Begin(const StartTask& aDecision);
  /// @return true if an unanswered claim is to be sent again: to a new driver at once.
  [[nodiscard]] bool IsClaimDue(const OwnedTask& aTask) const;
  void SendClaim(OwnedTask& aTask);
  void Preempt(const PreemptTask& aDecision);
  void GiveUp(const RejectTask& aDecision);

  void Send(OwnedTask& aTask);
  void OnStartAnswered(const AttemptId& aAttempt, const Result<TaskStatus>& aReply);
  void OnStartRefused(OwnedTask& aTask, const Verdict& aVerdict);
  void Inspect(OwnedTask& aTask);
  void OnInspected(const AttemptId& aAttempt, const Result<TaskStatus>& aReply);

  /// Stops or checkpoints a running task, as was requested; repeated until the task has ended.
  void AskToLeave(OwnedTask& aTask);
  void StopAtWorker(const OwnedTask& aTask, StopMode aMode);
  void OnStopAnswered(const AttemptId& aAttempt, const Result<TaskStatus>& aReply);

  /// Tells the origin that the attempt may still run, and forgets it.
  void Lose(OwnedTask& aTask);
  void TakeStatus(const AttemptId& aAttempt, const TaskStatus& aStatus);
  void NoteRunning(OwnedTask& aTask);
  void Finish(OwnedTask& aTask, const TaskStatus& aStatus, RunState aRun);
  void Requeue(OwnedTask& aTask, const TaskEnded& aEnd);
  void Forget(OwnedTask& aTask, const TaskEnded& aEnd, TaskOutcome aOutcome);
  [[nodiscard]] bool MayRetry(const OwnedTask& aTask, const TaskStatus& aStatus);
  void Retry(OwnedTask& aTask);

  /// Queues the task at the scheduler, which has forgotten it, or refuses it.
  void EnqueueAgain(OwnedTask& aTask);
  void AbandonGang(const JobId& aJob);
  /// @return true if the task runs and was not known here.
  [[nodiscard]] bool Adopt(const WorkerId& aWorker, LeaseTerm aTerm, const TaskStatus& aStatus);
  [[nodiscard]] RetryBudget& BudgetOf(const QueueId& aQueue);

  ExecutorEnvironment environment;
  WorkerFleet* fleet = nullptr;
  Document document;
  std::unordered_map<TaskId, OwnedTask> tasks;
  std::map<QueueId, RetryBudget> budgets;
  /// Number of tasks without a claim by worker, which a hand-over would cut off.
  std::map<WorkerId, std::size_t> checksAt;
  bool pumpDue = false;
};

}
