#include <LibCell/StepWait.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

// Guards against a long wait that is taken for one for its last reason.
TEST(StepWait, CountsTheTimeOfEachReason)
{
  constexpr TimePoint kBegin{ Milliseconds{ 1000 } };
  StepWait wait;
  wait.RecordAttempt(WaitReason::Limit, kBegin);
  EXPECT_EQ(wait.Total(), Milliseconds{ 0 });
  wait.RecordAttempt(WaitReason::Limit, kBegin + Milliseconds{ 700 });
  wait.RecordAttempt(WaitReason::Ticket, kBegin + Milliseconds{ 900 });
  wait.RecordAttempt(WaitReason::Limit, kBegin + Milliseconds{ 1000 });
  wait.RecordAttempt(WaitReason::Room, kBegin + Milliseconds{ 1500 });
  EXPECT_EQ(wait.TimeOf(WaitReason::Limit), Milliseconds{ 1400 });
  EXPECT_EQ(wait.TimeOf(WaitReason::Ticket), Milliseconds{ 100 });
  EXPECT_EQ(wait.TimeOf(WaitReason::Room), Milliseconds{ 0 });
  EXPECT_EQ(wait.Total(), Milliseconds{ 1500 });
  wait.RecordAttempt(WaitReason::None, kBegin + Milliseconds{ 1600 });
  EXPECT_EQ(wait.Total(), Milliseconds{ 0 });
}

}
