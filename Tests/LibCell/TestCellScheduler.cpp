#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

using CellSchedulerTest = CellSchedulerFixture;

}

TEST_F(CellSchedulerTest, RunsAJobAndRecordsItsEnd)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 3, 2));
  this->RunFor(Milliseconds{ 100 });
  EXPECT_TRUE(this->StatusOf("job").hasStarted);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 200 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
  EXPECT_TRUE(this->workers.At("w1").ended.empty()) << "the ended runs were acknowledged";
}

TEST_F(CellSchedulerTest, AcknowledgesNoEndBeforeItIsDurable)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 2));
  this->RunFor(Milliseconds{ 100 });
  this->store.mode = StoreMode::Unavailable;
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->workers.At("w1").ended.size(), 1U);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Active)
    << "not visible before it is durable";
  this->store.mode = StoreMode::Available;
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_TRUE(this->workers.At("w1").ended.empty());
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

TEST_F(CellSchedulerTest, ResolvesAWriteWhoseResponseWasLost)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 2));
  this->RunFor(Milliseconds{ 100 });
  this->store.mode = StoreMode::DroppingResponses;
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 300 });
  this->store.mode = StoreMode::Available;
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

TEST_F(CellSchedulerTest, NeverFillsAWorkerBeyondItsCapacity)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->BeginTerm();
  for (int number = 0; number < 20; ++number) {
    this->AcceptJob(MakeJob("job" + std::to_string(number), 2, 3));
  }
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->workers.At("w1").running.size(), 2U);
  EXPECT_EQ(this->workers.At("w2").running.size(), 2U);
}

TEST_F(CellSchedulerTest, KeepsAWorkspaceWithinItsLimit)
{
  this->entries = { this->workers.Add("w1", 32) };
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 7000 };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 10, 2));
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->workers.At("w1").running.size(), 3U);
}

// A workspace's batch tasks fill its limit, so that an urgent task that arrives later could not
// start.
TEST_F(CellSchedulerTest, LeavesHeadroomInTheLimitForUrgentTasks)
{
  this->entries = { this->workers.Add("w1", 32), this->workers.Add("w2", 32) };
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 40'000 };
  QueueRoute urgent{ .host = "host", .pathPrefix = "/u/" };
  urgent.queue = { .name = { "urgent" }, .pool = "pool", .stretch = 2.0 };
  this->policy.AddRoute(urgent);
  this->options.limitHeadroom = CellSchedulerOptions{}.limitHeadroom;
  this->BeginTerm();
  this->AcceptJob(MakeJob("batch", 60, 1));
  this->RunFor(Milliseconds{ 100 });
  auto check = MakeJob("check", 1, 2);
  check.queue = urgent.queue;
  this->AcceptJob(check);
  this->RunFor(Milliseconds{ 50 });
  EXPECT_TRUE(this->StatusOf("check").hasStarted);
}

TEST_F(CellSchedulerTest, StopsACancelledJobAndStartsNothingMore)
{
  this->entries = { this->workers.Add("w1", 2) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 4, 1));
  this->RunFor(Milliseconds{ 100 });
  const auto key = JobRowKey({ "job" }, JobRowKind::Cancellation);
  this->store.Put(key, "{}");
  this->scheduler->OnJobRows({ this->store.rows.at(key) });
  const auto started = this->workers.starts.size();
  this->RunFor(Milliseconds{ 500 });
  EXPECT_TRUE(this->workers.At("w1").running.empty());
  EXPECT_EQ(this->workers.starts.size(), started);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Cancelled);
}

