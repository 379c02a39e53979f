#include <LibMembership/PeerLink.h>
#include <LibMembership/PeerTable.h>

#include <algorithm>
#include <array>

namespace zinc {

namespace {

constexpr std::array<std::string_view, 5> kPeerStateNames = { "joining",
                                                              "live",
                                                              "silent",
                                                              "leaving",
                                                              "dead" };

}

struct PeerTable::Member
{
  Peer peer;
  detail::PeerLink link;
  bool listed = false;
};

std::string_view
ToString(PeerState aState)
{
  return kPeerStateNames.at(static_cast<std::size_t>(aState));
}

Result<PeerTable>
PeerTable::Create(PeerTableOptions aOptions)
{
  const bool rising = Milliseconds{ 0 } < aOptions.silentAfter &&
                      aOptions.silentAfter < aOptions.peerTimeout &&
                      aOptions.peerTimeout <= aOptions.forgetAfter;
  if (!rising) {
    return NotRun(ErrorCode::BadRequest, "The peer timeouts must be positive and rising.");
  }
  return PeerTable(std::move(aOptions));
}

PeerTable::PeerTable(PeerTableOptions aOptions)
  : options(std::move(aOptions))
{
}

PeerTable::~PeerTable() = default;
PeerTable::PeerTable(PeerTable&&) noexcept = default;
PeerTable&
PeerTable::operator=(PeerTable&&) noexcept = default;

PeerTable::Member&
PeerTable::MemberNamed(const std::string& aName, TimePoint aNow)
{
  std::unique_ptr<Member>& member = this->members[aName];
  if (!member) {
    member = std::make_unique<Member>();
    member->peer.name = aName;
    member->peer.lastHeard = aNow;
  }
  return *member;
}

void
PeerTable::Record(const Member& aMember, PeerState aBefore)
{
  const PeerState after = aMember.link.State();
  if (after != aBefore) {
    this->changes.push_back({ aMember.peer.id, aMember.peer.name, aBefore, after });
  }
}

void
PeerTable::Listed(std::span<const Instance> aInstances, TimePoint aNow)
{
  for (auto& [name, member] : this->members) {
    member->listed = false;
  }
  for (const Instance& instance : aInstances) {
    if (instance.role != InstanceRole::Entry || instance.name == this->options.selfName) {
      continue;
    }
    Member& member = this->MemberNamed(instance.name, aNow);
    member.listed = true;
    member.peer.zone = instance.zone;
    member.peer.endpoint = instance.endpoint;
    if (instance.state == InstanceState::Leaving) {
      const PeerState before = member.link.State();
      member.link.Process(detail::LinkEvent::Leave);
      this->Record(member, before);
    }
  }
}

void
PeerTable::Replace(Member& aMember, const Heartbeat& aHeartbeat)
{
  const PeerState before = aMember.link.State();
  aMember.link.Process(detail::LinkEvent::Replaced);
  this->Record(aMember, before);
  this->replaced[aMember.peer.id] = aMember.peer.lastHeard;
  auto successor = std::make_unique<Member>();
  successor->peer.name = aHeartbeat.name;
  successor->peer.endpoint = aMember.peer.endpoint;
  successor->listed = aMember.listed;
  this->members[aHeartbeat.name] = std::move(successor);
}

HeardOutcome
PeerTable::Heard(const Heartbeat& aHeartbeat, TimePoint aNow)
{
  if (aHeartbeat.id == this->options.self || aHeartbeat.name == this->options.selfName) {
    return HeardOutcome::Self;
  }
  Member* member = &this->MemberNamed(aHeartbeat.name, aNow);
  const bool sameProcess = member->peer.id.IsEmpty() || member->peer.id == aHeartbeat.id;
  if (!sameProcess) {
    if (aHeartbeat.incarnation <= member->peer.incarnation) {
      return HeardOutcome::Stale;
    }
    this->Replace(*member, aHeartbeat);
    member = this->members.at(aHeartbeat.name).get();
  }
  member->peer.id = aHeartbeat.id;
  member->peer.zone = aHeartbeat.zone;
  if (!member->listed) {
    member->peer.endpoint = aHeartbeat.endpoint;
  }
  member->peer.incarnation = aHeartbeat.incarnation;
  member->peer.lastHeard = std::max(member->peer.lastHeard, aNow);
  const PeerState before = member->link.State();
  member->link.Process(aHeartbeat.leaving ? detail::LinkEvent::Leave
                                          : detail::LinkEvent::Heartbeat);
  this->Record(*member, before);
  return HeardOutcome::Accepted;
}

void
PeerTable::Expire(TimePoint aNow)
{
  for (auto& [name, member] : this->members) {
    const Milliseconds silence = aNow - member->peer.lastHeard;
    const PeerState before = member->link.State();
    if (silence >= this->options.peerTimeout) {
      member->link.Process(detail::LinkEvent::TimedOut);
    } else if (silence >= this->options.silentAfter) {
      member->link.Process(detail::LinkEvent::Quiet);
    }
    this->Record(*member, before);
  }
  std::erase_if(this->members, [&](const auto& aItem) {
    const Member& member = *aItem.second;
    return !member.listed && member.link.State() == PeerState::Dead &&
           aNow - member.peer.lastHeard >= this->options.forgetAfter;
  });
  std::erase_if(this->replaced, [&](const auto& aItem) {
    return aNow - aItem.second >= this->options.forgetAfter;
  });
}

std::vector<PeerChange>
PeerTable::TakeChanges()
{
  return std::exchange(this->changes, {});
}

std::vector<Peer>
PeerTable::Peers() const
{
  std::vector<Peer> peers;
  peers.reserve(this->members.size());
  for (const auto& [name, member] : this->members) {
    peers.push_back(member->peer);
    peers.back().state = member->link.State();
  }
  return peers;
}

std::optional<Peer>
PeerTable::Find(const EntryId& aId) const
{
  for (const auto& [name, member] : this->members) {
    if (!aId.IsEmpty() && member->peer.id == aId) {
      Peer peer = member->peer;
      peer.state = member->link.State();
      return peer;
    }
  }
  return {};
}

bool
PeerTable::IsDead(const EntryId& aId) const
{
  const std::optional<Peer> peer = this->Find(aId);
  return peer ? peer->state == PeerState::Dead : this->replaced.contains(aId);
}

std::vector<Endpoint>
PeerTable::Contacts() const
{
  std::vector<Endpoint> contacts = this->options.seeds;
  for (const auto& [name, member] : this->members) {
    contacts.push_back(member->peer.endpoint);
  }
  std::ranges::sort(contacts);
  contacts.erase(std::unique(contacts.begin(), contacts.end()), contacts.end());
  return contacts;
}

}
