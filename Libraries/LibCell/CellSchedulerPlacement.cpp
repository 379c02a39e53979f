#include <LibCell/CellScheduler.h>
#include <LibCell/Placement.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>

namespace zinc::cell {

namespace {

/// Classes of priority, highest first. Within a class the step goes first whose latest start that
/// meets the objective is earliest.
enum class PriorityClass : std::int64_t
{
  Urgent,
  /// Late tasks of the most urgent queue whose result still has a value to the caller.
  UrgentLate,
  OnTime,
  Late,
  BeyondWeight,
};

constexpr std::int64_t kPriorityClassSpan = std::int64_t{ 1 } << 48;
/// A ticket that expires sooner than this would not reach the worker in time.
constexpr Milliseconds kTicketMargin{ 40 };
/// Delay before a failed request is sent again.
constexpr Milliseconds kAdviceRetryDelay{ 20 };
/// A reservation expires if its tickets are this much later than expected.
constexpr Milliseconds kReservationMargin{ 700 };
/// Fraction of workers assumed to be eligible before the first response for a queue.
constexpr double kDefaultEligibleFraction = 0.4;
/// Weight of the newest response in the moving average of that fraction.
constexpr double kEligibleFractionWeight = 0.1;
/// After this many steps of a workspace in a row that exceed its limit, a round skips the rest of
/// the workspace.
constexpr std::uint32_t kMaxAttemptsBeyondLimit = 64;
/// Concurrent requests for one gang; four cover all workers of a cell of 400.
constexpr std::size_t kMaxRequestsPerGang = 4;
/// Number of gangs that can have earmarked workers at a time.
constexpr std::size_t kMaxGangsWithEarmarkedWorkers = 5;
/// Interval at which a step that stays pending is logged.
constexpr Milliseconds kWaitLogInterval{ 2000 };
/// How long a worker that rejected a start gets no tasks.
constexpr Milliseconds kRejectionAvoidance{ 1000 };

Resources
ComponentMin(const Resources& aLeft, const Resources& aRight)
{
  return { .milliCores = std::min(aLeft.milliCores, aRight.milliCores),
           .memoryMiB = std::min(aLeft.memoryMiB, aRight.memoryMiB),
           .accelerators = std::min(aLeft.accelerators, aRight.accelerators) };
}

/// @return what remains of a limit, in which an amount of 0 means no limit.
Resources
RemainingLimit(const Resources& aLimit, const Resources& aUsed)
{
  constexpr auto kNoLimit = std::numeric_limits<std::int64_t>::max();
  const auto remaining = [](std::int64_t aMax, std::int64_t aUsedAmount) {
    return aMax == 0 ? kNoLimit : std::max<std::int64_t>(0, aMax - aUsedAmount);
  };
  return { .milliCores = remaining(aLimit.milliCores, aUsed.milliCores),
           .memoryMiB = remaining(aLimit.memoryMiB, aUsed.memoryMiB),
           .accelerators = remaining(aLimit.accelerators, aUsed.accelerators) };
}

/// @return true if the amount is within the limit, in which an amount of 0 means no limit.
bool
IsWithinLimit(const Resources& aAmount, const Resources& aLimit)
{
  const auto isWithin = [](std::int64_t aUsed, std::int64_t aMax) {
    return aMax == 0 || aUsed <= aMax;
  };
  return isWithin(aAmount.milliCores, aLimit.milliCores) &&
         isWithin(aAmount.memoryMiB, aLimit.memoryMiB) &&
         isWithin(aAmount.accelerators, aLimit.accelerators);
}

}

CellScheduler::Pool*
CellScheduler::FindPool(const std::string& aName)
{
  const auto found = this->pools.find(aName);
  return found == this->pools.end() ? nullptr : &found->second;
}

bool
CellScheduler::IsUsable(const Worker& aWorker) const
{
  const auto now = this->dependencies.clock.Now();
  return aWorker.isListed && !aWorker.entry.isDraining &&
         aWorker.reachability == WorkerReachability::Reachable && aWorker.isClockKnown &&
         aWorker.failedRenewals == 0 && aWorker.avoidUntil <= now &&
         aWorker.runsOfUnknownDemand == 0 && this->publishedWorkers.contains(aWorker.entry.id);
}

void
CellScheduler::BuildPools()
{
  this->pools.clear();
  ++this->placementRound;
  for (auto& [id, worker] : this->workers) {
    if (!this->IsUsable(*worker)) {
      continue;
    }
    worker->pooledInRound = this->placementRound;
    auto& pool = this->pools[worker->entry.pool];
    pool.workers.push_back(worker.get());
    pool.capacity += worker->entry.capacity;
    pool.free += worker->FreeResources();
  }
  // Sorted, since a replay iterates a hash table in another order.
  for (auto& [name, pool] : this->pools) {
    std::ranges::sort(pool.workers, [](const Worker* aLeft, const Worker* aRight) {
      return aLeft->entry.id < aRight->entry.id;
    });
  }
}

std::int64_t
CellScheduler::PriorityKeyOf(const Job& aJob,
                             const OccurrenceRun& aOccurrence,
                             std::uint32_t aStep) const
{
  const auto now = this->dependencies.clock.Now();
  const auto& queue = this->CurrentQueuePolicy(aJob);
  const auto latestStart = aOccurrence.objective - aJob.criticalPaths[aStep];
  auto priorityClass = PriorityClass::OnTime;
  if (aJob.isBeyondWeight) {
    priorityClass = PriorityClass::BeyondWeight;
  } else if (aJob.spec.steps[aStep].isService) {
    priorityClass = PriorityClass::Urgent;
  } else if (queue.priority == 0 && latestStart >= now) {
    priorityClass = PriorityClass::Urgent;
  } else if (queue.priority == 0 && now < aOccurrence.deadline) {
    priorityClass = PriorityClass::UrgentLate;
  } else if (latestStart < now) {
    priorityClass = PriorityClass::Late;
  }
  return static_cast<std::int64_t>(priorityClass) * kPriorityClassSpan +
         latestStart.time_since_epoch().count();
}

std::vector<CellScheduler::Candidate>
CellScheduler::CollectCandidates()
{
  std::vector<Candidate> candidates;
  for (const auto& id : this->activeJobs) {
    auto& job = this->jobs.at(id);
    for (auto& [number, occurrence] : job.occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const auto& run = occurrence.steps[step];
        const bool isPending = run.isReady && std::ranges::any_of(run.tasks, [](const Task& aTask) {
                                 return aTask.phase == TaskPhase::Waiting;
                               });
        if (isPending) {
          candidates.push_back({ .job = &job,
                                 .occurrence = number,
                                 .step = step,
                                 .priorityKey = this->PriorityKeyOf(job, occurrence, step) });
        }
      }
    }
  }
  std::ranges::stable_sort(candidates, {}, &Candidate::priorityKey);
  return candidates;
}

