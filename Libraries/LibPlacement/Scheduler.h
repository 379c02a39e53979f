#pragma once

/// @file
/// The decision core of placement: decides which task starts when and on which worker.

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibDocument/Document.h>
#include <LibPlacement/Decision.h>
#include <cstdint>
#include <memory>
#include <vector>

namespace zinc {

/// Options of a scheduler, fixed at creation.
struct SchedulerOptions
{
  /// Seed of the random number generators.
  std::uint64_t seed = 1;
  /// Maximum number of starts per call of @ref Scheduler::Decide; at least 1.
  std::size_t maxStarts = 1000;
  /// Maximum number of tasks waiting in all queues together. As the total approaches it, work
  /// classes are rejected one after another, batch first and checks last.
  std::size_t maxQueuedTotal = 200'000;
};

/// Result of @ref Scheduler::Cancel.
enum class CancelOutcome : std::uint8_t
{
  NotFound,
  /// The task was removed from its queue and does not run.
  WasQueued,
  /// The caller has to stop the task on its worker and report its end.
  IsRunning,
};

/// Places tasks on the workers of one entry instance. Deterministic: does no I/O, reads no clock
/// and takes its randomness from the seed alone. Not thread-safe.
class Scheduler
{
public:
  /// @return the scheduler, or a verdict if @ref SchedulerOptions::maxStarts is 0.
  [[nodiscard]] static Result<std::unique_ptr<Scheduler>> Create(SchedulerOptions aOptions);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Applies teams, shares, queues and placement policy. Tasks already queued stay queued.
  void ApplyDocument(const Document& aDocument);

  /// Sets the limit on a team's running tasks on this scheduler's workers. The initial limit is
  /// zero.
  void SetAllowance(const TeamId& aTeam, const Resources& aAllowance);

  /// Adds a worker or changes its description.
  void UpsertWorker(const WorkerInfo& aWorker);
  /// Sets whether the worker takes new tasks. Does nothing if the worker is unknown.
  void SetWorkerMode(const WorkerId& aWorker, WorkerMode aMode);

  /// Removes a worker and the tasks running on it.
  /// @return these tasks; the caller decides how they end.
  [[nodiscard]] std::vector<TaskSpec> RemoveWorker(const WorkerId& aWorker);

  /// Queues a task. Tasks of a job with a gang size above 1 start together once all have been
  /// queued. If a job is queued again after some of its tasks ended, its gang size is the number of
  /// remaining tasks.
  /// @return a verdict (always @c NotRun) if the task can never fit, or if its queue is full or
  /// unknown.
  [[nodiscard]] Result<Done> Enqueue(TaskSpec aTask, TimePoint aNow);

  /// Records a task found running on a worker. If the task is queued here, removes it from its
  /// queue. Does nothing if the worker is unknown or the task is already recorded as running.
  void Adopt(const TaskSpec& aTask, const WorkerId& aWorker, TimePoint aNow);

  /// Removes a queued task, or marks a running one so that it is not requeued.
  [[nodiscard]] CancelOutcome Cancel(const TaskId& aTask);

  /// Decides which tasks to start, preempt and reject. Call it after every change and at least
  /// once a second. The verdict of a rejected task that was started before is @c MayHaveRun.
  [[nodiscard]] std::vector<Decision> Decide(TimePoint aNow);

  /// Reports that an attempt has ended. After @ref TaskOutcome::NotStarted and after a preemption,
  /// a task that was not cancelled is requeued at its old position with the next attempt number.
  /// For a non-idempotent task, report @ref TaskOutcome::NotStarted only if it certainly never ran.
  void ReportEnd(const TaskId& aTask, TaskOutcome aOutcome, TimePoint aNow);

  /// Reports the measured resource usage of a running task.
  void ReportUsage(const TaskId& aTask, const Resources& aUsage, TimePoint aNow);

  /// @return capacity, used resources and task counts of this scheduler's workers and queues.
  [[nodiscard]] SchedulerLoad CurrentLoad() const;

  /// @return true if too many tasks failed on the worker, so that it takes no tasks or, on
  /// probation, one at a time.
  [[nodiscard]] bool IsQuarantined(const WorkerId& aWorker) const;

  /// @return resources requested by the team's running and queued tasks. Callers use it to request
  /// allowance for the team.
  [[nodiscard]] Resources Demand(const TeamId& aTeam) const;

  /// @return resources requested by the team's running tasks.
  [[nodiscard]] Resources RunningResources(const TeamId& aTeam) const;

private:
  struct State;
  explicit Scheduler(std::unique_ptr<State> aState);

  std::unique_ptr<State> state;
};

}
