#pragma once

/// @file
/// How long a step has waited, and for what.

#include <LibBase/Time.h>
#include <LibCell/WaitReason.h>
#include <array>

namespace zinc::cell {

/// The time since a step's tasks could start, by the outcome of the placement attempts meanwhile. A
/// step may wait for one thing after the other: the total does not tell which took the time.
class StepWait
{
public:
  /// Records a placement attempt. The time until the next one counts for its reason.
  /// @param aReason @ref WaitReason::None ends the wait
  void RecordAttempt(WaitReason aReason, TimePoint aNow);
  /// @return the time that the step has waited for this reason up to the last attempt
  [[nodiscard]] Milliseconds TimeOf(WaitReason aReason) const
  {
    return this->times.at(static_cast<std::size_t>(aReason));
  }
  /// @return the time that the step has waited up to the last attempt
  [[nodiscard]] Milliseconds Total() const;
  /// @return what the last attempt waited for; @ref WaitReason::None if the step does not wait
  [[nodiscard]] WaitReason LastReason() const { return this->lastReason; }

private:
  std::array<Milliseconds, kWaitReasonCount> times{};
  WaitReason lastReason = WaitReason::None;
  TimePoint lastAttempt{};
};

}
