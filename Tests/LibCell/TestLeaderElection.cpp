#include "MemoryStore.h"
#include <LibCell/LeaderElection.h>

#include <gtest/gtest.h>
#include <optional>

namespace zinc::cell::test {

namespace {

class LeaderElectionTest : public testing::Test
{
protected:
  /// One instance with its view of the ownership row.
  struct Instance
  {
    Instance(LeaderElectionTest& aTest,
             const std::string& aName,
             const std::string& aLife = "1",
             std::uint32_t aMilliCores = 120)
      : watched(aTest.store, aTest.clock, aTest.log, aTest.metrics)
      , leadership(
          { .store = this->watched,
            .clock = aTest.clock,
            .log = aTest.log,
            .onBegun =
              [this](const Term& aTerm) {
                this->term = aTerm;
                ++this->terms;
              },
            .onLost = [this](std::string_view) { this->term.reset(); },
            .news =
              [this] {
                return LeaderReport{ .workers = this->workers,
                                     .isRecovering = this->isRecovering,
                                     .recoveryLeft = this->recoveryLeft };
              },
            .onPublished =
              [this](const std::vector<std::string>& aWorkers) { this->published = aWorkers; } },
          { .name = aName,
            .incarnation = aName + aLife,
            .address = "10.0.0.1",
            .port = 1,
            .milliCores = aMilliCores },
          aTest.options)
    {
    }

    MonitoredStore watched;
    std::vector<std::string> workers;
    std::vector<std::string> published;
    bool isRecovering = false;
    Milliseconds recoveryLeft{ 0 };
    std::optional<Term> term;
    int terms = 0;
    LeaderElection leadership;
  };

  LeaderElectionTest()
  {
    this->options.firstTake = Milliseconds{ 0 };
    this->clock.Advance(Milliseconds{ 100'000 });
  }

  [[nodiscard]] Row OwnerRow() const
  {
    const auto found = this->store.rows.find(
      { std::string(kCellTable), std::string(kLeaderPartition), std::string(kLeaderKey) });
    return found == this->store.rows.end() ? Row{} : found->second;
  }

  /// Lets instances that can read go on.
  void Run(std::vector<Instance*> aInstances, Milliseconds aTime)
  {
    constexpr Milliseconds kStep{ 20 };
    for (Milliseconds elapsed{ 0 }; elapsed < aTime; elapsed += kStep) {
      for (auto* instance : aInstances) {
        instance->leadership.OnLeaderRow(this->OwnerRow());
        instance->leadership.Tick(this->clock.Now());
      }
      this->clock.Advance(kStep);
    }
  }

  LeaderElectionOptions options;
  ManualClock clock;
  MemoryStore store;
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
};

}

TEST_F(LeaderElectionTest, OneInstanceTakesAFreeRow)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first, &second }, Milliseconds{ 500 });
  EXPECT_EQ(first.term.has_value() + second.term.has_value(), 1);
}

TEST_F(LeaderElectionTest, TakesOverWhenTheRowStandsStill)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  first.workers = { "w1", "w2" };
  this->Run({ &first, &second }, Milliseconds{ 1000 });
  ASSERT_TRUE(first.term);
  this->Run({ &second }, Milliseconds{ 1000 });
  EXPECT_FALSE(second.term);
  this->Run({ &second }, Milliseconds{ 1000 });
  ASSERT_TRUE(second.term);
  EXPECT_GT(second.term->token, first.term->token);
  EXPECT_FALSE(second.term->isPredecessorDead);
  EXPECT_EQ(second.term->previousWorkers.size(), 2U);
  this->Run({ &first }, Milliseconds{ 100 });
  EXPECT_FALSE(first.term);
}

TEST_F(LeaderElectionTest, TakesOverAtOnceFromARestartedOwner)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first, &second }, Milliseconds{ 300 });
  auto& owner = first.term ? first : second;
  auto& other = first.term ? second : first;
  this->Run({ &owner, &other }, Milliseconds{ 700 });
  const std::string name = first.term ? "first" : "second";
  other.leadership.OnInstance(name, { .incarnation = "another life" }, ++this->store.version);
  this->Run({ &other }, Milliseconds{ 200 });
  ASSERT_TRUE(other.term);
  EXPECT_TRUE(other.term->isPredecessorDead);
}

