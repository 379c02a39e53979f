#pragma once

/// @file
/// Detects workers on which tasks fail or run slowly.

#include <LibPlacement/TaskTable.h>
#include <LibPlacement/WorkerPool.h>
#include <deque>
#include <unordered_map>

namespace zinc {

/// Quarantines workers on which tasks fail that would succeed on other workers. When the quarantine
/// ends, a worker is on probation: it runs one task at a time until enough of these probes succeed.
/// Also reduces the capacity offered by slow workers.
class QuarantineTracker
{
public:
  /// Sets the fraction of a zone's workers that can be in quarantine or on probation at once.
  void SetMaxQuarantinedFraction(double aFraction) { this->maxQuarantinedFraction = aFraction; }

  /// Closes a worker on probation to further tasks while this one runs.
  void OnTaskStarted(WorkerPool& aPool, WorkerIndex aWorker);

  /// Records how a task ended, and quarantines its worker if too many tasks failed there.
  /// @param aExpectedRun the estimated run time; zero or less if unknown.
  void OnTaskEnded(WorkerPool& aPool,
                   const TaskRecord& aRecord,
                   TaskOutcome aOutcome,
                   Milliseconds aExpectedRun,
                   TimePoint aNow);

  /// Puts workers on probation whose quarantine has ended, and counts a probe that has run long
  /// enough as a success.
  void Update(WorkerPool& aPool, const TaskTable& aTasks, TimePoint aNow);

  /// Discards the health record of the worker.
  void OnWorkerRemoved(WorkerIndex aWorker);

  /// @return true if the worker is in quarantine or on probation.
  [[nodiscard]] bool IsRestricted(WorkerIndex aWorker) const;

private:
  enum class HealthState : std::uint8_t
  {
    Healthy,
    Quarantined,
    Probation,
  };

  struct WorkerHealth
  {
    HealthState state = HealthState::Healthy;
    /// Exponentially decayed count of failures, each weighted by how likely the worker, not the
    /// task, is the cause.
    double decayedFailures = 0;
    double decayedSuccesses = 0;
    /// Probes that succeeded in the current probation.
    std::uint32_t successfulProbes = 0;
    TimePoint quarantinedUntil{};
    /// Duration of the latest quarantine; doubles with each failed probation.
    Milliseconds backoff{ 0 };
    /// Moving average of log(run time / expected run time).
    double meanLogRunRatio = 0;
    std::uint32_t runCount = 0;
  };

  struct Outcome
  {
    WorkerIndex worker = kNoIndex;
    bool isFailure = false;
  };

  struct FailedJob
  {
    std::size_t jobHash = 0;
    WorkerIndex worker = kNoIndex;
  };

  [[nodiscard]] WorkerHealth& FindOrAddHealth(WorkerIndex aWorker);
  /// @return the weight of the outcome in the worker's failure count, 0 to 1. A task that could not
  /// start weighs 1. A failure weighs less if the job or its queue also fails on other workers, and
  /// 0 if the job has already failed on this worker.
  [[nodiscard]] double ComputeFailureWeight(const TaskRecord& aRecord, TaskOutcome aOutcome) const;
  /// @return the failure rate of the team's queue on other workers.
  [[nodiscard]] double ComputeFailureRateElsewhere(const TaskRecord& aRecord) const;
  void RecordOutcome(const TaskRecord& aRecord, TaskOutcome aOutcome);
  /// Updates the worker's run time ratio and its offered capacity.
  void RecordRunTime(WorkerPool& aPool,
                     const TaskRecord& aRecord,
                     Milliseconds aExpectedRun,
                     TimePoint aNow);
  void OnProbeEnded(WorkerPool& aPool,
                    WorkerIndex aWorker,
                    TaskOutcome aOutcome,
                    double aWeight,
                    TimePoint aNow);
  void OnProbeSucceeded(WorkerPool& aPool, WorkerIndex aWorker);
  void Quarantine(WorkerPool& aPool, WorkerIndex aWorker, TimePoint aNow);
  /// @return true if one more restricted worker stays within the zone's limit.
  [[nodiscard]] bool CanQuarantine(const WorkerPool& aPool, WorkerIndex aWorker) const;

  double maxQuarantinedFraction = 0.2;
  std::vector<WorkerHealth> health;
  /// Workers in quarantine or on probation.
  std::size_t restrictedCount = 0;
  /// Recent outcomes by team and queue, with only a few per worker, so that one bad worker does not
  /// fill the list.
  std::unordered_map<std::uint64_t, std::deque<Outcome>> outcomesByTeamQueue;
  std::deque<FailedJob> recentFailedJobs;
  /// Moving average of log(run time / expected run time) over all workers.
  double fleetMeanLogRunRatio = 0;
  std::uint32_t fleetRunCount = 0;
};

}
