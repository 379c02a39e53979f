#pragma once

/// @file
/// Decides which tasks may wait.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Refuses what cannot run, what cannot start in time and what there is no place to wait for.
class AdmissionControl
{
public:
  AdmissionControl(CellState& aState, TimePoint aNow)
    : state(aState)
    , now(aNow)
  {
  }

  /// @return why the task may not wait (always not run), or nothing if it may.
  [[nodiscard]] std::optional<Verdict> CheckAdmission(const TaskSpec& aTask);

  /// @return the shorter of the task's own deadline and that of its queue.
  [[nodiscard]] std::optional<Milliseconds> EffectiveDeadline(const TaskSpec& aTask) const;

private:
  using Check = std::optional<Verdict> (AdmissionControl::*)(const TaskSpec&);

  [[nodiscard]] std::optional<Verdict> CheckQueueDeclared(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckDuplicate(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckFeasibility(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckOverload(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckQueueLimit(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckTeamShareOfQueue(const TaskSpec& aTask);
  [[nodiscard]] std::optional<Verdict> CheckDeadline(const TaskSpec& aTask);
  [[nodiscard]] bool IsInAdmittedGang(const TaskSpec& aTask) const;
  [[nodiscard]] const QueueRecord& FindQueue(const TaskSpec& aTask) const;
  [[nodiscard]] const DrainMeter* FindTeamMeter(const TaskSpec& aTask) const;
  [[nodiscard]] Milliseconds JitteredRetryDelay(std::optional<Milliseconds> aEstimate);

  CellState& state;
  TimePoint now;
};

}
