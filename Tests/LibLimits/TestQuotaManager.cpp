#include "QuotaFixture.h"
#include <fmt/core.h>
#include <gtest/gtest.h>
#include <random>

namespace zinc {

namespace {

constexpr int kLimit = 64;
constexpr Milliseconds kTick{ 10 };

/// Whether entries tell one another that they wait.
enum class Hints : std::uint8_t
{
  Off,
  On,
};

/// Some entries without faults.
class Cell
{
public:
  explicit Cell(int aProcesses,
                Hints aHints = Hints::On,
                const QuotaOptions& aOptions = FastQuotaOptions())
    : hints(aHints)
  {
    for (int index = 0; index < aProcesses; ++index) {
      this->processes.push_back(std::make_unique<SimulatedInstance>(
        this->platform, this->clock, "entry-" + std::to_string(index), 7 + index, aOptions));
    }
    this->SetLimit(1, kLimit);
  }

  void SetLimit(std::uint64_t aVersion, int aUnits)
  {
    const Team team{ .id = kTestTeam, .limit = TaskResources(aUnits) };
    for (const auto& process : this->processes) {
      process->book->SetLimits(aVersion, { &team, 1 });
    }
  }

  void Tick()
  {
    this->clock.Advance(kTick);
    for (const auto& process : this->processes) {
      process->book->Tick();
      process->StartQueued();
    }
    this->platform.Drain();
    if (this->hints == Hints::On) {
      std::vector<SimulatedInstance*> all;
      for (const auto& process : this->processes) {
        all.push_back(process.get());
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
    for (const auto& process : this->processes) {
      running += process->running;
    }
    return running;
  }

  SimulatedInstance& operator[](std::size_t aIndex) { return *this->processes.at(aIndex); }

  MemoryPlatform platform{ 3 };
  ManualClock clock;
  Hints hints;
  std::vector<std::unique_ptr<SimulatedInstance>> processes;
};

/// @return how many of some tasks end within a round of 50 ms when they take 400 ms on average.
int
DrawEndedTasks(int aRunning, std::mt19937_64& aRandom)
{
  int ended = 0;
  for (int task = 0; task < aRunning; ++task) {
    ended += aRandom() % 8 == 0 ? 1 : 0;
  }
  return ended;
}

/// What it took to move the whole limit from an entry that went idle to one that waits.
struct TransferCost
{
  Milliseconds time{ 0 };
  std::uint64_t writes = 0;
};

TransferCost
MeasureLimitTransfer(Hints aHints)
{
  Cell cell(2, aHints, QuotaOptions{});
  cell[0].queued = kLimit;
  cell.Run(Milliseconds(20'000));
  EXPECT_EQ(cell[0].running, kLimit);
  cell[1].queued = kLimit;
  cell.Run(Milliseconds(20'000));
  EXPECT_EQ(cell[1].running, 0);
  cell[0].running = 0;
  cell[0].Report();
  TransferCost move;
  const std::uint64_t writes = cell.platform.Counters().transactions;
  while (cell[1].running < kLimit && move.time < Milliseconds(20'000)) {
    cell.Tick();
    move.time += kTick;
  }
  move.writes = cell.platform.Counters().transactions - writes;
  EXPECT_EQ(cell[1].running, kLimit);
  return move;
}

/// What a run with moving demand has cost.
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

/// One of 20 entries wants the whole limit, and which one it is changes; the others want little.
ChangingDemandCost
MeasureChangingDemand(int aRoundsBetweenChanges)
{
  constexpr int kEntries = 20;
  constexpr int kRounds = 1200;
  constexpr int kStaticShare = kLimit / kEntries;
  constexpr Milliseconds kRound{ 50 };
  Cell cell(kEntries, Hints::On, QuotaOptions{});
  std::array<int, kEntries> staticRunning{};
  std::mt19937_64 random(5);
  std::int64_t unused = 0;
  std::int64_t staticUnused = 0;
  std::int64_t usable = 0;
  std::int64_t started = 0;
  for (int round = 0; round < kRounds; ++round) {
    const auto busy = static_cast<std::size_t>(round / aRoundsBetweenChanges % kEntries);
    int demand = 0;
    int staticSum = 0;
    for (std::size_t index = 0; index < kEntries; ++index) {
      SimulatedInstance& process = cell[index];
      int& equal = staticRunning.at(index);
      process.running -= DrawEndedTasks(process.running, random);
      equal -= DrawEndedTasks(equal, random);
      const int arrived = random() % 16 == 0 ? 1 : 0;
      process.queued = index == busy ? kLimit : std::min(2, process.queued + arrived);
      demand += process.running + process.queued;
      process.Report();
      equal = std::min(kStaticShare, equal + process.queued);
      staticSum += equal;
    }
    const int before = cell.Running();
    cell.Run(kRound);
    started += cell.Running() - before;
    const int most = std::min(kLimit, demand);
    usable += most;
    unused += std::max(0, most - cell.Running());
    staticUnused += std::max(0, most - staticSum);
  }
  const double seconds = std::chrono::duration<double>(kRound * kRounds).count();
  const auto writes = static_cast<double>(cell.platform.Counters().transactions);
  double conflicts = 0.0;
  for (const auto& process : cell.processes) {
    conflicts += static_cast<double>(process->book->Statistics().conflicts);
  }
  const auto percentOfUsable = [&](std::int64_t aPart) {
    return 100.0 * static_cast<double>(aPart) / static_cast<double>(usable);
  };
  return { .secondsBetweenChanges =
             static_cast<int>((kRound * aRoundsBetweenChanges) / Milliseconds(1000)),
           .writesPerSecond = writes / seconds,
           .readsPerSecond = static_cast<double>(cell.platform.Counters().reads) / seconds,
           .conflictsPerSecond = conflicts / seconds,
           .writesPerStart = writes / static_cast<double>(started),
           .unusedPercent = percentOfUsable(unused),
           .staticUnusedPercent = percentOfUsable(staticUnused) };
}

}

TEST(QuotaManager, IdleAllowanceMovesToWhoWaits)
{
  const TransferCost polled = MeasureLimitTransfer(Hints::Off);
  const TransferCost hinted = MeasureLimitTransfer(Hints::On);
  fmt::print("whole limit moved by polls: {} ms, {} writes; with hints: {} ms, {} writes\n",
             polled.time.count(),
             polled.writes,
             hinted.time.count(),
             hinted.writes);
  // One poll of the holder and one of the waiting entry, each with jitter, and the writes.
  EXPECT_LT(polled.time, Milliseconds(10'000));
  EXPECT_LT(hinted.time, Milliseconds(5'000));
  EXPECT_LE(polled.writes, 6U);
  EXPECT_LE(hinted.writes, 6U);
}

TEST(QuotaManager, WhatEndsIsSharedWithWhoWaits)
{
  Cell cell(2);
  cell[0].queued = 4 * kLimit;
  cell.Run(Milliseconds(2000));
  ASSERT_EQ(cell[0].running, kLimit);
  cell[1].queued = 4 * kLimit;
  for (int round = 0; round < 200; ++round) {
    for (const auto& process : cell.processes) {
      process->running -= process->running > 0 ? 1 : 0;
      process->queued = 4 * kLimit;
      process->Report();
    }
    cell.Run(Milliseconds(50));
  }
  EXPECT_GE(cell[0].running, kLimit * 2 / 5);
  EXPECT_GE(cell[1].running, kLimit * 2 / 5);
  EXPECT_GE(cell.Running(), kLimit * 9 / 10);
}

TEST(QuotaManager, TwoHalvesOfATaskDoNotBlockOneAnother)
{
  Cell cell(2);
  cell.SetLimit(2, 3);
  // Each task needs two units and each entry waits for two tasks, so that one runs at a time.
  const TeamUsage use{ .demand = TaskResources(4), .nextTask = TaskResources(2) };
  for (const auto& process : cell.processes) {
    process->book->ReportUsage(kTestTeam, use);
  }
  bool canStart = false;
  for (int round = 0; round < 200 && !canStart; ++round) {
    cell.clock.Advance(kTick);
    for (const auto& process : cell.processes) {
      process->book->Tick();
      canStart |= TaskResources(2).FitsIn(process->book->UsableQuota(kTestTeam));
    }
    cell.platform.Drain();
  }
  EXPECT_TRUE(canStart);
}

TEST(QuotaManager, ALoweredLimitStopsStartsAndIsReached)
{
  Cell cell(2);
  cell[0].queued = kLimit / 2;
  cell[1].queued = kLimit / 2;
  cell.Run(Milliseconds(2000));
  ASSERT_EQ(cell.Running(), kLimit);
  cell.SetLimit(2, kLimit / 4);
  EXPECT_TRUE(cell[0].book->UsableQuota(kTestTeam).FitsIn(TaskResources(kLimit / 4)));
  cell[0].running = 4;
  cell[1].running = 4;
  cell.Run(Milliseconds(2000));
  EXPECT_EQ(ReadStoredRow(cell.platform).limit, TaskResources(kLimit / 4));
  EXPECT_TRUE(ReadStoredRow(cell.platform).Ungranted().IsNonNegative());
  // A document that is older than the one in force changes nothing.
  cell.SetLimit(1, kLimit);
  cell.Run(Milliseconds(2000));
  EXPECT_EQ(ReadStoredRow(cell.platform).limit, TaskResources(kLimit / 4));
}

TEST(QuotaManager, WhatIsHeldIsUsedDuringAnOutage)
{
  Cell cell(1);
  cell[0].queued = 8;
  cell.Run(Milliseconds(1000));
  cell.platform.SetAvailability(MemoryAvailability::Down);
  cell[0].running = 0;
  cell[0].queued = 8;
  cell.Run(Milliseconds(5000));
  EXPECT_EQ(cell[0].running, 8);
}

TEST(QuotaManager, HoldersAreListedAndReleased)
{
  Cell cell(2);
  cell[0].queued = 8;
  cell.Run(Milliseconds(1000));
  std::vector<QuotaHolder> holders;
  cell[1].book->ListHolders([&](const auto& aResult) { holders = ValueOf(aResult); });
  cell.platform.Drain();
  ASSERT_EQ(holders.size(), 1U);
  EXPECT_EQ(holders[0].entry, cell[0].name);

  cell.processes.erase(cell.processes.begin());
  bool isReleased = false;
  cell[0].book->ReleaseGrants({ "entry-0" }, [&](const auto&) { isReleased = true; });
  cell.Run(Milliseconds(1000));
  EXPECT_TRUE(isReleased);
  EXPECT_EQ(ReadStoredRow(cell.platform).Ungranted(), TaskResources(kLimit));
}

/// The baseline is a split of the limit into equal parts that never move.
/// A twentieth of the several hundred writes a second that the table takes from all, for a team
/// whose demand moves without end.
constexpr double kMaxWritesPerSecond = 15.0;

TEST(QuotaManager, MovingDemandCostsFewWritesAndWastesLittle)
{
  const ChangingDemandCost fast = MeasureChangingDemand(100);
  const ChangingDemandCost slow = MeasureChangingDemand(400);
  for (const ChangingDemandCost& figures : { fast, slow }) {
    fmt::print("20 entries, 1 team, 60 s, demand moves every {} s: {:.1f} writes/s, "
               "{:.1f} reads/s, {:.1f} conflicts/s, {:.2f} writes a start, "
               "{:.1f}% of the usable limit unused; equal parts: {:.1f}%\n",
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