TEST_F(LeaderElectionTest, DoesNotTakeAnOwnersFormerLifeForItsDeath)
{
  Instance first(*this, "first", "2");
  Instance second(*this, "second");
  second.leadership.OnInstance("first", { .incarnation = "first1" }, ++this->store.version);
  this->Run({ &first }, Milliseconds{ 300 });
  this->Run({ &first, &second }, Milliseconds{ 1000 });
  EXPECT_TRUE(first.term);
  EXPECT_FALSE(second.term);
}

// The pattern: instances of unequal size, all restarted at once.
TEST_F(LeaderElectionTest, TheLargestInstanceTakesOver)
{
  Instance small(*this, "small");
  Instance large(*this, "large", "1", 500);
  small.leadership.OnInstance("large", { .milliCores = 500 }, ++this->store.version);
  large.leadership.OnInstance("small", { .milliCores = 120 }, ++this->store.version);
  this->Run({ &small, &large }, Milliseconds{ 500 });
  EXPECT_TRUE(large.term);
}

TEST_F(LeaderElectionTest, ARestartedCellHasAnOwnerAtOnce)
{
  Instance before(*this, "first");
  this->Run({ &before }, Milliseconds{ 600 });
  this->options.firstTake = LeaderElectionOptions{}.firstTake;
  Instance after(*this, "first", "2");
  this->Run({ &after }, Milliseconds{ 100 });
  EXPECT_TRUE(after.term);
}

TEST_F(LeaderElectionTest, AFreeRowIsTakenWhenTheOthersAreKnown)
{
  this->options.firstTake = Milliseconds{ 600 };
  Instance first(*this, "first");
  this->Run({ &first }, Milliseconds{ 500 });
  EXPECT_FALSE(first.term);
  this->Run({ &first }, Milliseconds{ 300 });
  EXPECT_TRUE(first.term);
}

TEST_F(LeaderElectionTest, HandsOverWhenItLeaves)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  first.leadership.Leave();
  this->Run({ &first, &second }, Milliseconds{ 300 });
  EXPECT_FALSE(first.term);
  ASSERT_TRUE(second.term);
  EXPECT_TRUE(second.term->isPredecessorDead);
  this->Run({ &first }, Milliseconds{ 3000 });
  EXPECT_FALSE(first.term) << "it does not come back";
}

TEST_F(LeaderElectionTest, WaitsAnewAfterTheStoreWasAway)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first, &second }, Milliseconds{ 300 });
  auto& owner = first.term ? first : second;
  auto& other = first.term ? second : first;
  this->store.mode = StoreMode::Refusing;
  for (int round = 0; round < 100; ++round) {
    owner.leadership.Tick({});
    other.leadership.Tick({});
    this->clock.Advance(Milliseconds{ 40 });
  }
  this->store.mode = StoreMode::Serving;
  this->Run({ &owner, &other }, Milliseconds{ 500 });
  EXPECT_TRUE(owner.term);
  EXPECT_FALSE(other.term);
}

TEST_F(LeaderElectionTest, RenewalWithoutAnAnswerIsNoLoss)
{
  Instance first(*this, "first");
  this->Run({ &first }, Milliseconds{ 600 });
  this->store.mode = StoreMode::LosingAnswers;
  this->Run({ &first }, Milliseconds{ 1500 });
  this->store.mode = StoreMode::Serving;
  this->Run({ &first }, Milliseconds{ 1500 });
  EXPECT_TRUE(first.term);
  EXPECT_EQ(first.terms, 1);
  EXPECT_GT(first.leadership.TermEnd(), this->clock.Now());
}

TEST_F(LeaderElectionTest, AnAttemptWithoutAnAnswerTakesEffect)
{
  Instance first(*this, "first");
  this->store.mode = StoreMode::LosingAnswers;
  this->Run({ &first }, Milliseconds{ 200 });
  this->store.mode = StoreMode::Serving;
  this->Run({ &first }, Milliseconds{ 200 });
  EXPECT_TRUE(first.term);
}

