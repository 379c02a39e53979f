#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

class TakeoverTest : public CellSchedulerFixture
{};

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
  this->AcceptJob(MakeJob("job", 4, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStarts("job"), 4U);
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("job"), 4U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

TEST_F(TakeoverTest, DoesNotRestartTasksThatMayRunAtAnUnreachableWorker)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->AcceptJob(MakeJob("job", 2, 4));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStarts("job"), 2U);
  this->workers.At("w2").isReachable = false;
  this->BeginTerm(true);
  this->workers.End("w1", this->workers.starts.front().task, RunOutcome::Succeeded);
  this->RunFor(Milliseconds{ 12'000 });
  EXPECT_EQ(this->CountStarts("job"), 2U);
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("job"), 3U) << "the predecessor's leases have expired";
}

// Guards against starting a task twice whose worker has started again lately and is cut off: it may
// carry out the predecessor's start late.
TEST_F(TakeoverTest, WaitsLongerForAnUnreachableWorkerThatHasStartedAgain)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->entries[1].incarnation = this->wallTime.time_since_epoch().count();
  this->AcceptJob(MakeJob("job", 1, 4));
  this->workers.At("w2").isReachable = false;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 20'000 });
  EXPECT_EQ(this->CountStarts("job"), 0U);
  this->RunFor(Milliseconds{ 8000 });
  EXPECT_EQ(this->CountStarts("job"), 1U);
}

// Failure: workers start again, are cut off a second later, and the leader is killed. Guards
// against jobs that stand still for 15 s more (LOST on the large site): the predecessor had fenced
// the worker, so that no order for its previous incarnation is carried out any more.
TEST_F(TakeoverTest, WaitsNoLongerForARestartedWorkerThatThePredecessorHadFenced)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  auto restarted = this->workers.RestartAtOnce("w2");
  restarted.incarnation = this->wallTime.time_since_epoch().count();
  this->workers.At("w2").entry = restarted;
  this->entries[1] = restarted;
  this->scheduler->OnWorkerEntry(restarted);
  this->RunFor(Milliseconds{ 300 });
  this->AcceptJob(MakeJob("job", 2, 4));
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStarts("job"), 2U);
  const auto report = this->scheduler->MakeLeaderReport();
  this->fencedIncarnations = report.fencedIncarnations;
  EXPECT_EQ(this->fencedIncarnations.at({ "w2" }), restarted.incarnation);

  this->workers.At("w2").isReachable = false;
  this->workers.EndAll();
  const auto leases = std::max(this->options.LeaseExpiryBound(), report.longestLease);
  this->BeginTerm(true, leases);
  this->RunFor(leases - Milliseconds{ 100 });
  EXPECT_EQ(this->CountStarts("job"), 2U) << "the worker may run its task until its lease expires";
  this->RunFor(Milliseconds{ 400 });
  EXPECT_EQ(this->CountStarts("job"), 3U);
}

// Failure: the leader is killed beside a cut of a part of the workers. Guards against jobs that
// stand still until all leases have expired (LOST on the large site), although nothing of them was
// started.
TEST_F(TakeoverTest, StartsJobsAtOnceThatThePredecessorHasNotStarted)
{
  this->hasStartRecords = true;
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("early", 1, 1));
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->CountStarts("early"), 1U);
  const auto worker = this->workers.starts.front().worker;
  this->scheduler.reset();
  this->AcceptJob(MakeJob("late", 1, 1));
  this->workers.At(worker.value).isReachable = false;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("late"), 1U);
  EXPECT_EQ(this->CountStarts("early"), 1U) << "its run may still exist";
}

// The same for a later step of a job, all of whose earlier tasks are known to have ended.
TEST_F(TakeoverTest, StartsAStepAtOnceThatThePredecessorHasNotStarted)
{
  this->hasStartRecords = true;
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  auto job = MakeJob("job", 1, 1);
  job.steps.push_back({ .count = 1, .demand = { .milliCores = 1000 }, .dependsOn = { 0 } });
  this->AcceptJob(job);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->CountStarts("job"), 1U);
  this->workers.EndAll();
  const std::string other = this->workers.starts.front().worker.value == "w1" ? "w2" : "w1";
  this->workers.At(other).isReachable = false;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("job"), 2U);
}

// Load: many batch gangs wait at a change of leader. Guards against gangs that stand still although
// the predecessor only looked for workers for them.
TEST_F(TakeoverTest, StartsAGangAtOnceThatWaitedForRoom)
{
  this->hasStartRecords = true;
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("busy", 2, 6));
  this->RunFor(Milliseconds{ 100 });
  auto gang = MakeJob("gang", 2, 4);
  gang.steps.front().isGang = true;
  this->AcceptJob(gang);
  this->RunFor(Milliseconds{ 500 });
  ASSERT_EQ(this->CountStarts("gang"), 0U);
  this->workers.At("w2").isReachable = false;
  this->workers.EndAll();
  this->entries.push_back(this->workers.Add("w3", 8));
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->CountStarts("gang"), 2U);
}

