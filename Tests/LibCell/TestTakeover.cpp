#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

class TakeoverTest : public CellSchedulerFixture
{
protected:
  [[nodiscard]] std::size_t CountStartsOf(const std::string& aJob) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      this->workers.starts, [&aJob](const auto& aStart) { return aStart.task.job.value == aJob; }));
  }
};

/// A clock that advances by 1 ms with each reading, as if work took time in between.
class AdvancingClock final : public Clock
{
public:
  explicit AdvancingClock(ManualClock& aClock)
    : clock(aClock)
  {
  }
  [[nodiscard]] TimePoint Now() const override
  {
    const_cast<ManualClock&>(this->clock).Advance(Milliseconds{ 1 });
    return this->clock.Now();
  }

private:
  ManualClock& clock;
};

}

TEST_F(TakeoverTest, AdoptsRunningTasks)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->Accept(JobOf("job", 4, 2));
  this->Begin();
  this->Run(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStartsOf("job"), 4U);
  this->Begin(true);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStartsOf("job"), 4U);
  this->workers.EndAll();
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

TEST_F(TakeoverTest, DoesNotRestartTasksThatMayRunAtAnUnreachableWorker)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->Accept(JobOf("job", 2, 4));
  this->Begin();
  this->Run(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStartsOf("job"), 2U);
  this->workers.At("w2").isReachable = false;
  this->Begin(true);
  this->workers.End("w1", this->workers.starts.front().task, RunOutcome::Succeeded);
  this->Run(Milliseconds{ 12'000 });
  EXPECT_EQ(this->CountStartsOf("job"), 2U);
  this->Run(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStartsOf("job"), 3U) << "the predecessor's leases have expired";
}

TEST_F(TakeoverTest, DoesNotRestartTasksIfReadingTheJobsTakesTime)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->Accept(JobOf("first", 1, 4));
  this->Accept(JobOf("second", 1, 4));
  this->Begin();
  this->Run(Milliseconds{ 200 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  for (const auto& start : std::vector(this->workers.starts)) {
    this->workers.At(start.worker.value).isReachable = false;
  }
  this->entries.push_back(this->workers.Add("w3", 8));
  this->ownClock = std::make_unique<AdvancingClock>(this->clock);
  this->Begin(true);
  this->Run(Milliseconds{ 2000 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
}

TEST_F(TakeoverTest, StartsNewJobsWhileAWorkerIsUnreachable)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->Accept(JobOf("old", 2, 4));
  this->Begin();
  this->Run(Milliseconds{ 200 });
  this->workers.At("w2").isReachable = false;
  this->Begin(true);
  this->workers.EndAll();
  this->Run(Milliseconds{ 1000 });
  this->Accept(JobOf("new", 1, 1));
  this->Run(Milliseconds{ 1500 });
  EXPECT_EQ(this->CountStartsOf("new"), 1U);
}

TEST_F(TakeoverTest, StartsNewJobsAfterTheFirstFailedRequestToAnUnreachableWorker)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->workers.At("w2").isReachable = false;
  this->Accept(JobOf("old", 1, 1));
  this->Begin(true);
  this->Accept(JobOf("new", 1, 1));
  this->Run(Milliseconds{ 200 });
  EXPECT_EQ(this->CountStartsOf("new"), 1U);
  EXPECT_EQ(this->CountStartsOf("old"), 0U);
}

TEST_F(TakeoverTest, CountsPossibleRunsOfUnreachableWorkersAgainstTheLimit)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 5000 };
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 8) };
  this->Accept(JobOf("old", 1, 4));
  this->Begin();
  this->Run(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.front().worker.value, "w1");
  this->workers.At("w1").isReachable = false;
  this->Begin(true);
  this->Accept(JobOf("new", 1, 2));
  this->Run(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStartsOf("new"), 0U);
  this->workers.At("w1").isReachable = true;
  this->Run(Milliseconds{ 600 });
  this->workers.EndAll();
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStartsOf("new"), 1U);
}

