#pragma once

/// @file
/// Element-wise operations on resources used by placement.

#include <LibBase/Resources.h>
#include <cstdint>

namespace zinc {

/// @return the maximum of each amount.
[[nodiscard]] inline Resources
ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return { .milliCores = std::max(aLeft.milliCores, aRight.milliCores),
           .memoryMiB = std::max(aLeft.memoryMiB, aRight.memoryMiB),
           .accelerators = std::max(aLeft.accelerators, aRight.accelerators),
           .slots = std::max(aLeft.slots, aRight.slots) };
}

/// @return the minimum of each amount.
[[nodiscard]] inline Resources
ElementwiseMin(const Resources& aLeft, const Resources& aRight)
{
  return { .milliCores = std::min(aLeft.milliCores, aRight.milliCores),
           .memoryMiB = std::min(aLeft.memoryMiB, aRight.memoryMiB),
           .accelerators = std::min(aLeft.accelerators, aRight.accelerators),
           .slots = std::min(aLeft.slots, aRight.slots) };
}

/// @return @p aCount times the amounts.
[[nodiscard]] inline Resources
Multiply(const Resources& aAmount, std::uint64_t aCount)
{
  const auto count = static_cast<std::int64_t>(aCount);
  return { .milliCores = aAmount.milliCores * count,
           .memoryMiB = aAmount.memoryMiB * count,
           .accelerators = aAmount.accelerators * count,
           .slots = aAmount.slots * count };
}

/// @return how many times the request fits in the room, at most @p aMaxCount.
[[nodiscard]] inline std::uint64_t
CountFitting(const Resources& aRequest, const Resources& aRoom, std::uint64_t aMaxCount)
{
  if (!aRequest.FitsIn(aRoom)) {
    return 0;
  }
  std::uint64_t fitting = aMaxCount;
  const auto limitBy = [&fitting](std::int64_t aRequestedAmount, std::int64_t aAvailableAmount) {
    if (aRequestedAmount > 0) {
      fitting = std::min(fitting, static_cast<std::uint64_t>(aAvailableAmount / aRequestedAmount));
    }
  };
  limitBy(aRequest.milliCores, aRoom.milliCores);
  limitBy(aRequest.memoryMiB, aRoom.memoryMiB);
  limitBy(aRequest.accelerators, aRoom.accelerators);
  limitBy(aRequest.slots, aRoom.slots);
  return fitting;
}

}
