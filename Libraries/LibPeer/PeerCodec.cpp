#include <LibPeer/PeerCodec.h>

#include <LibPlatform/Codec.h>
#include <LibPlatform/Json.h>
#include <array>
#include <json/json.h>

namespace zinc {

namespace {

constexpr std::size_t kNameBytesLimit = 64;
constexpr std::size_t kDocumentBytesLimit = std::size_t{ 8 } << 20;
constexpr std::int64_t kPortLimit = 65535;
constexpr std::int64_t kCountLimit = 10'000'000;
constexpr std::int64_t kAttemptLimit = 1'000'000;
constexpr std::array<std::string_view, 3> kAskKindNames = { "submit", "query", "cancel" };

Json::Value
ToJson(const Endpoint& aEndpoint)
{
  Json::Value value(Json::objectValue);
  value["address"] = aEndpoint.address;
  value["port"] = aEndpoint.port;
  return value;
}

Json::Value
ToJson(const Heartbeat& aHeartbeat)
{
  Json::Value value(Json::objectValue);
  value["id"] = aHeartbeat.id.value;
  value["name"] = aHeartbeat.name;
  value["zone"] = aHeartbeat.zone.value;
  value["endpoint"] = ToJson(aHeartbeat.endpoint);
  value["incarnation"] = static_cast<Json::UInt64>(aHeartbeat.incarnation);
  value["leaving"] = aHeartbeat.leaving;
  return value;
}

Json::Value
ToJson(const SchedulerLoad& aLoad)
{
  Json::Value value(Json::objectValue);
  value["capacity"] = ToJson(aLoad.capacity);
  value["used"] = ToJson(aLoad.used);
  value["largest_room"] = ToJson(aLoad.largestRoom);
  value["running"] = aLoad.running;
  Json::Value queued(Json::arrayValue);
  for (const auto count : aLoad.queued) {
    queued.append(count);
  }
  value["queued"] = std::move(queued);
  return value;
}

/// Reads a nested object with its own decoder and passes its fault on.
template<typename T>
T
ReadMember(JsonFields& aFields, const char* aField, Result<T> (*aDecode)(const Json::Value&))
{
  auto decoded = aDecode(aFields.Member(aField));
  if (IsError(decoded)) {
    aFields.AddFault(ErrorOf(decoded));
    return {};
  }
  return std::move(ValueOf(decoded));
}

Result<Endpoint>
EndpointFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "endpoint");
  Endpoint endpoint;
  endpoint.address = fields.Text("address", kNameBytesLimit);
  endpoint.port = static_cast<std::uint16_t>(fields.Integer("port", 0, kPortLimit));
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return endpoint;
}

Result<Heartbeat>
HeartbeatFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "heartbeat");
  Heartbeat heartbeat;
  heartbeat.id.value = fields.Text("id", kIdentifierBytesLimit);
  heartbeat.name = fields.Text("name", kIdentifierBytesLimit);
  heartbeat.zone.value = fields.Text("zone", kIdentifierBytesLimit);
  heartbeat.endpoint = ReadMember(fields, "endpoint", EndpointFromJson);
  heartbeat.incarnation = fields.Unsigned("incarnation");
  heartbeat.leaving = fields.Boolean("leaving");
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return heartbeat;
}

Result<SchedulerLoad>
SchedulerLoadFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "load");
  SchedulerLoad load;
  load.capacity = ReadMember(fields, "capacity", ResourcesFromJson);
  load.used = ReadMember(fields, "used", ResourcesFromJson);
  load.largestRoom = ReadMember(fields, "largest_room", ResourcesFromJson);
  load.running = static_cast<std::uint32_t>(fields.Integer("running", 0, kDurationLimit.count()));
  const auto& queued = fields.Array("queued");
  if (queued.size() != load.queued.size()) {
    fields.AddFault("queued", "one count for each work class");
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  for (Json::ArrayIndex index = 0; index < queued.size(); ++index) {
    if (!queued[index].isUInt()) {
      return NotRun(ErrorCode::BadRequest, "load: queued: expected counts");
    }
    load.queued.at(index) = queued[index].asUInt();
  }
  return load;
}

Json::Value
KindObject(const char* aKind)
{
  Json::Value value(Json::objectValue);
  value["kind"] = aKind;
  return value;
}

Json::Value
AttemptObject(const char* aKind, const AttemptId& aAttempt)
{
  auto value = KindObject(aKind);
  value["task"] = aAttempt.task.value;
  value["attempt"] = aAttempt.attempt;
  return value;
}