// Guards against starting a task twice: a leader starts nothing before its successor would know.
TEST_F(TakeoverTest, StartsNothingBeforeTheStoreSaysThatItMayHave)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->store.mode = StoreMode::Unavailable;
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("job"), 0U);
  this->store.mode = StoreMode::DroppingResponses;
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("job"), 0U) << "it may be stored, but that is not known";
  this->store.mode = StoreMode::Available;
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->CountStarts("job"), 1U);
}

// Failure: the store is away. Guards against steps that stand still meanwhile: after a while nobody
// relies on the records any more.
TEST_F(TakeoverTest, StartsUnrecordedTasksWhileTheStoreIsAway)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  EXPECT_TRUE(this->scheduler->MakeLeaderReport().recordsStarts);
  this->publishesWorkers = false;
  this->store.mode = StoreMode::Unavailable;
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(kStartRecordPromise - Milliseconds{ 100 });
  EXPECT_EQ(this->CountStarts("job"), 0U);
  EXPECT_FALSE(this->scheduler->MakeLeaderReport().recordsStarts) << "the store may get it late";
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("job"), 1U);
  this->publishesWorkers = true;
  this->RunFor(Milliseconds{ 100 });
  EXPECT_FALSE(this->scheduler->MakeLeaderReport().recordsStarts) << "its record is not stored";
  this->store.mode = StoreMode::Available;
  this->RunFor(Milliseconds{ 400 });
  EXPECT_TRUE(this->scheduler->MakeLeaderReport().recordsStarts);
}

// Failure: an unrecorded job that has ended, whose end is not stored, is not among the active jobs.
// Guards against starting a task again after it succeeded: the leader record must not say that all
// starts are recorded.
TEST_F(TakeoverTest, DoesNotRepeatAnUnrecordedJobWhoseEndIsNotStored)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->publishesWorkers = false;
  this->store.mode = StoreMode::Unavailable;
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(kStartRecordPromise + Milliseconds{ 300 });
  ASSERT_EQ(this->CountStarts("job"), 1U) << "unrecorded, in the outage";
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 100 });
  // The partition of the leader record recovers first.
  this->scheduler->OnReportStored(this->scheduler->MakeLeaderReport(), ++this->store.version);
  this->RunFor(Milliseconds{ 50 });
  const auto report = this->scheduler->MakeLeaderReport();
  EXPECT_FALSE(report.recordsStarts) << "neither the start nor the end is stored";

  this->hasStartRecords = report.recordsStarts;
  this->workers.At(this->workers.starts.front().worker.value).isReachable = false;
  this->scheduler.reset();
  this->store.mode = StoreMode::Available;
  this->publishesWorkers = true;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->CountStarts("job"), 1U) << "the worker has its end, which nobody stored";
}

// The same after a predecessor of an older version, whose run's end the next leader reads.
TEST_F(TakeoverTest, DoesNotRepeatAJobOfAnOlderVersionWhoseEndIsNotStored)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->CountStarts("job"), 1U);
  // An older version writes nothing before a start.
  this->store.rows.erase(JobRowKey({ "job" }, JobRowKind::Progress));
  this->workers.EndAll();
  this->BeginTerm(true);
  this->store.mode = StoreMode::Unavailable;
  this->RunFor(Milliseconds{ 300 });
  const auto report = this->scheduler->MakeLeaderReport();
  EXPECT_FALSE(report.recordsStarts);

  this->hasStartRecords = report.recordsStarts;
  this->workers.At(this->workers.starts.front().worker.value).isReachable = false;
  this->scheduler.reset();
  this->store.mode = StoreMode::Available;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->CountStarts("job"), 1U);
}

// Guards against starting a task twice: a leader that hands over leads on if the response to its
// last record is lost and it is cut off together with a worker, and starts tasks unrecorded. So the
// election does not let its successor rely on the records.
TEST_F(TakeoverTest, DoesNotStartAJobThatALeaderWithALostHandoverMayStart)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->store.mode = StoreMode::Unavailable;
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->CountStarts("job"), 0U);
  // The last record promises that starts are recorded.
  ASSERT_TRUE(this->scheduler->MakeLeaderReport().recordsStarts);
  const auto former = std::move(this->scheduler);

  this->store.mode = StoreMode::Available;
  this->hasStartRecords = false;
  this->workers.At("w1").isReachable = false;
  this->entries.push_back(this->workers.Add("w2", 8));
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  const auto early = this->CountStarts("job");
  // The former leader reaches w1, but neither the store nor the other workers.
  this->store.mode = StoreMode::Unavailable;
  this->workers.At("w1").isReachable = true;
  for (Milliseconds elapsed{ 0 }; elapsed < Milliseconds{ 3000 }; elapsed += Milliseconds{ 10 }) {
    former->Tick();
    this->workers.Deliver();
    this->advice.Deliver();
    this->clock.Advance(Milliseconds{ 10 });
  }
  EXPECT_LE(this->CountStarts("job"), 1U)
    << "the task runs twice at once; started by the successor: " << early;
}

