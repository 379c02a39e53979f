#include "UnevenWorkersFixture.h"

#include <cstdio>
#include <functional>

namespace zinc::cell::test {

namespace {

constexpr double kUnattainableSpread = 1e9;

/// Late checks with the ranking by completion and with @ref SlownessRanking.
struct Comparison
{
  Outcome byCompletion;
  Outcome bySlowness;
};

/// Compares both rankings in cells with the same workers and jobs.
class UnevenWorkersComparison : public UnevenWorkersTest
{
protected:
  /// @param aRun runs a cell that has been reset
  /// @return the outcome of the checks, over several seeds
  Comparison Compare(const std::function<Outcome()>& aRun)
  {
    constexpr std::uint32_t kSeeds = 4;
    Comparison comparison;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      for (auto* total : { &comparison.byCompletion, &comparison.bySlowness }) {
        this->Reset(total == &comparison.byCompletion ? 2.0 : kUnattainableSpread, seed);
        const auto outcome = aRun();
        total->ended += outcome.ended;
        total->late += outcome.late;
      }
    }
    this->RecordProperty("late_by_completion", static_cast<int>(comparison.byCompletion.late));
    this->RecordProperty("late_by_slowness", static_cast<int>(comparison.bySlowness.late));
    return comparison;
  }
};

}

