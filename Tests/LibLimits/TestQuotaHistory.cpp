#include "QuotaFixture.h"
#include <cstdlib>
#include <fmt/core.h>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

namespace zinc {

namespace {

constexpr int kLimit = 8;
constexpr std::size_t kInstanceCount = 4;
constexpr std::uint64_t kSeeds = 150;
constexpr std::size_t kStepsPerRun = 1200;

struct QuotaStep
{
  std::uint8_t action = 0;
  std::uint8_t instance = 0;
  std::uint8_t amount = 0;
};

/// Entry instances whose grants may still account for adopted tasks.
struct Origins
{
  std::multiset<EntryId> holders;
  /// Number of tasks taken from live entry instances, by victim.
  std::map<EntryId, int> takenFromLive;

  void Add(const Origins& aOther)
  {
    this->holders.insert(aOther.holders.begin(), aOther.holders.end());
    for (const auto& [victim, count] : aOther.takenFromLive) {
      this->takenFromLive[victim] += count;
    }
  }

  void Remove(const Origins& aOther)
  {
    for (const EntryId& holder : aOther.holders) {
      this->holders.erase(this->holders.find(holder));
    }
    for (const auto& [victim, count] : aOther.takenFromLive) {
      this->takenFromLive[victim] -= count;
    }
  }
};

/// Tasks of a dead entry instance that still run on their workers.
struct Orphans
{
  int running = 0;
  Origins origins;
};

/// Simulates entry instances that start, end, lose and adopt tasks of one team while the table
/// rejects, loses and delays requests. After every step the running tasks and the grants must be
/// within the limit.
class QuotaHistory
{
public:
  QuotaHistory(std::uint64_t aSeed, QuotaSafeguards aSafeguards)
    : seed(aSeed)
    , safeguards(aSafeguards)
    , platform(aSeed)
  {
    this->platform.SetFaults(
      { .refuse = 0.05, .loseRequest = 0.05, .loseReply = 0.1, .lateEffect = 0.06 });
    for (Slot& slot : this->slots) {
      this->Start(slot);
    }
  }

  void Run(const std::vector<QuotaStep>& aSteps)
  {
    using Action = void (QuotaHistory::*)(Slot&, int);
    static constexpr std::array<Action, 20> kActions = {
      &QuotaHistory::QueueTasks,
      &QuotaHistory::QueueTasks,
      &QuotaHistory::QueueTasks,
      &QuotaHistory::EndTasks,
      &QuotaHistory::Crash,
      &QuotaHistory::TakeOver,
      &QuotaHistory::TakeWorkerFromLive,
      &QuotaHistory::DetectLostWorkers,
      &QuotaHistory::ReleaseDeadHolder,
      &QuotaHistory::ReleaseDeadHolder,
      &QuotaHistory::FreezeOrThaw,
      &QuotaHistory::FreezeOrThaw,
      &QuotaHistory::SetOutage,
      &QuotaHistory::DeliverEvents,
      &QuotaHistory::DeliverEvents,
      &QuotaHistory::DeliverEvents,
      &QuotaHistory::DeliverEvents,
      &QuotaHistory::Tick,
      &QuotaHistory::Tick,
      &QuotaHistory::Tick,
    };
    for (const QuotaStep& step : aSteps) {
      Slot& slot = this->slots.at(step.instance % kInstanceCount);
      (this->*kActions.at(step.action % kActions.size()))(slot, step.amount);
      this->CheckLimit();
    }
  }

  /// Ends all faults and tasks, and checks that one entry instance can then get the whole limit.
  void FinishAndCheckRecovery()
  {
    this->platform.SetFaults({});
    this->platform.SetAvailability(MemoryAvailability::Up);
    for (Slot& slot : this->slots) {
      slot.instance->link->isFrozen = false;
      this->DetectLostWorkers(slot, 0);
      this->TakeOver(slot, 0);
    }
    while (!this->orphans.empty()) {
      this->TakeOver(this->slots[0], 0);
    }
    for (int round = 0; round < 200; ++round) {
      for (Slot& slot : this->slots) {
        slot.instance->running = slot.lostCount;
        slot.instance->queued = &slot == this->slots.data() ? kLimit : 0;
        slot.instance->Report();
      }
      this->ReleaseDeadHolder(this->slots[1], 0);
      this->Tick(this->slots[0], 20);
      this->platform.Drain();
    }
    if (this->slots[0].instance->manager->UsableQuota(kTestTeam) != TaskResources(kLimit)) {
      this->violations.push_back("the whole limit cannot be granted after recovery: " +
                                 EncodeTeamQuotaRow(ReadStoredRow(this->platform)));
    }
  }

