#include <LibCell/WorkspaceLimit.h>

#include <algorithm>
#include <limits>

namespace zinc::cell {

Resources
RemainingLimit(const Resources& aLimit, const Resources& aUsed)
{
  constexpr auto kNoLimit = std::numeric_limits<std::int64_t>::max();
  const auto remaining = [](std::int64_t aMax, std::int64_t aUsedAmount) {
    return aMax == 0 ? kNoLimit : std::max<std::int64_t>(0, aMax - aUsedAmount);
  };
  return { .milliCores = remaining(aLimit.milliCores, aUsed.milliCores),
           .memoryMiB = remaining(aLimit.memoryMiB, aUsed.memoryMiB),
           .accelerators = remaining(aLimit.accelerators, aUsed.accelerators) };
}

bool
IsWithinLimit(const Resources& aAmount, const Resources& aLimit)
{
  const auto isWithin = [](std::int64_t aUsed, std::int64_t aMax) {
    return aMax == 0 || aUsed <= aMax;
  };
  return isWithin(aAmount.milliCores, aLimit.milliCores) &&
         isWithin(aAmount.memoryMiB, aLimit.memoryMiB) &&
         isWithin(aAmount.accelerators, aLimit.accelerators);
}

bool
UsesLessThanHalfOfLimit(const WorkspaceUsage& aUsage)
{
  if (!aUsage.limit) {
    return true;
  }
  const auto used = aUsage.running + aUsage.unread;
  const auto isLessThanHalf = [](std::int64_t aUsed, std::int64_t aMax) {
    return aMax == 0 || aUsed * 2 < aMax;
  };
  return isLessThanHalf(used.milliCores, aUsage.limit->milliCores) &&
         isLessThanHalf(used.memoryMiB, aUsage.limit->memoryMiB) &&
         isLessThanHalf(used.accelerators, aUsage.limit->accelerators);
}

bool
AllowsWithinLimit(const WorkspaceUsage& aUsage, const Resources& aDemand)
{
  return !aUsage.limit || IsWithinLimit(aUsage.running + aUsage.unread + aDemand, *aUsage.limit);
}

}
