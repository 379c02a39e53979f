#include <LibCell/CellScheduler.h>
#include <LibCell/Placement.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>

namespace zinc::cell {

namespace {

/// Ranks of urgency, lowest first; within a rank the earliest latest start goes first.
enum class Rank : std::int64_t
{
  Urgent,
  /// Of the most urgent queue, late, and still of some worth to its caller.
  UrgentLate,
  OnTime,
  Late,
  BeyondWeight,
};

constexpr std::int64_t kRankSpan = std::int64_t{ 1 } << 48;
/// A ticket that lapses sooner than this would not reach the worker in time.
constexpr Milliseconds kTicketMargin{ 40 };
/// Time until a question that failed is asked again.
constexpr Milliseconds kAdviceRetry{ 20 };
/// A reservation is given up when its tickets do not arrive within this after the expected time.
constexpr Milliseconds kReservationSlack{ 700 };
/// Part of the workers taken to be good before a queue's first answer.
constexpr double kUnknownGoodPart = 0.4;
/// Weight of the newest answer in that part.
constexpr double kGoodPartWeight = 0.1;
/// Steps of a workspace beyond its limit, in a row, after which a round leaves the rest of them.
constexpr std::uint32_t kLooksBeyondLimit = 64;
/// Questions of one gang at a time; four name every worker of a cell of 400.
constexpr std::size_t kQuestionsOfGang = 4;
/// Gangs that may keep workers free of batch tasks at a time.
constexpr std::size_t kHeldGangs = 5;
/// A step that waits for longer is told of in the log, again each time this passes.
constexpr Milliseconds kLongWait{ 2000 };
/// How long a worker without room for the task it accepted is left alone.
constexpr Milliseconds kRefusedAvoidance{ 1000 };

Resources
Least(const Resources& aLeft, const Resources& aRight)
{
  return { .milliCores = std::min(aLeft.milliCores, aRight.milliCores),
           .memoryMiB = std::min(aLeft.memoryMiB, aRight.memoryMiB),
           .accelerators = std::min(aLeft.accelerators, aRight.accelerators) };
}

/// @return what is left of a limit, whose amounts of 0 do not limit.
Resources
LeftOf(const Resources& aLimit, const Resources& aUsed)
{
  constexpr auto kNoLimit = std::numeric_limits<std::int64_t>::max();
  const auto left = [](std::int64_t aMost, std::int64_t aTaken) {
    return aMost == 0 ? kNoLimit : std::max<std::int64_t>(0, aMost - aTaken);
  };
  return { .milliCores = left(aLimit.milliCores, aUsed.milliCores),
           .memoryMiB = left(aLimit.memoryMiB, aUsed.memoryMiB),
           .accelerators = left(aLimit.accelerators, aUsed.accelerators) };
}

/// @return true if the amount is at most the limit, whose amounts of 0 do not limit.
bool
IsWithinLimit(const Resources& aAmount, const Resources& aLimit)
{
  const auto isWithin = [](std::int64_t aUsed, std::int64_t aMost) {
    return aMost == 0 || aUsed <= aMost;
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
         aWorker.runsOfUnknownDemand == 0 && this->published.contains(aWorker.entry.id);
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
  // The order of a hash table is not that of a replay.
  for (auto& [name, pool] : this->pools) {
    std::ranges::sort(pool.workers, [](const Worker* aLeft, const Worker* aRight) {
      return aLeft->entry.id < aRight->entry.id;
    });
  }
}

std::int64_t
CellScheduler::UrgencyOf(const Job& aJob,
                         const OccurrenceRun& aOccurrence,
                         std::uint32_t aStep) const
{
  const auto now = this->dependencies.clock.Now();
  const auto& queue = this->CurrentQueuePolicy(aJob);
  const auto latestStart = aOccurrence.objective - aJob.criticalPaths[aStep];
  auto rank = Rank::OnTime;
  if (aJob.isBeyondWeight) {
    rank = Rank::BeyondWeight;
  } else if (aJob.spec.steps[aStep].isService) {
    rank = Rank::Urgent;
  } else if (queue.priority == 0 && latestStart >= now) {
    rank = Rank::Urgent;
  } else if (queue.priority == 0 && now < aOccurrence.deadline) {
    rank = Rank::UrgentLate;
  } else if (latestStart < now) {
    rank = Rank::Late;
  }
  return static_cast<std::int64_t>(rank) * kRankSpan + latestStart.time_since_epoch().count();
}

std::vector<CellScheduler::Candidate>
CellScheduler::CollectCandidates()
{
  std::vector<Candidate> candidates;
  for (const auto& id : this->active) {
    auto& job = this->jobs.at(id);
    for (auto& [number, occurrence] : job.occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const auto& run = occurrence.steps[step];
        const bool isWaiting = run.isReady && std::ranges::any_of(run.tasks, [](const Task& aTask) {
                                 return aTask.phase == TaskPhase::Waiting;
                               });
        if (isWaiting) {
          candidates.push_back({ .job = &job,
                                 .occurrence = number,
                                 .step = step,
                                 .urgency = this->UrgencyOf(job, occurrence, step) });
        }
      }
    }
  }
  std::ranges::stable_sort(candidates, {}, &Candidate::urgency);
  return candidates;
}

void
CellScheduler::Place()
{
  const auto now = this->dependencies.clock.Now();
  this->lastPlacement = now;
  this->placementDue = false;
  if (now >= this->termEnd || !this->HasReadEnough()) {
    return;
  }
  this->CountOutOfReach();
  this->looksAtGangs = now >= this->nextGangLook;
  if (this->looksAtGangs) {
    this->nextGangLook = now + this->options.gangPause;
    this->heldForGangs.clear();
    this->limitHeld.clear();
    this->gangsHeld = 0;
  }
  const auto candidates = this->CollectCandidates();
  if (candidates.empty()) {
    return;
  }
  this->BuildPools();
  // Steps of each workspace found beyond its limit, one after the other.
  std::unordered_map<WorkspaceId, std::uint32_t> beyondLimit;
  for (const auto& candidate : candidates) {
    if (!this->IsLookedAt(candidate)) {
      continue;
    }
    // The rest of a workspace that is at its limit would be found so as well.
    auto& inRow = beyondLimit[candidate.job->spec.workspace];
    if (inRow >= kLooksBeyondLimit) {
      ++this->load.waits.at(static_cast<std::size_t>(StepWait::Limit));
      continue;
    }
    const auto wait = this->PlaceStep(candidate);
    inRow = wait == StepWait::Limit ? inRow + 1 : 0;
    ++this->load.waits.at(static_cast<std::size_t>(wait));
    this->TellWait(candidate, wait);
    // The rest waits for the next placement, so that nothing else waits for this one.
    const bool isLong = this->dependencies.clock.Now() - now > this->options.longestPlacement;
    if (this->isDeposed || isLong) {
      ++this->load.cutShort;
      break;
    }
  }
  ++this->load.placements;
  this->load.placing += this->dependencies.clock.Now() - now;
  // Placement takes a part of the time at most, so that a long queue leaves time for the workers.
  this->nextPlacement = this->dependencies.clock.Now() +
                        (this->dependencies.clock.Now() - now) * this->options.placementRest;
}

bool
CellScheduler::IsLookedAt(const Candidate& aCandidate) const
{
  const auto& run = aCandidate.job->occurrences.at(aCandidate.occurrence).steps[aCandidate.step];
  if (run.advice.hasNewResponse || run.reservation) {
    return true;
  }
  // Until its first answer comes a step can only wait.
  const bool isAsked = !run.advice.hasResponse && run.advice.requestsInFlight > 0;
  const bool isGang = aCandidate.job->spec.steps[aCandidate.step].isGang;
  return !isAsked && (this->looksAtGangs || !isGang);
}

void
CellScheduler::TellWait(const Candidate& aCandidate, StepWait aWait)
{
  constexpr std::array kNames = { "nothing",  "workers", "advice", "limit",
                                  "headroom", "room",    "ticket", "members" };
  static_assert(kNames.size() == static_cast<std::size_t>(StepWait::Last));
  const auto now = this->dependencies.clock.Now();
  auto& run = aCandidate.job->occurrences.at(aCandidate.occurrence).steps[aCandidate.step];
  if (aWait == StepWait::Nothing) {
    run.waitingSince = {};
    return;
  }
  if (run.waitingSince == TimePoint{}) {
    run.waitingSince = now;
    run.nextWaitLog = now + kLongWait;
  }
  if (now < run.nextWaitLog) {
    return;
  }
  run.nextWaitLog = now + kLongWait;
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  this->dependencies.log.Log(LogLevel::Info,
                             "step_waits",
                             { { "job", aCandidate.job->spec.id.value },
                               { "step", aCandidate.step },
                               { "for", kNames.at(static_cast<std::size_t>(aWait)) },
                               { "waited_ms", (now - run.waitingSince).count() },
                               { "tasks", step.count },
                               { "millicores", step.demand.milliCores },
                               { "mib", step.demand.memoryMiB },
                               { "gang", step.isGang },
                               { "rank", aCandidate.urgency / kRankSpan },
                               { "asked", run.advice.requestedWorkers.size() },
                               { "good", run.advice.tickets.size() },
                               { "workspace", aCandidate.job->spec.workspace.value } });
}

bool
CellScheduler::HasRoom(const Pool& aPool, const StepSpecification& aStep)
{
  const auto demand = OccupiedBy(aStep);
  const std::uint32_t needed = aStep.isGang ? aStep.count : 1;
  std::uint32_t room = 0;
  for (const auto* worker : aPool.workers) {
    room += RoomFor(*worker, demand, needed);
    if (room >= needed) {
      return true;
    }
  }
  return false;
}

void
CellScheduler::CountOutOfReach()
{
  this->mayRun.clear();
  if (this->unread.empty()) {
    return;
  }
  // No more than the workers hold that were not read. One whose row is gone counts as the largest.
  Resources largest;
  for (const auto& [id, worker] : this->workers) {
    const auto& capacity = worker->entry.capacity;
    largest = { .milliCores = std::max(largest.milliCores, capacity.milliCores),
                .memoryMiB = std::max(largest.memoryMiB, capacity.memoryMiB),
                .accelerators = std::max(largest.accelerators, capacity.accelerators) };
  }
  Resources most;
  for (const auto& id : this->unread) {
    const auto worker = this->workers.find(id);
    most += worker != this->workers.end() ? worker->second->entry.capacity : largest;
  }
  for (const auto& id : this->active) {
    const auto& job = this->jobs.at(id);
    for (const auto& [number, occurrence] : job.occurrences) {
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        const auto& tasks = occurrence.steps[step].tasks;
        const auto count = std::ranges::count(tasks, TaskPhase::Unresolved, &Task::phase);
        auto& amount = this->mayRun[job.spec.workspace];
        for (std::ptrdiff_t task = 0; task < count; ++task) {
          amount += OccupiedBy(job.spec.steps[step]);
        }
      }
    }
  }
  for (auto& [workspace, amount] : this->mayRun) {
    amount = Least(amount, most);
    // The predecessor kept to the limit over all workers, so that what it has out of reach and what
    // was found of it are within the limit together.
    const auto limit = this->highestMaximum.find(workspace);
    if (limit != this->highestMaximum.end()) {
      amount = Least(amount, LeftOf(limit->second, this->found[workspace]));
    }
  }
}

bool
CellScheduler::HasReadEnough() const
{
  // A worker that was not read may hold runs that count against a workspace's limit. Each is waited
  // for until it has answered or an attempt to reach it has failed.
  constexpr Milliseconds kReadTime{ 1500 };
  if (this->dependencies.clock.Now() - this->begun > kReadTime) {
    return true;
  }
  return std::ranges::all_of(this->unread, [this](const WorkerId& aId) {
    const auto worker = this->workers.find(aId);
    return worker == this->workers.end() || worker->second->failedRenewals > 0;
  });
}

CellScheduler::StepWait
CellScheduler::PlaceStep(const Candidate& aCandidate)
{
  auto& run = aCandidate.job->occurrences.at(aCandidate.occurrence).steps[aCandidate.step];
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const auto& queue = this->CurrentQueuePolicy(*aCandidate.job);
  auto* pool = this->FindPool(queue.pool);
  if (pool == nullptr) {
    return StepWait::NoWorkers;
  }
  run.advice.hasNewResponse = false;
  // Tickets lapse soon: those of a step that cannot start for another reason would be of no use.
  const std::uint32_t needed = step.isGang ? step.count : 1;
  if (this->LimitRoom(aCandidate, step.demand, needed) < needed) {
    this->HoldLimitForGang(aCandidate, run);
    return StepWait::Limit;
  }
  const bool needsAdvice = queue.needsAdvice && !run.advice.hasResponse;
  if (needsAdvice) {
    // Tickets lapse soon: those of steps far back in the queue would be of no use.
    const bool isEarly = this->desk->IsCrowded() && this->IsHeldBack(aCandidate);
    if (!isEarly) {
      this->AskMore(aCandidate, run, *pool);
    }
    return StepWait::Advice;
  }
  return step.isGang ? this->PlaceGang(aCandidate, run, *pool)
                     : this->PlaceTasks(aCandidate, run, *pool);
}

bool
CellScheduler::HasTicket(const StepRun& aRun, const WorkerId& aWorker) const
{
  const auto found = aRun.advice.tickets.find(aWorker);
  return found != aRun.advice.tickets.end() &&
         found->second.expires > this->dependencies.clock.Now() + kTicketMargin;
}

std::vector<Worker*>
CellScheduler::EligibleWorkers(const Candidate& aCandidate,
                               const StepRun& aRun,
                               const Pool& aPool,
                               bool aNeedsTicket) const
{
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const bool needsAdvice = this->CurrentQueuePolicy(*aCandidate.job).needsAdvice;
  const bool isHeldBack = this->IsHeldBack(aCandidate);
  const auto now = this->dependencies.clock.Now();
  std::vector<Worker*> eligible;
  const auto consider = [&](Worker* aWorker) {
    const bool isHeld = isHeldBack && this->heldForGangs.contains(aWorker->entry.id);
    if (!isHeld && HasRequiredLabel(*aWorker, step) && aWorker->avoidUntil <= now) {
      eligible.push_back(aWorker);
    }
  };
  if (!needsAdvice) {
    std::ranges::for_each(aPool.workers, consider);
    return eligible;
  }
  // A step may run at few of the workers: those are looked up instead of all looked through.
  for (const auto& [id, ticket] : aRun.advice.tickets) {
    const auto found = this->workers.find(id);
    const bool isInPool =
      found != this->workers.end() && found->second->pooledInRound == this->placementRound &&
      found->second->entry.pool == this->CurrentQueuePolicy(*aCandidate.job).pool;
    if (isInPool && (!aNeedsTicket || ticket.expires > now + kTicketMargin)) {
      consider(found->second.get());
    }
  }
  return eligible;
}

void
CellScheduler::HoldLimitForGang(const Candidate& aCandidate, StepRun& aRun)
{
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  if (!step.isGang) {
    return;
  }
  this->ReleaseReservation(aRun, step);
  const auto& workspace = aCandidate.job->spec.workspace;
  const auto total = step.demand * step.count;
  const bool isOnTime = aCandidate.urgency < static_cast<std::int64_t>(Rank::Late) * kRankSpan;
  const auto found = this->policy->workspaces.find(workspace);
  if (!isOnTime || found == this->policy->workspaces.end() ||
      !IsWithinLimit(total, found->second.quota)) {
    return;
  }
  // One gang of a workspace at a time: the rest of its batch work goes on beside it.
  this->limitHeld.try_emplace(workspace, total);
}

bool
CellScheduler::IsHeldBack(const Candidate& aCandidate) const
{
  return aCandidate.urgency >= static_cast<std::int64_t>(Rank::OnTime) * kRankSpan;
}

bool
CellScheduler::LeavesHeadroom(const Candidate& aCandidate,
                              const Resources& aDemand,
                              const Pool& aPool) const
{
  if (!this->IsHeldBack(aCandidate)) {
    return true;
  }
  const auto headroom = static_cast<std::int64_t>(static_cast<double>(aPool.capacity.milliCores) *
                                                  this->options.urgentHeadroom);
  return aPool.free.milliCores - aDemand.milliCores >= headroom;
}

std::uint32_t
CellScheduler::LimitRoom(const Candidate& aCandidate,
                         const Resources& aDemand,
                         std::uint32_t aMost) const
{
  const auto& workspace = aCandidate.job->spec.workspace;
  // A workspace's own batch work leaves a part of its limit to its urgent tasks.
  const double part = this->IsHeldBack(aCandidate) ? 1.0 - this->options.limitHeadroom : 1.0;
  const auto found = this->policy->workspaces.find(workspace);
  if (found == this->policy->workspaces.end()) {
    return aMost;
  }
  const auto& maximum = found->second.quota;
  const auto used = this->running.find(workspace);
  auto amount = used == this->running.end() ? Resources{} : used->second;
  const auto outOfReach = this->mayRun.find(workspace);
  if (outOfReach != this->mayRun.end()) {
    amount += outOfReach->second;
  }
  const auto held = this->limitHeld.find(workspace);
  // Another gang that fits goes first; narrow tasks would take each core as it is freed.
  const bool isNarrow = !aCandidate.job->spec.steps[aCandidate.step].isGang;
  if (held != this->limitHeld.end() && isNarrow && this->IsHeldBack(aCandidate)) {
    amount += held->second;
  }
  auto room = static_cast<std::int64_t>(aMost);
  const auto bound =
    [&room, part, aMost](std::int64_t aMaximum, std::int64_t aUsed, std::int64_t aNeed) {
      if (aMaximum > 0 && aNeed > 0) {
        // What needs more than that part may have the whole, or it would never start.
        const auto leaving = static_cast<std::int64_t>(static_cast<double>(aMaximum) * part);
        const auto usable = aNeed * aMost > leaving ? aMaximum : leaving;
        room = std::min(room, std::max<std::int64_t>(0, usable - aUsed) / aNeed);
      }
    };
  bound(maximum.milliCores, amount.milliCores, aDemand.milliCores);
  bound(maximum.memoryMiB, amount.memoryMiB, aDemand.memoryMiB);
  bound(maximum.accelerators, amount.accelerators, aDemand.accelerators);
  return static_cast<std::uint32_t>(room);
}

CellScheduler::StepWait
CellScheduler::PlaceTasks(const Candidate& aCandidate, StepRun& aRun, Pool& aPool)
{
  const auto now = this->dependencies.clock.Now();
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  // Limits count processors of fillers as well, since they do run.
  const auto occupied = OccupiedBy(step);
  if (!this->LeavesHeadroom(aCandidate, occupied, aPool)) {
    return StepWait::Headroom;
  }
  if (!HasRoom(aPool, step)) {
    return StepWait::Room;
  }
  const auto eligible = this->EligibleWorkers(aCandidate, aRun, aPool, true);
  // Runs that are being stopped and those that nobody wants any more are beside the others as well.
  const auto countAt = [&aCandidate](const Worker& aWorker) {
    return static_cast<std::uint32_t>(
      std::ranges::count_if(aWorker.allocations, [&aCandidate](const Allocation& aOccupant) {
        const auto& key = aOccupant.task.key;
        return key.step == aCandidate.step && key.occurrence == aCandidate.occurrence &&
               aOccupant.task.job == aCandidate.job->spec.id;
      }));
  };
  std::uint32_t unplaced = 0;
  for (std::uint32_t index = 0; index < aRun.tasks.size(); ++index) {
    auto& task = aRun.tasks[index];
    if (task.phase != TaskPhase::Waiting || task.earliestStart > now) {
      continue;
    }
    if (this->LimitRoom(aCandidate, step.demand, 1) == 0) {
      return StepWait::Limit;
    }
    if (!this->LeavesHeadroom(aCandidate, occupied, aPool)) {
      return StepWait::Headroom;
    }
    auto* worker = this->ChooseFor(task, eligible, step, countAt);
    if (worker == nullptr) {
      ++unplaced;
      break;
    }
    this->Start(aCandidate, aRun, index, *worker, this->NextRun(), task.checkpoint);
    aPool.free -= occupied;
  }
  if (unplaced > 0 && this->CurrentQueuePolicy(*aCandidate.job).needsAdvice) {
    this->RenewTickets(aCandidate, aRun, aPool);
    return StepWait::Ticket;
  }
  return unplaced > 0 ? StepWait::Room : StepWait::Nothing;
}

Worker*
CellScheduler::ChooseFor(const Task& aTask,
                         const std::vector<Worker*>& aEligible,
                         const StepSpecification& aStep,
                         const CountAt& aCount) const
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
  const auto demand = OccupiedBy(step);
  const auto waiting = static_cast<std::size_t>(std::ranges::count_if(
    aRun.tasks, [](const Task& aTask) { return aTask.phase == TaskPhase::Waiting; }));
  std::vector<WorkerId> wanted;
  std::size_t room = 0;
  for (auto* worker : this->EligibleWorkers(aCandidate, aRun, aPool, false)) {
    const auto fits = RoomFor(*worker, demand, step.count);
    if (fits == 0 || this->HasTicket(aRun, worker->entry.id)) {
      continue;
    }
    wanted.push_back(worker->entry.id);
    room += fits;
    // A few spare ones, since other steps take room meanwhile.
    if (room >= waiting + 2 || wanted.size() >= this->options.advisedWorkers) {
      break;
    }
  }
  if (room < waiting) {
    // The workers known to be good are full; others may be good as well.
    std::ranges::move(
      this->WorkersToAsk(aCandidate, aRun, aPool, this->options.advisedWorkers - wanted.size()),
      std::back_inserter(wanted));
  }
  if (!wanted.empty()) {
    this->AskAdvice(aCandidate, aRun, std::move(wanted));
  }
}

