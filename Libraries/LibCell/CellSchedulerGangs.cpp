#include <LibCell/CellScheduler.h>
#include <LibCell/GangPreemption.h>
#include <LibCell/GangTickets.h>
#include <LibCell/Placement.h>
#include <LibCell/PlacementOrder.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// A reservation expires if its tickets are this much later than expected.
constexpr Milliseconds kReservationMargin{ 700 };
/// Time from the end of a preempted run to the report that lists it.
constexpr Milliseconds kStopReportDelay{ 250 };
/// Gangs for which workers are kept free of batch tasks at the same time.
constexpr std::size_t kMaxGangsWithEarmarkedWorkers = 5;

}

WaitReason
CellScheduler::PlaceGang(const Candidate& aCandidate, Pool& aPool)
{
  const auto now = this->roundBegin;
  const auto& step = *aCandidate.specification;
  auto& run = *aCandidate.run;
  if (!run.tasks.AreDue(now)) {
    return WaitReason::Members;
  }
  const auto demand = AllocatedDemand(step);
  const auto total = demand * step.count;
  if (run.reservation) {
    if (run.reservation->expires < now) {
      this->ReleaseReservation(run, step, ReservationEnd::Expired);
    } else if (this->StartReservedGang(aCandidate)) {
      return WaitReason::None;
    }
    if (run.reservation) {
      return WaitReason::Ticket;
    }
    aPool.free += total;
  }
  const bool hasRoom = aPool.HasRoomFor(step);
  if (!hasRoom || !this->LeavesHeadroom(aCandidate, total, aPool)) {
    // A gang for which tasks are stopped may use the headroom.
    if (this->PreemptForGang(aCandidate, aPool)) {
      return WaitReason::Ticket;
    }
    this->EarmarkWorkersForGang(aCandidate, aPool);
    return hasRoom ? WaitReason::Headroom : WaitReason::Room;
  }
  auto assigned =
    this->AssignGangTo(aCandidate, this->FindEligibleWorkers(aCandidate, aPool, true));
  if (assigned && !this->MayStartTasksOf(aCandidate)) {
    // Other tasks must take neither the room nor the limit until the record is stored.
    this->ReserveLimitForGang(aCandidate);
    this->ReserveForGang(aCandidate, *assigned, Milliseconds{ 0 });
    aPool.free -= total;
    return WaitReason::Record;
  }
  if (assigned) {
    aPool.free -= total;
    return this->StartGang(aCandidate, *assigned) ? WaitReason::None : WaitReason::Record;
  }
  if (!aCandidate.queue->needsAdvice) {
    this->EarmarkWorkersForGang(aCandidate, aPool);
    return WaitReason::Room;
  }
  assigned = this->AssignGangTo(aCandidate, this->FindEligibleWorkers(aCandidate, aPool, false));
  if (!assigned) {
    if (this->PreemptForGang(aCandidate, aPool)) {
      return WaitReason::Ticket;
    }
    this->RequestMoreAdvice(aCandidate, aPool);
    this->EarmarkWorkersForGang(aCandidate, aPool);
    return run.advice.requestsInFlight > 0 ? WaitReason::Advice : WaitReason::Room;
  }
  this->ReserveForGang(aCandidate, *assigned, Milliseconds{ 0 });
  aPool.free -= total;
  return WaitReason::Ticket;
}

std::optional<std::vector<Worker*>>
CellScheduler::AssignGangTo(const Candidate& aCandidate, const std::vector<Worker*>& aEligible)
{
  const auto& step = *aCandidate.specification;
  const auto& ranking = this->rankings.Select(aCandidate, this->roundBegin);
  if (aCandidate.job->isCrashSuspect) {
    if (auto recorded = this->FindRecordedGang(aCandidate, aEligible)) {
      return recorded;
    }
    if (auto apart =
          AssignGang(this->KeepSuspectsApart(*aCandidate.job, aEligible), step, ranking)) {
      return apart;
    }
  }
  return AssignGang(aEligible, step, ranking);
}

