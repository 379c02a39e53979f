#pragma once

/// @file
/// Finds workers that fail or slow down what they run.

#include <LibPlacement/TaskTable.h>
#include <LibPlacement/WorkerPool.h>
#include <deque>
#include <unordered_map>

namespace zinc {

/// Closes workers that fail what succeeds elsewhere, tries them again later with one task at a
/// time, and offers less of slow ones.
class QuarantineTracker
{
public:
  /// Sets the part of a zone's workers that may be closed at once.
  void SetMaxQuarantinedFraction(double aPart) { this->maxQuarantined = aPart; }

  /// A task was started on the worker; a worker on probation takes no second one.
  void OnTaskStarted(WorkerPool& aPool, WorkerIndex aWorker);

  /// A task ended on the worker. @param aExpectedRun how long it should have run.
  void OnTaskEnded(WorkerPool& aPool,
                   const TaskRecord& aRecord,
                   TaskOutcome aOutcome,
                   Milliseconds aExpectedRun,
                   TimePoint aNow);

  /// Puts workers on probation whose quarantine is over.
  void Update(WorkerPool& aPool, const TaskTable& aTasks, TimePoint aNow);

  /// Forgets what is known of a worker that was removed.
  void OnWorkerRemoved(WorkerIndex aWorker);

  /// @return true if the worker is quarantined or on probation.
  [[nodiscard]] bool IsRestricted(WorkerIndex aWorker) const;

private:
  enum class Standing : std::uint8_t
  {
    Good,
    Quarantined,
    Probation,
  };

  struct Health
  {
    Standing standing = Standing::Good;
    /// Decayed counts; failures weighted by how much they tell about the worker.
    double failures = 0;
    double successes = 0;
    std::uint32_t probes = 0;
    TimePoint until{};
    Milliseconds backoff{ 0 };
    /// Mean logarithm of run time over expected run time.
    double slowness = 0;
    std::uint32_t runs = 0;
  };

  struct Outcome
  {
    WorkerIndex worker = kNoIndex;
    bool isFailure = false;
  };

  struct FailedJob
  {
    std::size_t job = 0;
    WorkerIndex worker = kNoIndex;
  };

  [[nodiscard]] Health& HealthOf(WorkerIndex aWorker);
  [[nodiscard]] double WeightOf(const TaskRecord& aRecord, TaskOutcome aOutcome) const;
  [[nodiscard]] double FailureRateElsewhere(const TaskRecord& aRecord) const;
  void Remember(const TaskRecord& aRecord, TaskOutcome aOutcome);
  void ObserveRun(WorkerPool& aPool,
                  const TaskRecord& aRecord,
                  Milliseconds aExpectedRun,
                  TimePoint aNow);
  void OnProbeEnd(WorkerPool& aPool,
                  WorkerIndex aWorker,
                  TaskOutcome aOutcome,
                  double aWeight,
                  TimePoint aNow);
  void OnProbeSuccess(WorkerPool& aPool, WorkerIndex aWorker);
  void Quarantine(WorkerPool& aPool, WorkerIndex aWorker, TimePoint aNow);
  [[nodiscard]] bool MayQuarantine(const WorkerPool& aPool, WorkerIndex aWorker) const;

  double maxQuarantined = 0.2;
  std::vector<Health> health;
  /// Workers that are quarantined or on probation.
  std::size_t distrusted = 0;
  /// Latest outcomes of each team's queue, few of any one worker.
  std::unordered_map<std::uint64_t, std::deque<Outcome>> outcomes;
  std::deque<FailedJob> failedJobs;
  /// Mean logarithm of run time over expected run time on all workers.
  double fleetSlowness = 0;
  std::uint32_t fleetRuns = 0;
};

}
