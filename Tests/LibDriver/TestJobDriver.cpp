#include "DriverFixture.h"

namespace zinc {
namespace {

TEST_F(DriverTest, JobIsClaimedThenStartedThenAnswered)
{
  this->one->Submit("r1", "rebuilds", Milliseconds{ 10'000 });
  this->Pass(Milliseconds{ 100 });
  const auto attempt = this->one->LastPlaced();
  this->one->Claim(attempt);
  EXPECT_TRUE(this->one->Sent<ClaimDecided>().empty()) << "The start is not recorded yet.";
  this->Pass(Milliseconds{ 100 });
  ASSERT_EQ(this->one->Sent<ClaimDecided>().size(), 1U);
  EXPECT_FALSE(this->one->Sent<ClaimDecided>().front().refusal);
  this->one->End(attempt, TaskState::Succeeded, RunState::Ran);
  EXPECT_TRUE(this->one->answers.empty()) << "The end is not recorded yet.";
  this->Pass(Milliseconds{ 100 });
  ASSERT_EQ(this->one->answers.size(), 1U);
  ASSERT_FALSE(IsError(this->one->answers.front()));
  EXPECT_EQ(ValueOf(this->one->answers.front()).result, "done");
  EXPECT_EQ(this->one->driver->OpenJobs(), 0U);
}

TEST_F(DriverTest, DuplicateSubmissionsMakeOneJob)
{
  this->one->Submit("r1", "swaps");
  this->one->Submit("r1", "swaps");
  this->two->Submit("r1", "swaps");
  this->Pass(Milliseconds{ 2000 });
  ASSERT_EQ(this->one->answers.size(), 2U);
  ASSERT_EQ(this->two->answers.size(), 1U);
  EXPECT_EQ(ValueOf(this->one->answers[0]).job, ValueOf(this->one->answers[1]).job);
  EXPECT_EQ(ValueOf(this->one->answers[0]).job, ValueOf(this->two->answers[0]).job);
  EXPECT_EQ(this->one->Sent<PlaceTask>().size() + this->two->Sent<PlaceTask>().size(), 1U);
}

TEST_F(DriverTest, SecondClaimOfAnAttemptForAnotherStartIsRefused)
{
  const auto attempt = this->StartJob("r1", "swaps");
  const ClaimTask otherWorker{ .attempt = attempt, .worker = { "w2" }, .term = 3 };
  const ClaimTask otherTerm{ .attempt = attempt, .worker = { "w1" }, .term = 4 };
  const ClaimTask sameStart{ .attempt = attempt, .worker = { "w1" }, .term = 3 };
  this->one->driver->OnClaim({ "owner" }, otherWorker);
  this->one->driver->OnClaim({ "owner" }, otherTerm);
  this->one->driver->OnClaim({ "other owner" }, sameStart);
  this->Pass(Milliseconds{ 100 });
  const auto decided = this->one->Sent<ClaimDecided>();
  ASSERT_EQ(decided.size(), 4U);
  for (std::size_t index = 1; index < decided.size(); ++index) {
    EXPECT_TRUE(decided[index].refusal) << index;
  }
}

TEST_F(DriverTest, ClaimWhoseAnswerWasLostIsAnsweredAlike)
{
  const auto attempt = this->StartJob("r1", "swaps");
  this->one->Claim(attempt);
  this->Pass(Milliseconds{ 100 });
  const auto decided = this->one->Sent<ClaimDecided>();
  ASSERT_EQ(decided.size(), 2U);
  EXPECT_FALSE(decided.back().refusal);
}

TEST_F(DriverTest, NewDriverLeavesARunningAttemptAlone)
{
  const auto attempt = this->StartJob("r1", "swaps");
  this->ChangeDriver();
  this->AnswerInspection(TaskState::Running);
  this->Pass(Milliseconds{ 500 });
  EXPECT_TRUE(this->two->Sent<PlaceTask>().empty());
  this->two->Claim({ .task = attempt.task, .attempt = 2 });
  this->Pass(Milliseconds{ 500 });
  ASSERT_EQ(this->two->Sent<ClaimDecided>().size(), 1U);
  EXPECT_TRUE(this->two->Sent<ClaimDecided>().front().refusal);
}

TEST_F(DriverTest, NewDriverTakesOverTheEndOfAnAttempt)
{
  (void)this->StartJob("r1", "swaps");
  this->ChangeDriver();
  this->AnswerInspection(TaskState::Succeeded, "swapped");
  this->Pass(Milliseconds{ 500 });
  this->ExpectAnswer(*this->two, "r1", JobState::Succeeded, RunState::Ran);
  EXPECT_TRUE(this->two->Sent<PlaceTask>().empty());
}

TEST_F(DriverTest, UnknownAttemptIsForbiddenBeforeAnother)
{
  (void)this->StartJob("r1", "swaps");
  this->ChangeDriver();
  this->AnswerInspection(TaskState::Unknown);
  ASSERT_EQ(this->world.worker->stops.size(), 1U);
  EXPECT_EQ(this->world.worker->stops.front().term, 3U);
  EXPECT_TRUE(this->two->Sent<PlaceTask>().empty());
  this->AnswerStop(TaskStatus{ .state = TaskState::Stopped, .neverStarted = true });
  this->Pass(Milliseconds{ 500 });
  EXPECT_EQ(this->two->LastPlaced().attempt, 2U);
}

TEST_F(DriverTest, UnknownAttemptOfAnEarlierTermIsAskedAboutOnceMore)
{
  (void)this->StartJob("r1", "swaps");
  this->ChangeDriver();
  this->AnswerInspection(TaskState::Unknown);
  const auto before = this->world.worker->inspections.size();
  this->AnswerStop(NotRun(ErrorCode::StaleTerm, ""));
  ASSERT_EQ(this->world.worker->inspections.size(), before + 1);
  EXPECT_TRUE(this->two->Sent<PlaceTask>().empty());
  this->AnswerInspection(TaskState::Unknown);
  this->Pass(Milliseconds{ 500 });
  EXPECT_EQ(this->two->LastPlaced().attempt, 2U);
}

TEST_F(DriverTest, AttemptFoundAfterItsTermWasOverIsNotRepeated)
{
  (void)this->StartJob("r1", "swaps");
  this->ChangeDriver();
  this->AnswerInspection(TaskState::Unknown);
  this->AnswerStop(NotRun(ErrorCode::StaleTerm, ""));
  this->AnswerInspection(TaskState::Running);
  this->Pass(Milliseconds{ 500 });
  EXPECT_TRUE(this->two->Sent<PlaceTask>().empty());
}

TEST_F(DriverTest, NonIdempotentJobOfAGoneWorkerMayHaveRun)
{
  (void)this->StartJob("r1", "swaps");
  this->world.isWorkerListed = false;
  this->ChangeDriver();
  this->Pass(Milliseconds{ 25'000 });
  EXPECT_EQ(this->two->driver->OpenJobs(), 1U) << "The list may lag.";
  this->Pass(Milliseconds{ 10'000 });
  this->ExpectAnswer(*this->two, "r1", JobState::Failed, RunState::MayHaveRun);
  EXPECT_TRUE(this->two->Sent<PlaceTask>().empty());
}

TEST_F(DriverTest, IdempotentJobOfAGoneWorkerIsPlacedAgain)
{
  (void)this->StartJob("r1", "rebuilds");
  this->world.isWorkerListed = false;
  this->ChangeDriver();
  this->Pass(Milliseconds{ 35'000 });
  EXPECT_EQ(this->two->LastPlaced().attempt, 2U);
}

// Guards against a task that nobody places again: its worker is gone, while the owner that lost it
// lives on.
TEST_F(DriverTest, PlacesATaskAgainWhoseWorkerIsGoneAndWhoseOwnerLives)
{
  const auto attempt = this->StartJob("r1", "rebuilds");
  this->world.isWorkerListed = false;
  this->one->driver->OnLost({ "owner" }, { .attempt = attempt, .worker = { "w1" } });
  this->Pass(Milliseconds{ 35'000 });
  EXPECT_EQ(this->one->LastPlaced().attempt, 2U);
}

// Guards against a task that takes one worker after another with it for as long as its job lives.
TEST_F(DriverTest, GivesUpAnIdempotentTaskWhoseWorkersAreLostAgainAndAgain)
{
  (void)this->StartJob("r1", "rebuilds");
  this->world.isWorkerListed = false;
  this->ChangeDriver();
  constexpr std::uint32_t kMostStarts = 5;
  for (std::uint32_t attempt = 2; attempt <= kMostStarts + 1; ++attempt) {
    this->Pass(Milliseconds{ 35'000 });
    const auto placed = this->two->LastPlaced();
    if (placed.attempt != attempt) {
      break;
    }
    this->two->Claim(placed);
    this->Pass(Milliseconds{ 100 });
    this->two->driver->OnLost({ "owner" }, { .attempt = placed, .worker = { "w1" } });
  }
  this->Pass(Milliseconds{ 35'000 });
  EXPECT_GE(this->two->LastPlaced().attempt, 3U);
  EXPECT_LE(this->two->LastPlaced().attempt, kMostStarts);
  this->ExpectAnswer(*this->two, "r1", JobState::Failed, RunState::MayHaveRun);
}

TEST_F(DriverTest, SupersededDriverCannotAllowAStart)
{
  this->one->Submit("r1", "swaps");
  this->Pass(Milliseconds{ 100 });
  const auto attempt = this->one->LastPlaced();
  this->one->link->isFrozen = true;
  this->two->driver->Drive({ 0 });
  this->Pass(Milliseconds{ 1000 });
  this->one->Claim(attempt);
  this->Pass(Milliseconds{ 100 });
  this->one->link->isFrozen = false;
  this->one->driver->Drive({});
  this->Pass(Milliseconds{ 1000 });
  for (const auto& decided : this->one->Sent<ClaimDecided>()) {
    EXPECT_TRUE(decided.refusal);
  }
  this->two->Claim(this->two->LastPlaced());
  this->Pass(Milliseconds{ 100 });
  ASSERT_EQ(this->two->Sent<ClaimDecided>().size(), 1U);
  EXPECT_FALSE(this->two->Sent<ClaimDecided>().front().refusal);
}

TEST_F(DriverTest, ClaimWithoutAnAnswerOfTheTableStartsNothingAndIsResolved)
{
  this->one->Submit("r1", "swaps");
  this->Pass(Milliseconds{ 100 });
  this->world.platform.SetFaults({ .loseReply = 1.0 });
  this->one->Claim(this->one->LastPlaced());
  this->Pass(Milliseconds{ 10 });
  this->world.platform.SetAvailability(MemoryAvailability::Down);
  this->Pass(Milliseconds{ 6000 });
  const auto decided = this->one->Sent<ClaimDecided>();
  ASSERT_EQ(decided.size(), 1U);
  ASSERT_TRUE(decided.front().refusal);
  this->world.platform.SetFaults({});
  this->world.platform.SetAvailability(MemoryAvailability::Up);
  // The record took effect: the attempt is ruled out at its worker before there is another.
  constexpr int kRounds = 4;
  std::size_t answered = 0;
  for (int round = 0; round < kRounds && this->one->Sent<ClaimDecided>().back().refusal; ++round) {
    this->Pass(Milliseconds{ 2000 });
    if (this->world.worker->inspections.size() > answered) {
      answered = this->world.worker->inspections.size();
      this->AnswerInspection(TaskState::Unknown);
      this->AnswerStop(TaskStatus{ .state = TaskState::Stopped, .neverStarted = true });
      this->Pass(Milliseconds{ 2000 });
    }
    this->one->Claim(this->one->LastPlaced());
    this->Pass(Milliseconds{ 200 });
  }
  EXPECT_GT(answered, 0U);
  EXPECT_FALSE(this->one->Sent<ClaimDecided>().back().refusal) << "The job must go on.";
  EXPECT_EQ(this->one->LastPlaced().attempt, 2U);
}

TEST_F(DriverTest, OutcomeThatCouldNotBeRecordedIsAskedForAgain)
{
  const auto attempt = this->StartJob("r1", "swaps");
  this->world.platform.SetAvailability(MemoryAvailability::Down);
  this->one->End(attempt, TaskState::Succeeded, RunState::Ran);
  this->Pass(Milliseconds{ 7000 });
  this->world.platform.SetAvailability(MemoryAvailability::Up);
  this->Pass(Milliseconds{ 2000 });
  this->AnswerInspection(TaskState::Succeeded, "done");
  this->ExpectAnswer(*this->one, "r1", JobState::Succeeded, RunState::Ran);
  EXPECT_EQ(this->one->Sent<PlaceTask>().size(), 1U);
}

TEST_F(DriverTest, RequeuedAttemptWhoseEndCouldNotBeRecordedIsResolved)
{
  const auto attempt = this->StartJob("r1", "rebuilds");
  this->world.platform.SetAvailability(MemoryAvailability::Down);
  this->one->driver->OnEnded({ "owner" },
                             { .attempt = attempt,
                               .state = TaskState::Checkpointed,
                               .run = RunState::MayHaveRun,
                               .progress = "half",
                               .after = AfterEnd::Requeued });
  this->one->Claim({ .task = attempt.task, .attempt = 2 });
  this->Pass(Milliseconds{ 7000 });
  ASSERT_TRUE(this->one->Sent<ClaimDecided>().back().refusal);
  this->world.platform.SetAvailability(MemoryAvailability::Up);
  this->Pass(Milliseconds{ 8000 });
  ASSERT_FALSE(this->world.worker->inspections.empty()) << "Nobody else knows how it ended.";
}

TEST_F(DriverTest, PreemptedAttemptIsFollowedByAClaimOfTheNext)
{
  const auto attempt = this->StartJob("r1", "rebuilds");
  this->one->driver->OnEnded({ "owner" },
                             { .attempt = attempt,
                               .state = TaskState::Checkpointed,
                               .run = RunState::MayHaveRun,
                               .progress = "half",
                               .after = AfterEnd::Requeued });
  this->one->Claim({ .task = attempt.task, .attempt = 2 });
  this->Pass(Milliseconds{ 200 });
  const auto decided = this->one->Sent<ClaimDecided>();
  ASSERT_EQ(decided.size(), 2U);
  EXPECT_FALSE(decided.back().refusal);
  EXPECT_EQ(this->one->Sent<PlaceTask>().size(), 1U) << "Its owner has queued it already.";
  this->ChangeDriver();
  this->AnswerInspection(TaskState::Unknown);
  this->AnswerStop(TaskStatus{ .state = TaskState::Stopped, .neverStarted = true });
  this->Pass(Milliseconds{ 500 });
  ASSERT_EQ(this->two->Sent<PlaceTask>().size(), 1U);
  EXPECT_EQ(this->two->Sent<PlaceTask>().front().task.progress, "half");
}

TEST_F(DriverTest, CancelledQueuedJobIsNotRun)
{
  this->one->Submit("r1", "swaps");
  this->Pass(Milliseconds{ 100 });
  this->one->Cancel("r1");
  this->Pass(Milliseconds{ 200 });
  EXPECT_EQ(this->one->Sent<StopTask>().size(), 1U);
  this->one->Claim(this->one->LastPlaced());
  this->Pass(Milliseconds{ 100 });
  EXPECT_TRUE(this->one->Sent<ClaimDecided>().back().refusal);
  this->ExpectAnswer(*this->one, "r1", JobState::Cancelled, RunState::NotRun);
}

TEST_F(DriverTest, CancelledRunningJobEndsWithItsTask)
{
  const auto attempt = this->StartJob("r1", "swaps");
  this->one->Cancel("r1");
  this->Pass(Milliseconds{ 200 });
  ASSERT_EQ(this->one->Sent<StopTask>().size(), 1U);
  EXPECT_EQ(this->one->driver->OpenJobs(), 1U);
  this->one->End(attempt, TaskState::Stopped, RunState::MayHaveRun);
  this->Pass(Milliseconds{ 200 });
  this->ExpectAnswer(*this->one, "r1", JobState::Cancelled, RunState::MayHaveRun);
}

TEST_F(DriverTest, CancellationDuringAClaimNeverLeavesTheTaskRunning)
{
  this->one->Submit("r1", "swaps");
  this->Pass(Milliseconds{ 100 });
  const auto attempt = this->one->LastPlaced();
  this->one->Claim(attempt);
  this->one->Cancel("r1");
  this->Pass(Milliseconds{ 200 });
  ASSERT_EQ(this->one->Sent<ClaimDecided>().size(), 1U);
  if (!this->one->Sent<ClaimDecided>().front().refusal) {
    this->one->driver->OnStarted({ "owner" }, { .attempt = attempt, .worker = { "w1" } });
    EXPECT_FALSE(this->one->Sent<StopTask>().empty());
    this->one->End(attempt, TaskState::Stopped, RunState::MayHaveRun);
    this->Pass(Milliseconds{ 200 });
  }
  EXPECT_EQ(this->one->driver->OpenJobs(), 0U);
}

TEST_F(DriverTest, DeathOfAnOwnerPlacesOnlyWhatWasNotClaimed)
{
  const auto claimed = this->StartJob("r1", "swaps");
  this->one->Submit("r2", "swaps");
  this->Pass(Milliseconds{ 100 });
  ASSERT_EQ(this->one->Sent<PlaceTask>().size(), 2U);
  this->one->driver->OnOwnerDead({ "owner" });
  this->one->driver->OnOwnerDead({ "one" });
  this->Pass(Milliseconds{ 200 });
  const auto placed = this->one->Sent<PlaceTask>();
  ASSERT_EQ(placed.size(), 3U);
  EXPECT_NE(placed.back().task.id, claimed.task);
  EXPECT_FALSE(this->world.worker->inspections.empty());
  EXPECT_EQ(this->world.worker->inspections.front().task, claimed.task);
}

TEST_F(DriverTest, RepeatedClaimIsAnsweredOnce)
{
  this->one->Submit("r1", "swaps");
  this->Pass(Milliseconds{ 100 });
  this->one->Claim(this->one->LastPlaced());
  this->one->Claim(this->one->LastPlaced());
  this->Pass(Milliseconds{ 200 });
  ASSERT_EQ(this->one->Sent<ClaimDecided>().size(), 1U);
  EXPECT_FALSE(this->one->Sent<ClaimDecided>().front().refusal);
}

TEST_F(DriverTest, DeathOfAnOwnerDuringItsClaimIsResolved)
{
  this->one->Submit("r1", "swaps");
  this->Pass(Milliseconds{ 100 });
  this->one->Claim(this->one->LastPlaced());
  this->one->driver->OnOwnerDead({ "owner" });
  this->Pass(Milliseconds{ 200 });
  ASSERT_EQ(this->one->Sent<ClaimDecided>().size(), 1U);
  EXPECT_TRUE(this->one->Sent<ClaimDecided>().front().refusal);
  this->AnswerInspection(TaskState::Unknown);
  this->AnswerStop(TaskStatus{ .state = TaskState::Stopped, .neverStarted = true });
  this->Pass(Milliseconds{ 500 });
  EXPECT_EQ(this->one->LastPlaced().attempt, 2U);
}

TEST_F(DriverTest, LostGangMemberLeavesNoOtherRunning)
{
  this->one->Submit("r1", "gangs", {}, 2);
  this->Pass(Milliseconds{ 100 });
  const auto placed = this->one->Sent<PlaceTask>();
  ASSERT_EQ(placed.size(), 2U);
  for (const auto& place : placed) {
    this->one->Claim({ .task = place.task.id });
  }
  this->Pass(Milliseconds{ 100 });
  this->one->End({ .task = placed[0].task.id }, TaskState::Failed, RunState::Ran);
  this->Pass(Milliseconds{ 100 });
  ASSERT_EQ(this->one->Sent<StopTask>().size(), 1U);
  EXPECT_EQ(this->one->Sent<StopTask>().front().attempt.task, placed[1].task.id);
  EXPECT_EQ(this->one->Sent<PlaceTask>().size(), 2U) << "Nothing starts while a member may run.";
  this->one->End({ .task = placed[1].task.id }, TaskState::Stopped, RunState::MayHaveRun);
  this->Pass(Milliseconds{ 500 });
  EXPECT_EQ(this->one->Sent<PlaceTask>().size(), 4U);
}

}
}
