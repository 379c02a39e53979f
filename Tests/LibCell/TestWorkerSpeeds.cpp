#include <LibCell/WorkerSpeeds.h>

#include <cmath>
#include <gtest/gtest.h>
#include <memory>
#include <random>

namespace zinc::cell {

namespace {

constexpr Milliseconds kEstimate{ 1000 };

/// Workers that end tasks in turn.
class WorkerSpeedsTest : public testing::Test
{
protected:
  Worker& AddWorker(const std::string& aKind, double aSpeed)
  {
    auto worker = std::make_unique<Worker>();
    worker->entry.id = { "w" + std::to_string(this->workers.size()) };
    worker->entry.labels = { aKind };
    worker->entry.incarnation = 1;
    this->speeds.push_back(aSpeed);
    this->pointers.push_back(worker.get());
    this->workers.push_back(std::move(worker));
    return *this->workers.back();
  }

  /// Runs steps of three tasks at random workers; the estimates of a step are off by a factor.
  void RunSteps(int aSteps, double aMaxError, double aBias = 1.0)
  {
    std::uniform_real_distribution<double> error(-std::log(aMaxError), std::log(aMaxError));
    std::normal_distribution<double> deviation(0.0, 0.15);
    std::uniform_int_distribution<std::size_t> choice(0, this->workers.size() - 1);
    for (int step = 0; step < aSteps; ++step) {
      const auto timing =
        this->model.MakeTiming({ .queue = "checks", .workspace = "team", .tasks = 3 });
      const double factor = aBias * std::exp(error(this->random));
      for (int task = 0; task < 3; ++task) {
        const auto index = choice(this->random);
        const double runMs = static_cast<double>(kEstimate.count()) * factor *
                             std::exp(deviation(this->random)) / this->speeds[index];
        this->now += Milliseconds{ 20 };
        this->model.OnRunSucceeded(*this->workers[index],
                                   *timing,
                                   kEstimate,
                                   Milliseconds(static_cast<std::int64_t>(runMs)),
                                   this->now);
      }
    }
  }

  /// @return the estimated speed of a worker relative to another
  [[nodiscard]] double RelativeSpeed(std::size_t aWorker, std::size_t aOther) const
  {
    return std::exp(this->workers[aOther]->speed.rating - this->workers[aWorker]->speed.rating);
  }

  WorkerSpeeds model;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<Worker*> pointers;
  std::vector<double> speeds;
  std::mt19937 random{ 7 };
  TimePoint now{ Milliseconds{ 1'000'000 } };
};

}

// Guards against ratings that follow the estimation error of the jobs that a worker happened to
// get. Load: estimates off by two, differently for each step.
TEST_F(WorkerSpeedsTest, FindsTheSpeedsWhileEstimatesAreOffByTwo)
{
  for (int index = 0; index < 4; ++index) {
    this->AddWorker("m1", 0.6);
    this->AddWorker("m2", 1.0);
    this->AddWorker("m3", 1.6);
  }
  this->RunSteps(400, 2.0);
  for (std::size_t index = 0; index < this->workers.size(); index += 3) {
    EXPECT_NEAR(std::log(this->RelativeSpeed(index, 1)), std::log(0.6), 0.3);
    EXPECT_NEAR(std::log(this->RelativeSpeed(index + 2, 1)), std::log(1.6), 0.3);
  }
  const auto spread = WorkerSpeeds::SpreadOf(this->pointers);
  ASSERT_TRUE(spread);
  EXPECT_GT(spread->ratio, 2.0);
}

// Guards against a pool that alternates between uneven and even, since the slow workers, which end
// few runs, are soon rated like the others. Load: workers of three speeds and one kind, idle for
// 15 s.
TEST_F(WorkerSpeedsTest, AnIdleSlowWorkerKeepsItsRating)
{
  for (int index = 0; index < 4; ++index) {
    this->AddWorker("m1", 0.6);
    this->AddWorker("m1", 1.0);
    this->AddWorker("m1", 1.6);
  }
  this->RunSteps(400, 1.2);
  this->now += Milliseconds{ 15'000 };
  for (auto* worker : this->pointers) {
    this->model.Refresh(*worker, this->now);
  }
  for (std::size_t index = 0; index < this->workers.size(); index += 3) {
    EXPECT_LT(std::log(this->RelativeSpeed(index, index + 2)), 0.6 * std::log(0.6 / 1.6));
  }
}

// Guards against expected run times that repeat an error that all estimates of a queue share.
TEST_F(WorkerSpeedsTest, LearnsTheFactorOfAQueue)
{
  for (int index = 0; index < 6; ++index) {
    this->AddWorker("m1", 1.0);
  }
  this->RunSteps(200, 1.0, 2.0);
  const auto timing =
    this->model.MakeTiming({ .queue = "checks", .workspace = "team", .tasks = 1 });
  const double expected =
    this->model.FactorOf(*timing).mean + this->workers.front()->speed.logSlowness;
  EXPECT_NEAR(expected, std::log(2.0), 0.2);
}

// Guards against a worker that keeps the rating of its previous incarnation, and one that is
// treated as average although its kind is known.
TEST_F(WorkerSpeedsTest, ANewIncarnationStartsFromItsKind)
{
  for (int index = 0; index < 4; ++index) {
    this->AddWorker("m1", 0.6);
    this->AddWorker("m3", 1.6);
  }
  this->RunSteps(300, 1.5);
  auto& worker = *this->workers.front();
  worker.speed.logSlowness = 2.0;
  ++worker.entry.incarnation;
  this->model.Refresh(worker, this->now);
  EXPECT_NEAR(std::log(this->RelativeSpeed(0, 2)), 0.0, 0.3);
}

// Guards against checks that continue to go to a worker at which nothing ends any more, and
// against a rating that a single long task ruins.
TEST_F(WorkerSpeedsTest, OverdueRunsLowerTheRating)
{
  auto& worker = this->AddWorker("m1", 1.0);
  for (int index = 0; index < 3; ++index) {
    this->AddWorker("m1", 1.0);
  }
  this->RunSteps(100, 1.2);
  const double rating = worker.speed.rating;
  const auto addRun = [&] {
    worker.allocations.push_back(
      { .phase = RunPhase::Running,
        .startedAt = this->now,
        .estimate = kEstimate,
        .timing = this->model.MakeTiming({ .queue = "checks", .workspace = "team" }) });
  };
  addRun();
  this->now += 4 * kEstimate;
  this->model.Refresh(worker, this->now);
  const double single = worker.speed.rating;
  worker.allocations.front().startedAt = this->now;
  addRun();
  this->now += 4 * kEstimate;
  this->model.Refresh(worker, this->now);
  EXPECT_GT(single, rating + 0.1);
  EXPECT_LT(single, rating + 0.7);
  EXPECT_GT(worker.speed.rating, rating + 1.0);
  worker.allocations.clear();
  this->model.Refresh(worker, this->now);
  EXPECT_NEAR(worker.speed.rating, rating, 0.2);
}

// Guards against a spread that is claimed after a few runs.
TEST_F(WorkerSpeedsTest, TellsNoSpreadWithoutConfidence)
{
  for (int index = 0; index < 10; ++index) {
    this->AddWorker("m1", index % 2 == 0 ? 0.5 : 2.0);
  }
  this->RunSteps(1, 1.0);
  EXPECT_FALSE(WorkerSpeeds::SpreadOf(this->pointers));
}

}
