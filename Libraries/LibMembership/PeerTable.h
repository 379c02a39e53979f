#pragma once

/// @file
/// The other entry instances, as far as they are known here.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibPlatform/InstanceList.h>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace zinc {

/// Life of a peer as seen from here.
enum class PeerState : std::uint8_t
{
  /// Known by name or address, not heard yet.
  Joining,
  Live,
  /// Late with its heartbeats, not yet given up.
  Silent,
  /// Takes no new work; said so itself or is marked so in the instance list.
  Leaving,
  /// Not heard for the timeout, or replaced by a newer process of the same name.
  Dead,
};

/// @return the lower-case name of the state.
[[nodiscard]] std::string_view
ToString(PeerState aState);

/// What a peer says of itself.
struct Heartbeat
{
  EntryId id;
  std::string name;
  ZoneId zone;
  Endpoint endpoint;
  /// Rises with every start of a process of this name.
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

/// One known peer. Its id is empty until it has been heard.
struct Peer
{
  EntryId id;
  std::string name;
  ZoneId zone;
  /// As listed by the platform, which knows how to reach it from here; else as the peer says.
  Endpoint endpoint;
  std::uint64_t incarnation = 0;
  PeerState state = PeerState::Joining;
  /// Last heartbeat, or when it was first listed.
  TimePoint lastHeard{};
};

/// A change of a peer's state.
struct PeerChange
{
  EntryId id;
  std::string name;
  PeerState before = PeerState::Joining;
  PeerState after = PeerState::Joining;

  friend bool operator==(const PeerChange&, const PeerChange&) = default;
};

/// What became of a heartbeat.
enum class HeardOutcome : std::uint8_t
{
  Accepted,
  /// Sent by an older process of the same name.
  Stale,
  /// Our own.
  Self,
};

/// Fixed at creation.
struct PeerTableOptions
{
  EntryId self;
  std::string selfName;
  /// Without a heartbeat for this long a peer is silent.
  Milliseconds silentAfter{ 1000 };
  /// Without a heartbeat for this long a peer is dead.
  Milliseconds peerTimeout{ 3000 };
  /// A dead peer that is not listed is forgotten after this time.
  Milliseconds forgetAfter{ 60000 };
  /// Addresses to try before the instance list has been read.
  std::vector<Endpoint> seeds;
};

/// Peers learned from the instance list, from seeds and from heartbeats. Not thread-safe.
class PeerTable
{
public:
  /// @return a verdict if the timeouts are not positive and rising.
  [[nodiscard]] static Result<PeerTable> Create(PeerTableOptions aOptions);
  ~PeerTable();
  PeerTable(PeerTable&&) noexcept;
  PeerTable& operator=(PeerTable&&) noexcept;

  /// Takes over a reading of the instance list. A peer that it lacks stays while it is heard.
  void Listed(std::span<const Instance> aInstances, TimePoint aNow);

  /// Takes over a heartbeat.
  HeardOutcome Heard(const Heartbeat& aHeartbeat, TimePoint aNow);

  /// Applies the timeouts.
  void Expire(TimePoint aNow);

  /// @return the changes of state since the last call, in order.
  [[nodiscard]] std::vector<PeerChange> TakeChanges();

  /// @return every known peer, by name.
  [[nodiscard]] std::vector<Peer> Peers() const;

  /// @return the peer with this id if it is the newest of its name.
  [[nodiscard]] std::optional<Peer> Find(const EntryId& aId) const;

  /// @return true if the process with this id is known to be gone or to be unheard for the
  /// timeout. An id that was never heard is not dead.
  [[nodiscard]] bool IsDead(const EntryId& aId) const;

  /// @return addresses that heartbeats are sent to: seeds, listed peers and heard peers.
  [[nodiscard]] std::vector<Endpoint> Contacts() const;

private:
  struct Member;
  explicit PeerTable(PeerTableOptions aOptions);

  Member& MemberNamed(const std::string& aName, TimePoint aNow);
  void Replace(Member& aMember, const Heartbeat& aHeartbeat);
  void Record(const Member& aMember, PeerState aBefore);

  PeerTableOptions options;
  std::map<std::string, std::unique_ptr<Member>> members;
  std::map<EntryId, TimePoint> replaced;
  std::vector<PeerChange> changes;
};

}
