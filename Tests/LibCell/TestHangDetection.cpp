#include <LibCell/HangDetection.h>
#include <gtest/gtest.h>
#include <limits>

namespace zinc::cell::test {

namespace {

constexpr Milliseconds kLongest{ 2500 };

}

// Guards against tasks of seconds that stand still for longer than before long tasks were known.
TEST(HangDetection, ShortRunsHangAfterHalfTheirEstimate)
{
  EXPECT_EQ(HangTimeout({ .estimate = Milliseconds{ 640 } }, kLongest), Milliseconds{ 1200 });
  EXPECT_EQ(HangTimeout({ .estimate = Milliseconds{ 4000 } }, kLongest), Milliseconds{ 2000 });
  EXPECT_EQ(HangTimeout({ .estimate = Milliseconds{ 60'000 } }, kLongest), kLongest);
  EXPECT_EQ(HangTimeout({ .estimate = Milliseconds{ 4000 }, .earlierHangs = 1 }, kLongest),
            Milliseconds{ 2000 })
    << "one hang may be the worker's fault";
}

TEST(HangDetection, LongRunsHaveTheTimeOfSeveralPercents)
{
  for (const std::int64_t estimateMs : { 384'000, 3'600'000, 86'400'000 }) {
    const RunPace pace{ .estimate = Milliseconds{ estimateMs } };
    EXPECT_EQ(HangTimeout(pace, kLongest), Milliseconds{ estimateMs / 25 });
    EXPECT_EQ(GangStallTimeout(pace.estimate, kLongest), kLongest)
      << "a gang must not time out at its workers";
  }
  EXPECT_EQ(HangTimeout({ .slowestPercent = Milliseconds{ 3840 } }, kLongest),
            Milliseconds{ 4 * 3840 });
}

TEST(HangDetection, TheTimeDoublesWithFurtherHangsAndDoesNotOverflow)
{
  const RunPace pace{ .estimate = Milliseconds{ 8000 }, .earlierHangs = 3 };
  EXPECT_EQ(HangTimeout(pace, kLongest), 4 * kLongest);
  EXPECT_EQ(HangTimeout({ .estimate = kMaxDuration,
                          .slowestPercent = kMaxDuration,
                          .earlierHangs = std::numeric_limits<std::uint32_t>::max() },
                        kLongest),
            kMaxDuration);
}

}
