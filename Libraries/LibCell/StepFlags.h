#pragma once

/// @file
/// The flags of a step in a job's row. Internal to the library: include it only in source files.

#include <cstdint>

namespace zinc::cell::detail {

/// Bits of a step's stored flags; the values must not change.
enum StepFlag : std::uint32_t
{
  Checkpoints = 1,
  Gang = 2,
  OneRack = 4,
  Speculate = 8,
  Service = 16,
  BestEffort = 32,
  AvailabilityBudget = 64,
};

}
