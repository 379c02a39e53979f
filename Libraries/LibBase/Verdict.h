#pragma once

/// @file
/// The error type of the project: what went wrong and whether the request may have run.

#include <LibBase/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace zinc {

/// Whether the work that a request asked for was executed.
enum class RunState : std::uint8_t
{
  NotRun,
  MayHaveRun,
  Ran,
};

/// Machine-readable reasons; @ref ToString gives their wire names.
enum class ErrorCode : std::uint8_t
{
  BadRequest,
  PayloadTooLarge,
  Unauthorized,
  Forbidden,
  NotFound,
  Conflict,
  Impossible,
  Overloaded,
  LimitReached,
  DeadlineExceeded,
  Cancelled,
  Draining,
  Unavailable,
  StaleTerm,
  StaleVersion,
  WorkerLost,
  TaskFailed,
  Timeout,
  Internal,
};

/// An error together with the execution state of the request that it answers.
struct Verdict
{
  ErrorCode code = ErrorCode::Internal;
  RunState run = RunState::MayHaveRun;
  /// One sentence for a person.
  std::string message;
  /// Time after which asking again makes sense; empty if it does not.
  std::optional<Milliseconds> retryAfter;
};

/// A value or the verdict that stands in its place.
template<typename T>
using Result = std::variant<T, Verdict>;

/// Result type of operations that return no value.
struct Done
{};

/// @return true if @p aResult holds a verdict.
template<typename T>
[[nodiscard]] bool
IsError(const Result<T>& aResult)
{
  return std::holds_alternative<Verdict>(aResult);
}

/// @return the verdict of a failed result. @pre IsError(aResult)
template<typename T>
[[nodiscard]] const Verdict&
ErrorOf(const Result<T>& aResult)
{
  return std::get<Verdict>(aResult);
}

/// @return the value of a successful result. @pre !IsError(aResult)
template<typename T>
[[nodiscard]] T&
ValueOf(Result<T>& aResult)
{
  return std::get<T>(aResult);
}

/// @return the value of a successful result. @pre !IsError(aResult)
template<typename T>
[[nodiscard]] const T&
ValueOf(const Result<T>& aResult)
{
  return std::get<T>(aResult);
}

/// @return a verdict for a request that was certainly not executed.
[[nodiscard]] inline Verdict
NotRun(ErrorCode aCode, std::string aMessage, std::optional<Milliseconds> aRetryAfter = {})
{
  return { .code = aCode,
           .run = RunState::NotRun,
           .message = std::move(aMessage),
           .retryAfter = aRetryAfter };
}

/// @return a verdict for a request whose execution is unknown.
[[nodiscard]] inline Verdict
MayHaveRun(ErrorCode aCode, std::string aMessage, std::optional<Milliseconds> aRetryAfter = {})
{
  return { .code = aCode,
           .run = RunState::MayHaveRun,
           .message = std::move(aMessage),
           .retryAfter = aRetryAfter };
}

/// @return the wire name, e.g. "deadline_exceeded".
[[nodiscard]] std::string_view
ToString(ErrorCode aCode);

/// @return the wire name: "not run", "may have run" or "ran".
[[nodiscard]] std::string_view
ToString(RunState aState);

/// @return the code with this wire name, if there is one.
[[nodiscard]] std::optional<ErrorCode>
ErrorCodeFromString(std::string_view aName);

/// @return the state with this wire name, if there is one.
[[nodiscard]] std::optional<RunState>
RunStateFromString(std::string_view aName);

}
