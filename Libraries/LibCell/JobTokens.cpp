#include <LibCell/JobTokens.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// Seconds of the rate that the bucket holds.
constexpr double kBurstSeconds = 4.0;

}

bool
JobTokens::Take(double aWeight, TimePoint aNow)
{
  const double maxTokens = aWeight * kBurstSeconds;
  const double elapsed = std::chrono::duration<double>(aNow - this->lastRefill).count();
  this->tokens = this->tokens ? std::min(maxTokens, *this->tokens + elapsed * aWeight) : maxTokens;
  this->lastRefill = aNow;
  if (*this->tokens < 1.0) {
    return false;
  }
  *this->tokens -= 1.0;
  return true;
}

}
