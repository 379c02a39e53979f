#include <LibCell/Job.h>
#include <LibCell/StepAdvice.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

TEST(StepAdvice, ANewTicketReplacesTheOneForTheSameWorker)
{
  StepAdvice advice;
  advice.AddTicket({ .worker = 7, .text = "old" });
  advice.AddTicket({ .worker = 3, .text = "other" });
  advice.AddTicket({ .worker = 7, .text = "new" });
  ASSERT_EQ(advice.Tickets().size(), 2U);
  EXPECT_EQ(advice.Tickets().front().worker, 3U);
  ASSERT_NE(advice.FindTicket(7), nullptr);
  EXPECT_EQ(advice.FindTicket(7)->text, "new");
  EXPECT_EQ(advice.FindTicket(5), nullptr);
}

TEST(StepAdvice, AFailedRequestMayBeRepeatedExceptForEligibleWorkers)
{
  StepAdvice advice;
  advice.MarkRequested(1);
  advice.MarkRequested(2);
  advice.MarkRequested(2);
  EXPECT_EQ(advice.RequestedCount(), 2U);
  advice.AddTicket({ .worker = 1 });
  advice.ForgetRequest(1);
  advice.ForgetRequest(2);
  advice.ForgetRequest(9);
  EXPECT_TRUE(advice.WasRequested(1));
  EXPECT_FALSE(advice.WasRequested(2));
  EXPECT_FALSE(advice.WasRequested(9));
  EXPECT_EQ(advice.RequestedCount(), 1U);
}

// The placement round skips steps by this count instead of looking at each task.
TEST(StepRun, CountsItsWaitingTasks)
{
  StepRun run;
  run.CreateTasks(3);
  EXPECT_FALSE(run.IsPending());
  run.isReady = true;
  EXPECT_TRUE(run.IsPending());
  run.SetPhase(run.tasks[0], TaskPhase::Placed);
  run.SetPhase(run.tasks[0], TaskPhase::Succeeded);
  run.SetPhase(run.tasks[1], TaskPhase::Placed);
  run.SetPhase(run.tasks[2], TaskPhase::Placed);
  EXPECT_EQ(run.waitingTasks, 0U);
  EXPECT_FALSE(run.IsPending());
  run.SetPhase(run.tasks[1], TaskPhase::Waiting);
  run.SetPhase(run.tasks[1], TaskPhase::Waiting);
  EXPECT_EQ(run.waitingTasks, 1U);
}

}
