#pragma once

/// @file
/// How many workers are kept free of batch tasks until pending gangs fit there. Load: several gangs
/// per second arrive in a pool that is nearly full.

#include <cstddef>
#include <cstdint>

namespace zinc::cell {

/// Bounds of the workers earmarked for gangs.
struct EarmarkBudgetOptions
{
  /// Gangs with earmarked workers in a pool that is not contended.
  std::size_t maxGangs = 5;
  /// No further gang once this share of a contended pool's workers is earmarked. A number of gangs
  /// would bound a large pool to few at a time, while its small tasks take each core that becomes
  /// free.
  double maxContendedShare = 0.25;
};

/// Counts the workers that are earmarked in the current gang round.
class EarmarkBudget
{
public:
  explicit EarmarkBudget(EarmarkBudgetOptions aOptions = {})
    : options(aOptions)
  {
  }

  void BeginRound()
  {
    this->gangs = 0;
    this->workers = 0;
  }
  /// @param aPoolWorkers workers of the gang's pool
  /// @return true if workers may be earmarked for another gang
  [[nodiscard]] bool AllowsGang(bool aIsContended, std::size_t aPoolWorkers) const
  {
    if (!aIsContended) {
      return this->gangs < this->options.maxGangs;
    }
    return static_cast<double>(this->workers) <
           static_cast<double>(aPoolWorkers) * this->options.maxContendedShare;
  }
  void AddGang() { ++this->gangs; }
  void AddWorker() { ++this->workers; }

private:
  EarmarkBudgetOptions options;
  std::size_t gangs = 0;
  std::size_t workers = 0;
};

}
