#include <LibCell/Records.h>

#include <LibCell/Policy.h>
#include <LibCell/StepFlags.h>
#include <LibPlatform/Json.h>
#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <json/json.h>
#include <limits>

namespace zinc::cell {

namespace {

/// Parses a row and decodes it. The decoder uses jsoncpp's checked conversions, which throw on
/// failure.
template<typename T, typename Decode>
Result<T>
DecodeRow(std::string_view aText, std::string_view aRowName, Decode aDecode)
{
  const auto parsed = ParseJson(aText);
  if (IsError(parsed) || !ValueOf(parsed).isObject()) {
    return NotRun(ErrorCode::BadRequest, fmt::format("The {} row is not a JSON object.", aRowName));
  }
  try {
    return aDecode(ValueOf(parsed));
  } catch (const Json::Exception& error) {
    return NotRun(
      ErrorCode::BadRequest,
      fmt::format("The {} row has a field of the wrong type: {}", aRowName, error.what()));
  }
}

std::optional<RecordedStart>
DecodeRecordedStart(const Json::Value& aValue)
{
  if (aValue.empty()) {
    return {};
  }
  return RecordedStart{ .run = aValue[0].asUInt64(),
                        .worker = { aValue[1].asString() },
                        .machine = aValue[2].asString(),
                        .incarnation = aValue[3].asInt64() };
}

/// @return 0 if the port is missing
/// @throw Json::Exception if the value is not a port
std::uint16_t
DecodePort(const Json::Value& aValue)
{
  constexpr Json::UInt kMaxPort = std::numeric_limits<std::uint16_t>::max();
  if (aValue.isNull()) {
    return 0;
  }
  if (!aValue.isUInt() || aValue.asUInt() > kMaxPort) {
    Json::throwRuntimeError("a port is a number up to 65535");
  }
  return static_cast<std::uint16_t>(aValue.asUInt());
}

Json::Value
ToJson(const ExpectedWait& aWait)
{
  Json::Value value(Json::arrayValue);
  value.append(aWait.queue.value);
  value.append(aWait.workspace.value);
  value.append(Json::Int64(aWait.wait.count()));
  return value;
}

/// Ignores entries of another form: later versions may change them, and the rest of the leader
/// record stays readable.
std::vector<ExpectedWait>
DecodeExpectedWaits(const Json::Value& aValue)
{
  std::vector<ExpectedWait> waits;
  if (!aValue.isArray()) {
    return waits;
  }
  for (const auto& wait : aValue) {
    const bool isReadable = wait.isArray() && wait.size() >= 3 && wait[0].isString() &&
                            wait[1].isString() && wait[2].isInt64() && wait[2].asInt64() >= 0;
    if (isReadable && waits.size() < kMaxExpectedWaits) {
      waits.push_back({ .queue = { wait[0].asString() },
                        .workspace = { wait[1].asString() },
                        .wait = Milliseconds(wait[2].asInt64()) });
    }
  }
  return waits;
}

/// Encodes incarnations as offsets in the order of the workers, since the leader record is one row
/// and ids are long.
/// @return the earliest incarnation, and for each worker the offset from it plus 1; 0 if it has
/// none
Json::Value
EncodeIncarnations(std::span<const std::string> aWorkers, const FencedIncarnations& aIncarnations)
{
  const auto first =
    std::ranges::min_element(aIncarnations, {}, &FencedIncarnations::value_type::second)->second;
  Json::Value values(Json::arrayValue);
  values.append(Json::Int64(first));
  for (const auto& worker : aWorkers) {
    const auto found = aIncarnations.find({ worker });
    values.append(Json::Int64(found == aIncarnations.end() ? 0 : found->second - first + 1));
  }
  return values;
}

/// @return nothing if the value does not have one entry for each worker
FencedIncarnations
DecodeIncarnations(std::span<const std::string> aWorkers, const Json::Value& aValue)
{
  FencedIncarnations incarnations;
  if (!aValue.isArray() || aValue.size() != aWorkers.size() + 1) {
    return incarnations;
  }
  const auto first = aValue[0].asInt64();
  for (Json::ArrayIndex index = 1; index < aValue.size(); ++index) {
    const auto offset = aValue[index].asInt64();
    if (offset > 0) {
      incarnations[{ aWorkers[index - 1] }] = first + offset - 1;
    }
  }
  return incarnations;
}

std::set<std::uint64_t>
DecodeRuns(const Json::Value& aValue)
{
  std::set<std::uint64_t> runs;
  for (const auto& run : aValue) {
    runs.insert(run.asUInt64());
  }
  return runs;
}

/// Prefix that distinguishes the row of an ended job from a specification.
constexpr std::string_view kEndedPrefix = "ended ";

[[nodiscard]] std::optional<JobOutcome>
DecodeEndedOutcome(std::uint64_t aNumber)
{
  const bool isEnded = aNumber >= static_cast<std::uint64_t>(JobOutcome::Succeeded) &&
                       aNumber <= static_cast<std::uint64_t>(JobOutcome::Cancelled);
  return isEnded ? std::optional(static_cast<JobOutcome>(aNumber)) : std::nullopt;
}

std::optional<EndedJobRecord>
DecodeEndedJobJson(std::string_view aText)
{
  const auto record = DecodeRow<EndedJobRecord>(
    aText, "ended job", [](const Json::Value& aValue) -> Result<EndedJobRecord> {
      const auto outcome = DecodeEndedOutcome(aValue["outcome"].asUInt());
      if (!outcome) {
        return NotRun(ErrorCode::BadRequest, "The ended job row has an unknown outcome.");
      }
      return EndedJobRecord{ .outcome = *outcome,
                             .workspace = { aValue["workspace"].asString() },
                             .queue = { aValue["queue"].asString() } };
    });
  return IsError(record) ? std::nullopt : std::optional(ValueOf(record));
}

/// @return the readings of "outcome workspace queue", one for each space that may separate the
/// names
std::vector<EndedJobRecord>
ReadSpaceSeparated(std::string_view aText)
{
  constexpr std::size_t kNamesBegin = 2;
  std::vector<EndedJobRecord> readings;
  if (aText.size() < kNamesBegin || aText[0] < '0' || aText[1] != ' ') {
    return readings;
  }
  const auto outcome = DecodeEndedOutcome(static_cast<std::uint64_t>(aText[0] - '0'));
  const auto names = aText.substr(kNamesBegin);
  for (auto space = names.find(' '); outcome && space != std::string_view::npos;
       space = names.find(' ', space + 1)) {
    readings.push_back({ .outcome = *outcome,
                         .workspace = { std::string(names.substr(0, space)) },
                         .queue = { std::string(names.substr(space + 1)) } });
  }
  return readings;
}

/// Keeps the readings that the policy knows: by workspace and queue, or else by workspace, since
/// the queue may have been removed.
void
KeepKnownReadings(std::vector<EndedJobRecord>& aReadings, const CellPolicy& aPolicy)
{
  std::erase_if(aReadings, [&aPolicy](const EndedJobRecord& aReading) {
    return !aPolicy.workspaces.contains(aReading.workspace);
  });
  const auto hasQueue = [&aPolicy](const EndedJobRecord& aReading) {
    return aPolicy.FindRouteByQueue(aReading.queue) != nullptr;
  };
  if (std::ranges::any_of(aReadings, hasQueue)) {
    std::erase_if(aReadings, std::not_fn(hasQueue));
  }
}

/// Last character of a row key, by @ref JobRowKind.
constexpr std::string_view kKindSuffixes = "jpx";
/// Length of the dot and the character of the kind.
constexpr std::size_t kSuffixLength = 2;

Resources
DecodeResources(const Json::Value& aValue)
{
  return { .milliCores = aValue[0].asInt64(),
           .memoryMiB = aValue[1].asInt64(),
           .accelerators = aValue[2].asInt64() };
}

QueuePolicy
DecodeQueue(const Json::Value& aValue)
{
  QueuePolicy queue{ .name = { aValue["name"].asString() },
                     .pool = aValue["pool"].asString(),
                     .priority = aValue["priority"].asUInt(),
                     .maxAttempts = aValue["attempts"].asUInt(),
                     .stretch = aValue["stretch"].asDouble(),
                     .slack = Milliseconds(aValue["slack"].asInt64()) };
  const auto& advice = aValue["advice"];
  if (advice.isArray()) {
    queue.needsAdvice = true;
    queue.advice = { .baseMs = advice[0].asDouble(),
                     .perWorkerMs = advice[1].asDouble(),
                     .ticketValidity = Milliseconds(advice[2].asInt64()) };
  }
  return queue;
}

StepSpecification
DecodeStep(const Json::Value& aValue)
{
  const auto flags = aValue["flags"].asUInt();
  StepSpecification step{ .count = aValue["count"].asUInt(),
                          .demand = DecodeResources(aValue["demand"]),
                          .estimate = Milliseconds(aValue["estimate"].asInt64()),
                          .hasCheckpoints = (flags & detail::Checkpoints) != 0,
                          .isGang = (flags & detail::Gang) != 0,
                          .prefersSameRack = (flags & detail::OneRack) != 0,
                          .canSpeculate = (flags & detail::Speculate) != 0,
                          .isService = (flags & detail::Service) != 0,
                          .isBestEffort = (flags & detail::BestEffort) != 0,
                          .requiredLabel = aValue["label"].asString(),
                          .dataRack = aValue["rack"].asString(),
                          .image = aValue["image"].asString(),
                          .maxTasksPerWorker = aValue["spread"].asUInt(),
                          .tailLatencyTarget = Milliseconds(aValue["tail"].asInt64()),
                          .hasAvailabilityBudget = (flags & detail::AvailabilityBudget) != 0,
                          .availabilityBudget = aValue["away"].asUInt() };
  for (const auto& dependency : aValue["after"]) {
    step.dependsOn.push_back(dependency.asUInt());
  }
  return step;
}

TaskKey
DecodeTaskKey(const Json::Value& aValue)
{
  return { .occurrence = aValue[0].asUInt(),
           .step = aValue[1].asUInt(),
           .index = aValue[2].asUInt() };
}

std::uint32_t
ComputeHash(std::string_view aText)
{
  constexpr std::uint32_t kFactor = 31;
  std::uint32_t hash = 0;
  for (const char character : aText) {
    hash = hash * kFactor + static_cast<unsigned char>(character);
  }
  return hash;
}

std::string
InstancePartitionName(std::uint32_t aIndex)
{
  return fmt::format("instances{}", aIndex);
}

std::string
ProgressPartitionName(std::uint32_t aIndex)
{
  return fmt::format("progress{}", aIndex);
}

}

std::string
JobPartition(const JobId& aJob)
{
  return std::to_string(ComputeHash(aJob.value) % kJobPartitionCount);
}

std::uint32_t
ProgressPartitionIndex(const JobId& aJob)
{
  return ComputeHash(aJob.value) / kJobPartitionCount % kProgressPartitionCount;
}

RowKey
InstanceRowKey(std::string_view aInstance)
{
  return { .table = std::string(kCellTable),
           .partition = InstancePartitionName(ComputeHash(aInstance) % kInstancePartitionCount),
           .key = fmt::format("{}{}", kInstancePrefix, aInstance) };
}

std::vector<std::string>
CellTablePartitions()
{
  std::vector<std::string> partitions;
  for (std::uint32_t index = 0; index < kInstancePartitionCount; ++index) {
    partitions.push_back(InstancePartitionName(index));
  }
  partitions.emplace_back(kLeaderPartition);
  return partitions;
}

std::vector<std::string>
JobTablePartitions()
{
  std::vector<std::string> partitions;
  for (std::uint32_t index = 0; index < kJobPartitionCount; ++index) {
    partitions.push_back(std::to_string(index));
  }
  for (std::uint32_t index = 0; index < kProgressPartitionCount; ++index) {
    partitions.push_back(ProgressPartitionName(index));
  }
  partitions.emplace_back(kTermPartition);
  return partitions;
}

RowKey
ProgressTermRowKey(std::uint32_t aPartition)
{
  return { .table = std::string(kJobTable),
           .partition = ProgressPartitionName(aPartition),
           .key = std::string(kLeaderKey) };
}

RowKey
JobRowKey(const JobId& aJob, JobRowKind aKind)
{
  const bool isProgress = aKind == JobRowKind::Progress;
  return { .table = std::string(kJobTable),
           .partition =
             isProgress ? ProgressPartitionName(ProgressPartitionIndex(aJob)) : JobPartition(aJob),
           .key =
             fmt::format("{}.{}", aJob.value, kKindSuffixes[static_cast<std::size_t>(aKind)]) };
}

RowRange
JobRowRange(const JobId& aJob)
{
  return { .table = std::string(kJobTable),
           .partition = JobPartition(aJob),
           .from = aJob.value + ".",
           .to = aJob.value + "/" };
}

RowRange
ProgressRowRange(const JobId& aJob)
{
  auto range = JobRowRange(aJob);
  range.partition = ProgressPartitionName(ProgressPartitionIndex(aJob));
  return range;
}

std::optional<JobRowName>
ParseJobRowKey(std::string_view aKey)
{
  if (aKey.size() <= kSuffixLength || aKey[aKey.size() - kSuffixLength] != '.') {
    return {};
  }
  const auto kind = kKindSuffixes.find(aKey.back());
  if (kind == std::string_view::npos) {
    return {};
  }
  return JobRowName{ .job = { std::string(aKey.substr(0, aKey.size() - kSuffixLength)) },
                     .kind = static_cast<JobRowKind>(kind) };
}

Result<JobSpecification>
DecodeSpecification(const JobId& aJob, std::string_view aText)
{
  return DecodeRow<JobSpecification>(
    aText, "job", [&aJob](const Json::Value& aValue) -> Result<JobSpecification> {
      JobSpecification spec{ .id = aJob,
                             .workspace = { aValue["workspace"].asString() },
                             .queue = DecodeQueue(aValue["queue"]),
                             .payload = aValue["payload"].asString(),
                             .occurrences = aValue["occurrences"].asUInt(),
                             .firstDue = WallTime(Milliseconds(aValue["due"].asInt64())),
                             .interval = Milliseconds(aValue["interval"].asInt64()),
                             .received = WallTime(Milliseconds(aValue["received"].asInt64())) };
      for (const auto& value : aValue["steps"]) {
        auto step = DecodeStep(value);
        const auto isEarlier = [&spec](std::uint32_t aStep) { return aStep < spec.steps.size(); };
        if (!std::ranges::all_of(step.dependsOn, isEarlier)) {
          return NotRun(ErrorCode::BadRequest,
                        "The job row has a step that waits for a later one.");
        }
        spec.steps.push_back(std::move(step));
      }
      if (spec.steps.empty()) {
        return NotRun(ErrorCode::BadRequest, "The job row has no steps.");
      }
      return spec;
    });
}

std::string
EncodeEndedJob(const EndedJobRecord& aRecord)
{
  const auto isPlain = [](const std::string& aName) {
    return !aName.empty() && aName.find(' ') == std::string::npos;
  };
  const auto outcome = static_cast<std::uint32_t>(aRecord.outcome);
  if (isPlain(aRecord.workspace.value) && isPlain(aRecord.queue.value)) {
    return fmt::format(
      "{}{} {} {}", kEndedPrefix, outcome, aRecord.workspace.value, aRecord.queue.value);
  }
  Json::Value value(Json::objectValue);
  value["outcome"] = outcome;
  value["workspace"] = aRecord.workspace.value;
  value["queue"] = aRecord.queue.value;
  return fmt::format("{}{}", kEndedPrefix, WriteJson(value));
}

std::optional<EndedJobRecord>
DecodeEndedJob(std::string_view aText, const CellPolicy* aPolicy)
{
  if (!aText.starts_with(kEndedPrefix)) {
    return {};
  }
  aText.remove_prefix(kEndedPrefix.size());
  if (aText.starts_with('{')) {
    return DecodeEndedJobJson(aText);
  }
  auto readings = ReadSpaceSeparated(aText);
  if (readings.empty()) {
    return {};
  }
  const auto outcome = readings.front().outcome;
  if (readings.size() > 1 && aPolicy != nullptr) {
    KeepKnownReadings(readings, *aPolicy);
  }
  return readings.size() == 1 ? readings.front() : EndedJobRecord{ .outcome = outcome };
}

ProgressRecord
MakeProgressRecord(const Job& aJob)
{
  ProgressRecord record{ .outcome = aJob.outcome,
                         .hasStarted = aJob.hasStarted,
                         .occurrencesSucceeded = aJob.occurrencesSucceeded };
  if (aJob.outcome != JobOutcome::Active) {
    return record;
  }
  for (auto open = aJob.FirstOpenOccurrence(); open != aJob.occurrences.end(); ++open) {
    const auto& [number, occurrence] = *open;
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const auto& run = occurrence.steps[step];
      if (run.succeededTasks == run.tasks.size()) {
        record.succeededSteps.push_back({ .occurrence = number, .step = step });
        continue;
      }
      if (run.isStartRecorded) {
        record.startedSteps.push_back({ .occurrence = number, .step = step });
      }
      const auto& tasks = run.tasks;
      for (auto used = tasks.FindUsed(0); used; used = tasks.FindUsed(*used + 1)) {
        const auto index = *used;
        const auto& task = tasks[index];
        const bool hasSucceeded = task.phase == TaskPhase::Succeeded;
        const bool hasLostRuns =
          !task.crashedRuns.empty() || !task.rackLossRuns.empty() || task.recordedStart.has_value();
        if (hasSucceeded || hasLostRuns || !task.failedRuns.empty() || !task.checkpoint.empty()) {
          record.tasks.push_back({ .key = { .occurrence = number, .step = step, .index = index },
                                   .hasSucceeded = hasSucceeded,
                                   .failedRuns = task.failedRuns,
                                   .checkpoint = hasSucceeded ? "" : task.checkpoint,
                                   .crashedRuns = task.crashedRuns,
                                   .blamedRuns = task.blamedRuns,
                                   .rackLossRuns = task.rackLossRuns,
                                   .recordedStart = task.recordedStart });
        }
      }
    }
  }
  return record;
}

