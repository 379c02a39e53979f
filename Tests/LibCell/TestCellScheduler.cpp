#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

using CellSchedulerTest = CellSchedulerFixture;

}

TEST_F(CellSchedulerTest, RunsAJobToItsEndAndRecordsIt)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->Begin();
  this->Accept(JobOf("job", 3, 2));
  this->Run(Milliseconds{ 100 });
  EXPECT_TRUE(this->StatusOf("job").hasStarted);
  this->workers.EndAll();
  this->Run(Milliseconds{ 200 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
  EXPECT_TRUE(this->workers.At("w1").ended.empty()) << "the ends were acknowledged";
}

TEST_F(CellSchedulerTest, AcknowledgesNoEndThatTheStoreDoesNotHold)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->Begin();
  this->Accept(JobOf("job", 1, 2));
  this->Run(Milliseconds{ 100 });
  this->store.mode = StoreMode::Unavailable;
  this->workers.EndAll();
  this->Run(Milliseconds{ 3000 });
  EXPECT_EQ(this->workers.At("w1").ended.size(), 1U);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Active) << "not shown before it is durable";
  this->store.mode = StoreMode::Available;
  this->Run(Milliseconds{ 1000 });
  EXPECT_TRUE(this->workers.At("w1").ended.empty());
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

TEST_F(CellSchedulerTest, SettlesAWriteWhoseAnswerWasLost)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->Begin();
  this->Accept(JobOf("job", 1, 2));
  this->Run(Milliseconds{ 100 });
  this->store.mode = StoreMode::DroppingResponses;
  this->workers.EndAll();
  this->Run(Milliseconds{ 300 });
  this->store.mode = StoreMode::Available;
  this->Run(Milliseconds{ 500 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

TEST_F(CellSchedulerTest, NeverFillsAWorkerBeyondItsCapacity)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->Begin();
  for (int number = 0; number < 20; ++number) {
    this->Accept(JobOf("job" + std::to_string(number), 2, 3));
  }
  this->Run(Milliseconds{ 500 });
  EXPECT_EQ(this->workers.At("w1").running.size(), 2U);
  EXPECT_EQ(this->workers.At("w2").running.size(), 2U);
}

TEST_F(CellSchedulerTest, KeepsAWorkspaceWithinItsMaximum)
{
  this->entries = { this->workers.Add("w1", 32) };
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 7000 };
  this->Begin();
  this->Accept(JobOf("job", 10, 2));
  this->Run(Milliseconds{ 500 });
  EXPECT_EQ(this->workers.At("w1").running.size(), 3U);
}

// The load: a workspace's batch jobs reach its limit, and its urgent ones arrive.
TEST_F(CellSchedulerTest, LeavesAPartOfTheLimitToUrgentTasks)
{
  this->entries = { this->workers.Add("w1", 32), this->workers.Add("w2", 32) };
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 40'000 };
  QueueRoute urgent{ .host = "host", .pathPrefix = "/u/" };
  urgent.queue = { .name = { "urgent" }, .pool = "pool", .stretch = 2.0 };
  this->policy.AddRoute(urgent);
  this->options.limitHeadroom = CellSchedulerOptions{}.limitHeadroom;
  this->Begin();
  this->Accept(JobOf("batch", 60, 1));
  this->Run(Milliseconds{ 100 });
  auto check = JobOf("check", 1, 2);
  check.queue = urgent.queue;
  this->Accept(check);
  this->Run(Milliseconds{ 50 });
  EXPECT_TRUE(this->StatusOf("check").hasStarted);
}

TEST_F(CellSchedulerTest, StopsACancelledJobAndStartsNothingMore)
{
  this->entries = { this->workers.Add("w1", 2) };
  this->Begin();
  this->Accept(JobOf("job", 4, 1));
  this->Run(Milliseconds{ 100 });
  const auto key = JobRowKey({ "job" }, JobRowKind::Cancellation);
  this->store.Put(key, "{}");
  this->conductor->OnJobRows({ this->store.rows.at(key) });
  const auto started = this->workers.starts.size();
  this->Run(Milliseconds{ 500 });
  EXPECT_TRUE(this->workers.At("w1").running.empty());
  EXPECT_EQ(this->workers.starts.size(), started);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Cancelled);
}

