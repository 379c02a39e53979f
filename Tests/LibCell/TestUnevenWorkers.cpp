#include "CellSchedulerFixture.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>

namespace zinc::cell::test {

namespace {

constexpr double kSlow = 0.6;
constexpr double kNominal = 1.0;
constexpr double kFast = 1.6;
constexpr std::int64_t kCoresPerWorker = 32;

/// A queue of generated jobs.
struct Traffic
{
  std::string queue;
  std::uint32_t priority = 0;
  std::uint32_t tasks = 3;
  std::int64_t cores = 5;
  double taskMs = 800.0;
  double stretch = 1.5;
  Milliseconds slack{ 250 };
  /// Jobs per second.
  double rate = 0.0;
  /// Estimates are off by up to this factor, the same for all tasks of a job.
  double maxEstimateError = 1.0;
  bool needsAdvice = false;
  /// Label that the workers need.
  std::string label = {};
  bool isGang = false;
};

/// @return quick checks, and batches with slack; the rates are not set
std::vector<Traffic>
MixedTraffic(double aMaxEstimateError = 1.9)
{
  return { { .queue = "checks", .maxEstimateError = aMaxEstimateError },
           { .queue = "batches",
             .priority = 1,
             .tasks = 8,
             .cores = 4,
             .taskMs = 2700.0,
             .stretch = 4.0,
             .slack = Milliseconds{ 3000 },
             .maxEstimateError = aMaxEstimateError } };
}

/// What became of the jobs of a queue.
struct Outcome
{
  std::size_t ended = 0;
  std::size_t late = 0;
  [[nodiscard]] double LateShare() const
  {
    return static_cast<double>(this->late) /
           static_cast<double>(std::max<std::size_t>(1, this->ended));
  }
};

/// A cell of workers with different speeds and a stream of jobs. Run times depend on the worker's
/// speed, on the job's estimation error and by 15% on the task.
class UnevenWorkersTest : public CellSchedulerFixture
{
protected:
  UnevenWorkersTest() { this->options.urgentHeadroom = 0.05; }

  void AddWorker(const std::string& aId,
                 double aSpeed,
                 const std::string& aKind,
                 const std::string& aZone = "zone")
  {
    this->workers.Add(aId, kCoresPerWorker);
    auto& entry = this->workers.At(aId).entry;
    entry.labels = { aKind, "r1", aZone };
    this->entries.push_back(entry);
    this->speeds[{ aId }] = aSpeed;
    if (this->scheduler) {
      this->scheduler->OnWorkerEntry(entry);
    }
  }

  /// Adds equally many workers of each of three speeds.
  void AddThreeSpeeds(std::size_t aPerSpeed, const std::string& aZone = "zone")
  {
    for (std::size_t index = 0; index < aPerSpeed; ++index) {
      const auto suffix = "-" + aZone + "-" + std::to_string(index);
      this->AddWorker("slow" + suffix, kSlow, "m1", aZone);
      this->AddWorker("nominal" + suffix, kNominal, "m2", aZone);
      this->AddWorker("fast" + suffix, kFast, "m3", aZone);
    }
  }

  /// Takes a worker away after its runs have ended.
  void RemoveWorker(const std::string& aId)
  {
    auto entry = this->workers.At(aId).entry;
    entry.isDraining = true;
    this->scheduler->OnWorkerEntry(entry);
  }

  /// Begins a new cell with the given ranking.
  void Reset(double aSpreadThreshold, std::uint32_t aSeed)
  {
    this->scheduler.reset();
    this->options.unevenPools.spreadThreshold = aSpreadThreshold;
    this->random.seed(aSeed);
    this->entries.clear();
    this->speeds.clear();
    this->store.rows.clear();
    this->openJobs.clear();
    this->dueJobs.clear();
    this->ends.clear();
    this->workers.starts.clear();
    this->startsSeen = 0;
  }

  /// @return the rate at which jobs of this traffic take a share of the cell's capacity
  [[nodiscard]] double RateFor(const Traffic& aTraffic, double aShare) const
  {
    double capacity = 0.0;
    for (const auto& [id, speed] : this->speeds) {
      capacity += speed * kCoresPerWorker;
    }
    return aShare * capacity * 1000.0 /
           (aTraffic.tasks * static_cast<double>(aTraffic.cores) * aTraffic.taskMs);
  }