// Guards against new jobs that wait although their workspace is below its limit. The leader's zone
// is cut off while jobs are queued. Counting each queued job as a possible run in that zone
// exhausts the limit, although the predecessor itself kept to it.
TEST_F(TakeoverTest, StartsNewJobsWithinTheLimitWhileAZoneIsCutOff)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 20'000 };
  this->entries = { this->workers.Add("w1", 16), this->workers.Add("w2", 16) };
  this->Accept(JobOf("far", 1, 10));
  this->Begin();
  this->Run(Milliseconds{ 100 });
  this->Accept(JobOf("near", 1, 8));
  this->Run(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  ASSERT_NE(this->workers.starts[0].worker, this->workers.starts[1].worker);
  for (int number = 0; number < 5; ++number) {
    this->Accept(JobOf("queued" + std::to_string(number), 1, 8));
  }
  this->Run(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  this->workers.At(this->workers.starts[0].worker.value).isReachable = false;
  this->Begin(true);
  this->Run(Milliseconds{ 2000 });
  this->workers.EndAll();
  this->Accept(JobOf("new", 1, 6));
  this->Run(Milliseconds{ 500 });
  EXPECT_EQ(this->CountStartsOf("new"), 1U);
}

// Guards against exceeding a limit that was lowered shortly before the leader's zone was cut off:
// the predecessor's runs there may still use the former limit.
TEST_F(TakeoverTest, CountsPossibleRunsUpToTheFormerLimit)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 20'000 };
  this->entries = { this->workers.Add("w1", 16), this->workers.Add("w2", 16) };
  this->Accept(JobOf("far", 1, 10));
  this->Begin();
  this->Run(Milliseconds{ 100 });
  this->Accept(JobOf("near", 1, 8));
  this->Run(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  this->workers.At(this->workers.starts[0].worker.value).isReachable = false;
  this->Begin(true);
  auto lowered = this->policy;
  lowered.workspaces[{ "team" }].quota = { .milliCores = 12'000 };
  this->conductor->SetPolicy(std::make_shared<CellPolicy>(lowered));
  this->Run(Milliseconds{ 2000 });
  this->workers.EndAll();
  this->Accept(JobOf("new", 1, 4));
  this->Run(Milliseconds{ 500 });
  EXPECT_EQ(this->CountStartsOf("new"), 0U) << "10 cores may be in use at the unreachable worker";
}

TEST_F(TakeoverTest, CountsPossibleRunsOfAnUnlistedWorkerAgainstTheLimit)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 5000 };
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("old", 1, 4));
  this->Begin();
  this->Run(Milliseconds{ 100 });
  ASSERT_EQ(this->CountStartsOf("old"), 1U);
  this->workers.At("w1").isReachable = false;
  this->entries = { this->workers.Add("w2", 8) };
  this->Begin(true, Milliseconds{ 12'400 }, { { "w1" } });
  this->Accept(JobOf("new", 1, 2));
  this->Run(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStartsOf("new"), 0U);
}

// Guards against waiting for workers that no longer exist. They are removed, and all instances lose
// power before the leader record omits them. They never answer, and until they are given up all
// limits count their possible runs.
TEST_F(TakeoverTest, GivesUpWorkersThatWereRemoved)
{
  this->predecessorAge = Milliseconds{ 1000 };
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("old", 1, 4));
  this->Begin(true, Milliseconds{ 12'400 }, { { "w1" }, { "left" } });
  this->Run(Milliseconds{ 2400 });
  EXPECT_EQ(this->CountStartsOf("old"), 0U) << "the worker's row may reappear";
  this->Run(Milliseconds{ 400 });
  EXPECT_EQ(this->CountStartsOf("old"), 1U);
}

TEST_F(TakeoverTest, WaitsForAWorkerWhoseRowReappears)
{
  this->predecessorAge = Milliseconds{ 1000 };
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("old", 1, 4));
  auto expired = this->workers.Add("lapsed", 4);
  this->workers.At("lapsed").isReachable = false;
  this->Begin(true, Milliseconds{ 12'400 }, { { "w1" }, { "lapsed" } });
  this->Run(Milliseconds{ 1500 });
  this->conductor->OnWorkerEntry(expired);
  this->Run(Milliseconds{ 8000 });
  EXPECT_EQ(this->CountStartsOf("old"), 0U);
  this->Run(Milliseconds{ 3500 });
  EXPECT_EQ(this->CountStartsOf("old"), 1U);
}

// Guards against starting a task twice. A leader and the workers of its zone are cut off together:
// the workers' rows expire, although they still execute the leader's runs.
TEST_F(TakeoverTest, WaitsForUnlistedWorkersOfAPredecessorThatWasCutOff)
{
  this->predecessorAge = Milliseconds{ 5000 };
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("old", 1, 4));
  this->Begin(true, Milliseconds{ 12'400 }, { { "w1" }, { "cut off" } });
  this->Run(Milliseconds{ 10'000 });
  EXPECT_EQ(this->CountStartsOf("old"), 0U);
  this->Run(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStartsOf("old"), 1U);
}

TEST_F(TakeoverTest, StepsDownWhenFencedByASuccessor)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->Begin();
  this->Run(Milliseconds{ 100 });
  this->workers.At("w1").token = this->token + 10;
  this->Run(Milliseconds{ 2000 });
  EXPECT_TRUE(this->isDeposed);
}

TEST_F(TakeoverTest, CountsFailuresReportedByTwoWorkersInAnyOrder)
{
  // "a", the worker of the later run, reports first, since "b" is unreachable at the takeover.
  this->entries = { this->workers.Add("b", 4) };
  this->Accept(JobOf("job", 1, 1));
  this->Begin();
  this->Run(Milliseconds{ 100 });
  this->store.mode = StoreMode::Unavailable;
  this->entries.push_back(this->workers.Add("a", 4));
  this->conductor->OnWorkerEntry(this->entries.back());
  this->Run(Milliseconds{ 100 });
  this->workers.EndAll(RunOutcome::Failed);
  this->Run(Milliseconds{ 200 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  ASSERT_EQ(this->workers.starts.back().worker.value, "a");
  this->workers.EndAll(RunOutcome::Failed);
  this->store.mode = StoreMode::Available;
  this->workers.At("b").isReachable = false;
  this->Begin(true);
  this->Run(Milliseconds{ 200 });
  this->workers.At("b").isReachable = true;
  this->Run(Milliseconds{ 600 });
  ASSERT_EQ(this->workers.starts.size(), 3U);
  this->workers.EndAll(RunOutcome::Failed);
  this->Run(Milliseconds{ 600 });
  EXPECT_EQ(this->workers.starts.size(), 3U);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Failed);
}

TEST_F(TakeoverTest, TreatsAWorkerWithARunOfAnEndedJobAsFull)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("ended", 1, 3));
  this->Begin();
  this->Run(Milliseconds{ 100 });
  // The job's specification is replaced by its outcome while its run still exists.
  this->store.Put(JobRowKey({ "ended" }, JobRowKind::Specification),
                  EncodeEndedJob({ .outcome = JobOutcome::Cancelled, .workspace = { "team" } }));
  this->Accept(JobOf("new", 1, 2));
  this->workers.At("w1").ignoresStops = true;
  this->Begin(true);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->workers.At("w1").running.size(), 1U);
  this->workers.At("w1").ignoresStops = false;
  this->workers.EndAll(RunOutcome::Stopped);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStartsOf("new"), 1U);
}

TEST_F(TakeoverTest, UsesAWorkerOnlyAfterAllRunsOfUnknownDemandHaveEnded)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("ended", 2, 2));
  this->Begin();
  this->Run(Milliseconds{ 100 });
  this->store.Put(JobRowKey({ "ended" }, JobRowKind::Specification),
                  EncodeEndedJob({ .outcome = JobOutcome::Cancelled, .workspace = { "team" } }));
  this->Accept(JobOf("new", 1, 3));
  this->workers.At("w1").ignoresStops = true;
  this->Begin(true);
  this->Run(Milliseconds{ 300 });
  this->workers.End("w1", { { "ended" }, { 0, 0, 0 } }, RunOutcome::Stopped);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStartsOf("new"), 0U);
  this->workers.End("w1", { { "ended" }, { 0, 0, 1 } }, RunOutcome::Stopped);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStartsOf("new"), 1U);
}

