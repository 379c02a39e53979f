#include "DispatchFixture.h"

namespace zinc {
namespace {

TEST_F(DispatchTest, LostStartReplyIsInspectedAndFoundRunning)
{
  this->PlaceCheck("c1");
  this->FailStart(0, RunState::MayHaveRun);
  ASSERT_EQ(this->worker->inspections.size(), 1U);
  this->AnswerInspection(TaskState::Running);
  EXPECT_EQ(this->Sent<TaskStarted>().size(), 1U);
  EXPECT_EQ(this->worker->starts.size(), 1U);
}

TEST_F(DispatchTest, LostStartReplyIsInspectedAndFoundEnded)
{
  this->PlaceCheck("c1");
  this->FailStart(0, RunState::MayHaveRun);
  this->AnswerInspection(TaskState::Succeeded);
  const auto ended = this->Sent<TaskEnded>();
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended.front().state, TaskState::Succeeded);
  EXPECT_EQ(ended.front().run, RunState::Ran);
}

TEST_F(DispatchTest, UnknownStartIsForbiddenBeforeItIsRepeated)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->Allow("b1");
  this->FailStart(0, RunState::MayHaveRun);
  this->AnswerInspection(TaskState::Unknown);
  ASSERT_EQ(this->worker->stops.size(), 1U);
  EXPECT_EQ(this->worker->starts.size(), 1U);
  EXPECT_TRUE(this->Sent<TaskEnded>().empty());
  this->AnswerStop(0, { .state = TaskState::Stopped, .neverStarted = true });
  const auto ended = this->Sent<TaskEnded>();
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended.front().run, RunState::NotRun);
  EXPECT_EQ(ended.front().after, AfterEnd::Requeued);
  EXPECT_EQ(this->worker->starts.size(), 1U) << "The next attempt needs its own claim.";
  ASSERT_EQ(this->Sent<ClaimTask>().size(), 2U);
  EXPECT_EQ(this->Sent<ClaimTask>().back().attempt.attempt, 2U);
}

TEST_F(DispatchTest, UnansweredInspectionIsRepeated)
{
  this->PlaceCheck("c1");
  this->FailStart(0, RunState::MayHaveRun);
  this->worker->inspections.back().reply(MayHaveRun(ErrorCode::Timeout, ""));
  this->Pass(Milliseconds{ 200 });
  EXPECT_EQ(this->worker->inspections.size(), 2U);
  EXPECT_TRUE(this->sent.empty());
}

TEST_F(DispatchTest, StartIsNeverSentAfterTheLeaseLapsedInAPause)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->clock.Advance(Milliseconds{ 4000 });
  this->Allow("b1");
  EXPECT_TRUE(this->worker->starts.empty());
  const auto ended = this->Sent<TaskEnded>();
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended.front().run, RunState::NotRun);
}

TEST_F(DispatchTest, ClaimOfAnEarlierTermDoesNotStartUnderALaterOne)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->LoseWorker();
  ASSERT_EQ(this->Sent<TaskEnded>().size(), 1U);
  EXPECT_EQ(this->Sent<TaskEnded>().front().run, RunState::NotRun);
  this->Allow("b1");
  EXPECT_TRUE(this->worker->starts.empty());
}

TEST_F(DispatchTest, RefusedClaimStartsNothingAndFreesTheRoom)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->executor->OnClaimDecided(
    { .attempt = { .task = { "b1" } }, .refusal = NotRun(ErrorCode::Conflict, "") });
  this->Run();
  EXPECT_TRUE(this->worker->starts.empty());
  EXPECT_EQ(this->scheduler->CurrentLoad().used, Resources{});
  EXPECT_EQ(this->scheduler->CurrentLoad().running, 0U);
}

TEST_F(DispatchTest, LossOfTheWorkerOfARunningTaskIsToldAsLost)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->Allow("b1");
  this->AnswerStart(0, TaskState::Running);
  this->LoseWorker();
  EXPECT_EQ(this->Sent<TaskLost>().size(), 1U);
  EXPECT_TRUE(this->Sent<TaskEnded>().empty());
  EXPECT_EQ(this->handOvers.forfeited, 1U);
}

TEST_F(DispatchTest, LossOfTheWorkerDuringAStartWaitsForItsReply)
{
  this->PlaceCheck("c1");
  this->LoseWorker();
  EXPECT_TRUE(this->sent.empty());
  this->AnswerStart(0, TaskState::Succeeded, "yes");
  const auto ended = this->Sent<TaskEnded>();
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended.front().result, "yes");
}

TEST_F(DispatchTest, StartLostTogetherWithItsWorkerIsToldAsLost)
{
  this->PlaceCheck("c1");
  this->LoseWorker();
  this->FailStart(0, RunState::MayHaveRun);
  EXPECT_EQ(this->Sent<TaskLost>().size(), 1U);
  EXPECT_EQ(this->executor->OpenChecks(), 0U);
}

