#include <LibPlatform/Codec.h>

#include <LibPlatform/Json.h>
#include <array>
#include <json/json.h>
#include <limits>

namespace zinc {

namespace {

template<typename Value, std::size_t Count>
using Names = std::array<std::pair<Value, std::string_view>, Count>;

constexpr Names<TaskState, 6> kTaskStateNames = { {
  { TaskState::Unknown, "unknown" },
  { TaskState::Running, "running" },
  { TaskState::Succeeded, "succeeded" },
  { TaskState::Failed, "failed" },
  { TaskState::Stopped, "stopped" },
  { TaskState::Checkpointed, "checkpointed" },
} };

constexpr Names<StopMode, 3> kStopModeNames = { {
  { StopMode::Stop, "stop" },
  { StopMode::Checkpoint, "checkpoint" },
  { StopMode::Throttle, "throttle" },
} };

constexpr Names<CommitOutcome, 2> kCommitOutcomeNames = { {
  { CommitOutcome::Committed, "committed" },
  { CommitOutcome::ConditionFailed, "condition_failed" },
} };

constexpr Names<InstanceRole, 2> kInstanceRoleNames = { {
  { InstanceRole::Entry, "entry" },
  { InstanceRole::Worker, "worker" },
} };

constexpr Names<InstanceState, 2> kInstanceStateNames = { {
  { InstanceState::Live, "live" },
  { InstanceState::Leaving, "leaving" },
} };

template<typename Value, std::size_t Count>
std::string_view
NameOf(const Names<Value, Count>& aNames, Value aValue)
{
  for (const auto& [value, name] : aNames) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

template<typename Value, std::size_t Count>
std::optional<Value>
ValueWithName(const Names<Value, Count>& aNames, std::string_view aName)
{
  for (const auto& [value, name] : aNames) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

/// Reads a field whose text is one of the names of an enumeration.
template<typename Value, std::size_t Count>
Value
ReadName(JsonFields& aFields, const char* aField, const Names<Value, Count>& aNames)
{
  const std::string name = aFields.Text(aField, kIdentifierBytesLimit);
  const std::optional<Value> value = ValueWithName(aNames, name);
  if (!value) {
    aFields.AddFault(aField, "has an unknown value");
    return aNames.front().first;
  }
  return *value;
}

Json::Value
TextValue(std::string_view aText)
{
  return { aText.data(), aText.data() + aText.size() };
}

Json::Value
IntegerValue(std::int64_t aInteger)
{
  return Json::Value::Int64(aInteger);
}

Json::Value
UnsignedValue(std::uint64_t aInteger)
{
  return Json::Value::UInt64(aInteger);
}

template<typename Tag>
Identifier<Tag>
ReadIdentifier(JsonFields& aFields, const char* aField)
{
  return { aFields.Text(aField, kIdentifierBytesLimit) };
}

Milliseconds
ReadDuration(JsonFields& aFields, const char* aField)
{
  return Milliseconds(aFields.Integer(aField, 0, kDurationLimit.count()));
}

std::uint32_t
ReadCount(JsonFields& aFields, const char* aField)
{
  constexpr std::int64_t kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(aFields.Integer(aField, 0, kMost));
}

/// Reads a nested value by its own decoder.
template<typename T>
T
ReadNested(JsonFields& aFields, const char* aField, Result<T> (*aDecode)(const Json::Value&))
{
  Result<T> nested = aDecode(aFields.Member(aField));
  if (IsError(nested)) {
    aFields.AddFault(ErrorOf(nested));
    return {};
  }
  return std::move(ValueOf(nested));
}

/// Reads an array of nested values by the decoder of one.
template<typename T>
std::vector<T>
ReadList(JsonFields& aFields, const char* aField, Result<T> (*aDecode)(const Json::Value&))
{
  const Json::Value& array = aFields.Array(aField);
  std::vector<T> list;
  list.reserve(array.size());
  for (const Json::Value& element : array) {
    Result<T> nested = aDecode(element);
    if (IsError(nested)) {
      aFields.AddFault(ErrorOf(nested));
      return {};
    }
    list.push_back(std::move(ValueOf(nested)));
  }
  return list;
}

/// @return the decoded message unless a field was at fault.
template<typename T>
Result<T>
Finish(const JsonFields& aFields, T aMessage)
{
  if (aFields.Fault()) {
    return *aFields.Fault();
  }
  return aMessage;
}

Json::Value
ToJson(const Condition& aCondition)
{
  Json::Value value(Json::objectValue);
  value["key"] = aCondition.key;
  value["version"] = UnsignedValue(aCondition.version);
  return value;
}

Result<Condition>
ConditionFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "condition");
  Condition condition{ .key = fields.Text("key", kIdentifierBytesLimit),
                       .version = fields.Unsigned("version") };
  return Finish(fields, std::move(condition));
}

Json::Value
ToJson(const Write& aWrite)
{
  Json::Value value(Json::objectValue);
  value["key"] = aWrite.key;
  if (aWrite.value) {
    value["value"] = *aWrite.value;
  }
  return value;
}

Result<Write>
WriteFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "write");
  Write write{ .key = fields.Text("key", kIdentifierBytesLimit) };
  if (fields.Has("value")) {
    write.value = fields.Text("value", kRowBytesLimit);
  }
  return Finish(fields, std::move(write));
}

