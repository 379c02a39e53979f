#include <LibCell/EarmarkBudget.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

// Load: more gangs than five in a pool of 350 workers that is nearly full. Guards against a bound
// that lets most of them wait while small tasks take each core that becomes free.
TEST(EarmarkBudget, BoundsAContendedPoolByAShareOfItsWorkers)
{
  constexpr std::size_t kPoolWorkers = 350;
  constexpr std::size_t kWorkersPerGang = 7;
  EarmarkBudget budget;
  std::size_t gangs = 0;
  while (budget.AllowsGang(true, kPoolWorkers)) {
    budget.AddGang();
    for (std::size_t worker = 0; worker < kWorkersPerGang; ++worker) {
      budget.AddWorker();
    }
    ++gangs;
  }
  EXPECT_EQ(gangs, 13U);
  budget.BeginRound();
  EXPECT_TRUE(budget.AllowsGang(true, kPoolWorkers));
}

// Guards against another number of gangs in pools whose document does not oversubscribe them.
TEST(EarmarkBudget, BoundsOtherPoolsByANumberOfGangs)
{
  constexpr std::size_t kPoolWorkers = 350;
  EarmarkBudget budget;
  for (int gang = 0; gang < 5; ++gang) {
    EXPECT_TRUE(budget.AllowsGang(false, kPoolWorkers));
    budget.AddGang();
  }
  EXPECT_FALSE(budget.AllowsGang(false, kPoolWorkers));
}

}
