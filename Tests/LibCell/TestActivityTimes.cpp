#include <LibCell/ActivityTimes.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

using std::chrono::nanoseconds;

nanoseconds sNow{ 0 };

nanoseconds
ReadTestClock()
{
  return sNow;
}

}

// Guards against time that counts twice: an order that is sent during a placement round is not part
// of the round.
TEST(ActivityTimes, AnActivityInterruptsTheOneAroundIt)
{
  ActivityTimes times(&ReadTestClock);
  {
    const ActivityTimes::Scope placement(times, Activity::Placement);
    sNow += nanoseconds{ 5 };
    {
      const ActivityTimes::Scope orders(times, Activity::Orders);
      sNow += nanoseconds{ 7 };
    }
    sNow += nanoseconds{ 1 };
  }
  sNow += nanoseconds{ 100 };
  EXPECT_EQ(times.TimeOf(Activity::Placement), nanoseconds{ 6 });
  EXPECT_EQ(times.TimeOf(Activity::Orders), nanoseconds{ 7 });
  EXPECT_EQ(times.TimeOf(Activity::Idle), nanoseconds{ 0 });
  times.Reset();
  EXPECT_EQ(times.TimeOf(Activity::Placement), nanoseconds{ 0 });
}

}
