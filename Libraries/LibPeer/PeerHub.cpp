#include <LibPeer/PeerHub.h>

#include <set>

namespace zinc {

PeerHub::PeerHub(PeerHubOptions aOptions, PeerHubEnvironment aEnvironment, PeerTable aTable)
  : options(std::move(aOptions))
  , environment(std::move(aEnvironment))
  , table(std::move(aTable))
{
}

Result<std::unique_ptr<PeerHub>>
PeerHub::Create(PeerHubOptions aOptions, PeerHubEnvironment aEnvironment)
{
  auto table = PeerTable::Create({ .self = aOptions.self.id,
                                   .selfName = aOptions.self.name,
                                   .silentAfter = aOptions.beatEvery * 2,
                                   .peerTimeout = aOptions.peerTimeout,
                                   .seeds = aOptions.seeds });
  if (IsError(table)) {
    return ErrorOf(table);
  }
  return std::unique_ptr<PeerHub>(
    new PeerHub(std::move(aOptions), std::move(aEnvironment), std::move(ValueOf(table))));
}

void
PeerHub::Listed(std::span<const Instance> aInstances)
{
  this->table.Listed(aInstances, this->environment.clock.Now());
  this->ReportChanges();
}

void
PeerHub::Tick()
{
  const auto now = this->environment.clock.Now();
  this->table.Expire(now);
  this->ReportChanges();
  if (now - this->lastBeat >= this->options.beatEvery) {
    this->BeatNow();
  }
  for (const auto& [id, outbox] : this->outboxes) {
    this->Flush(id);
  }
}

void
PeerHub::BeatNow()
{
  this->lastBeat = this->environment.clock.Now();
  for (const auto& endpoint : this->table.Contacts()) {
    if (endpoint != this->options.self.endpoint) {
      this->SendBeat(endpoint);
    }
  }
}

void
PeerHub::Leave()
{
  this->options.self.leaving = true;
  this->BeatNow();
}

void
PeerHub::Send(const EntryId& aTo, Notice aNotice)
{
  if (this->table.IsDead(aTo) || !this->views.contains(aTo)) {
    return;
  }
  auto [found, inserted] = this->outboxes.try_emplace(aTo, this->options.self.id, aTo);
  const bool wasEmpty = found->second.IsEmpty();
  found->second.Add(std::move(aNotice));
  if (wasEmpty) {
    this->environment.defer([this, aTo] { this->Flush(aTo); });
  }
}

PeerBeat
PeerHub::OnBeat(const PeerBeat& aBeat)
{
  this->TakeBeat(aBeat, this->environment.clock.Now());
  return this->OwnBeat();
}

Result<Done>
PeerHub::OnNotices(NoticeBatch aBatch)
{
  if (aBatch.to != this->options.self.id) {
    return NotRun(ErrorCode::NotFound, "The notices are for another process.");
  }
  auto& last = this->lastReceived[aBatch.from];
  if (aBatch.sequence <= last) {
    return Done{};
  }
  last = aBatch.sequence;
  for (auto& notice : aBatch.notices) {
    this->environment.observer.NoticeReceived(aBatch.from, std::move(notice));
  }
  return Done{};
}

std::vector<PeerView>
PeerHub::HeardPeers() const
{
  std::vector<PeerView> heard;
  for (const auto& peer : this->table.Peers()) {
    const auto view = this->views.find(peer.id);
    if (peer.state == PeerState::Dead || view == this->views.end()) {
      continue;
    }
    heard.push_back(view->second);
    heard.back().peer = peer;
  }
  return heard;
}

std::shared_ptr<PeerClient>
PeerHub::ClientOf(const Endpoint& aEndpoint)
{
  const auto found = this->clients.find(aEndpoint);
  if (found != this->clients.end()) {
    return found->second;
  }
  auto created = this->environment.connect(aEndpoint);
  if (IsError(created)) {
    return nullptr;
  }
  return this->clients.emplace(aEndpoint, std::move(ValueOf(created))).first->second;
}

PeerBeat
PeerHub::OwnBeat() const
{
  auto beat = this->environment.describe();
  beat.self = this->options.self;
  return beat;
}

void
PeerHub::SendBeat(const Endpoint& aTo)
{
  const auto client = this->ClientOf(aTo);
  if (!client) {
    return;
  }
  const auto sentAt = this->environment.clock.Now();
  client->SendBeat(this->OwnBeat(), [this, sentAt](Result<PeerBeat> aReply) {
    if (!IsError(aReply)) {
      this->TakeBeat(ValueOf(aReply), sentAt);
    }
  });
}

void
PeerHub::TakeBeat(const PeerBeat& aBeat, TimePoint aSince)
{
  const auto outcome = this->table.Heard(aBeat.self, this->environment.clock.Now());
  if (outcome != HeardOutcome::Accepted) {
    return;
  }
  auto& view = this->views[aBeat.self.id];
  view.beat = aBeat;
  view.heardAt = aSince;
  const auto peer = this->table.Find(aBeat.self.id);
  if (peer) {
    view.peer = *peer;
  }
  this->ReportChanges();
  this->environment.observer.BeatHeard(view);
}

void
PeerHub::ReportChanges()
{
  for (const auto& change : this->table.TakeChanges()) {
    if (change.after == PeerState::Dead) {
      const auto outbox = this->outboxes.find(change.id);
      if (outbox != this->outboxes.end()) {
        outbox->second.Clear();
      }
      this->views.erase(change.id);
    }
    this->environment.observer.PeerChanged(change);
  }
}

void
PeerHub::Flush(const EntryId& aTo)
{
  const auto outbox = this->outboxes.find(aTo);
  const auto view = this->views.find(aTo);
  if (outbox == this->outboxes.end() || view == this->views.end()) {
    return;
  }
  const auto* batch = outbox->second.Next(this->environment.clock.Now());
  if (!batch) {
    return;
  }
  const auto sequence = batch->sequence;
  const auto client = this->ClientOf(view->second.peer.endpoint);
  if (!client) {
    outbox->second.Fail(sequence, this->environment.clock.Now());
    return;
  }
  client->Deliver(*batch, [this, aTo, sequence](Result<Done> aReply) {
    const auto found = this->outboxes.find(aTo);
    if (found == this->outboxes.end()) {
      return;
    }
    if (IsError(aReply)) {
      found->second.Fail(sequence, this->environment.clock.Now());
      return;
    }
    found->second.Acknowledge(sequence);
    this->Flush(aTo);
  });
}

}