  void Submit(const Traffic& aTraffic)
  {
    std::uniform_real_distribution<double> error(-std::log(aTraffic.maxEstimateError),
                                                 std::log(aTraffic.maxEstimateError));
    const auto id = aTraffic.queue + aTraffic.label + "-" + std::to_string(++this->jobsSubmitted);
    auto spec = MakeJob(id, aTraffic.tasks, aTraffic.cores);
    spec.steps.front().estimate =
      Milliseconds(static_cast<std::int64_t>(aTraffic.taskMs * std::exp(error(this->random))));
    spec.steps.front().requiredLabel = aTraffic.label;
    spec.steps.front().isGang = aTraffic.isGang;
    spec.queue = { .name = { aTraffic.queue },
                   .pool = "pool",
                   .priority = aTraffic.priority,
                   .maxAttempts = 3,
                   .stretch = aTraffic.stretch,
                   .slack = aTraffic.slack,
                   .needsAdvice = aTraffic.needsAdvice };
    if (aTraffic.needsAdvice) {
      spec.queue.advice = { .baseMs = 10.0,
                            .perWorkerMs = 0.1,
                            .ticketValidity = Milliseconds{ 1500 } };
    }
    const auto allowed =
      Milliseconds(static_cast<std::int64_t>(
        aTraffic.stretch * static_cast<double>(spec.steps.front().estimate.count()))) +
      aTraffic.slack;
    this->openJobs[spec.id] = { .queue = aTraffic.queue,
                                .taskMs = aTraffic.taskMs,
                                .tasksLeft = aTraffic.tasks,
                                .objective = this->clock.Now() + allowed };
    this->AcceptJob(spec);
  }

  /// Runs the cell with a stream of jobs.
  /// @return the outcome by queue of the jobs that ended meanwhile
  std::map<std::string, Outcome> RunLoad(const std::vector<Traffic>& aTraffic,
                                         Milliseconds aDuration)
  {
    constexpr Milliseconds kStep{ 10 };
    std::map<std::string, Outcome> outcomes;
    for (auto elapsed = Milliseconds{ 0 }; elapsed < aDuration; elapsed += kStep) {
      for (const auto& traffic : aTraffic) {
        auto& due = this->dueJobs[traffic.queue + traffic.label];
        due += traffic.rate * static_cast<double>(kStep.count()) / 1000.0;
        for (; due >= 1.0; due -= 1.0) {
          this->Submit(traffic);
        }
      }
      this->RunFor(kStep);
      this->ScheduleEnds();
      this->EndDueRuns(outcomes);
    }
    return outcomes;
  }

  /// Runs a load under which workers of each speed are measured, and lets it end.
  void MeasureAllWorkers()
  {
    auto traffic = MixedTraffic();
    traffic[0].rate = this->RateFor(traffic[0], 0.6);
    traffic[1].rate = this->RateFor(traffic[1], 0.3);
    this->RunLoad(traffic, Milliseconds{ 8000 });
    this->RunLoad({}, Milliseconds{ 3000 });
  }

  /// @return the share of the starts since an index of @ref SimulatedWorkers::starts at workers
  /// whose id begins with @p aPrefix
  [[nodiscard]] double ShareOfStarts(std::size_t aSince,
                                     const std::string& aQueue,
                                     const std::string& aPrefix) const
  {
    double all = 0.0;
    double matching = 0.0;
    for (std::size_t index = aSince; index < this->workers.starts.size(); ++index) {
      const auto& start = this->workers.starts[index];
      if (start.task.job.value.starts_with(aQueue)) {
        all += 1.0;
        matching += start.worker.value.starts_with(aPrefix) ? 1.0 : 0.0;
      }
    }
    return all == 0.0 ? 0.0 : matching / all;
  }

  struct OpenJob
  {
    std::string queue;
    double taskMs = 0.0;
    std::uint32_t tasksLeft = 0;
    TimePoint objective{};
  };

  void ScheduleEnds()
  {
    std::normal_distribution<double> deviation(0.0, 0.15);
    for (; this->startsSeen < this->workers.starts.size(); ++this->startsSeen) {
      const auto& start = this->workers.starts[this->startsSeen];
      const auto& job = this->openJobs.at(start.task.job);
      const double runMs =
        job.taskMs * std::exp(deviation(this->random)) / this->speeds.at(start.worker);
      this->ends.emplace(start.acceptedAt + Milliseconds(static_cast<std::int64_t>(runMs)), start);
    }
  }

  void EndDueRuns(std::map<std::string, Outcome>& aOutcomes)
  {
    while (!this->ends.empty() && this->ends.begin()->first <= this->clock.Now()) {
      const auto [at, start] = *this->ends.begin();
      this->ends.erase(this->ends.begin());
      this->workers.End(start.worker.value, start.task, RunOutcome::Succeeded);
      auto& job = this->openJobs.at(start.task.job);
      if (--job.tasksLeft == 0) {
        auto& outcome = aOutcomes[job.queue];
        ++outcome.ended;
        outcome.late += at > job.objective ? 1 : 0;
      }
    }
  }

  std::map<WorkerId, double> speeds;
  std::mt19937 random{ 4 };
  std::map<JobId, OpenJob> openJobs;
  std::map<std::string, double> dueJobs;
  std::multimap<TimePoint, ObservedStart> ends;
  std::size_t startsSeen = 0;
  std::size_t jobsSubmitted = 0;
};

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
