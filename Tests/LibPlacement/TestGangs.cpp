#include "SchedulerFixture.h"

#include <map>

namespace zinc {

/// Keeps the cell saturated with small tasks while a gang waits.
class TestGangs : public SchedulerTest
{
protected:
  /// Runs rounds of 100 ms in which small tasks arrive faster than they end. They declare a run
  /// time of 1 ms but run for @p aRunTime and up to 2 s longer, so planned starts are missed.
  /// @return the round in which the first task with the prefix started, or -1 if none did.
  int RunUntilStart(const std::string& aPrefix,
                    int aMaxRounds,
                    Milliseconds aRunTime,
                    TaskOutcome aOutcome = TaskOutcome::Succeeded)
  {
    for (int round = 0; round < aMaxRounds; ++round) {
      for (int index = 0; index < 12; ++index) {
        TaskSpec task = this->MakeTask("small" + std::to_string(this->nextNumber++));
        task.expectedRun = Milliseconds(1);
        this->EnqueueAccepted(task);
      }
      this->Decide();
      for (const StartTask& start : this->starts) {
        if (start.task.id.value.starts_with(aPrefix)) {
          return round;
        }
        this->endTimes.emplace(this->now + aRunTime + Milliseconds(37 * (this->nextNumber++ % 53)),
                               start.task.id.value);
      }
      this->now += Milliseconds(100);
      while (!this->endTimes.empty() && this->endTimes.begin()->first <= this->now) {
        this->ReportEnd(this->endTimes.begin()->second, aOutcome);
        this->endTimes.erase(this->endTimes.begin());
      }
    }
    return -1;
  }

  int nextNumber = 0;
  std::multimap<TimePoint, std::string> endTimes;
};

TEST_F(TestGangs, AreNotStarvedBySmallTasksWithWrongEstimates)
{
  this->AddWorkers(4);
  EXPECT_EQ(this->RunUntilStart("gang", 20, Milliseconds(2000)), -1);
  this->EnqueueGang("gang", 4, kSmallWorker);
  const int rounds = this->RunUntilStart("gang", 600, Milliseconds(2000));
  EXPECT_GE(rounds, 0) << "starved for a minute";
  EXPECT_LE(rounds, 400);
}

TEST_F(TestGangs, AreNotStarvedByFailingTasks)
{
  // Run times are learned only from tasks that succeed, so the expected ends stay wrong here.
  this->AddWorkers(4);
  EXPECT_EQ(this->RunUntilStart("gang", 20, Milliseconds(2000), TaskOutcome::Failed), -1);
  this->EnqueueGang("gang", 4, kSmallWorker);
  const int rounds = this->RunUntilStart("gang", 600, Milliseconds(2000), TaskOutcome::Failed);
  EXPECT_GE(rounds, 0) << "starved for a minute";
  EXPECT_LE(rounds, 400);
}

TEST_F(TestGangs, LargeSingleTasksAreNotStarvedBySmallTasks)
{
  this->AddWorkers(4);
  EXPECT_EQ(this->RunUntilStart("large", 20, Milliseconds(2000)), -1);
  this->EnqueueAccepted(this->MakeTask("large", "rebuilds", kSmallWorker));
  EXPECT_GE(this->RunUntilStart("large", 600, Milliseconds(2000)), 0);
}

TEST_F(TestGangs, RunOneAfterAnotherIfBothNeedTheSameRoom)
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
  int endedBeforeStart = 0;
  for (const StartTask& member : members) {
    this->now += Milliseconds(100);
    this->Decide();
    if (!this->starts.empty()) {
      break;
    }
    this->ReportEnd(member.task.id.value);
    ++endedBeforeStart;
  }
  // The first gang takes 20 of 32 slots; the second one needs eight more than the remaining twelve.
  EXPECT_EQ(endedBeforeStart, 8);
  EXPECT_EQ(this->starts.size(), 20);
}

TEST_F(TestGangs, AllowBackfillThatEndsBeforeThePlannedStart)
{
  this->AddWorkers(2);
  TaskSpec runningTask = this->MakeTask("holder");
  runningTask.expectedRun = Milliseconds(60'000);
  this->EnqueueAccepted(runningTask);
  this->Decide();
  this->EnqueueGang("gang", 2, kSmallWorker);
  this->Decide();
  EXPECT_TRUE(this->starts.empty());
  TaskSpec shortTask = this->MakeTask("brief");
  shortTask.expectedRun = Milliseconds(1000);
  TaskSpec longTask = this->MakeTask("lasting");
  longTask.expectedRun = Milliseconds(120'000);
  this->EnqueueAccepted(shortTask);
  this->EnqueueAccepted(longTask);
  this->Decide();
  ASSERT_EQ(this->starts.size(), 1);
  EXPECT_EQ(this->starts.front().task.id.value, "brief");
}

TEST_F(TestGangs, ArePreemptedIfOneMemberHasToRestart)
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