/// @return an array of the JSON forms of a list.
template<typename T>
Json::Value
ArrayOf(const std::vector<T>& aList)
{
  Json::Value array(Json::arrayValue);
  for (const T& element : aList) {
    array.append(ToJson(element));
  }
  return array;
}

}

std::string_view
ToString(TaskState aState)
{
  return NameOf(kTaskStateNames, aState);
}

std::optional<TaskState>
TaskStateFromString(std::string_view aName)
{
  return ValueWithName(kTaskStateNames, aName);
}

std::string_view
ToString(StopMode aMode)
{
  return NameOf(kStopModeNames, aMode);
}

std::optional<StopMode>
StopModeFromString(std::string_view aName)
{
  return ValueWithName(kStopModeNames, aName);
}

std::string_view
ToString(CommitOutcome aOutcome)
{
  return NameOf(kCommitOutcomeNames, aOutcome);
}

std::optional<CommitOutcome>
CommitOutcomeFromString(std::string_view aName)
{
  return ValueWithName(kCommitOutcomeNames, aName);
}

Json::Value
ToJson(const Resources& aResources)
{
  Json::Value value(Json::objectValue);
  value["milli_cores"] = IntegerValue(aResources.milliCores);
  value["memory_mib"] = IntegerValue(aResources.memoryMiB);
  value["accelerators"] = IntegerValue(aResources.accelerators);
  value["slots"] = IntegerValue(aResources.slots);
  return value;
}

Result<Resources>
ResourcesFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "resources");
  return Finish(fields,
                Resources{ .milliCores = fields.Integer("milli_cores"),
                           .memoryMiB = fields.Integer("memory_mib"),
                           .accelerators = fields.Integer("accelerators"),
                           .slots = fields.Integer("slots") });
}

Json::Value
ToJson(const TaskSpec& aTask)
{
  Json::Value value(Json::objectValue);
  value["id"] = aTask.id.value;
  value["job"] = aTask.job.value;
  value["team"] = aTask.team.value;
  value["queue"] = aTask.queue.value;
  value["attempt"] = UnsignedValue(aTask.attempt);
  value["class"] = TextValue(ToString(aTask.workClass));
  value["urgent"] = aTask.urgency == Urgency::Urgent;
  value["idempotent"] = aTask.idempotence == Idempotence::Idempotent;
  value["request"] = ToJson(aTask.request);
  value["expected_run_ms"] = IntegerValue(aTask.expectedRun.count());
  if (aTask.deadline) {
    value["deadline_ms"] = IntegerValue(aTask.deadline->count());
  }
  value["gang_size"] = UnsignedValue(aTask.gangSize);
  value["payload"] = aTask.payload;
  value["progress"] = aTask.progress;
  return value;
}

