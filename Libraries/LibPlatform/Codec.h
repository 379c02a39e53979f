#pragma once

/// @file
/// JSON forms of the messages to and from the platform. Every decoder is strict about types and
/// ranges, ignores unknown fields and fails with @ref ErrorCode::BadRequest.

#include <LibBase/Task.h>
#include <LibBase/Verdict.h>
#include <LibPlatform/InstanceList.h>
#include <LibPlatform/Table.h>
#include <LibPlatform/Worker.h>
#include <json/forwards.h>
#include <string_view>
#include <vector>

namespace zinc {

/// Longest identifier accepted.
inline constexpr std::size_t kIdentifierBytesLimit = 512;

/// Longest payload, result or progress accepted.
inline constexpr std::size_t kPayloadBytesLimit = std::size_t{ 1 } << 20;

/// Longest table value accepted.
inline constexpr std::size_t kRowBytesLimit = std::size_t{ 4 } << 20;

/// Longest duration accepted.
inline constexpr Milliseconds kDurationLimit = std::chrono::hours(24 * 366 * 10);

[[nodiscard]] std::string_view
ToString(TaskState aState);
[[nodiscard]] std::optional<TaskState>
TaskStateFromString(std::string_view aName);

[[nodiscard]] std::string_view
ToString(StopMode aMode);
[[nodiscard]] std::optional<StopMode>
StopModeFromString(std::string_view aName);

[[nodiscard]] std::string_view
ToString(CommitOutcome aOutcome);
[[nodiscard]] std::optional<CommitOutcome>
CommitOutcomeFromString(std::string_view aName);

[[nodiscard]] Json::Value
ToJson(const Resources& aResources);
[[nodiscard]] Result<Resources>
ResourcesFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const TaskSpec& aTask);
[[nodiscard]] Result<TaskSpec>
TaskSpecFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const TaskStatus& aStatus);
[[nodiscard]] Result<TaskStatus>
TaskStatusFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const LeaseRequest& aRequest);
[[nodiscard]] Result<LeaseRequest>
LeaseRequestFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const LeaseGrant& aGrant);
[[nodiscard]] Result<LeaseGrant>
LeaseGrantFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const EventBatch& aBatch);
[[nodiscard]] Result<EventBatch>
EventBatchFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const Transaction& aTransaction);
[[nodiscard]] Result<Transaction>
TransactionFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const Row& aRow);
[[nodiscard]] Result<Row>
RowFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const Instance& aInstance);
[[nodiscard]] Result<Instance>
InstanceFromJson(const Json::Value& aValue);

[[nodiscard]] Json::Value
ToJson(const Verdict& aVerdict);
/// Reads a verdict that another process sent; distinct from a verdict on the text itself.
[[nodiscard]] Result<std::optional<Verdict>>
VerdictFromJson(const Json::Value& aValue);

}