CellScheduler::StepWait
CellScheduler::PlaceGang(const Candidate& aCandidate, StepRun& aRun, Pool& aPool)
{
  const auto now = this->dependencies.clock.Now();
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const bool isWhole = std::ranges::all_of(aRun.tasks, [now](const Task& aTask) {
    return aTask.phase == TaskPhase::Waiting && aTask.earliestStart <= now;
  });
  if (!isWhole) {
    return StepWait::Members;
  }
  const auto demand = OccupiedBy(step);
  const auto total = demand * step.count;
  const bool isReserved = aRun.reservation.has_value();
  if (isReserved && aRun.reservation->expires < now) {
    this->ReleaseReservation(aRun, step);
  }
  if (aRun.reservation) {
    this->StartReserved(aCandidate, aRun);
    return StepWait::Ticket;
  }
  const bool leavesHeadroom = this->LeavesHeadroom(aCandidate, total, aPool);
  if (!leavesHeadroom || !HasRoom(aPool, step)) {
    this->HoldForGang(aCandidate, aRun, aPool);
    return leavesHeadroom ? StepWait::Room : StepWait::Headroom;
  }
  auto assigned = AssignGang(this->EligibleWorkers(aCandidate, aRun, aPool, true), step);
  if (assigned) {
    this->StartGang(aCandidate, aRun, *assigned);
    aPool.free -= total;
    return StepWait::Nothing;
  }
  if (!this->CurrentQueuePolicy(*aCandidate.job).needsAdvice) {
    this->HoldForGang(aCandidate, aRun, aPool);
    return StepWait::Room;
  }
  assigned = AssignGang(this->EligibleWorkers(aCandidate, aRun, aPool, false), step);
  if (!assigned) {
    this->AskMore(aCandidate, aRun, aPool);
    this->HoldForGang(aCandidate, aRun, aPool);
    return aRun.advice.requestsInFlight > 0 ? StepWait::Advice : StepWait::Room;
  }
  this->Reserve(aCandidate, aRun, *assigned);
  aPool.free -= total;
  return StepWait::Ticket;
}

