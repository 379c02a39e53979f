#include <LibCell/OrderFence.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

// Guards against orders for a previous incarnation that the next one carries out.
TEST(OrderFence, RaisesTheTokenWithEachRestart)
{
  OrderFence fence(5);
  fence.OnRestarted(7);
  EXPECT_EQ(fence.Token(), 7U);
  EXPECT_FALSE(fence.AwaitsToken());
  EXPECT_TRUE(fence.IsEarlier(5));
  EXPECT_FALSE(fence.IsEarlier(7));
}

// Guards against orders with the token of the previous incarnation.
TEST(OrderFence, AwaitsATokenAboveTheOneInUse)
{
  OrderFence fence(5);
  fence.OnRestarted(5);
  EXPECT_TRUE(fence.AwaitsToken());
  fence.OnTokenAvailable(5);
  EXPECT_TRUE(fence.AwaitsToken());
  fence.OnTokenAvailable(6);
  EXPECT_FALSE(fence.AwaitsToken());
  fence.OnTokenAvailable(9);
  EXPECT_EQ(fence.Token(), 6U) << "orders in flight need not be fenced";
}

// Guards against a lease that is counted too short, since an earlier order has extended it.
TEST(OrderFence, IsOpenUntilTheIncarnationHasSeenTheToken)
{
  OrderFence fence(5);
  EXPECT_TRUE(fence.IsOpen());
  fence.OnResponse(5);
  EXPECT_FALSE(fence.IsOpen());
  fence.OnRestarted(5);
  fence.OnResponse(5);
  EXPECT_TRUE(fence.IsOpen()) << "earlier orders have the same token";
  fence.OnTokenAvailable(6);
  fence.OnResponse(5);
  EXPECT_TRUE(fence.IsOpen());
  fence.OnResponse(6);
  EXPECT_FALSE(fence.IsOpen());
}

}
