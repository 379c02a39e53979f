#include <LibCell/CompletionRanking.h>
#include <LibCell/Placement.h>

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>

namespace zinc::cell {

namespace {

constexpr TimePoint kNow{ Milliseconds{ 1'000'000 } };
constexpr Milliseconds kEstimate{ 1000 };

Worker
WorkerWithRating(double aRating)
{
  Worker worker;
  worker.entry.capacity = { .milliCores = 32'000, .memoryMiB = 32'000 };
  worker.speed.rating = aRating;
  worker.speed.band = static_cast<int>(std::lround(aRating / kRatingBand));
  return worker;
}

/// An urgent step whose tasks take as long as estimated.
CompletionInput
InputWithObjective(Milliseconds aObjective)
{
  return { .now = kNow,
           .isUrgent = true,
           .estimate = kEstimate,
           .criticalPath = kEstimate,
           .objective = kNow + aObjective,
           .deadline = kNow + 3 * aObjective,
           .fastRating = -0.5 };
}

/// @return the rating of the worker that is preferred among a slow, a nominal and a fast one
double
PreferredRating(const CompletionInput& aInput)
{
  CompletionRanking ranking;
  ranking.SetTarget(ComputeMaxRating(aInput), aInput.isGang);
  const std::vector workers{ WorkerWithRating(0.5), WorkerWithRating(0.0), WorkerWithRating(-0.5) };
  const auto best = std::ranges::min_element(
    workers, {}, [&ranking](const Worker& aWorker) { return ranking.RankOf(aWorker); });
  return best->speed.rating;
}

}

// Guards against fast workers for tasks that end in time at a slower one.
TEST(CompletionRanking, PrefersTheSlowestWorkerThatMeetsTheObjective)
{
  EXPECT_EQ(PreferredRating(InputWithObjective(Milliseconds{ 4000 })), 0.5);
  EXPECT_EQ(PreferredRating(InputWithObjective(Milliseconds{ 2000 })), 0.0);
  EXPECT_EQ(PreferredRating(InputWithObjective(Milliseconds{ 1100 })), -0.5);
}

// Guards against a choice by the caller's estimate alone.
TEST(CompletionRanking, UsesTheLearnedFactorAndItsError)
{
  auto input = InputWithObjective(Milliseconds{ 4000 });
  input.factor.mean = std::log(2.0);
  EXPECT_EQ(PreferredRating(input), 0.0);
  input.factor = { .variance = 0.25 };
  EXPECT_EQ(PreferredRating(input), 0.0);
}

// Guards against a slow worker for the tasks that determine the end of a step.
TEST(CompletionRanking, GivesFastWorkersToTheLastTasks)
{
  auto input = InputWithObjective(Milliseconds{ 2000 });
  input.tasks = 20;
  input.waitingTasks = 2;
  EXPECT_EQ(PreferredRating(input), -0.5);
}

// Guards against late batches that take the workers that quick checks need.
TEST(CompletionRanking, LateWorkWithSlackLeavesFastWorkersToOthers)
{
  auto input = InputWithObjective(Milliseconds{ 400 });
  EXPECT_EQ(PreferredRating(input), -0.5);
  input.isUrgent = false;
  input.deadline = kNow + Milliseconds{ 3000 };
  EXPECT_EQ(PreferredRating(input), 0.5);
  input.objective = kNow - Milliseconds{ 1 };
  input.deadline = kNow;
  EXPECT_EQ(PreferredRating(input), 0.5);
}

// Guards against a gang that one slow member delays: the preferred workers have room for a part of
// the gang only.
TEST(CompletionRanking, AGangDoesNotMixSpeedsIfOneSpeedHasRoom)
{
  std::vector<Worker> workers;
  for (const double rating : { 0.8, 0.8, 0.0, 0.0, 0.0, 0.0, -0.8, -0.8, -0.8 }) {
    workers.push_back(WorkerWithRating(rating));
  }
  std::vector<Worker*> pointers;
  for (auto& worker : workers) {
    pointers.push_back(&worker);
  }
  CompletionRanking ranking;
  ranking.SetTarget(1.0, true);
  const StepSpecification step{ .count = 4, .demand = { .milliCores = 32'000 }, .isGang = true };
  const auto assigned = AssignGang(pointers, step, ranking);
  ASSERT_TRUE(assigned);
  for (const auto* worker : *assigned) {
    EXPECT_EQ(worker->speed.rating, 0.0);
  }
}

}
