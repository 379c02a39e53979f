#include "Gateway.h"

#include <LibConsole/ConsolePage.h>
#include <LibDocument/Diff.h>
#include <LibDocument/KeyVerifier.h>
#include <LibDocument/Parser.h>
#include <LibPlatform/Codec.h>
#include <LibPlatform/Json.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <fmt/format.h>
#include <json/json.h>

namespace zinc {

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusAccepted = 202;
constexpr unsigned kStatusUnavailable = 503;
constexpr std::int64_t kMaxWaitMilliseconds = 60'000;
constexpr Milliseconds kStartingRetryDelay{ 1000 };

OutgoingResponse
JsonResponse(const Json::Value& aValue, unsigned aStatus = kStatusOk)
{
  return { .status = aStatus, .body = WriteJson(aValue) };
}

OutgoingResponse
TextResponse(std::string aText, unsigned aStatus = kStatusOk)
{
  return { .status = aStatus,
           .contentType = "text/plain; charset=utf-8",
           .body = std::move(aText) };
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || rest != end || aText.empty()) {
    return {};
  }
  return number;
}

Json::Value
FaultsToJson(const Faults& aFaults)
{
  Json::Value list(Json::arrayValue);
  for (const auto& fault : aFaults) {
    Json::Value value(Json::objectValue);
    value["line"] = fault.line;
    value["path"] = fault.path;
    value["message"] = fault.message;
    value["expected"] = fault.expected;
    list.append(std::move(value));
  }
  return list;
}

Json::Value
ChangesToJson(const std::vector<Change>& aChanges)
{
  Json::Value list(Json::arrayValue);
  for (const auto& change : aChanges) {
    Json::Value value(Json::objectValue);
    value["kind"] = std::string(ToString(change.kind));
    value["path"] = change.path;
    value["before"] = change.before;
    value["after"] = change.after;
    list.append(std::move(value));
  }
  return list;
}

Json::Value
ZonesToJson(const std::vector<ZoneConfirmation>& aZones)
{
  Json::Value list(Json::arrayValue);
  for (const auto& zone : aZones) {
    Json::Value value(Json::objectValue);
    value["zone"] = zone.zone.value;
    value["confirmed"] = zone.isConfirmed;
    list.append(std::move(value));
  }
  return list;
}

OutgoingResponse
FaultsResponse(const Faults& aFaults)
{
  const auto verdict =
    NotRun(ErrorCode::Impossible,
           "The document is invalid and has not been accepted; see the list of faults.");
  auto body = std::move(ValueOf(ParseJson(ErrorBody(verdict))));
  body["faults"] = FaultsToJson(aFaults);
  return JsonResponse(body, HttpStatus(verdict.code));
}

Json::Value
BeatToJson(const PeerBeat& aBeat, std::string_view aState)
{
  Json::Value value(Json::objectValue);
  value["name"] = aBeat.self.name;
  value["zone"] = aBeat.self.zone.value;
  value["state"] = std::string(aState);
  value["document_version"] = static_cast<Json::UInt64>(aBeat.documentVersion);
  value["running"] = aBeat.load.running;
  std::uint32_t queued = 0;
  for (const auto count : aBeat.load.queued) {
    queued += count;
  }
  value["queued"] = queued;
  value["used"] = ToJson(aBeat.load.used);
  value["capacity"] = ToJson(aBeat.load.capacity);
  return value;
}

}

const Gateway::Route Gateway::kRoutes[] = {
  { RequestMethod::Post, "/v1/jobs", false, Access::Caller, &Gateway::SubmitJob },
  { RequestMethod::Fetch, "/v1/jobs/", true, Access::Caller, &Gateway::QueryJob },
  { RequestMethod::Delete, "/v1/jobs/", true, Access::Caller, &Gateway::CancelJob },
  { RequestMethod::Fetch, "/v1/document", false, Access::Operator, &Gateway::ShowDocument },
  { RequestMethod::Fetch, "/v1/document/history", false, Access::Operator, &Gateway::ShowHistory },
  { RequestMethod::Post, "/v1/document/plan", false, Access::Operator, &Gateway::PlanDocument },
  { RequestMethod::Put, "/v1/document", false, Access::Operator, &Gateway::ReplaceDocument },
  { RequestMethod::Post, "/v1/keys", false, Access::Operator, &Gateway::GrantKey },
  { RequestMethod::Delete, "/v1/keys/", true, Access::Operator, &Gateway::WithdrawKey },
  { RequestMethod::Fetch, "/v1/workers", false, Access::Operator, &Gateway::ListWorkers },
  { RequestMethod::Fetch, "/v1/queues", false, Access::Operator, &Gateway::ListQueues },
  { RequestMethod::Fetch, "/v1/teams", false, Access::Operator, &Gateway::ListTeams },
  { RequestMethod::Fetch, "/v1/entries", false, Access::Operator, &Gateway::ListEntries },
  { RequestMethod::Fetch, "/metrics", false, Access::Anyone, &Gateway::ShowMetrics },
  { RequestMethod::Fetch, "/healthz", false, Access::Anyone, &Gateway::ShowHealth },
  { RequestMethod::Fetch, "/readyz", false, Access::Anyone, &Gateway::ShowReadiness },
  { RequestMethod::Fetch, "/", false, Access::Anyone, &Gateway::ShowConsole },
};

