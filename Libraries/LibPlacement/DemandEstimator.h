#pragma once

/// @file
/// Estimates of resource usage and run time from earlier tasks.

#include <LibPlacement/TaskTable.h>
#include <unordered_map>

namespace zinc {

/// Corrects requested resources and expected run times by the ratio of measured to declared values
/// of earlier tasks of the same team and queue.
class DemandEstimator
{
public:
  /// Updates the usage ratios from the peak usage of an ended task.
  void ObserveUsage(const TaskRecord& aRecord);

  /// Updates the run time estimate from a succeeded task. @param aRunTime its measured run time.
  void ObserveRunTime(const TaskRecord& aRecord, Milliseconds aRunTime);

  /// @return the resources that the task is expected to use: at least its request and its own peak
  /// usage.
  [[nodiscard]] Resources EstimateUsage(const TaskRecord& aRecord) const;

  /// @return the expected total run time of the task; the declared one if no task has been
  /// observed.
  [[nodiscard]] Milliseconds EstimateRunTime(const TaskRecord& aRecord) const;

private:
  struct Estimate
  {
    /// Measured over declared values.
    double milliCoresRatio = 1.0;
    double memoryRatio = 1.0;
    double runTimeRatio = 1.0;
    double meanRunTimeMs = 0;
    /// Number of observed run times.
    std::uint32_t runCount = 0;
  };

  /// By the key of the task's team and queue.
  std::unordered_map<std::uint64_t, Estimate> estimates;
};

}
