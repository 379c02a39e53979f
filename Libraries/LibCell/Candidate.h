#pragma once

/// @file
/// A step that a placement round may place.

#include <LibCell/Job.h>
#include <cstdint>

namespace zinc::cell {

/// Whether steps are collected whose tasks must not start before workers have reported.
enum class HeldSteps : std::uint8_t
{
  Excluded,
  Included,
};

/// A step with tasks to place.
struct Candidate
{
  Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  StepRun* run = nullptr;
  const StepSpecification* specification = nullptr;
  const QueuePolicy* queue = nullptr;
  /// Candidates with a lower key are placed first; see @ref ComputePriorityKey.
  std::int64_t priorityKey = 0;
};

}