  [[nodiscard]] const std::vector<std::string>& Violations() const { return this->violations; }
  [[nodiscard]] int Started() const { return this->started; }
  [[nodiscard]] int Adopted() const { return this->adopted; }
  [[nodiscard]] int Released() const { return this->released; }
  [[nodiscard]] int MaxRunning() const { return this->maxRunning; }

private:
  struct Slot
  {
    std::unique_ptr<SimulatedInstance> instance;
    std::uint32_t incarnation = 0;
    /// Tasks on workers that others have acquired without the entry instance knowing it yet.
    int lostCount = 0;
    /// Origins of adopted tasks whose adoption is not durable yet.
    Origins unconfirmedOrigins;
  };

  void Start(Slot& aSlot)
  {
    const auto index = static_cast<std::uint64_t>(&aSlot - this->slots.data());
    const std::string name =
      "entry-" + std::to_string(index) + "-" + std::to_string(aSlot.incarnation);
    ++aSlot.incarnation;
    aSlot.lostCount = 0;
    aSlot.unconfirmedOrigins = {};
    QuotaOptions options = FastQuotaOptions();
    options.safeguards = this->safeguards;
    aSlot.instance =
      std::make_unique<SimulatedInstance>(this->platform,
                                          this->clock,
                                          name,
                                          this->seed * 100 + index * 10 + aSlot.incarnation,
                                          std::move(options));
    const Team team{ .id = kTestTeam, .limit = TaskResources(kLimit) };
    aSlot.instance->manager->SetLimits(1, { &team, 1 });
  }

  void QueueTasks(Slot& aSlot, int aAmount)
  {
    aSlot.instance->queued = aAmount % 8;
    aSlot.instance->Report();
  }

  void EndTasks(Slot& aSlot, int aAmount)
  {
    SimulatedInstance& instance = *aSlot.instance;
    instance.running -= std::min(aAmount % 3, instance.running - aSlot.lostCount);
    instance.Report();
  }

  void Crash(Slot& aSlot, int aAmount)
  {
    if (aAmount % 12 != 0) {
      return;
    }
    const EntryId deadEntry = aSlot.instance->name;
    Orphans& orphaned = this->orphans[deadEntry];
    orphaned.running = aSlot.instance->running - aSlot.lostCount;
    orphaned.origins = aSlot.unconfirmedOrigins;
    orphaned.origins.holders.insert(deadEntry);
    this->deadEntries.insert(deadEntry);
    this->Start(aSlot);
  }

  void Adopt(Slot& aSlot, const EntryId& aFrom, int aCount, const Origins& aOrigins)
  {
    aSlot.instance->running += aCount;
    aSlot.instance->Report();
    aSlot.unconfirmedOrigins.Add(aOrigins);
    this->adopted += aCount;
    const std::uint32_t incarnation = aSlot.incarnation;
    aSlot.instance->manager->Adopt(kTestTeam,
                                   aFrom,
                                   TaskResources(aCount),
                                   [this, &aSlot, incarnation, aOrigins](const Result<Done>&) {
                                     if (aSlot.incarnation != incarnation) {
                                       return;
                                     }
                                     aSlot.unconfirmedOrigins.Remove(aOrigins);
                                     for (const auto& [victim, count] : aOrigins.takenFromLive) {
                                       this->adoptedCounts[victim] += count;
                                     }
                                   });
  }

  void TakeOver(Slot& aSlot, int aAmount)
  {
    if (this->orphans.empty() || aSlot.instance->link->isFrozen) {
      return;
    }
    const auto taken =
      std::next(this->orphans.begin(), aAmount % static_cast<int>(this->orphans.size()));
    const auto [from, orphaned] = *taken;
    this->orphans.erase(taken);
    this->Adopt(aSlot, from, orphaned.running, orphaned.origins);
  }

  /// Acquires a worker of an entry instance that is alive.
  void TakeWorkerFromLive(Slot& aSlot, int aAmount)
  {
    Slot& victim = this->slots.at(static_cast<std::size_t>(aAmount / 4) % kInstanceCount);
    if (aAmount % 4 != 0 || &victim == &aSlot || aSlot.instance->link->isFrozen) {
      return;
    }
    const int count = (victim.instance->running - victim.lostCount) / 2;
    victim.lostCount += count;
    Origins origins{ .holders = victim.unconfirmedOrigins.holders };
    origins.holders.insert(victim.instance->name);
    origins.takenFromLive[victim.instance->name] = count;
    this->Adopt(aSlot, victim.instance->name, count, origins);
  }