TEST_F(LeaderElectionTest, TakesOverAtOnceFromAnOwnerThatResigned)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  first.workers = { "w1" };
  this->Run({ &first, &second }, Milliseconds{ 1000 });
  ASSERT_TRUE(first.term);
  const auto token = first.term->token;
  // A worker that was reached after the last renewal.
  first.workers = { "w1", "w2" };
  const auto resignation = first.leadership.Resign();
  ASSERT_TRUE(resignation);
  EXPECT_EQ(resignation->token, token);
  EXPECT_FALSE(first.term);
  EXPECT_FALSE(first.leadership.Resign());

  second.leadership.OnResigned(*resignation);
  this->Run({ &second }, Milliseconds{ 40 });
  ASSERT_TRUE(second.term);
  EXPECT_TRUE(second.term->isPredecessorDead);
  EXPECT_EQ(second.term->previousWorkers.size(), 2U);
}

TEST_F(LeaderElectionTest, ALateWordOfAResignationMeansNothingToTheNextTerm)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  const auto resignation = first.leadership.Resign();
  ASSERT_TRUE(resignation);
  // The store is back; the first takes a new term before the second learns anything.
  this->Run({ &first }, Milliseconds{ 300 });
  ASSERT_TRUE(first.term);
  second.leadership.OnResigned(*resignation);
  this->Run({ &first, &second }, Milliseconds{ 1000 });
  EXPECT_FALSE(second.term);
  EXPECT_EQ(first.terms, 2);
}

TEST_F(LeaderElectionTest, TellsWhichWorkersTheRowNamesAndRenewsItSoon)
{
  Instance first(*this, "first");
  this->Run({ &first }, Milliseconds{ 300 });
  first.workers = { "w1" };
  this->Run({ &first }, Milliseconds{ 100 });
  EXPECT_TRUE(first.published.empty());
  first.leadership.RenewSoon();
  this->Run({ &first }, Milliseconds{ 40 });
  EXPECT_EQ(first.published, first.workers);
}

// The pattern: an owner that did not reach the store reads it again, and would start a job that was
// accepted in the next owner's term before it has read the ownership row.
TEST_F(LeaderElectionTest, LearnsOfALaterTermAmongTheJobs)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  ASSERT_TRUE(first.term);
  const RowKey key{ .table = std::string(kJobTable),
                    .partition = std::string(kTermPartition),
                    .key = std::string(kLeaderKey) };
  first.leadership.OnTermRow(this->store.rows.at(key).version);
  ASSERT_TRUE(first.term);

  this->Run({ &second }, Milliseconds{ 3000 });
  ASSERT_TRUE(second.term);
  EXPECT_EQ(this->store.rows.at(key).version, second.term->token);
  first.leadership.OnTermRow(this->store.rows.at(key).version);
  EXPECT_FALSE(first.term);
  second.leadership.OnTermRow(this->store.rows.at(key).version);
  EXPECT_TRUE(second.term);
}

TEST_F(LeaderElectionTest, CountsThePredecessorsTermFromItsLastRenewal)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first, &second }, Milliseconds{ 20 });
  auto& owner = first.term ? first : second;
  auto& other = first.term ? second : first;
  this->Run({ &owner, &other }, Milliseconds{ 1000 });
  const auto lastSeen = this->clock.Now();
  this->Run({ &other }, Milliseconds{ 3000 });
  ASSERT_TRUE(other.term);
  const auto bound = this->options.term + this->options.leaseBound;
  EXPECT_LE(other.term->predecessorEnd, lastSeen + bound);
  EXPECT_GE(other.term->predecessorEnd, lastSeen - this->options.renewEvery + bound);
}

TEST_F(LeaderElectionTest, CountsADeadPredecessorsLeasesFromItsDeathAtTheLatest)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first, &second }, Milliseconds{ 20 });
  auto& owner = first.term ? first : second;
  auto& other = first.term ? second : first;
  const std::string name = first.term ? "first" : "second";
  this->Run({ &owner, &other }, Milliseconds{ 1000 });
  other.leadership.OnInstance(name, { .incarnation = "another life" }, ++this->store.version);
  this->Run({ &other }, Milliseconds{ 200 });
  ASSERT_TRUE(other.term);
  EXPECT_LE(other.term->predecessorEnd, this->clock.Now() + this->options.leaseBound);
}

