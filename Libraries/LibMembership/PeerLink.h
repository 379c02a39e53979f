#pragma once

/// @file
/// The state machine of the link to one peer.

#include <LibMembership/PeerTable.h>
#include <memory>

namespace zinc::detail {

/// What happens to a link.
enum class LinkEvent : std::uint8_t
{
  Heartbeat,
  Quiet,
  TimedOut,
  Leave,
  /// A newer process of the same name answers in its place.
  Replaced,
};

/// Follows one peer through the states of @ref PeerState.
class PeerLink
{
public:
  PeerLink();
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  void Process(LinkEvent aEvent);
  [[nodiscard]] PeerState State() const;

  /// @return bytes of one machine with its queues.
  [[nodiscard]] static std::size_t MachineSize();

private:
  struct Machine;
  std::unique_ptr<Machine> machine;
};

}
