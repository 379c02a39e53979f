#pragma once

/// @file
/// Decides which runs have ended with a worker that is silent or has started again, and which the
/// next incarnation under its id may have started.

#include <LibCell/Worker.h>

namespace zinc::cell {

/// @param aMaxOrderDelay longest time for which an order without a response may be carried out
/// later
/// @return true if the run has ended without a report. A run that no report has listed may be at
/// the next incarnation, or start there late, so that the first report of that one decides.
[[nodiscard]] bool
IsRunLost(const Worker& aWorker,
          const Allocation& aAllocation,
          WorkerLossReason aReason,
          TimePoint aNow,
          Milliseconds aMaxOrderDelay);

}