Result<ProgressRecord>
DecodeProgress(std::string_view aText)
{
  return DecodeRow<ProgressRecord>(
    aText, "progress", [](const Json::Value& aValue) -> Result<ProgressRecord> {
      const auto outcome = aValue["outcome"].asUInt();
      if (outcome > static_cast<std::uint32_t>(JobOutcome::Cancelled)) {
        return NotRun(ErrorCode::BadRequest, "The progress row has an unknown outcome.");
      }
      ProgressRecord record{ .outcome = static_cast<JobOutcome>(outcome),
                             .hasStarted = aValue["started"].asBool(),
                             .occurrencesSucceeded = aValue["occurrences"].asUInt() };
      for (const auto& step : aValue["steps"]) {
        record.succeededSteps.push_back(DecodeTaskKey(step));
      }
      for (const auto& step : aValue["started_steps"]) {
        record.startedSteps.push_back(DecodeTaskKey(step));
      }
      for (const auto& task : aValue["tasks"]) {
        record.tasks.push_back({ .key = DecodeTaskKey(task),
                                 .hasSucceeded = task[3].asBool(),
                                 .failedRuns = DecodeRuns(task[5]),
                                 .checkpoint = task[4].asString(),
                                 .crashedRuns = DecodeRuns(task[6]),
                                 .blamedRuns = DecodeRuns(task[7]),
                                 .rackLossRuns = DecodeRuns(task[8]),
                                 .recordedStart = DecodeRecordedStart(task[9]) });
      }
      return record;
    });
}

