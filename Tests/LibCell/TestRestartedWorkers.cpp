#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

/// Workers that start again under their ids. The next incarnation knows nothing of the previous one
/// and takes its orders.
class RestartedWorkerTest : public CellSchedulerFixture
{
protected:
  /// Runs a job at the only worker, so that the leader acknowledges its end.
  void RunAcknowledgedJob()
  {
    this->entries = { this->workers.Add("w1", 4) };
    this->AcceptJob(MakeJob("first", 1, 1));
    this->BeginTerm();
    this->RunFor(Milliseconds{ 300 });
    this->workers.EndAll();
    this->RunFor(Milliseconds{ 500 });
    ASSERT_EQ(this->StatusOf("first").outcome, JobOutcome::Succeeded);
    ASSERT_TRUE(this->workers.At("w1").ended.empty());
  }

  /// Starts a job at the worker w1, which has started again without the leader's knowledge, and
  /// adds the worker w2.
  /// @return the row of w1's next incarnation
  WorkerEntry StartAtNextIncarnation()
  {
    this->entries = { this->workers.Add("w1", 4) };
    this->BeginTerm();
    this->RunFor(Milliseconds{ 300 });
    const auto next = this->workers.RestartAtOnce("w1");
    this->AcceptJob(MakeJob("job", 1, 1));
    this->RecordAndStart();
    this->entries = { next, this->workers.Add("w2", 4) };
    this->scheduler->OnWorkerEntry(this->entries.back());
    return next;
  }

  /// Sends the start of an accepted job, whose record the store holds at once.
  void RecordAndStart()
  {
    this->scheduler->Tick();
    this->scheduler->Tick();
  }

  /// @return the largest number of runs of the task of "job" at one time
  std::size_t CountCopiesDuring(Milliseconds aDuration)
  {
    constexpr Milliseconds kStep{ 10 };
    std::size_t most = 0;
    for (Milliseconds elapsed{ 0 }; elapsed < aDuration; elapsed += kStep) {
      this->RunFor(kStep);
      std::size_t copies = 0;
      for (const auto& entry : this->entries) {
        const auto& running = this->workers.At(entry.id.value).running;
        copies += static_cast<std::size_t>(std::ranges::count_if(
          running, [](const auto& aRun) { return aRun.second.task.job.value == "job"; }));
      }
      most = std::max(most, copies);
    }
    return most;
  }
};

}

// Guards against a task that starts again after it has succeeded: an acknowledgement that was made
// for the worker's previous incarnation makes the next one forget an end that nobody has read.
TEST_F(RestartedWorkerTest, DoesNotAcknowledgeEndsOfTheNextIncarnation)
{
  this->RunAcknowledgedJob();
  const auto entry = this->workers.RestartAtOnce("w1");
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RecordAndStart();
  ASSERT_EQ(this->CountStarts("job"), 1U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  this->scheduler->OnWorkerEntry(entry);
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("job"), 1U);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

// Guards against two runs of a task: the next incarnation of a worker accepts a start before its
// row shows that the previous one has ended.
TEST_F(RestartedWorkerTest, KeepsARunThatTheNextIncarnationAcceptedBeforeItsRowArrives)
{
  const auto next = this->StartAtNextIncarnation();
  this->workers.Deliver();
  this->workers.At("w1").losesResponses = true;
  this->scheduler->OnWorkerEntry(next);
  EXPECT_EQ(this->CountCopiesDuring(Milliseconds{ 500 }), 1U);
  this->workers.At("w1").losesResponses = false;
  EXPECT_EQ(this->CountCopiesDuring(Milliseconds{ 3000 }), 1U);
  EXPECT_EQ(this->CountStarts("job"), 1U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

// Guards against a task that is lost with its worker: a start that was accepted last is not at the
// next incarnation.
TEST_F(RestartedWorkerTest, StartsATaskAgainThatThePreviousIncarnationAccepted)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 300 });
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RecordAndStart();
  this->workers.Deliver();
  ASSERT_EQ(this->CountStarts("job"), 1U);
  this->scheduler->OnWorkerEntry(this->workers.RestartAtOnce("w1"));
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("job"), 2U);
}

// Guards against two runs of a task: a start without a response is carried out by the next
// incarnation, where its deadline means a later time, and the worker is cut off until the leader
// takes the lease to have expired.
TEST_F(RestartedWorkerTest, WaitsForACutOffWorkerWhoseNextIncarnationMayCarryOutALateStart)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->workers.At("w1").delaysStarts = true;
  this->BeginTerm();
  this->RunFor(Milliseconds{ 300 });
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(kStartDelay);
  ASSERT_EQ(this->workers.CountDelayedStarts(), 1U);
  this->workers.restartDelay = Milliseconds{ 300 };
  this->workers.Crash("w1");
  this->RunFor(Milliseconds{ 310 });
  this->workers.At("w1").isReachable = false;
  this->entries.push_back(this->workers.Add("w2", 4));
  this->scheduler->OnWorkerEntry(this->entries.back());
  EXPECT_EQ(this->CountCopiesDuring(Milliseconds{ 9000 }), 1U);
  this->workers.At("w1").isReachable = true;
  this->RunFor(Milliseconds{ 2000 });
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

