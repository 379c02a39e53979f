#include "CellSchedulerFixture.h"

#include <algorithm>
#include <rapidcheck/gtest.h>
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

/// A policy service whose calls take their time. While a gang waits, workers arrive, and short
/// tasks of a queue that needs no advice take some of them for a moment.
class GangTicketsInTurns : public GangAdvice
{
protected:
  GangTicketsInTurns()
  {
    QueueRoute route{ .host = "host", .pathPrefix = "/short/" };
    route.queue = { .name = { "short" }, .pool = "pool", .maxAttempts = 3, .stretch = 4.0 };
    this->policy.AddRoute(route);
  }

  void ArriveWorkers(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      const auto entry = this->workers.Add("w" + std::to_string(this->entries.size()), 1);
      this->entries.push_back(entry);
      if (this->scheduler) {
        this->scheduler->OnWorkerEntry(entry);
      }
    }
  }

  void StartShortTasks(std::uint32_t aCount)
  {
    auto job = MakeJob("short", aCount, 1);
    job.queue = this->policy.routes.back().queue;
    this->AcceptJob(job);
  }

  void EndShortTasks()
  {
    for (const auto& start : std::vector(this->workers.starts)) {
      if (start.task.job.value == "short") {
        this->workers.End(start.worker.value, start.task, RunOutcome::Succeeded);
      }
    }
  }

  [[nodiscard]] static Milliseconds UsualDuration(const AdvicePolicy& aPolicy,
                                                  const AdviceRequest& aRequest)
  {
    return Milliseconds(static_cast<std::int64_t>(
      aPolicy.baseMs + aPolicy.perWorkerMs * static_cast<double>(aRequest.workers.size())));
  }

  [[nodiscard]] AdvicePolicy& Policy() { return this->policy.routes.front().queue.advice; }

  /// @return how many starts came with a ticket that was no longer valid
  [[nodiscard]] std::ptrdiff_t CountStartsWithExpiredTickets()
  {
    return std::ranges::count_if(this->workers.starts, [this](const ObservedStart& aStart) {
      return !aStart.ticket.empty() && aStart.acceptedAt > this->advice.issuedAt.at(aStart.ticket) +
                                                             this->Policy().ticketValidity;
    });
  }
};

}

// Failure: minutes of waiting on idle workers. A call takes 0.8 s or more and a ticket is valid for
// 1.5 s, so that the tickets of one part of the gang expire while those of the other are renewed.
TEST_F(GangTicketsInTurns, StartAGangOnWorkersThatArriveInTwoGroups)
{
  this->Policy() = { .baseMs = 702.0,
                     .perWorkerMs = 10.01,
                     .ticketValidity = Milliseconds{ 1500 } };
  this->advice.duration = [this](const AdviceRequest& aRequest) {
    return UsualDuration(this->Policy(), aRequest);
  };
  this->ArriveWorkers(40);
  this->BeginTerm();
  this->scheduler->SetInstances({ "i1", "i2", "i3" });
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeGang("gang", 50, 1));
  this->RunFor(Milliseconds{ 3500 });
  this->ArriveWorkers(12);
  this->RunFor(Milliseconds{ 200 });
  this->StartShortTasks(10);
  this->RunFor(Milliseconds{ 1270 });
  ASSERT_EQ(this->CountStarts("short"), 10U);
  ASSERT_EQ(this->CountStarts("gang"), 0U);
  this->EndShortTasks();
  this->RunFor(Milliseconds{ 4000 });
  EXPECT_EQ(this->CountStarts("gang"), 50U);
  EXPECT_EQ(this->CountStartsWithExpiredTickets(), 0);
}

// Load: more requests than the instances can send, so that responses come two seconds late, while a
// ticket is valid for 2.5 s. Guards against a gang that waits for tickets on idle workers, since
// each request renews what has expired and the rest expires meanwhile.
TEST_F(GangTicketsInTurns, StartAGangWhileResponsesAreLate)
{
  this->Policy() = { .baseMs = 340.0, .perWorkerMs = 4.9, .ticketValidity = Milliseconds{ 2500 } };
  this->advice.duration = [this](const AdviceRequest& aRequest) {
    return UsualDuration(this->Policy(), aRequest) + Milliseconds{ 2200 };
  };
  this->ArriveWorkers(40);
  this->BeginTerm();
  this->scheduler->SetInstances({ "i1", "i2", "i3" });
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeGang("gang", 50, 1));
  this->RunFor(Milliseconds{ 6000 });
  this->ArriveWorkers(12);
  this->RunFor(Milliseconds{ 200 });
  this->StartShortTasks(10);
  this->RunFor(Milliseconds{ 3500 });
  ASSERT_EQ(this->CountStarts("short"), 10U);
  ASSERT_EQ(this->CountStarts("gang"), 0U);
  this->EndShortTasks();
  this->RunFor(Milliseconds{ 7000 });
  EXPECT_EQ(this->CountStarts("gang"), 50U);
  EXPECT_EQ(this->CountStartsWithExpiredTickets(), 0);
}

