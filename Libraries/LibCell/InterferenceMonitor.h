#pragma once

/// @file
/// Observes the runs of a leader's workers for @ref InterferenceModel, and reports the pairs of
/// images that it finds.

#include <LibCell/InterferenceModel.h>
#include <LibCell/InterferenceRanking.h>
#include <LibCell/Specification.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace zinc::cell {

/// Turns allocations and reports into samples, ranks workers by the result, and writes log lines
/// and gauges. Knows only what this term's runs have shown. Does nothing if it is off.
class InterferenceMonitor
{
public:
  /// @param aMetrics holds the gauges, which the monitor removes; no other monitor may have gauges
  /// in it meanwhile
  /// @param aIsOn false if interfering tasks are not kept apart
  InterferenceMonitor(const Logger& aLog,
                      MetricRegistry& aMetrics,
                      bool aIsOn,
                      InterferenceOptions aOptions = {});
  ~InterferenceMonitor();
  InterferenceMonitor(const InterferenceMonitor&) = delete;
  InterferenceMonitor& operator=(const InterferenceMonitor&) = delete;

  /// Begins to observe a run that this leader starts.
  void OnRunStarted(Allocation& aAllocation, const StepSpecification& aStep, TimePoint aNow);
  /// Begins to observe a run that a predecessor started, whose duration is unknown.
  void OnRunAdopted(Allocation& aAllocation, const StepSpecification& aStep, TimePoint aNow);
  /// Learns from a run that has succeeded and is still among the worker's allocations.
  /// @param aRatio its run time over its estimate
  void OnRunSucceeded(const Worker& aWorker,
                      const Allocation& aAllocation,
                      double aRatio,
                      TimePoint aNow);
  /// Records for the worker's other runs how long the run was next to them. Called before the
  /// allocation is removed.
  void OnRunReleased(Worker& aWorker, const Allocation& aAllocation, TimePoint aNow) const;
  /// Learns from the tail latencies of the worker's service tasks.
  void OnReport(Worker& aWorker, TimePoint aNow);
  /// Forgets, writes log lines and updates gauges once a second.
  void Tick(TimePoint aNow);

  /// @param aBase ranking to decorate; valid as long as the result is used
  /// @return a ranking that also counts the expected interference of the step's tasks, or @p aBase
  /// if no pair concerns them. Valid until the next call.
  [[nodiscard]] const WorkerRanking& RankingFor(const WorkerRanking& aBase,
                                                const StepSpecification& aStep);
  [[nodiscard]] const InterferenceModel& Model() const { return this->model; }

private:
  /// Logs the oldest change of a kind whose pair has no earlier pending change.
  void LogNextChange(bool aIsInEffect);
  void UpdateGauges();

  const Logger& log;
  MetricRegistry& metrics;
  bool isOn = true;
  InterferenceModel model;
  InterferenceRanking ranking{ this->model };
  /// Changes that were not logged yet.
  std::deque<PairChange> changes;
  TimePoint nextUpdate{};
  /// Gauge of each reported pair by victim and neighbour.
  std::map<std::pair<std::string, std::string>, Gauge*> gauges;
};

}
