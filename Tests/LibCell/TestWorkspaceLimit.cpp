#include <LibCell/WorkspaceLimit.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

constexpr double kHeadroom = 0.06;

WorkspaceUsage
MakeUsage(const Resources& aRunning)
{
  WorkspaceUsage usage;
  usage.limit = { .milliCores = 100'000, .memoryMiB = 1'000'000 };
  usage.running = aRunning;
  return usage;
}

LimitRequest
MakeGang(std::uint32_t aTasks, const Resources& aDemand)
{
  return { .demand = aDemand, .maxTasks = aTasks, .mayUseReservation = true };
}

}

// Load: two wide gangs of one workspace. Guards against the second one waiting for the part of the
// limit that is kept for urgent tasks, while more than half of the limit is free.
TEST(WorkspaceLimit, BatchTasksMayUseAllOfItBelowHalf)
{
  const auto gang = MakeGang(10, { .milliCores = 5000 });
  EXPECT_EQ(CountTasksWithinLimit(MakeUsage({ .milliCores = 49'000 }), gang, kHeadroom), 10U);
  EXPECT_EQ(CountTasksWithinLimit(MakeUsage({ .milliCores = 50'000 }), gang, kHeadroom), 8U);
}

// Guards against a gang that waits for the headroom of one resource while half of another is free.
TEST(WorkspaceLimit, HalfCountsForEachResource)
{
  const auto gang = MakeGang(10, { .milliCores = 3000, .memoryMiB = 46'000 });
  EXPECT_EQ(CountTasksWithinLimit(
              MakeUsage({ .milliCores = 31'000, .memoryMiB = 497'000 }), gang, kHeadroom),
            10U);
  EXPECT_EQ(CountTasksWithinLimit(
              MakeUsage({ .milliCores = 31'000, .memoryMiB = 500'000 }), gang, kHeadroom),
            9U);
}

TEST(WorkspaceLimit, BatchTasksLeaveHeadroomFromHalfOn)
{
  const auto usage = MakeUsage({ .milliCores = 90'000 });
  LimitRequest request{ .demand = { .milliCores = 1000 }, .maxTasks = 10 };
  EXPECT_EQ(CountTasksWithinLimit(usage, request, kHeadroom), 4U);
  request.mayUseHeadroom = true;
  EXPECT_EQ(CountTasksWithinLimit(usage, request, kHeadroom), 10U);
}

TEST(WorkspaceLimit, IsNeverExceeded)
{
  const auto gang = MakeGang(10, { .milliCores = 6000 });
  EXPECT_EQ(CountTasksWithinLimit(MakeUsage({ .milliCores = 49'000 }), gang, kHeadroom), 8U);
}

}
