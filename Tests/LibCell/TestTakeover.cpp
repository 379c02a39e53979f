#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

class Takeover : public CellSchedulerFixture
{
protected:
  [[nodiscard]] std::size_t StartsOf(const std::string& aJob) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      this->workers.starts, [&aJob](const auto& aStart) { return aStart.task.job.value == aJob; }));
  }
};

/// A clock that moves with each look, like a clock beside work that takes time.
class MovingClock final : public Clock
{
public:
  explicit MovingClock(ManualClock& aClock)
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

TEST_F(Takeover, KeepsWhatRuns)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->Accept(JobOf("job", 4, 2));
  this->Begin();
  this->Run(Milliseconds{ 200 });
  ASSERT_EQ(this->StartsOf("job"), 4U);
  this->Begin(true);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StartsOf("job"), 4U);
  this->workers.EndAll();
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

TEST_F(Takeover, StartsNothingThatMayRunAtAWorkerOutOfReach)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->Accept(JobOf("job", 2, 4));
  this->Begin();
  this->Run(Milliseconds{ 200 });
  ASSERT_EQ(this->StartsOf("job"), 2U);
  this->workers.At("w2").isReachable = false;
  this->Begin(true);
  this->workers.End("w1", this->workers.starts.front().task, RunOutcome::Succeeded);
  this->Run(Milliseconds{ 12'000 });
  EXPECT_EQ(this->StartsOf("job"), 2U);
  this->Run(Milliseconds{ 1000 });
  EXPECT_EQ(this->StartsOf("job"), 3U) << "once the predecessor's leases have run out";
}

TEST_F(Takeover, StartsNothingThatMayRunThoughAdoptingJobsTakesTime)
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
  this->ownClock = std::make_unique<MovingClock>(this->clock);
  this->Begin(true);
  this->Run(Milliseconds{ 2000 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
}

TEST_F(Takeover, StartsNewJobsWhileAWorkerIsOutOfReach)
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
  EXPECT_EQ(this->StartsOf("new"), 1U);
}

TEST_F(Takeover, WaitsForAWorkerOutOfReachOnlyUntilAnAttemptHasFailed)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->workers.At("w2").isReachable = false;
  this->Accept(JobOf("old", 1, 1));
  this->Begin(true);
  this->Accept(JobOf("new", 1, 1));
  this->Run(Milliseconds{ 200 });
  EXPECT_EQ(this->StartsOf("new"), 1U);
  EXPECT_EQ(this->StartsOf("old"), 0U);
}

TEST_F(Takeover, CountsWhatMayRunOutOfReachAgainstTheLimit)
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
  EXPECT_EQ(this->StartsOf("new"), 0U);
  this->workers.At("w1").isReachable = true;
  this->Run(Milliseconds{ 600 });
  this->workers.EndAll();
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StartsOf("new"), 1U);
}

// The pattern: the leader's zone is cut off while its workspaces have long queues. What waits in
// them does not run in that zone: together with what was found elsewhere it is within the limit.
TEST_F(Takeover, LeavesTheRestOfALimitToNewJobsWhileAZoneIsCutOff)
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
  EXPECT_EQ(this->StartsOf("new"), 1U);
}

// The pattern: a limit is lowered shortly before the leader's zone is cut off.
TEST_F(Takeover, CountsWhatMayRunOutOfReachUnderAFormerLimit)
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
  EXPECT_EQ(this->StartsOf("new"), 0U) << "10 cores may run out of reach";
}

