#include <Entry/ConnectionReport.h>
#include <gtest/gtest.h>

namespace zinc {

// Guards against connections that are closed under load without a trace for the operator.
TEST(ConnectionReport, CountsEachEvictionOnce)
{
  constexpr std::size_t kMaxBytes = 100;
  constexpr std::size_t kMaxConnections = 10;
  const auto registry = std::make_shared<ConnectionRegistry>(kMaxBytes);
  MetricRegistry metrics;
  const Logger log{ { .level = LogLevel::Error } };
  ConnectionReport report(registry, metrics, log);
  int closed = 0;
  const auto listener = registry->AddListener();
  const auto admit = [&] {
    const auto number =
      registry->Admit(listener, kMaxConnections, [&closed](Eviction) { ++closed; });
    registry->SetPhase(*number, ConnectionPhase::Receiving);
    return *number;
  };
  EXPECT_TRUE(registry->Hold(admit(), 60));
  EXPECT_FALSE(registry->Hold(admit(), 70));
  report.Update(TimePoint{ Milliseconds{ 1 } });
  report.Update(TimePoint{ Milliseconds{ 2 } });
  EXPECT_EQ(closed, 1);
  EXPECT_EQ(metrics.FindCounter({ .name = "zinc_connections_evicted_total" }).Value(), 1U);
  EXPECT_EQ(metrics.FindGauge({ .name = "zinc_connections" }).Value(), 2.0);
  EXPECT_EQ(metrics.FindGauge({ .name = "zinc_request_bytes" }).Value(), 60.0);
}

}
