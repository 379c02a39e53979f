#include <Entry/TeamLimits.h>
#include <Fakes/MemoryTable.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace zinc {
namespace {

constexpr Resources kLimit{ .milliCores = 8000, .memoryMiB = 8000, .slots = 8 };
constexpr Resources kTask{ .milliCores = 1000, .memoryMiB = 1000, .slots = 1 };

/// An observer that ignores all notifications.
struct IgnoringAllowanceObserver final : public QuotaObserver
{
  void OnQuotaChanged(const TeamId&, const Resources&) override {}
  void SendHint(const TeamId&, QuotaHint) override {}
};

/// The team limits of one entry instance with one worker and two teams, on a table in memory.
class TeamLimitsTest : public ::testing::Test
{
protected:
  struct SentNotice
  {
    EntryId to;
    Notice notice;
  };

  void SetUp() override { this->CreateTeamLimits(1); }

  void CreateTeamLimits(std::uint64_t aSeed)
  {
    this->sent.clear();
    this->limits.reset();
    this->platform = std::make_unique<MemoryPlatform>(aSeed);
    this->table = std::make_unique<MemoryTable>(*this->platform);
    auto madeScheduler = Scheduler::Create({});
    this->scheduler = std::move(ValueOf(madeScheduler));
    auto created =
      TeamLimits::Create({ .self = { "telford/us#1" }, .zone = { "telford" }, .seed = aSeed },
                         { .clock = this->clock,
                           .table = *this->table,
                           .budget = this->budget,
                           .scheduler = *this->scheduler,
                           .wake = [] {},
                           .send =
                             [this](const EntryId& aTo, Notice aNotice) {
                               this->sent.push_back({ .to = aTo, .notice = std::move(aNotice) });
                             },
                           .peers = [this] { return this->peers; },
                           .isDead = [](const EntryId&) { return false; } });
    ASSERT_FALSE(IsError(created));
    this->limits = std::move(ValueOf(created));
    Document document{ .version = 1 };
    document.teams = { { .id = { "days" }, .limit = kLimit },
                       { .id = { "nights" }, .limit = kLimit } };
    document.queues = { { .id = { "rebuilds" }, .workClass = WorkClass::Batch } };
    this->scheduler->ApplyDocument(document);
    this->scheduler->UpsertWorker({ .id = { "w1" }, .zone = { "telford" }, .capacity = kLimit });
    this->limits->ApplyDocument(document);
  }

  /// Advances the clock in steps shorter than a lease and ticks after each.
  void AdvanceAndTick(Milliseconds aTime)
  {
    constexpr Milliseconds kStep{ 50 };
    for (Milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      this->clock.Advance(kStep);
      this->limits->Tick(this->leaseCounts);
      this->platform->Drain();
    }
  }

  void Adopt(const std::string& aFrom, const std::string& aTeam)
  {
    const TeamAmount amount{ .team = { aTeam }, .amount = kTask };
    this->limits->TasksAdopted({ "w1" }, { aFrom }, std::span(&amount, 1));
  }

  /// @return true if the previous holder was notified that its tasks are counted here.
  [[nodiscard]] bool IsNotified(const std::string& aHolder) const
  {
    return std::ranges::any_of(this->sent, [&](const SentNotice& aSent) {
      return aSent.to.value == aHolder && std::holds_alternative<WorkerAdopted>(aSent.notice);
    });
  }

  /// Queues a task. @return number of tasks that the scheduler starts then.
  [[nodiscard]] std::size_t EnqueueAndCountStarts(const std::string& aTask)
  {
    const auto queued = this->scheduler->Enqueue({ .id = { aTask },
                                                   .job = { "job-" + aTask },
                                                   .team = { "days" },
                                                   .queue = { "rebuilds" },
                                                   .workClass = WorkClass::Batch,
                                                   .request = kTask },
                                                 this->clock.Now());
    EXPECT_FALSE(IsError(queued));
    return this->CountStarts();
  }

  /// @return number of tasks that the scheduler starts now.
  [[nodiscard]] std::size_t CountStarts()
  {
    const auto decisions = this->scheduler->Decide(this->clock.Now());
    return static_cast<std::size_t>(std::ranges::count_if(decisions, [](const Decision& aDecision) {
      return std::holds_alternative<StartTask>(aDecision);
    }));
  }

  /// @return true if a row of the table, of the given team if any, names the holder.
  [[nodiscard]] bool IsInTable(const std::string& aHolder, const std::string& aTeam = {}) const
  {
    return std::ranges::any_of(this->platform->Rows(), [&](const auto& aItem) {
      return aItem.first.find(aTeam) != std::string::npos &&
             aItem.second.value.find(aHolder) != std::string::npos;
    });
  }

