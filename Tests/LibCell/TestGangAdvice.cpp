#include "CellSchedulerFixture.h"

#include <algorithm>
#include <set>

namespace zinc::cell::test {

namespace {

/// A cell with a slow policy service that several instances call.
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

  [[nodiscard]] static JobSpecification MakeGang(const std::string& aId,
                                                 std::uint32_t aCount,
                                                 std::int64_t aCores)
  {
    auto gang = MakeJob(aId, aCount, aCores, 6000);
    gang.steps.front().isGang = true;
    return gang;
  }

  [[nodiscard]] std::size_t CountRequests(const std::string& aJob) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(this->advice.requests, [&aJob](const AdviceRequest& aRequest) {
        return aRequest.step.job.value == aJob;
      }));
  }
};

}

// A quarter of the workers is eligible for a gang, while a request names at most a hundred workers
// and takes over a second. Each further sequential request would delay a wide gang by that time.
TEST_F(GangAdvice, SendsSeveralRequestsAtOnceForAWideGang)
{
  this->AddWorkers(350, 9);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->scheduler->SetInstances({ "i1", "i2", "i3", "i4", "i5", "i6" });
  this->AcceptJob(MakeGang("gang", 60, 9));
  this->RunFor(Milliseconds{ 100 });
  EXPECT_GE(this->CountRequests("gang"), 3U);
  std::set<WorkerId> named;
  std::size_t count = 0;
  for (const auto& request : this->advice.requests) {
    named.insert(request.workers.begin(), request.workers.end());
    count += request.workers.size();
  }
  EXPECT_EQ(named.size(), count) << "no worker is named twice";
}

// In a cell that is four fifths full, a gang has to learn of all its eligible workers, also the
// full ones. Otherwise no workers are earmarked for it where it can run.
TEST_F(GangAdvice, RequestsAdviceOnFullWorkersToo)
{
  this->AddWorkers(8, 9);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->scheduler->SetInstances({ "i1", "i2", "i3" });
  this->AcceptJob(MakeGang("first", 5, 9));
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStarts("first"), 5U);
  this->AcceptJob(MakeGang("second", 5, 9));
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->CountRequests("second"), 1U);
  ASSERT_FALSE(this->advice.requests.empty());
  EXPECT_EQ(this->advice.requests.back().workers.size(), 8U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("second"), 5U);
}

// With a hundred pending gangs a reservation expires before its request is sent, because the
// service handles the calls of an instance one at a time. A new request for each reservation would
// lengthen the backlog further.
TEST_F(GangAdvice, RequestsTicketsOnceHoweverOftenAReservationExpires)
{
  this->AddWorkers(8, 9);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeGang("first", 5, 9));
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStarts("first"), 5U);
  this->AcceptJob(MakeGang("second", 5, 9));
  this->RunFor(Milliseconds{ 2000 });
  const auto countBefore = this->CountRequests("second");
  // The only instance left is busy with other requests for ten seconds.
  this->scheduler->SetInstances({ "one" });
  this->advice.isPaused = true;
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 10'000 });
  this->advice.isPaused = false;
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("second"), 5U);
  EXPECT_LE(this->CountRequests("second"), countBefore + 1);
}

// Load: more requests for gangs than the instances can make. Guards against capacity
// that is reserved for a gang and idle while first requests of other gangs go before its tickets.
TEST_F(GangAdvice, RequestsTicketsForReservedCapacityFirst)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 200'000 };
  this->policy.routes.front().queue.stretch = 2.0;
  this->AddWorkers(8, 9);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->scheduler->SetInstances({ "one" });
  this->AcceptJob(MakeGang("first", 5, 9));
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStarts("first"), 5U);
  this->AcceptJob(MakeGang("second", 5, 9));
  this->RunFor(Milliseconds{ 2000 });
  this->advice.isPaused = true;
  for (const auto* id : { "third", "fourth" }) {
    auto gang = MakeGang(id, 5, 9);
    gang.steps.front().estimate = Milliseconds{ 2000 };
    this->AcceptJob(gang);
    this->RunFor(Milliseconds{ 100 });
  }
  ASSERT_EQ(this->advice.pending.size(), 1U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 300 });
  this->advice.isPaused = false;
  this->advice.Deliver();
  this->advice.isPaused = true;
  this->RunFor(Milliseconds{ 50 });
  ASSERT_EQ(this->advice.pending.size(), 1U);
  EXPECT_EQ(this->advice.pending.front().first.step.job.value, "second");
}

// Steps of a workspace at its limit cannot start, so requests for them would only load the policy
// service.
TEST_F(GangAdvice, RequestsNothingForAStepBeyondItsLimit)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 20'000 };
  this->AddWorkers(8, 9);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->scheduler->SetInstances({ "i1", "i2", "i3" });
  this->AcceptJob(MakeJob("first", 2, 9));
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStarts("first"), 2U);
  this->AcceptJob(MakeJob("second", 1, 9));
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->CountRequests("second"), 0U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->CountStarts("second"), 1U);
}

// A workspace's single batch tasks take each core of its limit as it is released, so that its gang
// never finds enough cores at once.
TEST_F(GangAdvice, IsNotStarvedAtTheLimitBySingleTasks)
{
  this->policy.routes.front().queue.needsAdvice = false;
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 20'000 };
  this->AddWorkers(8, 9);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  for (int number = 0; number < 4; ++number) {
    this->AcceptJob(MakeJob("narrow" + std::to_string(number), 1, 4, 20'000));
  }
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 4U);
  this->AcceptJob(MakeGang("gang", 2, 8));
  this->RunFor(Milliseconds{ 50 });
  for (int number = 4; number < 12; ++number) {
    this->AcceptJob(MakeJob("narrow" + std::to_string(number), 1, 4, 20'000));
  }
  // The single tasks end one by one.
  for (int round = 0; round < 4; ++round) {
    this->workers.End(this->workers.starts[static_cast<std::size_t>(round)].worker.value,
                      this->workers.starts[static_cast<std::size_t>(round)].task,
                      RunOutcome::Succeeded);
    this->RunFor(Milliseconds{ 200 });
  }
  EXPECT_EQ(this->CountStarts("gang"), 2U);
}

TEST_F(GangAdvice, ReservesNoLimitForAGangThatExceedsIt)
{
  this->policy.routes.front().queue.needsAdvice = false;
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 20'000 };
  this->AddWorkers(8, 9);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeGang("gang", 4, 8));
  this->RunFor(Milliseconds{ 100 });
  this->AcceptJob(MakeJob("narrow", 1, 4, 20'000));
  this->RunFor(Milliseconds{ 200 });
  EXPECT_EQ(this->CountStarts("gang"), 0U);
  EXPECT_EQ(this->CountStarts("narrow"), 1U);
}

TEST_F(GangAdvice, UsesTheWholeLimitIfItExceedsTheFractionForBatchTasks)
{
  this->policy.routes.front().queue.needsAdvice = false;
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 16'000 };
  this->AddWorkers(8, 9);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeGang("gang", 2, 8));
  this->RunFor(Milliseconds{ 200 });
  EXPECT_EQ(this->CountStarts("gang"), 2U);
}

}