Gateway::Gateway(Entry& aEntry, boost::asio::io_context& aControl)
  : entry(aEntry)
  , control(aControl)
{
}

void
Gateway::Handle(IncomingRequest aRequest, Respond aRespond)
{
  std::string pathParameter;
  const auto* route = this->FindRoute(aRequest, pathParameter);
  if (!route) {
    aRespond(ErrorResponse(NotRun(ErrorCode::NotFound, "No route has this method and path.")));
    return;
  }
  if (route->access == Access::Operator) {
    const auto authenticated = this->AuthenticateOperator(aRequest);
    if (IsError(authenticated)) {
      aRespond(ErrorResponse(ErrorOf(authenticated)));
      return;
    }
  }
  (this->*route->handler)({ .request = std::move(aRequest),
                            .respond = std::move(aRespond),
                            .pathParameter = std::move(pathParameter) });
}

const Gateway::Route*
Gateway::FindRoute(const IncomingRequest& aRequest, std::string& aPathParameter) const
{
  for (const auto& route : kRoutes) {
    if (route.method != aRequest.method) {
      continue;
    }
    if (!route.hasPathParameter && aRequest.path == route.path) {
      return &route;
    }
    const bool isLonger = aRequest.path.size() > route.path.size();
    if (route.hasPathParameter && isLonger && aRequest.path.starts_with(route.path)) {
      aPathParameter = aRequest.path.substr(route.path.size());
      return &route;
    }
  }
  return nullptr;
}

void
Gateway::PostToControl(std::function<void()> aFunction)
{
  boost::asio::post(this->control, std::move(aFunction));
}

Result<KeyId>
Gateway::AuthenticateOperator(const IncomingRequest& aRequest) const
{
  return VerifyOperatorKey(this->entry.Settings().operators, aRequest.bearer);
}

void
Gateway::SubmitJob(Exchange aExchange)
{
  auto parsed = ParseSubmission(aExchange.request.body);
  if (IsError(parsed)) {
    aExchange.respond(ErrorResponse(ErrorOf(parsed)));
    return;
  }
  this->PostToControl(
    [this, exchange = std::move(aExchange), submission = std::move(ValueOf(parsed))]() mutable {
      this->AdmitJob(std::move(exchange), std::move(submission));
    });
}

void
Gateway::AdmitJob(Exchange aExchange, Submission aSubmission)
{
  if (this->entry.Stage() == LifeCycleStage::Starting) {
    const auto starting = NotRun(ErrorCode::Unavailable,
                                 "The instance is starting and has not loaded the document yet.",
                                 kStartingRetryDelay);
    aExchange.respond(ErrorResponse(VerdictForRequest(starting, aSubmission)));
    return;
  }
  const auto queue =
    this->entry.Admit(aSubmission.queue, aExchange.request.bearer, aSubmission.team);
  if (IsError(queue)) {
    aExchange.respond(ErrorResponse(VerdictForRequest(ErrorOf(queue), aSubmission)));
    return;
  }
  const auto team = aSubmission.team;
  // aSubmission is moved below; this keeps the only field that VerdictForRequest depends on.
  const Submission errorContext{ .firstAsk = aSubmission.firstAsk };
  const auto workClass = ValueOf(queue)->workClass;
  this->entry.Submit(std::move(aSubmission),
                     *ValueOf(queue),
                     [this,
                      team,
                      workClass,
                      errorContext,
                      respond = aExchange.respond,
                      received = aExchange.request.received](const Result<JobAnswer>& aAnswer) {
                       const auto total = SteadyClock().Now() - received;
                       const auto error = IsError(aAnswer) ? std::optional(ErrorOf(aAnswer).code)
                                                           : std::optional<ErrorCode>();
                       this->entry.Metrics().RecordResponse(team, workClass, error, total);
                       if (IsError(aAnswer)) {
                         respond(ErrorResponse(VerdictForRequest(ErrorOf(aAnswer), errorContext)));
                         return;
                       }
                       this->RespondWithJob(respond, aAnswer);
                     });
}