void
CellScheduler::RunPlacementRound()
{
  const auto now = this->dependencies.clock.Now();
  this->lastPlacement = now;
  this->isPlacementDue = false;
  if (now >= this->termEnd || !this->HasSyncedEnoughWorkers()) {
    return;
  }
  this->EstimateUnsyncedUsage();
  this->isGangRound = now >= this->nextGangPlacement;
  if (this->isGangRound) {
    this->nextGangPlacement = now + this->options.gangPlacementInterval;
    this->earmarkedWorkers.clear();
    this->limitReservedForGangs.clear();
    this->gangsWithEarmarkedWorkers = 0;
  }
  const auto candidates = this->CollectCandidates();
  if (candidates.empty()) {
    return;
  }
  this->BuildPools();
  // Consecutive steps of each workspace that exceeded its limit.
  std::unordered_map<WorkspaceId, std::uint32_t> beyondLimit;
  for (const auto& candidate : candidates) {
    if (!this->NeedsPlacementAttempt(candidate)) {
      continue;
    }
    // The remaining steps of a workspace at its limit would not fit either.
    auto& consecutive = beyondLimit[candidate.job->spec.workspace];
    if (consecutive >= kMaxAttemptsBeyondLimit) {
      ++this->load.waitCounts.at(static_cast<std::size_t>(WaitReason::Limit));
      continue;
    }
    const auto reason = this->PlaceStep(candidate);
    consecutive = reason == WaitReason::Limit ? consecutive + 1 : 0;
    ++this->load.waitCounts.at(static_cast<std::size_t>(reason));
    this->LogLongWait(candidate, reason);
    // The rest is left to the next round, so that a long round does not delay other work.
    const bool isLong = this->dependencies.clock.Now() - now > this->options.maxPlacementDuration;
    if (this->hasLostLeadership || isLong) {
      ++this->load.truncatedPlacements;
      break;
    }
  }
  ++this->load.placements;
  this->load.placementTime += this->dependencies.clock.Now() - now;
  // Bounds the duty cycle of placement, so that a long backlog leaves time for the workers.
  this->nextPlacement = this->dependencies.clock.Now() +
                        (this->dependencies.clock.Now() - now) * this->options.placementIdleFactor;
}

bool
CellScheduler::NeedsPlacementAttempt(const Candidate& aCandidate) const
{
  const auto& run = aCandidate.job->occurrences.at(aCandidate.occurrence).steps[aCandidate.step];
  if (run.advice.hasNewResponse || run.reservation) {
    return true;
  }
  // A step cannot be placed before its first advice.
  const bool awaitsFirstAdvice = !run.advice.hasResponse && run.advice.requestsInFlight > 0;
  const bool isGang = aCandidate.job->spec.steps[aCandidate.step].isGang;
  return !awaitsFirstAdvice && (this->isGangRound || !isGang);
}

void
CellScheduler::LogLongWait(const Candidate& aCandidate, WaitReason aReason)
{
  constexpr std::array kNames = { "nothing",  "workers", "advice", "limit",
                                  "headroom", "room",    "ticket", "members" };
  static_assert(kNames.size() == static_cast<std::size_t>(WaitReason::Count));
  const auto now = this->dependencies.clock.Now();
  auto& run = aCandidate.job->occurrences.at(aCandidate.occurrence).steps[aCandidate.step];
  if (aReason == WaitReason::None) {
    run.waitingSince = {};
    return;
  }
  if (run.waitingSince == TimePoint{}) {
    run.waitingSince = now;
    run.nextWaitLog = now + kWaitLogInterval;
  }
  if (now < run.nextWaitLog) {
    return;
  }
  run.nextWaitLog = now + kWaitLogInterval;
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  this->dependencies.log.Log(LogLevel::Info,
                             "step_waits",
                             { { "job", aCandidate.job->spec.id.value },
                               { "step", aCandidate.step },
                               { "for", kNames.at(static_cast<std::size_t>(aReason)) },
                               { "waited_ms", (now - run.waitingSince).count() },
                               { "tasks", step.count },
                               { "millicores", step.demand.milliCores },
                               { "mib", step.demand.memoryMiB },
                               { "gang", step.isGang },
                               { "rank", aCandidate.priorityKey / kPriorityClassSpan },
                               { "asked", run.advice.requestedWorkers.size() },
                               { "good", run.advice.tickets.size() },
                               { "workspace", aCandidate.job->spec.workspace.value } });
}

