#include "CellSchedulerFixture.h"

namespace zinc::cell::test {

namespace {

class WideJobs : public CellSchedulerFixture
{
protected:
  [[nodiscard]] static JobSpecification MakeJobWithoutDemand(const std::string& aId,
                                                             std::uint32_t aCount)
  {
    auto job = MakeJob(aId, aCount, 0);
    job.steps.front().demand = {};
    return job;
  }

  void AddWorkers(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      this->entries.push_back(this->workers.Add("w" + std::to_string(number), 32));
    }
  }
};

}

// Guards against a leader that starts all tasks of a wide job at once and answers nobody meanwhile,
// because tasks without demand fit anywhere.
TEST_F(WideJobs, TasksWithoutDemandStartAsOthersEnd)
{
  constexpr std::uint32_t kCount = 4500;
  this->AddWorkers(2);
  this->AcceptJob(MakeJobWithoutDemand("job", kCount));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("job"), 2000U);
  for (int round = 0; round < 3; ++round) {
    this->workers.EndAll();
    this->RunFor(Milliseconds{ 2000 });
  }
  EXPECT_EQ(this->CountStarts("job"), kCount);
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

TEST_F(WideJobs, AGangWithoutDemandNeedsEnoughWorkers)
{
  constexpr std::uint32_t kCount = 1500;
  auto gang = MakeJobWithoutDemand("gang", kCount);
  gang.steps.front().isGang = true;
  this->AddWorkers(1);
  this->AcceptJob(gang);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("gang"), 0U);
  this->entries.push_back(this->workers.Add("other", 32));
  this->scheduler->OnWorkerEntry(this->entries.back());
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->CountStarts("gang"), kCount);
}

}
