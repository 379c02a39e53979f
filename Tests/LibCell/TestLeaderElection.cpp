#include "MemoryStore.h"
#include <LibCell/LeaderElection.h>

#include <gtest/gtest.h>
#include <optional>

namespace zinc::cell::test {

namespace {

class LeaderElectionTest : public testing::Test
{
protected:
  /// An instance that takes part in the election.
  struct Instance
  {
    Instance(LeaderElectionTest& aTest,
             const std::string& aName,
             const std::string& aIncarnation = "1",
             std::uint32_t aMilliCores = 120)
      : monitoredStore(aTest.store, aTest.clock, aTest.log, aTest.metrics)
      , election(
          { .store = this->monitoredStore,
            .clock = aTest.clock,
            .log = aTest.log,
            .onTermBegun =
              [this](const Term& aTerm) {
                this->term = aTerm;
                ++this->termCount;
              },
            .onTermLost = [this](std::string_view) { this->term.reset(); },
            .makeReport =
              [this] {
                return LeaderReport{ .workers = this->workers,
                                     .suspendedLeases = this->suspendedLeases,
                                     .fencedIncarnations = this->fencedIncarnations,
                                     .recordsStarts = true,
                                     .longestLease = this->longestLease,
                                     .expectedWaits = this->expectedWaits,
                                     .isRecovering = this->isRecovering,
                                     .recoveryLeft = this->recoveryLeft };
              },
            .onReportStored = [this](const LeaderReport& aReport,
                                     std::uint64_t) { this->publishedWorkers = aReport.workers; } },
          { .name = aName,
            .incarnation = aName + aIncarnation,
            .address = "10.0.0.1",
            .port = 1,
            .milliCores = aMilliCores },
          aTest.options)
    {
    }

    MonitoredStore monitoredStore;
    std::vector<std::string> workers;
    SuspendedLeases suspendedLeases;
    FencedIncarnations fencedIncarnations;
    Milliseconds longestLease{ 0 };
    std::vector<std::string> publishedWorkers;
    std::vector<ExpectedWait> expectedWaits;
    bool isRecovering = false;
    Milliseconds recoveryLeft{ 0 };
    std::optional<Term> term;
    int termCount = 0;
    LeaderElection election;
  };

