#pragma once

/// @file
/// How much of its workspace's limit a step may use. In a limit an amount of 0 means no limit.
/// Load: wide gangs of one workspace beside its urgent tasks.

#include <LibBase/Resources.h>
#include <LibCell/WorkspaceUsage.h>
#include <cstdint>

namespace zinc::cell {

/// @return what remains of a limit
[[nodiscard]] Resources
RemainingLimit(const Resources& aLimit, const Resources& aUsed);

/// @return true if the amount is within the limit
[[nodiscard]] bool
IsWithinLimit(const Resources& aAmount, const Resources& aLimit);

/// @return true if the workspace has no limit, or uses less than half of it of every resource
[[nodiscard]] bool
UsesLessThanHalfOfLimit(const WorkspaceUsage& aUsage);

/// @return true if the workspace may use this much more
[[nodiscard]] bool
AllowsWithinLimit(const WorkspaceUsage& aUsage, const Resources& aDemand);

/// The tasks that a step has to place.
struct LimitRequest
{
  /// Resources of one task.
  Resources demand;
  std::uint32_t maxTasks = 1;
  /// The step may use what is kept for urgent tasks.
  bool mayUseHeadroom = false;
  /// The step may use what is reserved for a pending gang.
  bool mayUseReservation = false;
};

/// @return how many more of the tasks the limit allows, at most all
/// @param aHeadroom fraction of the limit that batch tasks leave to urgent tasks
[[nodiscard]] std::uint32_t
CountTasksWithinLimit(const WorkspaceUsage& aUsage, const LimitRequest& aRequest, double aHeadroom);

}
