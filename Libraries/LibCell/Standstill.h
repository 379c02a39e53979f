#pragma once

/// @file
/// Steps that could run and do not.

#include <LibCell/Candidate.h>
#include <LibCell/WaitReason.h>

namespace zinc::cell {

/// Tells whether a step stands still: none of its tasks runs, it fits into its workspace's limit of
/// which less than half is in use, and it is not room at the workers that it lacks.
/// @param aReason outcome of the last placement attempt
[[nodiscard]] bool
StandsStill(const Candidate& aCandidate, WaitReason aReason);

/// @return true if the step has stood still for this long because of what is kept for other steps,
/// rather than for the policy service, and none of its tasks runs
[[nodiscard]] bool
HasStoodStill(const StepRun& aRun, Milliseconds aMaxWait);

}