bool
CellScheduler::StartGang(const Candidate& aCandidate, std::span<Worker* const> aAssigned)
{
  if (!this->MayStartTasksOf(aCandidate)) {
    return false;
  }
  auto run = this->NextRunNumber();
  if (aCandidate.job->isCrashSuspect) {
    if (!this->IsGangRecorded(aCandidate, aAssigned)) {
      this->RecordGangStart(aCandidate, aAssigned, run);
      return false;
    }
    run = aCandidate.run->tasks.Look(0).recordedStart->run;
  }
  // All members must start from the same checkpoint.
  const auto checkpoint = aCandidate.run->tasks.Look(0).checkpoint;
  for (std::uint32_t index = 0; index < aAssigned.size(); ++index) {
    this->StartTask(aCandidate, index, *aAssigned[index], run, checkpoint);
  }
  aCandidate.run->hasTriedReservation = false;
  return true;
}

void
CellScheduler::ReserveForGang(const Candidate& aCandidate,
                              std::span<Worker* const> aAssigned,
                              Milliseconds aStartDelay)
{
  auto& run = *aCandidate.run;
  // While the service is overloaded a reservation expires before its request is sent. Another
  // request would only lengthen the backlog.
  if (run.advice.requestsInFlight > 0 || run.advice.retryAt > this->roundBegin) {
    return;
  }
  // The record is stored while the tickets are requested.
  this->RecordStepStart(*aCandidate.job, run);
  const auto demand = AllocatedDemand(*aCandidate.specification);
  GangReservation reservation;
  for (auto* worker : aAssigned) {
    worker->reserved += demand;
    reservation.workers.push_back(worker->number);
  }
  if (!aCandidate.queue->needsAdvice) {
    reservation.expires = this->roundBegin + aStartDelay + kReservationMargin;
    run.reservation = std::move(reservation);
    return;
  }
  const auto plan = PlanGangTickets(run.advice,
                                    reservation.workers,
                                    { .policy = aCandidate.queue->advice,
                                      .maxWorkersPerRequest = this->options.maxWorkersPerRequest,
                                      .startDelay = aStartDelay,
                                      .renewsAll = run.hasTriedReservation },
                                    this->roundBegin);
  // Responses may be late; a second attempt must not depend on when.
  run.hasTriedReservation = run.hasTriedReservation || !plan.requests.empty();
  reservation.expires = this->roundBegin + plan.expectedStart + kReservationMargin;
  run.reservation = std::move(reservation);
  for (const auto& workers : plan.requests) {
    this->RequestAdvice(aCandidate, workers);
  }
}

bool
CellScheduler::IsPreemptibleFor(const Candidate& aGang, const Allocation& aAllocation)
{
  const auto* task = this->FindTask(aAllocation.task);
  if (task == nullptr) {
    return false;
  }
  const auto& job = *this->FindJob(aAllocation.task.job);
  const auto& key = aAllocation.task.key;
  const auto objective = job.occurrences.at(key.occurrence).objective;
  return IsPreemptible(job.spec.steps[key.step],
                       { .now = this->roundBegin,
                         .gangPriority = aGang.queue->priority,
                         .runPriority = this->CurrentQueuePolicy(job).priority,
                         .phase = aAllocation.phase,
                         .latestStart = objective - job.criticalPaths[key.step],
                         .preemptions = task->preemptions });
}

bool
CellScheduler::PreemptForGang(const Candidate& aCandidate, const Pool& aPool)
{
  const auto& advice = aCandidate.run->advice;
  const bool isOnTime = !IsAtOrAfter(aCandidate.priorityKey, PriorityClass::Late);
  const bool isWorthStops = IsWorthStops(*aCandidate.specification, this->options.maxStopDuration);
  if (!isOnTime || !isWorthStops || aCandidate.job->isCrashSuspect || advice.requestsInFlight > 0 ||
      advice.retryAt > this->roundBegin) {
    return false;
  }
  const auto plan = PlanGangPreemption(*aCandidate.specification,
                                       this->FindEligibleWorkers(aCandidate, aPool, false),
                                       [this, &aCandidate](const Allocation& aAllocation) {
                                         return this->IsPreemptibleFor(aCandidate, aAllocation);
                                       });
  if (!plan) {
    return false;
  }
  for (const auto& preempted : plan->preempted) {
    ++this->FindOrCreateTask(preempted.task)->preemptions;
    this->StopRun(*preempted.worker,
                  *preempted.worker->FindAllocation(preempted.task, preempted.run),
                  "preempted");
  }
  this->ReserveForGang(aCandidate, plan->members, this->options.maxStopDuration + kStopReportDelay);
  return true;
}