  void DetectLostWorkers(Slot& aSlot, int)
  {
    if (aSlot.lostCount == 0 || aSlot.instance->link->isFrozen) {
      return;
    }
    aSlot.instance->manager->Forfeit(kTestTeam, TaskResources(aSlot.lostCount));
    aSlot.instance->running -= aSlot.lostCount;
    aSlot.lostCount = 0;
    aSlot.instance->Report();
  }

  void ReleaseDeadHolder(Slot& aSlot, int aAmount)
  {
    if (this->deadEntries.empty() || aSlot.instance->link->isFrozen) {
      return;
    }
    const EntryId entry =
      *std::next(this->deadEntries.begin(), aAmount % static_cast<int>(this->deadEntries.size()));
    if (!this->IsAccountedFor(entry)) {
      return;
    }
    aSlot.instance->manager->ReleaseGrants(entry, [this, entry](const Result<Done>& aResult) {
      this->released += IsError(aResult) ? 0 : 1;
      if (!IsError(aResult)) {
        this->deadEntries.erase(entry);
      }
    });
  }

  /// @return true if others account for all tasks that the dead entry instance has started.
  bool IsAccountedFor(const EntryId& aEntry) const
  {
    for (const auto& [from, orphaned] : this->orphans) {
      if (orphaned.origins.holders.contains(aEntry)) {
        return false;
      }
    }
    return std::ranges::none_of(this->slots, [&](const Slot& aSlot) {
      return aSlot.unconfirmedOrigins.holders.contains(aEntry);
    });
  }

  void FreezeOrThaw(Slot& aSlot, int aAmount)
  {
    aSlot.instance->link->isFrozen = !aSlot.instance->link->isFrozen && aAmount % 4 == 0;
  }

  void SetOutage(Slot&, int aAmount)
  {
    const bool isDown = aAmount % 8 == 0;
    this->platform.SetAvailability(isDown ? MemoryAvailability::Down : MemoryAvailability::Up);
  }

  void DeliverEvents(Slot&, int aAmount)
  {
    for (int event = 0; event < aAmount % 16; ++event) {
      static_cast<void>(this->platform.Step());
    }
  }

  void Tick(Slot&, int aAmount)
  {
    this->clock.Advance(Milliseconds(5 + aAmount % 50));
    for (Slot& slot : this->slots) {
      if (slot.instance->link->isFrozen) {
        continue;
      }
      this->SettleForfeited(slot);
      slot.instance->manager->Tick();
      const int before = slot.instance->running;
      slot.instance->StartQueued();
      this->started += slot.instance->running - before;
    }
    std::vector<SimulatedInstance*> unfrozen;
    for (Slot& slot : this->slots) {
      if (!slot.instance->link->isFrozen) {
        unfrozen.push_back(slot.instance.get());
      }
    }
    DeliverHints(unfrozen);
  }

  /// Reports to an entry instance that knows its losses which of them others have adopted.
  void SettleForfeited(Slot& aSlot)
  {
    int& count = this->adoptedCounts[aSlot.instance->name];
    if (aSlot.lostCount == 0 && count > 0) {
      aSlot.instance->manager->SettleForfeited(kTestTeam, TaskResources(count));
      count = 0;
    }
  }

  void CheckLimit()
  {
    int running = 0;
    for (const Slot& slot : this->slots) {
      running += slot.instance->running - slot.lostCount;
    }
    for (const auto& [from, orphaned] : this->orphans) {
      running += orphaned.running;
    }
    this->maxRunning = std::max(this->maxRunning, running);
    if (running > kLimit) {
      this->violations.push_back("running tasks exceed the limit: " + std::to_string(running));
    }
    const std::size_t writes = this->platform.History().size();
    if (writes == this->writesChecked) {
      return;
    }
    this->writesChecked = writes;
    Resources granted;
    for (const Grant& grant : ReadStoredRow(this->platform).grants) {
      granted += grant.amount;
    }
    if (!granted.FitsIn(TaskResources(kLimit))) {
      this->violations.emplace_back("grants exceed the limit");
    }
  }

