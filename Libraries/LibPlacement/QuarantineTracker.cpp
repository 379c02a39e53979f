#include <LibPlacement/QuarantineTracker.h>

#include <algorithm>
#include <cmath>

namespace zinc {

namespace {

constexpr double kOutcomeDecay = 0.9;
/// Decayed failures that quarantine a worker; three full failures in a row reach it.
constexpr double kFailureThreshold = 2.5;
constexpr double kFailureRateThreshold = 0.4;
/// Weight of a failure while there are too few outcomes of the queue on other workers.
constexpr double kDefaultFailureWeight = 0.6;
/// Upper limit on the weight of a failure of a job that has also failed on another worker.
constexpr double kFailedElsewhereWeight = 0.25;
/// A failure of less weight does not count as a failed probe.
constexpr double kMinProbeFailureWeight = 0.3;
constexpr std::size_t kMaxOutcomes = 16;
constexpr std::ptrdiff_t kMaxOutcomesPerWorker = 2;
constexpr std::size_t kMinOutcomesElsewhere = 3;
constexpr std::size_t kMaxFailedJobs = 64;
constexpr std::uint32_t kProbesToRecover = 2;
constexpr Milliseconds kMinBackoff{ 10'000 };
constexpr Milliseconds kMaxBackoff{ 300'000 };
/// A probe that is still running after this time counts as a success.
constexpr Milliseconds kProbeSuccessRunTime{ 10'000 };
/// The running mean becomes an exponential moving average with this weight.
constexpr double kMinWorkerRunWeight = 0.05;
constexpr double kMinFleetRunWeight = 0.01;
/// Runs before a worker's offered capacity is reduced.
constexpr std::uint32_t kMinRuns = 20;
/// Limits the effect of a single run.
constexpr double kMaxRunRatio = 10.0;
/// A worker with a smaller slowdown against the fleet offers its full capacity.
constexpr double kMinSlowdown = 1.5;
constexpr double kMinOfferedFraction = 0.25;
/// Smaller changes of the offered fraction are not applied.
constexpr double kMinOfferedChange = 0.05;

}

void
QuarantineTracker::OnTaskStarted(WorkerPool& aPool, WorkerIndex aWorker)
{
  if (aPool[aWorker].isOnProbation) {
    aPool.SetClosed(aWorker, true);
  }
}

void
QuarantineTracker::OnTaskEnded(WorkerPool& aPool,
                               const TaskRecord& aRecord,
                               TaskOutcome aOutcome,
                               Milliseconds aExpectedRun,
                               TimePoint aNow)
{
  if (aOutcome == TaskOutcome::Stopped) {
    if (aPool[aRecord.worker].isOnProbation) {
      aPool.SetClosed(aRecord.worker, false);
    }
    return;
  }
  const double weight = this->ComputeFailureWeight(aRecord, aOutcome);
  this->RecordOutcome(aRecord, aOutcome);
  WorkerHealth& worker = this->FindOrAddHealth(aRecord.worker);
  if (aOutcome == TaskOutcome::Succeeded) {
    this->RecordRunTime(aPool, aRecord, aExpectedRun, aNow);
  }
  if (worker.state == HealthState::Probation) {
    this->OnProbeEnded(aPool, aRecord.worker, aOutcome, weight, aNow);
    return;
  }
  worker.decayedFailures = worker.decayedFailures * kOutcomeDecay + weight;
  worker.decayedSuccesses =
    worker.decayedSuccesses * kOutcomeDecay + (aOutcome == TaskOutcome::Succeeded ? 1 : 0);
  const bool isFailing =
    worker.decayedFailures >= kFailureThreshold &&
    worker.decayedFailures >=
      kFailureRateThreshold * (worker.decayedFailures + worker.decayedSuccesses);
  if (weight > 0 && isFailing && worker.state == HealthState::Healthy &&
      this->CanQuarantine(aPool, aRecord.worker)) {
    this->Quarantine(aPool, aRecord.worker, aNow);
  }
}

void
QuarantineTracker::Update(WorkerPool& aPool, const TaskTable& aTasks, TimePoint aNow)
{
  if (this->restrictedCount == 0) {
    return;
  }
  for (WorkerIndex index = 0; index < this->health.size(); ++index) {
    WorkerHealth& worker = this->health[index];
    if (worker.state == HealthState::Healthy || !aPool[index].isPresent) {
      continue;
    }
    if (worker.state == HealthState::Quarantined) {
      if (aNow >= worker.quarantinedUntil) {
        worker.state = HealthState::Probation;
        worker.successfulProbes = 0;
        aPool.SetOnProbation(index, true);
        aPool.SetClosed(index, !aPool[index].tasks.empty());
      }
      continue;
    }
    const auto& running = aPool[index].tasks;
    const auto hasRunLong = [&aTasks, aNow](TaskIndex aTask) {
      return aNow - aTasks[aTask].startedAt >= kProbeSuccessRunTime;
    };
    if (running.empty()) {
      aPool.SetClosed(index, false);
    } else if (std::ranges::all_of(running, hasRunLong)) {
      this->OnProbeSucceeded(aPool, index);
    }
  }
}

void
QuarantineTracker::OnWorkerRemoved(WorkerIndex aWorker)
{
  WorkerHealth& worker = this->FindOrAddHealth(aWorker);
  this->restrictedCount -= worker.state == HealthState::Healthy ? 0 : 1;
  worker = {};
}

bool
QuarantineTracker::IsRestricted(WorkerIndex aWorker) const
{
  return aWorker < this->health.size() && this->health[aWorker].state != HealthState::Healthy;
}

QuarantineTracker::WorkerHealth&
QuarantineTracker::FindOrAddHealth(WorkerIndex aWorker)
{
  if (aWorker >= this->health.size()) {
    this->health.resize(aWorker + 1);
  }
  return this->health[aWorker];
}

double
QuarantineTracker::ComputeFailureWeight(const TaskRecord& aRecord, TaskOutcome aOutcome) const
{
  if (aOutcome == TaskOutcome::Succeeded) {
    return 0;
  }
  if (aOutcome == TaskOutcome::NotStarted) {
    return 1;
  }
  double weight = 1;
  for (const FailedJob& failed : this->recentFailedJobs) {
    if (failed.jobHash == std::hash<JobId>{}(aRecord.spec.job)) {
      weight = failed.worker == aRecord.worker ? 0 : std::min(weight, kFailedElsewhereWeight);
    }
  }
  return weight * (1 - this->ComputeFailureRateElsewhere(aRecord));
}

double
QuarantineTracker::ComputeFailureRateElsewhere(const TaskRecord& aRecord) const
{
  const auto found = this->outcomesByTeamQueue.find(MakeTeamQueueKey(aRecord));
  if (found == this->outcomesByTeamQueue.end()) {
    return 1 - kDefaultFailureWeight;
  }
  std::size_t knownCount = 0;
  std::size_t failedCount = 0;
  for (const Outcome& outcome : found->second) {
    if (outcome.worker != aRecord.worker) {
      ++knownCount;
      failedCount += outcome.isFailure ? 1 : 0;
    }
  }
  if (knownCount < kMinOutcomesElsewhere) {
    return 1 - kDefaultFailureWeight;
  }
  return static_cast<double>(failedCount) / static_cast<double>(knownCount);
}

void
QuarantineTracker::RecordOutcome(const TaskRecord& aRecord, TaskOutcome aOutcome)
{
  if (aOutcome == TaskOutcome::NotStarted) {
    return;
  }
  const bool isFailure = aOutcome == TaskOutcome::Failed;
  auto& recent = this->outcomesByTeamQueue[MakeTeamQueueKey(aRecord)];
  const auto isSameWorker = [&aRecord](const Outcome& aPrevious) {
    return aPrevious.worker == aRecord.worker;
  };
  if (std::ranges::count_if(recent, isSameWorker) >= kMaxOutcomesPerWorker) {
    recent.erase(std::ranges::find_if(recent, isSameWorker));
  }
  recent.push_back({ .worker = aRecord.worker, .isFailure = isFailure });
  if (recent.size() > kMaxOutcomes) {
    recent.pop_front();
  }
  if (!isFailure) {
    return;
  }
  this->recentFailedJobs.push_back(
    { .jobHash = std::hash<JobId>{}(aRecord.spec.job), .worker = aRecord.worker });
  if (this->recentFailedJobs.size() > kMaxFailedJobs) {
    this->recentFailedJobs.pop_front();
  }
}

void
QuarantineTracker::RecordRunTime(WorkerPool& aPool,
                                 const TaskRecord& aRecord,
                                 Milliseconds aExpectedRun,
                                 TimePoint aNow)
{
  if (aExpectedRun <= Milliseconds(0)) {
    return;
  }
  const auto run = static_cast<double>((aNow - aRecord.startedAt).count());
  const double ratio =
    std::clamp(run / static_cast<double>(aExpectedRun.count()), 1 / kMaxRunRatio, kMaxRunRatio);
  WorkerHealth& worker = this->FindOrAddHealth(aRecord.worker);
  ++worker.runCount;
  const double weight = std::max(kMinWorkerRunWeight, 1.0 / worker.runCount);
  worker.meanLogRunRatio += weight * (std::log(ratio) - worker.meanLogRunRatio);
  ++this->fleetRunCount;
  const double fleetWeight = std::max(kMinFleetRunWeight, 1.0 / this->fleetRunCount);
  this->fleetMeanLogRunRatio += fleetWeight * (std::log(ratio) - this->fleetMeanLogRunRatio);
  if (worker.runCount < kMinRuns) {
    return;
  }
  const double slowdown = std::exp(worker.meanLogRunRatio - this->fleetMeanLogRunRatio);
  const double fraction =
    slowdown < kMinSlowdown ? 1.0 : std::max(1 / slowdown, kMinOfferedFraction);
  if (std::abs(fraction - aPool[aRecord.worker].offeredFraction) >= kMinOfferedChange) {
    aPool.SetOfferedFraction(aRecord.worker, fraction);
  }
}

void
QuarantineTracker::OnProbeEnded(WorkerPool& aPool,
                                WorkerIndex aWorker,
                                TaskOutcome aOutcome,
                                double aWeight,
                                TimePoint aNow)
{
  if (aOutcome == TaskOutcome::Succeeded) {
    this->OnProbeSucceeded(aPool, aWorker);
  } else if (aWeight >= kMinProbeFailureWeight) {
    this->Quarantine(aPool, aWorker, aNow);
  } else {
    aPool.SetClosed(aWorker, false);
  }
}

void
QuarantineTracker::OnProbeSucceeded(WorkerPool& aPool, WorkerIndex aWorker)
{
  WorkerHealth& worker = this->health[aWorker];
  if (++worker.successfulProbes >= kProbesToRecover) {
    --this->restrictedCount;
    worker = { .meanLogRunRatio = worker.meanLogRunRatio, .runCount = worker.runCount };
    aPool.SetOnProbation(aWorker, false);
  }
  aPool.SetClosed(aWorker, false);
}

void
QuarantineTracker::Quarantine(WorkerPool& aPool, WorkerIndex aWorker, TimePoint aNow)
{
  WorkerHealth& worker = this->health[aWorker];
  this->restrictedCount += worker.state == HealthState::Healthy ? 1 : 0;
  worker.state = HealthState::Quarantined;
  worker.backoff = std::clamp(worker.backoff * 2, kMinBackoff, kMaxBackoff);
  worker.quarantinedUntil = aNow + worker.backoff;
  aPool.SetOnProbation(aWorker, false);
  aPool.SetClosed(aWorker, true);
}

bool
QuarantineTracker::CanQuarantine(const WorkerPool& aPool, WorkerIndex aWorker) const
{
  std::size_t workersInZone = 0;
  std::size_t restrictedWorkers = 0;
  for (const WorkerIndex index : aPool.PresentWorkers()) {
    if (aPool[index].zone == aPool[aWorker].zone) {
      ++workersInZone;
      restrictedWorkers += aPool[index].isClosed || aPool[index].isOnProbation ? 1 : 0;
    }
  }
  return static_cast<double>(restrictedWorkers + 1) <=
         this->maxQuarantinedFraction * static_cast<double>(workersInZone);
}

}
