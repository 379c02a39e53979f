#include <LibCell/SpeedProbe.h>

#include <gtest/gtest.h>

namespace zinc::cell::test {

using std::chrono::microseconds;

TEST(SpeedProbe, SaysNothingOfASteadyMachine)
{
  SpeedProbe probe;
  for (int round = 0; round < 10; ++round) {
    probe.Note(microseconds(40 + round));
  }
  EXPECT_FALSE(probe.IsSlow());
}

TEST(SpeedProbe, TellsAMachineThatHasBecomeSlow)
{
  SpeedProbe probe;
  probe.Note(microseconds(40));
  for (int round = 0; round < 3; ++round) {
    EXPECT_FALSE(probe.IsSlow());
    probe.Note(microseconds(300));
  }
  EXPECT_TRUE(probe.IsSlow());
  probe.Note(microseconds(45));
  EXPECT_FALSE(probe.IsSlow());
}

TEST(SpeedProbe, IgnoresASingleInterruption)
{
  SpeedProbe probe;
  for (int round = 0; round < 9; ++round) {
    probe.Note(microseconds(round % 3 == 0 ? 40 : 500));
    EXPECT_FALSE(probe.IsSlow());
  }
}

TEST(SpeedProbe, MeasuresSomething)
{
  EXPECT_GT(SpeedProbe::Measure().count(), 0);
}

}
