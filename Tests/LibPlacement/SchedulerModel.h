#pragma once

/// @file
/// Applies random operations to a scheduler and checks its invariants.

#include "SchedulerFixture.h"

#include <map>
#include <rapidcheck/gtest.h>
#include <vector>

namespace zinc {

/// A random operation. The numbers select its kind, its subject and its parameters.
struct Operation
{
  std::uint32_t kind = 0;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
};

/// Called by RapidCheck to print a failing sequence.
inline void
showValue(const Operation& aOperation, std::ostream& aStream)
{
  aStream << "{" << aOperation.kind << ", " << aOperation.first << ", " << aOperation.second << "}";
}

/// Tracks tasks, workers and allowances independently of the scheduler, and checks each of its
/// decisions and its counters against them.
class SchedulerModel
{
public:
  explicit SchedulerModel(std::uint64_t aSeed);

  /// Applies the operation, advances the time and checks the resulting decisions.
  void Apply(const Operation& aOperation);

  /// Runs all remaining tasks on an ample worker, and checks that every task ended.
  void Drain();

private:
  enum class Phase : std::uint8_t
  {
    Queued,
    Running,
    Ended,
  };

  struct ModelTask
  {
    TaskSpec spec;
    Phase phase = Phase::Queued;
    WorkerId worker;
    Resources measuredUsage;
    std::uint32_t preemptionCount = 0;
    bool isPreempting = false;
    /// True once an attempt after the first was started.
    bool hasRestarted = false;
    bool isCancelled = false;
  };

  struct ModelWorker
  {
    WorkerInfo info;
    WorkerMode mode = WorkerMode::Accepting;
  };

  void Enqueue(const Operation& aOperation);
  void EnqueueGang(const Operation& aOperation);
  void EndRunningTask(const Operation& aOperation);
  void EndAttempt(ModelTask& aTask, TaskOutcome aOutcome);
  void Cancel(const Operation& aOperation);
  void AddWorker(const Operation& aOperation);
  void RemoveWorker(const Operation& aOperation);
  void ChangeMode(const Operation& aOperation);
  void ChangeAllowance(const Operation& aOperation);
  void Adopt(const Operation& aOperation);
  void ReportUsage(const Operation& aOperation);
  void AdvanceTime(const Operation& aOperation);
  void Decide();

  void OnStart(const StartTask& aStart);
  void OnPreempt(const PreemptTask& aPreempt);
  void OnReject(const RejectTask& aRejection);
  void CheckCounters() const;
  void CheckGangs(const std::map<JobId, std::uint32_t>& aStartedMembers) const;
  [[nodiscard]] TaskSpec MakeTask(const Operation& aOperation, const std::string& aQueue);
  [[nodiscard]] Resources ComputeUsedOnWorker(const WorkerId& aWorker) const;
  [[nodiscard]] Resources ComputeRequestedByTeam(const TeamId& aTeam) const;
  [[nodiscard]] std::vector<ModelTask*> RunningTasks();

  Document document = SampleDocument();
  std::unique_ptr<Scheduler> scheduler;
  TimePoint now{};
  std::map<TaskId, ModelTask> tasks;
  std::map<WorkerId, ModelWorker> workers;
  std::map<TeamId, Resources> allowances;
  int nameCount = 0;
};

}