  std::uint64_t seed;
  QuotaSafeguards safeguards;
  MemoryPlatform platform;
  ManualClock clock;
  std::array<Slot, kInstanceCount> slots;
  std::map<EntryId, Orphans> orphans;
  std::set<EntryId> deadEntries;
  std::map<EntryId, int> adoptedCounts;
  std::vector<std::string> violations;
  std::size_t writesChecked = 0;
  int started = 0;
  int adopted = 0;
  int released = 0;
  int maxRunning = 0;
};

std::vector<QuotaStep>
DrawSteps(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<QuotaStep> steps(kStepsPerRun);
  for (QuotaStep& step : steps) {
    step = { .action = static_cast<std::uint8_t>(random() % 20),
             .instance = static_cast<std::uint8_t>(random()),
             .amount = static_cast<std::uint8_t>(random()) };
  }
  return steps;
}

bool
FindsViolation(QuotaSafeguards aSafeguards, std::string_view aKind)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaHistory history(seed, aSafeguards);
    history.Run(DrawSteps(seed));
    for (const std::string& violation : history.Violations()) {
      if (violation.starts_with(aKind)) {
        return true;
      }
    }
  }
  return false;
}

std::uint64_t
NumberFromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

}

/// ZINC_FIRST_SEED and ZINC_SEEDS select other seeds, e.g. for a long run.
TEST(QuotaHistory, NeverExceedsLimitOnFixedSeeds)
{
  const std::uint64_t first = NumberFromEnvironment("ZINC_FIRST_SEED", 1);
  const std::uint64_t runs = NumberFromEnvironment("ZINC_SEEDS", kSeeds);
  std::uint64_t started = 0;
  std::uint64_t adopted = 0;
  std::uint64_t released = 0;
  std::uint64_t runsAtLimit = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    QuotaHistory history(seed, QuotaSafeguards::All);
    history.Run(DrawSteps(seed));
    started += static_cast<std::uint64_t>(history.Started());
    history.FinishAndCheckRecovery();
    adopted += static_cast<std::uint64_t>(history.Adopted());
    released += static_cast<std::uint64_t>(history.Released());
    runsAtLimit += history.MaxRunning() == kLimit ? 1 : 0;
    for (const std::string& violation : history.Violations()) {
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
  }
  fmt::print("started: {}, adopted: {}, grants released: {}, runs at the limit: {} of {}\n",
             started,
             adopted,
             released,
             runsAtLimit,
             runs);
  // Ensures that the runs exercise starts, adoptions, releases and a full limit.
  EXPECT_GT(started, runs * kLimit);
  EXPECT_GT(adopted, runs);
  EXPECT_GT(released, runs);
  EXPECT_GT(runsAtLimit, runs / 2);
}

/// Regression: with the first seed, a write that took effect late went unnoticed. The other seeds
/// failed with earlier versions of the generated steps.
TEST(QuotaHistory, NeverExceedsLimitOnSeedsThatOnceFailed)
{
  for (const std::uint64_t seed : { 25309, 15171, 15502, 106, 1198, 88 }) {
    QuotaHistory history(seed, QuotaSafeguards::All);
    history.Run(DrawSteps(seed));
    history.FinishAndCheckRecovery();
    EXPECT_EQ(history.Violations(), std::vector<std::string>{}) << "seed " << seed;
  }
}

RC_GTEST_PROP(QuotaHistory, NeverExceedsLimitOnGeneratedSteps, (std::uint64_t aSeed))
{
  const auto steps = *rc::gen::container<std::vector<QuotaStep>>(rc::gen::build<QuotaStep>(
    rc::gen::set(&QuotaStep::action, rc::gen::inRange<std::uint8_t>(0, 20)),
    rc::gen::set(&QuotaStep::instance, rc::gen::inRange<std::uint8_t>(0, 4)),
    rc::gen::set(&QuotaStep::amount, rc::gen::inRange<std::uint8_t>(0, 64))));
  QuotaHistory history(aSeed % 100000, QuotaSafeguards::All);
  history.Run(steps);
  history.FinishAndCheckRecovery();
  RC_ASSERT(history.Violations() == std::vector<std::string>{});
}

TEST(QuotaSafeguards, RunningTasksExceedLimitWithoutConfirmation)
{
  EXPECT_TRUE(FindsViolation(QuotaSafeguards::WithoutConfirmation, "running tasks"));
}

TEST(QuotaSafeguards, RunningTasksExceedLimitWithoutForfeit)
{
  EXPECT_TRUE(FindsViolation(QuotaSafeguards::WithoutForfeit, "running tasks"));
}

TEST(QuotaSafeguards, RunningTasksExceedLimitWithoutCondition)
{
  EXPECT_TRUE(FindsViolation(QuotaSafeguards::WithoutCondition, "running tasks"));
}

}
