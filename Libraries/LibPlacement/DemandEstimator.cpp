#include <LibPlacement/DemandEstimator.h>

#include <LibPlacement/ResourceMath.h>
#include <algorithm>
#include <cmath>

namespace zinc {

namespace {

/// Weights of a new measurement that is larger or smaller than the mean.
constexpr double kIncreaseWeight = 0.3;
constexpr double kDecreaseWeight = 0.05;
constexpr double kMinRunTimeWeight = 0.1;
constexpr double kMaxUsageRatio = 4.0;
constexpr double kMaxRunTimeRatio = 100.0;
/// Smaller ratios are measurement noise and are not applied.
constexpr double kMinCorrectedRatio = 1.05;

/// Updates an exponentially weighted mean that rises faster than it falls.
void
UpdateRatio(double& aRatio, std::int64_t aMeasured, std::int64_t aDeclared)
{
  if (aDeclared <= 0) {
    return;
  }
  const double observed = std::clamp(
    static_cast<double>(aMeasured) / static_cast<double>(aDeclared), 1.0, kMaxUsageRatio);
  aRatio += (observed > aRatio ? kIncreaseWeight : kDecreaseWeight) * (observed - aRatio);
}

std::int64_t
ScaleUp(std::int64_t aDeclared, double aRatio)
{
  return aRatio < kMinCorrectedRatio
           ? aDeclared
           : static_cast<std::int64_t>(std::ceil(static_cast<double>(aDeclared) * aRatio));
}

}

void
DemandEstimator::ObserveUsage(const TaskRecord& aRecord)
{
  if (aRecord.peakUsage == Resources{}) {
    return;
  }
  Estimate& estimate = this->estimates[MakeTeamQueueKey(aRecord)];
  const Resources& declared = aRecord.spec.request;
  UpdateRatio(estimate.milliCoresRatio, aRecord.peakUsage.milliCores, declared.milliCores);
  UpdateRatio(estimate.memoryRatio, aRecord.peakUsage.memoryMiB, declared.memoryMiB);
}

void
DemandEstimator::ObserveRunTime(const TaskRecord& aRecord, Milliseconds aRunTime)
{
  Estimate& estimate = this->estimates[MakeTeamQueueKey(aRecord)];
  const auto runTimeMs = static_cast<double>(aRunTime.count());
  const double weight = std::max(kMinRunTimeWeight, 1.0 / ++estimate.runCount);
  estimate.meanRunTimeMs += weight * (runTimeMs - estimate.meanRunTimeMs);
  const auto declared = static_cast<double>(aRecord.spec.expectedRun.count());
  if (declared > 0) {
    estimate.runTimeRatio +=
      weight * (std::min(runTimeMs / declared, kMaxRunTimeRatio) - estimate.runTimeRatio);
  }
}

Resources
DemandEstimator::EstimateUsage(const TaskRecord& aRecord) const
{
  Resources size = aRecord.spec.request;
  const auto found = this->estimates.find(MakeTeamQueueKey(aRecord));
  if (found != this->estimates.end()) {
    size.milliCores = ScaleUp(size.milliCores, found->second.milliCoresRatio);
    size.memoryMiB = ScaleUp(size.memoryMiB, found->second.memoryRatio);
  }
  return ElementwiseMax(size, aRecord.peakUsage);
}

Milliseconds
DemandEstimator::EstimateRunTime(const TaskRecord& aRecord) const
{
  const auto found = this->estimates.find(MakeTeamQueueKey(aRecord));
  if (found == this->estimates.end() || found->second.runCount == 0) {
    return aRecord.spec.expectedRun;
  }
  const auto declared = static_cast<double>(aRecord.spec.expectedRun.count());
  const double runTimeMs =
    declared > 0 ? declared * found->second.runTimeRatio : found->second.meanRunTimeMs;
  return Milliseconds(static_cast<std::int64_t>(runTimeMs));
}

}
