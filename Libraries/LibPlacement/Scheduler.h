#pragma once

/// @file
/// The decision core: which task starts where and when.

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibDocument/Document.h>
#include <LibPlacement/Decision.h>
#include <cstdint>
#include <memory>
#include <vector>

namespace zinc {

/// Fixed at creation.
struct SchedulerOptions
{
  /// Seed of every random choice.
  std::uint64_t seed = 1;
  /// Most starts returned by one call of @ref Scheduler::Decide.
  std::size_t maxStarts = 1000;
  /// Tasks that may wait in all queues together; classes are refused one after the other before it
  /// is reached, batch first and checks last.
  std::size_t maxQueuedTotal = 200'000;
};

/// Where a cancelled task was found.
enum class CancelOutcome : std::uint8_t
{
  NotFound,
  /// Removed from its queue; it does not run.
  WasQueued,
  /// The caller stops it at its worker and reports its end.
  IsRunning,
};

/// Places tasks on the workers of one entry instance. Pure: does no I/O, reads no clock and draws
/// randomness only from its seed. Not thread-safe.
class Scheduler
{
public:
  [[nodiscard]] static Result<std::unique_ptr<Scheduler>> Create(SchedulerOptions aOptions);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Takes over teams, shares, queues and policy. Tasks already queued stay queued.
  void ApplyDocument(const Document& aDocument);

  /// Sets what a team may have running on this scheduler's workers; without a call it is nothing.
  void SetAllowance(const TeamId& aTeam, const Resources& aAllowance);

  /// Adds a worker or changes its description.
  void UpsertWorker(const WorkerInfo& aWorker);
  void SetWorkerMode(const WorkerId& aWorker, WorkerMode aMode);

  /// Forgets a worker. @return the tasks that ran on it, which the caller resolves.
  [[nodiscard]] std::vector<TaskSpec> RemoveWorker(const WorkerId& aWorker);

  /// Queues a task. Tasks of one job with a gang size start together once all have been queued; a
  /// job that is queued again after some of its tasks ended has the number of those left as its
  /// gang size.
  /// @return a verdict (always not run) if it can never fit, the queue is full or is unknown.
  [[nodiscard]] Result<Done> Enqueue(TaskSpec aTask, TimePoint aNow);

  /// Counts a task found running on a worker.
  void Adopt(const TaskSpec& aTask, const WorkerId& aWorker, TimePoint aNow);

  [[nodiscard]] CancelOutcome Cancel(const TaskId& aTask);

  /// Decides what happens now. Call it after every change and at least once a second. A given-up
  /// task that was started before has a verdict that says it may have run.
  [[nodiscard]] std::vector<Decision> Decide(TimePoint aNow);

  /// Reports that an attempt has ended. After @ref TaskOutcome::NotStarted and after a preemption
  /// the task is queued again in its old place unless it was cancelled, with its next attempt. For
  /// a task that may not run twice, report @ref TaskOutcome::NotStarted only if it surely never
  /// ran.
  void ReportEnd(const TaskId& aTask, TaskOutcome aOutcome, TimePoint aNow);

  /// Reports measured usage of a running task.
  void ReportUsage(const TaskId& aTask, const Resources& aUsage, TimePoint aNow);

  [[nodiscard]] SchedulerLoad CurrentLoad() const;

  /// @return true if the worker gets no work, or one task at a time, because it failed too many.
  [[nodiscard]] bool IsQuarantined(const WorkerId& aWorker) const;

  /// @return resources of the team's running and queued tasks, for asking for allowance.
  [[nodiscard]] Resources Demand(const TeamId& aTeam) const;

  /// @return resources of the team's running tasks.
  [[nodiscard]] Resources RunningResources(const TeamId& aTeam) const;

private:
  struct State;
  explicit Scheduler(std::unique_ptr<State> aState);

  std::unique_ptr<State> state;
};

}
