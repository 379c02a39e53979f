#pragma once

/// @file
/// The unit of placement, as it travels between the packages.

#include <LibBase/Identifier.h>
#include <LibBase/Resources.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinc {

/// How a queue's work is scheduled.
enum class WorkClass : std::uint8_t
{
  /// Short, answered on the connection that asked.
  Check,
  /// Accepted durably and asked about later.
  Batch,
  /// Several tasks of which all run together or none.
  AllAtOnce,
  /// Runs until cancelled; its copies are kept apart.
  Service,
};

inline constexpr std::size_t kWorkClassCount = 4;

/// Whether work may displace other work in a full cell.
enum class Urgency : std::uint8_t
{
  Normal,
  Urgent,
};

/// Whether running twice does no harm.
enum class Idempotence : std::uint8_t
{
  Idempotent,
  NonIdempotent,
};

/// One task to be placed on one worker.
struct TaskSpec
{
  TaskId id;
  JobId job;
  TeamId team;
  QueueId queue;
  /// Rises with every start of the same task; part of the task's identity at a worker.
  std::uint32_t attempt = 1;
  WorkClass workClass = WorkClass::Check;
  Urgency urgency = Urgency::Normal;
  Idempotence idempotence = Idempotence::Idempotent;
  /// Declared by the submitter and often wrong.
  Resources request;
  /// Declared run time; often wrong.
  Milliseconds expectedRun{ 0 };
  /// Time left until the caller gives up; empty for work without a deadline.
  std::optional<Milliseconds> deadline;
  /// Number of tasks of the same job that must start together.
  std::uint32_t gangSize = 1;
  /// Passed to the worker unread.
  std::string payload;
  /// What an earlier attempt's checkpoint left, passed to the worker unread.
  std::string progress;
};

/// @return the wire name: "check", "batch", "all_at_once" or "service".
[[nodiscard]] std::string_view
ToString(WorkClass aClass);

/// @return the class with this wire name, if there is one.
[[nodiscard]] std::optional<WorkClass>
WorkClassFromString(std::string_view aName);

}
