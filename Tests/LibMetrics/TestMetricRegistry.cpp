#include <LibMetrics/MetricRegistry.h>

#include <array>
#include <gtest/gtest.h>
#include <limits>
#include <thread>
#include <vector>

namespace zinc {

TEST(MetricRegistry, GivesTheSameMetricForTheSameLabels)
{
  MetricRegistry registry;
  const MetricFamily family{ "zinc_jobs_total", "Jobs." };
  Counter& nights = registry.FindCounter(family, { { "team", "nights" } });
  Counter& plates = registry.FindCounter(family, { { "team", "plates" } });
  EXPECT_NE(&nights, &plates);
  EXPECT_EQ(&nights, &registry.FindCounter(family, { { "team", "nights" } }));
}

TEST(MetricRegistry, RendersTheExpositionFormat)
{
  MetricRegistry registry;
  registry.FindCounter({ "zinc_jobs_total", "Jobs." }, { { "team", "a\"b\n" } }).Add(2);
  registry.FindGauge({ "zinc_queued", "Queued." }).Set(1.5);
  Histogram& wait = registry.FindHistogram(
    { "zinc_wait_seconds", "Wait." }, { { "class", "check" } }, std::array{ 0.1, 1.0 });
  wait.Record(0.1);
  wait.Record(0.5);
  wait.Record(30);

  const std::string text = registry.Render();

  const std::string expected = "# HELP zinc_jobs_total Jobs.\n"
                               "# TYPE zinc_jobs_total counter\n"
                               "zinc_jobs_total{team=\"a\\\"b\\n\"} 2\n"
                               "# HELP zinc_queued Queued.\n"
                               "# TYPE zinc_queued gauge\n"
                               "zinc_queued 1.5\n"
                               "# HELP zinc_wait_seconds Wait.\n"
                               "# TYPE zinc_wait_seconds histogram\n"
                               "zinc_wait_seconds_bucket{class=\"check\",le=\"0.1\"} 1\n"
                               "zinc_wait_seconds_bucket{class=\"check\",le=\"1\"} 2\n"
                               "zinc_wait_seconds_bucket{class=\"check\",le=\"+Inf\"} 3\n"
                               "zinc_wait_seconds_sum{class=\"check\"} 30.6\n"
                               "zinc_wait_seconds_count{class=\"check\"} 3\n"
                               "# HELP zinc_wait_seconds_max Largest value recorded.\n"
                               "# TYPE zinc_wait_seconds_max gauge\n"
                               "zinc_wait_seconds_max{class=\"check\"} 30\n";
  EXPECT_TRUE(text.starts_with(expected)) << text;
  EXPECT_NE(text.find("\nprocess_resident_memory_bytes "), std::string::npos);
}

TEST(Histogram, EstimatesQuantiles)
{
  Histogram histogram(LatencyBounds());
  EXPECT_TRUE(histogram.Snapshot().quantiles.empty());
  for (int value = 1; value <= 1000; ++value) {
    histogram.Record((value * 617) % 1000);
  }
  const auto snapshot = histogram.Snapshot();
  ASSERT_EQ(snapshot.quantiles.size(), 3U);
  EXPECT_NEAR(snapshot.quantiles[0].value, 500, 25);
  EXPECT_NEAR(snapshot.quantiles[2].value, 990, 25);
  EXPECT_EQ(snapshot.max, 999);
}

TEST(Histogram, IgnoresValuesThatAreNotFinite)
{
  Histogram histogram(LatencyBounds());
  histogram.Record(std::numeric_limits<double>::quiet_NaN());
  histogram.Record(std::numeric_limits<double>::infinity());
  EXPECT_EQ(histogram.Snapshot().count, 0U);
}

// Guards against series that outlive what they describe, and a family without series.
TEST(MetricRegistry, RemovesGauges)
{
  MetricRegistry registry;
  const MetricFamily family{ "zinc_pair", "Pairs." };
  registry.FindGauge(family, { { "pair", "one" } }).Set(1.0);
  registry.FindGauge(family, { { "pair", "two" } }).Set(2.0);
  registry.RemoveGauge("zinc_pair", { { "pair", "one" } });
  EXPECT_EQ(registry.Render().find("one"), std::string::npos);
  EXPECT_NE(registry.Render().find("two"), std::string::npos);
  registry.RemoveGauge("zinc_pair", { { "pair", "two" } });
  registry.RemoveGauge("zinc_pair", { { "pair", "two" } });
  EXPECT_EQ(registry.Render().find("zinc_pair"), std::string::npos);
}

TEST(MetricRegistry, CountsAcrossThreads)
{
  MetricRegistry registry;
  const MetricFamily counted{ "zinc_total", "Total." };
  const MetricFamily timed{ "zinc_seconds", "Seconds." };
  {
    std::vector<std::jthread> threads;
    for (int index = 0; index < 4; ++index) {
      threads.emplace_back([&] {
        for (int step = 0; step < 1000; ++step) {
          registry.FindCounter(counted).Add();
          registry.FindHistogram(timed).Record(step);
        }
        EXPECT_FALSE(registry.Render().empty());
      });
    }
  }
  EXPECT_EQ(registry.FindCounter(counted).Value(), 4000U);
  EXPECT_EQ(registry.FindHistogram(timed).Snapshot().count, 4000U);
}

}
