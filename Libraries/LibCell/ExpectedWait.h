#pragma once

/// @file
/// The leader's forecast for jobs that arrive now, as its record publishes it.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <cstddef>

namespace zinc::cell {

/// Maximum number of forecasts in the leader record. A cell has a few queues and tens of
/// workspaces; the bound keeps the record under 64 kB with names of any permitted length.
inline constexpr std::size_t kMaxExpectedWaits = 64;

/// Expected time until a job that arrives now starts.
struct ExpectedWait
{
  QueueId queue;
  /// Workspace that is beyond its weight or at its limit. Empty: the value holds for the queue's
  /// other workspaces.
  WorkspaceId workspace;
  Milliseconds wait{ 0 };

  friend bool operator==(const ExpectedWait&, const ExpectedWait&) = default;
};

}
