#include <LibCell/LeaseSuspensions.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

const SuspendedLeases kFirst{ { { "w1" }, Milliseconds{ 1000 } } };
const SuspendedLeases kBoth{ { { "w1" }, Milliseconds{ 500 } },
                             { { "w2" }, Milliseconds{ 1000 } } };

}

// Guards against a lease that the next leader does not wait for: a record counts from before it is
// written, since its response may be lost.
TEST(LeaseSuspensions, HoldFromTheRecordThatNamesTheWorkerToTheStoredOneThatOmitsIt)
{
  LeaseSuspensions suspensions;
  const auto first = suspensions.OnRecordMade(kFirst);
  EXPECT_TRUE(suspensions.Contains({ "w1" }));
  EXPECT_TRUE(suspensions.OnRecordStored(first).empty());
  EXPECT_TRUE(suspensions.Contains({ "w1" }));
  const auto second = suspensions.OnRecordMade({});
  EXPECT_TRUE(suspensions.Contains({ "w1" })) << "the store may still hold the first record";
  EXPECT_EQ(suspensions.OnRecordStored(second), std::vector<WorkerId>{ { "w1" } });
  EXPECT_FALSE(suspensions.Contains({ "w1" }));
}

// Failure: two renewals of the record are in flight, as one is sent again for want of a response.
// Guards against resuming a lease when the earlier one is stored, while the later one may follow.
TEST(LeaseSuspensions, HoldWhileALaterRecordMayNameTheWorker)
{
  LeaseSuspensions suspensions;
  (void)suspensions.OnRecordMade(kFirst);
  const auto omitting = suspensions.OnRecordMade({});
  const auto later = suspensions.OnRecordMade(kBoth);
  EXPECT_TRUE(suspensions.OnRecordStored(omitting).empty());
  EXPECT_TRUE(suspensions.OnRecordStored(later).empty());
  EXPECT_EQ(suspensions.OnRecordStored(suspensions.OnRecordMade({})).size(), 2U);
}

}
