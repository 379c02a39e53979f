#pragma once

/// @file
/// The order in which pending steps are placed. Load: more pending work than fits at a time.

#include <LibBase/Time.h>
#include <LibCell/Candidate.h>
#include <LibCell/PriorityClass.h>
#include <cstdint>
#include <span>

namespace zinc::cell {

/// What the priority of a pending step depends on.
struct PriorityInput
{
  TimePoint now{};
  /// Priority of the step's queue; 0 is the most urgent.
  std::uint32_t queuePriority = 0;
  /// The step's tasks run until their job is cancelled.
  bool isService = false;
  /// The workspace submitted more jobs than its weight allows.
  bool isBeyondWeight = false;
  /// Target end time of the occurrence.
  TimePoint objective{};
  /// Time after which the result has no value to the caller.
  TimePoint deadline{};
  /// Estimated duration of the longest chain of steps that begins with this one.
  Milliseconds criticalPath{ 0 };
};

/// @return the sort key of a class and a latest start
[[nodiscard]] constexpr std::int64_t
MakePriorityKey(PriorityClass aClass, TimePoint aLatestStart)
{
  return static_cast<std::int64_t>(aClass) * kPriorityClassSpan +
         aLatestStart.time_since_epoch().count();
}

/// @return the sort key of a step: its priority class and, within the class, the latest start that
/// meets the objective. Lower keys are placed first.
[[nodiscard]] std::int64_t
ComputePriorityKey(const PriorityInput& aInput);

/// @return true if the key belongs to the class or to one that is placed later
[[nodiscard]] constexpr bool
IsAtOrAfter(std::int64_t aPriorityKey, PriorityClass aClass)
{
  return aPriorityKey >= static_cast<std::int64_t>(aClass) * kPriorityClassSpan;
}

/// Sorts the batch steps among steps in the order of their keys by when they were attempted last,
/// so that each gets its turn although rounds end before they have attempted all.
void
SortByTurn(std::span<Candidate> aCandidates);

}