AttemptId
ReadAttempt(JsonFields& aFields)
{
  return { .task = { aFields.Text("task", kIdentifierBytesLimit) },
           .attempt = static_cast<std::uint32_t>(aFields.Integer("attempt", 1, kAttemptLimit)) };
}

Verdict
ReadVerdict(JsonFields& aFields, const char* aField)
{
  auto decoded = VerdictFromJson(aFields.Member(aField));
  if (IsError(decoded)) {
    aFields.AddFault(ErrorOf(decoded));
    return {};
  }
  if (!ValueOf(decoded)) {
    aFields.AddFault(aField, "a verdict");
    return {};
  }
  return *ValueOf(decoded);
}

Json::Value
ToJson(const Submission& aSubmission)
{
  Json::Value value(Json::objectValue);
  value["team"] = aSubmission.team.value;
  value["request_id"] = aSubmission.request.value;
  value["queue"] = aSubmission.queue.value;
  value["tasks"] = aSubmission.tasks;
  value["resources"] = ToJson(aSubmission.resources);
  value["expected_run_ms"] = static_cast<Json::Int64>(aSubmission.expectedRun.count());
  if (aSubmission.deadline) {
    value["deadline_ms"] = static_cast<Json::Int64>(aSubmission.deadline->count());
  }
  value["payload"] = aSubmission.payload;
  return value;
}

Result<Submission>
SubmissionFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "submission");
  Submission submission;
  submission.team.value = fields.Text("team", kIdentifierBytesLimit);
  submission.request.value = fields.Text("request_id", kRequestIdBytesLimit);
  submission.queue.value = fields.OptionalText("queue", kIdentifierBytesLimit);
  submission.tasks = static_cast<std::uint32_t>(fields.Integer("tasks", 1, kTasksLimit));
  submission.resources = ReadMember(fields, "resources", ResourcesFromJson);
  submission.expectedRun =
    Milliseconds(fields.Integer("expected_run_ms", 0, kDurationLimit.count()));
  const auto deadline = fields.OptionalInteger("deadline_ms", 0, kDurationLimit.count());
  if (deadline) {
    submission.deadline = Milliseconds(*deadline);
  }
  submission.payload = fields.OptionalText("payload", kPayloadBytesLimit);
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return submission;
}

/// Writes each kind of notice.
struct NoticeWriter
{
  Json::Value operator()(const PlaceTask& aNotice) const
  {
    auto value = KindObject("place");
    value["spec"] = ToJson(aNotice.task);
    value["claim"] = aNotice.claim == ClaimMode::Required;
    return value;
  }

  Json::Value operator()(const TaskRefused& aNotice) const
  {
    auto value = AttemptObject("refused", aNotice.attempt);
    value["verdict"] = ToJson(aNotice.verdict);
    return value;
  }

  Json::Value operator()(const ClaimTask& aNotice) const
  {
    auto value = AttemptObject("claim", aNotice.attempt);
    value["worker"] = aNotice.worker.value;
    value["term"] = static_cast<Json::UInt64>(aNotice.term);
    return value;
  }

  Json::Value operator()(const ClaimDecided& aNotice) const
  {
    auto value = AttemptObject("claim_decided", aNotice.attempt);
    if (aNotice.refusal) {
      value["refusal"] = ToJson(*aNotice.refusal);
    }
    return value;
  }

  Json::Value operator()(const TaskStarted& aNotice) const
  {
    auto value = AttemptObject("started", aNotice.attempt);
    value["worker"] = aNotice.worker.value;
    return value;
  }

  Json::Value operator()(const TaskEnded& aNotice) const
  {
    auto value = AttemptObject("ended", aNotice.attempt);
    value["state"] = std::string(ToString(aNotice.state));
    value["run"] = std::string(ToString(aNotice.run));
    value["result"] = aNotice.result;
    value["progress"] = aNotice.progress;
    value["requeued"] = aNotice.after == AfterEnd::Requeued;
    return value;
  }

  Json::Value operator()(const TaskLost& aNotice) const
  {
    auto value = AttemptObject("lost", aNotice.attempt);
    value["worker"] = aNotice.worker.value;
    return value;
  }

  Json::Value operator()(const StopTask& aNotice) const
  {
    return AttemptObject("stop", aNotice.attempt);
  }

  Json::Value operator()(const Ask& aNotice) const
  {
    auto value = KindObject("ask");
    value["ticket"] = static_cast<Json::UInt64>(aNotice.ticket);
    value["ask"] = std::string(kAskKindNames.at(static_cast<std::size_t>(aNotice.kind)));
    value["submission"] = ToJson(aNotice.submission);
    value["wait_ms"] = static_cast<Json::Int64>(aNotice.wait.count());
    return value;
  }

