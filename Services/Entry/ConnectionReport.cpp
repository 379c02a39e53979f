#include "ConnectionReport.h"

namespace zinc {

namespace {

constexpr Milliseconds kLineInterval{ 1000 };

}

ConnectionReport::ConnectionReport(std::shared_ptr<const ConnectionRegistry> aRegistry,
                                   MetricRegistry& aMetrics,
                                   const Logger& aLog)
  : registry(std::move(aRegistry))
  , log(aLog)
  , connections(
      aMetrics.FindGauge({ .name = "zinc_connections", .help = "Connections of others." }))
  , heldBytes(aMetrics.FindGauge(
      { .name = "zinc_request_bytes", .help = "Bytes held for requests over all connections." }))
  , evicted(aMetrics.FindCounter({ .name = "zinc_connections_evicted_total",
                                   .help = "Connections that had to give way to others." }))
{
}

void
ConnectionReport::Update(TimePoint aNow)
{
  const auto evictedCount = this->registry->EvictedCount();
  this->connections.Set(static_cast<double>(this->registry->Size()));
  this->heldBytes.Set(static_cast<double>(this->registry->HeldBytes()));
  this->evicted.Add(evictedCount - this->countedEvictions);
  this->countedEvictions = evictedCount;
  if (evictedCount == this->loggedEvictions || aNow < this->nextLine) {
    return;
  }
  this->log.Log(LogLevel::Warning,
                "connections_evicted",
                { { "count", evictedCount - this->loggedEvictions },
                  { "connections", this->registry->Size() },
                  { "request_bytes", this->registry->HeldBytes() } });
  this->loggedEvictions = evictedCount;
  this->nextLine = aNow + kLineInterval;
}

}