// Failure: the leader is killed a second after a worker has started again. Guards against a
// successor that waits for late orders, since the leader waited for an end before it knew the
// worker fenced.
TEST_F(RestartedWorkerTest, IsReportedAsFencedSoonAfterARestart)
{
  this->RunAcknowledgedJob();
  auto next = this->workers.RestartAtOnce("w1");
  next.incarnation = this->wallTime.time_since_epoch().count();
  this->workers.At("w1").entry = next;
  this->scheduler->OnWorkerEntry(next);
  this->RunFor(Milliseconds{ 100 });
  const FencedIncarnations fenced{ { { "w1" }, next.incarnation } };
  EXPECT_EQ(this->scheduler->MakeLeaderReport().fencedIncarnations, fenced);
}

// Guards against a task that waits without end for a worker that is cut off and keeps its row.
TEST_F(RestartedWorkerTest, GivesUpAnUnansweredStartOnceItCannotBeCarriedOut)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->workers.At("w1").losesResponses = true;
  this->BeginTerm();
  this->RunFor(Milliseconds{ 300 });
  this->workers.At("w1").losesResponses = false;
  this->RunFor(Milliseconds{ 300 });
  this->workers.At("w1").losesResponses = true;
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(kStartDelay);
  this->workers.At("w1").isReachable = false;
  this->entries.push_back(this->workers.Add("w2", 4));
  this->scheduler->OnWorkerEntry(this->entries.back());
  this->RunFor(this->options.LeaseExpiryBound() + this->options.maxOrderDelay +
               Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("job"), 2U);
}

// Guards against a task that starts again after it has succeeded: the next incarnation carries out
// a late renewal of the previous one, with its acknowledgement, after it has reported.
TEST_F(RestartedWorkerTest, FencesALateRenewalOfThePreviousIncarnation)
{
  this->RunAcknowledgedJob();
  const auto late = this->workers.leaseRenewals.back();
  ASSERT_GT(late.acknowledgedSequence, 0U);
  this->scheduler->OnWorkerEntry(this->workers.RestartAtOnce("w1"));
  this->RunFor(Milliseconds{ 1000 });
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(Milliseconds{ 300 });
  ASSERT_EQ(this->CountStarts("job"), 1U);
  this->workers.EndAll();
  this->workers.RepeatRenewal(late);
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("job"), 1U);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
  EXPECT_FALSE(this->hasLostLeadership);
}

// Guards against a worker that is used without a higher fencing token than its previous
// incarnation.
TEST_F(RestartedWorkerTest, StartsNothingAtANewIncarnationWithoutAHigherFencingToken)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->publishesWorkers = false;
  this->BeginTerm();
  this->scheduler->OnReportStored(this->scheduler->MakeLeaderReport(), this->fencingToken);
  this->RunFor(Milliseconds{ 300 });
  this->scheduler->OnWorkerEntry(this->workers.RestartAtOnce("w1"));
  this->RunFor(Milliseconds{ 300 });
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("job"), 0U);
  this->scheduler->OnReportStored(this->scheduler->MakeLeaderReport(), ++this->store.version);
  this->RunFor(Milliseconds{ 300 });
  ASSERT_EQ(this->CountStarts("job"), 1U);
  EXPECT_GT(this->workers.starts.back().token, this->fencingToken);
}

// Guards against two runs of a task: the deadline of a renewal for the previous incarnation means a
// later time to the next one, so that leases there outlast what the leader requested.
TEST_F(RestartedWorkerTest, WaitsForALeaseThatWasRequestedByThePreviousClock)
{
  this->options.maxLease = Milliseconds{ 3000 };
  this->entries = { this->workers.Add("w1", 4) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 300 });
  const auto late = this->workers.leaseRenewals.back();
  ASSERT_TRUE(late.leaseDeadline);
  const auto next = this->workers.RestartAtOnce("w1");
  this->workers.RepeatRenewal(late);
  this->scheduler->OnWorkerEntry(next);
  this->RunFor(Milliseconds{ 300 });
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(Milliseconds{ 300 });
  ASSERT_EQ(this->CountStarts("job"), 1U);
  this->workers.At("w1").isReachable = false;
  this->entries = { next, this->workers.Add("w2", 4) };
  this->scheduler->OnWorkerEntry(this->entries.back());
  EXPECT_EQ(this->CountCopiesDuring(Milliseconds{ 7000 }), 1U);
  EXPECT_EQ(this->CountStarts("job"), 2U);
}

// Guards against starts that a restarted worker rejects, since a ticket is valid at one
// incarnation.
TEST_F(RestartedWorkerTest, RequestsNewTicketsForANewIncarnation)
{
  this->policy.routes.front().queue.needsAdvice = true;
  this->policy.routes.front().queue.advice = { .ticketValidity = Milliseconds{ 60'000 } };
  this->entries = { this->workers.Add("w1", 1) };
  auto spec = MakeJob("job", 2, 1);
  spec.queue.needsAdvice = true;
  this->AcceptJob(spec);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 500 });
  ASSERT_EQ(this->CountStarts("job"), 1U);
  const auto earlier = this->workers.starts.back().ticket;
  this->scheduler->OnWorkerEntry(this->workers.RestartAtOnce("w1"));
  this->RunFor(Milliseconds{ 500 });
  ASSERT_EQ(this->CountStarts("job"), 2U);
  EXPECT_NE(this->workers.starts.back().ticket, earlier);
}

}
