#include <LibDriver/AskForwarder.h>

#include <vector>

namespace zinc {

namespace {

/// Time for the way to the driver and its table write, beside the wait that was asked for.
constexpr Milliseconds kReplyAllowance{ 8000 };
constexpr Milliseconds kAskAgain{ 1000 };

/// A query or a cancellation speaks of a job that may have run; a submission that no driver was
/// sent did nothing.
Verdict
NotAnswered(AskKind aKind, std::uint32_t aTimesSent)
{
  if (aKind == AskKind::Submit && aTimesSent == 0) {
    return NotRun(ErrorCode::Unavailable, "No driver of the job is known.", kAskAgain);
  }
  return MayHaveRun(ErrorCode::Timeout,
                    "The job's driver did not answer; ask again with the same request id.",
                    kAskAgain);
}

}

AskForwarder::AskForwarder(AskForwarderEnvironment aEnvironment)
  : environment(std::move(aEnvironment))
{
}

void
AskForwarder::Forward(Ask aAsk, Handler aHandler)
{
  aAsk.ticket = ++this->lastTicket;
  const auto until = this->environment.clock.Now() + aAsk.wait + kReplyAllowance;
  Pending pending{ .ask = std::move(aAsk), .until = until, .handler = std::move(aHandler) };
  const auto ticket = this->lastTicket;
  this->Send(this->asks.emplace(ticket, std::move(pending)).first->second);
}

void
AskForwarder::OnReply(const Reply& aNotice)
{
  this->Answer(aNotice.ticket, aNotice.answer);
}

void
AskForwarder::OnPeerDead(const EntryId& aPeer)
{
  for (auto& [ticket, pending] : this->asks) {
    if (pending.driver == aPeer) {
      this->Send(pending);
    }
  }
}

void
AskForwarder::Tick()
{
  const auto now = this->environment.clock.Now();
  std::vector<std::uint64_t> late;
  for (auto& [ticket, pending] : this->asks) {
    if (now >= pending.until) {
      late.push_back(ticket);
    } else if (pending.driver != this->environment.driverOf(pending.ask.submission)) {
      // The former driver does not follow the job any more and may never answer.
      this->Send(pending);
    }
  }
  for (const auto ticket : late) {
    const auto& pending = this->asks.at(ticket);
    this->Answer(ticket, NotAnswered(pending.ask.kind, pending.sent));
  }
}

void
AskForwarder::AnswerAll()
{
  while (!this->asks.empty()) {
    const auto& [ticket, pending] = *this->asks.begin();
    this->Answer(ticket, NotAnswered(pending.ask.kind, pending.sent));
  }
}

void
AskForwarder::Send(Pending& aPending)
{
  aPending.driver = this->environment.driverOf(aPending.ask.submission);
  if (!aPending.driver.IsEmpty()) {
    ++aPending.sent;
    this->environment.send(aPending.driver, aPending.ask);
  }
}

void
AskForwarder::Answer(std::uint64_t aTicket, Result<JobAnswer> aAnswer)
{
  const auto found = this->asks.find(aTicket);
  if (found == this->asks.end()) {
    return;
  }
  auto* verdict = std::get_if<Verdict>(&aAnswer);
  const bool mayBeAccepted = found->second.sent > 1 && found->second.ask.kind == AskKind::Submit;
  if (verdict && mayBeAccepted && verdict->code != ErrorCode::Conflict) {
    // One driver's refusal tells nothing of what another driver did.
    verdict->run = RunState::MayHaveRun;
  }
  const auto handler = std::move(found->second.handler);
  this->asks.erase(found);
  handler(std::move(aAnswer));
}

}