Result<TaskSpec>
TaskSpecFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "task");
  TaskSpec task;
  task.id = ReadIdentifier<TaskTag>(fields, "id");
  task.job = ReadIdentifier<JobTag>(fields, "job");
  task.team = ReadIdentifier<TeamTag>(fields, "team");
  task.queue = ReadIdentifier<QueueTag>(fields, "queue");
  task.attempt = ReadCount(fields, "attempt");
  const std::optional<WorkClass> workClass =
    WorkClassFromString(fields.Text("class", kIdentifierBytesLimit));
  if (!workClass) {
    fields.AddFault("class", "has an unknown value");
  }
  task.workClass = workClass.value_or(WorkClass::Check);
  task.urgency = fields.Boolean("urgent") ? Urgency::Urgent : Urgency::Normal;
  task.idempotence =
    fields.Boolean("idempotent") ? Idempotence::Idempotent : Idempotence::NonIdempotent;
  task.request = ReadNested(fields, "request", ResourcesFromJson);
  task.expectedRun = ReadDuration(fields, "expected_run_ms");
  if (fields.Has("deadline_ms")) {
    task.deadline = ReadDuration(fields, "deadline_ms");
  }
  task.gangSize = ReadCount(fields, "gang_size");
  task.payload = fields.OptionalText("payload", kPayloadBytesLimit);
  task.progress = fields.OptionalText("progress", kPayloadBytesLimit);
  return Finish(fields, std::move(task));
}

Json::Value
ToJson(const TaskStatus& aStatus)
{
  Json::Value value(Json::objectValue);
  value["task"] = ToJson(aStatus.spec);
  value["state"] = TextValue(ToString(aStatus.state));
  value["result"] = aStatus.result;
  value["usage"] = ToJson(aStatus.usage);
  value["progress"] = aStatus.progress;
  value["never_started"] = aStatus.neverStarted;
  return value;
}

Result<TaskStatus>
TaskStatusFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "status");
  TaskStatus status;
  status.spec = ReadNested(fields, "task", TaskSpecFromJson);
  status.state = ReadName(fields, "state", kTaskStateNames);
  status.result = fields.OptionalText("result", kPayloadBytesLimit);
  status.usage = ReadNested(fields, "usage", ResourcesFromJson);
  status.progress = fields.OptionalText("progress", kPayloadBytesLimit);
  status.neverStarted = fields.Boolean("never_started");
  return Finish(fields, std::move(status));
}

Json::Value
ToJson(const LeaseRequest& aRequest)
{
  Json::Value value(Json::objectValue);
  value["holder"] = aRequest.holder.value;
  value["term"] = UnsignedValue(aRequest.term);
  value["time_to_live_ms"] = IntegerValue(aRequest.timeToLive.count());
  value["orphan_timeout_ms"] = IntegerValue(aRequest.orphanTimeout.count());
  return value;
}

Result<LeaseRequest>
LeaseRequestFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "lease");
  LeaseRequest request;
  request.holder = ReadIdentifier<EntryTag>(fields, "holder");
  request.term = fields.Unsigned("term");
  request.timeToLive = ReadDuration(fields, "time_to_live_ms");
  request.orphanTimeout = ReadDuration(fields, "orphan_timeout_ms");
  return Finish(fields, std::move(request));
}

Json::Value
ToJson(const LeaseGrant& aGrant)
{
  Json::Value value(Json::objectValue);
  value["term"] = UnsignedValue(aGrant.term);
  value["previous_holder"] = aGrant.previousHolder.value;
  value["capacity"] = ToJson(aGrant.capacity);
  value["last_event"] = UnsignedValue(aGrant.lastEvent);
  value["tasks"] = ArrayOf(aGrant.tasks);
  return value;
}

Result<LeaseGrant>
LeaseGrantFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "grant");
  LeaseGrant grant;
  grant.term = fields.Unsigned("term");
  grant.previousHolder.value = fields.OptionalText("previous_holder", kIdentifierBytesLimit);
  grant.capacity = ReadNested(fields, "capacity", ResourcesFromJson);
  grant.lastEvent = fields.Unsigned("last_event");
  grant.tasks = ReadList(fields, "tasks", TaskStatusFromJson);
  return Finish(fields, std::move(grant));
}

Json::Value
ToJson(const EventBatch& aBatch)
{
  Json::Value value(Json::objectValue);
  value["last_event"] = UnsignedValue(aBatch.lastEvent);
  value["changes"] = ArrayOf(aBatch.changes);
  value["leaving"] = aBatch.leaving;
  return value;
}

