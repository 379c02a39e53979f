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
      TaskSpec task = this->MakeTask(
        "t" + std::to_string(index), "rebuilds", kOneSlotRequest, index < 6 ? "nights" : "days");
      task.idempotence = aIdempotence;
      this->EnqueueAccepted(task);
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
  this->EnqueueAccepted(this->MakeTask("urgent", "alarms"));
  this->Decide();
  EXPECT_TRUE(this->preemptions.empty()) << "preempted before the policy's delay";
  this->WaitForPreemption();
  this->Decide();
  ASSERT_EQ(this->preemptions.size(), 1);
  const std::string victim = this->preemptions.front().task.value;
  EXPECT_LT(victim, "t6");
  this->EnqueueMany(8, "greedy", "rebuilds", "days");
  this->ReportEnd(victim, TaskOutcome::Stopped);
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, "urgent");
}

TEST_F(TestPreemption, ReservesPartlyFreedRoomForTheUrgentTask)
{
  this->FillCell();
  this->EnqueueAccepted(
    this->MakeTask("urgent", "alarms", { .milliCores = 2000, .memoryMiB = 2000, .slots = 2 }));
  this->WaitForPreemption();
  this->Decide();
  ASSERT_EQ(this->preemptions.size(), 2);
  this->EnqueueMany(8, "small", "rebuilds", "days");
  this->EnqueueMany(8, "check", "checks", "days");
  const auto victims = this->preemptions;
  this->ReportEnd(victims[0].task.value, TaskOutcome::Stopped);
  this->Decide();
  EXPECT_TRUE(this->starts.empty()) << "the room went to a task without the reservation";
  this->ReportEnd(victims[1].task.value, TaskOutcome::Stopped);
  this->Decide();
  ASSERT_FALSE(this->starts.empty());
  EXPECT_EQ(this->starts.front().task.id.value, "urgent");
}

TEST_F(TestPreemption, RequeuesThePreemptedTaskAtItsOldPosition)
{
  this->FillCell();
  this->EnqueueMany(8, "later", "rebuilds", "nights");
  this->EnqueueAccepted(this->MakeTask("urgent", "alarms"));
  this->WaitForPreemption();
  this->Decide();
  ASSERT_EQ(this->preemptions.size(), 1);
  const std::string victim = this->preemptions.front().task.value;
  this->ReportEnd(victim, TaskOutcome::Stopped);
  this->Decide();
  this->ReportEnd("urgent");
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, victim);
  EXPECT_EQ(this->starts.front().task.attempt, 2);
}

TEST_F(TestPreemption, DoesNotGiveTheRoomToALaterUrgentTask)
{
  this->FillCell();
  this->EnqueueAccepted(this->MakeTask("older", "alarms", kOneSlotRequest, "nights"));
  this->WaitForPreemption();
  this->Decide();
  ASSERT_EQ(this->preemptions.size(), 1);
  const std::string victim = this->preemptions.front().task.value;
  // The other team has the smaller share, so its task is tried first.
  this->EnqueueAccepted(this->MakeTask("younger", "alarms", kOneSlotRequest, "days"));
  this->ReportEnd(victim, TaskOutcome::Stopped);
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, "older");
}

TEST_F(TestPreemption, DoesNotPreemptNonIdempotentTasks)
{
  this->FillCell(Idempotence::NonIdempotent);
  this->EnqueueAccepted(this->MakeTask("urgent", "alarms"));
  this->WaitForPreemption();
  this->Decide();
  EXPECT_TRUE(this->preemptions.empty());
}

TEST_F(TestPreemption, LimitsPreemptionsPerTask)
{
  Document bounded = SampleDocument();
  bounded.placement.maxPreemptions = 2;
  this->Reset({}, bounded);
  this->AddWorkers(1);
  this->EnqueueAccepted(this->MakeTask("victim", "rebuilds", kSmallWorker));
  this->Decide();
  for (std::uint32_t round = 0; round < 3; ++round) {
    this->now += Milliseconds(1);
    const std::string urgent = "urgent" + std::to_string(round);
    this->EnqueueAccepted(this->MakeTask(urgent, "alarms"));
    this->WaitForPreemption();
    this->Decide();
    if (round == 2) {
      EXPECT_TRUE(this->preemptions.empty());
      return;
    }
    ASSERT_EQ(this->preemptions.size(), 1);
    this->ReportEnd("victim", TaskOutcome::Stopped);
    this->Decide();
    this->ReportEnd(urgent);
    this->Decide();
    ASSERT_EQ(this->starts.size(), 1);
  }
}

TEST_F(TestPreemption, PreemptsATaskThatOutgrowsItsWorker)
{
  this->FillCell();
  this->scheduler->ReportUsage({ "t3" }, { .milliCores = 900, .memoryMiB = 3000 }, this->now);
  this->Decide();
  ASSERT_EQ(this->preemptions.size(), 1);
  EXPECT_EQ(this->preemptions.front().task.value, "t3");
  EXPECT_EQ(this->preemptions.front().reason, PreemptReason::ExceededRequest);
  this->ReportEnd("t3", TaskOutcome::Stopped);
  this->ReportEnd("t4");
  this->Decide();
  EXPECT_TRUE(this->starts.empty()) << "the task does not fit by its measured usage";
  this->ReportEnd("t5");
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, "t3");
}

}
