#include <LibCell/UnreadWorkers.h>
#include <gtest/gtest.h>
#include <tuple>

namespace zinc::cell::test {

namespace {

constexpr TimePoint kBegin{ Milliseconds{ 1000 } };
constexpr UnreadWorkersOptions kOptions{ .rowRestoreTimeout = Milliseconds{ 2500 } };

[[nodiscard]] TermSnapshot
MakeSnapshot(std::vector<WorkerId> aPreviousWorkers)
{
  return { .previousWorkers = std::move(aPreviousWorkers), .hadPredecessor = true };
}

}

// Guards against waiting without a predecessor.
TEST(UnreadWorkers, AreNoneWithoutAPredecessor)
{
  UnreadWorkers unread(kOptions);
  unread.Begin({ .workers = { { .id = { "w1" } } } }, kBegin);
  EXPECT_TRUE(unread.IsEmpty());
  EXPECT_FALSE(unread.MayKnowOf({ "job" }));
}

// Guards against starting a task again while a worker that may know of it is unread, and against
// waiting for a draining worker with jobs that it does not know of.
TEST(UnreadWorkers, MayKnowOfAnyJobUnlessTheyWereDraining)
{
  UnreadWorkers unread(kOptions);
  auto snapshot = MakeSnapshot({ { "w1" }, { "drains" } });
  snapshot.drainingJobs = { { { "drains" }, { { "its" } } } };
  unread.Begin(snapshot, kBegin);
  EXPECT_TRUE(unread.MayKnowOf({ "other" }));
  EXPECT_TRUE(unread.MarkRead({ "w1" })) << "only jobs at draining workers wait now";
  EXPECT_FALSE(unread.MayKnowOf({ "other" }));
  EXPECT_TRUE(unread.MayKnowOf({ "its" }));
  EXPECT_EQ(unread.Draining(), snapshot.drainingJobs);
  EXPECT_FALSE(unread.MarkRead({ "w1" })) << "nothing has changed";
  EXPECT_TRUE(unread.MarkRead({ "drains" }));
  EXPECT_TRUE(unread.IsEmpty());
  EXPECT_TRUE(unread.Draining().empty());
}

// Guards against waiting for workers that no longer exist, and against starting a task twice whose
// worker has a row or may get it back.
TEST(UnreadWorkers, PresumesWorkersWithoutARowGoneOnceTheirLeasesHaveExpired)
{
  UnreadWorkers unread(kOptions);
  auto snapshot = MakeSnapshot({ { "early" }, { "late" }, { "reappears" }, { "listed" } });
  snapshot.workers = { { .id = { "listed" } } };
  const auto late = kBegin + Milliseconds{ 4000 };
  snapshot.suspendedLeases = { { { "early" }, kBegin },
                               { { "late" }, late },
                               { { "reappears" }, kBegin },
                               { { "listed" }, kBegin } };
  unread.Begin(snapshot, kBegin);
  unread.OnListed({ "reappears" });
  const auto restored = kBegin + kOptions.rowRestoreTimeout;
  EXPECT_TRUE(unread.TakePresumedGone(restored - Milliseconds{ 1 }).empty());
  EXPECT_EQ(unread.TakePresumedGone(restored), std::vector<WorkerId>{ { "early" } });
  EXPECT_TRUE(unread.TakePresumedGone(late - Milliseconds{ 1 }).empty()) << "once";
  EXPECT_EQ(unread.TakePresumedGone(late), std::vector<WorkerId>{ { "late" } });
  EXPECT_TRUE(unread.TakePresumedGone(kBegin + Milliseconds{ 60'000 }).empty());
}

// Guards against starting a task twice: rows that cannot be read extend the timeout.
TEST(UnreadWorkers, PresumesNoWorkerGoneWhileRowsAreUnknown)
{
  UnreadWorkers unread(kOptions);
  auto snapshot = MakeSnapshot({ { "gone" } });
  snapshot.suspendedLeases = { { { "gone" }, kBegin } };
  unread.Begin(snapshot, kBegin);
  unread.OnRowsUnavailable(kBegin + Milliseconds{ 4000 });
  const auto restored = kBegin + Milliseconds{ 4000 } + kOptions.rowRestoreTimeout;
  EXPECT_TRUE(unread.TakePresumedGone(restored - Milliseconds{ 1 }).empty());
  EXPECT_EQ(unread.TakePresumedGone(restored).size(), 1U);
}

// Guards against starting a task twice: the predecessor may have renewed the lease of any worker
// that its record does not name as suspended, whether or not the worker has a row.
TEST(UnreadWorkers, PresumesNoWorkerGoneWhoseLeaseMayHaveBeenRenewed)
{
  UnreadWorkers unread(kOptions);
  auto snapshot = MakeSnapshot({ { "w1" }, { "w2" } });
  snapshot.suspendedLeases = { { { "w1" }, kBegin } };
  unread.Begin(snapshot, kBegin);
  unread.SetLeasesExpiry(kBegin + Milliseconds{ 12'000 });
  EXPECT_EQ(unread.TakePresumedGone(kBegin + Milliseconds{ 60'000 }),
            std::vector<WorkerId>{ { "w1" } });
  EXPECT_EQ(unread.LeaseExpiryOf({ "w1" }), kBegin);
  EXPECT_EQ(unread.LeaseExpiryOf({ "w2" }), kBegin + Milliseconds{ 12'000 });
  EXPECT_FALSE(unread.MarkRead({ "w1" }));
  EXPECT_TRUE(unread.MarkRead({ "w2" }));
}

// Guards against starting a task twice that a worker runs which has started again: it carries out
// orders of the predecessor late, for leases of its own clock.
TEST(UnreadWorkers, AreAwaitedLongerIfTheyHaveStartedAgain)
{
  constexpr Milliseconds kOrderDelay{ 15'000 };
  UnreadWorkers unread({ .maxOrderDelay = kOrderDelay });
  auto snapshot = MakeSnapshot({ { "w1" }, { "w2" }, { "left" } });
  snapshot.workers = { { .id = { "w1" } }, { .id = { "w2" } }, { .id = { "left" } } };
  unread.Begin(snapshot, kBegin);
  unread.SetLeasesExpiry(kBegin);
  EXPECT_EQ(unread.AwaitedUntil(), kBegin);
  constexpr std::int64_t kIncarnation = 7;
  unread.OnStartedLately({ "w1" }, kIncarnation);
  EXPECT_EQ(unread.AwaitedUntil(), kBegin + kOrderDelay);
  std::ignore = unread.MarkRead({ "w1" });
  EXPECT_EQ(unread.AwaitedUntil(), kBegin) << "it has reported";
  unread.OnStartedLately({ "left" }, kIncarnation);
  unread.OnUnlisted({ "left" });
  EXPECT_EQ(unread.AwaitedUntil(), kBegin) << "it is gone";
}

// Guards against jobs that stand still for a worker that started lately and refuses orders for its
// previous incarnation, and against starting a task twice after it has started once more.
TEST(UnreadWorkers, AreNotAwaitedLongerIfThePredecessorHadFencedThem)
{
  constexpr Milliseconds kOrderDelay{ 15'000 };
  constexpr std::int64_t kFenced = 7;
  UnreadWorkers unread({ .maxOrderDelay = kOrderDelay });
  auto snapshot = MakeSnapshot({ { "w1" } });
  snapshot.fencedIncarnations = { { { "w1" }, kFenced } };
  unread.Begin(snapshot, kBegin);
  unread.SetLeasesExpiry(kBegin);
  unread.OnStartedLately({ "w1" }, kFenced);
  EXPECT_EQ(unread.AwaitedUntil(), kBegin);
  EXPECT_EQ(unread.CountUnfenced(), 0U);
  EXPECT_EQ(unread.Fenced(), snapshot.fencedIncarnations) << "a further leader needs it too";
  unread.OnStartedLately({ "w1" }, kFenced + 1);
  EXPECT_EQ(unread.AwaitedUntil(), kBegin + kOrderDelay);
  EXPECT_EQ(unread.CountUnfenced(), 1U);
}

// Guards against jobs that stand still for a worker at which the predecessor started nothing, since
// its leader record did not name it.
TEST(UnreadWorkers, AreOnlyThoseThatThePredecessorHasNamed)
{
  UnreadWorkers unread(kOptions);
  auto snapshot = MakeSnapshot({ { "w1" } });
  snapshot.workers = { { .id = { "w1" } }, { .id = { "added" } } };
  unread.Begin(snapshot, kBegin);
  EXPECT_FALSE(unread.Contains({ "added" }));
  EXPECT_TRUE(unread.MarkRead({ "w1" }));
}

}
