#include <LibInstanceCalls/InstanceCalls.h>

#include <LibPlatform/HttpExchange.h>
#include <LibPlatform/Json.h>
#include <LibPlatform/JsonArena.h>
#include <fmt/format.h>
#include <json/json.h>

namespace zinc {

namespace {

constexpr std::string_view kAdvisePath = "/instance/advise";
constexpr std::string_view kStatusPath = "/instance/status";
constexpr std::string_view kReachPath = "/instance/reach";
constexpr std::string_view kResignPath = "/instance/resign";
constexpr std::string_view kCallPath = "/instance/call";
constexpr unsigned kNotLeader = 409;
constexpr std::size_t kMaxTextLength = 512;
constexpr std::int64_t kMaxNumber = 1'000'000;
/// Time for which the other instance's call to the policy service may queue behind another one.
constexpr Milliseconds kAdviceExtraTimeout{ 700 };
/// Time that the other instance may take for a forwarded request: two calls to a slow store.
constexpr Milliseconds kForwardExtraTimeout{ 1500 };
constexpr std::size_t kMaxCallerTextLength = 4096;
constexpr std::size_t kMaxCallerBodyBytes = 4 << 20;
constexpr std::int64_t kMaxHttpStatus = 599;
/// What a call that names workers may hold: more than any cell has.
constexpr JsonBounds kWorkerListBounds{ .values = 100'000,
                                        .containers = 1000,
                                        .texts = 100'000,
                                        .fractions = 1000 };
/// What a forwarded request may hold; its body is one text.
constexpr JsonBounds kForwardedBounds{ .values = 1000,
                                       .containers = 1000,
                                       .texts = 1000,
                                       .fractions = 1000 };

std::string
EncodeAdviceRequest(const cell::AdviceRequest& aRequest)
{
  JsonArena arena;
  boost::json::object value(arena.Storage());
  value["job"] = aRequest.step.job.value;
  value["occurrence"] = aRequest.step.occurrence;
  value["step"] = aRequest.step.step;
  value["expected_ms"] = aRequest.expectedDuration.count();
  boost::json::array workers(arena.Storage());
  workers.reserve(aRequest.workers.size());
  for (const auto& worker : aRequest.workers) {
    workers.emplace_back(worker.value);
  }
  value["workers"] = std::move(workers);
  return WriteJson(boost::json::value(std::move(value)));
}

Result<cell::AdviceRequest>
DecodeAdviceRequest(std::string_view aText)
{
  const auto parsed = ParseJson(aText, kWorkerListBounds);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonFields fields(ValueOf(parsed), "question");
  cell::AdviceRequest request;
  request.step.job = { fields.Text("job", kMaxTextLength) };
  request.step.occurrence = static_cast<std::uint32_t>(fields.Integer("occurrence", 0, kMaxNumber));
  request.step.step = static_cast<std::uint32_t>(fields.Integer("step", 0, kMaxNumber));
  request.expectedDuration = Milliseconds(fields.Integer("expected_ms", 0, kMaxNumber));
  for (const auto& worker : fields.Array("workers")) {
    request.workers.push_back({ worker.isString() ? worker.asString() : "" });
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return request;
}

std::string
EncodeAdviceResponse(const cell::AdviceResponse& aResponse)
{
  Json::Value value(Json::objectValue);
  value["good"] = Json::Value(Json::arrayValue);
  for (const auto& ticket : aResponse.tickets) {
    Json::Value row(Json::arrayValue);
    row.append(ticket.worker.value);
    row.append(ticket.text);
    value["good"].append(std::move(row));
  }
  return WriteJson(value);
}

Result<cell::AdviceResponse>
DecodeAdviceResponse(const HttpReply& aReply)
{
  if (!detail::IsSuccess(aReply)) {
    return detail::VerdictOf(aReply);
  }
  JsonArena arena;
  const auto parsed = ParseJson(aReply.body, arena);
  if (IsError(parsed)) {
    return detail::MalformedReply(ErrorOf(parsed));
  }
  const auto* rows = FindMember(ValueOf(parsed), "good");
  if (!ValueOf(parsed).is_object() || (rows != nullptr && !rows->is_array())) {
    return MayHaveRun(ErrorCode::Internal, "The reply is malformed: it has no list of tickets.");
  }
  cell::AdviceResponse response;
  if (rows == nullptr) {
    return response;
  }
  for (const auto& row : rows->get_array()) {
    const auto worker = TextOf(FindElement(row, 0));
    const auto ticket = TextOf(FindElement(row, 1));
    if (worker && ticket) {
      response.tickets.push_back(
        { .worker = { std::string(*worker) }, .text = std::string(*ticket) });
    }
  }
  return response;
}

std::string
EncodeJobStatus(const cell::JobStatus& aStatus)
{
  Json::Value value(Json::objectValue);
  value["known"] = aStatus.isKnown;
  value["outcome"] = static_cast<std::uint32_t>(aStatus.outcome);
  value["started"] = aStatus.hasStarted;
  value["workspace"] = aStatus.workspace.value;
  value["queue"] = aStatus.queue.value;
  return WriteJson(value);
}

Result<cell::JobStatus>
DecodeJobStatus(const Json::Value& aValue)
{
  JsonFields fields(aValue, "status");
  cell::JobStatus status{ .isKnown = fields.Boolean("known"),
                          .hasStarted = fields.Boolean("started"),
                          .workspace = { fields.OptionalText("workspace", kMaxTextLength) },
                          .queue = { fields.OptionalText("queue", kMaxTextLength) } };
  status.outcome = static_cast<cell::JobOutcome>(
    fields.Integer("outcome", 0, static_cast<std::int64_t>(cell::JobOutcome::Cancelled)));
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return status;
}

std::string
EncodeForwardedRequest(const ForwardedRequest& aForwarded)
{
  const auto& request = aForwarded.request;
  Json::Value value(Json::objectValue);
  value["method"] = static_cast<std::uint32_t>(request.method);
  value["path"] = request.path;
  value["host"] = request.host;
  value["bearer"] = request.bearer;
  value["body"] = request.body;
  value["least_document"] = Json::UInt64(aForwarded.minDocumentVersion);
  return WriteJson(value);
}

Result<ForwardedRequest>
DecodeForwardedRequest(const IncomingRequest& aRequest)
{
  const auto parsed = ParseJson(aRequest.body, kForwardedBounds);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonFields fields(ValueOf(parsed), "call");
  ForwardedRequest forwarded;
  auto& request = forwarded.request;
  request = { .path = fields.Text("path", kMaxCallerTextLength),
              .bearer = fields.OptionalText("bearer", kMaxCallerTextLength),
              .host = fields.OptionalText("host", kMaxCallerTextLength),
              .body = fields.OptionalText("body", kMaxCallerBodyBytes),
              .received = aRequest.received };
  request.method = static_cast<RequestMethod>(
    fields.Integer("method", 0, static_cast<std::int64_t>(RequestMethod::Delete)));
  forwarded.minDocumentVersion = fields.Unsigned("least_document");
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return forwarded;
}

std::string
EncodeForwardedResponse(const OutgoingResponse& aResponse, std::uint64_t aDocumentVersion)
{
  Json::Value value(Json::objectValue);
  value["document"] = Json::UInt64(aDocumentVersion);
  value["status"] = aResponse.status;
  value["body"] = aResponse.body;
  if (aResponse.retryAfter) {
    value["retry_after_ms"] = Json::Int64(aResponse.retryAfter->count());
  }
  return WriteJson(value);
}

Result<ForwardedResponse>
DecodeForwardedResponse(const Json::Value& aValue)
{
  JsonFields fields(aValue, "response");
  ForwardedResponse forwarded{ .documentVersion = fields.Unsigned("document") };
  auto& response = forwarded.response;
  response.status = static_cast<unsigned>(fields.Integer("status", 0, kMaxHttpStatus));
  response.body = fields.OptionalText("body", kMaxCallerBodyBytes);
  if (const auto retryAfter = fields.OptionalInteger("retry_after_ms")) {
    response.retryAfter = Milliseconds(*retryAfter);
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return forwarded;
}

std::string
EncodeResignation(const cell::Resignation& aResignation)
{
  Json::Value value(Json::objectValue);
  value["token"] = Json::UInt64(aResignation.token);
  value["workers"] = Json::Value(Json::arrayValue);
  for (const auto& worker : aResignation.workers) {
    value["workers"].append(worker);
  }
  return WriteJson(value);
}

Result<cell::Resignation>
DecodeResignation(std::string_view aText)
{
  const auto parsed = ParseJson(aText, kWorkerListBounds);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonFields fields(ValueOf(parsed), "resignation");
  cell::Resignation resignation{ .token = fields.Unsigned("token") };
  for (const auto& worker : fields.Array("workers")) {
    resignation.workers.push_back(worker.isString() ? worker.asString() : "");
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return resignation;
}

Result<bool>
DecodeStoreReachable(const Json::Value& aValue)
{
  JsonFields fields(aValue, "reach");
  const bool reachesStore = fields.Boolean("store");
  return fields.Fault() ? Result<bool>(*fields.Fault()) : reachesStore;
}

/// @return the decoded reply, or the verdict that an error reply carries.
template<typename T>
Result<T>
DecodeReplyOrError(const HttpReply& aReply, Result<T> (*aDecode)(const Json::Value&))
{
  if (!detail::IsSuccess(aReply)) {
    return detail::VerdictOf(aReply);
  }
  return detail::DecodeReply<T>(aReply, aDecode);
}

}

InstanceCallServer::InstanceCallServer(Handlers aHandlers)
  : handlers(std::move(aHandlers))
{
}

const InstanceCallServer::Route InstanceCallServer::kRoutes[] = {
  { kAdvisePath, &InstanceCallServer::HandleAdvice },
  { kStatusPath, &InstanceCallServer::HandleStatus },
  { kReachPath, &InstanceCallServer::HandleReach },
  { kResignPath, &InstanceCallServer::HandleResignation },
  { kCallPath, &InstanceCallServer::HandleForwardedRequest },
};

void
InstanceCallServer::Handle(const IncomingRequest& aRequest, Respond aRespond)
{
  for (const auto& route : kRoutes) {
    if (route.path == aRequest.path) {
      (this->*route.handler)(aRequest, std::move(aRespond));
      return;
    }
  }
  aRespond(ErrorResponse(NotRun(ErrorCode::NotFound, "The path is not a call between instances.")));
}

void
InstanceCallServer::HandleAdvice(const IncomingRequest& aRequest, Respond aRespond)
{
  const auto request = DecodeAdviceRequest(aRequest.body);
  if (IsError(request)) {
    aRespond(ErrorResponse(ErrorOf(request)));
    return;
  }
  this->handlers.advise(ValueOf(request),
                        [respond = std::move(aRespond)](Result<cell::AdviceResponse> aResponse) {
                          if (IsError(aResponse)) {
                            respond(ErrorResponse(ErrorOf(aResponse)));
                            return;
                          }
                          respond({ .body = EncodeAdviceResponse(ValueOf(aResponse)) });
                        });
}

void
InstanceCallServer::HandleStatus(const IncomingRequest& aRequest, Respond aRespond)
{
  const auto job = aRequest.Query("job");
  const auto status = this->handlers.jobStatus({ std::string(job.value_or("")) });
  if (!status) {
    aRespond({ .status = kNotLeader, .body = "{}" });
    return;
  }
  aRespond({ .body = EncodeJobStatus(*status) });
}

void
InstanceCallServer::HandleReach(const IncomingRequest&, Respond aRespond)
{
  this->handlers.checkStore([respond = std::move(aRespond)](const Result<bool>& aReachesStore) {
    Json::Value value(Json::objectValue);
    value["store"] = !IsError(aReachesStore) && ValueOf(aReachesStore);
    respond({ .body = WriteJson(value) });
  });
}

void
InstanceCallServer::HandleResignation(const IncomingRequest& aRequest, Respond aRespond)
{
  auto resignation = DecodeResignation(aRequest.body);
  if (IsError(resignation)) {
    aRespond(ErrorResponse(ErrorOf(resignation)));
    return;
  }
  this->handlers.onLeaderResigned(std::move(ValueOf(resignation)));
  aRespond({ .body = "{}" });
}

void
InstanceCallServer::HandleForwardedRequest(const IncomingRequest& aRequest, Respond aRespond)
{
  const auto forwarded = DecodeForwardedRequest(aRequest);
  if (IsError(forwarded)) {
    aRespond(ErrorResponse(ErrorOf(forwarded)));
    return;
  }
  const auto documentVersion = this->handlers.documentVersion();
  if (documentVersion < ValueOf(forwarded).minDocumentVersion) {
    aRespond(ErrorResponse(
      NotRun(ErrorCode::StaleVersion,
             "The document of this instance is older than the forwarding instance's.")));
    return;
  }
  this->handlers.handleForwarded(
    ValueOf(forwarded).request,
    [documentVersion, respond = std::move(aRespond)](const OutgoingResponse& aResponse) {
      respond({ .body = EncodeForwardedResponse(aResponse, documentVersion) });
    });
}

InstanceCallClient::InstanceCallClient(HttpOptions aOptions)
  : options(std::move(aOptions))
{
}

Result<std::shared_ptr<HttpClient>>
InstanceCallClient::ClientFor(const Endpoint& aInstance)
{
  auto& client = this->clients[fmt::format("{}:{}", aInstance.address, aInstance.port)];
  if (!client) {
    auto httpOptions = this->options;
    httpOptions.endpoints = { aInstance };
    auto created = HttpClient::Create(std::move(httpOptions));
    if (IsError(created)) {
      return ErrorOf(created);
    }
    client = ValueOf(created);
  }
  return client;
}

template<typename T, typename Encoder, typename Decoder>
void
InstanceCallClient::Perform(const Endpoint& aInstance,
                            Encoder aEncode,
                            Milliseconds aWait,
                            Decoder aDecode,
                            cell::Handler<T> aHandler)
{
  const auto client = this->ClientFor(aInstance);
  if (IsError(client)) {
    aHandler(ErrorOf(client));
    return;
  }
  detail::Exchange<T>(
    ValueOf(client), std::move(aEncode), aWait, std::move(aDecode), std::move(aHandler));
}

void
InstanceCallClient::RequestAdvice(const Endpoint& aInstance,
                                  const cell::AdviceRequest& aRequest,
                                  cell::Handler<cell::AdviceResponse> aHandler)
{
  this->Perform<cell::AdviceResponse>(
    aInstance,
    [body = EncodeAdviceRequest(aRequest)] {
      return HttpRequest{ .method = HttpMethod::Post,
                          .target = std::string(kAdvisePath),
                          .body = body };
    },
    aRequest.expectedDuration + kAdviceExtraTimeout,
    &DecodeAdviceResponse,
    std::move(aHandler));
}

void
InstanceCallClient::RequestJobStatus(const Endpoint& aInstance,
                                     const JobId& aJob,
                                     cell::Handler<cell::JobStatus> aHandler)
{
  this->Perform<cell::JobStatus>(
    aInstance,
    [target = fmt::format("{}?job={}", kStatusPath, aJob.value)] {
      return HttpRequest{ .method = HttpMethod::Get, .target = target };
    },
    Milliseconds{ 0 },
    [](HttpReply aReply) -> Result<cell::JobStatus> {
      if (aReply.status == kNotLeader) {
        return NotRun(ErrorCode::StaleTerm, "The instance is not the leader.");
      }
      return DecodeReplyOrError<cell::JobStatus>(aReply, &DecodeJobStatus);
    },
    std::move(aHandler));
}

void
InstanceCallClient::ProbeStore(const Endpoint& aInstance, cell::Handler<bool> aHandler)
{
  this->Perform<bool>(
    aInstance,
    [] { return HttpRequest{ .method = HttpMethod::Get, .target = std::string(kReachPath) }; },
    Milliseconds{ 0 },
    [](HttpReply aReply) { return DecodeReplyOrError<bool>(aReply, &DecodeStoreReachable); },
    std::move(aHandler));
}

void
InstanceCallClient::SendResignation(const Endpoint& aInstance,
                                    const cell::Resignation& aResignation,
                                    cell::Handler<Done> aHandler)
{
  this->Perform<Done>(
    aInstance,
    [body = EncodeResignation(aResignation)] {
      return HttpRequest{ .method = HttpMethod::Post,
                          .target = std::string(kResignPath),
                          .body = body };
    },
    Milliseconds{ 0 },
    [](HttpReply aReply) { return detail::DecodeDone(aReply); },
    std::move(aHandler));
}

void
InstanceCallClient::ForwardRequest(const Endpoint& aInstance,
                                   const ForwardedRequest& aRequest,
                                   cell::Handler<ForwardedResponse> aHandler)
{
  this->Perform<ForwardedResponse>(
    aInstance,
    [body = EncodeForwardedRequest(aRequest)] {
      return HttpRequest{ .method = HttpMethod::Post,
                          .target = std::string(kCallPath),
                          .body = body };
    },
    kForwardExtraTimeout,
    [](HttpReply aReply) {
      return DecodeReplyOrError<ForwardedResponse>(aReply, &DecodeForwardedResponse);
    },
    std::move(aHandler));
}

}