  LeaderElectionTest()
  {
    this->options.startupDelay = Milliseconds{ 0 };
    this->clock.Advance(Milliseconds{ 100'000 });
  }

  [[nodiscard]] Row LeaderRow() const
  {
    const auto found = this->store.rows.find(
      { std::string(kCellTable), std::string(kLeaderPartition), std::string(kLeaderKey) });
    return found == this->store.rows.end() ? Row{} : found->second;
  }

  /// Advances time; meanwhile the given instances read the leader record and tick.
  void Run(std::vector<Instance*> aInstances, Milliseconds aTime)
  {
    constexpr Milliseconds kStep{ 20 };
    for (Milliseconds elapsed{ 0 }; elapsed < aTime; elapsed += kStep) {
      for (auto* instance : aInstances) {
        instance->election.OnLeaderRow(this->LeaderRow());
        instance->election.Tick(this->clock.Now());
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

TEST_F(LeaderElectionTest, ElectsOneLeader)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first, &second }, Milliseconds{ 500 });
  EXPECT_EQ(first.term.has_value() + second.term.has_value(), 1);
}

TEST_F(LeaderElectionTest, TakesOverWhenRenewalsStop)
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
  EXPECT_FALSE(second.term->hasPredecessorStopped);
  EXPECT_EQ(second.term->previousWorkers.size(), 2U);
  this->Run({ &first }, Milliseconds{ 100 });
  EXPECT_FALSE(first.term);
}

// Guards against a successor, or the one after it, that waits for leases which nobody renews, and
// against one that counts them as expired too early: their time runs from when the record was read.
TEST_F(LeaderElectionTest, HandsOnTheSuspendedLeases)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  first.workers = { "w1", "w2" };
  first.suspendedLeases = { { { "w2" }, Milliseconds{ 5000 } } };
  this->Run({ &first, &second }, Milliseconds{ 1000 });
  const auto readAt = this->clock.Now();
  while (!second.term && this->clock.Now() < readAt + Milliseconds{ 3000 }) {
    this->Run({ &second }, Milliseconds{ 20 });
  }
  ASSERT_TRUE(second.term);
  ASSERT_EQ(second.term->suspendedLeases.size(), 1U);
  const auto expiry = second.term->suspendedLeases.at({ "w2" });
  EXPECT_LE(expiry, readAt + Milliseconds{ 5000 });
  EXPECT_GT(expiry, readAt + Milliseconds{ 4400 }) << "the record is renewed each 500 ms";
  const auto takeover = DecodeLeaderRecord(this->LeaderRow().value);
  ASSERT_FALSE(IsError(takeover));
  ASSERT_EQ(ValueOf(takeover).instance, "second");
  ASSERT_EQ(ValueOf(takeover).suspendedLeases.size(), 1U);
  const auto left = ValueOf(takeover).suspendedLeases.at({ "w2" });
  EXPECT_GE(this->clock.Now() + left, expiry);
  EXPECT_LE(this->clock.Now() + left, expiry + Milliseconds{ 20 });
}

// Guards against a successor, or the one after it, that waits for orders which the workers refuse,
// and against one that counts the longest leases of workers that started lately as expired too
// early.
TEST_F(LeaderElectionTest, HandsOnTheFencedIncarnationsAndTheLongestLease)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  first.workers = { "w1", "w2" };
  first.fencedIncarnations = { { { "w2" }, 1'700'000'000'000 } };
  first.longestLease = this->options.termDuration + this->options.maxLeaseAfterTerm * 2;
  this->Run({ &first, &second }, Milliseconds{ 1000 });
  const auto readAt = this->clock.Now();
  this->Run({ &second }, Milliseconds{ 3000 });
  ASSERT_TRUE(second.term);
  EXPECT_FALSE(second.term->hasStartRecords) << "the first leader may still start tasks";
  EXPECT_EQ(second.term->fencedIncarnations, first.fencedIncarnations);
  EXPECT_GT(second.term->priorLeasesExpiry,
            readAt - this->options.renewalInterval * 2 + first.longestLease);
  EXPECT_LE(second.term->priorLeasesExpiry, readAt + first.longestLease);
}

// Guards against starting a task twice: a leader that is known to have stopped recorded its starts
// only for a while after its last record. Guards also against waiting for those that it recorded.
TEST_F(LeaderElectionTest, KnowsTheStartsOfALeaderThatHasStoppedLately)
{
  for (const auto& [delay, isKnown] :
       { std::pair{ Milliseconds{ 500 }, true }, std::pair{ kStartRecordPromise, false } }) {
    this->store = {};
    this->store.clock = &this->clock;
    Instance first(*this, "first");
    Instance second(*this, "second");
    for (auto* instance : { &first, &second }) {
      instance->monitoredStore.Read({ .table = std::string(kCellTable) }, [](const auto&) {});
    }
    this->Run({ &first }, Milliseconds{ 300 });
    this->Run({ &first, &second }, Milliseconds{ 700 });
    ASSERT_TRUE(first.term);
    this->clock.Advance(delay);
    second.election.OnInstanceRecord(
      "first", { .incarnation = "another incarnation" }, ++this->store.version);
    this->Run({ &second }, Milliseconds{ 200 });
    ASSERT_TRUE(second.term);
    EXPECT_EQ(second.term->hasStartRecords, isKnown);
  }
}

// Failure: the response to the last record of a leader that leaves is lost, and it is cut off.
// Guards against starting a task twice: it leads on, and starts unrecorded tasks after a while.
TEST_F(LeaderElectionTest, DoesNotRelyOnTheRecordsOfALeaderThatMayNotKnowOfItsHandover)
{
  this->store.clock = &this->clock;
  Instance first(*this, "first");
  Instance second(*this, "second");
  for (auto* instance : { &first, &second }) {
    instance->monitoredStore.Read({ .table = std::string(kCellTable) }, [](const auto&) {});
  }
  this->Run({ &first }, Milliseconds{ 300 });
  this->Run({ &first, &second }, Milliseconds{ 700 });
  ASSERT_TRUE(first.term);
  this->store.mode = StoreMode::DroppingResponses;
  first.election.Leave();
  first.election.Tick(this->clock.Now());
  this->store.mode = StoreMode::Available;
  const auto recordedAt = this->clock.Now();
  this->Run({ &second }, Milliseconds{ 300 });
  ASSERT_TRUE(second.term);
  // The first one reaches the store no more.
  this->store.mode = StoreMode::Unavailable;
  while (this->clock.Now() < recordedAt + kStartRecordPromise + Milliseconds{ 500 }) {
    first.election.Tick(this->clock.Now());
    this->clock.Advance(Milliseconds{ 20 });
  }
  const bool mayStartUnrecorded = first.term && this->clock.Now() < first.election.TermEnd();
  EXPECT_FALSE(second.term->hasStartRecords && mayStartUnrecorded);
}

// Failure: the leader's clock runs 2% fast for 100 s; its estimate of the store's time keeps the
// smallest offset ever seen. Guards against a record that looks newer than it is.
TEST_F(LeaderElectionTest, DoesNotRelyOnOldRecordsOfALeaderWhoseClockRunsFast)
{
  ManualClock storeClock;
  storeClock.Advance(Milliseconds{ 50'000 });
  this->store.clock = &storeClock;
  Instance first(*this, "first");
  const auto read = [](Instance& aInstance) {
    aInstance.monitoredStore.Read({ .table = std::string(kCellTable) }, [](const auto&) {});
  };
  for (int second = 0; second < 100; ++second) {
    read(first);
    this->Run({ &first }, Milliseconds{ 1020 });
    storeClock.Advance(Milliseconds{ 1000 });
  }
  ASSERT_TRUE(first.term);
  Instance second(*this, "second");
  read(second);
  this->Run({ &second }, Milliseconds{ 20 });
  constexpr Milliseconds kDelay{ 3000 };
  this->clock.Advance(kDelay);
  storeClock.Advance(kDelay);
  read(second);
  second.election.OnInstanceRecord(
    "first", { .incarnation = "another incarnation" }, ++this->store.version);
  this->Run({ &second }, Milliseconds{ 200 });
  ASSERT_TRUE(second.term);
  EXPECT_FALSE(second.term->hasStartRecords) << "the record is 3 s old";
}

// Failure: the leader is killed while its expected waits are in circulation. Guards against
// refusals by the forecast of a dead leader: its age grows, and the successor's record, which is of
// a recovering leader, does not repeat it.
TEST_F(LeaderElectionTest, DoesNotRepeatThePredecessorsExpectedWaits)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  first.expectedWaits = { { { "queue" }, {}, Milliseconds{ 9000 } } };
  this->Run({ &first, &second }, Milliseconds{ 300 });
  this->Run({ &first }, Milliseconds{ 700 });
  ASSERT_TRUE(first.term);
  this->Run({ &second }, Milliseconds{ 20 });
  EXPECT_EQ(second.election.CurrentLeader()->expectedWaits, first.expectedWaits);
  this->Run({ &second }, Milliseconds{ 1500 });
  EXPECT_EQ(second.election.CurrentLeader()->expectedWaits, first.expectedWaits);
  second.isRecovering = true;
  this->Run({ &second }, Milliseconds{ 1000 });
  ASSERT_TRUE(second.term);
  const auto record = DecodeLeaderRecord(this->LeaderRow().value);
  EXPECT_TRUE(ValueOf(record).expectedWaits.empty());
  EXPECT_TRUE(ValueOf(record).isRecovering);
}

TEST_F(LeaderElectionTest, TakesOverImmediatelyFromARestartedLeader)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first, &second }, Milliseconds{ 300 });
  auto& leader = first.term ? first : second;
  auto& other = first.term ? second : first;
  this->Run({ &leader, &other }, Milliseconds{ 700 });
  const std::string name = first.term ? "first" : "second";
  other.election.OnInstanceRecord(
    name, { .incarnation = "another incarnation" }, ++this->store.version);
  this->Run({ &other }, Milliseconds{ 200 });
  ASSERT_TRUE(other.term);
  EXPECT_TRUE(other.term->hasPredecessorStopped);
}

