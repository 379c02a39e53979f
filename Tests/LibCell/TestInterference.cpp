#include "CellSchedulerFixture.h"

#include <algorithm>
#include <fmt/format.h>

namespace zinc::cell::test {

/// Four workers with room for one victim of three cores and one neighbour of one core each.
class Interference : public CellSchedulerFixture
{
protected:
  Interference()
  {
    for (int index = 1; index <= kWorkers; ++index) {
      this->entries.push_back(this->workers.Add(fmt::format("w{}", index), kCores));
    }
  }

  /// @return the id of the job
  std::string Submit(const std::string& aImage,
                     std::uint32_t aCount,
                     std::int64_t aCores,
                     Milliseconds aEstimate = Milliseconds{ 1000 })
  {
    auto id = fmt::format("{}-{}", aImage, ++this->lastJob);
    auto spec = MakeJob(id, aCount, aCores, aEstimate.count());
    spec.steps.front().image = aImage;
    this->AcceptJob(spec);
    return id;
  }

  void End(const std::string& aJob)
  {
    const auto starts = this->workers.starts;
    for (const auto& start : starts) {
      if (start.task.job.value == aJob) {
        this->workers.End(start.worker.value, start.task, RunOutcome::Succeeded);
      }
    }
  }

  [[nodiscard]] std::vector<std::string> WorkersOf(const std::string& aJob) const
  {
    std::vector<std::string> found;
    for (const auto& start : this->workers.starts) {
      if (start.task.job.value == aJob) {
        found.push_back(start.worker.value);
      }
    }
    return found;
  }

  /// Victims take a second alone, and two next to the neighbours.
  void RunVictims(bool aWithNeighbours)
  {
    const auto victims = this->Submit("victim", kWorkers, kVictimCores);
    this->RunFor(Milliseconds{ 50 });
    const auto neighbours =
      aWithNeighbours ? this->Submit("neighbour", kWorkers, 1, Milliseconds{ 3000 }) : "";
    this->RunFor(Milliseconds{ aWithNeighbours ? 1950 : 950 });
    this->End(victims);
    this->RunFor(Milliseconds{ 1000 });
    this->End(neighbours);
    this->RunFor(Milliseconds{ 100 });
  }

  void LearnPair()
  {
    constexpr int kRounds = 6;
    for (int round = 0; round < kRounds; ++round) {
      this->RunVictims(true);
      this->RunVictims(false);
    }
  }

  [[nodiscard]] bool IsPairReported() const
  {
    return this->metrics.Render().find(
             R"(zinc_cell_interference_factor{victim="victim",neighbour="neighbour"})") !=
           std::string::npos;
  }

  static constexpr int kWorkers = 4;
  static constexpr std::int64_t kCores = 4;
  static constexpr std::int64_t kVictimCores = 3;
  int lastJob = 0;
};

// Guards against a pair that is known but placed together by the tightest fit.
TEST_F(Interference, KeepsAKnownPairApart)
{
  this->BeginTerm();
  this->LearnPair();
  ASSERT_TRUE(this->IsPairReported());
  const auto victim = this->Submit("victim", 1, kVictimCores);
  this->RunFor(Milliseconds{ 50 });
  const auto neighbour = this->Submit("neighbour", 1, 1);
  this->RunFor(Milliseconds{ 50 });
  ASSERT_EQ(this->WorkersOf(neighbour).size(), 1);
  EXPECT_NE(this->WorkersOf(neighbour), this->WorkersOf(victim));
  // A new victim avoids the neighbour.
  const auto other = this->Submit("victim", 2, kVictimCores);
  this->RunFor(Milliseconds{ 50 });
  const auto used = this->WorkersOf(other);
  EXPECT_EQ(used.size(), 2);
  EXPECT_EQ(std::ranges::count(used, this->WorkersOf(neighbour).front()), 0);
}

// Guards against tasks that wait for a worker without their neighbour while others have room.
TEST_F(Interference, DoesNotDelayTasksWithoutRoomForSeparation)
{
  this->BeginTerm();
  this->LearnPair();
  ASSERT_TRUE(this->IsPairReported());
  const auto victims = this->Submit("victim", kWorkers, kVictimCores);
  this->RunFor(Milliseconds{ 50 });
  ASSERT_EQ(this->WorkersOf(victims).size(), kWorkers);
  const auto neighbours = this->Submit("neighbour", kWorkers, 1);
  this->RunFor(Milliseconds{ 20 });
  EXPECT_EQ(this->WorkersOf(neighbours).size(), kWorkers);
}

// Guards against knowledge of a predecessor that no longer holds, and against its gauges.
TEST_F(Interference, ANewLeaderStartsWithoutKnowledge)
{
  this->BeginTerm();
  this->LearnPair();
  ASSERT_TRUE(this->IsPairReported());
  this->scheduler.reset();
  this->BeginTerm();
  this->RunFor(Milliseconds{ 1200 });
  EXPECT_FALSE(this->IsPairReported());
  const auto victim = this->Submit("victim", 1, kVictimCores);
  this->RunFor(Milliseconds{ 50 });
  const auto neighbour = this->Submit("neighbour", 1, 1);
  this->RunFor(Milliseconds{ 50 });
  EXPECT_EQ(this->WorkersOf(neighbour), this->WorkersOf(victim));
}

// Guards against an option that does not restore the placement without the estimate.
TEST_F(Interference, TheOptionTurnsItOff)
{
  this->options.keepInterferingTasksApart = false;
  this->BeginTerm();
  this->LearnPair();
  EXPECT_FALSE(this->IsPairReported());
  const auto victim = this->Submit("victim", 1, kVictimCores);
  this->RunFor(Milliseconds{ 50 });
  const auto neighbour = this->Submit("neighbour", 1, 1);
  this->RunFor(Milliseconds{ 50 });
  EXPECT_EQ(this->WorkersOf(neighbour), this->WorkersOf(victim));
}

}