bool
CellScheduler::HasRoom(const Pool& aPool, const StepSpecification& aStep)
{
  const auto demand = AllocatedDemand(aStep);
  const std::uint32_t needed = aStep.isGang ? aStep.count : 1;
  std::uint32_t room = 0;
  for (const auto* worker : aPool.workers) {
    room += CountFittingTasks(*worker, demand, needed);
    if (room >= needed) {
      return true;
    }
  }
  return false;
}

void
CellScheduler::EstimateUnsyncedUsage()
{
  this->unsyncedUsage.clear();
  if (this->unsyncedWorkers.empty()) {
    return;
  }
  // At most the capacity of the unsynced workers. One without a row counts as the largest worker.
  Resources largest;
  for (const auto& [id, worker] : this->workers) {
    const auto& capacity = worker->entry.capacity;
    largest = { .milliCores = std::max(largest.milliCores, capacity.milliCores),
                .memoryMiB = std::max(largest.memoryMiB, capacity.memoryMiB),
                .accelerators = std::max(largest.accelerators, capacity.accelerators) };
  }
  Resources totalCapacity;
  for (const auto& id : this->unsyncedWorkers) {
    const auto worker = this->workers.find(id);
    totalCapacity += worker != this->workers.end() ? worker->second->entry.capacity : largest;
  }
  for (const auto& id : this->activeJobs) {
    const auto& job = this->jobs.at(id);
    for (const auto& [number, occurrence] : job.occurrences) {
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        const auto& tasks = occurrence.steps[step].tasks;
        const auto count = std::ranges::count(tasks, TaskPhase::Unresolved, &Task::phase);
        auto& amount = this->unsyncedUsage[job.spec.workspace];
        for (std::ptrdiff_t task = 0; task < count; ++task) {
          amount += AllocatedDemand(job.spec.steps[step]);
        }
      }
    }
  }
  for (auto& [workspace, amount] : this->unsyncedUsage) {
    amount = ComponentMin(amount, totalCapacity);
    // The predecessor enforced the limit over all workers, so its runs at unsynced workers and
    // those that were adopted are within the limit together.
    const auto limit = this->highestLimits.find(workspace);
    if (limit != this->highestLimits.end()) {
      amount = ComponentMin(amount, RemainingLimit(limit->second, this->adoptedUsage[workspace]));
    }
  }
}

bool
CellScheduler::HasSyncedEnoughWorkers() const
{
  // Unsynced workers may have runs that count against a workspace's limit. Placement waits until
  // each has responded or a call to it has failed.
  constexpr Milliseconds kSyncTimeout{ 1500 };
  if (this->dependencies.clock.Now() - this->termBegin > kSyncTimeout) {
    return true;
  }
  return std::ranges::all_of(this->unsyncedWorkers, [this](const WorkerId& aId) {
    const auto worker = this->workers.find(aId);
    return worker == this->workers.end() || worker->second->failedRenewals > 0;
  });
}

CellScheduler::WaitReason
CellScheduler::PlaceStep(const Candidate& aCandidate)
{
  auto& run = aCandidate.job->occurrences.at(aCandidate.occurrence).steps[aCandidate.step];
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const auto& queue = this->CurrentQueuePolicy(*aCandidate.job);
  auto* pool = this->FindPool(queue.pool);
  if (pool == nullptr) {
    return WaitReason::NoWorkers;
  }
  run.advice.hasNewResponse = false;
  // Tickets expire soon, so none are requested for a step that cannot start for another reason.
  const std::uint32_t needed = step.isGang ? step.count : 1;
  if (this->CountTasksWithinLimit(aCandidate, step.demand, needed) < needed) {
    this->ReserveLimitForGang(aCandidate, run);
    return WaitReason::Limit;
  }
  const bool needsAdvice = queue.needsAdvice && !run.advice.hasResponse;
  if (needsAdvice) {
    // Tickets expire soon, so none are requested for steps far back in the queue.
    const bool isTooEarly = this->adviceDispatcher->IsSaturated() && this->IsNonUrgent(aCandidate);
    if (!isTooEarly) {
      this->RequestMoreAdvice(aCandidate, run, *pool);
    }
    return WaitReason::Advice;
  }
  return step.isGang ? this->PlaceGang(aCandidate, run, *pool)
                     : this->PlaceTasks(aCandidate, run, *pool);
}

bool
CellScheduler::HasValidTicket(const StepRun& aRun, const WorkerId& aWorker) const
{
  const auto found = aRun.advice.tickets.find(aWorker);
  return found != aRun.advice.tickets.end() &&
         found->second.expires > this->dependencies.clock.Now() + kTicketMargin;
}

