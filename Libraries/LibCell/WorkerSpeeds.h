#pragma once

/// @file
/// Estimates the speed of each worker from the run times of tasks. Load: workers of several speeds,
/// of which some are replaced, become slow or recover, and estimates that are off by two.

#include <LibBase/Time.h>
#include <LibCell/Worker.h>
#include <LibCell/WorkerSpeed.h>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinc::cell {

/// The fields of a step that its expected run time depends on.
struct StepTimingKey
{
  std::string_view image;
  std::string_view queue;
  std::string_view workspace;
  std::uint32_t tasks = 1;
};

/// Mean and variance of a log factor.
struct LogFactor
{
  double mean = 0.0;
  double variance = 0.0;
};

/// Spread of the speeds within a pool.
struct SpeedSpread
{
  /// Estimated speed at the ninetieth percentile over that at the tenth.
  double ratio = 1.0;
  /// Rating at the tenth percentile, i.e. of fast workers.
  double fastRating = 0.0;
  std::size_t confidentWorkers = 0;
};

/// Fits log(run time / estimate) = step term + worker term, one run at a time: each end updates
/// both terms in proportion to their variances (a scalar Kalman filter without covariances between
/// the terms). A worker's term reverts to the mean of its kind while no run ends, so that a worker
/// that is avoided because it was slow is tried again. A kind is the first label of a worker. The
/// prior of a step is the mean of the steps with the same image, or queue, and workspace.
class WorkerSpeeds
{
public:
  WorkerSpeeds();

  /// @return the timing of a new step
  [[nodiscard]] std::shared_ptr<StepTiming> MakeTiming(const StepTimingKey& aKey);
  /// @return the log factor by which the estimate of the step is off
  [[nodiscard]] LogFactor FactorOf(const StepTiming& aTiming) const;
  /// Learns from a run that succeeded from its beginning to its end.
  /// @return the run time over its expected value, or nothing if the run was too short to measure
  std::optional<double> OnRunSucceeded(Worker& aWorker,
                                       StepTiming& aTiming,
                                       Milliseconds aEstimate,
                                       Milliseconds aRunTime,
                                       TimePoint aNow);
  /// Updates the rating of a worker from the age of its running tasks.
  void Refresh(Worker& aWorker, TimePoint aNow);
  /// @return the spread of the workers' speeds, or nothing if too few of them are known well enough
  [[nodiscard]] static std::optional<SpeedSpread> SpreadOf(std::span<Worker* const> aWorkers);
  /// @return the variance of log(run time) among equal tasks at one worker
  [[nodiscard]] static double NoiseOf(Milliseconds aRunTime);

private:
  /// A running mean and variance.
  struct Term
  {
    double mean = 0.0;
    double variance = 0.0;
    double weight = 0.0;
  };

  /// Brings a worker's values to the present; starts from its kind if its incarnation is new.
  void Advance(Worker& aWorker, TimePoint aNow);
  [[nodiscard]] TermNumber FindKind(const Worker& aWorker);
  /// @return what is known of a worker of the kind that has not been measured
  [[nodiscard]] LogFactor PriorOf(TermNumber aKind) const;

  /// Mean change of a worker's term by an end. It is subtracted, since the terms of all workers
  /// together are arbitrary: the tasks of a step that end first are shorter than their step term
  /// tells, so that all workers would appear ever slower and all steps ever shorter.
  double meanUpdate = 0.0;
  /// The first term covers all workers, and those of further kinds once there are too many.
  std::vector<Term> kinds;
  std::map<std::string, TermNumber, std::less<>> kindNumbers;
  /// The first term is shared by further groups once there are too many.
  std::vector<Term> groups;
  std::map<std::pair<std::string, std::string>, TermNumber> groupNumbers;
};

}