// Failure: the progress rows cannot be written, the leader record can. Guards against a cell in
// which nothing starts: the promise is prolonged with each leader record.
TEST_F(TakeoverTest, StartsTasksWhileTheStoreRefusesOnlyProgress)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->store.mode = StoreMode::Unavailable;
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("job"), 1U);
}

// The same with commits of progress that take longer than 3 s.
TEST_F(TakeoverTest, StartsTasksWhileOnlyProgressIsStoredSlowly)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->store.mode = StoreMode::DelayingResponses;
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("job"), 1U);
}

// Failure: a task that waited for room was recorded as possibly started, although it was not.
// Guards against a standstill after a change of leader: the same uncertainty about one unread
// worker. See StartsAGangAtOnceThatWaitedForRoom.
TEST_F(TakeoverTest, StartsATaskInTimeThatWaitedForRoom)
{
  this->hasStartRecords = true;
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("busy", 2, 6));
  this->RunFor(Milliseconds{ 100 });
  this->AcceptJob(MakeJob("late", 1, 4));
  this->RunFor(Milliseconds{ 500 });
  ASSERT_EQ(this->CountStarts("busy"), 2U);
  ASSERT_EQ(this->CountStarts("late"), 0U);
  this->workers.At("w2").isReachable = false;
  this->workers.EndAll();
  this->entries.push_back(this->workers.Add("w3", 8));
  this->scheduler.reset();
  this->AcceptJob(MakeJob("fresh", 1, 4));
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("fresh"), 1U) << "there is room";
  EXPECT_EQ(this->CountStarts("late"), 1U);
}

// Failure: a leader is killed while it recovers. Its record tells the rest of the wait
// including that for late orders; the next leader adds the latter once more.
TEST_F(TakeoverTest, DoesNotWaitOnceMoreForLateOrdersAfterARecoveringLeader)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->AcceptJob(MakeJob("job", 2, 4));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStarts("job"), 2U);
  this->workers.At("w2").isReachable = false;
  this->entries[1].incarnation = this->wallTime.time_since_epoch().count();
  this->workers.End("w1", this->workers.starts.front().task, RunOutcome::Succeeded);
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 1000 });
  const auto report = this->scheduler->MakeLeaderReport();
  ASSERT_TRUE(report.isRecovering);
  // As LeaderElection::RequestLeadership does.
  this->BeginTerm(true, std::max(this->options.LeaseExpiryBound(), report.recoveryLeft));
  this->RunFor(report.recoveryLeft + Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("job"), 3U);
}

// Failure: the incarnation that the predecessor had fenced ends while the worker is cut off, also
// from the store, so that its row is the old one. The next incarnation has seen no token and
// carries out an order that the predecessor had sent to the fenced one. Guards against two runs at
// once.
TEST_F(TakeoverTest, WaitsLongerForAFencedWorkerThatMayHaveStartedAgain)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->entries[1].incarnation = this->wallTime.time_since_epoch().count();
  this->fencedIncarnations = { { { "w2" }, this->entries[1].incarnation } };
  this->workers.At("w2").entry = this->entries[1];
  this->BeginTerm();
  this->RunFor(Milliseconds{ 300 });
  ASSERT_TRUE(this->scheduler->MakeLeaderReport().fencedIncarnations.contains({ "w2" }));
  this->AcceptJob(MakeJob("busy", 1, 4));
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  ASSERT_EQ(this->workers.starts.front().worker.value, "w1") << "the history needs w2 to be free";
  this->workers.At("w2").delaysStarts = true;
  this->AcceptJob(MakeJob("job", 1, 4));
  this->RunFor(Milliseconds{ 50 });
  ASSERT_EQ(this->workers.CountDelayedStarts(), 1U);
  this->workers.EndAll();
  this->workers.startDelay = Milliseconds{ 8000 };
  static_cast<void>(this->workers.RestartAtOnce("w2"));
  this->workers.At("w2").isReachable = false;
  this->BeginTerm(true, this->options.LeaseExpiryBound());
  std::size_t most = 0;
  for (Milliseconds elapsed{ 0 }; elapsed < Milliseconds{ 16'000 }; elapsed += Milliseconds{ 10 }) {
    this->RunFor(Milliseconds{ 10 });
    std::size_t copies = 0;
    for (const auto* id : { "w1", "w2" }) {
      for (const auto& [key, run] : this->workers.At(id).running) {
        copies += run.task.job.value == "job" ? 1 : 0;
      }
    }
    most = std::max(most, copies);
  }
  EXPECT_EQ(most, 1U);
}

