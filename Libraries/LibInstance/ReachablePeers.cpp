#include <LibInstance/ReachablePeers.h>

#include <algorithm>

namespace zinc {

ReachablePeers::ReachablePeers(std::uint64_t aSeed, ReachablePeersOptions aOptions)
  : random(aSeed)
  , options(aOptions)
{
}

std::vector<std::string>
ReachablePeers::DueProbes(std::span<const std::string> aKnown, TimePoint aNow)
{
  if (this->lastRound && aNow - *this->lastRound < this->options.probePause) {
    return {};
  }
  this->lastRound = aNow;
  std::vector<std::string> asked;
  std::sample(aKnown.begin(),
              aKnown.end(),
              std::back_inserter(asked),
              static_cast<std::ptrdiff_t>(this->options.probes),
              this->random);
  return asked;
}

void
ReachablePeers::OnAnswer(const std::string& aPeer, bool aReachesStore, TimePoint aNow)
{
  if (aReachesStore) {
    this->saidAt[aPeer] = aNow;
  } else {
    this->Doubt(aPeer);
  }
}

void
ReachablePeers::Doubt(const std::string& aPeer)
{
  this->saidAt.erase(aPeer);
}

std::optional<std::string>
ReachablePeers::Choose(TimePoint aNow)
{
  std::erase_if(this->saidAt,
                [&](const auto& aPeer) { return aNow - aPeer.second > this->options.believedFor; });
  if (this->saidAt.empty()) {
    return {};
  }
  const auto chosen = this->random(static_cast<std::uint32_t>(this->saidAt.size()));
  return std::next(this->saidAt.begin(), chosen)->first;
}

}
