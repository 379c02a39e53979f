#include <LibCell/CellScheduler.h>
#include <LibCell/Placement.h>
#include <LibCell/PlacementOrder.h>
#include <LibCell/Standstill.h>

#include <algorithm>
#include <functional>

namespace zinc::cell {

namespace {

/// A ticket that expires sooner than this would not reach the worker in time.
constexpr Milliseconds kTicketMargin{ 40 };
/// After this many steps of a workspace in a row that exceed its limit, a round only looks at the
/// limit for the rest of the workspace.
constexpr std::uint32_t kMaxAttemptsBeyondLimit = 64;
/// Placement attempts between two looks at the clock.
constexpr std::uint32_t kAttemptsPerTimeCheck = 16;

}

Pool*
CellScheduler::FindPool(const std::string& aName)
{
  const auto found = this->pools.find(aName);
  return found == this->pools.end() ? nullptr : &found->second;
}

bool
CellScheduler::IsUsable(const Worker& aWorker, TimePoint aNow) const
{
  // The row of the previous incarnation says nothing about this one's capacity, labels or pool.
  const bool hasCurrentRow =
    aWorker.entry.incarnation == 0 || aWorker.entry.incarnation >= aWorker.incarnation;
  const bool isEvacuated =
    this->evacuatedZones && this->evacuatedZones->IsEvacuated(aWorker.entry.zone);
  return !isEvacuated && aWorker.isListed && hasCurrentRow && !aWorker.entry.isDraining &&
         aWorker.reachability == WorkerReachability::Reachable && aWorker.isClockKnown &&
         aWorker.failedRenewals == 0 && aWorker.avoidUntil <= aNow &&
         aWorker.runsOfUnknownDemand == 0 && aWorker.isPublished && !aWorker.isLeaseSuspended &&
         !aWorker.fence.AwaitsToken();
}

void
CellScheduler::BuildPools()
{
  this->pools.clear();
  ++this->placementRound;
  for (auto* worker : this->workers.All()) {
    if (worker->isListed && this->evacuatedZones->IsEvacuated(worker->entry.zone)) {
      this->pools[worker->entry.pool].evacuated.push_back(worker);
    }
    if (!this->IsUsable(*worker, this->roundBegin)) {
      continue;
    }
    worker->pooledInRound = this->placementRound;
    this->pools[worker->entry.pool].workers.push_back(worker);
  }
  for (auto& [name, pool] : this->pools) {
    this->evacuatedZones->WithholdColdCapacity(pool.workers, this->roundBegin);
    for (const auto* worker : pool.workers) {
      pool.capacity += worker->entry.capacity;
      pool.free += worker->FreeResources();
    }
    this->rankings.OnPoolBuilt(name, pool.workers, this->roundBegin);
  }
}

void
CellScheduler::RecordHeldSteps()
{
  if (this->unreadWorkers.IsEmpty()) {
    return;
  }
  const bool areAllHeld = !this->HasReadEnoughWorkers();
  for (const auto& candidate : this->CollectCandidates(HeldSteps::Included)) {
    if (areAllHeld || candidate.job->IsHeld(*candidate.run)) {
      this->load.RecordStandstill(candidate, WaitReason::Reports, this->roundBegin);
    }
  }
}

std::vector<Candidate>
CellScheduler::CollectCandidates(HeldSteps aHeldSteps)
{
  std::vector<Candidate> candidates;
  for (const auto& [id, job] : this->activeJobs) {
    const auto& queue = this->CurrentQueuePolicy(*job);
    for (auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        auto& run = occurrence.steps[step];
        const bool isExcluded = aHeldSteps == HeldSteps::Excluded && job->IsHeld(run);
        if (!run.IsPending() || isExcluded) {
          continue;
        }
        candidates.push_back({ .job = job,
                               .occurrence = number,
                               .step = step,
                               .run = &run,
                               .specification = &job->spec.steps[step],
                               .queue = &queue });
      }
    }
  }
  return candidates;
}

void
CellScheduler::OrderCandidates(std::vector<Candidate>& aCandidates) const
{
  for (auto& candidate : aCandidates) {
    const auto& occurrence = candidate.job->occurrences.at(candidate.occurrence);
    candidate.priorityKey =
      ComputePriorityKey({ .now = this->roundBegin,
                           .queuePriority = candidate.queue->priority,
                           .isService = candidate.specification->isService,
                           .isBeyondWeight = candidate.job->isBeyondWeight,
                           .objective = occurrence.objective,
                           .deadline = occurrence.deadline,
                           .criticalPath = candidate.job->criticalPaths[candidate.step] });
  }
  std::ranges::stable_sort(aCandidates, {}, &Candidate::priorityKey);
}

