#include <LibInstance/ReachablePeers.h>

#include <algorithm>

namespace zinc {

ReachablePeers::ReachablePeers(std::uint64_t aSeed, ReachablePeersOptions aOptions)
  : random(aSeed)
  , options(aOptions)
{
}

std::vector<std::string>
ReachablePeers::SelectPeersToProbe(std::span<const std::string> aPeers, TimePoint aNow)
{
  if (this->lastRoundAt && aNow - *this->lastRoundAt < this->options.probeInterval) {
    return {};
  }
  this->lastRoundAt = aNow;
  std::vector<std::string> selected;
  std::sample(aPeers.begin(),
              aPeers.end(),
              std::back_inserter(selected),
              static_cast<std::ptrdiff_t>(this->options.probesPerRound),
              this->random);
  return selected;
}

void
ReachablePeers::OnProbeResult(const std::string& aPeer, bool aReachesStore, TimePoint aNow)
{
  if (aReachesStore) {
    this->lastConfirmedAt[aPeer] = aNow;
  } else {
    this->MarkUnreachable(aPeer);
  }
}

void
ReachablePeers::MarkUnreachable(const std::string& aPeer)
{
  this->lastConfirmedAt.erase(aPeer);
}

std::optional<std::string>
ReachablePeers::ChoosePeer(TimePoint aNow)
{
  std::erase_if(this->lastConfirmedAt, [&](const auto& aPeer) {
    return aNow - aPeer.second > this->options.reachabilityTimeout;
  });
  if (this->lastConfirmedAt.empty()) {
    return {};
  }
  const auto chosen = this->random(static_cast<std::uint32_t>(this->lastConfirmedAt.size()));
  return std::next(this->lastConfirmedAt.begin(), chosen)->first;
}

}