Result<Submission>
Gateway::IdentifyJob(const Exchange& aExchange) const
{
  const auto queue = aExchange.request.Query("queue");
  const auto queueId =
    queue ? std::optional(QueueId{ std::string(*queue) }) : std::optional<QueueId>();
  if (!IsRequestId(aExchange.pathParameter)) {
    return NotRun(ErrorCode::BadRequest,
                  "The path must end with a request id: 1 to 128 of A-Z a-z 0-9 . _ : -.");
  }
  const auto team = this->entry.Authenticate(aExchange.request.bearer, queueId);
  if (IsError(team)) {
    return ErrorOf(team);
  }
  return Submission{ .team = ValueOf(team), .request = { aExchange.pathParameter } };
}

void
Gateway::QueryJob(Exchange aExchange)
{
  const auto waitText = aExchange.request.Query("wait_ms").value_or("0");
  const auto wait = ParseNumber(waitText);
  if (!wait || *wait > static_cast<std::uint64_t>(kMaxWaitMilliseconds)) {
    aExchange.respond(ErrorResponse(
      NotRun(ErrorCode::BadRequest,
             fmt::format("wait_ms must be an integer from 0 to {}.", kMaxWaitMilliseconds))));
    return;
  }
  this->PostToControl([this, exchange = std::move(aExchange), wait = Milliseconds(*wait)] {
    const auto job = this->IdentifyJob(exchange);
    if (IsError(job)) {
      exchange.respond(ErrorResponse(VerdictForRequest(ErrorOf(job), {})));
      return;
    }
    this->entry.Query(
      ValueOf(job), wait, [this, respond = exchange.respond](const Result<JobAnswer>& aAnswer) {
        this->RespondWithJob(respond, aAnswer);
      });
  });
}

void
Gateway::CancelJob(Exchange aExchange)
{
  this->PostToControl([this, exchange = std::move(aExchange)] {
    const auto job = this->IdentifyJob(exchange);
    if (IsError(job)) {
      exchange.respond(ErrorResponse(VerdictForRequest(ErrorOf(job), {})));
      return;
    }
    this->entry.Cancel(ValueOf(job),
                       [this, respond = exchange.respond](const Result<JobAnswer>& aAnswer) {
                         this->RespondWithJob(respond, aAnswer);
                       });
  });
}

void
Gateway::RespondWithJob(const Respond& aRespond, const Result<JobAnswer>& aAnswer)
{
  if (IsError(aAnswer)) {
    // The empty submission makes no claim that the job has not run: that is unknown here.
    aRespond(ErrorResponse(VerdictForRequest(ErrorOf(aAnswer), {})));
    return;
  }
  const auto& answer = ValueOf(aAnswer);
  aRespond(JsonResponse(ToJson(answer), IsFinal(answer.state) ? kStatusOk : kStatusAccepted));
}

void
Gateway::ShowDocument(Exchange aExchange)
{
  this->PostToControl([this, exchange = std::move(aExchange)] {
    // A starting process may know only an older version than the one in force.
    if (this->entry.Stage() == LifeCycleStage::Starting) {
      exchange.respond(
        ErrorResponse(NotRun(ErrorCode::Unavailable,
                             "The instance is starting and has not loaded the document yet.",
                             kStartingRetryDelay)));
      return;
    }
    const auto& documents = this->entry.Documents();
    exchange.respond({ .contentType = "application/yaml",
                       .body = documents.Yaml(),
                       .etag = std::to_string(documents.Current().version) });
  });
}

void
Gateway::ShowHistory(Exchange aExchange)
{
  this->PostToControl([this, exchange = std::move(aExchange)] {
    this->entry.Documents().ListVersions(
      [respond = exchange.respond](const Result<std::vector<DocumentVersion>>& aVersions) {
        if (IsError(aVersions)) {
          respond(ErrorResponse(ErrorOf(aVersions)));
          return;
        }
        Json::Value body(Json::objectValue);
        body["versions"] = Json::Value(Json::arrayValue);
        for (const auto& version : ValueOf(aVersions)) {
          Json::Value value(Json::objectValue);
          value["version"] = static_cast<Json::UInt64>(version.version);
          value["accepted_by"] = version.acceptedBy;
          body["versions"].append(std::move(value));
        }
        respond(JsonResponse(body));
      });
  });
}