TEST_F(TakeoverTest, CountsAFailureReportedInTwoTermsOnce)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->Accept(JobOf("job", 1, 1));
  this->Begin();
  this->Run(Milliseconds{ 200 });
  this->workers.EndAll(RunOutcome::Failed);
  this->Run(Milliseconds{ 200 });
  this->workers.EndAll(RunOutcome::Failed);
  this->Run(Milliseconds{ 200 });
  this->Begin(true);
  this->Run(Milliseconds{ 300 });
  ASSERT_EQ(this->CountStartsOf("job"), 3U);
  this->workers.EndAll(RunOutcome::Failed);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Failed);
  EXPECT_EQ(this->CountStartsOf("job"), 3U);
}

// Guards against runs that the next leader does not find. A new worker is used before the leader
// record names it, and its own row expires while the store is unavailable, so that the next leader
// does not know about it.
TEST_F(TakeoverTest, StartsNothingAtAWorkerThatIsNotInTheLeaderRecord)
{
  this->publishes = false;
  this->entries = { this->workers.Add("w1", 4) };
  this->Begin();
  this->Accept(JobOf("job", 1, 1));
  this->Run(Milliseconds{ 500 });
  EXPECT_TRUE(this->workers.starts.empty());
  this->publishes = true;
  this->Run(Milliseconds{ 100 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
}

TEST_F(TakeoverTest, PublishesAListedWorkerThatDoesNotAnswer)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->workers.At("w1").isReachable = false;
  this->Begin();
  this->Run(Milliseconds{ 2000 });
  EXPECT_EQ(this->conductor->WorkersToPublish(), std::vector<std::string>{ "w1" });
  this->conductor->OnWorkerUnlisted({ "w1" });
  EXPECT_TRUE(this->conductor->WorkersToPublish().empty());
}

}