Result<EventBatch>
EventBatchFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "events");
  EventBatch batch;
  batch.lastEvent = fields.Unsigned("last_event");
  batch.changes = ReadList(fields, "changes", TaskStatusFromJson);
  batch.leaving = fields.Boolean("leaving");
  return Finish(fields, std::move(batch));
}

Json::Value
ToJson(const Transaction& aTransaction)
{
  Json::Value value(Json::objectValue);
  value["conditions"] = ArrayOf(aTransaction.conditions);
  value["writes"] = ArrayOf(aTransaction.writes);
  return value;
}

Result<Transaction>
TransactionFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "transaction");
  Transaction transaction;
  transaction.conditions = ReadList(fields, "conditions", ConditionFromJson);
  transaction.writes = ReadList(fields, "writes", WriteFromJson);
  return Finish(fields, std::move(transaction));
}

Json::Value
ToJson(const Row& aRow)
{
  Json::Value value(Json::objectValue);
  value["key"] = aRow.key;
  value["value"] = aRow.value;
  value["version"] = UnsignedValue(aRow.version);
  return value;
}

Result<Row>
RowFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "row");
  Row row{ .key = fields.Text("key", kIdentifierBytesLimit),
           .value = fields.Text("value", kRowBytesLimit),
           .version = fields.Unsigned("version") };
  return Finish(fields, std::move(row));
}

Json::Value
ToJson(const Instance& aInstance)
{
  Json::Value value(Json::objectValue);
  value["name"] = aInstance.name;
  value["role"] = TextValue(NameOf(kInstanceRoleNames, aInstance.role));
  value["state"] = TextValue(NameOf(kInstanceStateNames, aInstance.state));
  value["address"] = aInstance.endpoint.address;
  value["port"] = aInstance.endpoint.port;
  value["zone"] = aInstance.zone.value;
  value["rack"] = aInstance.rack.value;
  value["capacity"] = ToJson(aInstance.capacity);
  return value;
}

Result<Instance>
InstanceFromJson(const Json::Value& aValue)
{
  constexpr std::int64_t kPortLimit = std::numeric_limits<std::uint16_t>::max();
  JsonFields fields(aValue, "instance");
  Instance instance;
  instance.name = fields.Text("name", kIdentifierBytesLimit);
  instance.role = ReadName(fields, "role", kInstanceRoleNames);
  instance.state = ReadName(fields, "state", kInstanceStateNames);
  instance.endpoint.address = fields.Text("address", kIdentifierBytesLimit);
  instance.endpoint.port = static_cast<std::uint16_t>(fields.Integer("port", 0, kPortLimit));
  instance.zone = ReadIdentifier<ZoneTag>(fields, "zone");
  instance.rack = ReadIdentifier<RackTag>(fields, "rack");
  instance.capacity = ReadNested(fields, "capacity", ResourcesFromJson);
  return Finish(fields, std::move(instance));
}

Json::Value
ToJson(const Verdict& aVerdict)
{
  Json::Value error(Json::objectValue);
  error["code"] = TextValue(ToString(aVerdict.code));
  error["message"] = aVerdict.message;
  error["run"] = TextValue(ToString(aVerdict.run));
  if (aVerdict.retryAfter) {
    error["retry_after_ms"] = IntegerValue(aVerdict.retryAfter->count());
  }
  Json::Value value(Json::objectValue);
  value["error"] = std::move(error);
  return value;
}

Result<std::optional<Verdict>>
VerdictFromJson(const Json::Value& aValue)
{
  JsonFields outer(aValue, "reply");
  JsonFields fields(outer.Member("error"), "error");
  const auto code = ErrorCodeFromString(fields.Text("code", kIdentifierBytesLimit));
  const auto run = RunStateFromString(fields.Text("run", kIdentifierBytesLimit));
  if (!code || !run) {
    fields.AddFault("code", "or run has an unknown value");
  }
  Verdict verdict{ .code = code.value_or(ErrorCode::Internal),
                   .run = run.value_or(RunState::MayHaveRun),
                   .message = fields.OptionalText("message", kPayloadBytesLimit) };
  if (fields.Has("retry_after_ms")) {
    verdict.retryAfter = ReadDuration(fields, "retry_after_ms");
  }
  return Finish(fields, std::optional(std::move(verdict)));
}

}
