#include "CellSchedulerFixture.h"

#include <algorithm>
#include <set>

namespace zinc::cell::test {

namespace {

/// A cell in which the policy service is asked by several instances and takes its time.
class GangAdvice : public CellSchedulerFixture
{
protected:
  GangAdvice()
  {
    auto& queue = this->policy.routes.front().queue;
    queue.needsAdvice = true;
    queue.advice = { .baseMs = 540.0, .perWorkerMs = 7.7, .ticketValidity = Milliseconds{ 1500 } };
  }

  void AddWorkers(int aCount, std::int64_t aCores)
  {
    for (int number = 0; number < aCount; ++number) {
      this->entries.push_back(this->workers.Add("w" + std::to_string(number), aCores));
    }
  }

  [[nodiscard]] static JobSpecification GangOf(const std::string& aId,
                                               std::uint32_t aCount,
                                               std::int64_t aCores)
  {
    auto gang = JobOf(aId, aCount, aCores, 6000);
    gang.steps.front().isGang = true;
    return gang;
  }

  [[nodiscard]] std::size_t QuestionsOf(const std::string& aJob) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(this->advice.questions, [&aJob](const AdviceRequest& aQuestion) {
        return aQuestion.step.job.value == aJob;
      }));
  }

  [[nodiscard]] std::size_t StartsOf(const std::string& aJob) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      this->workers.starts, [&aJob](const auto& aStart) { return aStart.task.job.value == aJob; }));
  }
};

}

// The load of a day on which full rebuilds come at once: a quarter of the workers may run a gang, a
// question names a hundred of them at most and takes over a second.
TEST_F(GangAdvice, AsksSeveralInstancesAtOnceForAWideGang)
{
  this->AddWorkers(350, 9);
  this->Begin();
  this->Run(Milliseconds{ 50 });
  this->conductor->SetInstances({ "i1", "i2", "i3", "i4", "i5", "i6" });
  this->Accept(GangOf("gang", 60, 9));
  this->Run(Milliseconds{ 100 });
  EXPECT_GE(this->QuestionsOf("gang"), 3U);
  std::set<WorkerId> named;
  std::size_t count = 0;
  for (const auto& question : this->advice.questions) {
    named.insert(question.workers.begin(), question.workers.end());
    count += question.workers.size();
  }
  EXPECT_EQ(named.size(), count) << "no worker is asked for twice";
}

// The pattern: a cell at four fifths of its room. A gang is told of all workers that may run it, so
// that room is kept for it where it may run.
TEST_F(GangAdvice, LearnsOfFullWorkersToo)
{
  this->AddWorkers(8, 9);
  this->Begin();
  this->Run(Milliseconds{ 50 });
  this->conductor->SetInstances({ "i1", "i2", "i3" });
  this->Accept(GangOf("first", 5, 9));
  this->Run(Milliseconds{ 200 });
  ASSERT_EQ(this->StartsOf("first"), 5U);
  this->Accept(GangOf("second", 5, 9));
  this->Run(Milliseconds{ 500 });
  EXPECT_EQ(this->QuestionsOf("second"), 1U);
  ASSERT_FALSE(this->advice.questions.empty());
  EXPECT_EQ(this->advice.questions.back().workers.size(), 8U);
  this->workers.EndAll();
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StartsOf("second"), 5U);
}

// The load of a day that ends with a hundred gangs waiting: the service answers each instance's
// questions one by one, and a reservation lapses before its question is even sent.
TEST_F(GangAdvice, AsksForTicketsOnceHoweverOftenAReservationLapses)
{
  this->AddWorkers(8, 9);
  this->Begin();
  this->Run(Milliseconds{ 50 });
  this->Accept(GangOf("first", 5, 9));
  this->Run(Milliseconds{ 200 });
  ASSERT_EQ(this->StartsOf("first"), 5U);
  this->Accept(GangOf("second", 5, 9));
  this->Run(Milliseconds{ 2000 });
  const auto known = this->QuestionsOf("second");
  // Only one instance is left, and it is busy with others' questions for ten seconds.
  this->conductor->SetInstances({ "one" });
  this->advice.isHolding = true;
  this->workers.EndAll();
  this->Run(Milliseconds{ 10'000 });
  this->advice.isHolding = false;
  this->Run(Milliseconds{ 3000 });
  EXPECT_EQ(this->StartsOf("second"), 5U);
  EXPECT_LE(this->QuestionsOf("second"), known + 1);
}

// The pattern: a hot workspace is at its limit, and its steps would keep the policy service busy.
TEST_F(GangAdvice, AsksNothingForAStepBeyondItsLimit)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 20'000 };
  this->AddWorkers(8, 9);
  this->Begin();
  this->Run(Milliseconds{ 50 });
  this->conductor->SetInstances({ "i1", "i2", "i3" });
  this->Accept(JobOf("first", 2, 9));
  this->Run(Milliseconds{ 200 });
  ASSERT_EQ(this->StartsOf("first"), 2U);
  this->Accept(JobOf("second", 1, 9));
  this->Run(Milliseconds{ 500 });
  EXPECT_EQ(this->QuestionsOf("second"), 0U);
  this->workers.EndAll();
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StartsOf("second"), 1U);
}

// The pattern: a workspace's narrow batch tasks take each core of its limit as it is freed, so that
// its gang never finds enough of them at once.
TEST_F(GangAdvice, GetsItsTurnWithinTheLimitThoughNarrowTasksKeepComing)
{
  this->policy.routes.front().queue.needsAdvice = false;
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 20'000 };
  this->AddWorkers(8, 9);
  this->Begin();
  this->Run(Milliseconds{ 50 });
  for (int number = 0; number < 4; ++number) {
    this->Accept(JobOf("narrow" + std::to_string(number), 1, 4, 20'000));
  }
  this->Run(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 4U);
  this->Accept(GangOf("gang", 2, 8));
  this->Run(Milliseconds{ 50 });
  for (int number = 4; number < 12; ++number) {
    this->Accept(JobOf("narrow" + std::to_string(number), 1, 4, 20'000));
  }
  // One narrow task ends at a time.
  for (int round = 0; round < 4; ++round) {
    this->workers.End(this->workers.starts[static_cast<std::size_t>(round)].worker.value,
                      this->workers.starts[static_cast<std::size_t>(round)].task,
                      RunOutcome::Succeeded);
    this->Run(Milliseconds{ 200 });
  }
  EXPECT_EQ(this->StartsOf("gang"), 2U);
}

TEST_F(GangAdvice, DoesNotHoldALimitForAGangThatIsWiderThanIt)
{
  this->policy.routes.front().queue.needsAdvice = false;
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 20'000 };
  this->AddWorkers(8, 9);
  this->Begin();
  this->Run(Milliseconds{ 50 });
  this->Accept(GangOf("gang", 4, 8));
  this->Run(Milliseconds{ 100 });
  this->Accept(JobOf("narrow", 1, 4, 20'000));
  this->Run(Milliseconds{ 200 });
  EXPECT_EQ(this->StartsOf("gang"), 0U);
  EXPECT_EQ(this->StartsOf("narrow"), 1U);
}

TEST_F(GangAdvice, MayHaveTheWholeLimitIfItNeedsMoreThanBatchWorkIsLeft)
{
  this->policy.routes.front().queue.needsAdvice = false;
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 16'000 };
  this->AddWorkers(8, 9);
  this->Begin();
  this->Run(Milliseconds{ 50 });
  this->Accept(GangOf("gang", 2, 8));
  this->Run(Milliseconds{ 200 });
  EXPECT_EQ(this->StartsOf("gang"), 2U);
}

}