// Failure: one job's progress row cannot be read, so that its version is not known and each commit
// with it fails. Guards against a cell in which nothing starts, since no record of a start is
// stored.
TEST_F(TakeoverTest, StartsOtherJobsBesideAJobWhoseProgressCannotBeRead)
{
  this->hasStartRecords = true;
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->AcceptJob(MakeJob("odd", 1, 1));
  this->store.Put(JobRowKey({ "odd" }, JobRowKind::Progress), "{");
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 100 });
  this->AcceptJob(MakeJob("other", 1, 1));
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("other"), 1U);
}

// Guards against starting a task twice after a leader of a version that records no starts.
TEST_F(TakeoverTest, HoldsAllJobsAfterALeaderThatRecordsNoStarts)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->AcceptJob(MakeJob("job", 1, 1));
  this->workers.At("w1").isReachable = false;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->CountStarts("job"), 0U);
  EXPECT_FALSE(this->scheduler->MakeLeaderReport().recordsStarts) << "nor has a further leader any";
  this->workers.At("w1").isReachable = true;
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("job"), 1U);
  EXPECT_TRUE(this->scheduler->MakeLeaderReport().recordsStarts);
}

TEST_F(TakeoverTest, DoesNotRestartTasksIfReadingTheJobsTakesTime)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->AcceptJob(MakeJob("first", 1, 4));
  this->AcceptJob(MakeJob("second", 1, 4));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  for (const auto& start : std::vector(this->workers.starts)) {
    this->workers.At(start.worker.value).isReachable = false;
  }
  this->entries.push_back(this->workers.Add("w3", 8));
  this->clockOverride = std::make_unique<AdvancingClock>(this->clock);
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
}

TEST_F(TakeoverTest, StartsNewJobsWhileAWorkerIsUnreachable)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->AcceptJob(MakeJob("old", 2, 4));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  this->workers.At("w2").isReachable = false;
  this->BeginTerm(true);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 1000 });
  this->AcceptJob(MakeJob("new", 1, 1));
  this->RunFor(Milliseconds{ 1500 });
  EXPECT_EQ(this->CountStarts("new"), 1U);
}

TEST_F(TakeoverTest, StartsNewJobsAfterTheFirstFailedRequestToAnUnreachableWorker)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->workers.At("w2").isReachable = false;
  this->AcceptJob(MakeJob("old", 1, 1));
  this->BeginTerm(true);
  this->AcceptJob(MakeJob("new", 1, 1));
  this->RunFor(Milliseconds{ 200 });
  EXPECT_EQ(this->CountStarts("new"), 1U);
  EXPECT_EQ(this->CountStarts("old"), 0U);
}

TEST_F(TakeoverTest, CountsPossibleRunsOfUnreachableWorkersAgainstTheLimit)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 5000 };
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 8) };
  this->AcceptJob(MakeJob("old", 1, 4));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.front().worker.value, "w1");
  this->workers.At("w1").isReachable = false;
  this->BeginTerm(true);
  this->AcceptJob(MakeJob("new", 1, 2));
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("new"), 0U);
  this->workers.At("w1").isReachable = true;
  this->RunFor(Milliseconds{ 600 });
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("new"), 1U);
}

// Guards against new jobs that wait although their workspace is below its limit. The leader's zone
// is cut off while jobs are pending. Counting each pending job as a possible run in that zone
// exhausts the limit, although the predecessor stayed within it.
TEST_F(TakeoverTest, StartsNewJobsWithinTheLimitWhileAZoneIsCutOff)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 20'000 };
  this->entries = { this->workers.Add("w1", 16), this->workers.Add("w2", 16) };
  this->AcceptJob(MakeJob("far", 1, 10));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->AcceptJob(MakeJob("near", 1, 8));
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  ASSERT_NE(this->workers.starts[0].worker, this->workers.starts[1].worker);
  for (int number = 0; number < 5; ++number) {
    this->AcceptJob(MakeJob("queued" + std::to_string(number), 1, 8));
  }
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  this->workers.At(this->workers.starts[0].worker.value).isReachable = false;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 2000 });
  this->workers.EndAll();
  this->AcceptJob(MakeJob("new", 1, 6));
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->CountStarts("new"), 1U);
}

// Guards against exceeding a limit that was lowered shortly before the leader's zone was cut off:
// the predecessor's runs there may still use the former limit.
TEST_F(TakeoverTest, CountsPossibleRunsUpToTheFormerLimit)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 20'000 };
  this->entries = { this->workers.Add("w1", 16), this->workers.Add("w2", 16) };
  this->AcceptJob(MakeJob("far", 1, 10));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->AcceptJob(MakeJob("near", 1, 8));
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  this->workers.At(this->workers.starts[0].worker.value).isReachable = false;
  this->BeginTerm(true);
  auto lowered = this->policy;
  lowered.workspaces[{ "team" }].quota = { .milliCores = 12'000 };
  this->scheduler->SetPolicy(std::make_shared<CellPolicy>(lowered));
  this->RunFor(Milliseconds{ 2000 });
  this->workers.EndAll();
  this->AcceptJob(MakeJob("new", 1, 4));
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->CountStarts("new"), 0U) << "10 cores may be in use at the unreachable worker";
}

