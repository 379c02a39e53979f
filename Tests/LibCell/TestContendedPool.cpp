#include <LibCell/ContendedPool.h>
#include <gtest/gtest.h>

namespace zinc::cell {

// Guards against accepted work that never starts in a pool that is mostly free, since its result
// has no value any more and a gang of value fits nowhere (LOST on a drawn day of the bench).
TEST(ContendedPool, LacksNoRoomWhileMostOfItIsFree)
{
  constexpr std::int64_t kPoolMilliCores = 100'000;
  const TimePoint now{ Milliseconds{ 1000 } };
  Pool pool;
  pool.capacity.milliCores = kPoolMilliCores;
  ContendedPool contended;
  pool.free.milliCores = kPoolMilliCores / 10;
  contended.BeginRound(pool, now, false);
  contended.NoteShortage(now);
  EXPECT_TRUE(contended.IsShort(now));
  pool.free.milliCores = kPoolMilliCores / 2;
  contended.BeginRound(pool, now, false);
  contended.NoteShortage(now);
  EXPECT_FALSE(contended.IsShort(now));
}

}