std::vector<Worker*>
CellScheduler::FindEligibleWorkers(const Candidate& aCandidate,
                                   const StepRun& aRun,
                                   const Pool& aPool,
                                   bool aNeedsTicket) const
{
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const bool needsAdvice = this->CurrentQueuePolicy(*aCandidate.job).needsAdvice;
  const bool isNonUrgent = this->IsNonUrgent(aCandidate);
  const auto now = this->dependencies.clock.Now();
  std::vector<Worker*> eligible;
  const auto addIfEligible = [&](Worker* aWorker) {
    const bool isEarmarked = isNonUrgent && this->earmarkedWorkers.contains(aWorker->entry.id);
    if (!isEarmarked && HasRequiredLabel(*aWorker, step) && aWorker->avoidUntil <= now) {
      eligible.push_back(aWorker);
    }
  };
  if (!needsAdvice) {
    std::ranges::for_each(aPool.workers, addIfEligible);
    return eligible;
  }
  // Often few workers are eligible: looking these up is cheaper than scanning the pool.
  for (const auto& [id, ticket] : aRun.advice.tickets) {
    const auto found = this->workers.find(id);
    const bool isInPool =
      found != this->workers.end() && found->second->pooledInRound == this->placementRound &&
      found->second->entry.pool == this->CurrentQueuePolicy(*aCandidate.job).pool;
    if (isInPool && (!aNeedsTicket || ticket.expires > now + kTicketMargin)) {
      addIfEligible(found->second.get());
    }
  }
  return eligible;
}

void
CellScheduler::ReserveLimitForGang(const Candidate& aCandidate, StepRun& aRun)
{
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  if (!step.isGang) {
    return;
  }
  this->ReleaseReservation(aRun, step);
  const auto& workspace = aCandidate.job->spec.workspace;
  const auto total = step.demand * step.count;
  const bool isOnTime =
    aCandidate.priorityKey < static_cast<std::int64_t>(PriorityClass::Late) * kPriorityClassSpan;
  const auto found = this->policy->workspaces.find(workspace);
  if (!isOnTime || found == this->policy->workspaces.end() ||
      !IsWithinLimit(total, found->second.quota)) {
    return;
  }
  // One gang per workspace at a time, so that its other batch tasks can go on.
  this->limitReservedForGangs.try_emplace(workspace, total);
}

bool
CellScheduler::IsNonUrgent(const Candidate& aCandidate) const
{
  return aCandidate.priorityKey >=
         static_cast<std::int64_t>(PriorityClass::OnTime) * kPriorityClassSpan;
}

bool
CellScheduler::LeavesHeadroom(const Candidate& aCandidate,
                              const Resources& aDemand,
                              const Pool& aPool) const
{
  if (!this->IsNonUrgent(aCandidate)) {
    return true;
  }
  const auto headroom = static_cast<std::int64_t>(static_cast<double>(aPool.capacity.milliCores) *
                                                  this->options.urgentHeadroom);
  return aPool.free.milliCores - aDemand.milliCores >= headroom;
}

std::uint32_t
CellScheduler::CountTasksWithinLimit(const Candidate& aCandidate,
                                     const Resources& aDemand,
                                     std::uint32_t aMax) const
{
  const auto& workspace = aCandidate.job->spec.workspace;
  // A workspace's batch tasks leave a fraction of its limit to its urgent tasks.
  const double usableFraction =
    this->IsNonUrgent(aCandidate) ? 1.0 - this->options.limitHeadroom : 1.0;
  const auto found = this->policy->workspaces.find(workspace);
  if (found == this->policy->workspaces.end()) {
    return aMax;
  }
  const auto& limit = found->second.quota;
  const auto used = this->runningUsage.find(workspace);
  auto amount = used == this->runningUsage.end() ? Resources{} : used->second;
  const auto unsynced = this->unsyncedUsage.find(workspace);
  if (unsynced != this->unsyncedUsage.end()) {
    amount += unsynced->second;
  }
  const auto reserved = this->limitReservedForGangs.find(workspace);
  // Another gang that fits may go first, but single tasks would take each core as it is freed.
  const bool isSingleTask = !aCandidate.job->spec.steps[aCandidate.step].isGang;
  if (reserved != this->limitReservedForGangs.end() && isSingleTask &&
      this->IsNonUrgent(aCandidate)) {
    amount += reserved->second;
  }
  auto room = static_cast<std::int64_t>(aMax);
  const auto bound = [&room, usableFraction, aMax](
                       std::int64_t aLimit, std::int64_t aUsed, std::int64_t aNeed) {
    if (aLimit > 0 && aNeed > 0) {
      // A demand above that fraction may use the whole limit, since it could never start otherwise.
      const auto reduced = static_cast<std::int64_t>(static_cast<double>(aLimit) * usableFraction);
      const auto usable = aNeed * aMax > reduced ? aLimit : reduced;
      room = std::min(room, std::max<std::int64_t>(0, usable - aUsed) / aNeed);
    }
  };
  bound(limit.milliCores, amount.milliCores, aDemand.milliCores);
  bound(limit.memoryMiB, amount.memoryMiB, aDemand.memoryMiB);
  bound(limit.accelerators, amount.accelerators, aDemand.accelerators);
  return static_cast<std::uint32_t>(room);
}

