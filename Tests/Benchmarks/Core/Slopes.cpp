#include "Slopes.h"

#include "Throughput.h"
#include "Workload.h"

#include <LibPlacement/Scheduler.h>
#include <array>
#include <fmt/core.h>
#include <limits>
#include <malloc.h>
#include <span>

namespace zinc {

namespace {

struct Point
{
  double size = 0;
  double value = 0;
};

/// Prints the points and the least-squares line through them.
void
PrintFit(const char* aWhat, const char* aPer, const char* aUnit, std::span<const Point> aPoints)
{
  double meanSize = 0;
  double meanValue = 0;
  for (const Point& point : aPoints) {
    meanSize += point.size / static_cast<double>(aPoints.size());
    meanValue += point.value / static_cast<double>(aPoints.size());
  }
  double products = 0;
  double squares = 0;
  for (const Point& point : aPoints) {
    products += (point.size - meanSize) * (point.value - meanValue);
    squares += (point.size - meanSize) * (point.size - meanSize);
  }
  const double slope = products / squares;
  fmt::print("{}:", aWhat);
  for (const Point& point : aPoints) {
    fmt::print("  {:.0f} -> {:.2f}", point.size, point.value);
  }
  fmt::print("\n  fit: {:.2f} {} + {:.6f} {} for each {}\n",
             meanValue - slope * meanSize,
             aUnit,
             slope,
             aUnit,
             aPer);
}

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

TaskSpec
SlopeTask(std::uint32_t aNumber, std::uint32_t aTeams)
{
  constexpr std::uint32_t kSizes = 16;
  const std::string name = fmt::format("slope-task-{:010}", aNumber);
  return {
    .id = { name },
    .job = { "job-" + name },
    .team = { "team" + std::to_string(aNumber % aTeams) },
    .queue = { "rebuilds" },
    .workClass = WorkClass::Batch,
    .request = { .milliCores = 1000 + 100 * (aNumber % kSizes), .memoryMiB = 1024, .slots = 1 },
    .expectedRun = Milliseconds(1000)
  };
}

std::unique_ptr<Scheduler>
MakeScheduler(const CellShape& aShape)
{
  constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
  auto created = Scheduler::Create({ .maxStarts = kNoLimit, .maxQueuedTotal = kNoLimit });
  const Document document = MakeDocument(aShape);
  ValueOf(created)->ApplyDocument(document);
  for (const Team& team : document.teams) {
    ValueOf(created)->SetAllowance(team.id, team.limit);
  }
  for (const WorkerInfo& worker : MakeWorkers(aShape)) {
    ValueOf(created)->UpsertWorker(worker);
  }
  return std::move(ValueOf(created));
}

/// @return bytes of heap that the tasks take while they wait, or once they run.
double
TaskBytes(std::uint32_t aTasks, bool aIsRunning)
{
  constexpr std::uint32_t kTeams = 49;
  CellShape shape = CaroniShape();
  shape.teams = kTeams;
  shape.workers = aIsRunning ? aTasks / static_cast<std::uint32_t>(shape.worker.slots) : 1;
  const auto scheduler = MakeScheduler(shape);
  const double before = HeapBytes();
  for (std::uint32_t task = 0; task < aTasks; ++task) {
    static_cast<void>(scheduler->Enqueue(SlopeTask(task, kTeams), {}));
  }
  if (aIsRunning) {
    static_cast<void>(scheduler->Decide({}));
  }
  return HeapBytes() - before;
}

double
WorkerBytes(std::uint32_t aWorkers)
{
  CellShape shape = CaroniShape();
  shape.workers = aWorkers;
  const double before = HeapBytes();
  const auto scheduler = MakeScheduler(shape);
  return HeapBytes() - before;
}

template<typename Measure>
void
PrintMemory(const char* aWhat,
            const char* aPer,
            std::array<std::uint32_t, 3> aSizes,
            Measure aMeasure)
{
  std::array<Point, 3> points;
  for (std::size_t index = 0; index < aSizes.size(); ++index) {
    points.at(index) = { .size = static_cast<double>(aSizes.at(index)),
                         .value = aMeasure(aSizes.at(index)) };
  }
  PrintFit(aWhat, aPer, "bytes", points);
}

void
PrintTime(const char* aWhat,
          const char* aPer,
          std::array<std::uint32_t, 4> aSizes,
          std::uint32_t ThroughputOptions::*aMember)
{
  constexpr std::uint32_t kPlacements = 50'000;
  std::array<Point, 4> points;
  for (std::size_t index = 0; index < aSizes.size(); ++index) {
    ThroughputOptions options{ .placements = kPlacements };
    options.*aMember = aSizes.at(index);
    points.at(index) = { .size = static_cast<double>(aSizes.at(index)),
                         .value = MeasureThroughput(options).microsecondsPerStart };
  }
  PrintFit(aWhat, aPer, "us", points);
}

}

void
PrintSlopes()
{
  PrintMemory("memory of waiting tasks",
              "task",
              { 20'000, 40'000, 80'000 },
              [](std::uint32_t aTasks) { return TaskBytes(aTasks, false); });
  PrintMemory("memory of running tasks",
              "task",
              { 10'000, 20'000, 40'000 },
              [](std::uint32_t aTasks) { return TaskBytes(aTasks, true); });
  PrintMemory("memory of workers", "worker", { 1000, 2000, 4000 }, &WorkerBytes);
  PrintTime(
    "processor time a start", "worker", { 250, 500, 1000, 2000 }, &ThroughputOptions::workers);
  PrintTime("processor time a start", "team", { 12, 24, 49, 98 }, &ThroughputOptions::teams);
  PrintTime("processor time a start",
            "waiting task",
            { 20'000, 40'000, 80'000, 160'000 },
            &ThroughputOptions::backlog);
}

}
