#include <LibCell/LostWorkers.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

const TimePoint kLoss{ Milliseconds{ 10'000 } };

WorkerLoss
MakeLoss(const std::string& aMachine, std::int64_t aIncarnation, std::vector<std::uint64_t> aRuns)
{
  WorkerLoss loss{ .worker = { "w-" + aMachine },
                   .machine = aMachine,
                   .incarnation = aIncarnation,
                   .rack = { "r1" },
                   .lastContact = kLoss };
  for (const auto run : aRuns) {
    loss.runs.push_back({ .task = { { "job" }, {} }, .run = run });
  }
  return loss;
}

}

// Guards against a cut or another machine that is taken for a crash, and a crash that counts twice.
TEST(LostWorkers, ConfirmsACrashOnceALaterIncarnationShows)
{
  LostWorkers lost;
  lost.Add(MakeLoss("m1", 5, { 1 }));
  EXPECT_FALSE(lost.ConfirmCrash("m1", 5).has_value()) << "the same incarnation";
  EXPECT_FALSE(lost.ConfirmCrash("m2", 6).has_value()) << "another machine";
  const auto crash = lost.ConfirmCrash("m1", 6);
  ASSERT_TRUE(crash.has_value());
  EXPECT_EQ(crash->runs.size(), 1U);
  EXPECT_FALSE(lost.ConfirmCrash("m1", 6).has_value()) << "it counts once";
}

// Guards against a cut that is counted as a crash when the machine restarts much later.
TEST(LostWorkers, DismissesAnIncarnationThatRespondsAgain)
{
  LostWorkers lost;
  lost.Add(MakeLoss("m1", 5, { 1 }));
  lost.Dismiss("m1", 4);
  EXPECT_FALSE(lost.IsEmpty());
  lost.Dismiss("m1", 5);
  EXPECT_TRUE(lost.IsEmpty());
}

// Guards against runs that are forgotten when their worker is removed before it restarts.
TEST(LostWorkers, KeepsTheRunsOfAnEarlierRecordOfTheSameIncarnation)
{
  LostWorkers lost;
  lost.Add(MakeLoss("m1", 5, { 1, 2 }));
  lost.Add(MakeLoss("m1", 5, {}));
  lost.Add(MakeLoss("m1", 4, { 3 }));
  const auto crash = lost.ConfirmCrash("m1", 6);
  ASSERT_TRUE(crash.has_value());
  EXPECT_EQ(crash->runs.size(), 2U);
}

// Guards against a single crash that is taken for a lost rack, since another worker of the rack was
// lost at another time.
TEST(LostWorkers, FindsLossesInARackWithinAWindowAndForgetsOldOnes)
{
  LostWorkers lost;
  lost.Add(MakeLoss("m1", 5, {}));
  auto late = MakeLoss("m2", 5, {});
  late.lastContact += Milliseconds{ 2500 };
  lost.Add(late);
  EXPECT_EQ(lost.FindInRack({ "r1" }, kLoss, Milliseconds{ 2000 }).size(), 1U);
  EXPECT_EQ(lost.FindInRack({ "r1" }, kLoss, Milliseconds{ 2500 }).size(), 2U);
  EXPECT_TRUE(lost.FindInRack({ "r2" }, kLoss, Milliseconds{ 2500 }).empty());
  lost.RemoveOlderThan(kLoss + Milliseconds{ 1 });
  EXPECT_EQ(lost.FindInRack({ "r1" }, kLoss, Milliseconds{ 2500 }).size(), 1U);
}

}
