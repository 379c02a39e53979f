#include <LibCell/CellScheduler.h>
#include <LibCell/Placement.h>
#include <LibCell/PlacementOrder.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace zinc::cell {

namespace {

/// Delay before a failed request is sent again.
constexpr Milliseconds kAdviceRetryDelay{ 20 };
/// Fraction of workers assumed to be eligible before the first response for a queue.
constexpr double kDefaultEligibleFraction = 0.4;
/// Weight of the newest response in the moving average of that fraction.
constexpr double kEligibleFractionWeight = 0.1;
/// Concurrent requests for one gang; four cover all workers of a cell of 400.
constexpr std::size_t kMaxRequestsPerGang = 4;

}

void
CellScheduler::RenewTickets(const Candidate& aCandidate, Pool& aPool)
{
  const auto& run = *aCandidate.run;
  if (run.advice.requestsInFlight > 0 || run.advice.retryAt > this->roundBegin) {
    return;
  }
  const auto& step = *aCandidate.specification;
  const auto demand = AllocatedDemand(step);
  const std::size_t pending = run.waitingTasks;
  std::vector<WorkerNumber> requested;
  std::size_t room = 0;
  auto eligible = this->FindEligibleWorkers(aCandidate, aPool, false);
  this->rankings.SortForAdvice(aCandidate, this->roundBegin, eligible);
  for (const auto* worker : eligible) {
    const auto fits = CountFittingTasks(*worker, demand, MaxTasksPerWorker(step));
    if (fits == 0 || this->IsTicketValid(run.advice.FindTicket(worker->number))) {
      continue;
    }
    requested.push_back(worker->number);
    room += fits;
    // Room for two more tasks, since other steps take room in the meantime.
    if (room >= pending + 2 || requested.size() >= this->options.maxWorkersPerRequest) {
      break;
    }
  }
  if (room < pending) {
    // The known eligible workers are full; others may be eligible as well.
    const auto maxOthers = this->options.maxWorkersPerRequest - requested.size();
    std::ranges::move(this->ChooseWorkersForRequest(aCandidate, aPool, maxOthers),
                      std::back_inserter(requested));
  }
  if (!requested.empty()) {
    this->RequestAdvice(aCandidate, requested);
  }
}

std::vector<WorkerNumber>
CellScheduler::ChooseWorkersForRequest(const Candidate& aCandidate, Pool& aPool, std::size_t aMax)
{
  const auto& step = *aCandidate.specification;
  const auto& advice = aCandidate.run->advice;
  const auto demand = AllocatedDemand(step);
  double expectedRoom = 0.0;
  for (const auto& ticket : advice.Tickets()) {
    const auto* worker = this->workers.FindByNumber(ticket.worker);
    if (worker != nullptr && worker->pooledInRound == this->placementRound) {
      expectedRoom += CountFittingTasks(*worker, demand, MaxTasksPerWorker(step));
    }
  }
  const auto known = this->eligibleFractions.find(aCandidate.queue->name);
  const double eligibleFraction =
    known == this->eligibleFractions.end() ? kDefaultEligibleFraction : known->second;
  const double wantedRoom = static_cast<double>(step.count) * this->options.adviceRoomFactor;
  // Few workers may run a step for which the first request found none.
  const bool isHardToPlace = advice.hasResponse && advice.Tickets().empty();
  const auto minWorkers = isHardToPlace ? aMax : this->options.minWorkersPerRequest;
  const auto byFreeCores = aPool.SortByFreeCores();
  auto preferred = this->rankings.OrderPool(aCandidate, this->roundBegin, byFreeCores);
  std::vector<Worker*> byUnclaimedCores;
  if (step.isGang && !this->adviceClaims.IsEmpty()) {
    const bool isOrderedByBand = preferred.data() != byFreeCores.data();
    byUnclaimedCores = this->adviceClaims.SortByUnclaimedCores(preferred, isOrderedByBand);
    preferred = byUnclaimedCores;
  }
  std::vector<WorkerNumber> named;
  for (const auto* worker : preferred) {
    const bool isEnough = expectedRoom >= wantedRoom && named.size() >= minWorkers;
    if (isEnough || named.size() == aMax) {
      break;
    }
    if (advice.WasRequested(worker->number) || !HasRequiredLabel(*worker, step)) {
      continue;
    }
    const auto room = CountFittingTasks(*worker, demand, MaxTasksPerWorker(step));
    // A worker without room matters only to a gang, for which eligible workers are earmarked.
    if (room == 0 && !step.isGang) {
      continue;
    }
    expectedRoom += eligibleFraction * room;
    named.push_back(worker->number);
  }
  return named;
}

