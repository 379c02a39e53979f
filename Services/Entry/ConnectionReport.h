#pragma once

/// @file
/// Metrics and log lines about the connections of others to the process.

#include <LibBase/Time.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibTraffic/ConnectionRegistry.h>
#include <cstdint>
#include <memory>

namespace zinc {

/// Tells how full the budget of connections is, and when connections had to give way.
class ConnectionReport
{
public:
  ConnectionReport(std::shared_ptr<const ConnectionRegistry> aRegistry,
                   MetricRegistry& aMetrics,
                   const Logger& aLog);

  /// Updates the metrics. Logs connections that had to give way, once a second at most.
  void Update(TimePoint aNow);

private:
  std::shared_ptr<const ConnectionRegistry> registry;
  const Logger& log;
  Gauge& connections;
  Gauge& heldBytes;
  Counter& evicted;
  std::uint64_t countedEvictions = 0;
  std::uint64_t loggedEvictions = 0;
  TimePoint nextLine{};
};

}