void
Gateway::PlanDocument(Exchange aExchange)
{
  auto parsed = ParseDocument(aExchange.request.body);
  this->PostToControl([this, exchange = std::move(aExchange), parsed = std::move(parsed)] {
    const auto& current = this->entry.Documents().Current();
    const auto* document = std::get_if<Document>(&parsed);
    Json::Value body(Json::objectValue);
    body["base_version"] = static_cast<Json::UInt64>(current.version);
    body["valid"] = document != nullptr;
    body["changes"] =
      document ? ChangesToJson(DiffDocuments(current, *document)) : Json::Value(Json::arrayValue);
    body["faults"] =
      document ? Json::Value(Json::arrayValue) : FaultsToJson(std::get<Faults>(parsed));
    exchange.respond(JsonResponse(body));
  });
}

void
Gateway::ReplaceDocument(Exchange aExchange)
{
  const auto parsed = ParseDocument(aExchange.request.body);
  if (const auto* faults = std::get_if<Faults>(&parsed)) {
    aExchange.respond(FaultsResponse(*faults));
    return;
  }
  const auto base = ParseNumber(aExchange.request.ifMatch);
  if (!base) {
    aExchange.respond(ErrorResponse(
      NotRun(ErrorCode::BadRequest,
             "The header If-Match must contain the version number of the document to replace.")));
    return;
  }
  auto yaml = SerializeDocument(std::get<Document>(parsed));
  this->PostToControl(
    [this, exchange = std::move(aExchange), base = *base, yaml = std::move(yaml)]() mutable {
      this->AcceptDocument(base, std::move(yaml), exchange.respond);
    });
}

void
Gateway::AcceptDocument(std::uint64_t aBase, std::string aYaml, const Respond& aRespond)
{
  this->entry.Documents().Accept(
    aBase, std::move(aYaml), [this, respond = aRespond](const Result<std::uint64_t>& aVersion) {
      if (IsError(aVersion)) {
        respond(ErrorResponse(ErrorOf(aVersion)));
        return;
      }
      this->RespondWhenConfirmed(respond, ValueOf(aVersion));
    });
}

void
Gateway::RespondWhenConfirmed(const Respond& aRespond, std::uint64_t aVersion)
{
  this->entry.AwaitZoneConfirmations(
    aVersion, [respond = aRespond, aVersion](const std::vector<ZoneConfirmation>& aZones) {
      Json::Value body(Json::objectValue);
      body["version"] = static_cast<Json::UInt64>(aVersion);
      body["zones"] = ZonesToJson(aZones);
      respond(JsonResponse(body));
    });
}

void
Gateway::GrantKey(Exchange aExchange)
{
  auto body = ParseJson(aExchange.request.body);
  if (IsError(body)) {
    aExchange.respond(ErrorResponse(ErrorOf(body)));
    return;
  }
  JsonFields fields(ValueOf(body), "key");
  const TeamId team{ fields.Text("team", kIdentifierBytesLimit) };
  if (fields.Fault()) {
    aExchange.respond(ErrorResponse(*fields.Fault()));
    return;
  }
  this->PostToControl([this, exchange = std::move(aExchange), team] {
    auto document = this->entry.Documents().Current();
    if (!document.FindTeam(team)) {
      exchange.respond(ErrorResponse(
        NotRun(ErrorCode::NotFound, fmt::format("There is no team named \"{}\".", team.value))));
      return;
    }
    const auto generated = GenerateKey(team);
    if (IsError(generated)) {
      exchange.respond(ErrorResponse(ErrorOf(generated)));
      return;
    }
    document.keys.push_back(ValueOf(generated).key);
    this->entry.Documents().Accept(
      document.version,
      SerializeDocument(document),
      [this, respond = exchange.respond, presented = ValueOf(generated).presented](
        const Result<std::uint64_t>& aVersion) {
        if (IsError(aVersion)) {
          respond(ErrorResponse(ErrorOf(aVersion)));
          return;
        }
        this->entry.AwaitZoneConfirmations(ValueOf(aVersion),
                                           [respond, presented, version = ValueOf(aVersion)](
                                             const std::vector<ZoneConfirmation>& aZones) {
                                             Json::Value reply(Json::objectValue);
                                             reply["key"] = presented;
                                             reply["version"] = static_cast<Json::UInt64>(version);
                                             reply["zones"] = ZonesToJson(aZones);
                                             respond(JsonResponse(reply));
                                           });
      });
  });
}

