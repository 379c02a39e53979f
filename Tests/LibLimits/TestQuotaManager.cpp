#include "QuotaFixture.h"
#include <fmt/core.h>
#include <gtest/gtest.h>
#include <random>

namespace zinc {

namespace {

constexpr int kLimit = 64;
constexpr Milliseconds kTick{ 10 };

/// Whether hints are delivered between the entry instances.
enum class Hints : std::uint8_t
{
  Off,
  On,
};

/// A group of entry instances without faults.
class SimulatedCluster
{
public:
  explicit SimulatedCluster(int aInstanceCount,
                            Hints aHints = Hints::On,
                            const QuotaOptions& aOptions = FastQuotaOptions())
    : hints(aHints)
  {
    for (int index = 0; index < aInstanceCount; ++index) {
      this->instances.push_back(std::make_unique<SimulatedInstance>(
        this->platform, this->clock, "entry-" + std::to_string(index), 7 + index, aOptions));
    }
    this->SetLimit(1, kLimit);
  }

  void SetLimit(std::uint64_t aVersion, int aTaskCount)
  {
    const Team team{ .id = kTestTeam, .limit = TaskResources(aTaskCount) };
    for (const auto& instance : this->instances) {
      instance->manager->SetLimits(aVersion, { &team, 1 });
    }
  }

  void Tick()
  {
    this->clock.Advance(kTick);
    for (const auto& instance : this->instances) {
      instance->manager->Tick();
      instance->StartQueued();
    }
    this->platform.Drain();
    if (this->hints == Hints::On) {
      std::vector<SimulatedInstance*> all;
      for (const auto& instance : this->instances) {
        all.push_back(instance.get());
      }
      DeliverHints(all);
    }
  }

  void Run(Milliseconds aTime)
  {
    for (Milliseconds passed{ 0 }; passed < aTime; passed += kTick) {
      this->Tick();
    }
  }

  [[nodiscard]] int Running() const
  {
    int running = 0;
    for (const auto& instance : this->instances) {
      running += instance->running;
    }
    return running;
  }

  SimulatedInstance& operator[](std::size_t aIndex) { return *this->instances.at(aIndex); }