TEST_F(TakeoverTest, CountsPossibleRunsOfAnUnlistedWorkerAgainstTheLimit)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 5000 };
  this->entries = { this->workers.Add("w1", 4) };
  this->AcceptJob(MakeJob("old", 1, 4));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->CountStarts("old"), 1U);
  this->workers.At("w1").isReachable = false;
  this->entries = { this->workers.Add("w2", 8) };
  this->BeginTerm(true, Milliseconds{ 12'400 }, { { "w1" } });
  this->AcceptJob(MakeJob("new", 1, 2));
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("new"), 0U);
}

// Guards against waiting for workers that no longer exist. They are removed, and all instances lose
// power before the leader record omits them. They never respond, and all limits count their
// possible runs until the leader stops waiting for them.
// The leader is killed while a twelfth of the workers is taken away at short notice. Some of them
// are gone before the next leader can read them. Tasks of other jobs cannot run there.
TEST_F(TakeoverTest, PlacesOtherJobsWhileADrainingWorkerIsUnreachable)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeJob("first", 1, 4));
  this->RunFor(Milliseconds{ 50 });
  ASSERT_EQ(this->workers.starts.back().worker.value, "w1");
  this->AcceptJob(MakeJob("second", 1, 4));
  this->AcceptJob(MakeJob("third", 1, 4));
  this->RunFor(Milliseconds{ 50 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  this->entries.front().isDraining = true;
  this->scheduler->OnWorkerEntry(this->entries.front());
  this->drainingJobs = this->scheduler->DrainingJobsToPublish();
  EXPECT_EQ(this->drainingJobs, (DrainingJobs{ { { "w1" }, { { "first" } } } }));
  EXPECT_EQ(this->scheduler->WorkersToPublish(), std::vector<std::string>{ "w2" });

  this->workers.At("w1").isReachable = false;
  this->workers.End("w2", this->workers.starts.back().task, RunOutcome::Succeeded);
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 400 });
  EXPECT_EQ(this->CountStarts("third"), 1U);
  EXPECT_EQ(this->CountStarts("first"), 1U) << "its run may still exist";
  EXPECT_EQ(this->scheduler->DrainingJobsToPublish(), this->drainingJobs)
    << "a further leader must not start it either";
}

// Failure: the store is away when a task fails for the last time, and its leader is replaced.
// Guards against a further attempt while only the draining worker knows of the failure.
TEST_F(TakeoverTest, CountsAFailureThatOnlyADrainingWorkerKnows)
{
  this->policy.routes.front().queue.maxAttempts = 1;
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeJob("first", 1, 4));
  this->RunFor(Milliseconds{ 50 });
  ASSERT_EQ(this->workers.starts.back().worker.value, "w1");
  this->entries.front().isDraining = true;
  this->scheduler->OnWorkerEntry(this->entries.front());
  this->store.mode = StoreMode::Unavailable;
  this->workers.End("w1", this->workers.starts.back().task, RunOutcome::Failed);
  this->RunFor(Milliseconds{ 100 });
  this->drainingJobs = this->scheduler->DrainingJobsToPublish();

  this->workers.At("w1").isReachable = false;
  this->store.mode = StoreMode::Available;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 400 });
  EXPECT_EQ(this->CountStarts("first"), 1U);
  this->workers.At("w1").isReachable = true;
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("first"), 1U);
  EXPECT_EQ(this->StatusOf("first").outcome, JobOutcome::Failed);
}

// The same for a worker whose row has lapsed: the next leader has to ask it for its ends.
TEST_F(TakeoverTest, PublishesAnUnlistedWorkerWithAnEndThatIsNotStored)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeJob("first", 1, 4));
  this->RunFor(Milliseconds{ 50 });
  this->store.mode = StoreMode::Unavailable;
  this->workers.End("w1", this->workers.starts.back().task, RunOutcome::Failed);
  this->scheduler->OnWorkerUnlisted({ "w1" });
  this->RunFor(Milliseconds{ 100 });
  EXPECT_EQ(this->scheduler->WorkersToPublish(), std::vector<std::string>{ "w1" });
}

