#pragma once

/// @file
/// What the process itself uses.

#include <cstdint>

namespace zinc {

/// Processor time and memory of this process.
struct ProcessUsage
{
  /// User and system time since the start.
  double processorSeconds = 0.0;
  /// 0 if the system does not tell.
  std::uint64_t residentBytes = 0;
};

[[nodiscard]] ProcessUsage
CurrentProcessUsage();

}
