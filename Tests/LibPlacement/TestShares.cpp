#include "SchedulerFixture.h"

namespace zinc {

/// Two teams with shares 3 and 1 on 32 slots.
class TestShares : public SchedulerTest
{
protected:
  void SetUp() override
  {
    Document shared = SampleDocument();
    shared.teams[0].share = 3;
    this->Reset({}, shared);
    this->AddWorkers(4);
  }

  /// Ends one running task of each decided start, oldest first, and fills up again.
  void TurnOver(int aRounds)
  {
    for (int round = 0; round < aRounds; ++round) {
      this->now += Milliseconds(100);
      if (!this->running.empty()) {
        this->ReportEnd(this->running.front());
        this->running.erase(this->running.begin());
      }
      this->DecideAndKeep();
    }
  }

  void DecideAndKeep()
  {
    this->Decide();
    for (const StartTask& start : this->starts) {
      this->running.push_back(start.task.id.value);
    }
  }

  std::vector<std::string> running;
};

TEST_F(TestShares, DividesAFullCellByWeight)
{
  this->EnqueueMany(100, "d", "rebuilds", "days");
  this->EnqueueMany(100, "n", "rebuilds", "nights");
  this->Decide();
  EXPECT_EQ(this->RunningSlots("days"), 24);
  EXPECT_EQ(this->RunningSlots("nights"), 8);
}

TEST_F(TestShares, LendsIdleCapacityAndReclaimsItAsTasksEnd)
{
  this->EnqueueMany(100, "n", "rebuilds", "nights");
  this->DecideAndKeep();
  EXPECT_EQ(this->RunningSlots("nights"), 32);
  this->EnqueueMany(100, "d", "rebuilds", "days");
  this->TurnOver(24);
  EXPECT_EQ(this->RunningSlots("days"), 24);
  EXPECT_EQ(this->RunningSlots("nights"), 8);
}

TEST_F(TestShares, CountsTheDominantResource)
{
  const Resources muchMemory{ .milliCores = 100, .memoryMiB = 4000, .slots = 1 };
  const Resources manyCores{ .milliCores = 1000, .memoryMiB = 100, .slots = 1 };
  for (int index = 0; index < 50; ++index) {
    this->EnqueueAccepted(
      this->MakeTask("d" + std::to_string(index), "rebuilds", muchMemory, "days"));
    this->EnqueueAccepted(
      this->MakeTask("n" + std::to_string(index), "rebuilds", manyCores, "nights"));
  }
  this->Decide();
  // Six tasks take 75% of the memory; the other team has a third of that in its own resource.
  EXPECT_EQ(this->RunningSlots("days"), 6);
  EXPECT_GE(this->RunningSlots("nights"), 8);
}

TEST_F(TestShares, KeepsAFloodOfChecksFromStarvingAnotherTeam)
{
  this->document.queues[0].maxQueued = 10'000;
  this->scheduler->ApplyDocument(this->document);
  this->EnqueueMany(2000, "flood", "checks", "nights");
  this->EnqueueMany(900, "d", "rebuilds", "days");
  this->DecideAndKeep();
  this->TurnOver(200);
  EXPECT_GE(this->RunningSlots("days"), 22);
  EXPECT_GE(this->RunningSlots("nights"), 7);
}

TEST_F(TestShares, KeepsHeadroomForChecksWhileBatchSaturates)
{
  this->AddWorkers(16);
  this->EnqueueMany(1, "first", "checks");
  this->DecideAndKeep();
  this->ReportEnd("first0");
  this->EnqueueMany(1000, "b");
  this->Decide();
  const auto batch = this->starts.size();
  EXPECT_LT(batch, 160);
  EXPECT_GE(batch, 152) << "more than 5% is kept free";
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
  // The fixture puts workers 0 and 1 in one rack, 2 and 3 in the other.
  const auto rackOf = [this](std::size_t aStart) {
    return (this->starts[aStart].worker.value.back() - '0') / 2;
  };
  EXPECT_NE(rackOf(0), rackOf(1));
}

}
