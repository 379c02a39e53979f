#pragma once

/// @file
/// Arithmetic of a workspace's limit, in which an amount of 0 means no limit.

#include <LibBase/Resources.h>
#include <LibCell/WorkspaceUsage.h>

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

}
