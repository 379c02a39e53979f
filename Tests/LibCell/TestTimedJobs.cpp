#include "CellSchedulerFixture.h"

namespace zinc::cell::test {

namespace {

/// Workers with room for all tasks, and a job "timed" whose occurrences are all due.
class TimedJobs : public CellSchedulerFixture
{
protected:
  static constexpr Milliseconds kLong{ 2000 };

  void AcceptTimedJob(std::uint32_t aOccurrences, std::uint32_t aSteps)
  {
    auto job = MakeJob("timed", 1, 1);
    job.steps.resize(aSteps, job.steps.front());
    job.occurrences = aOccurrences;
    job.interval = Milliseconds{ 1 };
    this->AcceptJob(job);
    for (const auto* worker : { "w1", "w2", "w3" }) {
      this->entries.push_back(this->workers.Add(worker, 100'000));
    }
    this->wallTime = WallTime{ Milliseconds{ 1'000'000 } };
    this->BeginTerm();
    this->RunFor(kLong);
  }
};

}

// Guards against a leader that runs out of memory because of one small job: the objects of a step
// exist only once its occurrence begins.
TEST_F(TimedJobs, LaterOccurrencesBeginAsEarlierOnesSucceed)
{
  constexpr std::uint32_t kOccurrences = 2500;
  this->AcceptTimedJob(kOccurrences, 1);
  EXPECT_EQ(this->CountStarts("timed"), 1000U);
  for (int round = 0; round < 3; ++round) {
    this->workers.EndAll();
    this->RunFor(kLong);
  }
  EXPECT_EQ(this->CountStarts("timed"), kOccurrences);
  EXPECT_EQ(this->StatusOf("timed").outcome, JobOutcome::Succeeded);
}

TEST_F(TimedJobs, AFewOccurrencesOverlapHoweverManyStepsTheyHave)
{
  constexpr std::uint32_t kSteps = 600;
  this->AcceptTimedJob(10, kSteps);
  EXPECT_EQ(this->CountStarts("timed"), 4 * kSteps);
}

TEST_F(TimedJobs, AllDueOccurrencesOfAnOrdinaryJobBegin)
{
  this->AcceptTimedJob(200, 5);
  EXPECT_EQ(this->CountStarts("timed"), 1000U);
}

}