SuspendedLeases
RemainingLeases(const std::map<WorkerId, TimePoint>& aExpiry, TimePoint aNow)
{
  SuspendedLeases leases;
  for (const auto& [worker, expiry] : aExpiry) {
    leases.emplace(worker, std::max(Milliseconds{ 0 }, expiry - aNow));
  }
  return leases;
}

std::string
EncodeExpectedWaits(std::span<const ExpectedWait> aWaits)
{
  Json::Value values(Json::arrayValue);
  for (const auto& wait : aWaits) {
    values.append(ToJson(wait));
  }
  return WriteJson(values);
}

std::string
EncodeLeaderRecord(const LeaderRecord& aRecord)
{
  Json::Value value(Json::objectValue);
  value["instance"] = aRecord.instance;
  value["incarnation"] = aRecord.incarnation;
  value["recovering"] = aRecord.isRecovering;
  value["address"] = aRecord.address;
  value["port"] = aRecord.port;
  value["token"] = Json::UInt64(aRecord.token);
  value["leaving"] = aRecord.isResigning;
  value["recovery_left_ms"] = Json::Int64(aRecord.recoveryLeft.count());
  value["written_ms"] = Json::Int64(aRecord.writtenAt.count());
  for (const auto& worker : aRecord.workers) {
    value["workers"].append(worker);
  }
  for (const auto& [worker, jobs] : aRecord.drainingJobs) {
    auto& names = value["draining"][worker.value] = Json::Value(Json::arrayValue);
    for (const auto& job : jobs) {
      names.append(job.value);
    }
  }
  for (const auto& [worker, left] : aRecord.suspendedLeases) {
    value["suspended_leases_ms"][worker.value] = Json::Int64(left.count());
  }
  value["records_starts"] = aRecord.recordsStarts;
  if (!aRecord.fencedIncarnations.empty()) {
    value["incarnations"] = EncodeIncarnations(aRecord.workers, aRecord.fencedIncarnations);
  }
  if (aRecord.longestLease > Milliseconds{ 0 }) {
    value["longest_lease_ms"] = Json::Int64(aRecord.longestLease.count());
  }
  for (const auto& [queue, count] : aRecord.backlog) {
    value["waiting"][queue] = Json::UInt64(count);
  }
  for (const auto& wait : aRecord.expectedWaits) {
    value["expected_waits"].append(ToJson(wait));
  }
  return WriteJson(value);
}

