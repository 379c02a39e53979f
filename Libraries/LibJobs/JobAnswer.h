#pragma once

/// @file
/// What a caller is told of its job.

#include <LibBase/Identifier.h>
#include <LibBase/Verdict.h>
#include <cstdint>
#include <json/forwards.h>
#include <string>
#include <string_view>

namespace zinc {

/// State of a job as callers see it.
enum class JobState : std::uint8_t
{
  Accepted,
  Queued,
  Running,
  Succeeded,
  Failed,
  Cancelled,
};

/// State and, once it has ended, outcome of a job.
struct JobAnswer
{
  RequestId request;
  JobId job;
  JobState state = JobState::Accepted;
  RunState run = RunState::NotRun;
  /// Output of a job that succeeded, or why it failed.
  std::string result;
};

/// @return true if the state is final.
[[nodiscard]] bool
IsFinal(JobState aState);

/// @return the wire name, e.g. "succeeded".
[[nodiscard]] std::string_view
ToString(JobState aState);

[[nodiscard]] Json::Value
ToJson(const JobAnswer& aAnswer);

/// @return the answer, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<JobAnswer>
JobAnswerFromJson(const Json::Value& aValue);

}
