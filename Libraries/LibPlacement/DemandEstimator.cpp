#include <LibPlacement/DemandEstimator.h>

#include <LibPlacement/ResourceMath.h>
#include <algorithm>
#include <cmath>

namespace zinc {

namespace {

constexpr double kRise = 0.3;
constexpr double kFall = 0.05;
constexpr double kRunWeight = 0.1;
constexpr double kMaxRatio = 4.0;
constexpr double kMaxRunRatio = 100.0;
/// Ratios below this are noise of the measurement.
constexpr double kLeastCorrection = 1.05;

/// Moves faster towards larger values than towards smaller ones.
void
Learn(double& aRatio, std::int64_t aMeasured, std::int64_t aDeclared)
{
  if (aDeclared <= 0) {
    return;
  }
  const double observed =
    std::clamp(static_cast<double>(aMeasured) / static_cast<double>(aDeclared), 1.0, kMaxRatio);
  aRatio += (observed > aRatio ? kRise : kFall) * (observed - aRatio);
}

std::int64_t
Scaled(std::int64_t aDeclared, double aRatio)
{
  return aRatio < kLeastCorrection
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
  Learn(estimate.milliCoresRatio, aRecord.peakUsage.milliCores, declared.milliCores);
  Learn(estimate.memoryRatio, aRecord.peakUsage.memoryMiB, declared.memoryMiB);
}

void
DemandEstimator::ObserveRunTime(const TaskRecord& aRecord, Milliseconds aRun)
{
  Estimate& estimate = this->estimates[MakeTeamQueueKey(aRecord)];
  const auto run = static_cast<double>(aRun.count());
  const double weight = std::max(kRunWeight, 1.0 / ++estimate.runCount);
  estimate.meanRunTimeMs += weight * (run - estimate.meanRunTimeMs);
  const auto declared = static_cast<double>(aRecord.spec.expectedRun.count());
  if (declared > 0) {
    estimate.runTimeRatio +=
      weight * (std::min(run / declared, kMaxRunRatio) - estimate.runTimeRatio);
  }
}

Resources
DemandEstimator::EstimateUsage(const TaskRecord& aRecord) const
{
  Resources size = aRecord.spec.request;
  const auto found = this->estimates.find(MakeTeamQueueKey(aRecord));
  if (found != this->estimates.end()) {
    size.milliCores = Scaled(size.milliCores, found->second.milliCoresRatio);
    size.memoryMiB = Scaled(size.memoryMiB, found->second.memoryRatio);
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
  const double run =
    declared > 0 ? declared * found->second.runTimeRatio : found->second.meanRunTimeMs;
  return Milliseconds(static_cast<std::int64_t>(run));
}

}