TEST_F(LeaderElectionTest, IgnoresAnOlderIncarnationOfTheLeader)
{
  Instance first(*this, "first", "2");
  Instance second(*this, "second");
  second.election.OnInstanceRecord("first", { .incarnation = "first1" }, ++this->store.version);
  this->Run({ &first }, Milliseconds{ 300 });
  this->Run({ &first, &second }, Milliseconds{ 1000 });
  EXPECT_TRUE(first.term);
  EXPECT_FALSE(second.term);
}

// Instances of different sizes restart together; the largest must become the leader.
TEST_F(LeaderElectionTest, ElectsTheLargestInstance)
{
  Instance small(*this, "small");
  Instance large(*this, "large", "1", 500);
  small.election.OnInstanceRecord("large", { .milliCores = 500 }, ++this->store.version);
  large.election.OnInstanceRecord("small", { .milliCores = 120 }, ++this->store.version);
  this->Run({ &small, &large }, Milliseconds{ 500 });
  EXPECT_TRUE(large.term);
}

TEST_F(LeaderElectionTest, RestartedLeaderTakesOverImmediately)
{
  Instance original(*this, "first");
  this->Run({ &original }, Milliseconds{ 600 });
  this->options.startupDelay = LeaderElectionOptions{}.startupDelay;
  Instance restarted(*this, "first", "2");
  this->Run({ &restarted }, Milliseconds{ 100 });
  EXPECT_TRUE(restarted.term);
}

