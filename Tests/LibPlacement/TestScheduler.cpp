#include "SchedulerFixture.h"

namespace zinc {

using TestScheduler = SchedulerTest;

TEST_F(TestScheduler, StartsAsManyTasksAsFit)
{
  this->AddWorkers(1);
  for (int index = 0; index < 9; ++index) {
    this->EnqueueAccepted(this->MakeTask("t" + std::to_string(index)));
  }
  this->Decide();
  EXPECT_EQ(this->starts.size(), 8);
  this->scheduler->ReportEnd(this->starts.front().task.id, TaskOutcome::Succeeded, this->now);
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, "t8");
}

TEST_F(TestScheduler, StartsTasksUpToTheAllowance)
{
  this->AddWorkers(2);
  this->scheduler->SetAllowance({ "days" }, { .milliCores = 3000, .memoryMiB = 3000, .slots = 3 });
  for (int index = 0; index < 5; ++index) {
    this->EnqueueAccepted(this->MakeTask("t" + std::to_string(index)));
  }
  this->Decide();
  EXPECT_EQ(this->starts.size(), 3);
  this->scheduler->SetAllowance({ "days" }, kUnlimited);
  this->Decide();
  EXPECT_EQ(this->starts.size(), 2);
}

TEST_F(TestScheduler, StartsNothingForATeamWithoutAnAllowance)
{
  this->AddWorkers(1);
  this->EnqueueAccepted(this->MakeTask("t", "rebuilds", kOneSlotRequest, "strangers"));
  this->Decide();
  EXPECT_TRUE(this->starts.empty());
}

TEST_F(TestScheduler, StartsAllMembersOfAGangTogether)
{
  this->AddWorkers(2);
  for (int index = 0; index < 10; ++index) {
    this->EnqueueAccepted(this->MakeTask("b" + std::to_string(index)));
  }
  this->Decide();
  const auto running = this->starts;
  for (int index = 0; index < 8; ++index) {
    TaskSpec task = this->MakeTask("g" + std::to_string(index), "gangs");
    task.job = { "gang" };
    task.gangSize = 8;
    this->EnqueueAccepted(task);
    this->Decide();
    EXPECT_TRUE(this->starts.empty());
  }
  this->scheduler->ReportEnd(running[0].task.id, TaskOutcome::Succeeded, this->now);
  this->Decide();
  EXPECT_TRUE(this->starts.empty());
  this->scheduler->ReportEnd(running[1].task.id, TaskOutcome::Succeeded, this->now);
  this->Decide();
  EXPECT_EQ(this->starts.size(), 8);
}

TEST_F(TestScheduler, RejectsATaskAtItsDeadlineAsNotRun)
{
  this->AddWorkers(1, kOneSlotRequest);
  this->EnqueueAccepted(this->MakeTask("first"));
  this->Decide();
  TaskSpec late = this->MakeTask("late");
  late.deadline = Milliseconds(50);
  this->EnqueueAccepted(late);
  this->Decide();
  EXPECT_TRUE(this->rejections.empty());
  this->now += Milliseconds(50);
  this->Decide();
  ASSERT_EQ(this->rejections.size(), 1);
  EXPECT_EQ(this->rejections.front().verdict.code, ErrorCode::DeadlineExceeded);
  EXPECT_EQ(this->rejections.front().verdict.run, RunState::NotRun);
  EXPECT_EQ(this->scheduler->Cancel({ "late" }), CancelOutcome::NotFound);
}

TEST_F(TestScheduler, RejectsTasksThatCanNeverRun)
{
  this->AddWorkers(1);
  const auto tooLarge = this->scheduler->Enqueue(
    this->MakeTask("t", "rebuilds", { .milliCores = 8001, .memoryMiB = 1, .slots = 1 }), this->now);
  ASSERT_TRUE(IsError(tooLarge));
  EXPECT_EQ(ErrorOf(tooLarge).code, ErrorCode::Impossible);
  EXPECT_EQ(ErrorOf(tooLarge).run, RunState::NotRun);
  const auto unknownQueue =
    this->scheduler->Enqueue(this->MakeTask("t", "no-such-queue"), this->now);
  ASSERT_TRUE(IsError(unknownQueue));
  EXPECT_EQ(ErrorOf(unknownQueue).code, ErrorCode::NotFound);
}

TEST_F(TestScheduler, CancelsQueuedAndRunningTasks)
{
  this->AddWorkers(1, kOneSlotRequest);
  this->EnqueueAccepted(this->MakeTask("running"));
  this->EnqueueAccepted(this->MakeTask("queued"));
  this->Decide();
  EXPECT_EQ(this->scheduler->Cancel({ "queued" }), CancelOutcome::WasQueued);
  EXPECT_EQ(this->scheduler->Cancel({ "running" }), CancelOutcome::IsRunning);
  EXPECT_EQ(this->scheduler->Cancel({ "unknown" }), CancelOutcome::NotFound);
  this->scheduler->ReportEnd({ "running" }, TaskOutcome::NotStarted, this->now);
  this->Decide();
  EXPECT_TRUE(this->starts.empty());
}

TEST_F(TestScheduler, RequeuesARejectedStartAtItsPreviousPosition)
{
  this->AddWorkers(1, kOneSlotRequest);
  this->EnqueueAccepted(this->MakeTask("first"));
  this->EnqueueAccepted(this->MakeTask("second"));
  this->Decide();
  this->scheduler->ReportEnd({ "first" }, TaskOutcome::NotStarted, this->now);
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, "first");
  EXPECT_EQ(this->starts.front().task.attempt, 2);
}

TEST_F(TestScheduler, AllocatesForAdoptedTasksAndReturnsThemWhenTheirWorkerIsRemoved)
{
  this->AddWorkers(1, kOneSlotRequest);
  this->scheduler->Adopt(this->MakeTask("found"), { "w0" }, this->now);
  this->EnqueueAccepted(this->MakeTask("next"));
  this->Decide();
  EXPECT_TRUE(this->starts.empty());
  EXPECT_EQ(this->scheduler->CurrentLoad().used, kOneSlotRequest);
  const auto lost = this->scheduler->RemoveWorker({ "w0" });
  ASSERT_EQ(lost.size(), 1);
  EXPECT_EQ(lost.front().id.value, "found");
  EXPECT_EQ(this->scheduler->RunningResources({ "days" }), Resources{});
}

TEST_F(TestScheduler, PlacesNothingOnADrainingWorker)
{
  this->AddWorkers(1);
  this->scheduler->SetWorkerMode({ "w0" }, WorkerMode::Draining);
  this->EnqueueAccepted(this->MakeTask("t"));
  this->Decide();
  EXPECT_TRUE(this->starts.empty());
  this->scheduler->SetWorkerMode({ "w0" }, WorkerMode::Accepting);
  this->Decide();
  EXPECT_EQ(this->starts.size(), 1);
}

}
