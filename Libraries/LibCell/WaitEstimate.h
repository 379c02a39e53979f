#pragma once

/// @file
/// The shortest time in which a pending step of a contended pool can be expected to start. Load:
/// more pending work than the pool and the policy service can serve.

#include <LibBase/Time.h>
#include <LibCell/Candidate.h>

namespace zinc::cell {

/// Estimates the wait as if the step were the next one. A longer backlog therefore moves no step to
/// a later class by itself, which would feed back into the estimate.
/// @return the longer one of the times to advice and to room; 0 in a pool that is not contended
[[nodiscard]] Milliseconds
EstimateWait(const Candidate& aCandidate, TimePoint aNow);

}
