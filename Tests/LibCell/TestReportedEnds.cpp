#include "CellSchedulerFixture.h"

#include <set>

namespace zinc::cell::test {

namespace {

/// Ends of runs that workers report around changes of leader, lost responses and outages.
class ReportedEndsTest : public CellSchedulerFixture
{
protected:
  void AddWorker(const std::string& aId, std::int64_t aCores = 4)
  {
    this->entries.push_back(this->workers.Add(aId, aCores));
    if (this->scheduler) {
      this->scheduler->OnWorkerEntry(this->entries.back());
    }
  }

  /// @return the number of ends that the worker keeps until they are acknowledged
  [[nodiscard]] std::size_t CountKeptEnds(const std::string& aWorker)
  {
    return this->workers.At(aWorker).ended.size();
  }

  /// @return a job "timed" of one task, due for the first time at 100 ms
  [[nodiscard]] static JobSpecification MakeTimedJob(std::uint32_t aOccurrences,
                                                     Milliseconds aInterval = Milliseconds{
                                                       60'000 })
  {
    auto timed = MakeJob("timed", 1, 1);
    timed.occurrences = aOccurrences;
    timed.interval = aInterval;
    timed.firstDue = WallTime{ Milliseconds{ 100 } };
    return timed;
  }

  void FailLatestRun()
  {
    const auto start = this->workers.starts.back();
    this->workers.End(start.worker.value, start.task, RunOutcome::Failed);
  }
};

}

// Guards against a start beyond the last attempt: a new leader finds a task running, and the run
// ends while another worker that knows of a failure has not reported yet.
TEST_F(ReportedEndsTest, AnAdoptedTaskWaitsForAllWorkersAfterItsRunHasEnded)
{
  this->AddWorker("b");
  this->AcceptJob(MakeJob("job", 1, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  this->store.mode = StoreMode::Unavailable;
  this->AddWorker("a");
  this->RunFor(Milliseconds{ 100 });
  this->FailLatestRun();
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  ASSERT_EQ(this->workers.starts.back().worker.value, "a");

  this->store.mode = StoreMode::Available;
  this->workers.At("b").isReachable = false;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 200 });
  for (int failure = 0; failure < 2; ++failure) {
    this->FailLatestRun();
    this->RunFor(Milliseconds{ 2000 });
  }
  EXPECT_LE(this->workers.starts.size(), 3U) << "b may know of a failure";
  this->workers.At("b").isReachable = true;
  this->RunFor(Milliseconds{ 1000 });
  this->FailLatestRun();
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->workers.starts.size(), 3U);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Failed);
}

// Guards against a second run beside one that goes on: a new leader finds the run, and the worker
// is cut off before that leader has granted it a lease. The predecessor's lease still holds.
TEST_F(ReportedEndsTest, ARunKeepsItsPlaceUntilThePredecessorsLeaseHasExpired)
{
  this->AddWorker("w1");
  this->AddWorker("w2");
  this->AcceptJob(MakeJob("job", 1, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 500 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  auto& worker = this->workers.At(this->workers.starts.front().worker.value);
  this->BeginTerm(true, this->options.LeaseExpiryBound());
  // The first report: the run is adopted, and no lease is granted yet.
  this->workers.Deliver();
  worker.isReachable = false;
  this->scheduler->OnWorkerUnlisted(worker.entry.id);
  EXPECT_EQ(this->scheduler->WorkersToPublish().size(), 2U) << "a further leader has to read it";
  this->RunFor(Milliseconds{ 4000 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
  this->RunFor(Milliseconds{ 4000 });
  EXPECT_EQ(this->workers.starts.size(), 2U) << "the lease has expired";
}

// Guards against a lost failure: a worker reports it again after the leader has forgotten the
// worker, while the store is away.
TEST_F(ReportedEndsTest, AFailureThatIsReportedAgainIsAcknowledgedOnlyOnceItIsStored)
{
  this->AddWorker("w1");
  this->AcceptJob(MakeJob("job", 1, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  this->store.mode = StoreMode::Unavailable;
  this->scheduler->OnWorkerUnlisted({ "w1" });
  this->FailLatestRun();
  this->RunFor(Milliseconds{ 100 });
  this->workers.At("w1").isReachable = false;
  this->RunFor(this->options.LeaseExpiryBound() + this->options.workerRemovalDelay * 2);
  ASSERT_TRUE(this->workers.disconnected.contains({ "w1" }));
  this->workers.At("w1").isReachable = true;
  this->scheduler->OnWorkerEntry(this->entries.front());
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountKeptEnds("w1"), 1U) << "the failure is not stored";
  this->store.mode = StoreMode::Available;
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountKeptEnds("w1"), 0U);
}

// Guards against running a gang again that has succeeded: one end represents all members, and the
// others were acknowledged before the success was stored.
TEST_F(ReportedEndsTest, NoEndOfAGangIsAcknowledgedBeforeItsSuccessIsStored)
{
  this->AddWorker("w1");
  this->AddWorker("w2");
  auto gang = MakeJob("gang", 2, 4);
  gang.steps.front().isGang = true;
  gang.steps.push_back({ .count = 1, .demand = { .milliCores = 8000 }, .dependsOn = { 0 } });
  this->AcceptJob(gang);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  this->store.mode = StoreMode::Unavailable;
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountKeptEnds("w1"), 1U);
  EXPECT_EQ(this->CountKeptEnds("w2"), 1U);

  // The worker whose end was read first is gone when the next leader takes over.
  this->workers.Crash("w1");
  this->store.mode = StoreMode::Available;
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 10'000 });
  EXPECT_EQ(this->CountStarts("gang"), 2U);
}

// Guards against an occurrence that is never run: only a later one has progress in the store, and
// none is due yet by the new leader's clock.
TEST_F(ReportedEndsTest, RunsTheOccurrencesBeforeTheOneThatHasProgress)
{
  this->AddWorker("w1");
  this->wallTime = WallTime{ Milliseconds{ 50 } };
  this->AcceptJob(MakeTimedJob(3, Milliseconds{ 10 }));
  this->store.Put(JobRowKey({ "timed" }, JobRowKind::Progress),
                  EncodeProgress({ .hasStarted = true,
                                   .tasks = { { .key = { 2, 0, 0 }, .failedRuns = { 1 } } } }));
  this->BeginTerm();
  this->wallTime = WallTime{ Milliseconds{ 200 } };
  this->RunFor(Milliseconds{ 500 });
  std::set<std::uint32_t> started;
  for (const auto& start : this->workers.starts) {
    started.insert(start.task.key.occurrence);
  }
  EXPECT_EQ(started, (std::set<std::uint32_t>{ 0, 1, 2 }));
}

// Guards against a second run of an occurrence: the next leader's clock is behind, so that the
// occurrence is not due there yet when a worker reports its run.
TEST_F(ReportedEndsTest, CountsTheEndOfAnOccurrenceThatIsNotDueByTheNextLeadersClock)
{
  this->AddWorker("w1");
  this->wallTime = WallTime{ Milliseconds{ 200 } };
  this->AcceptJob(MakeTimedJob(2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->CountStarts("timed"), 1U);
  this->store.mode = StoreMode::Unavailable;
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 100 });

  this->store.mode = StoreMode::Available;
  this->wallTime = WallTime{ Milliseconds{ 50 } };
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 500 });
  this->wallTime = WallTime{ Milliseconds{ 200 } };
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("timed"), 1U);
}