TEST_F(LeaderElectionTest, WaitsForTheStartupDelayWithoutALeader)
{
  this->options.startupDelay = Milliseconds{ 600 };
  Instance first(*this, "first");
  this->Run({ &first }, Milliseconds{ 500 });
  EXPECT_FALSE(first.term);
  this->Run({ &first }, Milliseconds{ 300 });
  EXPECT_TRUE(first.term);
}

TEST_F(LeaderElectionTest, HandsOverOnLeave)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  first.election.Leave();
  this->Run({ &first, &second }, Milliseconds{ 300 });
  EXPECT_FALSE(first.term);
  ASSERT_TRUE(second.term);
  EXPECT_TRUE(second.term->hasPredecessorStopped);
  this->Run({ &first }, Milliseconds{ 3000 });
  EXPECT_FALSE(first.term) << "an instance that has left does not take over again";
}

TEST_F(LeaderElectionTest, RestartsTheLeaderTimeoutAfterAStoreOutage)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first, &second }, Milliseconds{ 300 });
  auto& leader = first.term ? first : second;
  auto& other = first.term ? second : first;
  this->store.mode = StoreMode::Unavailable;
  for (int round = 0; round < 100; ++round) {
    leader.election.Tick({});
    other.election.Tick({});
    this->clock.Advance(Milliseconds{ 40 });
  }
  this->store.mode = StoreMode::Available;
  this->Run({ &leader, &other }, Milliseconds{ 500 });
  EXPECT_TRUE(leader.term);
  EXPECT_FALSE(other.term);
}

// The largest instances read the leader record most often, so after an outage their reads fail most
// often. If one failed read made them wait for the whole timeout again, a smaller instance would
// take over before them.
TEST_F(LeaderElectionTest, AFailedReadDoesNotRestartTheLeaderTimeout)
{
  Instance leader(*this, "leader");
  this->Run({ &leader }, Milliseconds{ 500 });
  ASSERT_TRUE(leader.term);
  Instance large(*this, "large", "1", 500);
  Instance small(*this, "small", "1", 120);
  for (auto* instance : { &large, &small }) {
    instance->election.OnInstanceRecord("large", { .milliCores = 500 }, ++this->store.version);
    instance->election.OnInstanceRecord("small", { .milliCores = 120 }, this->store.version);
  }
  this->Run({ &large, &small }, Milliseconds{ 1200 });
  ASSERT_FALSE(large.term || small.term);
  // One read of the large instance fails.
  large.election.Tick({});
  this->clock.Advance(Milliseconds{ 20 });
  this->Run({ &large, &small }, Milliseconds{ 800 });
  EXPECT_TRUE(large.term);
  EXPECT_FALSE(small.term);
}

