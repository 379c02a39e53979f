#pragma once

/// @file
/// Learns how far declared sizes and run times are off.

#include <LibPlacement/TaskTable.h>
#include <unordered_map>

namespace zinc {

/// Corrects declarations by what earlier tasks of the same team and queue turned out to be.
class DemandEstimator
{
public:
  /// Learns from the largest usage seen of an ended task.
  void ObserveUsage(const TaskRecord& aRecord);

  /// Learns from the time that a succeeded task ran.
  void ObserveRunTime(const TaskRecord& aRecord, Milliseconds aRun);

  /// @return what the task is expected to use: at least its request and what it has used before.
  [[nodiscard]] Resources EstimateUsage(const TaskRecord& aRecord) const;

  /// @return how long the task is expected to run from its start.
  [[nodiscard]] Milliseconds EstimateRunTime(const TaskRecord& aRecord) const;

private:
  struct Estimate
  {
    double milliCoresRatio = 1.0;
    double memoryRatio = 1.0;
    double runTimeRatio = 1.0;
    double meanRunTimeMs = 0;
    std::uint32_t runCount = 0;
  };

  std::unordered_map<std::uint64_t, Estimate> estimates;
};

}