// The same while the run goes on: it is not to be stopped.
TEST_F(ReportedEndsTest, AdoptsTheRunOfAnOccurrenceThatIsNotDueByTheNextLeadersClock)
{
  this->AddWorker("w1");
  this->wallTime = WallTime{ Milliseconds{ 200 } };
  this->AcceptJob(MakeTimedJob(2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->CountStarts("timed"), 1U);

  this->wallTime = WallTime{ Milliseconds{ 50 } };
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 500 });
  EXPECT_TRUE(this->workers.stops.empty());
  EXPECT_EQ(this->workers.At("w1").running.size(), 1U);
}

// Guards against a start beyond the last attempt: the failures come together by the merge of a
// stored row, or the row holds as many as a lowered limit allows.
TEST_F(ReportedEndsTest, EndsAJobWhoseStoredFailuresReachTheLimit)
{
  this->AddWorker("w1");
  this->AcceptJob(MakeJob("job", 1, 1));
  this->store.Put(
    JobRowKey({ "job" }, JobRowKind::Progress),
    EncodeProgress(
      { .hasStarted = true, .tasks = { { .key = { 0, 0, 0 }, .failedRuns = { 1, 2, 3 } } } }));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->CountStarts("job"), 0U);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Failed);
}

// Guards against a start beyond the last attempt, and a second run: a report does not hold all ends
// of its worker, and a run in neither list was taken for one that does not exist.
TEST_F(ReportedEndsTest, ARunWhoseEndIsNotListedYetIsNotStartedAgain)
{
  this->policy.routes.front().queue.maxAttempts = 1;
  this->workers.maxReportedEnds = 1;
  this->AddWorker("w1");
  this->AcceptJob(MakeJob("first", 1, 1));
  this->AcceptJob(MakeJob("second", 1, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  this->store.mode = StoreMode::Unavailable;
  this->workers.EndAll(RunOutcome::Failed);
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->workers.starts.size(), 2U) << "the next leader has read one of the ends";
  this->store.mode = StoreMode::Available;
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->workers.starts.size(), 2U);
  EXPECT_EQ(this->StatusOf("first").outcome, JobOutcome::Failed);
  EXPECT_EQ(this->StatusOf("second").outcome, JobOutcome::Failed);
}

}
