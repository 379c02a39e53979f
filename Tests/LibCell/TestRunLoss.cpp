#include <LibCell/RunLoss.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

constexpr TimePoint kExpiry{ Milliseconds{ 1000 } };
constexpr Milliseconds kOrderDelay{ 500 };

bool
IsLostAt(const Worker& aWorker, bool aIsReported, WorkerLossReason aReason, TimePoint aNow)
{
  return IsRunLost(aWorker, { .isReported = aIsReported }, aReason, aNow, kOrderDelay);
}

}

// Guards against two runs of a task: only a run that a report listed was at the incarnation that
// has ended.
TEST(RunLoss, ARestartUnderTheSameIdLosesReportedRunsOnly)
{
  const Worker worker{ .leaseExpiry = kExpiry };
  for (const auto reason :
       { WorkerLossReason::RowOfNextIncarnation, WorkerLossReason::ReportOfNextIncarnation }) {
    EXPECT_TRUE(IsLostAt(worker, true, reason, kExpiry));
    EXPECT_FALSE(IsLostAt(worker, false, reason, kExpiry + 2 * kOrderDelay));
  }
}

// Guards against two runs of a task, of which the next incarnation starts one late, and against
// waiting without end for a silent worker or for one that is gone.
TEST(RunLoss, AnExpiredLeaseLosesAnUnreportedRunOnceItCannotStartAnyMore)
{
  Worker worker{ .leaseExpiry = kExpiry };
  const auto reason = WorkerLossReason::LeaseExpired;
  EXPECT_TRUE(IsLostAt(worker, true, reason, kExpiry));
  EXPECT_FALSE(IsLostAt(worker, false, reason, kExpiry + kOrderDelay));
  EXPECT_TRUE(IsLostAt(worker, false, reason, kExpiry + kOrderDelay + Milliseconds{ 1 }));
  worker.isListed = false;
  EXPECT_TRUE(IsLostAt(worker, false, reason, kExpiry));
}

// Guards against waiting for an id that takes no more orders.
TEST(RunLoss, AnotherWorkerOnTheMachineLosesAllRuns)
{
  const Worker worker{ .leaseExpiry = kExpiry };
  for (const auto reason : { WorkerLossReason::Superseded, WorkerLossReason::AddressReused }) {
    EXPECT_TRUE(IsLostAt(worker, false, reason, kExpiry));
  }
}

}
