#include <LibCell/LatelyStartedWorkers.h>

#include <algorithm>

namespace zinc::cell {

bool
HasStartedLately(std::int64_t aIncarnation, WallTime aNow, const CellSchedulerOptions& aOptions)
{
  const auto recently = aNow - aOptions.GrantedLeaseExpiryBound() - aOptions.maxOrderDelay;
  return aIncarnation > recently.time_since_epoch().count();
}

void
ReportLatelyStartedWorkers(LeaderReport& aReport,
                           std::span<const Worker* const> aWorkers,
                           const CellSchedulerOptions& aOptions,
                           TimePoint aNow,
                           WallTime aWallNow)
{
  for (const auto* worker : aWorkers) {
    if (!HasStartedLately(worker->incarnation, aWallNow, aOptions)) {
      continue;
    }
    if (!worker->fence.IsOpen()) {
      aReport.fencedIncarnations[worker->entry.id] = worker->incarnation;
    }
    const auto lease = worker->leaseExpiry - aNow;
    if (lease > aOptions.LeaseExpiryBound()) {
      aReport.longestLease = std::max(aReport.longestLease, lease);
    }
  }
}

}