void
CellScheduler::RunPlacementRound()
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Placement);
  const auto now = this->dependencies.clock.Now();
  this->lastPlacement = now;
  this->roundBegin = now;
  this->isPlacementDue = false;
  this->RecordHeldSteps();
  if (now >= this->termEnd || !this->evacuatedZones || !this->HasReadEnoughWorkers()) {
    return;
  }
  this->EstimateUnreadUsage();
  this->isGangRound = now >= this->nextGangPlacement;
  for (auto& [id, usage] : this->workspaces) {
    usage.attemptsBeyondLimit = 0;
    usage.awaitingRecords = {};
    if (this->isGangRound) {
      usage.reservedForGang.reset();
    }
  }
  if (this->isGangRound) {
    this->nextGangPlacement = now + this->options.gangPlacementInterval;
    this->gangEarmarks.BeginRound();
  }
  auto candidates = this->CollectCandidates(HeldSteps::Excluded);
  std::erase_if(candidates, [this](const Candidate& aCandidate) {
    return !this->NeedsPlacementAttempt(aCandidate);
  });
  if (candidates.empty()) {
    return;
  }
  this->BuildPools();
  this->OrderCandidates(candidates);
  if (this->lastTruncatedRound + 1 == this->placementRound) {
    SortByTurn(candidates);
  }
  this->PlaceCandidates(candidates);
  const auto end = this->dependencies.clock.Now();
  this->load.CountPlacement(end - now);
  // Bounds the duty cycle of placement, so that a long backlog leaves time for the workers.
  this->nextPlacement = end + (end - now) * this->options.placementIdleFactor;
}

void
CellScheduler::PlaceCandidates(std::span<const Candidate> aCandidates)
{
  std::uint32_t attempts = 0;
  for (const auto& candidate : aCandidates) {
    // Most of the remaining steps of a workspace at its limit would not fit either.
    auto& consecutive = candidate.job->workspaceUsage->attemptsBeyondLimit;
    if (consecutive >= kMaxAttemptsBeyondLimit && !this->FitsIntoLimit(candidate)) {
      this->load.CountAttempt(WaitReason::Limit);
      this->load.RecordStandstill(candidate, WaitReason::Limit, this->roundBegin);
      continue;
    }
    candidate.run->lastRound = this->placementRound;
    const auto reason = this->PlaceStep(candidate);
    consecutive = reason == WaitReason::Limit ? consecutive + 1 : 0;
    this->load.CountAttempt(reason);
    this->load.LogLongWait(candidate, reason, this->roundBegin);
    this->load.RecordStandstill(candidate, reason, this->roundBegin);
    // The rest is left to the next round, so that a long round does not delay other work.
    const bool isLong =
      ++attempts % kAttemptsPerTimeCheck == 0 &&
      this->dependencies.clock.Now() - this->roundBegin > this->options.maxPlacementDuration;
    if (this->hasLostLeadership || isLong) {
      this->load.CountTruncatedPlacement();
      this->lastTruncatedRound = this->placementRound;
      return;
    }
  }
}

bool
CellScheduler::NeedsPlacementAttempt(const Candidate& aCandidate) const
{
  const auto& run = *aCandidate.run;
  if (run.advice.hasNewResponse || run.reservation) {
    return true;
  }
  // A step cannot be placed before its first advice.
  const bool awaitsFirstAdvice = !run.advice.hasResponse && run.advice.requestsInFlight > 0;
  const bool isGang = aCandidate.specification->isGang;
  return !awaitsFirstAdvice && (this->isGangRound || !isGang);
}

