#include "CellSchedulerFixture.h"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace zinc::cell::test {

namespace {

using std::chrono::nanoseconds;

nanoseconds
ReadThreadProcessorTime()
{
  timespec now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) + nanoseconds(now.tv_nsec);
}

/// Compares the processor time of ticks in a small and a large cell, in which nothing is due.
class LargeCellCost : public CellSchedulerFixture
{
protected:
  static constexpr int kSmallCell = 500;
  static constexpr int kLargeCell = 8000;
  /// The large cell has 16 times the workers of the small one.
  static constexpr double kMaxCostRatio = 4.0;

  /// Begins a term with workers that wait for work.
  void BeginIdleTerm(int aWorkers)
  {
    for (int number = 0; number < aWorkers; ++number) {
      this->entries.push_back(this->workers.Add("w" + std::to_string(number), 32));
    }
    this->BeginTerm();
    this->RunFor(Milliseconds{ 100 });
  }

  /// @return the shortest of several measurements of ticks, none of which delivers a response
  [[nodiscard]] nanoseconds MeasureTicks()
  {
    constexpr int kMeasurements = 5;
    constexpr int kTicks = 10;
    auto shortest = nanoseconds::max();
    for (int measurement = 0; measurement < kMeasurements; ++measurement) {
      const auto begin = ReadThreadProcessorTime();
      for (int tick = 0; tick < kTicks; ++tick) {
        this->clock.Advance(Milliseconds{ 10 });
        this->scheduler->Tick();
      }
      shortest = std::min(shortest, ReadThreadProcessorTime() - begin);
    }
    return shortest;
  }

  [[nodiscard]] double CompareCells(const std::function<nanoseconds(int)>& aMeasure)
  {
    const auto small = aMeasure(kSmallCell);
    this->entries.clear();
    const auto large = aMeasure(kLargeCell);
    return static_cast<double>(large.count()) / static_cast<double>(small.count());
  }
};

}

// Load: a thousand workers and more, of which few have something due. Guards against a leader whose
// processor is full of looking at workers that are idle, while quick checks wait for it.
TEST_F(LargeCellCost, TicksDoNotDependOnIdleWorkers)
{
  const auto ratio = this->CompareCells([this](int aWorkers) {
    this->BeginIdleTerm(aWorkers);
    return this->MeasureTicks();
  });
  EXPECT_LT(ratio, kMaxCostRatio);
}

// Load: steps that wait for a response of the policy service. Guards against placement rounds that
// look at all workers before they find that no step can be placed.
TEST_F(LargeCellCost, RoundsWithoutAPlaceableStepDoNotDependOnWorkers)
{
  auto& queue = this->policy.routes.front().queue;
  queue.needsAdvice = true;
  queue.advice = { .baseMs = 300.0, .perWorkerMs = 5.0, .ticketValidity = Milliseconds{ 1500 } };
  const auto ratio = this->CompareCells([this](int aWorkers) {
    this->BeginIdleTerm(aWorkers);
    this->advice.isPaused = true;
    this->AcceptJob(MakeJob("job" + std::to_string(aWorkers), 4, 8));
    this->RunFor(Milliseconds{ 50 });
    return this->MeasureTicks();
  });
  EXPECT_LT(ratio, kMaxCostRatio);
}

}
