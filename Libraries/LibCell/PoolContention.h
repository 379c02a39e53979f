#pragma once

/// @file
/// Tells whether the document promises the workspaces together much more than a pool has. Load:
/// workspaces that compete for too little room.

#include <LibCell/Policy.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace zinc::cell {

/// Thresholds of the contention of a pool.
struct PoolContentionOptions
{
  /// A pool is contended once the workspaces' processor limits add up to this many times its
  /// processors.
  double oversubscriptionThreshold = 1.7;
  /// A contended pool stays so until the ratio is this much lower, so that a change of one limit
  /// does not switch it to and fro.
  double hysteresis = 0.05;
};

/// Compares the workspaces' limits with the processors of each pool. Depends on the document and on
/// the workers alone, so that a passing fault does not change it.
class PoolContention
{
public:
  explicit PoolContention(PoolContentionOptions aOptions = {})
    : options(aOptions)
  {
  }

  /// Applies a new version of the document.
  void SetPolicy(const CellPolicy& aPolicy);
  /// Reports the processors of a pool's workers, thousandths of a core. The largest amount counts,
  /// since workers that are away come back.
  void UpdateCapacity(std::string_view aPool, std::int64_t aMilliCores);
  /// @return true if the pool is contended; false for one without workers
  [[nodiscard]] bool IsContended(std::string_view aPool) const;
  [[nodiscard]] bool HasContendedPool() const;
  /// @return the sum of the workspaces' limits over the pool's processors; 0 for a pool without
  /// workers
  [[nodiscard]] double OversubscriptionOf(std::string_view aPool) const;

private:
  struct PoolState
  {
    std::int64_t milliCores = 0;
    bool isContended = false;
  };

  [[nodiscard]] double OversubscriptionOf(const PoolState& aState) const;
  void UpdateState(PoolState& aState) const;

  PoolContentionOptions options;
  /// Sum of the limits, thousandths of a core.
  std::int64_t limitedMilliCores = 0;
  /// Workspaces without a limit; each may use the whole pool.
  std::int64_t unlimitedWorkspaces = 0;
  std::map<std::string, PoolState, std::less<>> pools;
};

}
