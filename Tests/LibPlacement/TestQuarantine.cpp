#include "SchedulerFixture.h"

#include <set>

namespace zinc {

/// Ten workers, and checks that fail by a rule of the test.
class TestQuarantine : public SchedulerTest
{
protected:
  void SetUp() override
  {
    SchedulerTest::SetUp();
    this->AddWorkers(10);
  }

  /// Runs rounds of 20 checks that end in the round in which they start.
  /// @param aFails tells for each start whether it fails.
  /// @return the number of starts on the worker.
  template<typename Rule>
  int RunChecks(int aRounds, const std::string& aWorker, Rule aFails)
  {
    int startsOnWorker = 0;
    for (int round = 0; round < aRounds; ++round) {
      this->EnqueueMany(20, "r" + std::to_string(this->roundCount++) + "-", "checks");
      this->Decide();
      for (const StartTask& start : this->starts) {
        startsOnWorker += start.worker.value == aWorker ? 1 : 0;
        this->usedWorkers.insert(start.worker.value);
        this->ReportEnd(start.task.id.value,
                        aFails(start) ? TaskOutcome::Failed : TaskOutcome::Succeeded);
      }
      this->now += Milliseconds(100);
    }
    return startsOnWorker;
  }

  int roundCount = 0;
  std::set<std::string> usedWorkers;
};

TEST_F(TestQuarantine, QuarantinesAWorkerAfterAFewFailures)
{
  const auto failsOnWorker3 = [](const StartTask& aStart) { return aStart.worker.value == "w3"; };
  EXPECT_LE(this->RunChecks(50, "w3", failsOnWorker3), 8);
  EXPECT_TRUE(this->scheduler->IsQuarantined({ "w3" }));
  EXPECT_FALSE(this->scheduler->IsQuarantined({ "w4" }));
}

TEST_F(TestQuarantine, ReadmitsARecoveredWorker)
{
  const auto failsOnWorker3 = [](const StartTask& aStart) { return aStart.worker.value == "w3"; };
  const auto neverFails = [](const StartTask&) { return false; };
  this->RunChecks(20, "w3", failsOnWorker3);
  EXPECT_EQ(this->RunChecks(20, "w3", neverFails), 0);
  this->now += Milliseconds(20'000);
  EXPECT_GT(this->RunChecks(50, "w3", neverFails), 20);
}

TEST_F(TestQuarantine, BacksOffProbesOfAFailingWorker)
{
  const auto failsOnWorker3 = [](const StartTask& aStart) { return aStart.worker.value == "w3"; };
  this->RunChecks(20, "w3", failsOnWorker3);
  EXPECT_LE(this->RunChecks(1000, "w3", failsOnWorker3), 6)
    << "over 100 s, the delay between probes has to grow";
}

TEST_F(TestQuarantine, DoesNotQuarantineTheFleetForAFailingQueue)
{
  // The policy allows a quarantine of nearly all workers.
  this->document.placement.maxQuarantined = 0.9;
  this->scheduler->ApplyDocument(this->document);
  const auto alwaysFails = [](const StartTask&) { return true; };
  this->RunChecks(50, "w3", alwaysFails);
  this->usedWorkers.clear();
  this->RunChecks(5, "w3", alwaysFails);
  EXPECT_GE(this->usedWorkers.size(), 9)
    << "one worker may be quarantined before tasks have failed on others";
}

TEST_F(TestQuarantine, LimitsQuarantineToAFractionOfTheZone)
{
  const auto mostFail = [](const StartTask& aStart) { return aStart.worker.value < "w5"; };
  this->RunChecks(50, "w3", mostFail);
  this->usedWorkers.clear();
  this->RunChecks(5, "w3", mostFail);
  EXPECT_GE(this->usedWorkers.size(), 8);
}

TEST_F(TestQuarantine, ReducesTheOfferedCapacityOfASlowWorker)
{
  Document firstFit = SampleDocument();
  firstFit.placement.check.strategy = PlacementStrategy::FirstFit;
  this->Reset({}, firstFit);
  this->AddWorkers(4);
  std::vector<StartTask> startsOnSlowWorker;
  int maxOnSlowWorker = 0;
  int latestOnSlowWorker = 0;
  for (int round = 0; round < 60; ++round) {
    this->EnqueueMany(24, "s" + std::to_string(round) + "-", "checks");
    this->Decide();
    latestOnSlowWorker = 0;
    const auto roundStarts = this->starts;
    this->now += Milliseconds(100);
    for (const StartTask& start : roundStarts) {
      if (start.worker.value == roundStarts.front().worker.value) {
        startsOnSlowWorker.push_back(start);
        ++latestOnSlowWorker;
      } else {
        this->ReportEnd(start.task.id.value);
      }
    }
    maxOnSlowWorker = std::max(maxOnSlowWorker, latestOnSlowWorker);
    this->now += Milliseconds(300);
    for (const StartTask& start : startsOnSlowWorker) {
      this->ReportEnd(start.task.id.value);
    }
    startsOnSlowWorker.clear();
  }
  EXPECT_EQ(maxOnSlowWorker, 8);
  EXPECT_LE(latestOnSlowWorker, 4) << "a worker that is four times slower still gets a full load";
}

}
