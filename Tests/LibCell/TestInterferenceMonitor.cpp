#include <LibCell/InterferenceMonitor.h>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <string_view>

namespace zinc::cell {

// Guards against service tasks whose tail latency is ignored, and against a neighbour that counts
// in full although it is paced.
TEST(InterferenceMonitor, LearnsFromTailLatenciesAndWeighsPacedNeighbours)
{
  constexpr int kWorkers = 4;
  const Logger log({ .level = LogLevel::Error });
  MetricRegistry metrics;
  InterferenceMonitor monitor(log, metrics, true);
  TimePoint now{ Milliseconds{ 1000 } };
  const StepSpecification service{ .isService = true, .image = "service" };
  const StepSpecification batch{ .isBestEffort = true, .image = "batch" };
  std::vector<Worker> workers(kWorkers);
  for (int index = 0; index < kWorkers; ++index) {
    auto& worker = workers[static_cast<std::size_t>(index)];
    worker.number = static_cast<WorkerNumber>(index);
    worker.entry.capacity.milliCores = 1000;
    worker.allocations.push_back(
      { .phase = RunPhase::Running, .startedAt = now, .isService = true, .load = 10 });
    monitor.OnRunStarted(worker.allocations.back(), service, now);
  }
  for (int round = 0; round < 40; ++round) {
    for (auto& worker : workers) {
      const bool hasNeighbour = (round / 10 + static_cast<int>(worker.number)) % 2 == 1;
      worker.allocations.resize(1);
      worker.allocations.front().load = hasNeighbour ? 20 : 10;
      if (hasNeighbour) {
        worker.allocations.push_back({ .phase = RunPhase::Running,
                                       .startedAt = now - Milliseconds{ 5000 },
                                       .isBestEffort = true });
        monitor.OnRunStarted(worker.allocations.back(), batch, now);
      }
      monitor.OnReport(worker, now);
    }
    now += Milliseconds{ 500 };
  }
  const auto pairs = monitor.Model().PairsInEffect();
  ASSERT_EQ(pairs.size(), 1);
  EXPECT_EQ(pairs.front().victim, "service");
  EXPECT_EQ(pairs.front().neighbour, "batch");
  const SlownessRanking base;
  const auto& ranking = monitor.RankingFor(base, service);
  auto& withNeighbour = workers.front().allocations.size() > 1 ? workers.front() : workers.back();
  EXPECT_GE(ranking.RankOf(withNeighbour).interference, 2);
  withNeighbour.allocations.back().dutyCyclePercent = 5;
  EXPECT_EQ(ranking.RankOf(withNeighbour).interference, 0);
  EXPECT_EQ(&monitor.RankingFor(base, { .image = "other" }), &base);
  EXPECT_EQ(&monitor.RankingFor(base, {}), &base);
}

// Guards against a flood of lines and series when many pairs are found at a time.
TEST(InterferenceMonitor, ReportsPairsWithinBounds)
{
  constexpr std::size_t kVictims = 6;
  constexpr std::size_t kNeighbours = 3;
  constexpr std::size_t kMaxGauges = 16;
  char* text = nullptr;
  std::size_t size = 0;
  std::FILE* output = open_memstream(&text, &size);
  const Logger log({ .output = output });
  MetricRegistry metrics;
  InterferenceMonitor monitor(log, metrics, true);
  TimePoint now{ Milliseconds{ 100'000 } };
  for (std::size_t round = 0; round < 200; ++round) {
    for (std::size_t index = 0; index < kVictims; ++index) {
      Worker worker;
      worker.number = static_cast<WorkerNumber>((round + index) % 7);
      worker.entry.capacity.milliCores = 1000;
      const auto begin = now - Milliseconds{ 1000 };
      worker.allocations.assign(2, { .phase = RunPhase::Running, .startedAt = begin });
      monitor.OnRunStarted(
        worker.allocations.front(), { .image = fmt::format("victim-{}", index) }, now);
      const auto neighbour = round % (kNeighbours + 1);
      const bool isAlone = neighbour == kNeighbours;
      const StepSpecification other{ .image =
                                       isAlone ? "" : fmt::format("neighbour-{}", neighbour) };
      monitor.OnRunStarted(worker.allocations.back(), other, now);
      monitor.OnRunSucceeded(worker, worker.allocations.front(), isAlone ? 1.0 : 2.0, now);
    }
    now += Milliseconds{ 50 };
  }
  const auto countOf = [](std::string_view aText, std::string_view aPart) {
    std::size_t count = 0;
    for (auto at = aText.find(aPart); at != std::string_view::npos;
         at = aText.find(aPart, at + 1)) {
      ++count;
    }
    return count;
  };
  ASSERT_EQ(monitor.Model().PairsInEffect().size(), kVictims * kNeighbours);
  monitor.Tick(now);
  monitor.Tick(now + Milliseconds{ 900 });
  EXPECT_EQ(countOf(metrics.Render(), "zinc_cell_interference_factor{"), kMaxGauges);
  std::fflush(output);
  EXPECT_EQ(countOf(text, "event=interference_found"), 1);
  monitor.Tick(now + Milliseconds{ 1000 });
  monitor.Tick(now + Milliseconds{ 200'000 });
  std::fflush(output);
  EXPECT_EQ(countOf(text, "event=interference_found"), 3);
  EXPECT_EQ(countOf(text, "event=interference_dropped"), 1);
  EXPECT_EQ(countOf(text, "factor="), 4);
  EXPECT_EQ(countOf(text, "runs="), 4);
  EXPECT_EQ(countOf(metrics.Render(), "zinc_cell_interference_factor"), 0);
  // No pair is reported as dropped before it is reported as found.
  monitor.Tick(now + Milliseconds{ 201'000 });
  monitor.Tick(now + Milliseconds{ 202'000 });
  std::fclose(output);
  const std::string_view lines(text);
  const std::string_view dropped = "event=interference_dropped ";
  EXPECT_EQ(countOf(lines, dropped), 3);
  for (auto at = lines.find(dropped); at != std::string_view::npos;
       at = lines.find(dropped, at + 1)) {
    const auto line = lines.substr(at + dropped.size());
    const auto pair = line.substr(0, line.find(" factor="));
    EXPECT_EQ(countOf(lines.substr(0, at), pair), 1) << pair;
  }
  std::free(text);
}

// Guards against memory of a long run that grows with the images that it meets.
TEST(InterferenceMonitor, BoundsThePastNeighboursOfARun)
{
  constexpr std::size_t kMaxPastNeighbours = 64;
  const Logger log({ .level = LogLevel::Error });
  MetricRegistry metrics;
  InterferenceMonitor monitor(log, metrics, true);
  TimePoint now{ Milliseconds{ 1000 } };
  Worker worker;
  worker.allocations.push_back({ .phase = RunPhase::Running, .startedAt = now });
  monitor.OnRunStarted(worker.allocations.front(), { .image = "long" }, now);
  for (int index = 0; index < 200; ++index) {
    worker.allocations.push_back({ .phase = RunPhase::Running, .startedAt = now });
    monitor.OnRunStarted(
      worker.allocations.back(), { .image = fmt::format("short-{}", index) }, now);
    now += Milliseconds{ index == 0 ? 500 : 10 };
    monitor.OnRunReleased(worker, worker.allocations.back(), now);
    worker.allocations.pop_back();
  }
  const auto& past = worker.allocations.front().neighbours.past;
  EXPECT_EQ(past.size(), kMaxPastNeighbours);
  EXPECT_EQ(past.front().milliseconds, 500.0);
}

// Guards against the tail latency of a paced service being taken for a neighbour's effect.
TEST(InterferenceMonitor, DoesNotMeasurePacedServices)
{
  const Logger log({ .level = LogLevel::Error });
  MetricRegistry metrics;
  InterferenceMonitor monitor(log, metrics, true);
  const TimePoint now{ Milliseconds{ 10'000 } };
  Worker worker;
  worker.entry.capacity.milliCores = 1000;
  worker.allocations.assign(2,
                            { .phase = RunPhase::Running, .startedAt = TimePoint{}, .load = 10 });
  const StepSpecification paced{ .isService = true, .isBestEffort = true, .image = "paced" };
  monitor.OnRunStarted(worker.allocations.front(), paced, now);
  monitor.OnRunStarted(worker.allocations.back(), { .isService = true, .image = "other" }, now);
  monitor.OnReport(worker, now);
  EXPECT_EQ(monitor.Model().EstimateOf("paced", "other").runs, 0.0);
  EXPECT_GT(monitor.Model().EstimateOf("other", "paced").runs, 0.0);
}

}
