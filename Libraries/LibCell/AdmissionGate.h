#pragma once

/// @file
/// Decides at the receiving instance whether a job can still end in time. Load: more work than can
/// be served in time, and refused callers that retry immediately.

#include <LibCell/ExpectedWait.h>
#include <LibCell/Specification.h>
#include <optional>
#include <span>

namespace zinc::cell {

/// The leader's forecasts as an instance knows them.
struct ForecastView
{
  std::span<const ExpectedWait> waits;
  /// Time since the leader made the forecasts; empty if unknown.
  std::optional<Milliseconds> age;
  /// The leader does not know all runs of its predecessor yet.
  bool isRecovering = false;
};

/// Whose wait led to a refusal.
enum class RefusalReason : std::uint8_t
{
  /// All work of the queue.
  Queue,
  /// The workspace's own work beyond its weight or limit.
  Workspace,
};

/// Why a job is refused, and when the caller may try again.
struct Refusal
{
  RefusalReason reason = RefusalReason::Queue;
  /// Expected time until the job would start.
  Milliseconds expectedWait{ 0 };
  /// The longest wait after which the job would end before its deadline, without the margin.
  Milliseconds longestUsefulWait{ 0 };
  Milliseconds criticalPath{ 0 };
  Milliseconds objective{ 0 };
  /// Fraction of such jobs that are admitted.
  double admittedShare = 0.0;
  Milliseconds forecastAge{ 0 };
  Milliseconds retryAfter{ 0 };
};

/// @return the name of the reason in log lines and metrics
[[nodiscard]] std::string_view
ToString(RefusalReason aReason);

/// Decides on a job that arrives now. The same id gets the same decision at all instances that have
/// the same forecasts.
/// @return nothing if the job is admitted
[[nodiscard]] std::optional<Refusal>
FindRefusal(const JobSpecification& aSpec, const ForecastView& aForecast);

}
