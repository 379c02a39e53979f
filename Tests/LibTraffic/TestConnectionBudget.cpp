#include <LibTraffic/ConnectionBudget.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace zinc {

namespace {

constexpr std::size_t kCallers = 0;
constexpr std::size_t kProbes = 1;
constexpr std::size_t kMaxBytes = 1000;

TimePoint
At(int aMilliseconds)
{
  return TimePoint{ Milliseconds{ aMilliseconds } };
}

class ConnectionBudgetTest : public testing::Test
{
protected:
  ConnectionNumber Admit(int aMilliseconds, ConnectionPhase aPhase = ConnectionPhase::New)
  {
    constexpr std::size_t kNoBound = 1000;
    const auto admission = this->budget.Admit(kCallers, kNoBound, At(aMilliseconds));
    this->budget.SetPhase(admission->number, aPhase, At(aMilliseconds));
    return admission->number;
  }

  ConnectionBudget budget{ kMaxBytes };
};

}

// Load: many bodies that are each within the bound of a request and do not end. Guards against a
// process that runs out of memory, and against small requests that give way to large ones.
TEST_F(ConnectionBudgetTest, TheLargestIncompleteRequestGivesWay)
{
  const auto small = this->Admit(1, ConnectionPhase::Receiving);
  const auto large = this->Admit(2, ConnectionPhase::Receiving);
  const auto growing = this->Admit(3, ConnectionPhase::Receiving);
  EXPECT_TRUE(this->budget.Hold(small, 100).empty());
  EXPECT_TRUE(this->budget.Hold(large, 600).empty());
  EXPECT_EQ(this->budget.Hold(growing, 301), std::vector{ large });
  EXPECT_EQ(this->budget.HeldBytes(), 401U);
}

// Guards against descriptors beyond the bound: a connection whose request is refused stays open for
// a while.
TEST_F(ConnectionBudgetTest, AConnectionWhoseRequestGaveWayStillCounts)
{
  const auto number = this->Admit(1, ConnectionPhase::Receiving);
  EXPECT_EQ(this->budget.Hold(number, kMaxBytes + 1), std::vector{ number });
  EXPECT_TRUE(this->budget.HasGivenWay(number));
  EXPECT_EQ(this->budget.Size(), 1U);
  EXPECT_TRUE(this->budget.Hold(number, kMaxBytes).empty());
  EXPECT_EQ(this->budget.HeldBytes(), 0U);
  this->budget.SetPhase(number, ConnectionPhase::Idle, At(2));
  const auto next = this->budget.Admit(kCallers, 1, At(3));
  ASSERT_TRUE(next);
  EXPECT_EQ(next->replaced, number);
}

TEST_F(ConnectionBudgetTest, TheOldestOfEqualRequestsGivesWay)
{
  const auto newer = this->Admit(2, ConnectionPhase::Receiving);
  const auto older = this->Admit(1, ConnectionPhase::Receiving);
  EXPECT_TRUE(this->budget.Hold(newer, 501).empty());
  EXPECT_EQ(this->budget.Hold(older, 501), std::vector{ older });
}

TEST_F(ConnectionBudgetTest, ARequestGivesWayItselfIfAllOthersAreComplete)
{
  const auto complete = this->Admit(1, ConnectionPhase::Receiving);
  EXPECT_TRUE(this->budget.Hold(complete, 900).empty());
  this->budget.SetPhase(complete, ConnectionPhase::Answering, At(2));
  const auto growing = this->Admit(3, ConnectionPhase::Receiving);
  EXPECT_EQ(this->budget.Hold(growing, 101), std::vector{ growing });
  EXPECT_EQ(this->budget.HeldBytes(), 900U);
}

// Load: clients that open connections and send nothing. Guards against ordinary callers that find
// no connection because others keep all of them.
TEST_F(ConnectionBudgetTest, AConnectionWithoutARequestIsReplaced)
{
  constexpr std::size_t kMaxConnections = 4;
  const auto receiving = this->Admit(1, ConnectionPhase::Receiving);
  const auto answering = this->Admit(2, ConnectionPhase::Answering);
  const auto idle = this->Admit(3, ConnectionPhase::Idle);
  const auto silent = this->Admit(4, ConnectionPhase::New);
  std::vector<ConnectionNumber> replaced;
  for (int round = 0; round < 3; ++round) {
    const auto admission = this->budget.Admit(kCallers, kMaxConnections, At(5));
    ASSERT_TRUE(admission && admission->replaced);
    replaced.push_back(*admission->replaced);
    this->budget.SetPhase(admission->number, ConnectionPhase::Answering, At(5));
  }
  EXPECT_EQ(replaced, (std::vector{ silent, idle, receiving }));
  EXPECT_FALSE(this->budget.Admit(kCallers, kMaxConnections, At(6)));
  this->budget.Remove(answering);
  EXPECT_TRUE(this->budget.Admit(kCallers, kMaxConnections, At(6)));
}

// Load: a crowd of callers. Guards against a readiness probe that finds no connection.
TEST_F(ConnectionBudgetTest, AListenerHasItsOwnConnections)
{
  for (int number = 0; number < 10; ++number) {
    ASSERT_TRUE(this->budget.Admit(kCallers, 5, At(number)));
  }
  EXPECT_EQ(this->budget.Size(), 5U);
  const auto probe = this->budget.Admit(kProbes, 1, At(10));
  ASSERT_TRUE(probe);
  EXPECT_FALSE(probe->replaced);
}

// Guards against a process that holds more than its budget, whatever the order of events.
RC_GTEST_FIXTURE_PROP(ConnectionBudgetTest, NeverHoldsMoreThanTheBudget, ())
{
  constexpr std::size_t kMaxConnections = 8;
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, std::size_t, std::size_t>>>(
    rc::gen::tuple(rc::gen::inRange(0, 4),
                   rc::gen::inRange<std::size_t>(0, 16),
                   rc::gen::inRange<std::size_t>(0, kMaxBytes + 200)));
  std::vector<ConnectionNumber> numbers;
  int now = 0;
  for (const auto& [action, index, bytes] : steps) {
    ++now;
    const auto number = numbers.empty() ? 0 : numbers[index % numbers.size()];
    if (action == 0) {
      if (const auto admission = this->budget.Admit(kCallers, kMaxConnections, At(now))) {
        numbers.push_back(admission->number);
      }
    } else if (action == 1) {
      this->budget.SetPhase(number, ConnectionPhase::Receiving, At(now));
      static_cast<void>(this->budget.Hold(number, bytes));
    } else if (action == 2) {
      // A request that is complete does not grow any more.
      this->budget.SetPhase(number, ConnectionPhase::Answering, At(now));
    } else {
      static_cast<void>(this->budget.Hold(number, 0));
      this->budget.SetPhase(number, ConnectionPhase::Idle, At(now));
    }
    RC_ASSERT(this->budget.HeldBytes() <= kMaxBytes);
    RC_ASSERT(this->budget.Size() <= kMaxConnections);
  }
}

}
