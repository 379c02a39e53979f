#pragma once

/// @file
/// Which other instances reach the store while this one does not.

#include <LibBase/Time.h>
#include <cstddef>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <span>
#include <string>
#include <vector>

namespace zinc {

/// Bounds of the search for peers.
struct ReachablePeersOptions
{
  /// How long a peer's word that it reaches the store holds: the time in which an instance notices
  /// that its own store is away, after two calls.
  Milliseconds believedFor{ 1200 };
  /// Peers asked at a time; at least one of four answers while half of the instances are cut off,
  /// in all but one case of sixteen.
  std::size_t probes = 4;
  /// Time between two rounds of questions.
  Milliseconds probePause{ 400 };
};

/// Chooses among the peers that said a moment ago that they reach the store. Answers the pattern
/// in which the store or the network turns some instances away and serves the others.
class ReachablePeers
{
public:
  ReachablePeers(std::uint64_t aSeed, ReachablePeersOptions aOptions = {});

  /// Begins a round of questions if one is due.
  /// @param aKnown every other instance
  /// @return whom to ask, at random
  [[nodiscard]] std::vector<std::string> DueProbes(std::span<const std::string> aKnown,
                                                   TimePoint aNow);

  void OnAnswer(const std::string& aPeer, bool aReachesStore, TimePoint aNow);

  /// Takes no notice any more of what a peer said before.
  void Doubt(const std::string& aPeer);

  /// @return one of the peers that reach the store, at random; nothing if none is known.
  [[nodiscard]] std::optional<std::string> Choose(TimePoint aNow);

private:
  pcg32 random;
  ReachablePeersOptions options;
  std::map<std::string, TimePoint> saidAt;
  std::optional<TimePoint> lastRound;
};

}