CellScheduler::WaitReason
CellScheduler::PlaceTasks(const Candidate& aCandidate, StepRun& aRun, Pool& aPool)
{
  const auto now = this->dependencies.clock.Now();
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  // Limits also count the processors of best-effort tasks, which do run.
  const auto allocated = AllocatedDemand(step);
  if (!this->LeavesHeadroom(aCandidate, allocated, aPool)) {
    return WaitReason::Headroom;
  }
  if (!HasRoom(aPool, step)) {
    return WaitReason::Room;
  }
  const auto eligible = this->FindEligibleWorkers(aCandidate, aRun, aPool, true);
  // Runs that are being stopped and superseded runs still occupy the worker, so they count too.
  const auto countTasksAt = [&aCandidate](const Worker& aWorker) {
    return static_cast<std::uint32_t>(
      std::ranges::count_if(aWorker.allocations, [&aCandidate](const Allocation& aAllocation) {
        const auto& key = aAllocation.task.key;
        return key.step == aCandidate.step && key.occurrence == aCandidate.occurrence &&
               aAllocation.task.job == aCandidate.job->spec.id;
      }));
  };
  std::uint32_t unplaced = 0;
  for (std::uint32_t index = 0; index < aRun.tasks.size(); ++index) {
    auto& task = aRun.tasks[index];
    if (task.phase != TaskPhase::Waiting || task.earliestStart > now) {
      continue;
    }
    if (this->CountTasksWithinLimit(aCandidate, step.demand, 1) == 0) {
      return WaitReason::Limit;
    }
    if (!this->LeavesHeadroom(aCandidate, allocated, aPool)) {
      return WaitReason::Headroom;
    }
    auto* worker = this->ChooseWorkerFor(task, eligible, step, countTasksAt);
    if (worker == nullptr) {
      ++unplaced;
      break;
    }
    this->StartTask(aCandidate, aRun, index, *worker, this->NextRunNumber(), task.checkpoint);
    aPool.free -= allocated;
  }
  if (unplaced > 0 && this->CurrentQueuePolicy(*aCandidate.job).needsAdvice) {
    this->RenewTickets(aCandidate, aRun, aPool);
    return WaitReason::Ticket;
  }
  return unplaced > 0 ? WaitReason::Room : WaitReason::None;
}

Worker*
CellScheduler::ChooseWorkerFor(const Task& aTask,
                               const std::vector<Worker*>& aEligible,
                               const StepSpecification& aStep,
                               const TaskCountFunction& aCount) const
{
  if (aTask.lastFailedWorker.IsEmpty()) {
    return ChooseWorker(aEligible, aStep, aCount);
  }
  auto others = aEligible;
  std::erase_if(others, [&aTask](const Worker* aWorker) {
    return aWorker->entry.id == aTask.lastFailedWorker;
  });
  auto* worker = ChooseWorker(others, aStep, aCount);
  return worker != nullptr ? worker : ChooseWorker(aEligible, aStep, aCount);
}

void
CellScheduler::RenewTickets(const Candidate& aCandidate, StepRun& aRun, const Pool& aPool)
{
  if (aRun.advice.requestsInFlight > 0 || aRun.advice.retryAt > this->dependencies.clock.Now()) {
    return;
  }
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const auto demand = AllocatedDemand(step);
  const auto pending = static_cast<std::size_t>(std::ranges::count_if(
    aRun.tasks, [](const Task& aTask) { return aTask.phase == TaskPhase::Waiting; }));
  std::vector<WorkerId> requested;
  std::size_t room = 0;
  for (auto* worker : this->FindEligibleWorkers(aCandidate, aRun, aPool, false)) {
    const auto fits = CountFittingTasks(*worker, demand, step.count);
    if (fits == 0 || this->HasValidTicket(aRun, worker->entry.id)) {
      continue;
    }
    requested.push_back(worker->entry.id);
    room += fits;
    // Room for two more tasks, since other steps take room in the meantime.
    if (room >= pending + 2 || requested.size() >= this->options.maxWorkersPerRequest) {
      break;
    }
  }
  if (room < pending) {
    // The known eligible workers are full; others may be eligible as well.
    std::ranges::move(
      this->ChooseWorkersForRequest(
        aCandidate, aRun, aPool, this->options.maxWorkersPerRequest - requested.size()),
      std::back_inserter(requested));
  }
  if (!requested.empty()) {
    this->RequestAdvice(aCandidate, aRun, std::move(requested));
  }
}

CellScheduler::WaitReason
CellScheduler::PlaceGang(const Candidate& aCandidate, StepRun& aRun, Pool& aPool)
{
  const auto now = this->dependencies.clock.Now();
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const bool isComplete = std::ranges::all_of(aRun.tasks, [now](const Task& aTask) {
    return aTask.phase == TaskPhase::Waiting && aTask.earliestStart <= now;
  });
  if (!isComplete) {
    return WaitReason::Members;
  }
  const auto demand = AllocatedDemand(step);
  const auto total = demand * step.count;
  const bool isReserved = aRun.reservation.has_value();
  if (isReserved && aRun.reservation->expires < now) {
    this->ReleaseReservation(aRun, step);
  }
  if (aRun.reservation) {
    this->StartReservedGang(aCandidate, aRun);
    return WaitReason::Ticket;
  }
  const bool leavesHeadroom = this->LeavesHeadroom(aCandidate, total, aPool);
  if (!leavesHeadroom || !HasRoom(aPool, step)) {
    this->EarmarkWorkersForGang(aCandidate, aRun, aPool);
    return leavesHeadroom ? WaitReason::Room : WaitReason::Headroom;
  }
  auto assigned = AssignGang(this->FindEligibleWorkers(aCandidate, aRun, aPool, true), step);
  if (assigned) {
    this->StartGang(aCandidate, aRun, *assigned);
    aPool.free -= total;
    return WaitReason::None;
  }
  if (!this->CurrentQueuePolicy(*aCandidate.job).needsAdvice) {
    this->EarmarkWorkersForGang(aCandidate, aRun, aPool);
    return WaitReason::Room;
  }
  assigned = AssignGang(this->FindEligibleWorkers(aCandidate, aRun, aPool, false), step);
  if (!assigned) {
    this->RequestMoreAdvice(aCandidate, aRun, aPool);
    this->EarmarkWorkersForGang(aCandidate, aRun, aPool);
    return aRun.advice.requestsInFlight > 0 ? WaitReason::Advice : WaitReason::Room;
  }
  this->ReserveForGang(aCandidate, aRun, *assigned);
  aPool.free -= total;
  return WaitReason::Ticket;
}

