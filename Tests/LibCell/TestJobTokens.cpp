#include <LibCell/JobTokens.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

// Load: a workspace that submits ten times its weight for a minute. Guards against more jobs before
// those of others than its weight allows, and against fewer.
TEST(JobTokens, AllowABurstAndThenTheWeight)
{
  constexpr double kWeight = 5.0;
  JobTokens tokens;
  TimePoint now{ Milliseconds{ 1000 } };
  int taken = 0;
  for (int number = 0; number < 3000; ++number, now += Milliseconds{ 20 }) {
    taken += tokens.Take(kWeight, now) ? 1 : 0;
  }
  EXPECT_NEAR(taken, 20 + 60 * 5, 1);
}

// Guards against a workspace that saves up tokens while it is idle.
TEST(JobTokens, HoldNoMoreThanABurst)
{
  JobTokens tokens;
  TimePoint now{ Milliseconds{ 1000 } };
  EXPECT_TRUE(tokens.Take(1.0, now));
  now += Milliseconds{ 3'600'000 };
  int taken = 0;
  while (tokens.Take(1.0, now)) {
    ++taken;
  }
  EXPECT_EQ(taken, 4);
}

}