  Json::Value operator()(const Reply& aNotice) const
  {
    auto value = KindObject("reply");
    value["ticket"] = static_cast<Json::UInt64>(aNotice.ticket);
    if (IsError(aNotice.answer)) {
      value["verdict"] = ToJson(ErrorOf(aNotice.answer));
    } else {
      value["answer"] = zinc::ToJson(ValueOf(aNotice.answer));
    }
    return value;
  }

  Json::Value operator()(const AllowanceHinted& aNotice) const
  {
    auto value = KindObject("allowance");
    value["team"] = aNotice.team.value;
    value["returned"] = aNotice.hint == QuotaHint::Returned;
    return value;
  }

  Json::Value operator()(const WorkerAdopted& aNotice) const
  {
    auto value = KindObject("adopted");
    value["worker"] = aNotice.worker.value;
    return value;
  }
};

Notice
ReadPlace(JsonFields& aFields)
{
  return PlaceTask{ .task = ReadMember(aFields, "spec", TaskSpecFromJson),
                    .claim = aFields.Boolean("claim") ? ClaimMode::Required : ClaimMode::None };
}

Notice
ReadRefused(JsonFields& aFields)
{
  return TaskRefused{ .attempt = ReadAttempt(aFields), .verdict = ReadVerdict(aFields, "verdict") };
}

Notice
ReadClaim(JsonFields& aFields)
{
  return ClaimTask{ .attempt = ReadAttempt(aFields),
                    .worker = { aFields.Text("worker", kIdentifierBytesLimit) },
                    .term = aFields.Unsigned("term") };
}

Notice
ReadClaimDecided(JsonFields& aFields)
{
  ClaimDecided notice{ .attempt = ReadAttempt(aFields) };
  if (aFields.Has("refusal")) {
    notice.refusal = ReadVerdict(aFields, "refusal");
  }
  return notice;
}

Notice
ReadStarted(JsonFields& aFields)
{
  return TaskStarted{ .attempt = ReadAttempt(aFields),
                      .worker = { aFields.Text("worker", kIdentifierBytesLimit) } };
}

Notice
ReadEnded(JsonFields& aFields)
{
  TaskEnded notice{ .attempt = ReadAttempt(aFields) };
  const auto state = TaskStateFromString(aFields.Text("state", kNameBytesLimit));
  const auto run = RunStateFromString(aFields.Text("run", kNameBytesLimit));
  if (!state || !IsEnded(*state)) {
    aFields.AddFault("state", "the state of an ended task");
    return notice;
  }
  if (!run) {
    aFields.AddFault("run", "a run state");
    return notice;
  }
  notice.state = *state;
  notice.run = *run;
  notice.result = aFields.OptionalText("result", kPayloadBytesLimit);
  notice.progress = aFields.OptionalText("progress", kPayloadBytesLimit);
  notice.after = aFields.Boolean("requeued") ? AfterEnd::Requeued : AfterEnd::Forgotten;
  return notice;
}

Notice
ReadLost(JsonFields& aFields)
{
  return TaskLost{ .attempt = ReadAttempt(aFields),
                   .worker = { aFields.Text("worker", kIdentifierBytesLimit) } };
}

Notice
ReadStop(JsonFields& aFields)
{
  return StopTask{ .attempt = ReadAttempt(aFields) };
}

Notice
ReadAsk(JsonFields& aFields)
{
  Ask notice{ .ticket = aFields.Unsigned("ticket") };
  const auto kind =
    std::ranges::find(kAskKindNames, std::string_view(aFields.Text("ask", kNameBytesLimit)));
  if (kind == kAskKindNames.end()) {
    aFields.AddFault("ask", "submit, query or cancel");
    return notice;
  }
  notice.kind = static_cast<AskKind>(kind - kAskKindNames.begin());
  notice.submission = ReadMember(aFields, "submission", SubmissionFromJson);
  notice.wait = Milliseconds(aFields.Integer("wait_ms", 0, kDurationLimit.count()));
  return notice;
}

Notice
ReadReply(JsonFields& aFields)
{
  Reply notice{ .ticket = aFields.Unsigned("ticket") };
  if (aFields.Has("answer")) {
    notice.answer = ReadMember(aFields, "answer", JobAnswerFromJson);
  } else {
    notice.answer = ReadVerdict(aFields, "verdict");
  }
  return notice;
}

Notice
ReadAllowanceHinted(JsonFields& aFields)
{
  return AllowanceHinted{ .team = { aFields.Text("team", kIdentifierBytesLimit) },
                          .hint =
                            aFields.Boolean("returned") ? QuotaHint::Returned : QuotaHint::Wanted };
}

