#include "CellSchedulerFixture.h"
#include <LibCell/CompletionForecast.h>
#include <algorithm>

namespace zinc::cell::test {

namespace {

constexpr Milliseconds kStep{ 10 };
constexpr Milliseconds kRenewalInterval{ 500 };

/// A cell of ten cores, whose three workspaces may use all of it. Each job is a task of one core
/// and one second, so ten start per second.
class CompletionForecastTest : public CellSchedulerFixture
{
protected:
  CompletionForecastTest()
  {
    this->policy.workspaces.clear();
    for (const auto* name : { "one", "two", "three" }) {
      this->policy.workspaces[{ name }] = { .name = { name },
                                            .weight = 1000.0,
                                            .quota = { .milliCores = 10'000 } };
    }
    this->entries.push_back(this->workers.Add("worker", 10));
  }

  void Submit(const std::string& aWorkspace)
  {
    auto spec = MakeJob("job" + std::to_string(this->submitted++), 1, 1);
    spec.workspace = { aWorkspace };
    this->AcceptJob(spec);
  }

  /// Runs the cell with an arrival of a job of each listed workspace every 100 ms; runs end after
  /// a second.
  void RunLoad(Milliseconds aDuration, const std::vector<std::string>& aWorkspaces)
  {
    constexpr Milliseconds kArrivalInterval{ 100 };
    for (auto elapsed = Milliseconds{ 0 }; elapsed < aDuration; elapsed += kStep) {
      if (elapsed % kArrivalInterval == Milliseconds{ 0 }) {
        std::ranges::for_each(aWorkspaces, [this](const auto& aName) { this->Submit(aName); });
      }
      for (;
           this->ended < this->workers.starts.size() &&
           this->clock.Now() - this->workers.starts[this->ended].acceptedAt >= Milliseconds{ 990 };
           ++this->ended) {
        const auto start = this->workers.starts[this->ended];
        this->workers.End(start.worker.value, start.task, RunOutcome::Succeeded);
      }
      this->RunFor(kStep);
      if ((this->clock.Now() - this->begin) % kRenewalInterval == Milliseconds{ 0 }) {
        this->waits = this->scheduler->ExpectedWaits();
      }
    }
  }

  [[nodiscard]] Milliseconds WaitOf(const std::string& aWorkspace) const
  {
    const auto found =
      std::ranges::find(this->waits, WorkspaceId{ aWorkspace }, &ExpectedWait::workspace);
    return found == this->waits.end() ? Milliseconds{ 0 } : found->wait;
  }

  /// @return the time from now until the start of a job that arrives now
  [[nodiscard]] Milliseconds MeasureWait(const std::string& aWorkspace)
  {
    const auto arrival = this->clock.Now();
    const auto job = "job" + std::to_string(this->submitted);
    this->Submit(aWorkspace);
    while (!this->StatusOf(job).hasStarted &&
           this->clock.Now() - arrival < Milliseconds{ 60'000 }) {
      this->RunLoad(kStep, {});
    }
    return this->clock.Now() - arrival;
  }

  TimePoint begin = this->clock.Now();
  std::vector<ExpectedWait> waits;
  std::size_t submitted = 0;
  std::size_t ended = 0;
};

}

// Load: arrivals of twice the rate of starts for 8 s. Guards against a forecast that is far from
// the wait of the next job.
TEST_F(CompletionForecastTest, ForecastsTheWaitDuringAnOverload)
{
  this->BeginTerm();
  this->RunLoad(Milliseconds{ 8000 }, { "one", "two" });
  EXPECT_EQ(this->waits.size(), 1U) << "no workspace is beyond its weight or limit";
  const auto expected = this->WaitOf("");
  const auto actual = this->MeasureWait("three");
  EXPECT_GT(actual, Milliseconds{ 5000 });
  EXPECT_GT(expected, actual * 0.75);
  EXPECT_LT(expected, actual * 1.25);
}

// Load: arrivals of 0.9 of the rate of starts. Guards against refusals in a cell that keeps up.
TEST_F(CompletionForecastTest, IsEmptyWhileNothingWaits)
{
  this->BeginTerm();
  for (int second = 0; second < 8; ++second) {
    this->RunLoad(Milliseconds{ 900 }, { "one" });
    this->RunLoad(Milliseconds{ 100 }, {});
    EXPECT_TRUE(this->waits.empty());
  }
}

namespace {

/// Runs with different limits of the only workspace, thousandths of a core in a pool of 10 cores.
class CompletionForecastByLimitTest
  : public CompletionForecastTest
  , public testing::WithParamInterface<std::int64_t>
{};

}

// Load: twice the rate of starts. Guards against overload behaviour that depends on how far the
// document's limits, none of which is reached, exceed the pool.
TEST_P(CompletionForecastByLimitTest, ForecastsTheWaitDuringAnOverload)
{
  this->policy.workspaces = { { { "one" }, this->policy.workspaces.at({ "one" }) } };
  this->policy.workspaces.at({ "one" }).quota.milliCores = GetParam();
  this->BeginTerm();
  this->RunLoad(Milliseconds{ 8000 }, { "one", "one" });
  const auto expected = this->WaitOf("");
  const auto actual = this->MeasureWait("one");
  EXPECT_GT(expected, actual * 0.75);
  EXPECT_LT(expected, actual * 1.25);
}

INSTANTIATE_TEST_SUITE_P(Limits, CompletionForecastByLimitTest, testing::Values(12'000, 25'000));

// Load: a workspace at ten times its weight next to a calm one. Guards against a forecast for the
// calm workspace that includes the other's burst.
TEST_F(CompletionForecastTest, SeparatesABurstBeyondTheWeight)
{
  this->policy.workspaces[{ "one" }].weight = 2.0;
  this->BeginTerm();
  this->RunLoad(Milliseconds{ 8000 }, { "one", "one" });
  EXPECT_GT(this->WaitOf("one"), Milliseconds{ 5000 });
  EXPECT_EQ(this->WaitOf(""), Milliseconds{ 0 });
  EXPECT_LT(this->MeasureWait("two"), Milliseconds{ 1500 });
}

// Load: a workspace whose limit is a fifth of the pool submits five times as much as that. Guards
// against a forecast for other workspaces that includes work which only waits for that limit.
TEST_F(CompletionForecastTest, SeparatesABacklogBehindALimit)
{
  this->policy.workspaces[{ "one" }].quota.milliCores = 2000;
  this->BeginTerm();
  this->RunLoad(Milliseconds{ 8000 }, { "one" });
  EXPECT_GT(this->WaitOf("one"), Milliseconds{ 10'000 });
  EXPECT_EQ(this->WaitOf(""), Milliseconds{ 0 });
}

// Load: a workspace that submits five times as much as its limit of memory allows. Guards against a
// forecast for other workspaces that includes work which only waits for that limit.
TEST_F(CompletionForecastTest, SeparatesABacklogBehindALimitOfMemory)
{
  this->policy.workspaces[{ "one" }].quota.memoryMiB = 200;
  this->BeginTerm();
  this->RunLoad(Milliseconds{ 8000 }, { "one" });
  EXPECT_GT(this->WaitOf("one"), Milliseconds{ 10'000 });
  EXPECT_EQ(this->WaitOf(""), Milliseconds{ 0 });
}

// Load: an overload that ends. Guards against a gate that stays closed after the backlog is gone.
TEST_F(CompletionForecastTest, FallsWithTheBacklog)
{
  this->BeginTerm();
  this->RunLoad(Milliseconds{ 6000 }, { "one", "two" });
  EXPECT_GT(this->WaitOf(""), Milliseconds{ 3000 });
  this->RunLoad(Milliseconds{ 8000 }, {});
  EXPECT_TRUE(this->waits.empty());
}

// Failure: the leader is replaced during an overload. Guards against a forecast of the new leader
// before it has measured its own rate of starts.
TEST_F(CompletionForecastTest, StartsWithoutForecastAfterATakeover)
{
  this->BeginTerm();
  this->RunLoad(Milliseconds{ 6000 }, { "one", "two" });
  EXPECT_FALSE(this->waits.empty());
  this->BeginTerm(true, Milliseconds{ 500 }, { { "worker" } });
  EXPECT_TRUE(this->scheduler->ExpectedWaits().empty());
  this->RunLoad(Milliseconds{ 900 }, {});
  EXPECT_TRUE(this->waits.empty());
  EXPECT_TRUE(this->scheduler->ExpectedWaits().empty());
  this->RunLoad(Milliseconds{ 1000 }, {});
  EXPECT_FALSE(this->waits.empty()) << "the backlog is still there";
}

namespace {

/// Waiting jobs of one task each, without a scheduler.
class ForecastOfJobsTest : public testing::Test
{
protected:
  Job& AddJob(const std::string& aWorkspace = "one", const std::string& aQueue = "queue")
  {
    auto& job = this->jobs.emplace_back(std::make_unique<Job>());
    job->spec.id = { "job" + std::to_string(this->added++) };
    job->spec.workspace = { aWorkspace };
    job->spec.queue = { .name = { aQueue }, .pool = "pool", .stretch = 100.0 };
    job->spec.steps.push_back(
      { .demand = { .milliCores = 1000 }, .estimate = Milliseconds{ 1000 } });
    job->criticalPaths = ComputeCriticalPaths(job->spec);
    job->workspaceUsage = &this->usage;
    job->receivedAt = this->clock.Now();
    auto& occurrence = job->occurrences[0];
    occurrence.deadline = this->clock.Now() + Milliseconds{ 300'000 };
    occurrence.steps.resize(1);
    occurrence.steps[0].CreateTasks(1);
    occurrence.steps[0].isReady = true;
    return *job;
  }

  [[nodiscard]] static Candidate CandidateOf(Job& aJob)
  {
    return { .job = &aJob,
             .run = aJob.occurrences[0].steps.data(),
             .specification = aJob.spec.steps.data(),
             .queue = &aJob.spec.queue };
  }

  /// Starts a waiting job.
  void Start(std::size_t aIndex)
  {
    auto& job = *this->jobs[aIndex];
    this->forecast.RecordStart(CandidateOf(job), this->clock.Now());
    this->forecast.RecordFirstStart(job.spec.id, this->clock.Now());
    this->jobs.erase(this->jobs.begin() + static_cast<std::ptrdiff_t>(aIndex));
  }

  std::vector<ExpectedWait> Update()
  {
    std::vector<Candidate> candidates;
    for (const auto& job : this->jobs) {
      candidates.push_back(CandidateOf(*job));
    }
    return this->forecast.Update(candidates, this->clock.Now());
  }

  ManualClock clock;
  WorkspaceUsage usage;
  CompletionForecast forecast{ CellSchedulerOptions{}.limitHeadroom };
  std::vector<std::unique_ptr<Job>> jobs;
  std::size_t added = 0;
};

}

// Load: jobs start in the reverse order of their arrival, so that each waits much less than the
// backlog suggests. Guards against a wrong forecast that stays wrong.
TEST_F(ForecastOfJobsTest, CorrectsItselfByTheActualWaits)
{
  for (int index = 0; index < 100; ++index) {
    this->AddJob();
  }
  for (int round = 0; round < 100; ++round) {
    (void)this->Update();
    this->clock.Advance(Milliseconds{ 250 });
    this->AddJob();
    (void)this->Update();
    this->clock.Advance(Milliseconds{ 250 });
    this->Start(this->jobs.size() - 1);
  }
  EXPECT_DOUBLE_EQ(this->forecast.CorrectionOf({ "queue" }), 0.5);
  EXPECT_DOUBLE_EQ(this->forecast.CorrectionOf({ "other" }), 1.0);
}

// Load: work that has lost its value stays in the queue and never starts, while new work starts
// immediately. Guards against a forecast that old work keeps high.
TEST_F(ForecastOfJobsTest, IgnoresExpiredWorkWithoutOtherWork)
{
  for (int index = 0; index < 100; ++index) {
    this->AddJob().occurrences[0].deadline = this->clock.Now();
  }
  (void)this->Update();
  this->clock.Advance(Milliseconds{ 4000 });
  EXPECT_TRUE(this->Update().empty());
}

// Load: a steady load without a backlog. Failure: nothing starts for 1.5 s, as while the policy
// service does not respond. Guards against refusals because of a short pause.
TEST_F(ForecastOfJobsTest, RemembersTheRateBeforeTheBacklog)
{
  constexpr std::size_t kJobsPerRound = 50;
  const auto addJobs = [this] {
    for (std::size_t index = 0; index < kJobsPerRound; ++index) {
      this->AddJob();
    }
  };
  for (int round = 0; round < 40; ++round) {
    addJobs();
    while (!this->jobs.empty()) {
      this->Start(this->jobs.size() - 1);
    }
    this->clock.Advance(Milliseconds{ 500 });
    EXPECT_TRUE(this->Update().empty());
  }
  std::vector<ExpectedWait> waits;
  for (int round = 0; round < 4; ++round) {
    addJobs();
    waits = this->Update();
    this->clock.Advance(Milliseconds{ 500 });
  }
  ASSERT_EQ(waits.size(), 1U);
  EXPECT_LT(waits.front().wait, Milliseconds{ 3000 });
}

// Load: a workspace's burst beyond its weight has ended, and what is left of it waits for long.
// Guards against refusals of the workspace's next jobs, which go before it.
TEST_F(ForecastOfJobsTest, EndsTheWaitOfAWorkspaceWithItsBurst)
{
  for (int index = 0; index < 100; ++index) {
    this->AddJob("burst").isBeyondWeight = true;
  }
  this->AddJob("burst");
  (void)this->Update();
  this->clock.Advance(Milliseconds{ 2000 });
  const auto isOfBurst = [](const ExpectedWait& aWait) {
    return aWait.workspace == WorkspaceId{ "burst" };
  };
  EXPECT_TRUE(std::ranges::any_of(this->Update(), isOfBurst));
  this->clock.Advance(Milliseconds{ 2000 });
  EXPECT_FALSE(std::ranges::any_of(this->Update(), isOfBurst));
}

// Load: backlogs of more workspaces beyond their weight than the leader record has room for. Guards
// against a leader record that exceeds the store's limit.
TEST_F(ForecastOfJobsTest, BoundsTheNumberOfForecasts)
{
  const auto addJobs = [this](int aPerWorkspace) {
    for (std::size_t workspace = 0; workspace < 2 * kMaxExpectedWaits; ++workspace) {
      for (int index = 0; index < aPerWorkspace; ++index) {
        this->AddJob("workspace" + std::to_string(workspace)).isBeyondWeight = true;
      }
    }
  };
  addJobs(10);
  this->AddJob("calm");
  this->AddJob("calm");
  (void)this->Update();
  this->clock.Advance(Milliseconds{ 2000 });
  const auto waits = this->Update();
  ASSERT_EQ(waits.size(), kMaxExpectedWaits);
  EXPECT_TRUE(waits.front().workspace.IsEmpty());
}

// Load: a queue of gangs, of which none has started yet. Guards against an endless wait as the
// forecast before the first start.
TEST_F(ForecastOfJobsTest, ForecastsALimitedWaitBeforeTheFirstStart)
{
  for (int index = 0; index < 5; ++index) {
    this->AddJob();
  }
  (void)this->Update();
  this->clock.Advance(Milliseconds{ 2000 });
  const auto waits = this->Update();
  ASSERT_EQ(waits.size(), 1U);
  EXPECT_LE(waits.front().wait, Milliseconds{ 10'000 });
}

}
