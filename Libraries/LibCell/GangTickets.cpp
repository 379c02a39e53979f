#include <LibCell/GangTickets.h>

#include <algorithm>
#include <utility>

namespace zinc::cell {

namespace {

/// How much later than usual the responses may be before a ticket that is not renewed expires. It
/// covers the hops between the instances and the time until the next placement round for gangs.
constexpr Milliseconds kMaxResponseDelay{ 150 };

std::size_t
CountRequests(std::size_t aWorkers, const GangTicketOptions& aOptions)
{
  return (aWorkers + aOptions.maxWorkersPerRequest - 1) / aOptions.maxWorkersPerRequest;
}

/// @return the usual time until all responses about this many workers
Milliseconds
ExpectedResponse(std::size_t aWorkers, const GangTicketOptions& aOptions)
{
  if (aWorkers == 0) {
    return Milliseconds{ 0 };
  }
  const auto requests = CountRequests(aWorkers, aOptions);
  const auto workersPerRequest = (aWorkers + requests - 1) / requests;
  return ExpectedDuration(aOptions.policy, workersPerRequest);
}

/// @return the distinct workers with the time at which their tickets expire, the earliest first
std::vector<std::pair<TimePoint, WorkerNumber>>
SortByExpiry(const StepAdvice& aAdvice, std::span<const WorkerNumber> aMembers)
{
  std::vector<std::pair<TimePoint, WorkerNumber>> tickets;
  for (const auto worker : aMembers) {
    const auto* ticket = aAdvice.FindTicket(worker);
    tickets.emplace_back(ticket == nullptr ? TimePoint{} : ticket->expires, worker);
  }
  std::ranges::sort(tickets);
  tickets.erase(std::unique(tickets.begin(), tickets.end()), tickets.end());
  return tickets;
}

}

GangTicketPlan
PlanGangTickets(const StepAdvice& aAdvice,
                std::span<const WorkerNumber> aMembers,
                const GangTicketOptions& aOptions,
                TimePoint aNow)
{
  const auto tickets = SortByExpiry(aAdvice, aMembers);
  const auto expectedStart = [&aOptions](std::size_t aRequested) {
    return std::max(ExpectedResponse(aRequested, aOptions), aOptions.startDelay);
  };
  // Each further worker makes the response later, so that further tickets may expire before it.
  std::size_t requested = aOptions.renewsAll ? tickets.size() : 0;
  while (requested < tickets.size() &&
         tickets[requested].first <= aNow + expectedStart(requested) + kMaxResponseDelay) {
    ++requested;
  }
  GangTicketPlan plan{ .expectedStart = expectedStart(requested) };
  const auto requests = CountRequests(requested, aOptions);
  for (std::size_t index = 0; index < requests; ++index) {
    auto& workers = plan.requests.emplace_back();
    for (auto ticket = index; ticket < requested; ticket += requests) {
      workers.push_back(tickets[ticket].second);
    }
    std::ranges::sort(workers);
  }
  return plan;
}

}