// Guards against a gang that asks for ever for the ticket of a worker that the service no longer
// admits, although there are others.
TEST_F(GangTicketsInTurns, StartAGangElsewhereIfAWorkerIsNoLongerAdmitted)
{
  this->advice.duration = [this](const AdviceRequest& aRequest) {
    return UsualDuration(this->Policy(), aRequest);
  };
  this->ArriveWorkers(4);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeGang("gang", 5, 1));
  this->RunFor(Milliseconds{ 3000 });
  this->advice.isEligible = [](const WorkerId& aWorker) { return aWorker.value != "w0"; };
  this->ArriveWorkers(4);
  this->RunFor(Milliseconds{ 6000 });
  EXPECT_EQ(this->CountStarts("gang"), 5U);
}

// Guards against a step that waits for tickets that are never all valid at one time. Whatever the
// service takes, with idle workers that it admits the gang starts within a few responses.
RC_GTEST_FIXTURE_PROP(GangTicketsInTurns, StartAnyGangWithinAFewResponses, ())
{
  this->Policy() = { .baseMs = static_cast<double>(*rc::gen::inRange(0, 1500)),
                     .perWorkerMs = static_cast<double>(*rc::gen::inRange(0, 15)),
                     .ticketValidity = Milliseconds{ *rc::gen::inRange(300, 4000) } };
  const auto delays = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 1000));
  std::size_t calls = 0;
  this->advice.duration = [&](const AdviceRequest& aRequest) {
    return UsualDuration(this->Policy(), aRequest) + Milliseconds(delays[calls++ % delays.size()]);
  };
  const auto width = *rc::gen::inRange(1, 101);
  this->ArriveWorkers(*rc::gen::inRange(1, width + 1));
  this->BeginTerm();
  std::vector<std::string> instances;
  const auto instanceCount = *rc::gen::inRange(1, 7);
  for (int number = 0; number < instanceCount; ++number) {
    instances.push_back("i" + std::to_string(number));
  }
  this->scheduler->SetInstances(instances);
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeGang("gang", static_cast<std::uint32_t>(width), 1));
  this->RunFor(Milliseconds{ *rc::gen::inRange(0, 4000) });
  const auto spare = *rc::gen::inRange(0, 5);
  this->ArriveWorkers(std::max(0, width + spare - static_cast<int>(this->entries.size())));
  this->StartShortTasks(*rc::gen::inRange(1U, 16U));
  this->RunFor(Milliseconds{ *rc::gen::inRange(0, 4000) });
  this->EndShortTasks();
  constexpr std::size_t kMaxCalls = 8;
  constexpr Milliseconds kLongestCall{ 1500 + 15 * 100 + 1000 };
  const auto callsBefore = this->advice.requests.size();
  for (Milliseconds waited{ 0 }; this->CountStarts("gang") == 0; waited += Milliseconds{ 100 }) {
    RC_ASSERT(waited < kLongestCall * kMaxCalls);
    this->EndShortTasks();
    this->RunFor(Milliseconds{ 100 });
  }
  RC_ASSERT(this->CountStarts("gang") == static_cast<std::size_t>(width));
  RC_ASSERT(this->advice.requests.size() - callsBefore <= kMaxCalls);
  RC_ASSERT(this->CountStartsWithExpiredTickets() == 0);
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

// Load: gangs that are released at once in an idle cell, as after a change of leader. A quarter of
// the workers is eligible for each, a call takes up to a second, and instances suffice for a
// request of each gang. Guards against gangs that all name the same workers, of which the first
// gangs take the room, so that the others ask again and again while most of the cell is idle.
TEST_F(GangAdvice, GangsReleasedAtOnceAskAboutDifferentWorkers)
{
  constexpr std::size_t kGangs = 60;
  constexpr std::uint32_t kTasks = 10;
  auto& policy = this->policy.routes.front().queue.advice;
  policy = { .baseMs = 390.0, .perWorkerMs = 5.6, .ticketValidity = Milliseconds{ 1500 } };
  this->advice.duration = [policy](const AdviceRequest& aRequest) {
    return ExpectedDuration(policy, aRequest.workers.size());
  };
  this->advice.isEligibleFor = [](const StepName& aStep, const WorkerId& aWorker) {
    std::uint32_t hash = 2'166'136'261U;
    for (const auto letter : aStep.job.value + '/' + aWorker.value) {
      hash = (hash ^ static_cast<unsigned char>(letter)) * 16'777'619U;
    }
    return (hash >> 16U) % 4 == 0;
  };
  this->AddWorkers(500, 10);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  std::vector<std::string> instances;
  for (int number = 0; number < 100; ++number) {
    instances.push_back("i" + std::to_string(number));
  }
  this->scheduler->SetInstances(instances);
  for (std::size_t number = 0; number < kGangs; ++number) {
    this->AcceptJob(MakeGang("gang" + std::to_string(number), kTasks, 5));
  }
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->workers.starts.size(), kGangs * kTasks);
  EXPECT_LE(this->advice.requests.size(), 2 * kGangs);
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
