#pragma once

/// @file
/// One run of the soak.

#include <LibBase/Verdict.h>
#include <Soak/SoakFaults.h>
#include <string>
#include <vector>

namespace zinc::soak {

/// What to run.
struct SoakOptions
{
  /// Path of the instances' program.
  std::string program;
  /// Directory for settings, logs and the history; must exist.
  std::string directory;
  std::uint64_t seed = 1;
  SoakSchedule schedule;
  /// Load without faults at the beginning; faults draw their times from its end.
  Milliseconds load{ 12'000 };
  /// Longest time in which every accepted job has to end once the faults are over.
  Milliseconds settle{ 25'000 };
  std::size_t instances = 4;
  std::size_t callers = 4;
};

/// Result of a run.
struct SoakReport
{
  std::vector<std::string> violations;
  std::size_t accepted = 0;
  std::size_t refused = 0;
  std::size_t unanswered = 0;
  std::size_t starts = 0;
};

/// Starts a cell, applies load and faults, waits for the jobs, ends the cell and checks. The
/// history is left in the directory.
/// @return a verdict if the cell did not come up.
[[nodiscard]] Result<SoakReport>
PerformSoak(const SoakOptions& aOptions);

}