void
CellScheduler::StartGang(const Candidate& aCandidate,
                         StepRun& aRun,
                         const std::vector<Worker*>& aAssigned)
{
  const auto run = this->NextRun();
  // All members have to carry the same checkpoint.
  const auto checkpoint = aRun.tasks.front().checkpoint;
  for (std::uint32_t index = 0; index < aAssigned.size(); ++index) {
    this->Start(aCandidate, aRun, index, *aAssigned[index], run, checkpoint);
  }
}

void
CellScheduler::Reserve(const Candidate& aCandidate,
                       StepRun& aRun,
                       const std::vector<Worker*>& aAssigned)
{
  // While the service is crowded a reservation lapses before its question is sent; another one
  // would only lengthen the queue.
  if (aRun.advice.requestsInFlight > 0 || aRun.advice.retryAt > this->dependencies.clock.Now()) {
    return;
  }
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const auto demand = OccupiedBy(step);
  GangReservation reservation;
  std::vector<WorkerId> wanted;
  for (auto* worker : aAssigned) {
    worker->reserved += demand;
    reservation.workers.push_back(worker->entry.id);
    const bool isNew = std::ranges::find(wanted, worker->entry.id) == wanted.end();
    if (isNew) {
      wanted.push_back(worker->entry.id);
    }
  }
  const auto& advice = this->CurrentQueuePolicy(*aCandidate.job).advice;
  const auto expected = Milliseconds(static_cast<std::int64_t>(
    advice.baseMs + advice.perWorkerMs * static_cast<double>(wanted.size())));
  reservation.expires = this->dependencies.clock.Now() + expected + kReservationSlack;
  aRun.reservation = std::move(reservation);
  this->AskAdvice(aCandidate, aRun, std::move(wanted));
}

