#include <LibCell/InterferenceMonitor.h>

#include <algorithm>
#include <cmath>

namespace zinc::cell {

namespace {

constexpr Milliseconds kUpdateInterval{ 1000 };
/// A worker measures tail latencies every half second; a sample counts as a part of a run, since
/// those of one run resemble each other.
constexpr Milliseconds kLatencySampleInterval{ 500 };
constexpr double kLatencySampleWeight = 0.25;
/// A neighbour affects the reported tail latency only after it has run for this long.
constexpr Milliseconds kLatencyWindow{ 1000 };
constexpr double kMaxDutyCyclePercent = 100.0;
/// Past neighbours that a run keeps; the model observes at most as many images.
constexpr std::size_t kMaxPastNeighbours = 64;
constexpr std::size_t kMaxGauges = 16;
/// Factors are logged with two decimals.
constexpr double kFactorDigits = 100.0;
constexpr std::size_t kMaxPendingChanges = 64;

constexpr MetricFamily kPairFamily{
  .name = "zinc_cell_interference_factor",
  .help = "Slowdown of tasks of an image next to tasks of another, by pairs that are kept apart."
};

MetricLabels
LabelsOf(const std::pair<std::string, std::string>& aPair)
{
  return { { "victim", aPair.first }, { "neighbour", aPair.second } };
}

double
DutyCycleOf(const Allocation& aAllocation)
{
  return aAllocation.isBestEffort ? aAllocation.dutyCyclePercent / kMaxDutyCyclePercent : 1.0;
}

/// Adds to the share of an image; shares of one image add up to at most 1.
void
AddShare(std::vector<NeighbourShare>& aShares, ImageNumber aImage, double aShare)
{
  if (aImage == kNoImage || aShare <= 0.0) {
    return;
  }
  auto found = std::ranges::find(aShares, aImage, &NeighbourShare::image);
  if (found == aShares.end()) {
    found = aShares.insert(found, { .image = aImage });
  }
  found->share = std::min(1.0, found->share + aShare);
}

/// @return the shares of the images next to a run that began at @p aBegin
std::vector<NeighbourShare>
SharesOf(const Worker& aWorker, const Allocation& aAllocation, TimePoint aBegin, TimePoint aNow)
{
  const auto duration = std::max<double>(1.0, static_cast<double>((aNow - aBegin).count()));
  std::vector<NeighbourShare> shares;
  for (const auto& past : aAllocation.neighbours.past) {
    AddShare(shares, past.image, past.milliseconds / duration);
  }
  for (const auto& other : aWorker.allocations) {
    if (&other == &aAllocation) {
      continue;
    }
    const auto overlap = aNow - std::max(aBegin, other.startedAt);
    AddShare(shares,
             other.neighbours.image,
             static_cast<double>(overlap.count()) / duration * DutyCycleOf(other));
  }
  return shares;
}

/// @return the processors in use over the capacity. Best-effort tasks allocate none, but report
/// what they use.
double
ProcessorUseOf(const Worker& aWorker)
{
  auto used = aWorker.used.milliCores;
  for (const auto& allocation : aWorker.allocations) {
    used += allocation.isBestEffort && !allocation.isService ? allocation.load : 0;
  }
  return static_cast<double>(used) /
         std::max<double>(1.0, static_cast<double>(aWorker.entry.capacity.milliCores));
}

}

InterferenceMonitor::InterferenceMonitor(const Logger& aLog,
                                         MetricRegistry& aMetrics,
                                         bool aIsOn,
                                         InterferenceOptions aOptions)
  : log(aLog)
  , metrics(aMetrics)
  , isOn(aIsOn)
  , model(aOptions)
{
}

InterferenceMonitor::~InterferenceMonitor()
{
  for (const auto& [pair, gauge] : this->gauges) {
    this->metrics.RemoveGauge(kPairFamily.name, LabelsOf(pair));
  }
}

void
InterferenceMonitor::OnRunStarted(Allocation& aAllocation,
                                  const StepSpecification& aStep,
                                  TimePoint aNow)
{
  if (!this->isOn || aStep.image.empty()) {
    return;
  }
  auto& run = aAllocation.neighbours;
  run.image = this->model.RecordImage(aStep.image, aNow);
  // All members of a gang end with the slowest one, and a paced run is slow by itself.
  run.hasLatency = aStep.isService && !aStep.isBestEffort;
  run.isMeasurable =
    !aStep.isService && !aStep.isGang && !aStep.isBestEffort && aAllocation.checkpoint.empty();
}

void
InterferenceMonitor::OnRunAdopted(Allocation& aAllocation,
                                  const StepSpecification& aStep,
                                  TimePoint aNow)
{
  this->OnRunStarted(aAllocation, aStep, aNow);
  aAllocation.neighbours.isMeasurable = false;
}

void
InterferenceMonitor::OnRunSucceeded(const Worker& aWorker,
                                    const Allocation& aAllocation,
                                    double aRatio,
                                    TimePoint aNow)
{
  if (!aAllocation.neighbours.isMeasurable) {
    return;
  }
  const auto shares = SharesOf(aWorker, aAllocation, aAllocation.startedAt, aNow);
  this->model.AddSample({ .victim = aAllocation.neighbours.image,
                          .measure = InterferenceMeasure::RunTime,
                          .value = aRatio,
                          .expectedSlowness = aWorker.speed.smoothedRatio,
                          .processorUse = ProcessorUseOf(aWorker),
                          .worker = aWorker.number,
                          .neighbours = shares },
                        aNow);
}

void
InterferenceMonitor::OnRunReleased(Worker& aWorker,
                                   const Allocation& aAllocation,
                                   TimePoint aNow) const
{
  const auto image = aAllocation.neighbours.image;
  if (image == kNoImage) {
    return;
  }
  for (auto& other : aWorker.allocations) {
    // The latency of a service task shows its present neighbours only.
    if (&other == &aAllocation || !other.neighbours.isMeasurable) {
      continue;
    }
    const auto overlap = aNow - std::max(aAllocation.startedAt, other.startedAt);
    auto& past = other.neighbours.past;
    auto found = std::ranges::find(past, image, &RunNeighbours::PastNeighbour::image);
    if (found == past.end()) {
      // The number of images that a long run meets is unbounded, since evicted images return under
      // new numbers.
      if (past.size() >= kMaxPastNeighbours) {
        past.erase(std::ranges::min_element(past, {}, &RunNeighbours::PastNeighbour::milliseconds));
      }
      found = past.insert(past.end(), { .image = image });
    }
    found->milliseconds += static_cast<double>(overlap.count()) * DutyCycleOf(aAllocation);
  }
}

void
InterferenceMonitor::OnReport(Worker& aWorker, TimePoint aNow)
{
  if (this->model.IsEmpty()) {
    return;
  }
  for (auto& allocation : aWorker.allocations) {
    auto& run = allocation.neighbours;
    const bool isDue = run.hasLatency && allocation.phase == RunPhase::Running &&
                       allocation.load > 0 && run.nextSample <= aNow;
    if (!isDue) {
      continue;
    }
    run.nextSample = aNow + kLatencySampleInterval;
    const auto shares = SharesOf(aWorker, allocation, aNow - kLatencyWindow, aNow);
    this->model.AddSample({ .victim = run.image,
                            .measure = InterferenceMeasure::TailLatency,
                            .value = static_cast<double>(allocation.load),
                            .expectedSlowness = aWorker.speed.smoothedRatio,
                            .processorUse = ProcessorUseOf(aWorker),
                            .worker = aWorker.number,
                            .neighbours = shares,
                            .weight = kLatencySampleWeight },
                          aNow);
  }
}

void
InterferenceMonitor::Tick(TimePoint aNow)
{
  if (aNow < this->nextUpdate || this->model.IsEmpty()) {
    return;
  }
  this->nextUpdate = aNow + kUpdateInterval;
  this->model.Forget(aNow);
  for (auto& change : this->model.TakeChanges()) {
    if (this->changes.size() < kMaxPendingChanges) {
      this->changes.push_back(std::move(change));
    }
  }
  this->LogNextChange(true);
  this->LogNextChange(false);
  this->UpdateGauges();
}

void
InterferenceMonitor::LogNextChange(bool aIsInEffect)
{
  // A pair's changes are logged in their order, also while those of other pairs are pending.
  const auto isNext = [this, aIsInEffect](const PairChange& aChange) {
    const auto first = std::ranges::find_if(this->changes, [&aChange](const PairChange& aOther) {
      return aOther.pair.victim == aChange.pair.victim &&
             aOther.pair.neighbour == aChange.pair.neighbour;
    });
    return aChange.isInEffect == aIsInEffect && &*first == &aChange;
  };
  const auto next = std::ranges::find_if(this->changes, isNext);
  if (next == this->changes.end()) {
    return;
  }
  this->log.Log(LogLevel::Info,
                aIsInEffect ? "interference_found" : "interference_dropped",
                { { "victim", next->pair.victim },
                  { "neighbour", next->pair.neighbour },
                  { "factor", std::round(next->pair.factor * kFactorDigits) / kFactorDigits },
                  { "runs", std::llround(next->pair.runs) } });
  this->changes.erase(next);
}

void
InterferenceMonitor::UpdateGauges()
{
  auto pairs = this->model.PairsInEffect();
  std::ranges::stable_sort(pairs, std::greater{}, &PairEstimate::factor);
  const auto isInEffect = [&pairs](const auto& aEntry) {
    return std::ranges::any_of(pairs, [&aEntry](const PairEstimate& aPair) {
      return aPair.victim == aEntry.first.first && aPair.neighbour == aEntry.first.second;
    });
  };
  std::erase_if(this->gauges, [this, &isInEffect](const auto& aEntry) {
    if (isInEffect(aEntry)) {
      return false;
    }
    this->metrics.RemoveGauge(kPairFamily.name, LabelsOf(aEntry.first));
    return true;
  });
  for (const auto& pair : pairs) {
    const std::pair key(pair.victim, pair.neighbour);
    auto found = this->gauges.find(key);
    if (found == this->gauges.end()) {
      if (this->gauges.size() >= kMaxGauges) {
        continue;
      }
      found = this->gauges.emplace(key, &this->metrics.FindGauge(kPairFamily, LabelsOf(key))).first;
    }
    found->second->Set(pair.factor);
  }
}

const WorkerRanking&
InterferenceMonitor::RankingFor(const WorkerRanking& aBase, const StepSpecification& aStep)
{
  if (!this->model.HasPairsInEffect() || aStep.image.empty()) {
    return aBase;
  }
  const auto image = this->model.FindImage(aStep.image);
  if (!this->model.IsInPair(image)) {
    return aBase;
  }
  this->ranking.Select(aBase, image);
  return this->ranking;
}

}