// Guards against quick checks at slow workers while batches that may wait occupy the fast ones.
// Load: three speeds at one to 2.7, checks at 60% and batches at 25% of the capacity.
TEST_F(UnevenWorkersComparison, ChecksAreLateLessOftenWithThreeSpeeds)
{
  const auto comparison = this->Compare([this] {
    this->AddThreeSpeeds(16);
    this->BeginTerm();
    auto traffic = MixedTraffic();
    traffic[0].rate = this->RateFor(traffic[0], 0.6);
    traffic[1].rate = this->RateFor(traffic[1], 0.25);
    this->RunLoad(traffic, Milliseconds{ 10'000 });
    return this->RunLoad(traffic, Milliseconds{ 15'000 })["checks"];
  });
  EXPECT_LT(comparison.byCompletion.LateShare() * 3.0, comparison.bySlowness.LateShare());
}

// Guards against a ranking that keeps the speeds of workers that are gone. Load: a third of the
// workers is replaced by others of any speed while the demand doubles.
TEST_F(UnevenWorkersComparison, ReplacedWorkersAreRatedWhileDemandDoubles)
{
  const auto comparison = this->Compare([this] {
    this->AddThreeSpeeds(16);
    this->BeginTerm();
    auto traffic = MixedTraffic();
    traffic[0].rate = this->RateFor(traffic[0], 0.3);
    traffic[1].rate = this->RateFor(traffic[1], 0.1);
    this->RunLoad(traffic, Milliseconds{ 8000 });
    const auto previous = this->entries;
    for (std::size_t index = 0; index < previous.size(); index += 3) {
      const auto& old = previous[index / 3 * 3 + index / 3 % 3];
      this->RemoveWorker(old.id.value);
      this->AddWorker("new-" + std::to_string(index), this->speeds.at(old.id), old.labels.front());
    }
    for (auto& stream : traffic) {
      stream.rate *= 2.0;
    }
    return this->RunLoad(traffic, Milliseconds{ 12'000 })["checks"];
  });
  EXPECT_LT(comparison.byCompletion.LateShare() * 1.5, comparison.bySlowness.LateShare());
}

// Guards against fast workers that are wasted in one zone at a time. Load: a peak of 1.55 times the
// usual demand moves across four zones with a period of 13 s; checks run in their zone only.
TEST_F(UnevenWorkersComparison, ADemandPeakMovesAcrossZones)
{
  const std::vector<std::string> zones{ "z1", "z2", "z3", "z4" };
  const auto comparison = this->Compare([this, &zones] {
    std::vector<Traffic> traffic;
    for (const auto& zone : zones) {
      this->AddThreeSpeeds(5, zone);
      for (auto stream : MixedTraffic()) {
        stream.label = zone;
        traffic.push_back(stream);
      }
    }
    this->BeginTerm();
    constexpr double kAmplitude = 0.55;
    constexpr double kPeriodMs = 13'000.0;
    constexpr Milliseconds kStep{ 250 };
    Outcome outcome;
    for (auto at = Milliseconds{ 0 }; at < Milliseconds{ 26'000 }; at += kStep) {
      for (std::size_t index = 0; index < traffic.size(); ++index) {
        const double phase = static_cast<double>(at.count()) / kPeriodMs +
                             static_cast<double>(index / 2) / static_cast<double>(zones.size());
        const double share = index % 2 == 0 ? 0.5 : 0.15;
        traffic[index].rate = this->RateFor(traffic[index], share) /
                              static_cast<double>(zones.size()) *
                              (1.0 + kAmplitude * std::sin(2.0 * M_PI * phase));
      }
      const auto part = this->RunLoad(traffic, kStep)["checks"];
      if (at >= Milliseconds{ 8000 }) {
        outcome.ended += part.ended;
        outcome.late += part.late;
      }
    }
    return outcome;
  });
  EXPECT_LT(comparison.byCompletion.LateShare() * 1.5, comparison.bySlowness.LateShare());
}

// Guards against a worker that keeps getting checks after it has become slow, and against one that
// is avoided after it has recovered. Load: a worker that becomes eight times slower.
TEST_F(UnevenWorkersTest, AvoidsAWorkerThatBecomesEightTimesSlower)
{
  constexpr double kSlowdown = 8.0;
  this->AddThreeSpeeds(4);
  this->BeginTerm();
  auto traffic = MixedTraffic();
  traffic[0].rate = this->RateFor(traffic[0], 0.5);
  this->RunLoad(traffic, Milliseconds{ 8000 });
  const std::string worker = "fast-zone-0";
  this->speeds.at({ worker }) /= kSlowdown;
  this->RunLoad(traffic, Milliseconds{ 2000 });
  auto since = this->workers.starts.size();
  this->RunLoad(traffic, Milliseconds{ 4000 });
  const double slowShare = this->ShareOfStarts(since, "checks", worker);
  this->speeds.at({ worker }) *= kSlowdown;
  this->RunLoad(traffic, Milliseconds{ 20'000 });
  since = this->workers.starts.size();
  this->RunLoad(traffic, Milliseconds{ 4000 });
  EXPECT_LT(slowShare, 0.01);
  EXPECT_GT(this->ShareOfStarts(since, "checks", worker), 0.1);
}

// Guards against a new leader that ranks workers as equal for long. Load: a takeover in a cell of
// three speeds at 85% of the capacity.
TEST_F(UnevenWorkersTest, ANewLeaderLearnsTheSpreadWithinSeconds)
{
  this->AddThreeSpeeds(16);
  this->BeginTerm();
  auto traffic = MixedTraffic();
  traffic[0].rate = this->RateFor(traffic[0], 0.6);
  traffic[1].rate = this->RateFor(traffic[1], 0.25);
  this->RunLoad(traffic, Milliseconds{ 5000 });
  auto& spread = this->metrics.FindGauge({ .name = "zinc_cell_speed_spread", .help = "" },
                                         { { "pool", "pool" } });
  spread.Set(0.0);
  this->BeginTerm(true);
  this->RunLoad(traffic, Milliseconds{ 6000 });
  EXPECT_GT(spread.Value(), 2.0);
  this->RunLoad(traffic, Milliseconds{ 30'000 });
  EXPECT_NEAR(spread.Value(), kFast / kSlow, 0.4);
}

// Guards against a change of behaviour in pools whose workers are equal. Load: estimates off by
// two.
TEST_F(UnevenWorkersTest, APoolOfEqualWorkersStaysEven)
{
  for (int index = 0; index < 12; ++index) {
    this->AddWorker("w-" + std::to_string(index), kNominal, index % 2 == 0 ? "m1" : "m2");
  }
  this->BeginTerm();
  auto traffic = MixedTraffic(2.0);
  traffic[0].rate = this->RateFor(traffic[0], 0.5);
  traffic[1].rate = this->RateFor(traffic[1], 0.2);
  this->RunLoad(traffic, Milliseconds{ 20'000 });
  const auto& spread = this->metrics.FindGauge({ .name = "zinc_cell_speed_spread", .help = "" },
                                               { { "pool", "pool" } });
  EXPECT_GT(spread.Value(), 0.0);
  EXPECT_LT(spread.Value(), 1.5);
}

// Guards against a pool that switches to and fro and fills the log. Load: three speeds, then so few
// tasks that the slow workers are idle.
TEST_F(UnevenWorkersTest, LogsOnceThatAPoolIsUneven)
{
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::tmpfile(), &std::fclose);
  this->log = Logger({ .output = file.get() });
  this->AddThreeSpeeds(8);
  this->BeginTerm();
  this->MeasureAllWorkers();
  auto traffic = MixedTraffic();
  traffic[0].rate = this->RateFor(traffic[0], 0.2);
  this->RunLoad(traffic, Milliseconds{ 20'000 });
  std::rewind(file.get());
  std::string text;
  for (int next = std::fgetc(file.get()); next != EOF; next = std::fgetc(file.get())) {
    text.push_back(static_cast<char>(next));
  }
  const auto first = text.find("pool_uneven");
  ASSERT_NE(first, std::string::npos);
  EXPECT_EQ(text.find("pool_uneven", first + 1), std::string::npos);
  EXPECT_EQ(text.find("pool_even"), std::string::npos);
}

// Guards against advice about workers that would not be chosen. Load: checks whose queue needs
// tickets, in a cell with free workers of each speed.
TEST_F(UnevenWorkersTest, RequestsAdviceForPreferredWorkersFirst)
{
  this->AddThreeSpeeds(12);
  this->BeginTerm();
  this->MeasureAllWorkers();
  auto traffic = MixedTraffic(1.0);
  traffic[0].rate = this->RateFor(traffic[0], 0.2);
  traffic[0].needsAdvice = true;
  this->RunLoad(traffic, Milliseconds{ 2000 });
  std::size_t named = 0;
  std::size_t slow = 0;
  for (const auto& request : this->advice.requests) {
    for (const auto& worker : request.workers) {
      ++named;
      slow += worker.value.starts_with("slow") ? 1 : 0;
    }
  }
  EXPECT_GT(named, 100U);
  EXPECT_EQ(slow, 0U);
}

// Guards against a gang that waits for one slow member while the others occupy fast workers.
TEST_F(UnevenWorkersTest, AGangGetsWorkersOfLikeSpeed)
{
  this->AddThreeSpeeds(16);
  this->BeginTerm();
  this->MeasureAllWorkers();
  auto traffic = MixedTraffic();
  traffic[0].rate = this->RateFor(traffic[0], 0.3);
  this->RunLoad(traffic, Milliseconds{ 1000 });
  const auto since = this->workers.starts.size();
  this->Submit({ .queue = "gangs",
                 .priority = 1,
                 .tasks = 16,
                 .cores = 9,
                 .taskMs = 6000.0,
                 .stretch = 2.2,
                 .slack = Milliseconds{ 1000 },
                 .isGang = true });
  this->RunLoad(traffic, Milliseconds{ 500 });
  const double slow = this->ShareOfStarts(since, "gangs", "slow");
  const double fast = this->ShareOfStarts(since, "gangs", "fast");
  EXPECT_EQ(std::min(slow, fast), 0.0);
  // The estimates of the speeds are off by a few percent, so that single members are of the next
  // kind.
  EXPECT_GT(std::max({ slow, fast, 1.0 - slow - fast }), 0.8);
}

}
