#include <LibPlacement/QuarantineTracker.h>

#include <algorithm>
#include <cmath>

namespace zinc {

namespace {

constexpr double kDecay = 0.9;
/// Weighted failures from which a worker may be closed: the third in a row.
constexpr double kFailureThreshold = 2.5;
constexpr double kFailureRateThreshold = 0.4;
/// Weight of a failure while nothing is known of the queue on other workers.
constexpr double kUnknownWeight = 0.6;
/// Weight of a failure of a job that has failed on another worker too.
constexpr double kFailedElsewhereWeight = 0.25;
/// Failures of less weight tell nothing about a worker on probation.
constexpr double kTellingWeight = 0.3;
constexpr std::size_t kOutcomesKept = 16;
constexpr std::ptrdiff_t kOutcomesPerWorker = 2;
constexpr std::size_t kLeastOutcomes = 3;
constexpr std::size_t kFailedJobsKept = 64;
constexpr std::uint32_t kProbesToReturn = 2;
constexpr Milliseconds kFirstBackoff{ 10'000 };
constexpr Milliseconds kLongestBackoff{ 300'000 };
/// A probe that has run this long counts as a success.
constexpr Milliseconds kProbeRun{ 10'000 };
constexpr double kSlownessWeight = 0.05;
constexpr double kFleetSlownessWeight = 0.01;
constexpr std::uint32_t kLeastRuns = 20;
constexpr double kLargestRunRatio = 10.0;
/// Workers slower than the others by less than this are not called slow.
constexpr double kSlow = 1.5;
constexpr double kLeastOffered = 0.25;
constexpr double kOfferStep = 0.05;

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
  const double weight = this->WeightOf(aRecord, aOutcome);
  this->Remember(aRecord, aOutcome);
  Health& worker = this->HealthOf(aRecord.worker);
  if (aOutcome == TaskOutcome::Succeeded) {
    this->ObserveRun(aPool, aRecord, aExpectedRun, aNow);
  }
  if (worker.standing == Standing::Probation) {
    this->OnProbeEnd(aPool, aRecord.worker, aOutcome, weight, aNow);
    return;
  }
  worker.failures = worker.failures * kDecay + weight;
  worker.successes = worker.successes * kDecay + (aOutcome == TaskOutcome::Succeeded ? 1 : 0);
  const bool isBad =
    worker.failures >= kFailureThreshold &&
    worker.failures >= kFailureRateThreshold * (worker.failures + worker.successes);
  if (weight > 0 && isBad && worker.standing == Standing::Good &&
      this->MayQuarantine(aPool, aRecord.worker)) {
    this->Quarantine(aPool, aRecord.worker, aNow);
  }
}

void
QuarantineTracker::Update(WorkerPool& aPool, const TaskTable& aTasks, TimePoint aNow)
{
  if (this->distrusted == 0) {
    return;
  }
  for (WorkerIndex index = 0; index < this->health.size(); ++index) {
    Health& worker = this->health[index];
    if (worker.standing == Standing::Good || !aPool[index].isPresent) {
      continue;
    }
    if (worker.standing == Standing::Quarantined) {
      if (aNow >= worker.until) {
        worker.standing = Standing::Probation;
        worker.probes = 0;
        aPool.SetOnProbation(index, true);
        aPool.SetClosed(index, !aPool[index].tasks.empty());
      }
      continue;
    }
    const auto& running = aPool[index].tasks;
    const auto hasRunLong = [&aTasks, aNow](TaskIndex aTask) {
      return aNow - aTasks[aTask].startedAt >= kProbeRun;
    };
    if (running.empty()) {
      aPool.SetClosed(index, false);
    } else if (std::ranges::all_of(running, hasRunLong)) {
      this->OnProbeSuccess(aPool, index);
    }
  }
}

void
QuarantineTracker::OnWorkerRemoved(WorkerIndex aWorker)
{
  Health& worker = this->HealthOf(aWorker);
  this->distrusted -= worker.standing == Standing::Good ? 0 : 1;
  worker = {};
}

bool
QuarantineTracker::IsRestricted(WorkerIndex aWorker) const
{
  return aWorker < this->health.size() && this->health[aWorker].standing != Standing::Good;
}

QuarantineTracker::Health&
QuarantineTracker::HealthOf(WorkerIndex aWorker)
{
  if (aWorker >= this->health.size()) {
    this->health.resize(aWorker + 1);
  }
  return this->health[aWorker];
}

double
QuarantineTracker::WeightOf(const TaskRecord& aRecord, TaskOutcome aOutcome) const
{
  if (aOutcome == TaskOutcome::Succeeded) {
    return 0;
  }
  if (aOutcome == TaskOutcome::NotStarted) {
    return 1;
  }
  double weight = 1;
  for (const FailedJob& failed : this->failedJobs) {
    if (failed.job == std::hash<JobId>{}(aRecord.spec.job)) {
      weight = failed.worker == aRecord.worker ? 0 : std::min(weight, kFailedElsewhereWeight);
    }
  }
  return weight * (1 - this->FailureRateElsewhere(aRecord));
}

double
QuarantineTracker::FailureRateElsewhere(const TaskRecord& aRecord) const
{
  const auto found = this->outcomes.find(MakeTeamQueueKey(aRecord));
  if (found == this->outcomes.end()) {
    return 1 - kUnknownWeight;
  }
  std::size_t known = 0;
  std::size_t failed = 0;
  for (const Outcome& outcome : found->second) {
    if (outcome.worker != aRecord.worker) {
      ++known;
      failed += outcome.isFailure ? 1 : 0;
    }
  }
  if (known < kLeastOutcomes) {
    return 1 - kUnknownWeight;
  }
  return static_cast<double>(failed) / static_cast<double>(known);
}

void
QuarantineTracker::Remember(const TaskRecord& aRecord, TaskOutcome aOutcome)
{
  if (aOutcome == TaskOutcome::NotStarted) {
    return;
  }
  const bool isFailure = aOutcome == TaskOutcome::Failed;
  auto& latest = this->outcomes[MakeTeamQueueKey(aRecord)];
  const auto isOfWorker = [&aRecord](const Outcome& aOutcomeKept) {
    return aOutcomeKept.worker == aRecord.worker;
  };
  if (std::ranges::count_if(latest, isOfWorker) >= kOutcomesPerWorker) {
    latest.erase(std::ranges::find_if(latest, isOfWorker));
  }
  latest.push_back({ .worker = aRecord.worker, .isFailure = isFailure });
  if (latest.size() > kOutcomesKept) {
    latest.pop_front();
  }
  if (!isFailure) {
    return;
  }
  this->failedJobs.push_back(
    { .job = std::hash<JobId>{}(aRecord.spec.job), .worker = aRecord.worker });
  if (this->failedJobs.size() > kFailedJobsKept) {
    this->failedJobs.pop_front();
  }
}

void
QuarantineTracker::ObserveRun(WorkerPool& aPool,
                              const TaskRecord& aRecord,
                              Milliseconds aExpectedRun,
                              TimePoint aNow)
{
  if (aExpectedRun <= Milliseconds(0)) {
    return;
  }
  const auto run = static_cast<double>((aNow - aRecord.startedAt).count());
  const double ratio = std::clamp(
    run / static_cast<double>(aExpectedRun.count()), 1 / kLargestRunRatio, kLargestRunRatio);
  Health& worker = this->HealthOf(aRecord.worker);
  ++worker.runs;
  const double weight = std::max(kSlownessWeight, 1.0 / worker.runs);
  worker.slowness += weight * (std::log(ratio) - worker.slowness);
  ++this->fleetRuns;
  const double fleetWeight = std::max(kFleetSlownessWeight, 1.0 / this->fleetRuns);
  this->fleetSlowness += fleetWeight * (std::log(ratio) - this->fleetSlowness);
  if (worker.runs < kLeastRuns) {
    return;
  }
  const double slowness = std::exp(worker.slowness - this->fleetSlowness);
  const double part = slowness < kSlow ? 1.0 : std::max(1 / slowness, kLeastOffered);
  if (std::abs(part - aPool[aRecord.worker].offeredFraction) >= kOfferStep) {
    aPool.SetOfferedFraction(aRecord.worker, part);
  }
}

void
QuarantineTracker::OnProbeEnd(WorkerPool& aPool,
                              WorkerIndex aWorker,
                              TaskOutcome aOutcome,
                              double aWeight,
                              TimePoint aNow)
{
  if (aOutcome == TaskOutcome::Succeeded) {
    this->OnProbeSuccess(aPool, aWorker);
  } else if (aWeight >= kTellingWeight) {
    this->Quarantine(aPool, aWorker, aNow);
  } else {
    aPool.SetClosed(aWorker, false);
  }
}

void
QuarantineTracker::OnProbeSuccess(WorkerPool& aPool, WorkerIndex aWorker)
{
  Health& worker = this->health[aWorker];
  if (++worker.probes >= kProbesToReturn) {
    --this->distrusted;
    worker = { .slowness = worker.slowness, .runs = worker.runs };
    aPool.SetOnProbation(aWorker, false);
  }
  aPool.SetClosed(aWorker, false);
}

void
QuarantineTracker::Quarantine(WorkerPool& aPool, WorkerIndex aWorker, TimePoint aNow)
{
  Health& worker = this->health[aWorker];
  this->distrusted += worker.standing == Standing::Good ? 1 : 0;
  worker.standing = Standing::Quarantined;
  worker.backoff = std::clamp(worker.backoff * 2, kFirstBackoff, kLongestBackoff);
  worker.until = aNow + worker.backoff;
  aPool.SetOnProbation(aWorker, false);
  aPool.SetClosed(aWorker, true);
}

bool
QuarantineTracker::MayQuarantine(const WorkerPool& aPool, WorkerIndex aWorker) const
{
  std::size_t inZone = 0;
  std::size_t closed = 0;
  for (const WorkerIndex index : aPool.PresentWorkers()) {
    if (aPool[index].zone == aPool[aWorker].zone) {
      ++inZone;
      closed += aPool[index].isClosed || aPool[index].isOnProbation ? 1 : 0;
    }
  }
  return static_cast<double>(closed + 1) <= this->maxQuarantined * static_cast<double>(inZone);
}

}
