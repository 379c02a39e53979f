#include <LibCell/InterferenceMonitor.h>
#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace zinc::cell {

namespace {

constexpr Milliseconds kStep{ 50 };

/// What a cell of simulated workers does.
struct CellOptions
{
  std::uint64_t seed = 1;
  std::size_t workers = 40;
  std::size_t images = 22;
  std::size_t runsPerWorker = 6;
  /// Slowdown of images 0 and 1 next to each other.
  double factor = 2.0;
  /// Slowdown of the first worker, of which its expected slowness says nothing.
  double firstWorkerFactor = 1.0;
  /// Slowdown of every second worker, all of whose processors are in use and which runs twice as
  /// many tasks as the others.
  double crowdedFactor = 1.0;
};

/// Workers that always run as many tasks as they have room for, of images drawn at random.
/// Estimates are off by up to 1.25 for a run and 1.6 for an image, and 3% of the runs take seven
/// times as long.
class InterferingCell
{
public:
  explicit InterferingCell(const CellOptions& aOptions)
    : options(aOptions)
    , random(aOptions.seed)
  {
    for (std::size_t index = 0; index < this->options.images; ++index) {
      this->bias.push_back(this->Within(1.6));
    }
    for (std::size_t index = 0; index < this->options.workers; ++index) {
      auto& worker = this->workers.emplace_back();
      worker.number = static_cast<WorkerNumber>(index);
      worker.entry.capacity.milliCores = 32'000;
      worker.speed.smoothedRatio = this->Within(1.6);
      this->work.emplace_back();
    }
    this->now += Milliseconds{ 1'000'000 };
  }

  void RunFor(Milliseconds aDuration)
  {
    for (const auto end = this->now + aDuration; this->now < end; this->now += kStep) {
      for (auto& worker : this->workers) {
        this->Advance(worker);
      }
      this->monitor.Tick(this->now);
      for (const auto& pair : this->monitor.Model().PairsInEffect()) {
        this->named.try_emplace({ pair.victim, pair.neighbour }, this->colocatedRuns);
      }
    }
  }

  static std::string NameOf(std::size_t aImage) { return fmt::format("image-{}", aImage); }

  CellOptions options;
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  InterferenceMonitor monitor{ this->log, this->metrics, true };
  TimePoint now{};
  /// Finished runs of images 0 and 1 that were next to the other for half of their time.
  std::map<std::size_t, int> colocatedRuns;
  /// Those runs at the time at which a pair was named first.
  std::map<std::pair<std::string, std::string>, std::map<std::size_t, int>> named;

private:
  struct Work
  {
    std::size_t image = 0;
    double left = 0.0;
    double nextToOther = 0.0;
    double total = 0.0;
  };

  double Uniform() { return std::uniform_real_distribution<double>()(this->random); }
  double Within(double aFactor) { return std::pow(aFactor, 2.0 * this->Uniform() - 1.0); }

  void Start(Worker& aWorker)
  {
    const auto image = static_cast<std::size_t>(this->Uniform() * this->options.images);
    const double estimate = 1000.0 + 4000.0 * this->Uniform();
    const double outlier = this->Uniform() < 0.03 ? 7.0 : 1.0;
    const StepSpecification step{ .estimate = Milliseconds(static_cast<std::int64_t>(estimate)),
                                  .image = NameOf(image) };
    aWorker.allocations.push_back({ .run = ++this->lastRun,
                                    .phase = RunPhase::Running,
                                    .startedAt = this->now,
                                    .estimate = step.estimate });
    this->monitor.OnRunStarted(aWorker.allocations.back(), step, this->now);
    this->work[aWorker.number].push_back(
      { .image = image, .left = estimate * this->bias[image] * this->Within(1.25) * outlier });
  }

  void Advance(Worker& aWorker)
  {
    auto& runs = this->work[aWorker.number];
    const bool isCrowded = this->options.crowdedFactor > 1.0 && aWorker.number % 2 == 1;
    aWorker.used.milliCores = aWorker.entry.capacity.milliCores / (isCrowded ? 1 : 2);
    const double own = aWorker.speed.smoothedRatio *
                       (aWorker.number == 0 ? this->options.firstWorkerFactor : 1.0) *
                       (isCrowded ? this->options.crowdedFactor : 1.0);
    for (auto& run : runs) {
      const bool isNextToOther =
        run.image < 2 && std::ranges::any_of(runs, [&run](const Work& aOther) {
          return aOther.image == 1 - run.image;
        });
      run.total += 1.0;
      run.nextToOther += isNextToOther ? 1.0 : 0.0;
      run.left -=
        static_cast<double>(kStep.count()) / (own * (isNextToOther ? this->options.factor : 1.0));
    }
    for (std::size_t index = runs.size(); index-- > 0;) {
      if (runs[index].left > 0.0) {
        continue;
      }
      const auto& allocation = aWorker.allocations[index];
      const double ratio = static_cast<double>((this->now - allocation.startedAt).count()) /
                           static_cast<double>(allocation.estimate.count());
      this->monitor.OnRunSucceeded(aWorker, allocation, ratio, this->now);
      this->monitor.OnRunReleased(aWorker, allocation, this->now);
      this->colocatedRuns[runs[index].image] +=
        runs[index].nextToOther * 2.0 >= runs[index].total ? 1 : 0;
      aWorker.allocations.erase(aWorker.allocations.begin() + static_cast<std::ptrdiff_t>(index));
      runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(index));
    }
    while (runs.size() < this->options.runsPerWorker * (isCrowded ? 2 : 1)) {
      this->Start(aWorker);
    }
  }