void
CellScheduler::StartGang(const Candidate& aCandidate,
                         StepRun& aRun,
                         const std::vector<Worker*>& aAssigned)
{
  const auto run = this->NextRunNumber();
  // All members must start from the same checkpoint.
  const auto checkpoint = aRun.tasks.front().checkpoint;
  for (std::uint32_t index = 0; index < aAssigned.size(); ++index) {
    this->StartTask(aCandidate, aRun, index, *aAssigned[index], run, checkpoint);
  }
}

void
CellScheduler::ReserveForGang(const Candidate& aCandidate,
                              StepRun& aRun,
                              const std::vector<Worker*>& aAssigned)
{
  // While the service is overloaded a reservation expires before its request is sent. Another
  // request would only lengthen the backlog.
  if (aRun.advice.requestsInFlight > 0 || aRun.advice.retryAt > this->dependencies.clock.Now()) {
    return;
  }
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const auto demand = AllocatedDemand(step);
  GangReservation reservation;
  std::vector<WorkerId> requested;
  for (auto* worker : aAssigned) {
    worker->reserved += demand;
    reservation.workers.push_back(worker->entry.id);
    const bool isNew = std::ranges::find(requested, worker->entry.id) == requested.end();
    if (isNew) {
      requested.push_back(worker->entry.id);
    }
  }
  const auto& advice = this->CurrentQueuePolicy(*aCandidate.job).advice;
  const auto expected = Milliseconds(static_cast<std::int64_t>(
    advice.baseMs + advice.perWorkerMs * static_cast<double>(requested.size())));
  reservation.expires = this->dependencies.clock.Now() + expected + kReservationMargin;
  aRun.reservation = std::move(reservation);
  this->RequestAdvice(aCandidate, aRun, std::move(requested));
}

void
CellScheduler::StartReservedGang(const Candidate& aCandidate, StepRun& aRun)
{
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  std::vector<Worker*> assigned;
  for (const auto& id : aRun.reservation->workers) {
    const auto found = this->workers.find(id);
    if (found == this->workers.end() || !this->IsUsable(*found->second)) {
      this->ReleaseReservation(aRun, step);
      return;
    }
    if (!this->HasValidTicket(aRun, id)) {
      return;
    }
    assigned.push_back(found->second.get());
  }
  this->ReleaseReservation(aRun, step);
  this->StartGang(aCandidate, aRun, assigned);
}

void
CellScheduler::ReleaseReservation(StepRun& aRun, const StepSpecification& aStep)
{
  if (!aRun.reservation) {
    return;
  }
  const auto demand = AllocatedDemand(aStep);
  for (const auto& id : aRun.reservation->workers) {
    const auto worker = this->workers.find(id);
    if (worker != this->workers.end()) {
      worker->second->reserved -= demand;
    }
  }
  aRun.reservation.reset();
}

void
CellScheduler::EarmarkWorkersForGang(const Candidate& aCandidate,
                                     const StepRun& aRun,
                                     const Pool& aPool)
{
  const bool isOnTime =
    aCandidate.priorityKey < static_cast<std::int64_t>(PriorityClass::Late) * kPriorityClassSpan;
  if (this->gangsWithEarmarkedWorkers >= kMaxGangsWithEarmarkedWorkers || !isOnTime) {
    return;
  }
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const auto demand = AllocatedDemand(step);
  auto workers = this->FindEligibleWorkers(aCandidate, aRun, aPool, false);
  std::ranges::stable_sort(workers, std::greater{}, [](const Worker* aWorker) {
    return aWorker->FreeResources().milliCores;
  });
  std::uint32_t slots = 0;
  ++this->gangsWithEarmarkedWorkers;
  for (const auto* worker : workers) {
    if (slots >= step.count) {
      return;
    }
    Worker empty;
    empty.entry.capacity = worker->entry.capacity;
    slots += CountFittingTasks(empty, demand, step.count);
    this->earmarkedWorkers.insert(worker->entry.id);
  }
}

std::vector<WorkerId>
CellScheduler::ChooseWorkersForRequest(const Candidate& aCandidate,
                                       const StepRun& aRun,
                                       const Pool& aPool,
                                       std::size_t aMax) const
{
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const auto demand = AllocatedDemand(step);
  std::vector<std::pair<std::uint32_t, const Worker*>> workers;
  std::uint32_t knownRoom = 0;
  for (const auto* worker : aPool.workers) {
    const auto room = CountFittingTasks(*worker, demand, step.count);
    // A worker without room matters only to a gang, for which eligible workers are earmarked.
    if ((room == 0 && !step.isGang) || !HasRequiredLabel(*worker, step)) {
      continue;
    }
    if (!aRun.advice.requestedWorkers.contains(worker->entry.id)) {
      workers.emplace_back(room, worker);
    } else if (aRun.advice.tickets.contains(worker->entry.id)) {
      knownRoom += room;
    }
  }
  std::ranges::stable_sort(workers, std::greater{}, [](const auto& aEntry) {
    return std::pair(aEntry.first, aEntry.second->FreeResources().milliCores);
  });
  const auto known = this->eligibleFractions.find(this->CurrentQueuePolicy(*aCandidate.job).name);
  const double eligibleFraction =
    known == this->eligibleFractions.end() ? kDefaultEligibleFraction : known->second;
  const double wantedRoom = static_cast<double>(step.count) * this->options.adviceRoomFactor;
  double expectedRoom = knownRoom;
  std::vector<WorkerId> named;
  for (const auto& [room, worker] : workers) {
    const bool isEnough =
      expectedRoom >= wantedRoom && named.size() >= this->options.minWorkersPerRequest;
    if (isEnough || named.size() == aMax) {
      break;
    }
    expectedRoom += eligibleFraction * room;
    named.push_back(worker->entry.id);
  }
  return named;
}