void
CellScheduler::StartReserved(const Candidate& aCandidate, StepRun& aRun)
{
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  std::vector<Worker*> assigned;
  for (const auto& id : aRun.reservation->workers) {
    const auto found = this->workers.find(id);
    if (found == this->workers.end() || !this->IsUsable(*found->second)) {
      this->ReleaseReservation(aRun, step);
      return;
    }
    if (!this->HasTicket(aRun, id)) {
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
  const auto demand = OccupiedBy(aStep);
  for (const auto& id : aRun.reservation->workers) {
    const auto worker = this->workers.find(id);
    if (worker != this->workers.end()) {
      worker->second->reserved -= demand;
    }
  }
  aRun.reservation.reset();
}

void
CellScheduler::HoldForGang(const Candidate& aCandidate, const StepRun& aRun, const Pool& aPool)
{
  const bool isOnTime = aCandidate.urgency < static_cast<std::int64_t>(Rank::Late) * kRankSpan;
  if (this->gangsHeld >= kHeldGangs || !isOnTime) {
    return;
  }
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const auto demand = OccupiedBy(step);
  auto workers = this->EligibleWorkers(aCandidate, aRun, aPool, false);
  std::ranges::stable_sort(workers, std::greater{}, [](const Worker* aWorker) {
    return aWorker->FreeResources().milliCores;
  });
  std::uint32_t places = 0;
  ++this->gangsHeld;
  for (const auto* worker : workers) {
    if (places >= step.count) {
      return;
    }
    Worker empty;
    empty.entry.capacity = worker->entry.capacity;
    places += RoomFor(empty, demand, step.count);
    this->heldForGangs.insert(worker->entry.id);
  }
}

std::vector<WorkerId>
CellScheduler::WorkersToAsk(const Candidate& aCandidate,
                            const StepRun& aRun,
                            const Pool& aPool,
                            std::size_t aMost) const
{
  const auto& step = aCandidate.job->spec.steps[aCandidate.step];
  const auto demand = OccupiedBy(step);
  std::vector<std::pair<std::uint32_t, const Worker*>> workers;
  std::uint32_t known = 0;
  for (const auto* worker : aPool.workers) {
    const auto room = RoomFor(*worker, demand, step.count);
    // A worker without room is of use to a gang alone, for which room is kept where it may run.
    if ((room == 0 && !step.isGang) || !HasRequiredLabel(*worker, step)) {
      continue;
    }
    if (!aRun.advice.requestedWorkers.contains(worker->entry.id)) {
      workers.emplace_back(room, worker);
    } else if (aRun.advice.tickets.contains(worker->entry.id)) {
      known += room;
    }
  }
  std::ranges::stable_sort(workers, std::greater{}, [](const auto& aEntry) {
    return std::pair(aEntry.first, aEntry.second->FreeResources().milliCores);
  });
  const auto seen = this->goodPart.find(this->CurrentQueuePolicy(*aCandidate.job).name);
  const double part = seen == this->goodPart.end() ? kUnknownGoodPart : seen->second;
  const double wanted = static_cast<double>(step.count) * this->options.askedRoom;
  double expected = known;
  std::vector<WorkerId> named;
  for (const auto& [room, worker] : workers) {
    const bool isEnough = expected >= wanted && named.size() >= this->options.leastAsked;
    if (isEnough || named.size() == aMost) {
      break;
    }
    expected += part * room;
    named.push_back(worker->entry.id);
  }
  return named;
}

void
CellScheduler::AskMore(const Candidate& aCandidate, StepRun& aRun, const Pool& aPool)
{
  if (aRun.advice.requestsInFlight > 0 || aRun.advice.retryAt > this->dependencies.clock.Now()) {
    return;
  }
  // A gang needs room at many workers at once, so that it is asked for in several questions if
  // instances are free to ask them.
  const bool isGang = aCandidate.job->spec.steps[aCandidate.step].isGang;
  const auto questions =
    isGang ? std::clamp<std::size_t>(this->desk->IdleForLong(), 1, kQuestionsOfGang) : 1;
  const auto most = this->options.advisedWorkers;
  const auto named = this->WorkersToAsk(aCandidate, aRun, aPool, most * questions);
  if (named.empty()) {
    return;
  }
  const auto parts = (named.size() + most - 1) / most;
  const auto size = (named.size() + parts - 1) / parts;
  for (std::size_t begin = 0; begin < named.size(); begin += size) {
    const auto end = std::min(begin + size, named.size());
    this->AskAdvice(aCandidate,
                    aRun,
                    { named.begin() + static_cast<std::ptrdiff_t>(begin),
                      named.begin() + static_cast<std::ptrdiff_t>(end) });
  }
}

void
CellScheduler::AskAdvice(const Candidate& aCandidate, StepRun& aRun, std::vector<WorkerId> aWorkers)
{
  const auto now = this->dependencies.clock.Now();
  const auto& policyOfAdvice = this->CurrentQueuePolicy(*aCandidate.job).advice;
  const StepName name{ aCandidate.job->spec.id, aCandidate.occurrence, aCandidate.step };
  const auto expected = Milliseconds(static_cast<std::int64_t>(
    policyOfAdvice.baseMs + policyOfAdvice.perWorkerMs * static_cast<double>(aWorkers.size())));
  ++aRun.advice.requestsInFlight;
  auto asked = aWorkers;
  aRun.advice.requestedWorkers.insert(asked.begin(), asked.end());
  this->desk->Ask({ .step = name, .workers = std::move(aWorkers), .expectedDuration = expected },
                  aCandidate.urgency,
                  now,
                  [this, guard = std::weak_ptr<bool>(this->alive), name, asked = std::move(asked)](
                    Result<AdviceResponse> aAnswer) {
                    if (!guard.expired() && !this->isDeposed) {
                      this->OnAdvice(name, asked, aAnswer);
                    }
                  });
}

void
CellScheduler::OnAdvice(const StepName& aStep,
                        const std::vector<WorkerId>& aAsked,
                        const Result<AdviceResponse>& aAnswer)
{
  const auto now = this->dependencies.clock.Now();
  auto* job = this->FindJob(aStep.job);
  if (job == nullptr || job->outcome != JobOutcome::Active) {
    return;
  }
  auto& run = job->occurrences.at(aStep.occurrence).steps[aStep.step];
  --run.advice.requestsInFlight;
  if (IsError(aAnswer)) {
    run.advice.retryAt = now + kAdviceRetry;
    for (const auto& worker : aAsked) {
      if (!run.advice.tickets.contains(worker)) {
        run.advice.requestedWorkers.erase(worker);
      }
    }
    this->ReleaseReservation(run, job->spec.steps[aStep.step]);
    this->dependencies.log.Log(LogLevel::Info,
                               "advice_failed",
                               { { "job", aStep.job.value },
                                 { "step", aStep.step },
                                 { "reason", ErrorOf(aAnswer).message } });
    return;
  }
  const auto validity = this->CurrentQueuePolicy(*job).advice.ticketValidity;
  if (!run.advice.hasResponse && !aAsked.empty()) {
    const auto& queue = this->CurrentQueuePolicy(*job).name;
    auto& part = this->goodPart.try_emplace(queue, kUnknownGoodPart).first->second;
    part += kGoodPartWeight * (static_cast<double>(ValueOf(aAnswer).tickets.size()) /
                                 static_cast<double>(aAsked.size()) -
                               part);
  }
  for (const auto& ticket : ValueOf(aAnswer).tickets) {
    // Tickets are counted from the question; the hop to the instance that asks is within the
    // margin.
    run.advice.tickets[ticket.worker] = { .text = ticket.text, .expires = now + validity };
  }
  run.advice.hasResponse = true;
  run.advice.hasNewResponse = true;
  this->dependencies.log.Log(LogLevel::Info,
                             "advice_taken",
                             { { "job", aStep.job.value },
                               { "step", aStep.step },
                               { "asked", aAsked.size() },
                               { "good", ValueOf(aAnswer).tickets.size() } });
  this->placementDue = true;
  this->PlaceSoon();
}

void
CellScheduler::PlaceSoon()
{
  if (this->dependencies.onPlacementDue) {
    this->dependencies.onPlacementDue();
  }
}

void
CellScheduler::Start(const Candidate& aCandidate,
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
  const auto demand = OccupiedBy(step);
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
  this->running[job.spec.workspace] += demand;
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
  this->dependencies.workers.Start(
    std::move(order),
    [this, guard = std::weak_ptr<bool>(this->alive), id = aWorker.entry.id, name, aRunNumber](
      Result<OrderResult> aAnswer) {
      if (!guard.expired() && !this->isDeposed) {
        this->OnStartAnswer(id, name, aRunNumber, aAnswer);
      }
    });
}

void
CellScheduler::OnStartAnswer(const WorkerId& aWorker,
                             const TaskName& aTask,
                             std::uint64_t aRun,
                             const Result<OrderResult>& aAnswer)
{
  const auto now = this->dependencies.clock.Now();
  const auto found = this->workers.find(aWorker);
  auto* occupant =
    found != this->workers.end() ? found->second->FindAllocation(aTask, aRun) : nullptr;
  if (occupant == nullptr) {
    return;
  }
  auto& worker = *found->second;
  if (IsError(aAnswer) && ErrorOf(aAnswer).run != RunState::NotRun) {
    if (occupant->phase == RunPhase::Starting) {
      occupant->phase = RunPhase::Uncertain;
      occupant->phaseSince = now;
      worker.nextRenewal = std::min(worker.nextRenewal, now);
    }
    return;
  }
  const auto answer = IsError(aAnswer) ? OrderResult::Rejected : ValueOf(aAnswer);
  if (answer == OrderResult::Accepted) {
    if (occupant->phase == RunPhase::Starting || occupant->phase == RunPhase::Uncertain) {
      occupant->phase = RunPhase::Running;
      occupant->phaseSince = now;
    }
    if (auto* job = this->FindJob(aTask.job)) {
      this->MarkJobStarted(*job);
    }
    return;
  }
  this->OnStartRefused(worker, aTask, aRun, answer);
}

void
CellScheduler::OnStartRefused(Worker& aWorker,
                              const TaskName& aTask,
                              std::uint64_t aRun,
                              OrderResult aAnswer)
{
  const auto now = this->dependencies.clock.Now();
  this->dependencies.log.Log(LogLevel::Warning,
                             "start_refused",
                             { { "job", aTask.job.value },
                               { "step", aTask.key.step },
                               { "index", aTask.key.index },
                               { "run", aRun },
                               { "worker", aWorker.entry.id.value },
                               { "answer", static_cast<int>(aAnswer) } });
  if (aAnswer == OrderResult::Fenced) {
    this->StepDown("a worker knows a higher fencing token");
    return;
  }
  if (aAnswer == OrderResult::WrongIncarnation) {
    this->OnWorkerRestarted(aWorker, "other_life");
    return;
  }
  auto* job = this->FindJob(aTask.job);
  if (aAnswer == OrderResult::InvalidTicket && job != nullptr) {
    const auto occurrence = job->occurrences.find(aTask.key.occurrence);
    if (occurrence != job->occurrences.end()) {
      auto& good = occurrence->second.steps[aTask.key.step].advice.tickets;
      const auto ticket = good.find(aWorker.entry.id);
      if (ticket != good.end()) {
        ticket->second.expires = now;
      }
    }
  }
  if (aAnswer == OrderResult::Rejected || aAnswer == OrderResult::InsufficientCapacity) {
    aWorker.avoidUntil = std::max(aWorker.avoidUntil, now + kRefusedAvoidance);
  }
  aWorker.nextRenewal = std::min(aWorker.nextRenewal, now);
  this->ReleaseAllocation(aWorker, aTask, aRun);
  this->RequeueRun(aTask, aRun);
  if (job != nullptr) {
    this->StopGang(*job, aTask.key.occurrence, aTask.key.step, aRun);
  }
}

}