TEST_F(DispatchTest, StartRefusedAfterTheLossOfItsWorkerIsPlacedAgain)
{
  this->PlaceCheck("c1");
  this->LoseWorker();
  this->FailStart(0, RunState::NotRun);
  this->clock.Advance(Milliseconds{ 1000 });
  this->fleet->Tick();
  this->Grant({ .term = 2, .capacity = kWorker });
  ASSERT_EQ(this->worker->starts.size(), 2U);
  EXPECT_EQ(this->worker->starts.back().task.attempt, 2U);
  EXPECT_EQ(this->worker->starts.back().term, 2U);
}

TEST_F(DispatchTest, ClaimedStartRefusedAfterTheLossOfItsWorkerGoesBackToItsDriver)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->Allow("b1");
  this->LoseWorker();
  this->FailStart(0, RunState::NotRun);
  const auto ended = this->Sent<TaskEnded>();
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended.front().run, RunState::NotRun);
  EXPECT_EQ(ended.front().after, AfterEnd::Forgotten);
}

TEST_F(DispatchTest, UncertainStartOfAnEarlierTermIsToldAsLost)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->Allow("b1");
  this->LoseWorker();
  this->clock.Advance(Milliseconds{ 1000 });
  this->fleet->Tick();
  this->Grant({ .term = 2, .capacity = kWorker });
  this->FailStart(0, RunState::MayHaveRun);
  this->AnswerInspection(TaskState::Unknown);
  ASSERT_EQ(this->worker->stops.size(), 1U);
  EXPECT_EQ(this->worker->stops.back().term, 1U);
  this->worker->stops.back().reply(NotRun(ErrorCode::StaleTerm, ""));
  this->Pass(Milliseconds{ 1000 });
  EXPECT_EQ(this->Sent<TaskLost>().size(), 1U);
  EXPECT_EQ(this->worker->inspections.size(), 1U) << "Its driver asks from now on.";
}

TEST_F(DispatchTest, RefusalAfterAnAttemptThatMayHaveRunSaysSo)
{
  this->PlaceCheck("c1");
  this->AnswerStart(0, TaskState::Stopped);
  ASSERT_EQ(this->worker->starts.size(), 2U) << "A stopped check is retried.";
  this->FailStart(1, RunState::NotRun);
  this->LoseWorker();
  this->executor->Stop({ .attempt = { .task = { "c1" } } });
  this->Run();
  ASSERT_FALSE(this->sent.empty());
  for (const auto& refusal : this->Sent<TaskRefused>()) {
    EXPECT_EQ(refusal.verdict.run, RunState::MayHaveRun);
  }
  EXPECT_TRUE(this->Sent<TaskEnded>().empty());
}

TEST_F(DispatchTest, RetryBudgetBoundsRetries)
{
  this->PlaceCheck("c1");
  std::size_t answered = 0;
  while (answered < this->worker->starts.size() && answered < 50) {
    this->AnswerStart(answered++, TaskState::Stopped);
  }
  // The budget starts with ten retries and nothing was served that could refill it.
  EXPECT_EQ(this->worker->starts.size(), 11U);
  ASSERT_EQ(this->Sent<TaskEnded>().size(), 1U);
  EXPECT_EQ(this->Sent<TaskEnded>().front().run, RunState::MayHaveRun);
}

TEST_F(DispatchTest, RefusedMemberStopsTheWholeGang)
{
  for (const auto* id : { "g1", "g2", "g3" }) {
    auto task = Task(id, "gangs", WorkClass::AllAtOnce);
    task.job = { "gang" };
    task.gangSize = 3;
    this->PlaceClaimed(std::move(task));
  }
  ASSERT_EQ(this->Sent<ClaimTask>().size(), 3U);
  for (const auto* id : { "g1", "g2", "g3" }) {
    this->Allow(id);
  }
  ASSERT_EQ(this->worker->starts.size(), 3U);
  this->AnswerStart(0, TaskState::Running);
  this->FailStart(1, RunState::NotRun);
  ASSERT_EQ(this->worker->stops.size(), 1U) << "The running member is stopped at once.";
  this->AnswerStart(2, TaskState::Running);
  ASSERT_EQ(this->worker->stops.size(), 2U) << "The one that was starting is stopped too.";
  this->AnswerStop(0, { .state = TaskState::Stopped });
  this->AnswerStop(1, { .state = TaskState::Stopped });
  EXPECT_EQ(this->Sent<TaskEnded>().size(), 3U);
  EXPECT_EQ(this->scheduler->CurrentLoad().used, Resources{});
  EXPECT_EQ(
    this->scheduler->CurrentLoad().queued.at(static_cast<std::size_t>(WorkClass::AllAtOnce)), 0U);
}

TEST_F(DispatchTest, CheckpointedTaskIsClaimedAgainWithItsProgress)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->Allow("b1");
  this->AnswerStart(0, TaskState::Running);
  const auto spec = this->worker->starts.at(0).task;
  this->worker->polls.back().reply(EventBatch{
    .lastEvent = 1,
    .changes = { { .spec = spec, .state = TaskState::Checkpointed, .progress = "half" } } });
  this->Run();
  const auto ended = this->Sent<TaskEnded>();
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended.front().after, AfterEnd::Requeued);
  EXPECT_EQ(ended.front().progress, "half");
}