// The pattern: all instances lose power while their leader still waits for the leases of the one
// before, which was cut off.
TEST_F(LeaderElectionTest, WaitsForWhatAConductorBeforeThePredecessorHasGranted)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  Instance third(*this, "third");
  this->Run({ &first }, Milliseconds{ 600 });
  second.isRecovering = true;
  second.recoveryLeft = Milliseconds{ 11'000 };
  this->Run({ &second }, Milliseconds{ 2500 });
  ASSERT_TRUE(second.term);
  this->Run({ &second, &third }, Milliseconds{ 600 });
  third.leadership.OnInstance("second", { .incarnation = "another life" }, ++this->store.version);
  this->Run({ &third }, Milliseconds{ 200 });
  ASSERT_TRUE(third.term);
  EXPECT_GE(third.term->formerEnd, this->clock.Now() + Milliseconds{ 10'000 });
  EXPECT_GE(third.term->predecessorEnd, third.term->formerEnd);
}

// The pattern: the leader's machine runs at an eighth of its speed for some seconds.
TEST_F(LeaderElectionTest, HandsOverWhileItsMachineIsSlow)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  first.leadership.OnInstance("second", { .incarnation = "second1", .milliCores = 120 }, 1);
  this->Run({ &first }, Milliseconds{ 3000 });
  ASSERT_TRUE(first.term);
  first.leadership.SetSlow(true);
  this->Run({ &first, &second }, Milliseconds{ 300 });
  EXPECT_FALSE(first.term);
  ASSERT_TRUE(second.term);
  EXPECT_TRUE(second.term->isPredecessorDead);
  this->Run({ &first, &second }, Milliseconds{ 3000 });
  EXPECT_TRUE(second.term);
}

// The pattern: the store loses the answer to the row that hands the term over. Others take it at
// once.
TEST_F(LeaderElectionTest, StopsWhenItsOwnRowSaysThatItHandsOver)
{
  Instance first(*this, "first");
  this->Run({ &first }, Milliseconds{ 3000 });
  ASSERT_TRUE(first.term);
  this->store.mode = StoreMode::LosingAnswers;
  first.leadership.Leave();
  first.leadership.Tick(this->clock.Now());
  ASSERT_TRUE(first.term);
  first.leadership.OnLeaderRow(this->OwnerRow());
  EXPECT_FALSE(first.term);
}

TEST_F(LeaderElectionTest, KeepsItsTermThoughSlowWhereNobodyIsLargeEnough)
{
  Instance first(*this, "first", "1", 500);
  first.leadership.OnInstance("second", { .incarnation = "second1", .milliCores = 120 }, 1);
  this->Run({ &first }, Milliseconds{ 3000 });
  ASSERT_TRUE(first.term);
  first.leadership.SetSlow(true);
  this->Run({ &first }, Milliseconds{ 1000 });
  EXPECT_TRUE(first.term);
}

TEST_F(LeaderElectionTest, LeavesAFreeRowToOthersWhileItsMachineIsSlow)
{
  Instance slow(*this, "slow", "1", 500);
  Instance other(*this, "other");
  other.leadership.OnInstance("slow", { .incarnation = "slow1", .milliCores = 500 }, 1);
  slow.leadership.SetSlow(true);
  this->Run({ &slow, &other }, Milliseconds{ 500 });
  EXPECT_FALSE(slow.term);
  EXPECT_TRUE(other.term);
}

TEST_F(LeaderElectionTest, TakesAFreeRowThoughSlowIfNobodyElseDoes)
{
  Instance slow(*this, "slow");
  slow.leadership.SetSlow(true);
  this->Run({ &slow }, Milliseconds{ 2000 });
  EXPECT_TRUE(slow.term);
}

TEST_F(LeaderElectionTest, PassesOnThatAPredecessorHadNotRecovered)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  Instance third(*this, "third");
  this->Run({ &first }, Milliseconds{ 600 });
  second.isRecovering = true;
  this->Run({ &second }, Milliseconds{ 2500 });
  ASSERT_TRUE(second.term);
  second.leadership.Leave();
  this->Run({ &second, &third }, Milliseconds{ 700 });
  ASSERT_TRUE(third.term);
  EXPECT_FALSE(third.term->isPredecessorDead);
}

}
