#pragma once

/// @file
/// Brings callers' requests to the driver of their job and its answers back.

#include <LibBase/Time.h>
#include <LibPeer/Notice.h>
#include <functional>
#include <map>

namespace zinc {

/// What a forwarder works with; all of it outlives the forwarder.
struct AskForwarderEnvironment
{
  const Clock& clock;
  /// @return who drives the job of this request; empty if nobody is known to.
  std::function<EntryId(const Submission&)> driverOf;
  std::function<void(const EntryId&, Notice)> send;
};

/// A request may be brought to several drivers in turn: its request id keeps it from running
/// twice. Not thread-safe; used on the control thread.
class AskForwarder
{
public:
  using Handler = std::function<void(Result<JobAnswer>)>;

  explicit AskForwarder(AskForwarderEnvironment aEnvironment);

  /// Asks the driver. @param aAsk its ticket is filled in here
  void Forward(Ask aAsk, Handler aHandler);

  void OnReply(const Reply& aNotice);

  /// Asks the next driver what a dead one was asked.
  void OnPeerDead(const EntryId& aPeer);

  /// Answers what was not answered in time.
  void Tick();

  /// Answers everything that is open, before the process ends.
  void AnswerAll();

  [[nodiscard]] std::size_t OpenAsks() const { return this->asks.size(); }

private:
  struct Pending
  {
    Ask ask;
    EntryId driver;
    /// Times that it was sent to a driver.
    std::uint32_t sent = 0;
    TimePoint until{};
    Handler handler;
  };

  void Send(Pending& aPending);
  void Answer(std::uint64_t aTicket, Result<JobAnswer> aAnswer);

  AskForwarderEnvironment environment;
  std::map<std::uint64_t, Pending> asks;
  std::uint64_t lastTicket = 0;
};

}
