#pragma once

/// @file
/// Chooses the requests with which all members of a gang get tickets that are valid at one time.

#include <LibBase/Time.h>
#include <LibCell/Specification.h>
#include <LibCell/StepAdvice.h>
#include <LibCell/Worker.h>
#include <cstddef>
#include <span>
#include <vector>

namespace zinc::cell {

/// What the requests for a gang's tickets have to take into account.
struct GangTicketOptions
{
  AdvicePolicy policy;
  /// Workers per request to the policy service.
  std::size_t maxWorkersPerRequest = 100;
  /// The gang starts no earlier than this, since runs are being stopped for it.
  Milliseconds startDelay{ 0 };
  /// Requests tickets for all members, whatever they have.
  bool renewsAll = false;
};

/// Requests for tickets, to be sent at the same time.
struct GangTicketPlan
{
  /// The workers of each request; empty if all tickets are valid for long enough.
  std::vector<std::vector<WorkerNumber>> requests;
  /// Time until the gang can start if the policy service responds in its usual time.
  Milliseconds expectedStart{ 0 };
};

/// Plans requests for tickets. Tickets that would expire before the responses are renewed with the
/// missing ones: otherwise the tickets of two parts of a gang may expire in turns for ever.
/// @param aMembers the workers of the gang; one with several members occurs several times
[[nodiscard]] GangTicketPlan
PlanGangTickets(const StepAdvice& aAdvice,
                std::span<const WorkerNumber> aMembers,
                const GangTicketOptions& aOptions,
                TimePoint aNow);

}
