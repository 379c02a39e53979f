#include <History/Checks.h>

#include <History/Calls.h>
#include <History/RunningTasks.h>
#include <algorithm>
#include <map>
#include <optional>
#include <set>

/// @file
/// The check that refusing everything does not pass.

namespace zinc {

namespace {

using detail::Call;
using detail::Disturbance;

bool
IsDisturbed(const Call& aCall, std::span<const Disturbance> aFaults, EventTime aRecovery)
{
  return std::ranges::any_of(aFaults, [&](const Disturbance& aFault) {
    return aFault.Touches(aCall.invoked.entry, aCall.invokedAt - aRecovery, aCall.endedAt);
  });
}

std::set<KeyId>
KeysEverWithdrawn(std::span<const Event> aHistory)
{
  std::set<KeyId> keys;
  for (const Event& event : aHistory) {
    if (const auto* withdrawn = std::get_if<KeyWithdrawn>(&event.body)) {
      keys.insert(withdrawn->key);
    }
  }
  return keys;
}

/// @return submissions that should be served.
std::vector<Call>
RightfulSubmissions(std::span<const Event> aHistory)
{
  const std::set<KeyId> withdrawn = KeysEverWithdrawn(aHistory);
  std::vector<Call> calls = detail::CallsOf(aHistory);
  std::erase_if(calls, [&](const Call& aCall) {
    return aCall.invoked.operation != Operation::Submit ||
           aCall.invoked.authority != Authority::Granted || withdrawn.contains(aCall.invoked.key);
  });
  return calls;
}

/// @return when the last fault ended; 0 if there was none.
EventTime
EndOfFaults(std::span<const Event> aHistory)
{
  EventTime end{ 0 };
  for (const Disturbance& fault : detail::DisturbancesOf(aHistory)) {
    end = std::max(end, fault.end);
  }
  return end;
}

void
CheckAfterRecovery(std::span<const Event> aHistory,
                   const CheckBounds& aBounds,
                   CheckReport& aReport)
{
  const EventTime recovered = EndOfFaults(aHistory) + aBounds.recovery;
  for (const Call& call : RightfulSubmissions(aHistory)) {
    if (call.invokedAt < recovered) {
      continue;
    }
    ++aReport.checked;
    if (!detail::IsSuccess(call)) {
      aReport.violations.push_back("not served after all faults were over: " + Describe(call));
    }
  }
}

void
CheckSuccessShare(std::span<const Event> aHistory, const CheckBounds& aBounds, CheckReport& aReport)
{
  const std::vector<Disturbance> faults = detail::DisturbancesOf(aHistory);
  std::size_t calls = 0;
  std::size_t successes = 0;
  for (const Call& call : RightfulSubmissions(aHistory)) {
    if (IsDisturbed(call, faults, aBounds.recovery)) {
      ++aReport.exempt;
      continue;
    }
    ++calls;
    successes += detail::IsSuccess(call) ? 1 : 0;
  }
  aReport.checked += calls;
  if (static_cast<double>(successes) < aBounds.successShare * static_cast<double>(calls)) {
    aReport.violations.push_back("only " + std::to_string(successes) + " of " +
                                 std::to_string(calls) + " undisturbed calls succeeded");
  }
}

bool
IsFinal(const std::string& aState)
{
  return aState == "succeeded" || aState == "failed" || aState == "cancelled";
}

/// When a request was accepted and when its end was told.
struct Acceptance
{
  EventTime acceptedAt{ 0 };
  std::optional<EventTime> endedAt;
  KeyId key;
  std::string detail;
};

/// @return when the last attempt of each request ended at its worker, by token; requests with an
/// attempt that has not ended are left out.
std::map<std::string, EventTime>
EndsAtWorkers(std::span<const Event> aHistory)
{
  using Attempt = std::pair<TaskId, std::uint32_t>;
  std::map<Attempt, std::string> running;
  std::map<std::string, EventTime> ends;
  for (const Event& event : aHistory) {
    if (const auto* started = std::get_if<TaskStarted>(&event.body)) {
      running[{ started->task, started->attempt }] = started->token;
    } else if (const auto* ended = std::get_if<TaskEnded>(&event.body)) {
      const auto found = running.find({ ended->task, ended->attempt });
      if (found != running.end()) {
        ends[found->second] = event.time;
        running.erase(found);
      }
    }
  }
  for (const auto& [attempt, token] : running) {
    ends.erase(token);
  }
  return ends;
}

std::map<std::string, Acceptance>
AcceptedRequests(std::span<const Call> aCalls)
{
  constexpr unsigned kAccepted = 202;
  std::map<std::string, Acceptance> accepted;
  for (const Call& call : aCalls) {
    const bool isAcceptance = call.invoked.operation == Operation::Submit && call.answer &&
                              call.answer->status == kAccepted && !call.invoked.endless;
    if (isAcceptance) {
      accepted.try_emplace(call.invoked.token,
                           Acceptance{ .acceptedAt = call.endedAt,
                                       .key = call.invoked.key,
                                       .detail = Describe(call) });
    }
  }
  for (const Call& call : aCalls) {
    const auto found = accepted.find(call.invoked.token);
    const bool ends = found != accepted.end() && detail::IsSuccess(call) &&
                      IsFinal(call.answer->state) && !found->second.endedAt;
    if (ends) {
      found->second.endedAt = call.endedAt;
    }
  }
  return accepted;
}

void
CheckAcceptedWork(std::span<const Event> aHistory, const CheckBounds& aBounds, CheckReport& aReport)
{
  const EventTime faultsOver = EndOfFaults(aHistory);
  const std::set<KeyId> withdrawn = KeysEverWithdrawn(aHistory);
  const std::map<std::string, EventTime> atWorkers = EndsAtWorkers(aHistory);
  for (const auto& [token, request] : AcceptedRequests(detail::CallsOf(aHistory))) {
    ++aReport.checked;
    const EventTime due = std::max(request.acceptedAt, faultsOver) + aBounds.completion;
    auto endedAt = request.endedAt;
    if (!endedAt && withdrawn.contains(request.key)) {
      // Whoever asks with a withdrawn key is rightly told nothing; the workers' record speaks.
      const auto found = atWorkers.find(token);
      endedAt = found == atWorkers.end() ? endedAt : found->second;
    }
    if (!endedAt || *endedAt > due) {
      aReport.violations.push_back("accepted and not ended in time: " + request.detail);
    }
  }
}

}

CheckReport
CheckLiveness(std::span<const Event> aHistory, const CheckBounds& aBounds)
{
  CheckReport report;
  CheckSuccessShare(aHistory, aBounds, report);
  CheckAfterRecovery(aHistory, aBounds, report);
  CheckAcceptedWork(aHistory, aBounds, report);
  return report;
}

}