// When the store returns, calls that it left unanswered still have to time out. An instance that
// happens to read it first would take over although it is too small to lead the cell.
TEST_F(LeaderElectionTest, ASmallInstanceLeavesTakingOverToLargerOnesAfterAnOutage)
{
  Instance leader(*this, "leader");
  this->Run({ &leader }, Milliseconds{ 500 });
  Instance large(*this, "large", "1", 500);
  Instance small(*this, "small", "1", 120);
  for (auto* instance : { &large, &small }) {
    instance->election.OnInstanceRecord("large", { .milliCores = 500 }, ++this->store.version);
    instance->election.OnInstanceRecord("small", { .milliCores = 120 }, this->store.version);
  }
  this->Run({ &large, &small }, Milliseconds{ 1500 });
  const auto failReads = [this](std::vector<Instance*> aInstances, Milliseconds aTime) {
    constexpr Milliseconds kStep{ 20 };
    for (Milliseconds elapsed{ 0 }; elapsed < aTime; elapsed += kStep) {
      for (auto* instance : aInstances) {
        instance->election.Tick({});
      }
      this->clock.Advance(kStep);
    }
  };
  failReads({ &large, &small }, Milliseconds{ 2000 });
  // The small instance reads the record again a second before the large one.
  this->Run({ &small }, Milliseconds{ 1000 });
  EXPECT_FALSE(small.term);
  this->Run({ &large, &small }, Milliseconds{ 500 });
  EXPECT_TRUE(large.term);
  EXPECT_FALSE(small.term);
}

TEST_F(LeaderElectionTest, ASmallInstanceTakesOverAfterAnOutageIfNobodyElseDoes)
{
  Instance leader(*this, "leader");
  this->Run({ &leader }, Milliseconds{ 500 });
  Instance small(*this, "small", "1", 120);
  small.election.OnInstanceRecord("large", { .milliCores = 500 }, ++this->store.version);
  this->Run({ &small }, Milliseconds{ 1500 });
  small.election.Tick({});
  this->Run({ &small }, Milliseconds{ 2000 });
  EXPECT_TRUE(small.term);
}

TEST_F(LeaderElectionTest, KeepsItsTermWhenARenewalResponseIsLost)
{
  Instance first(*this, "first");
  this->Run({ &first }, Milliseconds{ 600 });
  this->store.mode = StoreMode::DroppingResponses;
  this->Run({ &first }, Milliseconds{ 1500 });
  this->store.mode = StoreMode::Available;
  this->Run({ &first }, Milliseconds{ 1500 });
  EXPECT_TRUE(first.term);
  EXPECT_EQ(first.termCount, 1);
  EXPECT_GT(first.election.TermEnd(), this->clock.Now());
}

// Load: calls of the store are lost for a while. Guards against a leader that is replaced although
// it is well, since it waits too long for the response to one renewal.
TEST_F(LeaderElectionTest, KeepsItsTermWhenARenewalIsLost)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  this->store.mode = StoreMode::LosingRequests;
  this->Run({ &first, &second }, this->options.renewalInterval);
  this->store.mode = StoreMode::Available;
  this->Run({ &first, &second }, 2 * this->options.leaderTimeout);
  EXPECT_TRUE(first.term.has_value());
  EXPECT_EQ(second.termCount, 0);
}

TEST_F(LeaderElectionTest, BeginsATermWhoseResponseWasLost)
{
  Instance first(*this, "first");
  this->store.mode = StoreMode::DroppingResponses;
  this->Run({ &first }, Milliseconds{ 200 });
  this->store.mode = StoreMode::Available;
  this->Run({ &first }, Milliseconds{ 200 });
  EXPECT_TRUE(first.term);
}

