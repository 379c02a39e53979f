#pragma once

/// @file
/// Submits jobs to the intake, except those that the admission gate refuses. Load: more work than
/// can be served in time.

#include <LibCell/AdmissionGate.h>
#include <LibCell/Intake.h>
#include <LibCell/StoredJob.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <functional>
#include <set>
#include <string_view>

namespace zinc::cell {

/// Refuses a job only after it has read that the store has no row for its id, since the response to
/// an earlier submission may have been lost. Runs on one thread; its ports call back on the same
/// thread.
class GatedIntake
{
public:
  struct Dependencies
  {
    MonitoredStore& store;
    Intake& intake;
    const Logger& log;
    MetricRegistry& metrics;
    /// Returns the forecasts that are known now.
    std::function<ForecastView()> findForecast;
  };

  explicit GatedIntake(Dependencies aDependencies)
    : dependencies(std::move(aDependencies))
  {
  }

  /// Accepts or refuses a job; see @ref Intake::Submit.
  /// @param aHandler gets @ref ErrorCode::Overloaded and the time of the next attempt for a job
  /// that is refused, which is then certain not to run
  void Submit(const JobSpecification& aSpec, Handler<Done> aHandler);

private:
  /// Submits a job without asking the gate.
  void Accept(const JobSpecification& aSpec, Handler<Done> aHandler);
  /// Decides on a job after its row was read.
  void OnStoredJob(const JobSpecification& aSpec,
                   const Refusal& aRefusal,
                   const Result<StoredJob>& aStored,
                   Handler<Done> aHandler);
  void LogRefusal(const JobSpecification& aSpec, const Refusal& aRefusal) const;
  /// Counts a refusal that did not take effect.
  void CountWithdrawal(const JobSpecification& aSpec, std::string_view aReason) const;

  Dependencies dependencies;
  /// Ids of submissions that have no response yet; the store may not have their rows.
  std::multiset<JobId> unanswered;
};

}
