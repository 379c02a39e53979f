#pragma once

/// @file
/// What the shards of one ledger share.

#include <LibLedger/Ledger.h>
#include <functional>
#include <pcg_random.hpp>
#include <random>
#include <vector>

namespace zinc::detail {

struct ShardContext
{
  LedgerOptions options;
  LedgerEnvironment environment;
  LedgerStatistics statistics;
  pcg64 random;
  /// Wall-clock time of the last tick.
  WallTime wall{};
  /// Answers that were known inside the call that asked; given by the next tick.
  std::vector<std::function<void()>> deferred;

  [[nodiscard]] TimePoint Now() const { return this->environment.clock.Now(); }

  /// @return a wait that doubles with every failure in a row, with jitter of a half either way.
  [[nodiscard]] Milliseconds Backoff(std::uint32_t aFailures)
  {
    constexpr std::uint32_t kMaxDoublings = 16;
    const auto doublings = std::min(aFailures, kMaxDoublings);
    const Milliseconds wait =
      std::min(this->options.maxBackoff, this->options.minBackoff * (1U << doublings));
    std::uniform_int_distribution<Milliseconds::rep> jitter(wait.count() / 2,
                                                            wait.count() + wait.count() / 2);
    return Milliseconds(jitter(this->random));
  }
};

}