// A draining worker may start again under its id. Until the leader record says that it can have
// runs of any job, it gets none.
TEST_F(TakeoverTest, UsesAWorkerThatWasDrainingOnlyAfterItIsPublished)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeJob("first", 1, 4));
  this->RunFor(Milliseconds{ 50 });
  auto entry = this->entries.front();
  entry.isDraining = true;
  this->scheduler->OnWorkerEntry(entry);
  this->RunFor(Milliseconds{ 50 });
  this->publishesWorkers = false;
  this->workers.EndAll();
  entry.isDraining = false;
  this->scheduler->OnWorkerEntry(entry);
  this->AcceptJob(MakeJob("second", 1, 4));
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("second"), 0U);
  this->publishesWorkers = true;
  this->RunFor(Milliseconds{ 50 });
  EXPECT_EQ(this->CountStarts("second"), 1U);
}

TEST_F(TakeoverTest, StopsWaitingForWorkersThatWereRemoved)
{
  this->suspendedLeases = { { { "left" }, this->clock.Now() + Milliseconds{ 1000 } } };
  this->entries = { this->workers.Add("w1", 4) };
  this->AcceptJob(MakeJob("old", 1, 4));
  this->BeginTerm(true, Milliseconds{ 12'400 }, { { "w1" }, { "left" } });
  this->RunFor(Milliseconds{ 2400 });
  EXPECT_EQ(this->CountStarts("old"), 0U) << "the worker's row may reappear";
  this->RunFor(Milliseconds{ 400 });
  EXPECT_EQ(this->CountStarts("old"), 1U);
}

TEST_F(TakeoverTest, WaitsForAWorkerWhoseRowReappears)
{
  this->suspendedLeases = { { { "lapsed" }, this->clock.Now() + Milliseconds{ 1000 } } };
  this->entries = { this->workers.Add("w1", 4) };
  this->AcceptJob(MakeJob("old", 1, 4));
  auto expired = this->workers.Add("lapsed", 4);
  this->workers.At("lapsed").isReachable = false;
  this->BeginTerm(true, Milliseconds{ 12'400 }, { { "w1" }, { "lapsed" } });
  this->RunFor(Milliseconds{ 1500 });
  this->scheduler->OnWorkerEntry(expired);
  this->RunFor(Milliseconds{ 8000 });
  EXPECT_EQ(this->CountStarts("old"), 0U);
  this->RunFor(Milliseconds{ 3500 });
  EXPECT_EQ(this->CountStarts("old"), 1U);
}

// Guards against starting a task twice. The store is away again before the row of a worker that
// runs on can reappear, so that its absence proves nothing.
TEST_F(TakeoverTest, WaitsForUnlistedWorkersWhileTheStoreIsAway)
{
  this->suspendedLeases = { { { "left" }, this->clock.Now() + Milliseconds{ 1000 } } };
  this->entries = { this->workers.Add("w1", 4) };
  this->AcceptJob(MakeJob("old", 1, 4));
  this->BeginTerm(true, Milliseconds{ 12'400 }, { { "w1" }, { "left" } });
  for (int step = 0; step < 400; ++step) {
    this->scheduler->OnWorkerRowsUnavailable();
    this->RunFor(Milliseconds{ 10 });
  }
  this->RunFor(Milliseconds{ 2400 });
  EXPECT_EQ(this->CountStarts("old"), 0U) << "the worker's row may reappear";
  this->RunFor(Milliseconds{ 400 });
  EXPECT_EQ(this->CountStarts("old"), 1U);
}

// Guards against starting a task twice. A leader and the workers of its zone are cut off together:
// the workers' rows expire, although they still execute the leader's runs.
TEST_F(TakeoverTest, WaitsForUnlistedWorkersOfAPredecessorThatWasCutOff)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->AcceptJob(MakeJob("old", 1, 4));
  this->BeginTerm(true, Milliseconds{ 12'400 }, { { "w1" }, { "cut off" } });
  this->RunFor(Milliseconds{ 10'000 });
  EXPECT_EQ(this->CountStarts("old"), 0U);
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("old"), 1U);
}

// Guards against starting a task twice. A worker is cut off from the store only: its row expires,
// although it is in touch with its leader until that is replaced.
TEST_F(TakeoverTest, WaitsForAnUnlistedWorkerThatWasInTouchWithThePredecessor)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeJob("job", 1, 4));
  this->RunFor(Milliseconds{ 50 });
  ASSERT_EQ(this->CountStarts("job"), 1U);
  this->scheduler->OnWorkerUnlisted({ "w1" });
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_TRUE(this->scheduler->MakeLeaderReport().suspendedLeases.empty());

  this->entries = { this->workers.Add("w2", 4) };
  this->BeginTerm(true, this->options.LeaseExpiryBound(), { { "w1" } });
  this->RunFor(Milliseconds{ 5000 });
  EXPECT_EQ(this->CountStarts("job"), 1U) << "its lease goes on";
  const SuspendedLeases suspended{ { { "w1" }, this->scheduler->RemainingRecoveryTime() } };
  EXPECT_EQ(this->scheduler->MakeLeaderReport().suspendedLeases, suspended)
    << "a further leader must not start it earlier either";
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->CountStarts("job"), 2U);
}

// Failure: a worker loses the store, and its row expires just after the leader has renewed its
// record for the last time. Guards against starting its task a second time: a missing row says
// nothing of a lease.
TEST_F(TakeoverTest, WaitsForAWorkerWhoseRowExpiresAfterTheLastLeaderRecord)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeJob("job", 1, 4));
  this->RunFor(Milliseconds{ 1000 });
  ASSERT_EQ(this->CountStarts("job"), 1U);

  this->entries = { this->workers.Add("w2", 4) };
  this->BeginTerm(true, this->options.LeaseExpiryBound(), { { "w1" } });
  this->RunFor(Milliseconds{ 6000 });
  EXPECT_EQ(this->CountStarts("job"), 1U) << "its lease goes on";
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("job"), 2U);
}

// Guards against waiting for a whole lease of a worker that was silent before the change of leader:
// the record says when the last one expires.
TEST_F(TakeoverTest, SuspendsTheLeaseOfAWorkerThatDoesNotRespond)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeJob("job", 1, 4));
  this->RunFor(Milliseconds{ 50 });
  this->workers.At("w1").isReachable = false;
  this->RunFor(Milliseconds{ 4500 });
  const auto expiry = this->workers.At("w1").leaseExpiry;
  const auto suspended = this->scheduler->MakeLeaderReport().suspendedLeases;
  ASSERT_EQ(suspended.size(), 1U);
  EXPECT_GE(this->clock.Now() + suspended.at({ "w1" }), expiry);
  EXPECT_LE(this->clock.Now() + suspended.at({ "w1" }), expiry + Milliseconds{ 500 });
}