void
CellScheduler::RequestMoreAdvice(const Candidate& aCandidate, StepRun& aRun, const Pool& aPool)
{
  if (aRun.advice.requestsInFlight > 0 || aRun.advice.retryAt > this->dependencies.clock.Now()) {
    return;
  }
  // A gang needs room at many workers at once, so it sends several requests if there are instances
  // free to send them.
  const bool isGang = aCandidate.job->spec.steps[aCandidate.step].isGang;
  const auto requests = isGang
                          ? std::clamp<std::size_t>(
                              this->adviceDispatcher->CountFreeLongSlots(), 1, kMaxRequestsPerGang)
                          : 1;
  const auto maxWorkers = this->options.maxWorkersPerRequest;
  const auto named = this->ChooseWorkersForRequest(aCandidate, aRun, aPool, maxWorkers * requests);
  if (named.empty()) {
    return;
  }
  const auto batches = (named.size() + maxWorkers - 1) / maxWorkers;
  const auto size = (named.size() + batches - 1) / batches;
  for (std::size_t begin = 0; begin < named.size(); begin += size) {
    const auto end = std::min(begin + size, named.size());
    this->RequestAdvice(aCandidate,
                        aRun,
                        { named.begin() + static_cast<std::ptrdiff_t>(begin),
                          named.begin() + static_cast<std::ptrdiff_t>(end) });
  }
}

void
CellScheduler::RequestAdvice(const Candidate& aCandidate,
                             StepRun& aRun,
                             std::vector<WorkerId> aWorkers)
{
  const auto now = this->dependencies.clock.Now();
  const auto& advicePolicy = this->CurrentQueuePolicy(*aCandidate.job).advice;
  const StepName name{ aCandidate.job->spec.id, aCandidate.occurrence, aCandidate.step };
  const auto expected = Milliseconds(static_cast<std::int64_t>(
    advicePolicy.baseMs + advicePolicy.perWorkerMs * static_cast<double>(aWorkers.size())));
  ++aRun.advice.requestsInFlight;
  auto requested = aWorkers;
  aRun.advice.requestedWorkers.insert(requested.begin(), requested.end());
  this->adviceDispatcher->Submit(
    { .step = name, .workers = std::move(aWorkers), .expectedDuration = expected },
    aCandidate.priorityKey,
    now,
    [this,
     guard = std::weak_ptr<bool>(this->livenessToken),
     name,
     requested = std::move(requested)](Result<AdviceResponse> aResponse) {
      if (!guard.expired() && !this->hasLostLeadership) {
        this->OnAdviceResponse(name, requested, aResponse);
      }
    });
}

void
CellScheduler::OnAdviceResponse(const StepName& aStep,
                                const std::vector<WorkerId>& aRequested,
                                const Result<AdviceResponse>& aResponse)
{
  const auto now = this->dependencies.clock.Now();
  auto* job = this->FindJob(aStep.job);
  if (job == nullptr || job->outcome != JobOutcome::Active) {
    return;
  }
  auto& run = job->occurrences.at(aStep.occurrence).steps[aStep.step];
  --run.advice.requestsInFlight;
  if (IsError(aResponse)) {
    run.advice.retryAt = now + kAdviceRetryDelay;
    for (const auto& worker : aRequested) {
      if (!run.advice.tickets.contains(worker)) {
        run.advice.requestedWorkers.erase(worker);
      }
    }
    this->ReleaseReservation(run, job->spec.steps[aStep.step]);
    this->dependencies.log.Log(LogLevel::Info,
                               "advice_failed",
                               { { "job", aStep.job.value },
                                 { "step", aStep.step },
                                 { "reason", ErrorOf(aResponse).message } });
    return;
  }
  const auto validity = this->CurrentQueuePolicy(*job).advice.ticketValidity;
  if (!run.advice.hasResponse && !aRequested.empty()) {
    const auto& queue = this->CurrentQueuePolicy(*job).name;
    auto& fraction =
      this->eligibleFractions.try_emplace(queue, kDefaultEligibleFraction).first->second;
    fraction += kEligibleFractionWeight * (static_cast<double>(ValueOf(aResponse).tickets.size()) /
                                             static_cast<double>(aRequested.size()) -
                                           fraction);
  }
  for (const auto& ticket : ValueOf(aResponse).tickets) {
    // The margin of a ticket covers the transit of the response from the instance that made the
    // call.
    run.advice.tickets[ticket.worker] = { .text = ticket.text, .expires = now + validity };
  }
  run.advice.hasResponse = true;
  run.advice.hasNewResponse = true;
  this->dependencies.log.Log(LogLevel::Info,
                             "advice_taken",
                             { { "job", aStep.job.value },
                               { "step", aStep.step },
                               { "asked", aRequested.size() },
                               { "good", ValueOf(aResponse).tickets.size() } });
  this->isPlacementDue = true;
  this->NotifyPlacementDue();
}

void
CellScheduler::NotifyPlacementDue()
{
  if (this->dependencies.onPlacementDue) {
    this->dependencies.onPlacementDue();
  }
}