  std::mt19937_64 random;
  std::vector<double> bias;
  std::vector<Worker> workers;
  std::vector<std::vector<Work>> work;
  std::uint64_t lastRun = 0;
};

}

// Guards against pairs that are missed, named late, or named by chance: 484 ordered pairs of 22
// images in each cell, of which two have an effect.
TEST(InterferenceModel, NamesTheImagesThatDoubleEachOthersTimeAndNoOthers)
{
  constexpr std::uint64_t kCells = 100;
  constexpr int kMaxColocatedRuns = 80;
  for (std::uint64_t seed = 1; seed <= kCells; ++seed) {
    InterferingCell cell({ .seed = seed });
    cell.RunFor(Milliseconds{ 180'000 });
    for (std::size_t victim = 0; victim < 2; ++victim) {
      const std::pair pair(InterferingCell::NameOf(victim), InterferingCell::NameOf(1 - victim));
      const auto found = cell.named.find(pair);
      ASSERT_NE(found, cell.named.end()) << "seed " << seed << ": " << pair.first << " not named";
      EXPECT_LE(found->second[victim], kMaxColocatedRuns) << "seed " << seed;
      cell.named.erase(found);
    }
    for (const auto& [pair, runs] : cell.named) {
      ADD_FAILURE() << "seed " << seed << ": " << pair.first << " next to " << pair.second;
    }
  }
}

// Guards against a worker that became slow, which its expected slowness does not show yet, being
// taken for images that slow each other down.
TEST(InterferenceModel, DoesNotTakeASlowWorkerForAPair)
{
  constexpr std::uint64_t kCells = 20;
  for (std::uint64_t seed = 1; seed <= kCells; ++seed) {
    InterferingCell cell({ .seed = seed, .workers = 8, .factor = 1.0, .firstWorkerFactor = 4.0 });
    cell.RunFor(Milliseconds{ 60'000 });
    EXPECT_TRUE(cell.named.empty()) << "seed " << seed << ": " << cell.named.begin()->first.first;
  }
}

// Guards against a crowded worker, where every image meets more neighbours, being taken for pairs.
TEST(InterferenceModel, DoesNotTakeACrowdedWorkerForAPair)
{
  constexpr std::uint64_t kCells = 20;
  for (std::uint64_t seed = 1; seed <= kCells; ++seed) {
    InterferingCell cell(
      { .seed = seed, .workers = 16, .runsPerWorker = 3, .factor = 1.0, .crowdedFactor = 1.5 });
    cell.RunFor(Milliseconds{ 60'000 });
    EXPECT_TRUE(cell.named.empty()) << "seed " << seed << ": " << cell.named.begin()->first.first;
  }
}

/// Feeds a model with two images, of which one is next to the other at the first three workers
/// only, and a third one that is alone everywhere.
class Confounded : public testing::Test
{
protected:
  static constexpr int kRounds = 60;

  [[nodiscard]] static bool IsSpecial(int aWorker) { return aWorker < 3; }

  void Add(std::string_view aVictim,
           std::string_view aNeighbour,
           int aWorker,
           double aValue,
           double aProcessorUse = 0.5)
  {
    const NeighbourShare neighbour{ .image = this->model.RecordImage(aNeighbour, this->now),
                                    .share = 1.0 };
    const auto victim = this->model.RecordImage(aVictim, this->now);
    const double jitter = 1.0 + 0.02 * static_cast<double>(++this->samples % 5);
    this->model.AddSample({ .victim = victim,
                            .value = aValue * jitter,
                            .processorUse = aProcessorUse,
                            .worker = static_cast<WorkerNumber>(aWorker),
                            .neighbours = { &neighbour, 1 } },
                          this->now);
    this->wasNamed = this->wasNamed || this->model.HasPairsInEffect();
  }

  InterferenceModel model;
  TimePoint now{ Milliseconds{ 1000 } };
  int samples = 0;
  bool wasNamed = false;
};

// Guards against slow workers being attributed to images that are next to each other
// there, although a third image is slow there too.
TEST_F(Confounded, SlowWorkersAreNotAPair)
{
  for (int round = 0; round < kRounds; ++round) {
    for (int worker = 0; worker < 6; ++worker) {
      const double value = IsSpecial(worker) ? 1.5 : 1.0;
      for (int repetition = 0; repetition < 4; ++repetition) {
        this->Add("third", "", worker, value);
      }
      this->Add("one", IsSpecial(worker) ? "two" : "", worker, value);
    }
    this->now += Milliseconds{ 300 };
  }
  EXPECT_FALSE(this->wasNamed);
}

// Guards against times at which workers are crowded being attributed to a neighbour that is
// present mostly then.
TEST_F(Confounded, CrowdedWorkersAreNotAPair)
{
  for (int round = 0; round < kRounds; ++round) {
    const bool isCrowded = round % 2 == 1;
    const double value = isCrowded ? 1.5 : 1.0;
    const double use = isCrowded ? 1.0 : 0.5;
    for (int worker = 0; worker < 6; ++worker) {
      this->Add("one", "", worker, value, use);
      this->Add("one", isCrowded ? "two" : "", worker, value, use);
    }
    this->now += Milliseconds{ 300 };
  }
  EXPECT_FALSE(this->wasNamed);
}

// Guards against the two tests above passing because no pair is ever named.
TEST_F(Confounded, APairAtOrdinaryWorkersIsNamed)
{
  for (int round = 0; round < kRounds; ++round) {
    for (int worker = 0; worker < 6; ++worker) {
      this->Add("third", "", worker, 1.0);
      this->Add("one", IsSpecial(worker) ? "two" : "", worker, IsSpecial(worker) ? 1.5 : 1.0);
    }
    this->now += Milliseconds{ 300 };
  }
  EXPECT_TRUE(this->wasNamed);
}

// Guards against workers that stay avoided for an effect that has ended.
TEST(InterferenceModel, ForgetsAPairWhoseEffectEnds)
{
  InterferingCell cell({ .seed = 1 });
  cell.RunFor(Milliseconds{ 120'000 });
  ASSERT_EQ(cell.monitor.Model().PairsInEffect().size(), 2);
  EXPECT_NE(cell.metrics.Render().find("zinc_cell_interference_factor"), std::string::npos);
  cell.options.factor = 1.0;
  cell.RunFor(Milliseconds{ 60'000 });
  EXPECT_FALSE(cell.monitor.Model().HasPairsInEffect());
  EXPECT_EQ(cell.metrics.Render().find("zinc_cell_interference_factor"), std::string::npos);
}

// Guards against a pair that is kept apart permanently, since it is not seen again.
TEST(InterferenceModel, ForgetsAPairThatIsNotSeenAgain)
{
  InterferingCell cell({ .seed = 1 });
  cell.RunFor(Milliseconds{ 120'000 });
  ASSERT_TRUE(cell.monitor.Model().HasPairsInEffect());
  cell.monitor.Tick(cell.now + Milliseconds{ 90'000 });
  EXPECT_FALSE(cell.monitor.Model().HasPairsInEffect());
}

// Guards against memory that grows with the images of a day.
TEST(InterferenceModel, EvictsTheLeastRecentlySeenImage)
{
  InterferenceModel model({ .maxImages = 2 });
  const TimePoint begin{ Milliseconds{ 1000 } };
  const auto first = model.RecordImage("first", begin);
  const auto second = model.RecordImage("second", begin + Milliseconds{ 1 });
  EXPECT_EQ(model.RecordImage("first", begin + Milliseconds{ 2 }), first);
  const auto third = model.RecordImage("third", begin + Milliseconds{ 3 });
  EXPECT_EQ(model.FindImage("second"), kNoImage);
  EXPECT_EQ(model.FindImage("first"), first);
  EXPECT_NE(third, second);
  EXPECT_EQ(model.RecordImage("", begin), kNoImage);
  // A run of the evicted image is not counted as one of the image that took its place.
  const NeighbourShare neighbour{ .image = second, .share = 1.0 };
  model.AddSample({ .victim = first, .neighbours = { &neighbour, 1 } }, begin);
  EXPECT_EQ(model.EstimateOf("first", "third").runs, 0.0);
}

// Guards against long-running tasks whose image is evicted while they still give samples.
TEST(InterferenceModel, KeepsImagesThatGiveSamples)
{
  InterferenceModel model({ .maxImages = 3 });
  const TimePoint begin{ Milliseconds{ 1000 } };
  const auto service = model.RecordImage("service", begin);
  const auto batch = model.RecordImage("batch", begin);
  const NeighbourShare neighbour{ .image = batch, .share = 1.0 };
  for (int index = 1; index <= 10; ++index) {
    const auto now = begin + Milliseconds{ 10 * index };
    model.RecordImage(fmt::format("short-{}", index), now - Milliseconds{ 5 });
    model.AddSample({ .victim = service, .neighbours = { &neighbour, 1 } }, now);
  }
  EXPECT_EQ(model.FindImage("service"), service);
  EXPECT_EQ(model.FindImage("batch"), batch);
}

}
