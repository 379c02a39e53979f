#include "SchedulerFixture.h"

#include <map>

namespace zinc {

/// Keeps a cell of four workers busy with small tasks while a gang waits.
class TestGangs : public SchedulerTest
{
protected:
  /// Runs rounds of 100 ms in which new small tasks arrive faster than old ones end. @return the
  /// rounds until the first task of the prefix started, or -1.
  int RoundsUntilStart(const std::string& aPrefix,
                       int aRounds,
                       Milliseconds aRealRun,
                       TaskOutcome aOutcome = TaskOutcome::Succeeded)
  {
    for (int round = 0; round < aRounds; ++round) {
      for (int index = 0; index < 12; ++index) {
        TaskSpec task = this->MakeTask("small" + std::to_string(this->names++));
        task.expectedRun = Milliseconds(1);
        this->EnqueueAccepted(task);
      }
      this->Decide();
      for (const StartTask& start : this->starts) {
        if (start.task.id.value.starts_with(aPrefix)) {
          return round;
        }
        this->ends.emplace(this->now + aRealRun + Milliseconds(37 * (this->names++ % 53)),
                           start.task.id.value);
      }
      this->now += Milliseconds(100);
      while (!this->ends.empty() && this->ends.begin()->first <= this->now) {
        this->ReportEnd(this->ends.begin()->second, aOutcome);
        this->ends.erase(this->ends.begin());
      }
    }
    return -1;
  }

  int names = 0;
  std::multimap<TimePoint, std::string> ends;
};

TEST_F(TestGangs, AreNotStarvedBySmallTasksWithWrongEstimates)
{
  this->AddWorkers(4);
  EXPECT_EQ(this->RoundsUntilStart("gang", 20, Milliseconds(2000)), -1);
  this->EnqueueGang("gang", 4, kSmallWorker);
  const int rounds = this->RoundsUntilStart("gang", 600, Milliseconds(2000));
  EXPECT_GE(rounds, 0) << "starved for a minute";
  EXPECT_LE(rounds, 400);
}

TEST_F(TestGangs, AreNotStarvedByTasksWhoseRunTimesAreNeverLearned)
{
  // Only the run times of tasks that succeed are learned from.
  this->AddWorkers(4);
  EXPECT_EQ(this->RoundsUntilStart("gang", 20, Milliseconds(2000), TaskOutcome::Failed), -1);
  this->EnqueueGang("gang", 4, kSmallWorker);
  const int rounds = this->RoundsUntilStart("gang", 600, Milliseconds(2000), TaskOutcome::Failed);
  EXPECT_GE(rounds, 0) << "starved for a minute";
  EXPECT_LE(rounds, 400);
}

TEST_F(TestGangs, LargeSingleTasksAreNotStarvedEither)
{
  this->AddWorkers(4);
  EXPECT_EQ(this->RoundsUntilStart("large", 20, Milliseconds(2000)), -1);
  this->EnqueueAccepted(this->MakeTask("large", "rebuilds", kSmallWorker));
  EXPECT_GE(this->RoundsUntilStart("large", 600, Milliseconds(2000)), 0);
}

TEST_F(TestGangs, OfWhichTwoWantTheSameRoomRunOneAfterTheOther)
{
  this->AddWorkers(4);
  this->EnqueueGang("one", 20);
  this->EnqueueGang("two", 20);
  this->Decide();
  ASSERT_EQ(this->starts.size(), 20);
  const std::string first = this->starts.front().task.job.value;
  for (const StartTask& start : this->starts) {
    EXPECT_EQ(start.task.job.value, first);
  }
  const auto members = this->starts;
  int endsBeforeStart = 0;
  for (const StartTask& member : members) {
    this->now += Milliseconds(100);
    this->Decide();
    if (!this->starts.empty()) {
      break;
    }
    this->ReportEnd(member.task.id.value);
    ++endsBeforeStart;
  }
  // Twelve of the 32 places were free beside the first gang.
  EXPECT_EQ(endsBeforeStart, 8);
  EXPECT_EQ(this->starts.size(), 20);
}

TEST_F(TestGangs, WaitBesideBackfillThatFits)
{
  this->AddWorkers(2);
  TaskSpec holder = this->MakeTask("holder");
  holder.expectedRun = Milliseconds(60'000);
  this->EnqueueAccepted(holder);
  this->Decide();
  this->EnqueueGang("gang", 2, kSmallWorker);
  this->Decide();
  EXPECT_TRUE(this->starts.empty());
  TaskSpec brief = this->MakeTask("brief");
  brief.expectedRun = Milliseconds(1000);
  TaskSpec lasting = this->MakeTask("lasting");
  lasting.expectedRun = Milliseconds(120'000);
  this->EnqueueAccepted(brief);
  this->EnqueueAccepted(lasting);
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, "brief");
}

TEST_F(TestGangs, StopTogetherIfOneMemberHasToStartAgain)
{
  this->AddWorkers(1);
  this->EnqueueGang("gang", 3);
  this->Decide();
  ASSERT_EQ(this->starts.size(), 3);
  this->ReportEnd("gang1", TaskOutcome::NotStarted);
  this->Decide();
  EXPECT_TRUE(this->starts.empty());
  ASSERT_EQ(this->preemptions.size(), 2);
  EXPECT_EQ(this->preemptions.front().reason, PreemptReason::IncompleteGang);
  this->ReportEnd("gang0", TaskOutcome::Stopped);
  this->Decide();
  EXPECT_TRUE(this->starts.empty());
  this->ReportEnd("gang2", TaskOutcome::Stopped);
  this->Decide();
  EXPECT_EQ(this->starts.size(), 3);
}

}
