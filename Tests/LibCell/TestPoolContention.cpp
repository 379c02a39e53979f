#include <LibCell/PoolContention.h>
#include <gtest/gtest.h>

namespace zinc::cell {

namespace {

constexpr std::int64_t kPoolMilliCores = 100'000;

CellPolicy
PolicyWithLimits(const std::vector<std::int64_t>& aMilliCores)
{
  CellPolicy policy;
  for (std::size_t index = 0; index < aMilliCores.size(); ++index) {
    const WorkspaceId name{ "workspace-" + std::to_string(index) };
    policy.workspaces[name] = { .name = name, .quota = { .milliCores = aMilliCores[index] } };
  }
  return policy;
}

}

// Guards against overload behaviour in deployments whose limits nearly fit into the pool.
TEST(PoolContention, DependsOnTheSumOfTheLimits)
{
  PoolContention contention;
  contention.SetPolicy(PolicyWithLimits({ 90'000, 70'000 }));
  EXPECT_FALSE(contention.IsContended("pool"));
  contention.UpdateCapacity("pool", kPoolMilliCores);
  EXPECT_FALSE(contention.IsContended("pool"));
  contention.SetPolicy(PolicyWithLimits({ 90'000, 90'000 }));
  EXPECT_TRUE(contention.IsContended("pool"));
  EXPECT_DOUBLE_EQ(contention.OversubscriptionOf("pool"), 1.8);
}

// Guards against a passing loss of workers that turns a pool into a contended one.
TEST(PoolContention, CountsWorkersThatAreAway)
{
  PoolContention contention;
  contention.SetPolicy(PolicyWithLimits({ 160'000 }));
  contention.UpdateCapacity("pool", kPoolMilliCores);
  contention.UpdateCapacity("pool", kPoolMilliCores / 2);
  EXPECT_FALSE(contention.IsContended("pool"));
}

// Guards against a pool that switches with each small change of a limit.
TEST(PoolContention, StaysContendedNearTheThreshold)
{
  PoolContention contention;
  contention.UpdateCapacity("pool", kPoolMilliCores);
  contention.SetPolicy(PolicyWithLimits({ 170'000 }));
  EXPECT_TRUE(contention.IsContended("pool"));
  contention.SetPolicy(PolicyWithLimits({ 167'000 }));
  EXPECT_TRUE(contention.IsContended("pool"));
  contention.SetPolicy(PolicyWithLimits({ 160'000 }));
  EXPECT_FALSE(contention.IsContended("pool"));
}

// Guards against a workspace without a limit that counts as one without demand.
TEST(PoolContention, AWorkspaceWithoutALimitCountsAsTheWholePool)
{
  PoolContention contention;
  contention.UpdateCapacity("pool", kPoolMilliCores);
  contention.SetPolicy(PolicyWithLimits({ 0, 80'000 }));
  EXPECT_TRUE(contention.IsContended("pool"));
}

}
