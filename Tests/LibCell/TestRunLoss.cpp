#include <LibCell/RunLoss.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

bool
IsLost(bool aIsReported, WorkerLossReason aReason)
{
  return IsRunLost({ .isReported = aIsReported }, aReason);
}

}

// Guards against two runs of a task: only a run that a report listed was at the incarnation that
// has ended.
TEST(RunLoss, ARestartUnderTheSameIdLosesReportedRunsOnly)
{
  for (const auto reason :
       { WorkerLossReason::RowOfNextIncarnation, WorkerLossReason::ReportOfNextIncarnation }) {
    EXPECT_TRUE(IsLost(true, reason));
    EXPECT_FALSE(IsLost(false, reason));
  }
}

// Guards against waiting for an id that takes no more orders.
TEST(RunLoss, AnotherWorkerOnTheMachineLosesAllRuns)
{
  for (const auto reason : { WorkerLossReason::Superseded, WorkerLossReason::AddressReused }) {
    EXPECT_TRUE(IsLost(false, reason));
  }
}

}
