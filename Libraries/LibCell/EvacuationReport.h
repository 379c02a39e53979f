#pragma once

/// @file
/// The leader's log lines and gauge about evacuated zones.

#include <LibCell/EvacuatedZones.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <map>
#include <span>

namespace zinc::cell {

/// Reports which zones are evacuated and how many tasks still run there.
class EvacuationReport
{
public:
  EvacuationReport(const Logger& aLog, MetricRegistry& aMetrics)
    : log(aLog)
    , metrics(aMetrics)
  {
  }
  /// Sets the gauges to zero, since another leader reports from now on.
  ~EvacuationReport();
  EvacuationReport(const EvacuationReport&) = delete;
  EvacuationReport& operator=(const EvacuationReport&) = delete;

  /// Logs the zones that were evacuated or given back since the last call. An evacuated zone
  /// without workers is logged as unknown.
  void LogChanges(const EvacuatedZones& aZones, std::span<Worker* const> aWorkers, TimePoint aNow);
  /// Sets the gauges to the number of tasks that run in each evacuated zone.
  void UpdateGauges(std::span<Worker* const> aWorkers);

private:
  [[nodiscard]] Gauge& GaugeOf(const ZoneId& aZone);

  const Logger& log;
  MetricRegistry& metrics;
  /// The zones reported as evacuated, and when the request was read.
  std::map<ZoneId, TimePoint> reported;
};

}
