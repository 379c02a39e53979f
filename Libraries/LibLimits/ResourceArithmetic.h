#pragma once

/// @file
/// Arithmetic on resource amounts, each amount by itself.

#include <LibBase/Resources.h>
#include <algorithm>
#include <array>

namespace zinc::detail {

/// The amounts of which resources consist.
inline constexpr std::array kResourceFields = { &Resources::milliCores,
                                                &Resources::memoryMiB,
                                                &Resources::accelerators,
                                                &Resources::slots };

/// @return the result of a function of two amounts, for each of them.
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

/// @return the difference, or zero where it is negative.
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
