#include <LibCell/WorkspaceLimit.h>

#include <algorithm>
#include <limits>

namespace zinc::cell {

namespace {

/// @return the fraction of the limit that batch tasks may use. They leave @p aHeadroom to urgent
/// tasks, but only once the workspace uses half of its limit: two wide gangs that fit into the
/// limit together would run one after the other otherwise.
double
BatchFractionOfLimit(const WorkspaceUsage& aUsage, double aHeadroom)
{
  return UsesLessThanHalfOfLimit(aUsage) ? 1.0 : 1.0 - aHeadroom;
}

}

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

std::uint32_t
CountTasksWithinLimit(const WorkspaceUsage& aUsage, const LimitRequest& aRequest, double aHeadroom)
{
  if (!aUsage.limit) {
    return aRequest.maxTasks;
  }
  const double usableFraction =
    aRequest.mayUseHeadroom ? 1.0 : BatchFractionOfLimit(aUsage, aHeadroom);
  auto used = aUsage.running + aUsage.unread + aUsage.awaitingRecords;
  // Another gang that fits may go first, but single tasks would take each core as it is freed.
  if (aUsage.reservedForGang && !aRequest.mayUseReservation) {
    used += *aUsage.reservedForGang;
  }
  auto room = static_cast<std::int64_t>(aRequest.maxTasks);
  const auto bound = [&](std::int64_t aLimit, std::int64_t aUsed, std::int64_t aNeed) {
    if (aLimit > 0 && aNeed > 0) {
      // A demand above that fraction may use the whole limit, since it could never start otherwise.
      const auto reduced = static_cast<std::int64_t>(static_cast<double>(aLimit) * usableFraction);
      const auto usable = aNeed * aRequest.maxTasks > reduced ? aLimit : reduced;
      room = std::min(room, std::max<std::int64_t>(0, usable - aUsed) / aNeed);
    }
  };
  const auto& limit = *aUsage.limit;
  bound(limit.milliCores, used.milliCores, aRequest.demand.milliCores);
  bound(limit.memoryMiB, used.memoryMiB, aRequest.demand.memoryMiB);
  bound(limit.accelerators, used.accelerators, aRequest.demand.accelerators);
  return static_cast<std::uint32_t>(room);
}

}
