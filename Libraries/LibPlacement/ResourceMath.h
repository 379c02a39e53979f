#pragma once

/// @file
/// Element-wise operations on resources that only placement needs.

#include <LibBase/Resources.h>
#include <cstdint>

namespace zinc {

/// @return the larger of each amount.
[[nodiscard]] inline Resources
ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return { .milliCores = std::max(aLeft.milliCores, aRight.milliCores),
           .memoryMiB = std::max(aLeft.memoryMiB, aRight.memoryMiB),
           .accelerators = std::max(aLeft.accelerators, aRight.accelerators),
           .slots = std::max(aLeft.slots, aRight.slots) };
}

/// @return the smaller of each amount.
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

/// @return how often the request fits in the room, counted up to @p aEnough.
[[nodiscard]] inline std::uint64_t
CountFitting(const Resources& aRequest, const Resources& aRoom, std::uint64_t aEnough)
{
  if (!aRequest.FitsIn(aRoom)) {
    return 0;
  }
  std::uint64_t times = aEnough;
  const auto limit = [&times](std::int64_t aPart, std::int64_t aWhole) {
    if (aPart > 0) {
      times = std::min(times, static_cast<std::uint64_t>(aWhole / aPart));
    }
  };
  limit(aRequest.milliCores, aRoom.milliCores);
  limit(aRequest.memoryMiB, aRoom.memoryMiB);
  limit(aRequest.accelerators, aRoom.accelerators);
  limit(aRequest.slots, aRoom.slots);
  return times;
}

}
