#pragma once

/// @file
/// Limits of the platform and tuning values of the leader's scheduler.

#include <LibBase/Time.h>
#include <LibCell/RankingSelector.h>
#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace zinc::cell {

/// Limits of the platform and tuning values of the scheduler.
struct CellSchedulerOptions
{
  /// Lease that the leader requests.
  Milliseconds maxLease{ 6000 };
  /// Longest lease that a worker grants, whatever deadline an order names; set by the platform.
  Milliseconds maxGrantedLease{ 6000 };
  /// Largest fraction by which a worker's clock runs slow; documented by the platform.
  double maxClockDrift = 0.02;
  /// Time that an order may spend in transit; added when the scheduler waits for a lease to expire.
  Milliseconds orderTransitMargin{ 300 };
  /// Longest time for which an order without a response may be carried out later, if the worker has
  /// started again meanwhile: the order's deadline is a time on the previous incarnation's clock.
  Milliseconds maxOrderDelay{ 15'000 };
  /// @return the time after which a lease granted now has expired by any worker's clock.
  [[nodiscard]] Milliseconds LeaseExpiryBound() const { return this->BoundOf(this->maxLease); }
  /// @return the time after which a lease has expired whose deadline was a time on another clock.
  [[nodiscard]] Milliseconds GrantedLeaseExpiryBound() const
  {
    return this->BoundOf(std::max(this->maxLease, this->maxGrantedLease));
  }
  /// @return the time after which a lease of this length has expired by any worker's clock.
  [[nodiscard]] Milliseconds BoundOf(Milliseconds aLease) const
  {
    return Milliseconds(static_cast<std::int64_t>(
             std::ceil(static_cast<double>(aLease.count()) * (1.0 + this->maxClockDrift)))) +
           this->orderTransitMargin;
  }
  /// How long a worker may wait for a run to end before it responds to a lease renewal. A shorter
  /// wait leaves more of the lease when a connection breaks, a longer one needs fewer calls.
  Milliseconds renewalWait{ 700 };
  /// The wait in a cell so large that idle workers would need more than @ref idleRenewalsPerSecond
  /// calls. Together with the time to notice a broken connection it leaves most of a lease.
  Milliseconds maxRenewalWait{ 1400 };
  /// Calls a second for the leases of idle workers above which their waits become longer.
  std::uint32_t idleRenewalsPerSecond = 800;
  /// Shortest time between two lease renewals of a worker that has ended runs to report.
  Milliseconds minRenewalInterval{ 15 };
  /// Delay before the next lease renewal of a worker that did not respond.
  Milliseconds renewalRetryDelay{ 250 };
  /// Rows that expired during an outage of the store reappear within this time after it recovers:
  /// 2 s as the platform states, and a margin.
  Milliseconds rowRestoreTimeout{ 2500 };
  /// A worker whose row is gone is removed after this long without a response, once its lease has
  /// expired.
  Milliseconds workerRemovalDelay{ 2500 };
  /// A worker that has not responded to a lease renewal for this long is unreachable and gets no
  /// tasks.
  Milliseconds unreachableTimeout{ 1200 };
  /// Shortest time between two writes of progress.
  Milliseconds minFlushInterval{ 25 };
  /// Longest time between two placement rounds, since tickets expire and delays end without an
  /// event.
  Milliseconds maxPlacementInterval{ 50 };
  /// Shortest time between two placement attempts of pending gangs: each scans all workers, while
  /// a gang's objective is seconds away.
  Milliseconds gangPlacementInterval{ 50 };
  /// A placement round ends after this time even if steps are left.
  Milliseconds maxPlacementDuration{ 60 };
  /// After a placement round the scheduler does other work for this many times its duration.
  int placementIdleFactor = 2;
  UnevenPoolOptions unevenPools;
  /// Fraction of a pool's processors that only tasks of the most urgent queue may use.
  double urgentHeadroom = 0.05;
  /// Fraction of a workspace's limit that its batch tasks leave to its urgent tasks.
  double limitHeadroom = 0.06;
  /// A step that stands still for this long because of what is kept for urgent tasks or for pending
  /// gangs may use it. The platform's rules allow no standstill of 3 s.
  Milliseconds maxReserveWait{ 1000 };
  /// Workers per request to the policy service; a limit of the service.
  std::size_t maxWorkersPerRequest = 100;
  /// A request names workers with room for this many times the step's tasks, since other tasks take
  /// room before the response arrives.
  double adviceRoomFactor = 3.0;
  /// Smallest number of workers in a request, if there are as many.
  std::size_t minWorkersPerRequest = 10;
  /// A worker is quarantined after this many failed runs in a row. They count if they belong to
  /// different jobs, or to different tasks of a job that fails at no other worker.
  std::uint32_t quarantineThreshold = 3;
  /// Longest time that a worker takes to stop a run; set by the platform.
  Milliseconds maxStopDuration{ 200 };
  /// How long a quarantined worker gets no tasks.
  Milliseconds quarantineDuration{ 6000 };
  /// How long the state of an ended job can be queried; set by the platform.
  Milliseconds statusRetention{ 125'000 };
  /// How long before its due time an occurrence may start. The platform's tolerance covers clock
  /// differences.
  Milliseconds maxEarlyStart{ 0 };
  /// A run that lasted this long before its worker crashed clears the earlier crashes of its task.
  Milliseconds minRunToClearCrashes{ 600'000 };
  /// A gang that waits for a member is stopped if it makes no progress for half its estimate, or
  /// for this long if that is less; a run hangs after this long, or later if its percents take
  /// longer.
  Milliseconds maxStallTimeout{ 2500 };
};

}
