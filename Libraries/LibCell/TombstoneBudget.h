#pragma once

/// @file
/// Decides whether an instance may write another tombstone. Load: a crowd of callers that cancel
/// ids under which no job was ever submitted.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <LibCell/Tombstone.h>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace zinc::cell {

/// Limits of an instance's tombstones.
struct TombstoneBudgetOptions
{
  /// Tombstones that all instances together may write within @ref window: it bounds the rows in the
  /// store, and the memory of the leader, which removes them.
  std::size_t maxOfCell = 12'000;
  /// The share of an instance, however many there are.
  std::size_t minShare = 100;
  Milliseconds window{ kTombstoneRetention };
};

/// Counts the tombstones of the last @ref TombstoneBudgetOptions::window. An instance may write its
/// share, and a workspace half of that, so that none takes it all.
class TombstoneBudget
{
public:
  explicit TombstoneBudget(TombstoneBudgetOptions aOptions = {});

  /// Sets the number of instances that share the cell's tombstones.
  void SetInstanceCount(std::size_t aCount);
  /// @return the tombstones that this instance may write within the window
  [[nodiscard]] std::size_t Share() const { return this->share; }

  /// Takes one tombstone, if the limits allow it.
  /// @return nothing if it was taken; otherwise the time until one can be
  [[nodiscard]] std::optional<Milliseconds> Take(const WorkspaceId& aWorkspace, TimePoint aNow);

private:
  void RemoveOlderThan(TimePoint aTime);

  TombstoneBudgetOptions options;
  std::size_t share;
  /// When each was taken and by whom, oldest first.
  std::deque<std::pair<TimePoint, WorkspaceId>> taken;
  std::map<WorkspaceId, std::deque<TimePoint>> takenByWorkspace;
};

}
