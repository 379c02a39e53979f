#pragma once

/// @file
/// Tracks which other instances reach the store while this one does not.

#include <LibBase/Time.h>
#include <cstddef>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <span>
#include <string>
#include <vector>

namespace zinc {

/// Limits on probing peers.
struct ReachablePeersOptions
{
  /// How long a positive probe result is valid: an instance notices within this time, after two
  /// failed calls, that its own store is unreachable.
  Milliseconds reachabilityTimeout{ 1200 };
  /// Peers probed in each round; with half of the instances cut off, one of four still reaches the
  /// store in 15 of 16 rounds.
  std::size_t probesPerRound = 4;
  /// Minimum time between two rounds.
  Milliseconds probeInterval{ 400 };
};

/// Chooses among the peers that recently reported that they reach the store. Covers failures in
/// which the store or the network serves some instances and not others.
class ReachablePeers
{
public:
  ReachablePeers(std::uint64_t aSeed, ReachablePeersOptions aOptions = {});

  /// Starts a probe round if one is due.
  /// @param aPeers all candidates
  /// @return a random selection of peers to probe; empty if no round is due
  [[nodiscard]] std::vector<std::string> SelectPeersToProbe(std::span<const std::string> aPeers,
                                                            TimePoint aNow);

  void OnProbeResult(const std::string& aPeer, bool aReachesStore, TimePoint aNow);

  /// Discards a peer's last positive probe result.
  void MarkUnreachable(const std::string& aPeer);

  /// @return a random peer that reaches the store; nothing if none is known.
  [[nodiscard]] std::optional<std::string> ChoosePeer(TimePoint aNow);

private:
  pcg32 random;
  ReachablePeersOptions options;
  std::map<std::string, TimePoint> lastConfirmedAt;
  std::optional<TimePoint> lastRoundAt;
};

}