TEST_F(CellSchedulerTest, StartsAStepOnlyAfterThoseBeforeIt)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->BeginTerm();
  auto spec = MakeJob("job", 2, 1);
  spec.steps.push_back(spec.steps.front());
  spec.steps.back().dependsOn = { 0 };
  this->AcceptJob(spec);
  this->RunFor(Milliseconds{ 100 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
  this->workers.End("w1", this->workers.starts.front().task, RunOutcome::Succeeded);
  this->RunFor(Milliseconds{ 100 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 100 });
  EXPECT_EQ(this->workers.starts.size(), 4U);
}

TEST_F(CellSchedulerTest, StartsAllMembersOfAGangOrNone)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("small", 1, 4));
  this->RunFor(Milliseconds{ 100 });
  auto gang = MakeJob("gang", 4, 4);
  gang.steps.front().isGang = true;
  this->AcceptJob(gang);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 300 });
  ASSERT_EQ(this->workers.starts.size(), 5U);
  EXPECT_EQ(this->workers.starts[1].run, this->workers.starts[4].run);
}

TEST_F(CellSchedulerTest, StopsAGangIfOneMemberDoesNotStart)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->workers.At("w2").rejectsStarts = true;
  auto gang = MakeJob("gang", 2, 4);
  gang.steps.front().isGang = true;
  this->AcceptJob(gang);
  this->RunFor(Milliseconds{ 400 });
  EXPECT_TRUE(this->workers.At("w1").running.empty());
  this->workers.At("w2").rejectsStarts = false;
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->workers.At("w1").running.size(), 1U);
  EXPECT_EQ(this->workers.At("w2").running.size(), 1U);
}

TEST_F(CellSchedulerTest, StartsElsewhereOnlyAfterTheLeaseOfAnUnreachableWorkerExpired)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 4));
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  this->workers.At("w1").isReachable = false;
  this->entries.push_back(this->workers.Add("w2", 4));
  this->scheduler->OnWorkerEntry(this->entries.back());
  this->RunFor(Milliseconds{ 5500 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
  this->RunFor(Milliseconds{ 2500 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
  EXPECT_GE(this->workers.starts.back().acceptedAt, this->workers.At("w1").leaseExpiry);
}

TEST_F(CellSchedulerTest, KeepsARunWhoseStartResponseWasLost)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->workers.At("w1").losesResponses = true;
  this->AcceptJob(MakeJob("job", 1, 4));
  this->RunFor(Milliseconds{ 100 });
  this->workers.At("w1").losesResponses = false;
  this->RunFor(Milliseconds{ 1500 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
  EXPECT_TRUE(this->workers.stops.empty());
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 200 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

// A zone that is cut off is noticed by its lease renewals only after their wait. Each start that is
// sent there until then is lost for the rest of a lease.
TEST_F(CellSchedulerTest, StartsNothingMoreAtAWorkerThatLeavesAStartUnanswered)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 16) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  this->workers.At("w1").losesResponses = true;
  this->AcceptJob(MakeJob("first", 1, 2));
  this->RunFor(kStartDelay);
  ASSERT_EQ(this->workers.starts.size(), 1U);
  ASSERT_EQ(this->workers.starts.back().worker.value, "w1");
  this->AcceptJob(MakeJob("second", 1, 2));
  this->RunFor(this->options.minFlushInterval + kStartDelay);
  ASSERT_EQ(this->workers.starts.size(), 2U);
  EXPECT_EQ(this->workers.starts.back().worker.value, "w2");
}

TEST_F(CellSchedulerTest, CarriesTheCheckpointToTheNextRun)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 4));
  this->RunFor(Milliseconds{ 100 });
  this->workers.At("w1").running.begin()->second.checkpoint = "saved";
  this->workers.EndAll(RunOutcome::LeaseExpired);
  this->RunFor(Milliseconds{ 300 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  EXPECT_EQ(this->workers.starts.back().checkpoint, "saved");
}

TEST_F(CellSchedulerTest, RequestsAdviceAndPresentsTheTicket)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  auto& queue = this->policy.routes.front().queue;
  queue.needsAdvice = true;
  queue.advice = { .baseMs = 5.0, .perWorkerMs = 1.0, .ticketValidity = Milliseconds{ 1500 } };
  this->advice.isEligible = [](const WorkerId& aWorker) { return aWorker.value == "w2"; };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 4));
  this->RunFor(Milliseconds{ 300 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  EXPECT_EQ(this->workers.starts.front().worker.value, "w2");
  EXPECT_FALSE(this->workers.starts.front().ticket.empty());
}

TEST_F(CellSchedulerTest, RetriesAFailedAdviceRequest)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  auto& queue = this->policy.routes.front().queue;
  queue.needsAdvice = true;
  queue.advice = { .baseMs = 5.0, .perWorkerMs = 1.0, .ticketValidity = Milliseconds{ 1500 } };
  this->advice.failuresLeft = 2;
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 4));
  this->RunFor(Milliseconds{ 2500 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
}

// A burst delays short urgent checks. They need little room for a short time, while batch tasks
// that would start before them still have seconds left.
TEST_F(CellSchedulerTest, StartsLateUrgentTasksBeforeBatchTasksUntilTheyExpire)
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
  this->BeginTerm();
  this->AcceptJob(MakeJob("first", 1, 4, 60'000));
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  const auto submit = [this, &urgent](const std::string& aId) {
    auto check = MakeJob(aId, 1, 4, 1000);
    check.queue = urgent.queue;
    this->AcceptJob(check);
  };
  submit("worthless");
  this->RunFor(Milliseconds{ 3000 });
  submit("late");
  this->RunFor(Milliseconds{ 600 });
  this->AcceptJob(MakeJob("batch", 1, 4, 1000));
  this->RunFor(Milliseconds{ 50 });
  std::vector<std::string> order;
  for (int round = 0; round < 3; ++round) {
    this->workers.EndAll();
    this->RunFor(Milliseconds{ 200 });
    order.push_back(this->workers.starts.back().task.job.value);
  }
  EXPECT_EQ(order, (std::vector<std::string>{ "late", "batch", "worthless" }));
}

// A worker that was unreachable still reports a run whose task was placed elsewhere. The run has to
// count towards the step's limit of tasks per worker.
TEST_F(CellSchedulerTest, CountsSupersededRunsOfAStepAtAWorker)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  auto spec = MakeJob("job", 2, 1);
  spec.steps.front().maxTasksPerWorker = 1;
  this->AcceptJob(spec);
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  auto& worker = this->workers.At("w1");
  worker.ignoresStops = true;
  const TaskName superseded{ { "job" }, { 0, 0, 0 } };
  worker.running["other run"] = { .task = superseded, .run = 1 };
  this->RunFor(Milliseconds{ 900 });
  this->workers.End("w1", this->workers.starts.front().task, RunOutcome::Succeeded);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->workers.starts.size(), 1U) << "the superseded run is still there";
  worker.running.clear();
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
}

