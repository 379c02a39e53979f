#include <LibCell/StartRecords.h>
#include <gtest/gtest.h>
#include <tuple>

namespace zinc::cell::test {

namespace {

constexpr TimePoint kBegin{ Milliseconds{ 1000 } };
constexpr Milliseconds kRenewalInterval{ 500 };

}

// Guards against starting a task twice: no step starts unrecorded while a leader record promises
// otherwise.
TEST(StartRecords, AllowNoUnrecordedStartWhileTheRecordsAreStored)
{
  StartRecords records;
  records.Begin(true, kBegin);
  for (auto now = kBegin; now < kBegin + 10 * kRenewalInterval; now += kRenewalInterval) {
    EXPECT_TRUE(records.Promise(true, now));
    records.OnReportStored(now);
    EXPECT_FALSE(records.AllowsUnrecordedStart(now + kRenewalInterval));
    EXPECT_TRUE(records.TakeWaiting());
    EXPECT_FALSE(records.TakeWaiting());
  }
}

// Failure: the store is away. Guards against steps that stand still for 3 s, and against a leader
// record that the store receives late and that promises too much.
TEST(StartRecords, AllowUnrecordedStartsDuringAnOutageOfTheStore)
{
  constexpr Milliseconds kMaxStandstill{ 3000 };
  StartRecords records;
  records.Begin(true, kBegin);
  EXPECT_TRUE(records.Promise(true, kBegin));
  records.OnReportStored(kBegin);
  auto lastPromise = kBegin;
  auto now = kBegin;
  while (!records.AllowsUnrecordedStart(now)) {
    now += Milliseconds{ 100 };
    lastPromise = records.Promise(true, now) ? now : lastPromise;
    ASSERT_LT(now, kBegin + kMaxStandstill);
  }
  EXPECT_GE(now, lastPromise + kStartRecordPromise);
  EXPECT_FALSE(records.Promise(false, now)) << "a start is unrecorded";
  records.OnReportStored(now);
  EXPECT_FALSE(records.Promise(false, now));
  std::ignore = records.TakeWaiting();
  EXPECT_TRUE(records.Promise(true, now)) << "all records are stored";
}

// Failure: the store takes leader records, but no progress. Guards against steps that stand still.
TEST(StartRecords, AllowUnrecordedStartsIfARecordIsNotStoredInTime)
{
  constexpr Milliseconds kMaxStandstill{ 3000 };
  StartRecords records;
  records.Begin(true, kBegin);
  auto now = kBegin;
  while (!records.AllowsUnrecordedStart(now)) {
    now += Milliseconds{ 100 };
    std::ignore = records.Promise(true, now);
    records.OnReportStored(now);
    ASSERT_LT(now, kBegin + kMaxStandstill);
  }
}

// Guards against starting a task twice after a predecessor that recorded no starts.
TEST(StartRecords, AreIncompleteAfterAPredecessorWithoutThem)
{
  StartRecords records;
  records.Begin(false, kBegin);
  EXPECT_FALSE(records.AreComplete());
  EXPECT_FALSE(records.Promise(false, kBegin));
  EXPECT_FALSE(records.AllowsUnrecordedStart(kBegin));
}

}
