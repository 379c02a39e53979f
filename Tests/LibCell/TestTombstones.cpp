#include "CellSchedulerFixture.h"
#include <LibCell/Tombstone.h>
#include <LibCell/TombstoneAges.h>
#include <LibCell/TombstoneBudget.h>
#include <LibCell/TombstoneSweeper.h>

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace zinc::cell::test {

namespace {

RowKey
KeyOf(const std::string& aJob)
{
  return JobRowKey({ aJob }, JobRowKind::Specification);
}

/// A leader's sweeper with the store that it sweeps.
class TombstoneSweeperTest : public CellSchedulerFixture
{
protected:
  TombstoneSweeperTest()
  {
    this->store.clock = &this->clock;
    this->BeginSweeping();
  }

  /// Puts a new leader in the place of the present one. It reads all rows.
  void BeginSweeping()
  {
    this->sweeper = std::make_unique<TombstoneSweeper>(TombstoneSweeper::Dependencies{
      .store = this->monitoredStore, .clock = this->clock, .metrics = this->metrics });
    // A read tells the store's time.
    this->monitoredStore.Read(JobRowRange({ "any" }), [](const auto&) {});
    this->sweeper->OnJobRows(this->store.RowsOf(std::string(kJobTable)));
  }
  /// Writes a tombstone, as the instance does that cancels the job.
  void Cancel(const std::string& aJob, const std::string& aWorkspace = "team")
  {
    const auto text = EncodeTombstone(
      { .workspace = { aWorkspace }, .writtenAt = this->clock.Now().time_since_epoch() });
    this->store.Put(KeyOf(aJob), text);
    this->sweeper->OnJobRows(std::vector{ this->store.rows.at(KeyOf(aJob)) });
  }
  void SweepFor(Milliseconds aDuration)
  {
    constexpr Milliseconds kStep{ 10 };
    for (auto elapsed = Milliseconds{ 0 }; elapsed < aDuration; elapsed += kStep) {
      this->clock.Advance(kStep);
      this->sweeper->Tick();
    }
  }
  [[nodiscard]] bool IsStored(const std::string& aJob) const
  {
    return this->store.rows.contains(KeyOf(aJob));
  }

  MonitoredStore monitoredStore{ this->CellSchedulerFixture::store,
                                 this->clock,
                                 this->log,
                                 this->metrics };
  std::unique_ptr<TombstoneSweeper> sweeper;
};

}

// Guards against a tombstone that another row is taken for, or whose workspace is lost.
RC_GTEST_PROP(Tombstone, RoundTripsForAnyWorkspace, (const std::string& aWorkspace))
{
  const auto time = Milliseconds(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000));
  const auto text = EncodeTombstone({ .workspace = { aWorkspace }, .writtenAt = time });
  const auto decoded = DecodeTombstone(text);
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->workspace.value == aWorkspace);
  RC_ASSERT(decoded->writtenAt == time);
  RC_ASSERT(!DecodeEndedJob(text).has_value());
  RC_ASSERT(IsError(DecodeSpecification({ "job" }, text)));
}

// Guards against a malformed row that ends the process or keeps an id.
TEST(Tombstone, OtherTextsAreNoTombstones)
{
  for (const std::string_view text : { "",
                                       "tombstone",
                                       "tombstone ",
                                       "tombstone 5",
                                       "tombstone -5 team",
                                       "tombstone x team",
                                       "tombstone 99999999999999999999 team",
                                       "ended 3 team queue",
                                       "{}" }) {
    EXPECT_FALSE(DecodeTombstone(text).has_value()) << text;
  }
  EXPECT_TRUE(DecodeTombstone("tombstone 0 ")->workspace.IsEmpty());
}

TEST(Tombstone, CoversItsWorkspace)
{
  const Tombstone ofTeam{ .workspace = { "team" } };
  EXPECT_TRUE(ofTeam.Covers({ "team" }));
  EXPECT_FALSE(ofTeam.Covers({ "other" }));
  EXPECT_FALSE(ofTeam.Covers({}));
  EXPECT_TRUE(Tombstone{}.Covers({ "team" }));
}