TEST_F(LeaderElectionTest, TakesOverImmediatelyAfterAResignation)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  first.workers = { "w1" };
  this->Run({ &first, &second }, Milliseconds{ 1000 });
  ASSERT_TRUE(first.term);
  const auto token = first.term->token;
  // w2 was first contacted after the last renewal, so that only the resignation names it.
  first.workers = { "w1", "w2" };
  const auto resignation = first.election.Resign();
  ASSERT_TRUE(resignation);
  EXPECT_EQ(resignation->token, token);
  EXPECT_FALSE(first.term);
  EXPECT_FALSE(first.election.Resign());

  second.election.OnResignation(*resignation);
  this->Run({ &second }, Milliseconds{ 40 });
  ASSERT_TRUE(second.term);
  EXPECT_TRUE(second.term->hasPredecessorStopped);
  EXPECT_EQ(second.term->previousWorkers.size(), 2U);
}

TEST_F(LeaderElectionTest, IgnoresAResignationOfAnEarlierTerm)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  const auto resignation = first.election.Resign();
  ASSERT_TRUE(resignation);
  // The store is available again: the first takes a new term before the resignation arrives.
  this->Run({ &first }, Milliseconds{ 300 });
  ASSERT_TRUE(first.term);
  second.election.OnResignation(*resignation);
  this->Run({ &first, &second }, Milliseconds{ 1000 });
  EXPECT_FALSE(second.term);
  EXPECT_EQ(first.termCount, 2);
}

TEST_F(LeaderElectionTest, PublishesWorkersWithAnEarlyRenewal)
{
  Instance first(*this, "first");
  this->Run({ &first }, Milliseconds{ 300 });
  first.workers = { "w1" };
  this->Run({ &first }, Milliseconds{ 100 });
  EXPECT_TRUE(first.publishedWorkers.empty());
  first.election.RenewSoon();
  this->Run({ &first }, Milliseconds{ 40 });
  EXPECT_EQ(first.publishedWorkers, first.workers);
}

// A leader that had lost the store reads it again. It may see a job that was accepted in the next
// term before it sees the new leader record, and must not start that job.
TEST_F(LeaderElectionTest, EndsItsTermWhenTheTermRowIsNewer)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first }, Milliseconds{ 300 });
  ASSERT_TRUE(first.term);
  const RowKey key{ .table = std::string(kJobTable),
                    .partition = std::string(kTermPartition),
                    .key = std::string(kLeaderKey) };
  first.election.OnTermRow(this->store.rows.at(key).version);
  ASSERT_TRUE(first.term);

  this->Run({ &second }, Milliseconds{ 3000 });
  ASSERT_TRUE(second.term);
  EXPECT_EQ(this->store.rows.at(key).version, second.term->token);
  first.election.OnTermRow(this->store.rows.at(key).version);
  EXPECT_FALSE(first.term);
  second.election.OnTermRow(this->store.rows.at(key).version);
  EXPECT_TRUE(second.term);
}

TEST_F(LeaderElectionTest, BoundsPriorLeasesByTheLastRenewal)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first, &second }, Milliseconds{ 20 });
  auto& leader = first.term ? first : second;
  auto& other = first.term ? second : first;
  this->Run({ &leader, &other }, Milliseconds{ 1000 });
  const auto lastRenewalSeen = this->clock.Now();
  this->Run({ &other }, Milliseconds{ 3000 });
  ASSERT_TRUE(other.term);
  const auto maxExpiryDelay = this->options.termDuration + this->options.maxLeaseAfterTerm;
  EXPECT_LE(other.term->priorLeasesExpiry, lastRenewalSeen + maxExpiryDelay);
  EXPECT_GE(other.term->priorLeasesExpiry,
            lastRenewalSeen - this->options.renewalInterval + maxExpiryDelay);
}

TEST_F(LeaderElectionTest, BoundsLeasesOfAStoppedLeaderByTheTimeOfTakeover)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  this->Run({ &first, &second }, Milliseconds{ 20 });
  auto& leader = first.term ? first : second;
  auto& other = first.term ? second : first;
  const std::string name = first.term ? "first" : "second";
  this->Run({ &leader, &other }, Milliseconds{ 1000 });
  other.election.OnInstanceRecord(
    name, { .incarnation = "another incarnation" }, ++this->store.version);
  this->Run({ &other }, Milliseconds{ 200 });
  ASSERT_TRUE(other.term);
  EXPECT_LE(other.term->priorLeasesExpiry, this->clock.Now() + this->options.maxLeaseAfterTerm);
}

