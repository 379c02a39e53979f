#pragma once

/// @file
/// Workers that have started lately: an incarnation may carry out orders that were meant for an
/// earlier one under the same id, until it has seen a higher fencing token.

#include <LibCell/CellSchedulerOptions.h>
#include <LibCell/LeaderReport.h>
#include <LibCell/Worker.h>
#include <span>

namespace zinc::cell {

/// @param aIncarnation start of the worker, Unix ms; 0 if unknown
/// @param aNow the present, Unix ms
/// @return true if orders for an earlier incarnation may still arrive, or leases that they named
/// may not have expired
[[nodiscard]] bool
HasStartedLately(std::int64_t aIncarnation, WallTime aNow, const CellSchedulerOptions& aOptions);

/// Adds to a report what the next leader has to know of the workers that have started lately: which
/// are fenced, and their longest lease.
/// @param aWorkers the workers that this leader knows
/// @param aNow the present
/// @param aWallNow the same as Unix time
void
ReportLatelyStartedWorkers(LeaderReport& aReport,
                           std::span<const Worker* const> aWorkers,
                           const CellSchedulerOptions& aOptions,
                           TimePoint aNow,
                           WallTime aWallNow);

}
