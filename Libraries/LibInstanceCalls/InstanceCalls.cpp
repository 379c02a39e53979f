#include <LibInstanceCalls/InstanceCalls.h>

#include <LibPlatform/HttpExchange.h>
#include <LibPlatform/Json.h>
#include <fmt/format.h>
#include <json/json.h>

namespace zinc {

namespace {

constexpr std::string_view kAdvisePath = "/instance/advise";
constexpr std::string_view kStatusPath = "/instance/status";
constexpr std::string_view kReachPath = "/instance/reach";
constexpr std::string_view kResignPath = "/instance/resign";
constexpr std::string_view kCallPath = "/instance/call";
constexpr unsigned kNotConductor = 409;
constexpr std::size_t kTextLimit = 512;
constexpr std::int64_t kNumberLimit = 1'000'000;
/// Time that an instance's own call to the policy service may wait behind another one.
constexpr Milliseconds kAdviceAllowance{ 700 };
/// Time that the other instance may take for a caller's request: two calls to a store that is slow.
constexpr Milliseconds kCallAllowance{ 1500 };
constexpr std::size_t kCallerTextLimit = 4096;
constexpr std::size_t kCallerBodyLimit = 4 << 20;
constexpr std::int64_t kStatusLimit = 599;

std::string
EncodeQuestion(const cell::AdviceRequest& aQuestion)
{
  Json::Value value(Json::objectValue);
  value["job"] = aQuestion.step.job.value;
  value["occurrence"] = aQuestion.step.occurrence;
  value["step"] = aQuestion.step.step;
  value["expected_ms"] = Json::Int64(aQuestion.expectedDuration.count());
  value["workers"] = Json::Value(Json::arrayValue);
  for (const auto& worker : aQuestion.workers) {
    value["workers"].append(worker.value);
  }
  return WriteJson(value);
}

Result<cell::AdviceRequest>
DecodeQuestion(std::string_view aText)
{
  const auto parsed = ParseJson(aText);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonFields fields(ValueOf(parsed), "question");
  cell::AdviceRequest question;
  question.step.job = { fields.Text("job", kTextLimit) };
  question.step.occurrence =
    static_cast<std::uint32_t>(fields.Integer("occurrence", 0, kNumberLimit));
  question.step.step = static_cast<std::uint32_t>(fields.Integer("step", 0, kNumberLimit));
  question.expectedDuration = Milliseconds(fields.Integer("expected_ms", 0, kNumberLimit));
  for (const auto& worker : fields.Array("workers")) {
    question.workers.push_back({ worker.isString() ? worker.asString() : "" });
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return question;
}

std::string
EncodeAnswer(const cell::AdviceResponse& aAnswer)
{
  Json::Value value(Json::objectValue);
  value["good"] = Json::Value(Json::arrayValue);
  for (const auto& ticket : aAnswer.tickets) {
    Json::Value row(Json::arrayValue);
    row.append(ticket.worker.value);
    row.append(ticket.text);
    value["good"].append(std::move(row));
  }
  return WriteJson(value);
}

Result<cell::AdviceResponse>
DecodeAnswer(const Json::Value& aValue)
{
  JsonFields fields(aValue, "answer");
  cell::AdviceResponse answer;
  for (const auto& row : fields.Array("good")) {
    if (row.isArray() && row.size() == 2 && row[0].isString() && row[1].isString()) {
      answer.tickets.push_back({ .worker = { row[0].asString() }, .text = row[1].asString() });
    }
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return answer;
}

std::string
EncodeStatus(const cell::JobStatus& aStatus)
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
DecodeStatus(const Json::Value& aValue)
{
  JsonFields fields(aValue, "status");
  cell::JobStatus status{ .isKnown = fields.Boolean("known"),
                          .hasStarted = fields.Boolean("started"),
                          .workspace = { fields.OptionalText("workspace", kTextLimit) },
                          .queue = { fields.OptionalText("queue", kTextLimit) } };
  status.outcome = static_cast<cell::JobOutcome>(
    fields.Integer("outcome", 0, static_cast<std::int64_t>(cell::JobOutcome::Cancelled)));
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return status;
}

std::string
EncodeCall(const PassedRequest& aPassed)
{
  const auto& request = aPassed.request;
  Json::Value value(Json::objectValue);
  value["method"] = static_cast<std::uint32_t>(request.method);
  value["path"] = request.path;
  value["host"] = request.host;
  value["bearer"] = request.bearer;
  value["body"] = request.body;
  value["least_document"] = Json::UInt64(aPassed.leastDocument);
  return WriteJson(value);
}

Result<PassedRequest>
DecodeCall(const IncomingRequest& aRequest)
{
  const auto parsed = ParseJson(aRequest.body);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonFields fields(ValueOf(parsed), "call");
  PassedRequest passed;
  auto& request = passed.request;
  request = { .path = fields.Text("path", kCallerTextLimit),
              .bearer = fields.OptionalText("bearer", kCallerTextLimit),
              .host = fields.OptionalText("host", kCallerTextLimit),
              .body = fields.OptionalText("body", kCallerBodyLimit),
              .received = aRequest.received };
  request.method = static_cast<RequestMethod>(
    fields.Integer("method", 0, static_cast<std::int64_t>(RequestMethod::Delete)));
  passed.leastDocument = fields.Unsigned("least_document");
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return passed;
}

std::string
EncodeResponse(const OutgoingResponse& aResponse, std::uint64_t aDocument)
{
  Json::Value value(Json::objectValue);
  value["document"] = Json::UInt64(aDocument);
  value["status"] = aResponse.status;
  value["body"] = aResponse.body;
  if (aResponse.retryAfter) {
    value["retry_after_ms"] = Json::Int64(aResponse.retryAfter->count());
  }
  return WriteJson(value);
}

Result<PassedResponse>
DecodeResponse(const Json::Value& aValue)
{
  JsonFields fields(aValue, "response");
  PassedResponse passed{ .document = fields.Unsigned("document") };
  auto& response = passed.response;
  response.status = static_cast<unsigned>(fields.Integer("status", 0, kStatusLimit));
  response.body = fields.OptionalText("body", kCallerBodyLimit);
  if (const auto retryAfter = fields.OptionalInteger("retry_after_ms")) {
    response.retryAfter = Milliseconds(*retryAfter);
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return passed;
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
  const auto parsed = ParseJson(aText);
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
DecodeReach(const Json::Value& aValue)
{
  JsonFields fields(aValue, "reach");
  const bool reachesStore = fields.Boolean("store");
  return fields.Fault() ? Result<bool>(*fields.Fault()) : reachesStore;
}

/// @return a reply's content, or the verdict that it carries.
template<typename T>
Result<T>
DecodeAny(const HttpReply& aReply, Result<T> (*aDecode)(const Json::Value&))
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
  { kAdvisePath, &InstanceCallServer::Advise }, { kStatusPath, &InstanceCallServer::Status },
  { kReachPath, &InstanceCallServer::Reach },   { kResignPath, &InstanceCallServer::Resigned },
  { kCallPath, &InstanceCallServer::Call },
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
  aRespond(ErrorResponse(NotRun(ErrorCode::NotFound, "There is no such call.")));
}

void
InstanceCallServer::Advise(const IncomingRequest& aRequest, Respond aRespond)
{
  const auto question = DecodeQuestion(aRequest.body);
  if (IsError(question)) {
    aRespond(ErrorResponse(ErrorOf(question)));
    return;
  }
  this->handlers.advise(ValueOf(question),
                        [respond = std::move(aRespond)](Result<cell::AdviceResponse> aAnswer) {
                          if (IsError(aAnswer)) {
                            respond(ErrorResponse(ErrorOf(aAnswer)));
                            return;
                          }
                          respond({ .body = EncodeAnswer(ValueOf(aAnswer)) });
                        });
}

void
InstanceCallServer::Status(const IncomingRequest& aRequest, Respond aRespond)
{
  const auto job = aRequest.Query("job");
  const auto status = this->handlers.status({ std::string(job.value_or("")) });
  if (!status) {
    aRespond({ .status = kNotConductor, .body = "{}" });
    return;
  }
  aRespond({ .body = EncodeStatus(*status) });
}

void
InstanceCallServer::Reach(const IncomingRequest&, Respond aRespond)
{
  this->handlers.askStore([respond = std::move(aRespond)](const Result<bool>& aReaches) {
    Json::Value value(Json::objectValue);
    value["store"] = !IsError(aReaches) && ValueOf(aReaches);
    respond({ .body = WriteJson(value) });
  });
}

void
InstanceCallServer::Resigned(const IncomingRequest& aRequest, Respond aRespond)
{
  auto resignation = DecodeResignation(aRequest.body);
  if (IsError(resignation)) {
    aRespond(ErrorResponse(ErrorOf(resignation)));
    return;
  }
  this->handlers.resigned(std::move(ValueOf(resignation)));
  aRespond({ .body = "{}" });
}

void
InstanceCallServer::Call(const IncomingRequest& aRequest, Respond aRespond)
{
  const auto call = DecodeCall(aRequest);
  if (IsError(call)) {
    aRespond(ErrorResponse(ErrorOf(call)));
    return;
  }
  const auto document = this->handlers.documentVersion();
  if (document < ValueOf(call).leastDocument) {
    aRespond(ErrorResponse(
      NotRun(ErrorCode::StaleVersion, "The document here is older than the caller's instance's.")));
    return;
  }
  this->handlers.call(ValueOf(call).request,
                      [document, respond = std::move(aRespond)](const OutgoingResponse& aResponse) {
                        respond({ .body = EncodeResponse(aResponse, document) });
                      });
}

InstanceCallClient::InstanceCallClient(HttpOptions aOptions)
  : options(std::move(aOptions))
{
}

Result<std::shared_ptr<HttpClient>>
InstanceCallClient::ClientOf(const Endpoint& aInstance)
{
  auto& client = this->clients[fmt::format("{}:{}", aInstance.address, aInstance.port)];
  if (!client) {
    auto http = this->options;
    http.endpoints = { aInstance };
    auto made = HttpClient::Create(std::move(http));
    if (IsError(made)) {
      return ErrorOf(made);
    }
    client = ValueOf(made);
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
  const auto client = this->ClientOf(aInstance);
  if (IsError(client)) {
    aHandler(ErrorOf(client));
    return;
  }
  detail::Exchange<T>(
    ValueOf(client), std::move(aEncode), aWait, std::move(aDecode), std::move(aHandler));
}

void
InstanceCallClient::Advise(const Endpoint& aInstance,
                           const cell::AdviceRequest& aQuestion,
                           cell::Handler<cell::AdviceResponse> aHandler)
{
  this->Perform<cell::AdviceResponse>(
    aInstance,
    [body = EncodeQuestion(aQuestion)] {
      return HttpRequest{ .method = HttpMethod::Post,
                          .target = std::string(kAdvisePath),
                          .body = body };
    },
    aQuestion.expectedDuration + kAdviceAllowance,
    [](HttpReply aReply) { return DecodeAny<cell::AdviceResponse>(aReply, &DecodeAnswer); },
    std::move(aHandler));
}

void
InstanceCallClient::Status(const Endpoint& aInstance,
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
      if (aReply.status == kNotConductor) {
        return NotRun(ErrorCode::StaleTerm, "The instance is not the conductor.");
      }
      return DecodeAny<cell::JobStatus>(aReply, &DecodeStatus);
    },
    std::move(aHandler));
}

void
InstanceCallClient::AskReach(const Endpoint& aInstance, cell::Handler<bool> aHandler)
{
  this->Perform<bool>(
    aInstance,
    [] { return HttpRequest{ .method = HttpMethod::Get, .target = std::string(kReachPath) }; },
    Milliseconds{ 0 },
    [](HttpReply aReply) { return DecodeAny<bool>(aReply, &DecodeReach); },
    std::move(aHandler));
}

void
InstanceCallClient::Resign(const Endpoint& aInstance,
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
InstanceCallClient::PassOn(const Endpoint& aInstance,
                           const PassedRequest& aRequest,
                           cell::Handler<PassedResponse> aHandler)
{
  this->Perform<PassedResponse>(
    aInstance,
    [body = EncodeCall(aRequest)] {
      return HttpRequest{ .method = HttpMethod::Post,
                          .target = std::string(kCallPath),
                          .body = body };
    },
    kCallAllowance,
    [](HttpReply aReply) { return DecodeAny<PassedResponse>(aReply, &DecodeResponse); },
    std::move(aHandler));
}

}