bool
CellScheduler::StartReservedGang(const Candidate& aCandidate)
{
  auto& run = *aCandidate.run;
  std::vector<Worker*> assigned;
  bool hasInvalidTicket = false;
  for (const auto number : run.reservation->workers) {
    auto* worker = this->workers.FindByNumber(number);
    const bool isUsable = worker != nullptr && this->IsUsable(*worker, this->roundBegin);
    const bool isStopping =
      isUsable && std::ranges::find(worker->allocations, RunPhase::Stopping, &Allocation::phase) !=
                    worker->allocations.end();
    if (!isUsable || (worker->IsOvercommitted() && !isStopping)) {
      this->ReleaseReservation(run, *aCandidate.specification, ReservationEnd::WorkerLost);
      return false;
    }
    if (worker->IsOvercommitted()) {
      return false;
    }
    hasInvalidTicket = hasInvalidTicket || (aCandidate.queue->needsAdvice &&
                                            !this->IsTicketValid(run.advice.FindTicket(number)));
    assigned.push_back(worker);
  }
  if (hasInvalidTicket) {
    // Without a request in flight no ticket will come.
    if (run.advice.requestsInFlight == 0) {
      this->ReleaseReservation(run, *aCandidate.specification, ReservationEnd::TicketMissing);
    }
    return false;
  }
  if (!this->StartGang(aCandidate, assigned)) {
    return false;
  }
  this->ReleaseReservation(run, *aCandidate.specification, ReservationEnd::Done);
  return true;
}

void
CellScheduler::ReleaseReservation(StepRun& aRun,
                                  const StepSpecification& aStep,
                                  ReservationEnd aEnd)
{
  if (!aRun.reservation) {
    return;
  }
  aRun.lastReservationEnd = aEnd;
  aRun.failedReservations += aEnd == ReservationEnd::Done ? 0 : 1;
  const auto demand = AllocatedDemand(aStep);
  for (const auto number : aRun.reservation->workers) {
    if (auto* worker = this->workers.FindByNumber(number)) {
      worker->reserved -= demand;
    }
  }
  aRun.reservation.reset();
  // The room that becomes free may fit what did not fit before in this round.
  for (auto& [name, pool] : this->pools) {
    pool.demandsWithoutRoom.clear();
  }
}

void
CellScheduler::EarmarkWorkersForGang(const Candidate& aCandidate, const Pool& aPool)
{
  const bool isOnTime = !IsAtOrAfter(aCandidate.priorityKey, PriorityClass::Late);
  if (!isOnTime || this->gangEarmarks.gangs >= kMaxGangsWithEarmarkedWorkers) {
    return;
  }
  const auto& step = *aCandidate.specification;
  const auto demand = AllocatedDemand(step);
  auto workers = this->FindEligibleWorkers(aCandidate, aPool, false);
  std::ranges::stable_sort(workers, std::greater{}, [](const Worker* aWorker) {
    return aWorker->FreeResources().milliCores;
  });
  std::uint32_t slots = 0;
  ++this->gangEarmarks.gangs;
  for (auto* worker : workers) {
    if (slots >= step.count) {
      return;
    }
    Worker empty;
    empty.entry.capacity = worker->entry.capacity;
    slots += CountFittingTasks(empty, demand, step.count);
    worker->earmarkedInGangRound = this->gangEarmarks.round;
    this->gangEarmarks.workers.push_back(worker->number);
  }
}

}