  ManualClock clock;
  WriteBudget budget{ { .rowsPerSecond = 1000.0, .burst = 100.0 } };
  WorkerLeaseCounts leaseCounts{ .listed = 1, .leasedHere = 1, .arePeersSettled = true };
  std::vector<PeerView> peers;
  std::vector<SentNotice> sent;
  std::unique_ptr<MemoryPlatform> platform;
  std::unique_ptr<MemoryTable> table;
  IgnoringAllowanceObserver ignoringObserver;
  std::unique_ptr<Scheduler> scheduler;
  std::unique_ptr<TeamLimits> limits;
};

TEST_F(TeamLimitsTest, NoTaskStartsBeforeAnAllowanceIsDurable)
{
  this->platform->SetAvailability(MemoryAvailability::Down);
  this->AdvanceAndTick(Milliseconds{ 1000 });
  EXPECT_EQ(this->EnqueueAndCountStarts("t1"), 0U);
  this->platform->SetAvailability(MemoryAvailability::Up);
  this->AdvanceAndTick(Milliseconds{ 8000 });
  EXPECT_EQ(this->CountStarts(), 1U);
}

TEST_F(TeamLimitsTest, NoTaskStartsAfterAPauseUntilTheRowsAreReadAgain)
{
  this->AdvanceAndTick(Milliseconds{ 2000 });
  EXPECT_EQ(this->EnqueueAndCountStarts("t1"), 1U);
  this->clock.Advance(Milliseconds{ 4000 });
  this->limits->Tick(this->leaseCounts);
  EXPECT_EQ(this->EnqueueAndCountStarts("t2"), 0U);
  this->AdvanceAndTick(Milliseconds{ 2000 });
  EXPECT_EQ(this->CountStarts(), 1U);
}

TEST_F(TeamLimitsTest, PreviousHolderIsNotifiedOnlyOnceItsTasksAreDurablyCounted)
{
  this->platform->SetAvailability(MemoryAvailability::Down);
  this->Adopt("telford/them#1", "days");
  this->AdvanceAndTick(Milliseconds{ 2000 });
  EXPECT_FALSE(this->IsNotified("telford/them#1"));
  EXPECT_EQ(this->limits->PendingAdoptions(), 1U);
  this->platform->SetAvailability(MemoryAvailability::Up);
  this->AdvanceAndTick(Milliseconds{ 8000 });
  EXPECT_TRUE(this->IsNotified("telford/them#1"));
  EXPECT_EQ(this->limits->PendingAdoptions(), 0U);
}

// A worker is acquired, lost and acquired again from another holder before the first adoption is
// durable. The completion of one adoption must not be mistaken for that of the other.
TEST_F(TeamLimitsTest, AdoptionsOfAWorkerAcquiredTwiceCompleteSeparately)
{
  constexpr std::uint64_t kSeeds = 20;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    this->CreateTeamLimits(seed);
    this->Adopt("telford/first#1", "days");
    this->Adopt("telford/second#1", "nights");
    for (int step = 0; step < 400 && !this->IsNotified("telford/second#1"); ++step) {
      this->clock.Advance(Milliseconds{ 10 });
      this->limits->Tick(this->leaseCounts);
      (void)this->platform->Step();
    }
    ASSERT_TRUE(this->IsNotified("telford/second#1"));
    EXPECT_TRUE(this->IsInTable("telford/us#1", "nights")) << "seed " << seed;
    this->AdvanceAndTick(Milliseconds{ 4000 });
    EXPECT_TRUE(this->IsNotified("telford/first#1")) << "seed " << seed;
  }
}

TEST_F(TeamLimitsTest, DeadHolderIsReleasedOnlyAfterAllWorkersHaveBeenLeasedLongEnough)
{
  const std::string dead = "telford/dead#1";
  auto deadBook = QuotaManager::Create({ .self = { dead } },
                                       { .table = *this->table,
                                         .clock = this->clock,
                                         .budget = this->budget,
                                         .observer = this->ignoringObserver });
  ASSERT_FALSE(IsError(deadBook));
  const Team team{ .id = { "days" }, .limit = kLimit };
  ValueOf(deadBook)->SetLimits(1, std::span(&team, 1));
  ValueOf(deadBook)->ReportUsage({ "days" }, { .running = {}, .demand = kTask });
  for (int round = 0; round < 40; ++round) {
    ValueOf(deadBook)->Tick();
    this->AdvanceAndTick(Milliseconds{ 50 });
  }
  ASSERT_TRUE(this->IsInTable(dead));
  this->leaseCounts.listed = 2;
  this->AdvanceAndTick(Milliseconds{ 120'000 });
  EXPECT_TRUE(this->IsInTable(dead))
    << "A worker without a lease holder may still run the dead holder's tasks.";
  this->leaseCounts.leasedByPeers = 1;
  this->AdvanceAndTick(Milliseconds{ 70'000 });
  EXPECT_TRUE(this->IsInTable(dead));
  this->AdvanceAndTick(Milliseconds{ 30'000 });
  EXPECT_FALSE(this->IsInTable(dead));
}

}
}
