#pragma once

/// @file
/// Decides which jobs of a workspace are within its weight. Load: a workspace that submits many
/// times what it is entitled to.

#include <LibBase/Time.h>
#include <optional>

namespace zinc::cell {

/// A token bucket that refills at the rate of the workspace's weight, in jobs a second.
class JobTokens
{
public:
  /// Takes a token for a new job.
  /// @return false if the bucket is empty
  [[nodiscard]] bool Take(double aWeight, TimePoint aNow);

private:
  /// Empty until the first job, which finds a full bucket.
  std::optional<double> tokens;
  TimePoint lastRefill{};
};

}