WaitReason
CellScheduler::PlaceStep(const Candidate& aCandidate)
{
  auto& run = *aCandidate.run;
  const auto& step = *aCandidate.specification;
  const auto& queue = *aCandidate.queue;
  auto* pool = this->FindPool(queue.pool);
  if (pool == nullptr) {
    return WaitReason::NoWorkers;
  }
  run.advice.hasNewResponse = false;
  if (NeedsEvacuatedWorkers(aCandidate, pool->workers, pool->evacuated)) {
    this->ReleaseReservation(run, step, ReservationEnd::Evacuated);
    return WaitReason::Evacuated;
  }
  if (pool->workers.empty()) {
    return WaitReason::NoWorkers;
  }
  // Tickets expire soon, so none are requested for a step that cannot start for another reason.
  if (!this->FitsIntoLimit(aCandidate)) {
    this->ReserveLimitForGang(aCandidate);
    return WaitReason::Limit;
  }
  const bool needsAdvice = queue.needsAdvice && !run.advice.hasResponse;
  // The record is stored while the policy service responds. Batch gangs wait for long, and many
  // wait at a change of leader: they are recorded once there is room for them, which is kept
  // meanwhile.
  const bool recordsStart = !step.isGang || !this->IsNonUrgent(aCandidate);
  if (needsAdvice) {
    // Tickets expire soon, so none are requested for steps far back in the queue.
    const auto duration = ExpectedDuration(queue.advice, this->options.minWorkersPerRequest);
    const bool isTooEarly =
      this->adviceDispatcher->IsSaturated(duration) && this->IsNonUrgent(aCandidate);
    if (!isTooEarly) {
      if (recordsStart) {
        this->RecordStepStart(*aCandidate.job, run);
      }
      this->RequestMoreAdvice(aCandidate, *pool);
    }
    return WaitReason::Advice;
  }
  if (recordsStart && !this->MayStartTasksOf(aCandidate)) {
    // Steps that exceed the limit together are not recorded together.
    aCandidate.job->workspaceUsage->awaitingRecords += AllocatedDemand(step) * run.waitingTasks;
    return WaitReason::Record;
  }
  return step.isGang ? this->PlaceGang(aCandidate, *pool) : this->PlaceTasks(aCandidate, *pool);
}

bool
CellScheduler::MayStartTasksOf(const Candidate& aCandidate)
{
  this->RecordStepStart(*aCandidate.job, *aCandidate.run);
  return aCandidate.job->IsStartStored(*aCandidate.run) ||
         this->startRecords.AllowsUnrecordedStart(this->roundBegin);
}

bool
CellScheduler::IsTicketValid(const CachedTicket* aTicket) const
{
  return aTicket != nullptr && aTicket->expires > this->roundBegin + kTicketMargin;
}

std::vector<Worker*>
CellScheduler::FindEligibleWorkers(const Candidate& aCandidate,
                                   const Pool& aPool,
                                   bool aNeedsTicket) const
{
  const auto& step = *aCandidate.specification;
  const bool leavesEarmarked =
    this->IsNonUrgent(aCandidate) && !HasStoodStill(*aCandidate.run, this->options.maxReserveWait);
  std::vector<Worker*> eligible;
  const auto addIfEligible = [&](Worker* aWorker) {
    const bool isEarmarked =
      leavesEarmarked && aWorker->earmarkedInGangRound == this->gangEarmarks.round;
    const bool isAvoided = aWorker->avoidUntil > this->roundBegin;
    if (!isEarmarked && !isAvoided && HasRequiredLabel(*aWorker, step)) {
      eligible.push_back(aWorker);
    }
  };
  if (!aCandidate.queue->needsAdvice) {
    std::ranges::for_each(aPool.workers, addIfEligible);
    return eligible;
  }
  // Often few workers are eligible: looking these up is cheaper than scanning the pool.
  for (const auto& ticket : aCandidate.run->advice.Tickets()) {
    auto* worker = this->workers.FindByNumber(ticket.worker);
    const bool isInPool = worker != nullptr && worker->pooledInRound == this->placementRound &&
                          worker->entry.pool == aCandidate.queue->pool;
    if (isInPool && (!aNeedsTicket || this->IsTicketValid(&ticket))) {
      addIfEligible(worker);
    }
  }
  return eligible;
}

bool
CellScheduler::IsNonUrgent(const Candidate& aCandidate) const
{
  return IsAtOrAfter(aCandidate.priorityKey, PriorityClass::OnTime);
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
  if (aPool.free.milliCores - aDemand.milliCores >= headroom) {
    return true;
  }
  if (!HasStoodStill(*aCandidate.run, this->options.maxReserveWait)) {
    return false;
  }
  const auto& step = *aCandidate.specification;
  const std::uint32_t twice = 2 * (step.isGang ? step.count : 1);
  return CountRoom(this->FindEligibleWorkers(aCandidate, aPool, false), step, twice) >= twice;
}

