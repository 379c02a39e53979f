#include "SchedulerFixture.h"

namespace zinc {

/// One worker, filled with six tasks of one team and two of the other.
class TestPreemption : public SchedulerTest
{
protected:
  void SetUp() override
  {
    SchedulerTest::SetUp();
    this->AddWorkers(1);
  }

  /// Starts the eight tasks, and lets them run for 1 ms.
  void FillCell(Idempotence aIdempotence = Idempotence::Idempotent)
  {
    for (int index = 0; index < 8; ++index) {
      TaskSpec task = this->Task(
        "t" + std::to_string(index), "rebuilds", kOneEighth, index < 6 ? "nights" : "days");
      task.idempotence = aIdempotence;
      this->EnqueueOk(task);
    }
    this->Decide();
    ASSERT_EQ(this->starts.size(), 8);
    this->now += Milliseconds(1);
  }

  void WaitForPreemption() { this->now += this->document.placement.preemptAfter; }
};

TEST_F(TestPreemption, PreemptsTheTeamFurthestOverItsShare)
{
  this->FillCell();
  this->EnqueueOk(this->Task("urgent", "alarms"));
  this->Decide();
  EXPECT_TRUE(this->preempts.empty()) << "preempted before the policy's delay";
  this->WaitForPreemption();
  this->Decide();
  ASSERT_EQ(this->preempts.size(), 1);
  const std::string victim = this->preempts.front().task.value;
  EXPECT_LT(victim, "t6");
  this->EnqueueMany(8, "greedy", "rebuilds", "days");
  this->End(victim, TaskOutcome::Stopped);
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, "urgent");
}

TEST_F(TestPreemption, ReservesPartlyFreedRoomForTheUrgentTask)
{
  this->FillCell();
  this->EnqueueOk(
    this->Task("urgent", "alarms", { .milliCores = 2000, .memoryMiB = 2000, .slots = 2 }));
  this->WaitForPreemption();
  this->Decide();
  ASSERT_EQ(this->preempts.size(), 2);
  this->EnqueueMany(8, "small", "rebuilds", "days");
  this->EnqueueMany(8, "check", "checks", "days");
  const auto victims = this->preempts;
  this->End(victims[0].task.value, TaskOutcome::Stopped);
  this->Decide();
  EXPECT_TRUE(this->starts.empty()) << "the room went to a task without the reservation";
  this->End(victims[1].task.value, TaskOutcome::Stopped);
  this->Decide();
  ASSERT_FALSE(this->starts.empty());
  EXPECT_EQ(this->starts.front().task.id.value, "urgent");
}

TEST_F(TestPreemption, RequeuesThePreemptedTaskAtItsOldPosition)
{
  this->FillCell();
  this->EnqueueMany(8, "later", "rebuilds", "nights");
  this->EnqueueOk(this->Task("urgent", "alarms"));
  this->WaitForPreemption();
  this->Decide();
  ASSERT_EQ(this->preempts.size(), 1);
  const std::string victim = this->preempts.front().task.value;
  this->End(victim, TaskOutcome::Stopped);
  this->Decide();
  this->End("urgent");
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, victim);
  EXPECT_EQ(this->starts.front().task.attempt, 2);
}

TEST_F(TestPreemption, DoesNotGiveTheRoomToALaterUrgentTask)
{
  this->FillCell();
  this->EnqueueOk(this->Task("older", "alarms", kOneEighth, "nights"));
  this->WaitForPreemption();
  this->Decide();
  ASSERT_EQ(this->preempts.size(), 1);
  const std::string victim = this->preempts.front().task.value;
  // The other team has the smaller share, so its task is tried first.
  this->EnqueueOk(this->Task("younger", "alarms", kOneEighth, "days"));
  this->End(victim, TaskOutcome::Stopped);
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, "older");
}

TEST_F(TestPreemption, DoesNotPreemptNonIdempotentTasks)
{
  this->FillCell(Idempotence::NonIdempotent);
  this->EnqueueOk(this->Task("urgent", "alarms"));
  this->WaitForPreemption();
  this->Decide();
  EXPECT_TRUE(this->preempts.empty());
}

TEST_F(TestPreemption, LimitsPreemptionsPerTask)
{
  Document bounded = SampleDocument();
  bounded.placement.maxPreemptions = 2;
  this->Reset({}, bounded);
  this->AddWorkers(1);
  this->EnqueueOk(this->Task("victim", "rebuilds", kSmallWorker));
  this->Decide();
  for (std::uint32_t round = 0; round < 3; ++round) {
    this->now += Milliseconds(1);
    const std::string urgent = "urgent" + std::to_string(round);
    this->EnqueueOk(this->Task(urgent, "alarms"));
    this->WaitForPreemption();
    this->Decide();
    if (round == 2) {
      EXPECT_TRUE(this->preempts.empty());
      return;
    }
    ASSERT_EQ(this->preempts.size(), 1);
    this->End("victim", TaskOutcome::Stopped);
    this->Decide();
    this->End(urgent);
    this->Decide();
    ASSERT_EQ(this->starts.size(), 1);
  }
}

TEST_F(TestPreemption, PreemptsATaskThatOutgrowsItsWorker)
{
  this->FillCell();
  this->scheduler->ReportUsage({ "t3" }, { .milliCores = 900, .memoryMiB = 3000 }, this->now);
  this->Decide();
  ASSERT_EQ(this->preempts.size(), 1);
  EXPECT_EQ(this->preempts.front().task.value, "t3");
  EXPECT_EQ(this->preempts.front().reason, PreemptReason::OverDeclaredSize);
  this->End("t3", TaskOutcome::Stopped);
  this->End("t4");
  this->Decide();
  EXPECT_TRUE(this->starts.empty()) << "the task does not fit by its measured usage";
  this->End("t5");
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, "t3");
}

}
