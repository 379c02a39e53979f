#pragma once

/// @file
/// Bounds retries to a fraction of the requests served, so that they cannot multiply a failure.

#include <algorithm>

namespace zinc {

/// A bucket that successes fill and retries empty.
class RetryBudget
{
public:
  /// @param aFraction retries allowed for each request served.
  explicit RetryBudget(double aFraction)
    : fraction(aFraction)
  {
  }

  void NoteServed() { this->tokens = std::min(this->tokens + this->fraction, kMostTokens); }

  /// Takes one retry out of the budget. @return false if there is none.
  [[nodiscard]] bool TryTake()
  {
    if (this->tokens < 1.0) {
      return false;
    }
    this->tokens -= 1.0;
    return true;
  }

  void SetFraction(double aFraction) { this->fraction = aFraction; }

private:
  /// Also the budget at the start, so that the first requests may be retried.
  static constexpr double kMostTokens = 10.0;

  double fraction;
  double tokens = kMostTokens;
};

}
