#pragma once

/// @file
/// Keeps in touch with all peers: beats, membership and ordered delivery of notices.

#include <LibMembership/PeerTable.h>
#include <LibPeer/Outbox.h>
#include <LibPeer/PeerClient.h>
#include <LibPeer/PeerMessages.h>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace zinc {

/// A peer with what it last said.
struct PeerView
{
  Peer peer;
  PeerBeat beat;
  /// When the beat was received or, for a reply, when its call was sent.
  TimePoint heardAt{};
};

/// Is told of what peers send. Runs on the control thread.
class PeerObserver
{
public:
  virtual ~PeerObserver() = default;

  virtual void PeerChanged(const PeerChange& aChange) = 0;
  virtual void BeatHeard(const PeerView& aPeer) = 0;
  virtual void NoticeReceived(const EntryId& aFrom, Notice aNotice) = 0;
};

/// Fixed at creation.
struct PeerHubOptions
{
  Heartbeat self;
  std::vector<Endpoint> seeds;
  Milliseconds beatEvery{ 500 };
  Milliseconds peerTimeout{ 2000 };
};

/// What a hub works with; all of it outlives the hub.
struct PeerHubEnvironment
{
  const Clock& clock;
  PeerObserver& observer;
  std::function<Result<std::shared_ptr<PeerClient>>(const Endpoint&)> connect;
  /// Runs a function after the current one, on the control thread.
  std::function<void(std::function<void()>)> defer;
  /// @return our own beat; its `self` is filled in by the hub.
  std::function<PeerBeat()> describe;
};

/// Not thread-safe; used on the control thread.
class PeerHub
{
public:
  /// @return a verdict if an option is out of range.
  [[nodiscard]] static Result<std::unique_ptr<PeerHub>> Create(PeerHubOptions aOptions,
                                                               PeerHubEnvironment aEnvironment);

  /// Takes over a reading of the instance list.
  void Listed(std::span<const Instance> aInstances);

  /// Sends beats that are due and applies timeouts. Call it several times a beat.
  void Tick();

  /// Sends a beat to every peer at once.
  void BeatNow();

  /// Says in later beats that this process is leaving.
  void Leave();

  /// Queues a notice for a live peer; one for a dead peer is dropped.
  void Send(const EntryId& aTo, Notice aNotice);

  /// Handles a peer's beat. @return our own.
  [[nodiscard]] PeerBeat OnBeat(const PeerBeat& aBeat);

  /// Handles a peer's notices.
  [[nodiscard]] Result<Done> OnNotices(NoticeBatch aBatch);

  /// @return every peer that is live, silent or leaving and has been heard.
  [[nodiscard]] std::vector<PeerView> HeardPeers() const;

  /// @return every known peer, heard or not.
  [[nodiscard]] std::vector<Peer> KnownPeers() const { return this->table.Peers(); }

  [[nodiscard]] bool IsDead(const EntryId& aId) const { return this->table.IsDead(aId); }

  /// @return the client of a peer's address.
  [[nodiscard]] std::shared_ptr<PeerClient> ClientOf(const Endpoint& aEndpoint);

  [[nodiscard]] const EntryId& Self() const { return this->options.self.id; }

private:
  PeerHub(PeerHubOptions aOptions, PeerHubEnvironment aEnvironment, PeerTable aTable);

  [[nodiscard]] PeerBeat OwnBeat() const;
  void SendBeat(const Endpoint& aTo);
  void TakeBeat(const PeerBeat& aBeat, TimePoint aSince);
  void ReportChanges();
  void Flush(const EntryId& aTo);

  PeerHubOptions options;
  PeerHubEnvironment environment;
  PeerTable table;
  std::map<Endpoint, std::shared_ptr<PeerClient>> clients;
  std::map<EntryId, PeerView> views;
  std::map<EntryId, Outbox> outboxes;
  std::map<EntryId, std::uint64_t> lastReceived;
  TimePoint lastBeat{};
};

}