// Guards against a lease that the next leader does not wait for: the stored record says that the
// worker gets none, and the store is away when the worker responds again.
TEST_F(TakeoverTest, RenewsASuspendedLeaseOnlyOnceTheRecordOmitsIt)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->workers.At("w1").isReachable = false;
  this->RunFor(Milliseconds{ 4500 });
  this->publishesWorkers = false;
  const auto count = this->workers.leaseRenewals.size();
  const auto renewsLease = [](const LeaseRenewal& aOrder) {
    return aOrder.leaseDeadline.has_value();
  };
  const auto named = this->scheduler->MakeLeaderReport();
  this->workers.At("w1").isReachable = true;
  this->RunFor(Milliseconds{ 1000 });
  ASSERT_GT(this->workers.leaseRenewals.size(), count);
  const auto omitted = this->scheduler->MakeLeaderReport();
  EXPECT_TRUE(omitted.suspendedLeases.empty());
  this->scheduler->OnReportStored(named, ++this->store.version);
  this->AcceptJob(MakeJob("job", 1, 4));
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(std::count_if(this->workers.leaseRenewals.begin() + static_cast<std::ptrdiff_t>(count),
                          this->workers.leaseRenewals.end(),
                          renewsLease),
            0);
  EXPECT_EQ(this->CountStarts("job"), 0U) << "a start grants a lease, too";
  this->scheduler->OnReportStored(omitted, ++this->store.version);
  this->RunFor(Milliseconds{ 100 });
  EXPECT_TRUE(renewsLease(this->workers.leaseRenewals.back()));
  EXPECT_EQ(this->CountStarts("job"), 1U);
}

// Guards against waiting for a whole lease after each of several leaders: nobody has renewed it.
TEST_F(TakeoverTest, FurtherLeadersWaitNoLongerForASuspendedLease)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->AcceptJob(MakeJob("old", 1, 4));
  const auto expiry = this->clock.Now() + Milliseconds{ 4000 };
  this->suspendedLeases = { { { "left" }, expiry } };
  this->BeginTerm(true, Milliseconds{ 12'400 }, { { "w1" }, { "left" } });
  this->RunFor(Milliseconds{ 1000 });
  const auto report = this->scheduler->MakeLeaderReport();
  ASSERT_TRUE(report.suspendedLeases.contains({ "left" }));
  EXPECT_EQ(this->clock.Now() + report.suspendedLeases.at({ "left" }), expiry);
  this->BeginTerm(true, Milliseconds{ 12'400 }, { { "w1" }, { "left" } });
  this->RunFor(Milliseconds{ 2900 });
  EXPECT_EQ(this->CountStarts("old"), 0U);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("old"), 1U);
}

TEST_F(TakeoverTest, StepsDownWhenFencedByASuccessor)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->workers.At("w1").token = this->fencingToken + 10;
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_TRUE(this->hasLostLeadership);
}

// A leader that was paused wakes up after its successor has read the jobs, and before the successor
// has called the worker. If it stored the end of a run and acknowledged it, the worker would no
// longer list the end, and the successor would start the task again.
TEST_F(TakeoverTest, ALeaderThatWasReplacedAcknowledgesNoEnd)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->AcceptJob(MakeJob("job", 2, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStarts("job"), 2U);
  this->WriteTermRows();
  this->workers.End("w1", { { "job" }, { 0, 0, 0 } }, RunOutcome::Succeeded);
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->workers.leaseRenewals.back().acknowledgedSequence, 0U);
  EXPECT_EQ(this->workers.At("w1").ended.size(), 1U);
  EXPECT_TRUE(this->hasLostLeadership);
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->CountStarts("job"), 2U);
}