void
CellScheduler::RequestMoreAdvice(const Candidate& aCandidate, Pool& aPool)
{
  const auto& advice = aCandidate.run->advice;
  if (advice.requestsInFlight > 0 || advice.retryAt > this->roundBegin) {
    return;
  }
  // A gang needs room at many workers at once, so it sends several requests if there are instances
  // free to send them.
  const bool isGang = aCandidate.specification->isGang;
  const auto requests = isGang
                          ? std::clamp<std::size_t>(
                              this->adviceDispatcher->CountFreeLongSlots(), 1, kMaxRequestsPerGang)
                          : 1;
  const auto maxWorkers = this->options.maxWorkersPerRequest;
  const auto named = this->ChooseWorkersForRequest(aCandidate, aPool, maxWorkers * requests);
  if (named.empty()) {
    return;
  }
  const auto& step = *aCandidate.specification;
  const auto total = AllocatedDemand(step).milliCores * step.count;
  const auto claim = isGang ? total / static_cast<std::int64_t>(named.size()) : 0;
  const auto batches = (named.size() + maxWorkers - 1) / maxWorkers;
  const auto size = (named.size() + batches - 1) / batches;
  for (std::size_t begin = 0; begin < named.size(); begin += size) {
    const auto length = std::min(size, named.size() - begin);
    this->RequestAdvice(aCandidate, std::span(named).subspan(begin, length), claim);
  }
}

void
CellScheduler::RequestAdvice(const Candidate& aCandidate,
                             std::span<const WorkerNumber> aWorkers,
                             std::int64_t aClaimedMilliCores)
{
  const auto& policy = aCandidate.queue->advice;
  auto& advice = aCandidate.run->advice;
  const StepName name{ aCandidate.job->spec.id, aCandidate.occurrence, aCandidate.step };
  const auto expected = ExpectedDuration(policy, aWorkers.size());
  ++advice.requestsInFlight;
  advice.expectedResponse = this->roundBegin + expected;
  std::vector<WorkerId> ids;
  ids.reserve(aWorkers.size());
  for (const auto number : aWorkers) {
    advice.MarkRequested(number);
    ids.push_back(this->workers.FindByNumber(number)->entry.id);
  }
  if (aClaimedMilliCores > 0) {
    this->adviceClaims.Add(aWorkers, aClaimedMilliCores);
  }
  // The capacity reserved for a gang is idle until its tickets arrive, so its request goes first.
  this->adviceDispatcher->Submit(
    { .step = name, .workers = std::move(ids), .expectedDuration = expected },
    aCandidate.run->reservation ? MakePriorityKey(PriorityClass::Urgent, TimePoint{})
                                : aCandidate.priorityKey,
    this->roundBegin,
    [this,
     guard = std::weak_ptr<bool>(this->livenessToken),
     name,
     aClaimedMilliCores,
     requested = std::vector(aWorkers.begin(), aWorkers.end())](Result<AdviceResponse> aResponse) {
      if (guard.expired() || this->hasLostLeadership) {
        return;
      }
      if (aClaimedMilliCores > 0) {
        this->adviceClaims.Remove(requested, aClaimedMilliCores);
      }
      this->OnAdviceResponse(name, requested, aResponse);
    });
}

void
CellScheduler::OnAdviceResponse(const StepName& aStep,
                                std::span<const WorkerNumber> aRequested,
                                const Result<AdviceResponse>& aResponse)
{
  const ActivityTimes::Scope activity(this->load.Activities(), Activity::Advice);
  const auto now = this->dependencies.clock.Now();
  auto* job = this->FindJob(aStep.job);
  if (job == nullptr || job->outcome != JobOutcome::Active) {
    return;
  }
  auto& run = job->occurrences.at(aStep.occurrence).steps[aStep.step];
  --run.advice.requestsInFlight;
  if (IsError(aResponse)) {
    run.advice.retryAt = now + kAdviceRetryDelay;
    for (const auto worker : aRequested) {
      run.advice.ForgetRequest(worker);
    }
    this->ReleaseReservation(run, job->spec.steps[aStep.step], ReservationEnd::AdviceFailed);
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
  std::set<WorkerNumber> eligible;
  for (const auto& ticket : ValueOf(aResponse).tickets) {
    // The margin of a ticket covers the transit of the response from the instance that made the
    // call.
    if (const auto* worker = this->workers.Find(ticket.worker)) {
      eligible.insert(worker->number);
      run.advice.AddTicket(
        { .worker = worker->number, .text = ticket.text, .expires = now + validity });
    }
  }
  for (const auto worker : aRequested) {
    // A gang would wait for the ticket of a worker for which the service gives none any more.
    if (!eligible.contains(worker)) {
      run.advice.RemoveTicket(worker);
    }
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
CellScheduler::ExpireTicketsFor(const Worker& aWorker)
{
  const auto now = this->dependencies.clock.Now();
  for (const auto& [id, job] : this->activeJobs) {
    for (auto& [number, occurrence] : job->occurrences) {
      for (auto& step : occurrence.steps) {
        if (auto* ticket = step.advice.FindTicket(aWorker.number)) {
          ticket->expires = std::min(ticket->expires, now);
        }
      }
    }
  }
}

}