TEST_F(Takeover, CountsWhatMayRunAtAWorkerThatIsNoLongerListed)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 5000 };
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("old", 1, 4));
  this->Begin();
  this->Run(Milliseconds{ 100 });
  ASSERT_EQ(this->StartsOf("old"), 1U);
  this->workers.At("w1").isReachable = false;
  this->entries = { this->workers.Add("w2", 8) };
  this->Begin(true, Milliseconds{ 12'400 }, { { "w1" } });
  this->Accept(JobOf("new", 1, 2));
  this->Run(Milliseconds{ 3000 });
  EXPECT_EQ(this->StartsOf("new"), 0U);
}

// The pattern: workers are taken away, and all instances lose power before the ownership row could
// leave them out. Nobody answers for them, and everybody's limits would count them.
TEST_F(Takeover, DoesNotWaitForWorkersThatHaveLeft)
{
  this->predecessorAge = Milliseconds{ 1000 };
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("old", 1, 4));
  this->Begin(true, Milliseconds{ 12'400 }, { { "w1" }, { "left" } });
  this->Run(Milliseconds{ 2400 });
  EXPECT_EQ(this->StartsOf("old"), 0U) << "its row may come back";
  this->Run(Milliseconds{ 400 });
  EXPECT_EQ(this->StartsOf("old"), 1U);
}

TEST_F(Takeover, WaitsForAWorkerWhoseRowComesBack)
{
  this->predecessorAge = Milliseconds{ 1000 };
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("old", 1, 4));
  auto lapsed = this->workers.Add("lapsed", 4);
  this->workers.At("lapsed").isReachable = false;
  this->Begin(true, Milliseconds{ 12'400 }, { { "w1" }, { "lapsed" } });
  this->Run(Milliseconds{ 1500 });
  this->conductor->OnWorkerEntry(lapsed);
  this->Run(Milliseconds{ 8000 });
  EXPECT_EQ(this->StartsOf("old"), 0U);
  this->Run(Milliseconds{ 3500 });
  EXPECT_EQ(this->StartsOf("old"), 1U);
}

// The pattern: a leader goes on with the workers of its zone while both are cut off, so that
// their rows lapse although they run what it has started.
TEST_F(Takeover, WaitsForUnlistedWorkersOfAPredecessorThatWasCutOff)
{
  this->predecessorAge = Milliseconds{ 5000 };
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("old", 1, 4));
  this->Begin(true, Milliseconds{ 12'400 }, { { "w1" }, { "cut off" } });
  this->Run(Milliseconds{ 10'000 });
  EXPECT_EQ(this->StartsOf("old"), 0U);
  this->Run(Milliseconds{ 3000 });
  EXPECT_EQ(this->StartsOf("old"), 1U);
}

TEST_F(Takeover, IsFencedByASuccessor)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->Begin();
  this->Run(Milliseconds{ 100 });
  this->workers.At("w1").token = this->token + 10;
  this->Run(Milliseconds{ 2000 });
  EXPECT_TRUE(this->isDeposed);
}

TEST_F(Takeover, CountsFailuresOfTwoWorkersInAnyOrder)
{
  // The worker with the later run is read first, since its name comes first.
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

TEST_F(Takeover, TakesARunOfAnEndedJobToFillItsWorker)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->Accept(JobOf("ended", 1, 3));
  this->Begin();
  this->Run(Milliseconds{ 100 });
  // The job's row is replaced by its end while its run is still there.
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
  EXPECT_EQ(this->StartsOf("new"), 1U);
}

TEST_F(Takeover, LeavesAWorkerAloneUntilTheLastRunOfUnknownSizeHasEnded)
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
  EXPECT_EQ(this->StartsOf("new"), 0U);
  this->workers.End("w1", { { "ended" }, { 0, 0, 1 } }, RunOutcome::Stopped);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StartsOf("new"), 1U);
}

TEST_F(Takeover, CountsAFailureOnceOverTwoTerms)
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
  ASSERT_EQ(this->StartsOf("job"), 3U);
  this->workers.EndAll(RunOutcome::Failed);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Failed);
  EXPECT_EQ(this->StartsOf("job"), 3U);
}

// The pattern: a worker that has just come is used before the ownership row names it, and its own
// row lapses while the store is away. The next leader would not know that it has to be asked.
TEST_F(Takeover, StartsNothingAtAWorkerThatANextConductorWouldNotAsk)
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

TEST_F(Takeover, NamesAListedWorkerThatDoesNotAnswer)
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
