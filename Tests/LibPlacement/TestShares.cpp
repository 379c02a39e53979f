#include "SchedulerFixture.h"

namespace zinc {

/// Two teams, days and nights, with shares of 3 and 1 in a cell of 32 slots.
class TestShares : public SchedulerTest
{
protected:
  void SetUp() override
  {
    Document sharesThreeToOne = SampleDocument();
    sharesThreeToOne.teams[0].share = 3;
    this->Reset({}, sharesThreeToOne);
    this->AddWorkers(4);
  }

  /// In each round of 100 ms, ends the task that was started first and starts tasks in the freed
  /// room.
  void ReplaceRunningTasks(int aRounds)
  {
    for (int round = 0; round < aRounds; ++round) {
      this->now += Milliseconds(100);
      if (!this->running.empty()) {
        this->ReportEnd(this->running.front());
        this->running.erase(this->running.begin());
      }
      this->DecideAndTrackStarts();
    }
  }

  void DecideAndTrackStarts()
  {
    this->Decide();
    for (const StartTask& start : this->starts) {
      this->running.push_back(start.task.id.value);
    }
  }

  std::vector<std::string> running;
};

TEST_F(TestShares, DividesASaturatedCellByWeight)
{
  this->EnqueueMany(100, "d", "rebuilds", "days");
  this->EnqueueMany(100, "n", "rebuilds", "nights");
  this->Decide();
  EXPECT_EQ(this->RunningSlots("days"), 24);
  EXPECT_EQ(this->RunningSlots("nights"), 8);
}

TEST_F(TestShares, LetsATeamBorrowIdleCapacityUntilAnotherNeedsIt)
{
  this->EnqueueMany(100, "n", "rebuilds", "nights");
  this->DecideAndTrackStarts();
  EXPECT_EQ(this->RunningSlots("nights"), 32);
  this->EnqueueMany(100, "d", "rebuilds", "days");
  this->ReplaceRunningTasks(24);
  EXPECT_EQ(this->RunningSlots("days"), 24);
  EXPECT_EQ(this->RunningSlots("nights"), 8);
}

TEST_F(TestShares, CountsTheDominantResource)
{
  const Resources memoryBound{ .milliCores = 100, .memoryMiB = 4000, .slots = 1 };
  const Resources cpuBound{ .milliCores = 1000, .memoryMiB = 100, .slots = 1 };
  for (int index = 0; index < 50; ++index) {
    this->EnqueueAccepted(
      this->MakeTask("d" + std::to_string(index), "rebuilds", memoryBound, "days"));
    this->EnqueueAccepted(
      this->MakeTask("n" + std::to_string(index), "rebuilds", cpuBound, "nights"));
  }
  this->Decide();
  // Six tasks take 75% of the memory; the other team gets a third of that share of the cores.
  EXPECT_EQ(this->RunningSlots("days"), 6);
  EXPECT_GE(this->RunningSlots("nights"), 8);
}

TEST_F(TestShares, ManyChecksOfOneTeamDoNotStarveAnother)
{
  this->document.queues[0].maxQueued = 10'000;
  this->scheduler->ApplyDocument(this->document);
  this->EnqueueMany(2000, "flood", "checks", "nights");
  this->EnqueueMany(900, "d", "rebuilds", "days");
  this->DecideAndTrackStarts();
  this->ReplaceRunningTasks(200);
  EXPECT_GE(this->RunningSlots("days"), 22);
  EXPECT_GE(this->RunningSlots("nights"), 7);
}

TEST_F(TestShares, KeepsHeadroomForChecksWhileBatchSaturates)
{
  this->AddWorkers(16);
  this->EnqueueMany(1, "first", "checks");
  this->DecideAndTrackStarts();
  this->ReportEnd("first0");
  this->EnqueueMany(1000, "b");
  this->Decide();
  const auto batchStarts = this->starts.size();
  EXPECT_LT(batchStarts, 160);
  EXPECT_GE(batchStarts, 152) << "more than 5% of the capacity is kept free";
  this->EnqueueMany(3, "check", "checks");
  this->Decide();
  EXPECT_EQ(this->starts.size(), 3);
}

TEST_F(TestShares, SpreadsServicesOverRacks)
{
  for (int index = 0; index < 2; ++index) {
    TaskSpec copy = this->MakeTask("s" + std::to_string(index), "services");
    copy.job = { "service" };
    this->EnqueueAccepted(copy);
  }
  this->Decide();
  ASSERT_EQ(this->starts.size(), 2);
  // The fixture puts workers 0 and 1 in one rack and workers 2 and 3 in another.
  const auto rackOf = [this](std::size_t aStart) {
    return (this->starts[aStart].worker.value.back() - '0') / 2;
  };
  EXPECT_NE(rackOf(0), rackOf(1));
}

}