  MemoryPlatform platform{ 3 };
  ManualClock clock;
  Hints hints;
  std::vector<std::unique_ptr<SimulatedInstance>> instances;
};

/// @return how many of @p aRunning tasks end within one round of 50 ms, if tasks take 400 ms on
/// average.
int
DrawEndedTasks(int aRunning, std::mt19937_64& aRandom)
{
  int endedCount = 0;
  for (int task = 0; task < aRunning; ++task) {
    endedCount += aRandom() % 8 == 0 ? 1 : 0;
  }
  return endedCount;
}

/// Cost of moving the whole limit from an entry instance that became idle to one that needs it.
struct TransferCost
{
  Milliseconds time{ 0 };
  std::uint64_t writes = 0;
};

TransferCost
MeasureLimitTransfer(Hints aHints)
{
  SimulatedCluster cluster(2, aHints, QuotaOptions{});
  cluster[0].queued = kLimit;
  cluster.Run(Milliseconds(20'000));
  EXPECT_EQ(cluster[0].running, kLimit);
  cluster[1].queued = kLimit;
  cluster.Run(Milliseconds(20'000));
  EXPECT_EQ(cluster[1].running, 0);
  cluster[0].running = 0;
  cluster[0].Report();
  TransferCost cost;
  const std::uint64_t writes = cluster.platform.Counters().transactions;
  while (cluster[1].running < kLimit && cost.time < Milliseconds(20'000)) {
    cluster.Tick();
    cost.time += kTick;
  }
  cost.writes = cluster.platform.Counters().transactions - writes;
  EXPECT_EQ(cluster[1].running, kLimit);
  return cost;
}

/// Results of a run in which the demand moves between entry instances. "Static" results are those
/// of a fixed split of the limit into equal shares.
struct ChangingDemandCost
{
  int secondsBetweenChanges = 0;
  double writesPerSecond = 0.0;
  double readsPerSecond = 0.0;
  double conflictsPerSecond = 0.0;
  double writesPerStart = 0.0;
  double unusedPercent = 0.0;
  double staticUnusedPercent = 0.0;
};

/// One of 20 entry instances at a time has demand for the whole limit; the others have little.
ChangingDemandCost
MeasureChangingDemand(int aRoundsBetweenChanges)
{
  constexpr int kInstanceCount = 20;
  constexpr int kRounds = 1200;
  constexpr int kStaticShare = kLimit / kInstanceCount;
  constexpr Milliseconds kRound{ 50 };
  SimulatedCluster cluster(kInstanceCount, Hints::On, QuotaOptions{});
  std::array<int, kInstanceCount> staticRunning{};
  std::mt19937_64 random(5);
  std::int64_t unused = 0;
  std::int64_t staticUnused = 0;
  std::int64_t usable = 0;
  std::int64_t started = 0;
  for (int round = 0; round < kRounds; ++round) {
    const auto busyIndex = static_cast<std::size_t>(round / aRoundsBetweenChanges % kInstanceCount);
    int demand = 0;
    int staticSum = 0;
    for (std::size_t index = 0; index < kInstanceCount; ++index) {
      SimulatedInstance& instance = cluster[index];
      int& staticCount = staticRunning.at(index);
      instance.running -= DrawEndedTasks(instance.running, random);
      staticCount -= DrawEndedTasks(staticCount, random);
      const int arrived = random() % 16 == 0 ? 1 : 0;
      instance.queued = index == busyIndex ? kLimit : std::min(2, instance.queued + arrived);
      demand += instance.running + instance.queued;
      instance.Report();
      staticCount = std::min(kStaticShare, staticCount + instance.queued);
      staticSum += staticCount;
    }
    const int runningBefore = cluster.Running();
    cluster.Run(kRound);
    started += cluster.Running() - runningBefore;
    const int maxRunnable = std::min(kLimit, demand);
    usable += maxRunnable;
    unused += std::max(0, maxRunnable - cluster.Running());
    staticUnused += std::max(0, maxRunnable - staticSum);
  }
  const double seconds = std::chrono::duration<double>(kRound * kRounds).count();
  const auto writes = static_cast<double>(cluster.platform.Counters().transactions);
  double conflicts = 0.0;
  for (const auto& instance : cluster.instances) {
    conflicts += static_cast<double>(instance->manager->Statistics().conflicts);
  }
  const auto percentOfUsable = [&](std::int64_t aAmount) {
    return 100.0 * static_cast<double>(aAmount) / static_cast<double>(usable);
  };
  return { .secondsBetweenChanges =
             static_cast<int>((kRound * aRoundsBetweenChanges) / Milliseconds(1000)),
           .writesPerSecond = writes / seconds,
           .readsPerSecond = static_cast<double>(cluster.platform.Counters().reads) / seconds,
           .conflictsPerSecond = conflicts / seconds,
           .writesPerStart = writes / static_cast<double>(started),
           .unusedPercent = percentOfUsable(unused),
           .staticUnusedPercent = percentOfUsable(staticUnused) };
}

}

TEST(QuotaManager, IdleQuotaMovesToInstanceWithUnmetDemand)
{
  const TransferCost withPolls = MeasureLimitTransfer(Hints::Off);
  const TransferCost withHints = MeasureLimitTransfer(Hints::On);
  fmt::print("time to move the whole limit with polls only: {} ms, {} writes; with hints: {} ms, "
             "{} writes\n",
             withPolls.time.count(),
             withPolls.writes,
             withHints.time.count(),
             withHints.writes);
  // Covers one poll of each entry instance, with jitter, and the writes.
  EXPECT_LT(withPolls.time, Milliseconds(10'000));
  EXPECT_LT(withHints.time, Milliseconds(5'000));
  EXPECT_LE(withPolls.writes, 6U);
  EXPECT_LE(withHints.writes, 6U);
}

TEST(QuotaManager, QuotaOfEndedTasksIsSharedFairly)
{
  SimulatedCluster cluster(2);
  cluster[0].queued = 4 * kLimit;
  cluster.Run(Milliseconds(2000));
  ASSERT_EQ(cluster[0].running, kLimit);
  cluster[1].queued = 4 * kLimit;
  for (int round = 0; round < 200; ++round) {
    for (const auto& instance : cluster.instances) {
      instance->running -= instance->running > 0 ? 1 : 0;
      instance->queued = 4 * kLimit;
      instance->Report();
    }
    cluster.Run(Milliseconds(50));
  }
  EXPECT_GE(cluster[0].running, kLimit * 2 / 5);
  EXPECT_GE(cluster[1].running, kLimit * 2 / 5);
  EXPECT_GE(cluster.Running(), kLimit * 9 / 10);
}

TEST(QuotaManager, GrantsTooSmallForATaskDoNotBlockEachOther)
{
  SimulatedCluster cluster(2);
  cluster.SetLimit(2, 3);
  // A task needs two units of the limit of three. If each entry instance kept a grant of less than
  // two units, none could start a task.
  const TeamUsage usage{ .demand = TaskResources(4), .nextTask = TaskResources(2) };
  for (const auto& instance : cluster.instances) {
    instance->manager->ReportUsage(kTestTeam, usage);
  }
  bool canStart = false;
  for (int round = 0; round < 200 && !canStart; ++round) {
    cluster.clock.Advance(kTick);
    for (const auto& instance : cluster.instances) {
      instance->manager->Tick();
      canStart |= TaskResources(2).FitsIn(instance->manager->UsableQuota(kTestTeam));
    }
    cluster.platform.Drain();
  }
  EXPECT_TRUE(canStart);
}

TEST(QuotaManager, LoweredLimitStopsStartsAndUsageFallsBelowIt)
{
  SimulatedCluster cluster(2);
  cluster[0].queued = kLimit / 2;
  cluster[1].queued = kLimit / 2;
  cluster.Run(Milliseconds(2000));
  ASSERT_EQ(cluster.Running(), kLimit);
  cluster.SetLimit(2, kLimit / 4);
  EXPECT_TRUE(cluster[0].manager->UsableQuota(kTestTeam).FitsIn(TaskResources(kLimit / 4)));
  cluster[0].running = 4;
  cluster[1].running = 4;
  cluster.Run(Milliseconds(2000));
  EXPECT_EQ(ReadStoredRow(cluster.platform).limit, TaskResources(kLimit / 4));
  EXPECT_TRUE(ReadStoredRow(cluster.platform).Ungranted().IsNonNegative());
  // An older document is ignored.
  cluster.SetLimit(1, kLimit);
  cluster.Run(Milliseconds(2000));
  EXPECT_EQ(ReadStoredRow(cluster.platform).limit, TaskResources(kLimit / 4));
}

TEST(QuotaManager, GrantStaysUsableDuringTableOutage)
{
  SimulatedCluster cluster(1);
  cluster[0].queued = 8;
  cluster.Run(Milliseconds(1000));
  cluster.platform.SetAvailability(MemoryAvailability::Down);
  cluster[0].running = 0;
  cluster[0].queued = 8;
  cluster.Run(Milliseconds(5000));
  EXPECT_EQ(cluster[0].running, 8);
}

TEST(QuotaManager, ListsHoldersAndReleasesGrantsOfDeadOne)
{
  SimulatedCluster cluster(2);
  cluster[0].queued = 8;
  cluster.Run(Milliseconds(1000));
  std::vector<QuotaHolder> holders;
  cluster[1].manager->ListHolders([&](const auto& aResult) { holders = ValueOf(aResult); });
  cluster.platform.Drain();
  ASSERT_EQ(holders.size(), 1U);
  EXPECT_EQ(holders[0].entry, cluster[0].name);

  cluster.instances.erase(cluster.instances.begin());
  bool isReleased = false;
  cluster[0].manager->ReleaseGrants({ "entry-0" }, [&](const auto&) { isReleased = true; });
  cluster.Run(Milliseconds(1000));
  EXPECT_TRUE(isReleased);
  EXPECT_EQ(ReadStoredRow(cluster.platform).Ungranted(), TaskResources(kLimit));
}

/// Upper bound for one team whose demand moves all the time: a twentieth of the several hundred
/// writes per second that the table can take in total.
constexpr double kMaxWritesPerSecond = 15.0;

TEST(QuotaManager, ChangingDemandNeedsFewWritesAndWastesLittleQuota)
{
  const ChangingDemandCost fast = MeasureChangingDemand(100);
  const ChangingDemandCost slow = MeasureChangingDemand(400);
  for (const ChangingDemandCost& figures : { fast, slow }) {
    fmt::print("20 instances, 1 team, 60 s, demand moves every {} s: {:.1f} writes/s, "
               "{:.1f} reads/s, {:.1f} conflicts/s, {:.2f} writes per start, "
               "{:.1f}% of the usable limit unused; with static equal shares: {:.1f}%\n",
               figures.secondsBetweenChanges,
               figures.writesPerSecond,
               figures.readsPerSecond,
               figures.conflictsPerSecond,
               figures.writesPerStart,
               figures.unusedPercent,
               figures.staticUnusedPercent);
  }
  EXPECT_LT(fast.unusedPercent, fast.staticUnusedPercent);
  EXPECT_LT(slow.unusedPercent, slow.staticUnusedPercent / 2.0);
  EXPECT_LT(fast.writesPerSecond, kMaxWritesPerSecond);
  EXPECT_LT(slow.writesPerSecond, kMaxWritesPerSecond);
}

}
