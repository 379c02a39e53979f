#include <LibCell/SpeedProbe.h>

#include <gtest/gtest.h>

namespace zinc::cell::test {

using std::chrono::microseconds;

TEST(SpeedProbe, IsNotSlowOnASteadyMachine)
{
  SpeedProbe probe;
  for (int round = 0; round < 10; ++round) {
    probe.AddMeasurement(microseconds(40 + round));
  }
  EXPECT_FALSE(probe.IsSlow());
}

TEST(SpeedProbe, DetectsAMachineThatHasBecomeSlow)
{
  SpeedProbe probe;
  probe.AddMeasurement(microseconds(40));
  for (int round = 0; round < 3; ++round) {
    EXPECT_FALSE(probe.IsSlow());
    probe.AddMeasurement(microseconds(300));
  }
  EXPECT_TRUE(probe.IsSlow());
  probe.AddMeasurement(microseconds(45));
  EXPECT_FALSE(probe.IsSlow());
}

TEST(SpeedProbe, IgnoresASingleInterruption)
{
  SpeedProbe probe;
  for (int round = 0; round < 9; ++round) {
    probe.AddMeasurement(microseconds(round % 3 == 0 ? 40 : 500));
    EXPECT_FALSE(probe.IsSlow());
  }
}

TEST(SpeedProbe, MeasuresAPositiveDuration)
{
  EXPECT_GT(SpeedProbe::Measure().count(), 0);
}

}