TEST_F(CellSchedulerTest, StartsAStepOnlyAfterThoseBeforeIt)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->Begin();
  auto spec = JobOf("job", 2, 1);
  spec.steps.push_back(spec.steps.front());
  spec.steps.back().dependsOn = { 0 };
  this->Accept(spec);
  this->Run(Milliseconds{ 100 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
  this->workers.End("w1", this->workers.starts.front().task, RunOutcome::Succeeded);
  this->Run(Milliseconds{ 100 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
  this->workers.EndAll();
  this->Run(Milliseconds{ 100 });
  EXPECT_EQ(this->workers.starts.size(), 4U);
}

TEST_F(CellSchedulerTest, StartsAGangWholeOrNotAtAll)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->Begin();
  this->Accept(JobOf("small", 1, 4));
  this->Run(Milliseconds{ 100 });
  auto gang = JobOf("gang", 4, 4);
  gang.steps.front().isGang = true;
  this->Accept(gang);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
  this->workers.EndAll();
  this->Run(Milliseconds{ 300 });
  ASSERT_EQ(this->workers.starts.size(), 5U);
  EXPECT_EQ(this->workers.starts[1].run, this->workers.starts[4].run);
}

TEST_F(CellSchedulerTest, StopsAGangOfWhichOneMemberDidNotStart)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->Begin();
  this->Run(Milliseconds{ 50 });
  this->workers.At("w2").rejectsStarts = true;
  auto gang = JobOf("gang", 2, 4);
  gang.steps.front().isGang = true;
  this->Accept(gang);
  this->Run(Milliseconds{ 400 });
  EXPECT_TRUE(this->workers.At("w1").running.empty());
  this->workers.At("w2").rejectsStarts = false;
  this->Run(Milliseconds{ 2000 });
  EXPECT_EQ(this->workers.At("w1").running.size(), 1U);
  EXPECT_EQ(this->workers.At("w2").running.size(), 1U);
}

TEST_F(CellSchedulerTest, StartsElsewhereOnlyWhenTheLeaseOfASilentWorkerHasEnded)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->Begin();
  this->Accept(JobOf("job", 1, 4));
  this->Run(Milliseconds{ 200 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  this->workers.At("w1").isReachable = false;
  this->entries.push_back(this->workers.Add("w2", 4));
  this->conductor->OnWorkerEntry(this->entries.back());
  this->Run(Milliseconds{ 5500 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
  this->Run(Milliseconds{ 2500 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
  EXPECT_GE(this->workers.starts.back().acceptedAt, this->workers.At("w1").leaseEnd);
}

TEST_F(CellSchedulerTest, LeavesARunAloneWhoseStartWasAnsweredToNobody)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->Begin();
  this->Run(Milliseconds{ 50 });
  this->workers.At("w1").losesResponses = true;
  this->Accept(JobOf("job", 1, 4));
  this->Run(Milliseconds{ 100 });
  this->workers.At("w1").losesResponses = false;
  this->Run(Milliseconds{ 1500 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
  EXPECT_TRUE(this->workers.stops.empty());
  this->workers.EndAll();
  this->Run(Milliseconds{ 200 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

TEST_F(CellSchedulerTest, CarriesTheCheckpointToTheNextRun)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->Begin();
  this->Accept(JobOf("job", 1, 4));
  this->Run(Milliseconds{ 100 });
  this->workers.At("w1").running.begin()->second.checkpoint = "saved";
  this->workers.EndAll(RunOutcome::LeaseExpired);
  this->Run(Milliseconds{ 300 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  EXPECT_EQ(this->workers.starts.back().checkpoint, "saved");
}

TEST_F(CellSchedulerTest, AsksForAdviceAndPresentsTheTicket)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  auto& queue = this->policy.routes.front().queue;
  queue.needsAdvice = true;
  queue.advice = { .baseMs = 5.0, .perWorkerMs = 1.0, .ticketValidity = Milliseconds{ 1500 } };
  this->advice.isGood = [](const WorkerId& aWorker) { return aWorker.value == "w2"; };
  this->Begin();
  this->Accept(JobOf("job", 1, 4));
  this->Run(Milliseconds{ 300 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  EXPECT_EQ(this->workers.starts.front().worker.value, "w2");
  EXPECT_FALSE(this->workers.starts.front().ticket.empty());
}

TEST_F(CellSchedulerTest, AsksAgainWhenAQuestionFailed)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  auto& queue = this->policy.routes.front().queue;
  queue.needsAdvice = true;
  queue.advice = { .baseMs = 5.0, .perWorkerMs = 1.0, .ticketValidity = Milliseconds{ 1500 } };
  this->advice.failures = 2;
  this->Begin();
  this->Accept(JobOf("job", 1, 4));
  this->Run(Milliseconds{ 2500 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
}

// The pattern: a burst leaves quick checks late. Each takes little room for a moment, while the
// batch work that would go first has seconds to spare.
TEST_F(CellSchedulerTest, StartsLateUrgentTasksBeforeBatchWorkUntilTheyAreWorthless)
{
  this->options.urgentHeadroom = 0.0;
  QueueRoute urgent{ .host = "host", .pathPrefix = "/u/" };
  urgent.queue = { .name = { "urgent" },
                   .pool = "pool",
                   .priority = 0,
                   .maxAttempts = 3,
                   .stretch = 1.0,
                   .slack = Milliseconds{ 100 } };
  this->policy.AddRoute(urgent);
  this->entries = { this->workers.Add("w1", 4) };
  this->Begin();
  this->Accept(JobOf("first", 1, 4, 60'000));
  this->Run(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  const auto submit = [this, &urgent](const std::string& aId) {
    auto check = JobOf(aId, 1, 4, 1000);
    check.queue = urgent.queue;
    this->Accept(check);
  };
  submit("worthless");
  this->Run(Milliseconds{ 3000 });
  submit("late");
  this->Run(Milliseconds{ 600 });
  this->Accept(JobOf("batch", 1, 4, 1000));
  this->Run(Milliseconds{ 50 });
  std::vector<std::string> order;
  for (int round = 0; round < 3; ++round) {
    this->workers.EndAll();
    this->Run(Milliseconds{ 200 });
    order.push_back(this->workers.starts.back().task.job.value);
  }
  EXPECT_EQ(order, (std::vector<std::string>{ "late", "batch", "worthless" }));
}

// The pattern: a worker that was out of reach still lists a run whose task has gone elsewhere.
TEST_F(CellSchedulerTest, CountsUnwantedRunsOfAStepOnAWorker)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->Begin();
  auto spec = JobOf("job", 2, 1);
  spec.steps.front().maxTasksPerWorker = 1;
  this->Accept(spec);
  this->Run(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  auto& worker = this->workers.At("w1");
  worker.ignoresStops = true;
  const TaskName unwanted{ { "job" }, { 0, 0, 0 } };
  worker.running["other run"] = { .task = unwanted, .run = 1 };
  this->Run(Milliseconds{ 900 });
  this->workers.End("w1", this->workers.starts.front().task, RunOutcome::Succeeded);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->workers.starts.size(), 1U) << "the unwanted run is still there";
  worker.running.clear();
  this->Run(Milliseconds{ 2000 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
}

TEST_F(CellSchedulerTest, StopsARunThatStandsStill)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->workers.At("w1").isStalled = true;
  this->Begin();
  this->Accept(JobOf("job", 1, 2));
  this->Run(Milliseconds{ 2500 });
  EXPECT_EQ(this->workers.stops.size(), 1U);
}

// The pattern: the members of a gang have unequal work, and end together.
TEST_F(CellSchedulerTest, LetsAMemberThatHasDoneItsPartWaitForItsGang)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->workers.At("w1").isStalled = true;
  this->workers.At("w1").stalledPercent = 100;
  this->Begin();
  auto gang = JobOf("gang", 2, 2);
  gang.steps.front().isGang = true;
  this->Accept(gang);
  this->Run(Milliseconds{ 5000 });
  EXPECT_TRUE(this->workers.stops.empty());
}

// The pattern: a worker is well by its own account and fails all that it starts, so that it always
// has room for the next tasks of a wide job.
TEST_F(CellSchedulerTest, AvoidsAWorkerThatFailsTheTasksOfOneJob)
{
  this->entries = { this->workers.Add("bad", 8), this->workers.Add("good", 4) };
  this->Begin();
  constexpr std::uint32_t kTasks = 40;
  this->Accept(JobOf("wide", kTasks, 1));
  constexpr int kSteps = 20;
  for (int step = 0; step < kSteps; ++step) {
    this->Run(Milliseconds{ 50 });
    const auto running = this->workers.At("bad").running;
    for (const auto& [key, entry] : running) {
      this->workers.End("bad", entry.task, RunOutcome::Failed);
    }
  }
  const auto atBad =
    std::ranges::count(this->workers.starts, WorkerId{ "bad" }, &ObservedStart::worker);
  EXPECT_EQ(atBad, 8);
}

TEST_F(CellSchedulerTest, DoesNotHoldATaskThatAlwaysFailsAgainstItsWorker)
{
  this->policy.routes.front().queue.maxAttempts = 10;
  this->entries = { this->workers.Add("w1", 4) };
  this->Begin();
  this->Accept(JobOf("poisoned", 1, 1));
  constexpr int kFailures = 5;
  for (int failure = 0; failure < kFailures; ++failure) {
    this->Run(Milliseconds{ 100 });
    this->workers.EndAll(RunOutcome::Failed);
  }
  this->Accept(JobOf("sound", 1, 1));
  this->Run(Milliseconds{ 200 });
  EXPECT_TRUE(this->StatusOf("sound").hasStarted);
}

TEST_F(CellSchedulerTest, RestartsAPerpetualTaskHoweverItEnds)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->Begin();
  auto spec = JobOf("job", 1, 1);
  spec.steps.front().isService = true;
  this->Accept(spec);
  this->Run(Milliseconds{ 200 });
  for (int round = 0; round < 5; ++round) {
    this->workers.EndAll(RunOutcome::Failed);
    this->Run(Milliseconds{ 600 });
  }
  EXPECT_EQ(this->workers.starts.size(), 6U);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Active);
}

}
