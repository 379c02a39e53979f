#pragma once

/// @file
/// Chooses the preference among workers for each step by the spread of speeds in its pool. Load:
/// pools with workers of several speeds next to pools of equal ones.

#include <LibCell/Candidate.h>
#include <LibCell/CompletionRanking.h>
#include <LibCell/WorkerRanking.h>
#include <LibCell/WorkerSpeeds.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinc::cell {

/// Thresholds at which a pool counts as uneven.
struct UnevenPoolOptions
{
  /// A pool is uneven once the speed at its ninetieth percentile is this many times that at the
  /// tenth.
  double spreadThreshold = 2.0;
  /// An uneven pool stays so until the ratio is this much lower.
  double hysteresis = 0.25;
  /// An uneven pool becomes even only if the speeds of this share of its workers are known.
  double minMeasuredShare = 0.8;
  /// Time between two computations of the spread of a pool.
  Milliseconds spreadInterval{ 1000 };
};

/// Learns the speeds of workers and ranks them: by expected completion in uneven pools, otherwise
/// by @ref SlownessRanking.
class RankingSelector
{
public:
  RankingSelector(const Logger& aLog, MetricRegistry& aMetrics, UnevenPoolOptions aOptions = {});

  /// @return the timing that a run of the step updates when it ends, or null if it does not tell
  /// the speed of its worker: the members of a gang end together, and a run that resumes from a
  /// checkpoint is shorter than its estimate
  [[nodiscard]] std::shared_ptr<StepTiming> TimingForRun(const Candidate& aCandidate,
                                                         std::string_view aCheckpoint);
  /// Learns from the end of a run that succeeded.
  void OnRunSucceeded(Worker& aWorker, const Allocation& aAllocation, TimePoint aNow);
  /// Updates the rating of a worker that has reported.
  void OnReport(Worker& aWorker, TimePoint aNow) { this->speeds.Refresh(aWorker, aNow); }
  /// Updates whether a pool is uneven.
  void OnPoolBuilt(std::string_view aPool, std::span<Worker* const> aWorkers, TimePoint aNow);
  /// @return the preference among workers for the tasks of a step; valid until the next call
  [[nodiscard]] const WorkerRanking& Select(const Candidate& aCandidate, TimePoint aNow);
  /// Sorts eligible workers by the preference of the step if the pool is uneven.
  void SortForAdvice(const Candidate& aCandidate, TimePoint aNow, std::vector<Worker*>& aWorkers);
  /// Orders a whole pool for a request for advice. In an uneven pool the workers are grouped by
  /// speed once per round, since a request names few of thousands.
  /// @param aWorkers the workers of the pool, the same throughout a round
  /// @return the workers in the order of the step's preference if the pool is uneven, otherwise in
  /// the given order, which also applies to workers of similar speed; valid until the next call
  [[nodiscard]] std::span<Worker* const> OrderPool(const Candidate& aCandidate,
                                                   TimePoint aNow,
                                                   std::span<Worker* const> aWorkers);

private:
  struct PoolState
  {
    bool isUneven = false;
    double fastRating = 0.0;
    TimePoint nextSpread{};
    Gauge* spread = nullptr;
    /// The workers by @ref WorkerSpeed::band; empty until the round needs them.
    std::map<int, std::vector<Worker*>> byBand;
  };

  [[nodiscard]] StepTiming& TimingOf(const Candidate& aCandidate);

  const Logger& log;
  MetricRegistry& metrics;
  UnevenPoolOptions options;
  WorkerSpeeds speeds;
  SlownessRanking slownessRanking;
  CompletionRanking completionRanking;
  /// What @ref completionRanking was computed for; it is the same for all tasks of an attempt.
  const StepRun* rankedRun = nullptr;
  TimePoint rankedAt{};
  std::uint32_t rankedWaitingTasks = 0;
  /// The last result of @ref OrderPool.
  std::vector<Worker*> ordered;
  std::map<std::string, PoolState, std::less<>> pools;
  /// Actual over expected run times by queue.
  std::map<std::string, Histogram*, std::less<>> ratios;
};

}
