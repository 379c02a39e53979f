#include <LibPlatform/HttpWorker.h>

#include <LibPlatform/Codec.h>
#include <LibPlatform/HttpExchange.h>
#include <LibPlatform/Json.h>
#include <LibPlatform/Url.h>
#include <fmt/format.h>
#include <json/json.h>

namespace zinc {

namespace {

Result<TaskStatus>
DecodeStatus(const HttpReply& aReply)
{
  return detail::DecodeReply(aReply, TaskStatusFromJson);
}

HttpRequest
PostJson(std::string aTarget, const Json::Value& aValue)
{
  return { .method = HttpMethod::Post, .target = std::move(aTarget), .body = WriteJson(aValue) };
}

}

HttpWorker::HttpWorker(std::shared_ptr<HttpClient> aClient)
  : client(std::move(aClient))
{
}

Result<std::shared_ptr<HttpWorker>>
HttpWorker::Create(Options aOptions)
{
  Result<std::shared_ptr<HttpClient>> client = HttpClient::Create(std::move(aOptions));
  if (IsError(client)) {
    return ErrorOf(client);
  }
  return std::shared_ptr<HttpWorker>(new HttpWorker(std::move(ValueOf(client))));
}

void
HttpWorker::Lease(LeaseRequest aRequest, Handler<LeaseGrant> aHandler)
{
  detail::Exchange<LeaseGrant>(
    this->client,
    [request = std::move(aRequest)] { return PostJson("/lease", ToJson(request)); },
    Milliseconds(0),
    [](const HttpReply& aReply) { return detail::DecodeReply(aReply, LeaseGrantFromJson); },
    std::move(aHandler));
}

void
HttpWorker::Release(LeaseTerm aTerm, Handler<Done> aHandler)
{
  detail::Exchange<Done>(
    this->client,
    [aTerm] {
      Json::Value message(Json::objectValue);
      message["term"] = Json::Value::UInt64(aTerm);
      return PostJson("/release", message);
    },
    Milliseconds(0),
    detail::DecodeDone,
    std::move(aHandler));
}

void
HttpWorker::Start(LeaseTerm aTerm, TaskSpec aTask, Milliseconds aWait, Handler<TaskStatus> aHandler)
{
  detail::Exchange<TaskStatus>(
    this->client,
    [aTerm, task = std::move(aTask), aWait] {
      Json::Value message(Json::objectValue);
      message["term"] = Json::Value::UInt64(aTerm);
      message["task"] = ToJson(task);
      message["wait_ms"] = Json::Value::Int64(aWait.count());
      return PostJson("/start", message);
    },
    aWait,
    DecodeStatus,
    std::move(aHandler));
}

void
HttpWorker::Stop(LeaseTerm aTerm,
                 TaskId aTask,
                 std::uint32_t aAttempt,
                 StopMode aMode,
                 Handler<TaskStatus> aHandler)
{
  detail::Exchange<TaskStatus>(
    this->client,
    [aTerm, task = std::move(aTask), aAttempt, aMode] {
      Json::Value message(Json::objectValue);
      message["term"] = Json::Value::UInt64(aTerm);
      message["id"] = task.value;
      message["attempt"] = aAttempt;
      message["mode"] = std::string(ToString(aMode));
      return PostJson("/stop", message);
    },
    Milliseconds(0),
    DecodeStatus,
    std::move(aHandler));
}

void
HttpWorker::Inspect(TaskId aTask, std::uint32_t aAttempt, Handler<TaskStatus> aHandler)
{
  detail::Exchange<TaskStatus>(
    this->client,
    [task = std::move(aTask), aAttempt] {
      return HttpRequest{ .method = HttpMethod::Get,
                          .target = fmt::format(
                            "/task?id={}&attempt={}", PercentEncode(task.value), aAttempt) };
    },
    Milliseconds(0),
    DecodeStatus,
    std::move(aHandler));
}

void
HttpWorker::Poll(LeaseTerm aTerm,
                 std::uint64_t aAfter,
                 Milliseconds aWait,
                 Handler<EventBatch> aHandler)
{
  detail::Exchange<EventBatch>(
    this->client,
    [aTerm, aAfter, aWait] {
      return HttpRequest{ .method = HttpMethod::Get,
                          .target = fmt::format(
                            "/events?term={}&after={}&wait_ms={}", aTerm, aAfter, aWait.count()) };
    },
    aWait,
    [](const HttpReply& aReply) { return detail::DecodeReply(aReply, EventBatchFromJson); },
    std::move(aHandler));
}
}