// Load: crowds of several workspaces for ten minutes. Guards against an instance that writes more
// than its share within any window, and against a workspace that leaves the others nothing.
TEST(TombstoneBudget, HoldsWithinAnyWindow)
{
  const TombstoneBudgetOptions options{ .maxOfCell = 2000 };
  TombstoneBudget budget(options);
  budget.SetInstanceCount(4);
  ASSERT_EQ(budget.Share(), 500U);
  std::deque<TimePoint> taken;
  int calm = 0;
  TimePoint now{ Milliseconds{ 1000 } };
  const auto end = now + Milliseconds{ 600'000 };
  for (int number = 0; now < end; ++number, now += Milliseconds{ 7 }) {
    const WorkspaceId workspace{ number % 10 == 0 ? "calm" : "crowd" };
    const auto wait = budget.Take(workspace, now);
    if (wait) {
      EXPECT_GT(*wait, Milliseconds{ 0 });
      EXPECT_LE(*wait, options.window);
      continue;
    }
    taken.push_back(now);
    while (taken.front() <= now - options.window) {
      taken.pop_front();
    }
    ASSERT_LE(taken.size(), budget.Share());
    calm += workspace.value == "calm" ? 1 : 0;
  }
  EXPECT_GE(calm, 2400) << "half of the share in each of ten windows, but for the first ones";
}

// Guards against callers that come back too soon, or later than needed.
TEST(TombstoneBudget, TellsWhenToComeBack)
{
  TombstoneBudget budget({ .maxOfCell = 2, .minShare = 2 });
  const TimePoint now{ Milliseconds{ 1000 } };
  EXPECT_FALSE(budget.Take({ "a" }, now).has_value());
  EXPECT_EQ(budget.Take({ "a" }, now + Milliseconds{ 400 }), Milliseconds{ 59'600 });
  EXPECT_FALSE(budget.Take({ "b" }, now + Milliseconds{ 500 }).has_value());
  EXPECT_EQ(budget.Take({ "c" }, now + Milliseconds{ 600 }), Milliseconds{ 59'400 });
  EXPECT_FALSE(budget.Take({ "c" }, now + Milliseconds{ 60'000 }).has_value());
}

// Guards against a large cell whose instances write more together than its leader bears, and
// against an instance that may write none at all.
TEST(TombstoneBudget, SharesWithTheOtherInstances)
{
  TombstoneBudget budget({ .maxOfCell = 1200, .minShare = 100 });
  EXPECT_EQ(budget.Share(), 1200U);
  budget.SetInstanceCount(6);
  EXPECT_EQ(budget.Share(), 200U);
  budget.SetInstanceCount(147);
  EXPECT_EQ(budget.Share(), 100U);
  budget.SetInstanceCount(0);
  EXPECT_EQ(budget.Share(), 1200U);
}

// Guards against a tombstone that is removed by the age of an earlier one of the same id, and
// against news that overtake each other.
TEST(TombstoneAges, FollowTheLatestWrite)
{
  TombstoneAges ages;
  const TimePoint now{ Milliseconds{ 1000 } };
  ages.Add({ "a" }, 5, now);
  ages.Add({ "a" }, 9, now + Milliseconds{ 100 });
  ages.Add({ "a" }, 7, now);
  EXPECT_TRUE(ages.FindExpired(now, 10).empty());
  ages.Remove({ "a" }, 6);
  ASSERT_EQ(ages.FindExpired(now + Milliseconds{ 100 }, 10).size(), 1U);
  EXPECT_EQ(ages.FindExpired(now + Milliseconds{ 100 }, 10).front().version, 9U);
  ages.Remove({ "a" }, 9);
  EXPECT_EQ(ages.Size(), 0U);
  EXPECT_TRUE(ages.FindExpired(now + Milliseconds{ 100 }, 10).empty());
}

// Guards against tombstones that stay in the store without end, and against one that is removed
// while a write of its job may still be applied.
TEST_F(TombstoneSweeperTest, RemovesATombstoneAfterItsRetention)
{
  this->Cancel("a");
  this->SweepFor(kTombstoneRetention - Milliseconds{ 20 });
  EXPECT_TRUE(this->IsStored("a"));
  this->SweepFor(Milliseconds{ 100 });
  EXPECT_FALSE(this->IsStored("a"));
  EXPECT_EQ(this->sweeper->CountTombstones(), 0U);
}

// Guards against a job that is removed in place of the tombstone that it replaced, and against the
// removal of a tombstone that was written again.
TEST_F(TombstoneSweeperTest, LeavesARowThatHasChanged)
{
  this->Cancel("replaced");
  this->Cancel("renewed");
  this->Cancel("plain");
  this->SweepFor(kTombstoneRetention - Milliseconds{ 100 });
  // The watch has not told the leader yet.
  this->store.Put(KeyOf("replaced"), EncodeSpecification(MakeJob("replaced", 1, 1)));
  const auto renewed =
    EncodeTombstone({ .workspace = { "team" }, .writtenAt = this->clock.Now().time_since_epoch() });
  this->store.Put(KeyOf("renewed"), renewed);
  this->SweepFor(Milliseconds{ 500 });
  EXPECT_TRUE(this->IsStored("replaced"));
  EXPECT_TRUE(this->IsStored("renewed"));
  EXPECT_FALSE(this->IsStored("plain"));
  this->sweeper->OnJobRows(this->store.RowsOf(std::string(kJobTable)));
  EXPECT_EQ(this->sweeper->CountTombstones(), 1U);
  this->SweepFor(kTombstoneRetention);
  EXPECT_TRUE(this->IsStored("replaced"));
  EXPECT_FALSE(this->IsStored("renewed"));
}

// Failure: leaders change more often than tombstones are removed. Guards against rows that pile up
// because each leader lets them stay for the whole time again.
TEST_F(TombstoneSweeperTest, ANewLeaderCountsTheirAge)
{
  this->Cancel("a");
  for (int leader = 0; leader < 5; ++leader) {
    this->BeginSweeping();
    this->SweepFor(Milliseconds{ 13'000 });
  }
  EXPECT_FALSE(this->IsStored("a"));
}

// Guards against a tombstone that is removed at once since its writer's time is not known, or is
// ahead of the store's.
TEST_F(TombstoneSweeperTest, KeepsATombstoneOfUnknownAge)
{
  for (const auto time : { Milliseconds{ 0 }, Milliseconds{ 900'000'000'000 } }) {
    this->store.Put(KeyOf("a"), EncodeTombstone({ .workspace = { "team" }, .writtenAt = time }));
    this->BeginSweeping();
    this->SweepFor(kTombstoneRetention - Milliseconds{ 20 });
    EXPECT_TRUE(this->IsStored("a"));
    this->SweepFor(Milliseconds{ 100 });
    EXPECT_FALSE(this->IsStored("a"));
  }
}

// Failure: the response to a removal is lost, or the store turns it away. Guards against a sweeper
// that gives up, or that repeats itself without a pause.
TEST_F(TombstoneSweeperTest, TriesAgainAfterAFailure)
{
  this->Cancel("a");
  this->Cancel("b");
  this->SweepFor(kTombstoneRetention - Milliseconds{ 50 });
  this->store.mode = StoreMode::Unavailable;
  this->SweepFor(Milliseconds{ 1000 });
  this->store.mode = StoreMode::DroppingResponses;
  this->SweepFor(Milliseconds{ 2100 });
  this->store.mode = StoreMode::Available;
  const auto commits = this->store.commitCount;
  this->SweepFor(Milliseconds{ 5000 });
  EXPECT_EQ(this->sweeper->CountTombstones(), 0U);
  EXPECT_LE(this->store.commitCount, commits + 1);
}

// Load: all instances of a large cell use up their budgets. Guards against a leader that removes
// fewer tombstones than are written, and against removals that leave a slow store no time for jobs.
TEST_F(TombstoneSweeperTest, KeepsPaceWithTheBudgetsOfALargeCell)
{
  constexpr std::size_t kInstances = 147;
  TombstoneBudget budget;
  budget.SetInstanceCount(kInstances);
  const auto perWindow = kInstances * budget.Share();
  for (std::size_t number = 0; number < perWindow; ++number) {
    this->Cancel(fmt::format("{:016x}", number));
  }
  this->SweepFor(kTombstoneRetention);
  const auto commits = this->store.commitCount;
  this->SweepFor(TombstoneBudgetOptions{}.window / 2);
  EXPECT_EQ(this->sweeper->CountTombstones(), 0U);
  EXPECT_LE(this->store.commitCount - commits, 1 + perWindow / 48);
  this->Cancel("slow");
  this->SweepFor(kTombstoneRetention - Milliseconds{ 10 });
  this->store.mode = StoreMode::DelayingResponses;
  this->SweepFor(Milliseconds{ 250 });
  this->Cancel("next");
  this->store.DeliverResponses();
  EXPECT_EQ(this->sweeper->CountTombstones(), 1U);
}

// Guards against a leader that takes a tombstone for an unreadable row, or a job that replaces it
// for a known one.
TEST_F(TombstoneSweeperTest, TheSchedulerRunsAJobThatReplacesATombstone)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->Cancel("job", "stranger");
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  EXPECT_FALSE(this->StatusOf("job").isKnown);
  this->AcceptJob(MakeJob("job", 1, 1));
  this->RunFor(Milliseconds{ 200 });
  EXPECT_EQ(this->CountStarts("job"), 1U);
}

}