TEST_F(TakeoverTest, CountsFailuresReportedByTwoWorkersInAnyOrder)
{
  // "a", the worker of the later run, reports first, since "b" is unreachable at the takeover.
  this->entries = { this->workers.Add("b", 4) };
  this->AcceptJob(MakeJob("job", 1, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->store.mode = StoreMode::Unavailable;
  this->entries.push_back(this->workers.Add("a", 4));
  this->scheduler->OnWorkerEntry(this->entries.back());
  this->RunFor(Milliseconds{ 100 });
  this->workers.EndAll(RunOutcome::Failed);
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  ASSERT_EQ(this->workers.starts.back().worker.value, "a");
  this->workers.EndAll(RunOutcome::Failed);
  this->store.mode = StoreMode::Available;
  this->workers.At("b").isReachable = false;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 200 });
  this->workers.At("b").isReachable = true;
  this->RunFor(Milliseconds{ 600 });
  ASSERT_EQ(this->workers.starts.size(), 3U);
  this->workers.EndAll(RunOutcome::Failed);
  this->RunFor(Milliseconds{ 600 });
  EXPECT_EQ(this->workers.starts.size(), 3U);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Failed);
}

TEST_F(TakeoverTest, TreatsAWorkerWithARunOfAnEndedJobAsFull)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->AcceptJob(MakeJob("ended", 1, 3));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  // The job's specification is replaced by its outcome while its run still exists.
  this->store.Put(JobRowKey({ "ended" }, JobRowKind::Specification),
                  EncodeEndedJob({ .outcome = JobOutcome::Cancelled, .workspace = { "team" } }));
  this->AcceptJob(MakeJob("new", 1, 2));
  this->workers.At("w1").ignoresStops = true;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->workers.At("w1").running.size(), 1U);
  this->workers.At("w1").ignoresStops = false;
  this->workers.EndAll(RunOutcome::Stopped);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("new"), 1U);
}

TEST_F(TakeoverTest, UsesAWorkerOnlyAfterAllRunsOfUnknownDemandHaveEnded)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->AcceptJob(MakeJob("ended", 2, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->store.Put(JobRowKey({ "ended" }, JobRowKind::Specification),
                  EncodeEndedJob({ .outcome = JobOutcome::Cancelled, .workspace = { "team" } }));
  this->AcceptJob(MakeJob("new", 1, 3));
  this->workers.At("w1").ignoresStops = true;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  this->workers.End("w1", { { "ended" }, { 0, 0, 0 } }, RunOutcome::Stopped);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("new"), 0U);
  this->workers.End("w1", { { "ended" }, { 0, 0, 1 } }, RunOutcome::Stopped);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("new"), 1U);
}

TEST_F(TakeoverTest, CountsAFailureReportedInTwoTermsOnce)
{
  this->entries = { this->workers.Add("w1", 4), this->workers.Add("w2", 4) };
  this->AcceptJob(MakeJob("job", 1, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  this->workers.EndAll(RunOutcome::Failed);
  this->RunFor(Milliseconds{ 200 });
  this->workers.EndAll(RunOutcome::Failed);
  this->RunFor(Milliseconds{ 200 });
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  ASSERT_EQ(this->CountStarts("job"), 3U);
  this->workers.EndAll(RunOutcome::Failed);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Failed);
  EXPECT_EQ(this->CountStarts("job"), 3U);
}

// Guards against runs that the next leader does not find. A new worker is used before the leader
// record names it, and its own row expires while the store is unavailable, so that the next leader
// does not know about it.
TEST_F(TakeoverTest, StartsNothingAtAWorkerThatIsNotInTheLeaderRecord)
{
  this->publishesWorkers = false;
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(Milliseconds{ 500 });
  EXPECT_TRUE(this->workers.starts.empty());
  this->publishesWorkers = true;
  this->RunFor(Milliseconds{ 100 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
}

TEST_F(TakeoverTest, PublishesAListedWorkerThatDoesNotRespond)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->workers.At("w1").isReachable = false;
  this->BeginTerm();
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->scheduler->WorkersToPublish(), std::vector<std::string>{ "w1" });
  this->scheduler->OnWorkerUnlisted({ "w1" });
  EXPECT_TRUE(this->scheduler->WorkersToPublish().empty());
}

}
