/// @file
/// Time that the scheduler of the leader takes for each start, by size of the cell and backlog.

#include "SimulatedCell.h"
#include <benchmark/benchmark.h>

namespace zinc::cell::bench {

namespace {

constexpr Milliseconds kWarmUp{ 4000 };
constexpr Milliseconds kMeasured{ 4000 };

/// Quick checks, wide batch jobs and gangs in the proportions of a large cell at half load.
std::vector<JobKind>
MixedKinds()
{
  return { { .queue = "check",
             .priority = 0,
             .tasks = 4,
             .milliCores = 7800,
             .runTime = Milliseconds{ 1000 },
             .advicePerWorkerMs = 1.5,
             .jobsPerSecond = 114.0 },
           { .queue = "swap",
             .priority = 1,
             .tasks = 32,
             .milliCores = 5500,
             .runTime = Milliseconds{ 3400 },
             .advicePerWorkerMs = 3.0,
             .jobsPerSecond = 11.2 },
           { .queue = "rebuild",
             .priority = 1,
             .tasks = 40,
             .milliCores = 9000,
             .runTime = Milliseconds{ 4000 },
             .isGang = true,
             .advicePerWorkerMs = 5.6,
             .jobsPerSecond = 5.0 } };
}

SimulatedCellOptions
OptionsFor(std::size_t aWorkers)
{
  constexpr std::size_t kWorkersPerInstance = 8;
  return { .workers = aWorkers,
           .instances = std::max<std::size_t>(6, aWorkers / kWorkersPerInstance),
           .kinds = MixedKinds() };
}

void
Report(benchmark::State& aState, const SchedulerCost& aCost)
{
  const double micros = std::chrono::duration<double, std::micro>(aCost.time).count();
  const double starts = static_cast<double>(std::max<std::uint64_t>(1, aCost.starts));
  aState.counters["us_per_start"] = micros / starts;
  aState.counters["starts_per_s"] =
    static_cast<double>(aCost.starts) / std::chrono::duration<double>(kMeasured).count();
  aState.counters["cpu_share"] =
    std::chrono::duration<double>(aCost.time) / std::chrono::duration<double>(kMeasured);
  aState.counters["longest_ms"] =
    std::chrono::duration<double, std::milli>(aCost.longestTick).count();
}

/// A mixed load at half the cell's room.
void
CellUnderLoad(benchmark::State& aState)
{
  for ([[maybe_unused]] auto iteration : aState) {
    SimulatedCell cell(OptionsFor(static_cast<std::size_t>(aState.range(0))));
    cell.RunFor(kWarmUp);
    const auto cost = cell.RunFor(kMeasured);
    aState.SetIterationTime(std::chrono::duration<double>(cost.time).count());
    Report(aState, cost);
  }
}

/// The mixed load at workers of three speeds.
void
UnevenCellUnderLoad(benchmark::State& aState)
{
  for ([[maybe_unused]] auto iteration : aState) {
    auto options = OptionsFor(static_cast<std::size_t>(aState.range(0)));
    options.hasUnevenWorkers = true;
    SimulatedCell cell(std::move(options));
    cell.RunFor(kWarmUp);
    const auto cost = cell.RunFor(kMeasured);
    aState.SetIterationTime(std::chrono::duration<double>(cost.time).count());
    Report(aState, cost);
  }
}

/// The mixed load, and a backlog of batch jobs that is submitted at once.
void
CellWithBacklog(benchmark::State& aState)
{
  for ([[maybe_unused]] auto iteration : aState) {
    SimulatedCell cell(OptionsFor(static_cast<std::size_t>(aState.range(0))));
    cell.RunFor(kWarmUp);
    cell.Submit(MixedKinds()[1], static_cast<std::size_t>(aState.range(1)));
    const auto cost = cell.RunFor(kMeasured);
    aState.SetIterationTime(std::chrono::duration<double>(cost.time).count());
    Report(aState, cost);
  }
}

/// The mixed load in 18 kinds, which have images and are observed if the second argument is 1.
void
CellWithImages(benchmark::State& aState)
{
  constexpr std::size_t kImagesOfKind = 6;
  for ([[maybe_unused]] auto iteration : aState) {
    auto options = OptionsFor(static_cast<std::size_t>(aState.range(0)));
    options.kinds.clear();
    for (auto kind : MixedKinds()) {
      kind.jobsPerSecond /= kImagesOfKind;
      for (std::size_t index = 0; index < kImagesOfKind; ++index) {
        kind.image = aState.range(1) == 1 ? kind.queue + std::to_string(index) : "";
        options.kinds.push_back(kind);
      }
    }
    SimulatedCell cell(options);
    cell.RunFor(kWarmUp);
    const auto cost = cell.RunFor(kMeasured);
    aState.SetIterationTime(std::chrono::duration<double>(cost.time).count());
    Report(aState, cost);
  }
}

BENCHMARK(CellUnderLoad)->Arg(48)->Arg(350)->Arg(1100)->Arg(5000)->Iterations(1)->UseManualTime();
BENCHMARK(CellWithImages)
  ->Args({ 350, 0 })
  ->Args({ 350, 1 })
  ->Args({ 1100, 0 })
  ->Args({ 1100, 1 })
  ->Iterations(1)
  ->UseManualTime();
BENCHMARK(UnevenCellUnderLoad)->Arg(350)->Arg(1100)->Arg(5000)->Iterations(1)->UseManualTime();
BENCHMARK(CellWithBacklog)->Args({ 350, 100 })->Args({ 1100, 600 })->Iterations(1)->UseManualTime();

}

}

BENCHMARK_MAIN();
