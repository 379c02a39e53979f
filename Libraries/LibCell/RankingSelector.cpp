#include <LibCell/RankingSelector.h>

#include <algorithm>
#include <array>

namespace zinc::cell {

namespace {

/// Weight of the latest run in the smoothed ratio of a worker.
constexpr double kRatioWeight = 0.15;
/// Estimates are rough, so that the ratio of a single run is clamped to these limits.
constexpr double kMinRatio = 0.4;
constexpr double kMaxRatio = 4.0;
constexpr std::array kRatioBounds{ 0.25, 0.5, 0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 4.0, 8.0 };

}

RankingSelector::RankingSelector(const Logger& aLog,
                                 MetricRegistry& aMetrics,
                                 UnevenPoolOptions aOptions)
  : log(aLog)
  , metrics(aMetrics)
  , options(aOptions)
{
}

StepTiming&
RankingSelector::TimingOf(const Candidate& aCandidate)
{
  auto& timing = aCandidate.run->timing;
  if (timing == nullptr) {
    const auto& queue = aCandidate.queue->name.value;
    timing = this->speeds.MakeTiming({ .image = aCandidate.specification->image,
                                       .queue = queue,
                                       .workspace = aCandidate.job->spec.workspace.value,
                                       .tasks = aCandidate.specification->count });
    auto& histogram = this->ratios[queue];
    if (histogram == nullptr) {
      histogram = &this->metrics.FindHistogram(
        { .name = "zinc_cell_run_time_ratio", .help = "Actual over expected run time of tasks." },
        { { "queue", queue } },
        kRatioBounds);
    }
    timing->ratios = histogram;
  }
  return *timing;
}

std::shared_ptr<StepTiming>
RankingSelector::TimingForRun(const Candidate& aCandidate, std::string_view aCheckpoint)
{
  const auto& step = *aCandidate.specification;
  if (step.isGang || step.isService || step.isBestEffort || !aCheckpoint.empty()) {
    return {};
  }
  static_cast<void>(this->TimingOf(aCandidate));
  return aCandidate.run->timing;
}

void
RankingSelector::OnRunSucceeded(Worker& aWorker, const Allocation& aAllocation, TimePoint aNow)
{
  const auto runTime = aNow - aAllocation.startedAt;
  if (const auto measured = aAllocation.MeasureRunTimeRatio(aNow)) {
    auto& smoothed = aWorker.speed.smoothedRatio;
    smoothed += (std::clamp(*measured, kMinRatio, kMaxRatio) - smoothed) * kRatioWeight;
  }
  if (aAllocation.timing == nullptr) {
    return;
  }
  auto& timing = *aAllocation.timing;
  const auto ratio =
    this->speeds.OnRunSucceeded(aWorker, timing, aAllocation.estimate, runTime, aNow);
  if (ratio && timing.ratios != nullptr) {
    timing.ratios->Record(*ratio);
  }
}

void
RankingSelector::OnPoolBuilt(std::string_view aPool,
                             std::span<Worker* const> aWorkers,
                             TimePoint aNow)
{
  this->rankedRun = nullptr;
  auto found = this->pools.find(aPool);
  if (found == this->pools.end()) {
    found = this->pools.emplace(std::string(aPool), PoolState{}).first;
  }
  auto& state = found->second;
  state.byBand.clear();
  if (aNow < state.nextSpread) {
    return;
  }
  state.nextSpread = aNow + this->options.spreadInterval;
  const auto spread = WorkerSpeeds::SpreadOf(aWorkers);
  if (!spread) {
    return;
  }
  if (state.spread == nullptr) {
    state.spread = &this->metrics.FindGauge(
      { .name = "zinc_cell_speed_spread",
        .help = "Speed of workers at the ninetieth percentile over that at the tenth." },
      { { "pool", std::string(aPool) } });
  }
  state.spread->Set(spread->ratio);
  state.fastRating = spread->fastRating;
  const double threshold =
    this->options.spreadThreshold - (state.isUneven ? this->options.hysteresis : 0.0);
  const bool isUneven = spread->ratio >= threshold;
  // While few tasks run, the slow workers are idle and unknown.
  const bool isCertain =
    isUneven || static_cast<double>(spread->confidentWorkers) >=
                  this->options.minMeasuredShare * static_cast<double>(aWorkers.size());
  if (isUneven == state.isUneven || !isCertain) {
    return;
  }
  state.isUneven = isUneven;
  this->log.Log(LogLevel::Info,
                isUneven ? "pool_uneven" : "pool_even",
                { { "pool", aPool },
                  { "spread", spread->ratio },
                  { "workers", aWorkers.size() },
                  { "measured", spread->confidentWorkers } });
}

const WorkerRanking&
RankingSelector::Select(const Candidate& aCandidate, TimePoint aNow)
{
  const auto& step = *aCandidate.specification;
  const auto pool = this->pools.find(aCandidate.queue->pool);
  if (pool == this->pools.end() || !pool->second.isUneven || step.isService) {
    return this->slownessRanking;
  }
  const auto waitingTasks = aCandidate.run->waitingTasks;
  if (this->rankedRun == aCandidate.run && this->rankedAt == aNow &&
      this->rankedWaitingTasks == waitingTasks) {
    return this->completionRanking;
  }
  this->rankedRun = aCandidate.run;
  this->rankedAt = aNow;
  this->rankedWaitingTasks = waitingTasks;
  const auto& occurrence = aCandidate.job->occurrences.at(aCandidate.occurrence);
  const double maxRating =
    ComputeMaxRating({ .now = aNow,
                       .isUrgent = aCandidate.queue->priority == 0,
                       .isGang = step.isGang,
                       .tasks = step.count,
                       .waitingTasks = waitingTasks,
                       .estimate = step.estimate,
                       .criticalPath = aCandidate.job->criticalPaths[aCandidate.step],
                       .objective = occurrence.objective,
                       .deadline = occurrence.deadline,
                       .factor = this->speeds.FactorOf(this->TimingOf(aCandidate)),
                       .fastRating = pool->second.fastRating });
  this->completionRanking.SetTarget(maxRating, step.isGang);
  return this->completionRanking;
}

void
RankingSelector::SortForAdvice(const Candidate& aCandidate,
                               TimePoint aNow,
                               std::vector<Worker*>& aWorkers)
{
  const auto& ranking = this->Select(aCandidate, aNow);
  if (&ranking != &this->slownessRanking) {
    std::ranges::stable_sort(
      aWorkers, {}, [&ranking](const Worker* aWorker) { return ranking.RankOf(*aWorker); });
  }
}

std::span<Worker* const>
RankingSelector::OrderPool(const Candidate& aCandidate,
                           TimePoint aNow,
                           std::span<Worker* const> aWorkers)
{
  if (&this->Select(aCandidate, aNow) == &this->slownessRanking) {
    return aWorkers;
  }
  auto& byBand = this->pools.find(aCandidate.queue->pool)->second.byBand;
  if (byBand.empty()) {
    for (auto* worker : aWorkers) {
      byBand[worker->speed.band].push_back(worker);
    }
  }
  this->ordered.clear();
  const auto firstLate = byBand.upper_bound(this->completionRanking.MaxBand());
  const auto append = [this](const std::vector<Worker*>& aBand) {
    this->ordered.insert(this->ordered.end(), aBand.begin(), aBand.end());
  };
  for (auto band = firstLate; band != byBand.begin();) {
    append((--band)->second);
  }
  for (auto band = firstLate; band != byBand.end(); ++band) {
    append(band->second);
  }
  return this->ordered;
}

}
