#pragma once

/// @file
/// Admission of tasks to the queues.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Rejects tasks that no worker can run, that cannot start before their deadline, or that exceed a
/// limit of the backlog. Created for one admission at the time @p aNow.
class AdmissionControl
{
public:
  AdmissionControl(CellState& aState, TimePoint aNow)
    : state(aState)
    , now(aNow)
  {
  }

  /// @return the reason for the rejection (its run state is always not run), or nothing if the task
  /// is admitted.
  [[nodiscard]] std::optional<Verdict> CheckAdmission(const TaskSpec& aTask);

  /// @return the shorter of the task's own deadline and its queue's, relative to now; nothing if
  /// neither has one. @pre the queue is declared.
  [[nodiscard]] std::optional<Milliseconds> EffectiveDeadline(const TaskSpec& aTask) const;

private:
  using Check = std::optional<Verdict> (AdmissionControl::*)(const TaskSpec&);

  [[nodiscard]] std::optional<Verdict> CheckQueueDeclared(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckDuplicate(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckFeasibility(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckOverload(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckQueueLimit(const TaskSpec& aTask);
  /// Limits each team to an equal share of a queue that is nearly full.
  [[nodiscard]] std::optional<Verdict> CheckTeamShareOfQueue(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckDeadline(const TaskSpec& aTask);
  [[nodiscard]] bool IsInAdmittedGang(const TaskSpec& aTask) const;
  /// @pre the queue is declared.
  [[nodiscard]] const QueueRecord& FindQueue(const TaskSpec& aTask) const;
  /// @return the meter of the task's team in its queue, or null if the team never used the queue.
  [[nodiscard]] const DrainMeter* FindTeamMeter(const TaskSpec& aTask) const;
  /// @return the retry delay for a rejection: the estimate within fixed bounds, with jitter.
  [[nodiscard]] Milliseconds JitteredRetryDelay(std::optional<Milliseconds> aEstimate);

  CellState& state;
  TimePoint now;
};

}
