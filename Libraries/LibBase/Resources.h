#pragma once

/// @file
/// Amounts of what a worker offers and a task occupies.

#include <algorithm>
#include <compare>
#include <cstdint>

namespace zinc {

/// A vector of resource amounts.
struct Resources
{
  std::int64_t milliCores = 0;
  std::int64_t memoryMiB = 0;
  std::int64_t accelerators = 0;
  std::int64_t slots = 0;

  friend bool operator==(const Resources&, const Resources&) = default;

  Resources& operator+=(const Resources& aOther)
  {
    this->milliCores += aOther.milliCores;
    this->memoryMiB += aOther.memoryMiB;
    this->accelerators += aOther.accelerators;
    this->slots += aOther.slots;
    return *this;
  }

  Resources& operator-=(const Resources& aOther)
  {
    this->milliCores -= aOther.milliCores;
    this->memoryMiB -= aOther.memoryMiB;
    this->accelerators -= aOther.accelerators;
    this->slots -= aOther.slots;
    return *this;
  }

  friend Resources operator+(Resources aLeft, const Resources& aRight) { return aLeft += aRight; }
  friend Resources operator-(Resources aLeft, const Resources& aRight) { return aLeft -= aRight; }

  friend Resources operator*(const Resources& aAmount, std::int64_t aTimes)
  {
    return { .milliCores = aAmount.milliCores * aTimes,
             .memoryMiB = aAmount.memoryMiB * aTimes,
             .accelerators = aAmount.accelerators * aTimes,
             .slots = aAmount.slots * aTimes };
  }

  /// @return true if every amount is at most that of @p aCapacity.
  [[nodiscard]] bool FitsIn(const Resources& aCapacity) const
  {
    return this->milliCores <= aCapacity.milliCores && this->memoryMiB <= aCapacity.memoryMiB &&
           this->accelerators <= aCapacity.accelerators && this->slots <= aCapacity.slots;
  }

  /// @return true if no amount is below zero.
  [[nodiscard]] bool IsNonNegative() const { return Resources{}.FitsIn(*this); }
};

/// @return the largest quotient of the amounts, in [0, 1] for a fitting request;
/// amounts that the capacity lacks altogether do not count.
[[nodiscard]] inline double
DominantShare(const Resources& aAmount, const Resources& aCapacity)
{
  const auto quotient = [](std::int64_t aPart, std::int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole) : 0.0;
  };
  return std::max({ quotient(aAmount.milliCores, aCapacity.milliCores),
                    quotient(aAmount.memoryMiB, aCapacity.memoryMiB),
                    quotient(aAmount.accelerators, aCapacity.accelerators),
                    quotient(aAmount.slots, aCapacity.slots) });
}

}