TEST_F(CellSchedulerTest, StopsARunWithoutProgress)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->workers.At("w1").isStalled = true;
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 2));
  this->RunFor(Milliseconds{ 2500 });
  EXPECT_EQ(this->workers.stops.size(), 1U);
}

// Guards against a task of minutes that is stopped again and again, since a percent of its work
// takes longer than a hung run may be silent (review case 11).
TEST_F(CellSchedulerTest, DoesNotStopARunWhosePercentsTakeLong)
{
  this->workers.timePerPercent = Milliseconds{ 3840 };
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 2, 384'000));
  this->RunFor(Milliseconds{ 60'000 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
  EXPECT_TRUE(this->workers.stops.empty());
}

// Guards against the same where the estimate is short: a few runs are stopped, until one is given
// the time in which it shows its pace.
TEST_F(CellSchedulerTest, LearnsThatPercentsTakeLongerThanEstimated)
{
  this->workers.timePerPercent = Milliseconds{ 3840 };
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 2, 4000));
  this->RunFor(Milliseconds{ 60'000 });
  const auto stops = this->workers.stops.size();
  EXPECT_LE(stops, 4U);
  this->RunFor(Milliseconds{ 60'000 });
  EXPECT_EQ(this->workers.stops.size(), stops);
}

// The members of a gang have unequal work and end together. One at 100 percent waits for the others
// and makes no progress, but does not hang.
TEST_F(CellSchedulerTest, DoesNotStopAFinishedMemberThatWaitsForItsGang)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->workers.At("w1").isStalled = true;
  this->workers.At("w1").stalledPercent = 100;
  this->BeginTerm();
  auto gang = MakeJob("gang", 2, 2);
  gang.steps.front().isGang = true;
  this->AcceptJob(gang);
  this->RunFor(Milliseconds{ 5000 });
  EXPECT_TRUE(this->workers.stops.empty());
}

// A worker that reports itself as healthy but fails all its runs always has room for the next tasks
// of a wide job, and would fail them all.
// One start of a wide gang goes unanswered. The other members make no progress, since they wait for
// it; their workers are sound and have to stay in use.
TEST_F(CellSchedulerTest, DoesNotAvoidTheWorkersOfAGangThatWaitsForAMember)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->options.gangPlacementInterval = Milliseconds{ 0 };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  this->workers.At("w1").isStalled = true;
  auto gang = MakeJob("gang", 2, 4, 4000);
  gang.steps.front().isGang = true;
  this->AcceptJob(gang);
  this->scheduler->Tick();
  this->workers.At("w2").losesResponses = true;
  this->RunFor(Milliseconds{ 60 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  // The order did not arrive.
  this->workers.At("w2").running.clear();
  this->RunFor(Milliseconds{ 2900 });
  EXPECT_TRUE(this->workers.At("w1").running.empty()) << "a gang must not time out at its workers";
  this->workers.At("w1").isStalled = false;
  this->AcceptJob(MakeJob("other", 1, 4));
  this->RunFor(Milliseconds{ 300 });
  ASSERT_EQ(this->workers.starts.size(), 3U);
  EXPECT_EQ(this->workers.starts.back().worker.value, "w1");
}

TEST_F(CellSchedulerTest, QuarantinesAWorkerThatFailsTheTasksOfOneJob)
{
  this->entries = { this->workers.Add("bad", 8), this->workers.Add("good", 4) };
  this->BeginTerm();
  constexpr std::uint32_t kTasks = 40;
  this->AcceptJob(MakeJob("wide", kTasks, 1));
  constexpr int kSteps = 20;
  for (int step = 0; step < kSteps; ++step) {
    this->RunFor(Milliseconds{ 50 });
    const auto running = this->workers.At("bad").running;
    for (const auto& [key, entry] : running) {
      this->workers.End("bad", entry.task, RunOutcome::Failed);
    }
  }
  const auto startsAtBad =
    std::ranges::count(this->workers.starts, WorkerId{ "bad" }, &ObservedStart::worker);
  EXPECT_EQ(startsAtBad, 8);
}

TEST_F(CellSchedulerTest, DoesNotQuarantineAWorkerForATaskThatAlwaysFails)
{
  this->policy.routes.front().queue.maxAttempts = 10;
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("poisoned", 1, 1));
  constexpr int kFailures = 5;
  for (int failure = 0; failure < kFailures; ++failure) {
    this->RunFor(Milliseconds{ 100 });
    this->workers.EndAll(RunOutcome::Failed);
  }
  this->AcceptJob(MakeJob("sound", 1, 1));
  this->RunFor(Milliseconds{ 200 });
  EXPECT_TRUE(this->StatusOf("sound").hasStarted);
}

TEST_F(CellSchedulerTest, RestartsAServiceTaskHoweverItEnds)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  auto spec = MakeJob("job", 1, 1);
  spec.steps.front().isService = true;
  this->AcceptJob(spec);
  this->RunFor(Milliseconds{ 200 });
  for (int round = 0; round < 5; ++round) {
    this->workers.EndAll(RunOutcome::Failed);
    this->RunFor(Milliseconds{ 600 });
  }
  EXPECT_EQ(this->workers.starts.size(), 6U);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Active);
}

}
