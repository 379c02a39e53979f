#include <LibCell/CompletionForecast.h>

#include <LibCell/Placement.h>
#include <LibCell/WorkspaceLimit.h>
#include <algorithm>
#include <cmath>

namespace zinc::cell {

namespace {

/// Time constant of the rate of starts. Shorter than a burst; gangs, of which a few start per
/// second, still give a steady rate.
constexpr Milliseconds kRateDecayTime{ 8000 };
/// The rate is forgotten this long after the last start, when it has decayed to a fiftieth.
constexpr Milliseconds kRateRetention{ 32'000 };
/// The rate of a shorter backlog is unknown.
constexpr Milliseconds kMinObservation{ 1000 };
/// Shorter waits are not published: requests for advice alone take as long.
constexpr Milliseconds kMinPublishedWait{ 500 };
/// Shorter forecasts are not compared, since the forecast is up to 500 ms off a job's arrival.
constexpr Milliseconds kMinComparedWait{ 1000 };
constexpr Milliseconds kMaxWait{ 600'000 };
/// A workspace counts as beyond its weight for this long after its last job beyond it arrived. Its
/// next jobs go before what is left of the burst. Its weight allows a job per second or more, so
/// that those of a lasting burst are seen again.
constexpr Milliseconds kBeyondWeightWindow{ 2500 };
/// Expired work counts up to this many times the work that has value. Where work with value goes
/// first, an overload shows as work that expires instead of longer waits. The bound lets the
/// forecast fall as soon as new work no longer waits, however much expired work is left.
constexpr double kMaxExpiredRatio = 9.0;
/// Weight of one job in the correction, which follows within a few dozen jobs.
constexpr double kCorrectionWeight = 0.05;
/// Jobs that start and jobs that expire are compared differently, so the correction is bounded.
constexpr double kMinCorrection = 0.5;
constexpr double kMaxCorrection = 2.0;

double
CountMilliseconds(Milliseconds aTime)
{
  return static_cast<double>(aTime.count());
}

/// @return the work of one task
double
WorkOf(const StepSpecification& aStep)
{
  const auto milliCores = std::max<std::int64_t>(1, aStep.demand.milliCores);
  return static_cast<double>(milliCores) * std::max(1.0, CountMilliseconds(aStep.estimate));
}

/// @return true if the step's tasks occupy processors and end by themselves
bool
CountsAsWork(const StepSpecification& aStep)
{
  return !aStep.isService && !aStep.isBestEffort;
}

/// @return true if the workspace's limit leaves no room for the next task, or for the whole gang
bool
IsAtLimit(const Candidate& aCandidate, double aLimitHeadroom)
{
  const auto& step = *aCandidate.specification;
  const std::uint32_t needed = step.isGang ? step.count : 1;
  return CountTasksWithinLimit(
           *aCandidate.job->workspaceUsage,
           { .demand = step.demand, .maxTasks = needed, .mayUseReservation = step.isGang },
           aLimitHeadroom) < needed;
}

/// @return the latest start after which the result still has value to the caller
TimePoint
LatestUsefulStart(const Candidate& aCandidate)
{
  const auto& job = *aCandidate.job;
  return job.occurrences.at(aCandidate.occurrence).deadline - job.criticalPaths[aCandidate.step];
}

double
DecayFactor(Milliseconds aTime)
{
  return std::exp(-CountMilliseconds(std::max(aTime, Milliseconds{ 0 })) /
                  CountMilliseconds(kRateDecayTime));
}

}

void
CompletionForecast::RecordStart(const Candidate& aCandidate, TimePoint aNow)
{
  const auto& step = *aCandidate.specification;
  if (!CountsAsWork(step)) {
    return;
  }
  const auto record = [this, work = WorkOf(step), aNow](const BacklogKey& aKey) {
    auto& backlog = this->backlogs[aKey];
    const auto decay = DecayFactor(aNow - backlog.decayedAt);
    backlog.starts = backlog.starts * decay + work;
    backlog.startsInBacklog = backlog.startsInBacklog * decay + (backlog.since ? work : 0);
    backlog.decayedAt = aNow;
  };
  record({ aCandidate.queue->name, aCandidate.job->spec.workspace });
  if (!aCandidate.job->isBeyondWeight) {
    record({ aCandidate.queue->name, {} });
  }
}

void
CompletionForecast::RecordFirstStart(const JobId& aJob, TimePoint aNow)
{
  const auto found = this->waitingJobs.find(aJob);
  if (found == this->waitingJobs.end()) {
    return;
  }
  const auto& job = found->second;
  if (job.forecast) {
    this->Compare(job.queue, *job.forecast, aNow - job.receivedAt);
  }
  this->waitingJobs.erase(found);
}

std::vector<ExpectedWait>
CompletionForecast::Update(std::span<const Candidate> aCandidates, TimePoint aNow)
{
  ++this->updateCount;
  for (auto& [key, backlog] : this->backlogs) {
    backlog.valuedWork = 0;
    backlog.expiredWork = 0;
    backlog.largestStep = 0;
    backlog.isBeyondShare = false;
  }
  this->workspacesBeyondWeight.clear();
  for (const auto& candidate : aCandidates) {
    const auto& job = *candidate.job;
    if (job.isBeyondWeight && aNow - job.receivedAt <= kBeyondWeightWindow) {
      this->workspacesBeyondWeight.insert(job.spec.workspace);
    }
  }
  for (const auto& candidate : aCandidates) {
    if (CountsAsWork(*candidate.specification)) {
      this->TrackJob(candidate, aNow);
      this->AddWaitingWork(candidate, aNow);
    }
  }
  std::erase_if(this->waitingJobs, [this](const auto& aEntry) {
    return aEntry.second.lastUpdate != this->updateCount;
  });
  this->EndBacklogs(aNow);
  for (auto& [key, backlog] : this->backlogs) {
    backlog.wait = ComputeWait(backlog, aNow);
  }
  for (auto* job : this->newJobs) {
    const auto after = this->FindWait(job->queue, job->workspace);
    job->forecast =
      job->forecast && after ? std::optional((*job->forecast + *after) / 2) : std::nullopt;
  }
  this->newJobs.clear();
  return this->ListWaits();
}

double
CompletionForecast::CorrectionOf(const QueueId& aQueue) const
{
  const auto found = this->corrections.find(aQueue);
  return found == this->corrections.end() ? 1.0 : found->second;
}

void
CompletionForecast::AddWaitingWork(const Candidate& aCandidate, TimePoint aNow)
{
  const auto stepWork = WorkOf(*aCandidate.specification) * aCandidate.run->waitingTasks;
  const bool isExpired = aNow > LatestUsefulStart(aCandidate);
  const auto& job = *aCandidate.job;
  const bool isWorkspaceBeyondWeight = this->workspacesBeyondWeight.contains(job.spec.workspace);
  const bool isAtLimit = IsAtLimit(aCandidate, this->limitHeadroom);
  const bool isBeyondShare = isWorkspaceBeyondWeight || isAtLimit;
  const auto add = [&](const BacklogKey& aKey) {
    auto& backlog = this->backlogs[aKey];
    if (!backlog.since) {
      backlog.since = aNow;
      backlog.startsInBacklog = 0;
    }
    (isExpired ? backlog.expiredWork : backlog.valuedWork) += stepWork;
    backlog.largestStep = std::max(backlog.largestStep, stepWork);
    backlog.isBeyondShare = backlog.isBeyondShare || isBeyondShare;
  };
  // What is left of a burst goes behind the next jobs of its workspace.
  if (!job.isBeyondWeight || isWorkspaceBeyondWeight) {
    add({ aCandidate.queue->name, job.spec.workspace });
  }
  if (!job.isBeyondWeight && !isAtLimit) {
    add({ aCandidate.queue->name, {} });
  }
}

void
CompletionForecast::EndBacklogs(TimePoint aNow)
{
  for (auto& [key, backlog] : this->backlogs) {
    if (backlog.valuedWork + backlog.expiredWork == 0) {
      backlog.since.reset();
    }
  }
  std::erase_if(this->backlogs, [aNow](const auto& aEntry) {
    return !aEntry.second.since && aNow - aEntry.second.decayedAt > kRateRetention;
  });
}

std::optional<Milliseconds>
CompletionForecast::ComputeWait(const Backlog& aBacklog, TimePoint aNow)
{
  if (!aBacklog.since || aNow - *aBacklog.since < kMinObservation) {
    return {};
  }
  const auto decay = DecayFactor(aNow - aBacklog.decayedAt);
  // The next start of a large step may be due at any moment; without it, a queue of gangs would
  // seem not to start at all between two of them.
  const double startsInBacklog = aBacklog.startsInBacklog * decay + aBacklog.largestStep;
  const double observedFraction = 1.0 - DecayFactor(aNow - *aBacklog.since);
  // Starts before the backlog show a rate that was possible, so that a short pause of all starts
  // does not look like an overload.
  const double rate = std::max(startsInBacklog / observedFraction, aBacklog.starts * decay) /
                      CountMilliseconds(kRateDecayTime);
  const double waiting =
    aBacklog.valuedWork + std::min(aBacklog.expiredWork, kMaxExpiredRatio * aBacklog.valuedWork);
  const double wait = waiting / rate;
  return Milliseconds(static_cast<std::int64_t>(std::min(wait, CountMilliseconds(kMaxWait))));
}

std::optional<Milliseconds>
CompletionForecast::FindWait(const QueueId& aQueue, const WorkspaceId& aWorkspace) const
{
  std::optional<Milliseconds> wait;
  if (const auto all = this->backlogs.find({ aQueue, {} }); all != this->backlogs.end()) {
    wait = all->second.wait;
  }
  const auto own = this->backlogs.find({ aQueue, aWorkspace });
  if (own != this->backlogs.end() && own->second.isBeyondShare && own->second.wait) {
    wait = std::max(wait.value_or(Milliseconds{ 0 }), *own->second.wait);
  }
  return wait;
}

void
CompletionForecast::TrackJob(const Candidate& aCandidate, TimePoint aNow)
{
  const auto& job = *aCandidate.job;
  if (job.hasStarted || job.spec.occurrences > 0) {
    return;
  }
  const auto [found, isNew] = this->waitingJobs.try_emplace(job.spec.id);
  auto& waiting = found->second;
  waiting.lastUpdate = this->updateCount;
  if (isNew) {
    waiting.queue = aCandidate.queue->name;
    waiting.workspace = job.spec.workspace;
    waiting.receivedAt = job.receivedAt;
    waiting.latestStart = LatestUsefulStart(aCandidate);
    waiting.forecast = this->FindWait(waiting.queue, waiting.workspace);
    this->newJobs.push_back(&waiting);
  } else if (waiting.forecast && aNow > waiting.latestStart) {
    // The job's wait is at least as long as this, and its forecast was right if it was longer.
    const auto atLeast = waiting.latestStart - waiting.receivedAt;
    this->Compare(
      waiting.queue, *waiting.forecast, std::max<Milliseconds>(atLeast, *waiting.forecast));
    waiting.forecast.reset();
  }
}

void
CompletionForecast::Compare(const QueueId& aQueue, Milliseconds aForecast, Milliseconds aActual)
{
  if (aForecast < kMinComparedWait) {
    return;
  }
  const double ratio = CountMilliseconds(aActual) / CountMilliseconds(aForecast);
  auto& correction = this->corrections.try_emplace(aQueue, 1.0).first->second;
  correction += kCorrectionWeight * (std::min(ratio, kMaxCorrection) - correction);
  correction = std::clamp(correction, kMinCorrection, kMaxCorrection);
}

std::vector<ExpectedWait>
CompletionForecast::ListWaits() const
{
  std::vector<ExpectedWait> waits;
  for (const auto& [key, backlog] : this->backlogs) {
    const auto& [queue, workspace] = key;
    const bool isPublished = workspace.IsEmpty() || backlog.isBeyondShare;
    if (!isPublished || !backlog.wait) {
      continue;
    }
    const Milliseconds wait(
      static_cast<std::int64_t>(CountMilliseconds(*backlog.wait) * this->CorrectionOf(queue)));
    if (wait >= kMinPublishedWait) {
      waits.push_back({ .queue = queue, .workspace = workspace, .wait = wait });
    }
  }
  std::ranges::stable_sort(waits, {}, [](const ExpectedWait& aWait) {
    return std::pair(!aWait.workspace.IsEmpty(), -aWait.wait.count());
  });
  waits.resize(std::min(waits.size(), kMaxExpectedWaits));
  return waits;
}

}