Result<LeaderRecord>
DecodeLeaderRecord(std::string_view aText)
{
  return DecodeRow<LeaderRecord>(
    aText, "ownership", [](const Json::Value& aValue) -> Result<LeaderRecord> {
      LeaderRecord record{ .instance = aValue["instance"].asString(),
                           .incarnation = aValue["incarnation"].asString(),
                           .address = aValue["address"].asString(),
                           .port = DecodePort(aValue["port"]),
                           .token = aValue["token"].asUInt64(),
                           .isResigning = aValue["leaving"].asBool(),
                           .isRecovering = aValue["recovering"].asBool(),
                           .recoveryLeft = Milliseconds(aValue["recovery_left_ms"].asInt64()),
                           .writtenAt = Milliseconds(aValue["written_ms"].asInt64()) };
      for (const auto& worker : aValue["workers"]) {
        record.workers.push_back(worker.asString());
      }
      for (const auto& worker : aValue["draining"].getMemberNames()) {
        auto& jobs = record.drainingJobs[{ worker }];
        for (const auto& job : aValue["draining"][worker]) {
          jobs.insert({ job.asString() });
        }
      }
      const auto& leases = aValue["suspended_leases_ms"];
      for (const auto& worker : leases.getMemberNames()) {
        record.suspendedLeases[{ worker }] = Milliseconds(leases[worker].asInt64());
      }
      record.fencedIncarnations = DecodeIncarnations(record.workers, aValue["incarnations"]);
      record.longestLease = Milliseconds(aValue["longest_lease_ms"].asInt64());
      record.recordsStarts = aValue["records_starts"].asBool();
      for (const auto& queue : aValue["waiting"].getMemberNames()) {
        record.backlog[queue] = aValue["waiting"][queue].asUInt64();
      }
      record.expectedWaits = DecodeExpectedWaits(aValue["expected_waits"]);
      return record;
    });
}

std::string
EncodeInstanceRecord(const InstanceRecord& aRecord)
{
  Json::Value value(Json::objectValue);
  value["address"] = aRecord.address;
  value["port"] = aRecord.port;
  value["zone"] = aRecord.zone;
  value["incarnation"] = aRecord.incarnation;
  value["milli_cores"] = aRecord.milliCores;
  value["beat"] = Json::UInt64(aRecord.heartbeat);
  return WriteJson(value);
}

Result<InstanceRecord>
DecodeInstanceRecord(std::string_view aText)
{
  return DecodeRow<InstanceRecord>(
    aText, "instance", [](const Json::Value& aValue) -> Result<InstanceRecord> {
      return InstanceRecord{ .incarnation = aValue["incarnation"].asString(),
                             .address = aValue["address"].asString(),
                             .port = DecodePort(aValue["port"]),
                             .zone = aValue["zone"].asString(),
                             .milliCores = aValue["milli_cores"].asUInt(),
                             .heartbeat = aValue["beat"].asUInt64() };
    });
}

}