bool
CellScheduler::HasEarmarkedRoom(const Candidate& aCandidate) const
{
  if (!this->IsNonUrgent(aCandidate) ||
      HasStoodStill(*aCandidate.run, this->options.maxReserveWait)) {
    return false;
  }
  const auto& step = *aCandidate.specification;
  const auto demand = AllocatedDemand(step);
  const std::uint32_t needed = step.isGang ? step.count : 1;
  std::uint32_t room = 0;
  for (const auto number : this->gangEarmarks.workers) {
    const auto* worker = this->workers.FindByNumber(number);
    const bool isAdmitted =
      !aCandidate.queue->needsAdvice || aCandidate.run->advice.FindTicket(number) != nullptr;
    if (worker != nullptr && isAdmitted && HasRequiredLabel(*worker, step)) {
      room += CountFittingTasks(*worker, demand, needed);
    }
  }
  return room >= needed;
}

WaitReason
CellScheduler::PlaceTasks(const Candidate& aCandidate, Pool& aPool)
{
  const auto& step = *aCandidate.specification;
  auto& run = *aCandidate.run;
  // Limits also count the processors of best-effort tasks, which do run.
  const auto allocated = AllocatedDemand(step);
  if (!aPool.HasRoomFor(step)) {
    return WaitReason::Room;
  }
  if (!this->LeavesHeadroom(aCandidate, allocated, aPool)) {
    return WaitReason::Headroom;
  }
  const auto eligible = this->FindEligibleWorkers(aCandidate, aPool, true);
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
  std::vector<WorkerId> recordedWorkers;
  for (auto next = run.tasks.FindWaiting(0); next; next = run.tasks.FindWaiting(*next + 1)) {
    const auto index = *next;
    const auto& task = run.tasks.Look(index);
    if (task.earliestStart > this->roundBegin) {
      continue;
    }
    if (!this->FitsIntoLimit(aCandidate)) {
      return WaitReason::Limit;
    }
    if (!this->LeavesHeadroom(aCandidate, allocated, aPool)) {
      return WaitReason::Headroom;
    }
    auto* worker = this->ChooseWorkerFor(aCandidate, task, eligible, countTasksAt);
    if (worker == nullptr) {
      ++unplaced;
      break;
    }
    if (!aCandidate.job->isCrashSuspect) {
      this->StartTask(aCandidate, index, *worker, this->NextRunNumber(), task.checkpoint);
      aPool.free -= allocated;
      continue;
    }
    // A record takes no room, so there is one for each worker at a time.
    const bool isWorkerTaken =
      std::ranges::find(recordedWorkers, worker->entry.id) != recordedWorkers.end();
    if (task.recordedStartChange == 0 && isWorkerTaken) {
      continue;
    }
    if (!this->StartRecordedTask(aCandidate, index, *worker, eligible, countTasksAt)) {
      recordedWorkers.push_back(run.tasks.Look(index).recordedStart->worker);
      continue;
    }
    aPool.free -= allocated;
  }
  if (!recordedWorkers.empty()) {
    return WaitReason::Record;
  }
  if (unplaced > 0 && this->HasEarmarkedRoom(aCandidate)) {
    return WaitReason::Earmark;
  }
  if (unplaced > 0 && aCandidate.queue->needsAdvice) {
    this->RenewTickets(aCandidate, aPool);
    return WaitReason::Ticket;
  }
  return unplaced > 0 ? WaitReason::Room : WaitReason::None;
}

Worker*
CellScheduler::ChooseWorkerFor(const Candidate& aCandidate,
                               const Task& aTask,
                               const std::vector<Worker*>& aEligible,
                               const TaskCountFunction& aCount)
{
  const auto& step = *aCandidate.specification;
  const auto& job = *aCandidate.job;
  const auto& ranking = this->rankings.Select(aCandidate, this->roundBegin);
  if (aTask.lastFailedWorker.IsEmpty() && !job.isCrashSuspect) {
    return ChooseWorker(aEligible, step, aCount, ranking);
  }
  auto others = this->KeepSuspectsApart(job, aEligible);
  std::erase_if(others, [&aTask](const Worker* aWorker) {
    return aWorker->entry.id == aTask.lastFailedWorker;
  });
  auto* worker = ChooseWorker(others, step, aCount, ranking);
  return worker != nullptr ? worker : ChooseWorker(aEligible, step, aCount, ranking);
}

void
CellScheduler::NotifyPlacementDue()
{
  if (this->dependencies.onPlacementDue) {
    this->dependencies.onPlacementDue();
  }
}

}
