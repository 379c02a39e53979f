#include <LibCell/GangTickets.h>
#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>
#include <set>

namespace zinc::cell::test {

namespace {

constexpr TimePoint kNow{ Milliseconds{ 100'000 } };
/// A call takes 700 ms and 10 ms for each worker.
constexpr AdvicePolicy kPolicy{ .baseMs = 700.0,
                                .perWorkerMs = 10.0,
                                .ticketValidity = Milliseconds{ 1500 } };

/// @return tickets for workers from @p aFirst on, which expire after the given time
void
AddTickets(StepAdvice& aAdvice, WorkerNumber aFirst, WorkerNumber aCount, Milliseconds aLeft)
{
  for (WorkerNumber worker = aFirst; worker < aFirst + aCount; ++worker) {
    aAdvice.AddTicket({ .worker = worker, .text = "t", .expires = kNow + aLeft });
  }
}

[[nodiscard]] std::vector<WorkerNumber>
MakeMembers(WorkerNumber aCount)
{
  std::vector<WorkerNumber> members(aCount);
  std::iota(members.begin(), members.end(), WorkerNumber{ 1 });
  return members;
}

}

// Failure: the tickets of 40 workers expire while those of 10 others are renewed, and then the
// other way round, for ever.
TEST(GangTickets, RenewTicketsThatExpireBeforeTheResponse)
{
  StepAdvice advice;
  AddTickets(advice, 1, 40, Milliseconds{ 700 });
  const auto plan = PlanGangTickets(advice, MakeMembers(50), { .policy = kPolicy }, kNow);
  ASSERT_EQ(plan.requests.size(), 1U);
  EXPECT_EQ(plan.requests.front(), MakeMembers(50));
  EXPECT_EQ(plan.expectedStart, Milliseconds{ 1200 });
}

// Guards against calls that are longer than needed.
TEST(GangTickets, KeepTicketsThatOutliveTheResponse)
{
  StepAdvice advice;
  AddTickets(advice, 1, 40, Milliseconds{ 1400 });
  const auto plan = PlanGangTickets(advice, MakeMembers(50), { .policy = kPolicy }, kNow);
  ASSERT_EQ(plan.requests.size(), 1U);
  EXPECT_EQ(plan.requests.front().size(), 10U);
  EXPECT_EQ(plan.expectedStart, Milliseconds{ 800 });
}

// Guards against a late response that lets the tickets expire in turns all the same.
TEST(GangTickets, RenewAllAfterAFailedAttempt)
{
  StepAdvice advice;
  AddTickets(advice, 1, 40, Milliseconds{ 1400 });
  const GangTicketOptions options{ .policy = kPolicy, .renewsAll = true };
  EXPECT_EQ(PlanGangTickets(advice, MakeMembers(50), options, kNow).requests.front().size(), 50U);
}

// Guards against tickets that expire while runs are being stopped for the gang.
TEST(GangTickets, CoverTheStopOfOtherRuns)
{
  StepAdvice advice;
  AddTickets(advice, 1, 5, Milliseconds{ 1000 });
  GangTicketOptions options{ .policy = { .baseMs = 4.0 }, .startDelay = Milliseconds{ 450 } };
  EXPECT_TRUE(PlanGangTickets(advice, MakeMembers(5), options, kNow).requests.empty());
  options.startDelay = Milliseconds{ 1100 };
  const auto plan = PlanGangTickets(advice, MakeMembers(5), options, kNow);
  EXPECT_EQ(plan.requests.size(), 1U);
  EXPECT_EQ(plan.expectedStart, options.startDelay);
}

// Guards against a request that the policy service rejects, since it names too many workers.
TEST(GangTickets, SplitARequestForManyWorkersEvenly)
{
  const auto plan = PlanGangTickets({}, MakeMembers(250), { .policy = kPolicy }, kNow);
  ASSERT_EQ(plan.requests.size(), 3U);
  for (const auto& workers : plan.requests) {
    EXPECT_LE(workers.size(), 84U);
  }
  EXPECT_EQ(plan.expectedStart, Milliseconds{ 1540 });
}

// Guards against a gang that can never start: if the service responds in its usual time, all
// tickets are valid then, whatever the ages of the tickets in hand.
RC_GTEST_PROP(GangTickets, AreAllValidWhenTheResponseIsDue, ())
{
  const AdvicePolicy policy{ .baseMs = static_cast<double>(*rc::gen::inRange(0, 2000)),
                             .perWorkerMs = static_cast<double>(*rc::gen::inRange(0, 30)),
                             .ticketValidity = Milliseconds{ *rc::gen::inRange(100, 4000) } };
  const auto count = *rc::gen::inRange<WorkerNumber>(1, 101);
  StepAdvice advice;
  for (WorkerNumber worker = 1; worker <= count; ++worker) {
    AddTickets(advice, worker, 1, Milliseconds{ *rc::gen::inRange(-1000, 4000) });
  }
  const auto plan = PlanGangTickets(advice, MakeMembers(count), { .policy = policy }, kNow);
  std::set<WorkerNumber> renewed;
  for (const auto& workers : plan.requests) {
    renewed.insert(workers.begin(), workers.end());
  }
  for (const auto& ticket : advice.Tickets()) {
    RC_ASSERT(renewed.contains(ticket.worker) || ticket.expires > kNow + plan.expectedStart);
  }
}

}
