#pragma once

/// @file
/// Notices that wait for one peer.

#include <LibBase/Time.h>
#include <LibPeer/Notice.h>
#include <deque>
#include <optional>

namespace zinc {

/// Gathers notices into batches, one in flight at a time, and repeats a batch under its own
/// sequence number until it is acknowledged.
class Outbox
{
public:
  Outbox(EntryId aFrom, EntryId aTo);

  void Add(Notice aNotice);

  /// @return the batch to send now; null if there is none or one is in flight.
  [[nodiscard]] const NoticeBatch* Next(TimePoint aNow);

  /// The batch with this sequence number has been handled. A late reply to a batch that is not in
  /// flight any more is ignored.
  void Acknowledge(std::uint64_t aSequence);

  /// The batch with this sequence number may not have arrived; it is sent again after a while.
  void Fail(std::uint64_t aSequence, TimePoint aNow);

  /// Drops what waits. Sequence numbers go on, since the receiver may come back.
  void Clear();

  [[nodiscard]] bool IsEmpty() const { return this->waiting.empty() && !this->current; }

private:
  enum class State : std::uint8_t
  {
    Idle,
    InFlight,
    Failed,
  };

  [[nodiscard]] bool IsInFlight(std::uint64_t aSequence) const;

  EntryId from;
  EntryId to;
  State state = State::Idle;
  std::uint64_t lastSequence = 0;
  std::deque<Notice> waiting;
  std::optional<NoticeBatch> current;
  TimePoint retryAt{};
};

}