// All instances lose power while their leader still waits for the leases of its predecessor, which
// was cut off from the network. The next leader has to wait for those leases too.
TEST_F(LeaderElectionTest, WaitsForLeasesOfLeadersBeforeThePredecessor)
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
  third.election.OnInstanceRecord(
    "second", { .incarnation = "another incarnation" }, ++this->store.version);
  this->Run({ &third }, Milliseconds{ 200 });
  ASSERT_TRUE(third.term);
  EXPECT_GE(third.term->priorLeasesExpiry, this->clock.Now() + Milliseconds{ 10'000 });
}

// The leader's machine runs at an eighth of its speed for some seconds.
TEST_F(LeaderElectionTest, HandsOverWhenSlow)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  first.election.OnInstanceRecord("second", { .incarnation = "second1", .milliCores = 120 }, 1);
  this->Run({ &first }, Milliseconds{ 3000 });
  ASSERT_TRUE(first.term);
  first.election.SetSlow(true);
  this->Run({ &first, &second }, Milliseconds{ 300 });
  EXPECT_FALSE(first.term);
  ASSERT_TRUE(second.term);
  EXPECT_TRUE(second.term->hasPredecessorStopped);
  this->Run({ &first, &second }, Milliseconds{ 3000 });
  EXPECT_TRUE(second.term);
}

// The store loses the response to the renewal that hands over. Others take over immediately, so the
// leader must stop when it reads its own record.
TEST_F(LeaderElectionTest, EndsItsTermWhenTheHandoverResponseIsLost)
{
  Instance first(*this, "first");
  this->Run({ &first }, Milliseconds{ 3000 });
  ASSERT_TRUE(first.term);
  this->store.mode = StoreMode::DroppingResponses;
  first.election.Leave();
  first.election.Tick(this->clock.Now());
  ASSERT_TRUE(first.term);
  first.election.OnLeaderRow(this->LeaderRow());
  EXPECT_FALSE(first.term);
}

TEST_F(LeaderElectionTest, KeepsItsTermWhenSlowWithoutALargeEnoughSuccessor)
{
  Instance first(*this, "first", "1", 500);
  first.election.OnInstanceRecord("second", { .incarnation = "second1", .milliCores = 120 }, 1);
  this->Run({ &first }, Milliseconds{ 3000 });
  ASSERT_TRUE(first.term);
  first.election.SetSlow(true);
  this->Run({ &first }, Milliseconds{ 1000 });
  EXPECT_TRUE(first.term);
}

TEST_F(LeaderElectionTest, LetsOthersTakeOverFirstWhenSlow)
{
  Instance slow(*this, "slow", "1", 500);
  Instance other(*this, "other");
  other.election.OnInstanceRecord("slow", { .incarnation = "slow1", .milliCores = 500 }, 1);
  slow.election.SetSlow(true);
  this->Run({ &slow, &other }, Milliseconds{ 500 });
  EXPECT_FALSE(slow.term);
  EXPECT_TRUE(other.term);
}

TEST_F(LeaderElectionTest, TakesOverWhenSlowIfNobodyElseDoes)
{
  Instance slow(*this, "slow");
  slow.election.SetSlow(true);
  this->Run({ &slow }, Milliseconds{ 2000 });
  EXPECT_TRUE(slow.term);
}

TEST_F(LeaderElectionTest, ReportsThatAPredecessorWasStillRecovering)
{
  Instance first(*this, "first");
  Instance second(*this, "second");
  Instance third(*this, "third");
  this->Run({ &first }, Milliseconds{ 600 });
  second.isRecovering = true;
  this->Run({ &second }, Milliseconds{ 2500 });
  ASSERT_TRUE(second.term);
  second.election.Leave();
  this->Run({ &second, &third }, Milliseconds{ 700 });
  ASSERT_TRUE(third.term);
  EXPECT_FALSE(third.term->hasPredecessorStopped);
}

}
