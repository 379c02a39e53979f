#pragma once

/// @file
/// Bodies of submitted jobs in the platform's words.

#include <cstdint>
#include <string>
#include <vector>

namespace zinc::soak {

/// A step of a job to submit.
struct StepBody
{
  std::uint32_t tasks = 1;
  std::int64_t milliCores = 0;
  std::int64_t memoryMiB = 0;
  std::int64_t estimateMs = 0;
};

/// A job to submit, with an empty payload.
struct JobBody
{
  std::vector<StepBody> steps;
  /// Number of times that the steps run; 0 to run once.
  std::uint32_t occurrences = 0;
  std::int64_t intervalMs = 0;
};

/// @return the body of the request; amounts of 0 are left out
[[nodiscard]] std::string
WriteJobBody(const JobBody& aJob);

}
