#pragma once

/// @file
/// How long a run may report no progress before it is taken to hang.
/// Load: tasks of minutes, whose reports of whole percents change every few seconds only, beside
/// workers on which tasks stand still.

#include <LibBase/Time.h>
#include <cstdint>

namespace zinc::cell {

/// What is known of the pace of a run.
struct RunPace
{
  /// The caller's rough estimate of the run time.
  Milliseconds estimate{ 0 };
  /// The longest time that one percent of the run has taken; 0 before the first.
  Milliseconds slowestPercent{ 0 };
  /// Earlier runs of the task that were stopped since they seemed to hang.
  std::uint32_t earlierHangs = 0;
};

/// @return the time without progress after which a gang's run that waits for other members is
/// stopped, before it times out at its worker
/// @param aLongest the longest such time
[[nodiscard]] Milliseconds
GangStallTimeout(Milliseconds aEstimate, Milliseconds aLongest);

/// @return the time without progress after which a run is taken to hang: at least that of a gang,
/// and several percents at the slowest pace that was estimated or observed. It doubles with each
/// further run that seems to hang, since a task that does so on several workers is slow.
[[nodiscard]] Milliseconds
HangTimeout(const RunPace& aPace, Milliseconds aLongestOfGang);

}
