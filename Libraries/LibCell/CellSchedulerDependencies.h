#pragma once

/// @file
/// What the leader's scheduler works with: the outside world behind interfaces.

#include <LibBase/Time.h>
#include <LibCell/Ports.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <functional>

namespace zinc::cell {

/// Must outlive the scheduler.
struct CellSchedulerDependencies
{
  WorkerPort& workers;
  StorePort& store;
  AdvicePort& advice;
  const Clock& clock;
  const Logger& log;
  MetricRegistry& metrics;
  /// Unix time, for the start times of occurrences.
  std::function<WallTime()> wallClock;
  /// Called once when another leader has taken over.
  std::function<void()> onLeadershipLost;
  /// Called when a placement round is useful before the next tick; may be empty.
  std::function<void()> onPlacementDue;
  /// Called when a reachable worker is missing from the leader record, or its lease is suspended
  /// there, or it was fenced after a restart; may be empty.
  std::function<void()> onUnpublishedWorker;
};

}