Notice
ReadWorkerAdopted(JsonFields& aFields)
{
  return WorkerAdopted{ .worker = { aFields.Text("worker", kIdentifierBytesLimit) } };
}

struct NoticeReader
{
  std::string_view kind;
  Notice (*read)(JsonFields&);
};

constexpr std::array kNoticeReaders = {
  NoticeReader{ "place", ReadPlace },
  NoticeReader{ "refused", ReadRefused },
  NoticeReader{ "claim", ReadClaim },
  NoticeReader{ "claim_decided", ReadClaimDecided },
  NoticeReader{ "started", ReadStarted },
  NoticeReader{ "ended", ReadEnded },
  NoticeReader{ "lost", ReadLost },
  NoticeReader{ "stop", ReadStop },
  NoticeReader{ "ask", ReadAsk },
  NoticeReader{ "reply", ReadReply },
  NoticeReader{ "allowance", ReadAllowanceHinted },
  NoticeReader{ "adopted", ReadWorkerAdopted },
};

}

Json::Value
ToJson(const PeerBeat& aBeat)
{
  Json::Value value(Json::objectValue);
  value["self"] = ToJson(aBeat.self);
  value["document_version"] = static_cast<Json::UInt64>(aBeat.documentVersion);
  value["confirmation_age_ms"] = static_cast<Json::Int64>(aBeat.confirmationAge.count());
  value["document_settled"] = aBeat.documentSettled;
  value["held_workers"] = aBeat.heldWorkers;
  value["open_adoptions"] = aBeat.openAdoptions;
  value["load"] = ToJson(aBeat.load);
  return value;
}

Result<PeerBeat>
PeerBeatFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "beat");
  PeerBeat beat;
  beat.self = ReadMember(fields, "self", HeartbeatFromJson);
  beat.documentVersion = fields.Unsigned("document_version");
  beat.confirmationAge =
    Milliseconds(fields.Integer("confirmation_age_ms", 0, kDurationLimit.count()));
  beat.documentSettled = fields.Boolean("document_settled");
  beat.heldWorkers = static_cast<std::uint32_t>(fields.Integer("held_workers", 0, kCountLimit));
  beat.openAdoptions = static_cast<std::uint32_t>(fields.Integer("open_adoptions", 0, kCountLimit));
  beat.load = ReadMember(fields, "load", SchedulerLoadFromJson);
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return beat;
}

Json::Value
ToJson(const Notice& aNotice)
{
  return std::visit(NoticeWriter{}, aNotice);
}

Result<Notice>
NoticeFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "notice");
  const auto kind = fields.Text("kind", kNameBytesLimit);
  const auto reader =
    std::ranges::find(kNoticeReaders, std::string_view(kind), &NoticeReader::kind);
  if (reader == kNoticeReaders.end()) {
    return NotRun(ErrorCode::BadRequest, "notice: kind: unknown kind");
  }
  auto notice = reader->read(fields);
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return notice;
}

Json::Value
ToJson(const NoticeBatch& aBatch)
{
  Json::Value value(Json::objectValue);
  value["from"] = aBatch.from.value;
  value["to"] = aBatch.to.value;
  value["sequence"] = static_cast<Json::UInt64>(aBatch.sequence);
  Json::Value notices(Json::arrayValue);
  for (const auto& notice : aBatch.notices) {
    notices.append(ToJson(notice));
  }
  value["notices"] = std::move(notices);
  return value;
}

Result<NoticeBatch>
NoticeBatchFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "batch");
  NoticeBatch batch;
  batch.from.value = fields.Text("from", kIdentifierBytesLimit);
  batch.to.value = fields.Text("to", kIdentifierBytesLimit);
  batch.sequence = fields.Unsigned("sequence");
  const auto& notices = fields.Array("notices");
  if (fields.Fault()) {
    return *fields.Fault();
  }
  for (const auto& item : notices) {
    auto notice = NoticeFromJson(item);
    if (IsError(notice)) {
      return ErrorOf(notice);
    }
    batch.notices.push_back(std::move(ValueOf(notice)));
  }
  return batch;
}

Json::Value
ToJson(const DocumentCopy& aCopy)
{
  Json::Value value(Json::objectValue);
  value["version"] = static_cast<Json::UInt64>(aCopy.version);
  value["yaml"] = aCopy.yaml;
  return value;
}

Result<DocumentCopy>
DocumentCopyFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "document copy");
  DocumentCopy copy;
  copy.version = fields.Unsigned("version");
  copy.yaml = fields.OptionalText("yaml", kDocumentBytesLimit);
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return copy;
}

}