TEST_F(DispatchTest, LostStopOfARunningTaskIsRepeated)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->Allow("b1");
  this->AnswerStart(0, TaskState::Running);
  this->executor->Stop({ .attempt = { .task = { "b1" } } });
  ASSERT_EQ(this->worker->stops.size(), 1U);
  this->worker->stops.back().reply(MayHaveRun(ErrorCode::Timeout, ""));
  this->Pass(Milliseconds{ 1000 });
  EXPECT_EQ(this->worker->stops.size(), 2U);
}

TEST_F(DispatchTest, LostCheckpointOfAPreemptedTaskIsRepeated)
{
  auto large = Task("b1", "rebuilds");
  large.request = kWorker;
  this->PlaceClaimed(std::move(large));
  this->Allow("b1");
  this->AnswerStart(0, TaskState::Running);
  auto urgent = Task("a1", "alarms");
  urgent.urgency = Urgency::Urgent;
  urgent.team = { "nights" };
  this->PlaceClaimed(std::move(urgent));
  this->Pass(Milliseconds{ 1500 });
  ASSERT_EQ(this->worker->stops.size(), 1U);
  EXPECT_EQ(this->worker->stops.front().mode, StopMode::Checkpoint);
  this->worker->stops.front().reply(MayHaveRun(ErrorCode::Timeout, ""));
  this->Pass(Milliseconds{ 1000 });
  ASSERT_EQ(this->worker->stops.size(), 2U);
  EXPECT_EQ(this->worker->stops.back().mode, StopMode::Checkpoint);
  this->AnswerStop(1, { .state = TaskState::Checkpointed, .progress = "half" });
  ASSERT_EQ(this->Sent<TaskEnded>().size(), 1U);
  EXPECT_EQ(this->Sent<TaskEnded>().front().after, AfterEnd::Requeued);
  ASSERT_EQ(this->Sent<ClaimTask>().size(), 2U);
  EXPECT_EQ(this->Sent<ClaimTask>().back().attempt.task, TaskId{ "a1" });
}

TEST_F(DispatchTest, ClaimIsRepeatedOnceWhenItsDriverIsReplaced)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->Pass(Milliseconds{ 100 });
  ASSERT_EQ(this->Sent<ClaimTask>().size(), 1U) << "The driver may still answer.";
  this->driver = { "successor" };
  this->Pass(Milliseconds{ 100 });
  this->Pass(Milliseconds{ 100 });
  ASSERT_EQ(this->Sent<ClaimTask>().size(), 2U);
  EXPECT_EQ(this->Sent<ClaimTask>().back().attempt.attempt, 1U);
  this->Allow("b1");
  EXPECT_EQ(this->worker->starts.size(), 1U);
}

TEST_F(DispatchTest, CancelledClaimIsNotStarted)
{
  this->PlaceClaimed(Task("b1", "rebuilds"));
  this->executor->Stop({ .attempt = { .task = { "b1" } } });
  this->Allow("b1");
  EXPECT_TRUE(this->worker->starts.empty());
  ASSERT_EQ(this->Sent<TaskEnded>().size(), 1U);
  EXPECT_EQ(this->Sent<TaskEnded>().front().run, RunState::NotRun);
}

TEST_F(DispatchTest, HandOverWaitsForChecksAndTakesNoNewWork)
{
  this->PlaceCheck("c1");
  EXPECT_EQ(this->fleet->ReleaseAll(), 1U);
  EXPECT_TRUE(this->worker->releases.empty());
  this->PlaceCheck("c2");
  EXPECT_EQ(this->worker->starts.size(), 1U);
  this->AnswerStart(0, TaskState::Succeeded);
  (void)this->fleet->ReleaseAll();
  EXPECT_EQ(this->worker->releases.size(), 1U);
}

TEST_F(DispatchTest, DeadOriginOfAQueuedCheckLeavesNothingToStart)
{
  this->LoseWorker();
  this->PlaceCheck("c1");
  ASSERT_EQ(this->executor->OpenChecks(), 1U);
  this->executor->ForgetOrigin({ "origin" });
  EXPECT_EQ(this->executor->OpenChecks(), 0U);
}

TEST_F(DispatchTest, TaskFoundOnAnAcquiredWorkerIsAdoptedNotStarted)
{
  this->LoseWorker();
  this->clock.Advance(Milliseconds{ 1000 });
  this->fleet->Tick();
  this->Grant({ .term = 2,
                .previousHolder = { "other" },
                .capacity = kWorker,
                .tasks = { { .spec = Task("b1", "rebuilds"), .state = TaskState::Running } } });
  EXPECT_TRUE(this->worker->starts.empty());
  EXPECT_EQ(this->handOvers.adopted, 1U);
  EXPECT_EQ(this->scheduler->CurrentLoad().used, kTask);
}

}
}