void
CellScheduler::StartTask(const Candidate& aCandidate,
                         StepRun& aRun,
                         std::uint32_t aIndex,
                         Worker& aWorker,
                         std::uint64_t aRunNumber,
                         const std::string& aCheckpoint)
{
  const auto now = this->dependencies.clock.Now();
  auto& job = *aCandidate.job;
  const auto& step = job.spec.steps[aCandidate.step];
  auto& task = aRun.tasks[aIndex];
  task.phase = TaskPhase::Placed;
  task.run = aRunNumber;
  task.worker = aWorker.entry.id;
  const TaskName name{ job.spec.id, { aCandidate.occurrence, aCandidate.step, aIndex } };
  const auto demand = AllocatedDemand(step);
  aWorker.allocations.push_back({ .task = name,
                                  .run = aRunNumber,
                                  .demand = demand,
                                  .workspace = job.spec.workspace,
                                  .phase = RunPhase::Starting,
                                  .phaseSince = now,
                                  .startedAt = now,
                                  .isService = step.isService,
                                  .isBestEffort = step.isBestEffort,
                                  .tailLatencyTarget = step.tailLatencyTarget,
                                  .lastProgress = now,
                                  .checkpoint = aCheckpoint,
                                  .estimate = step.estimate });
  aWorker.used += demand;
  this->runningUsage[job.spec.workspace] += demand;
  const auto ticket = aRun.advice.tickets.find(aWorker.entry.id);
  StartOrder order{ .target = this->MakeOrderTarget(aWorker),
                    .task = name,
                    .run = aRunNumber,
                    .payload = job.spec.payload,
                    .leaseDeadline = this->ExtendLease(aWorker),
                    .checkpoint = aCheckpoint,
                    .ticket = ticket == aRun.advice.tickets.end() ? "" : ticket->second.text };
  this->dependencies.log.Log(LogLevel::Info,
                             "run_started",
                             { { "job", job.spec.id.value },
                               { "step", aCandidate.step },
                               { "index", aIndex },
                               { "run", aRunNumber },
                               { "worker", aWorker.entry.id.value },
                               { "age_ms", (now - job.receivedAt).count() } });
  this->dependencies.workers.Start(std::move(order),
                                   [this,
                                    guard = std::weak_ptr<bool>(this->livenessToken),
                                    id = aWorker.entry.id,
                                    name,
                                    aRunNumber](Result<OrderResult> aResult) {
                                     if (!guard.expired() && !this->hasLostLeadership) {
                                       this->OnStartResult(id, name, aRunNumber, aResult);
                                     }
                                   });
}

void
CellScheduler::OnStartResult(const WorkerId& aWorker,
                             const TaskName& aTask,
                             std::uint64_t aRun,
                             const Result<OrderResult>& aResult)
{
  const auto now = this->dependencies.clock.Now();
  const auto found = this->workers.find(aWorker);
  auto* allocation =
    found != this->workers.end() ? found->second->FindAllocation(aTask, aRun) : nullptr;
  if (allocation == nullptr) {
    return;
  }
  auto& worker = *found->second;
  if (IsError(aResult) && ErrorOf(aResult).run != RunState::NotRun) {
    if (allocation->phase == RunPhase::Starting) {
      allocation->phase = RunPhase::Uncertain;
      allocation->phaseSince = now;
      worker.nextRenewal = std::min(worker.nextRenewal, now);
    }
    return;
  }
  const auto result = IsError(aResult) ? OrderResult::Rejected : ValueOf(aResult);
  if (result == OrderResult::Accepted) {
    if (allocation->phase == RunPhase::Starting || allocation->phase == RunPhase::Uncertain) {
      allocation->phase = RunPhase::Running;
      allocation->phaseSince = now;
    }
    if (auto* job = this->FindJob(aTask.job)) {
      this->MarkJobStarted(*job);
    }
    return;
  }
  this->OnStartRejected(worker, aTask, aRun, result);
}

void
CellScheduler::OnStartRejected(Worker& aWorker,
                               const TaskName& aTask,
                               std::uint64_t aRun,
                               OrderResult aResult)
{
  const auto now = this->dependencies.clock.Now();
  this->dependencies.log.Log(LogLevel::Warning,
                             "start_refused",
                             { { "job", aTask.job.value },
                               { "step", aTask.key.step },
                               { "index", aTask.key.index },
                               { "run", aRun },
                               { "worker", aWorker.entry.id.value },
                               { "answer", static_cast<int>(aResult) } });
  if (aResult == OrderResult::Fenced) {
    this->StepDown("a worker has seen a higher fencing token");
    return;
  }
  if (aResult == OrderResult::WrongIncarnation) {
    this->OnWorkerRestarted(aWorker, "other_life");
    return;
  }
  auto* job = this->FindJob(aTask.job);
  if (aResult == OrderResult::InvalidTicket && job != nullptr) {
    const auto occurrence = job->occurrences.find(aTask.key.occurrence);
    if (occurrence != job->occurrences.end()) {
      auto& tickets = occurrence->second.steps[aTask.key.step].advice.tickets;
      const auto ticket = tickets.find(aWorker.entry.id);
      if (ticket != tickets.end()) {
        ticket->second.expires = now;
      }
    }
  }
  if (aResult == OrderResult::Rejected || aResult == OrderResult::InsufficientCapacity) {
    aWorker.avoidUntil = std::max(aWorker.avoidUntil, now + kRejectionAvoidance);
  }
  aWorker.nextRenewal = std::min(aWorker.nextRenewal, now);
  this->ReleaseAllocation(aWorker, aTask, aRun);
  this->RequeueRun(aTask, aRun);
  if (job != nullptr) {
    this->StopGang(*job, aTask.key.occurrence, aTask.key.step, aRun);
  }
}

}
