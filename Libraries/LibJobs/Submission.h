#pragma once

/// @file
/// What a caller asks for.

#include <LibBase/Identifier.h>
#include <LibBase/Resources.h>
#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinc {

/// Longest request id, in bytes.
inline constexpr std::size_t kRequestIdBytesLimit = 128;

/// Most tasks of one all-at-once job or copies of one service.
inline constexpr std::uint32_t kTasksLimit = 4096;

/// A request to run one job.
struct Submission
{
  /// Set from the key or the open queue, never by the caller.
  TeamId team;
  RequestId request;
  QueueId queue;
  std::uint32_t tasks = 1;
  /// Of each task.
  Resources resources;
  Milliseconds expectedRun{ 0 };
  /// Longest wait for an answer or a start.
  std::optional<Milliseconds> deadline;
  std::string payload;
  /// The caller's word that it has not asked with this request id before; without it a refusal
  /// that did not look the request up cannot say that it has not run.
  bool firstAsk = false;
};

/// Reads the body of `POST /v1/jobs`.
/// @return the submission without its team, or @ref ErrorCode::BadRequest.
[[nodiscard]] Result<Submission>
ParseSubmission(std::string_view aBody);

/// @return true if the text can be a request id: 1 to 128 of `A-Z a-z 0-9 . _ : -`.
[[nodiscard]] bool
IsRequestId(std::string_view aText);

/// @return the verdict on a submission that was refused, with a run state that holds for its
/// request id and not for this ask alone.
[[nodiscard]] Verdict
VerdictForRequest(Verdict aVerdict, const Submission& aSubmission);

/// @return digest of everything but team and request id, equal for equal submissions.
[[nodiscard]] std::string
BodyHash(const Submission& aSubmission);

}