void
Gateway::WithdrawKey(Exchange aExchange)
{
  this->PostToControl([this, exchange = std::move(aExchange)] {
    auto document = this->entry.Documents().Current();
    const auto removed = std::erase_if(
      document.keys, [&](const Key& aKey) { return aKey.id.value == exchange.pathParameter; });
    if (removed == 0) {
      exchange.respond(ErrorResponse(
        NotRun(ErrorCode::NotFound,
               fmt::format("There is no key with id \"{}\".", exchange.pathParameter))));
      return;
    }
    this->AcceptDocument(document.version, SerializeDocument(document), exchange.respond);
  });
}

void
Gateway::ListWorkers(Exchange aExchange)
{
  this->PostToControl([this, exchange = std::move(aExchange)] {
    Json::Value body(Json::objectValue);
    body["workers"] = Json::Value(Json::arrayValue);
    for (const auto& worker : this->entry.Fleet().Workers()) {
      Json::Value value(Json::objectValue);
      value["id"] = worker.instance.name;
      value["zone"] = worker.instance.zone.value;
      value["rack"] = worker.instance.rack.value;
      value["state"] = worker.instance.state == InstanceState::Live ? "live" : "leaving";
      value["owner"] = worker.desiredOwner.value;
      value["owned_here"] = worker.isHeld;
      value["capacity"] = ToJson(worker.instance.capacity);
      body["workers"].append(std::move(value));
    }
    exchange.respond(JsonResponse(body));
  });
}

void
Gateway::ListQueues(Exchange aExchange)
{
  this->PostToControl([this, exchange = std::move(aExchange)] {
    Json::Value body(Json::objectValue);
    body["queues"] = Json::Value(Json::arrayValue);
    for (const auto& queue : this->entry.Documents().Current().queues) {
      Json::Value value(Json::objectValue);
      value["id"] = queue.id.value;
      value["class"] = std::string(ToString(queue.workClass));
      const auto counts = this->entry.TaskExecutor().CountsOf(queue.id);
      value["queued"] = counts.queued;
      value["running"] = counts.running;
      body["queues"].append(std::move(value));
    }
    exchange.respond(JsonResponse(body));
  });
}

void
Gateway::ListTeams(Exchange aExchange)
{
  this->PostToControl([this, exchange = std::move(aExchange)] {
    Json::Value body(Json::objectValue);
    body["teams"] = Json::Value(Json::arrayValue);
    for (const auto& team : this->entry.Documents().Current().teams) {
      Json::Value value(Json::objectValue);
      value["id"] = team.id.value;
      value["workspace"] = team.workspace.value;
      value["share"] = team.share;
      value["limit"] = ToJson(team.limit);
      value["running"] = ToJson(this->entry.PlacementScheduler().RunningResources(team.id));
      value["queued"] = this->entry.TaskExecutor().CountsOf(team.id).queued;
      body["teams"].append(std::move(value));
    }
    exchange.respond(JsonResponse(body));
  });
}

void
Gateway::ListEntries(Exchange aExchange)
{
  this->PostToControl([this, exchange = std::move(aExchange)] {
    Json::Value body(Json::objectValue);
    body["entries"] = Json::Value(Json::arrayValue);
    auto own = this->entry.DescribeSelf();
    own.self.name = this->entry.Settings().name;
    own.self.zone = this->entry.Settings().zone;
    body["entries"].append(BeatToJson(own, ToString(this->entry.Stage())));
    for (const auto& view : this->entry.Peers()) {
      body["entries"].append(BeatToJson(view.beat, ToString(view.peer.state)));
    }
    exchange.respond(JsonResponse(body));
  });
}

void
Gateway::ShowMetrics(Exchange aExchange)
{
  aExchange.respond({ .contentType = "text/plain; version=0.0.4",
                      .body = this->entry.Metrics().Registry().Render() });
}

void
Gateway::ShowHealth(Exchange aExchange)
{
  // Respond from the control thread, so that a blocked control thread fails the health check.
  this->PostToControl(
    [exchange = std::move(aExchange)] { exchange.respond(TextResponse("ok\n")); });
}

void
Gateway::ShowReadiness(Exchange aExchange)
{
  this->PostToControl([this, exchange = std::move(aExchange)] {
    const auto stage = this->entry.Stage();
    const auto status = stage == LifeCycleStage::Serving ? kStatusOk : kStatusUnavailable;
    exchange.respond(TextResponse(std::string(ToString(stage)) + "\n", status));
  });
}

void
Gateway::ShowConsole(Exchange aExchange)
{
  aExchange.respond(
    { .contentType = "text/html; charset=utf-8", .body = std::string(ConsolePage()) });
}

}
