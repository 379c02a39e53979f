#pragma once

/// @file
/// Element-wise arithmetic on @ref zinc::Resources.

#include <LibBase/Resources.h>
#include <algorithm>
#include <array>

namespace zinc::detail {

/// Pointers to all members of @ref Resources.
inline constexpr std::array kResourceFields = { &Resources::milliCores,
                                                &Resources::memoryMiB,
                                                &Resources::accelerators,
                                                &Resources::slots };

/// @return the results of applying a function to each pair of corresponding amounts.
template<typename Function>
[[nodiscard]] Resources
CombineElementwise(const Resources& aLeft, const Resources& aRight, Function aFunction)
{
  Resources result;
  for (const auto amount : kResourceFields) {
    result.*amount = aFunction(aLeft.*amount, aRight.*amount);
  }
  return result;
}

[[nodiscard]] inline Resources
ElementwiseMin(const Resources& aLeft, const Resources& aRight)
{
  return CombineElementwise(
    aLeft, aRight, [](auto aOne, auto aOther) { return std::min(aOne, aOther); });
}

[[nodiscard]] inline Resources
ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return CombineElementwise(
    aLeft, aRight, [](auto aOne, auto aOther) { return std::max(aOne, aOther); });
}

/// @return the element-wise difference, with negative values replaced by zero.
[[nodiscard]] inline Resources
SaturatingSubtract(const Resources& aLeft, const Resources& aRight)
{
  return ElementwiseMax(aLeft - aRight, {});
}

[[nodiscard]] inline bool
IsZero(const Resources& aAmounts)
{
  return aAmounts == Resources{};
}

}
