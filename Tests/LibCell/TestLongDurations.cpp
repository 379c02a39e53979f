#include <LibCell/Job.h>
#include <gtest/gtest.h>
#include <limits>

namespace zinc::cell::test {

// Guards against an objective that overflows and lies in the past, so that a job of large declared
// figures counts as late from the start.
TEST(LongDurations, AnObjectiveDoesNotOverflow)
{
  const QueuePolicy queue{ .stretch = 1e12, .slack = kMaxDuration };
  EXPECT_EQ(ComputeObjective(queue, 1000 * kMaxDuration), 2 * kMaxDuration);
}

// Guards against a call to the policy service whose timeout has passed before it is sent.
TEST(LongDurations, TheExpectedDurationOfACallDoesNotOverflow)
{
  EXPECT_EQ(ExpectedDuration({ .baseMs = 1e12, .perWorkerMs = 1e12 }, 100), kMaxDuration);
  EXPECT_EQ(ExpectedDuration({ .baseMs = 1e300, .perWorkerMs = 1e300 }, 100), kMaxDuration);
  EXPECT_EQ(ExpectedDuration({ .baseMs = 5.5, .perWorkerMs = 0.25 }, 10), Milliseconds{ 8 });
}

TEST(LongDurations, AreSaturated)
{
  EXPECT_EQ(SaturatedMilliseconds(std::numeric_limits<double>::infinity()), kMaxDuration);
  EXPECT_EQ(SaturatedMilliseconds(std::numeric_limits<double>::quiet_NaN()), Milliseconds{ 0 });
  EXPECT_EQ(SaturatedMilliseconds(-1e300), Milliseconds{ 0 });
}

}
