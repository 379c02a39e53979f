#pragma once

/// @file
/// The order in which pending steps are placed.

#include <cstdint>

namespace zinc::cell {

/// Classes of priority, highest first. Within a class the step goes first whose latest start that
/// meets the objective is earliest.
enum class PriorityClass : std::int64_t
{
  Urgent,
  /// Late tasks of the most urgent queue whose result still has a value to the caller.
  UrgentLate,
  OnTime,
  Late,
  BeyondWeight,
};

inline constexpr std::int64_t kPriorityClassSpan = std::int64_t{ 1 } << 48;

}
