#include <LibClient/ApiClient.h>

#include <LibClient/Json.h>
#include <algorithm>
#include <fmt/format.h>
#include <json/value.h>

namespace zinc {

namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;
/// A lost reply is asked for again at least once, also with a single entry instance.
constexpr std::size_t kMinAttempts = 2;
constexpr std::string_view kUnreserved =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~:";

bool
IsRefusedForAWhile(const ApiReply& aReply)
{
  return aReply.error && aReply.error->run == RunState::NotRun &&
         aReply.error->code == ErrorCode::Draining;
}

ApiReply
ReplyOf(HttpResponse aResponse)
{
  ApiReply reply{ .status = aResponse.status,
                  .entityTag = std::move(aResponse.entityTag),
                  .body = std::move(aResponse.body) };
  if (reply.status >= kFirstErrorStatus) {
    reply.error = ParseError(reply.status, reply.body);
  }
  return reply;
}

}

std::string
PercentEncode(std::string_view aText)
{
  std::string encoded;
  for (const char character : aText) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
  }
  return encoded;
}

Verdict
ParseError(int aStatus, std::string_view aBody)
{
  const bool isServerError = aStatus >= kFirstServerErrorStatus;
  Verdict verdict{ .code = isServerError ? ErrorCode::Internal : ErrorCode::BadRequest,
                   .run = isServerError ? RunState::MayHaveRun : RunState::NotRun,
                   .message = fmt::format("The server answered with status {}.", aStatus) };
  const auto body = ParseJson(aBody);
  if (!body) {
    return verdict;
  }
  const Json::Value& error = Member(*body, "error");
  verdict.code = ErrorCodeFromString(TextOf(Member(error, "code"))).value_or(verdict.code);
  verdict.run = RunStateFromString(TextOf(Member(error, "run"))).value_or(verdict.run);
  if (const auto& message = Member(error, "message"); message.isString()) {
    verdict.message = message.asString();
  }
  if (const auto& retryAfter = Member(error, "retry_after_ms"); retryAfter.isInt64()) {
    verdict.retryAfter = Milliseconds(retryAfter.asInt64());
  }
  return verdict;
}

Result<ApiReply>
ApiClient::Call(const ApiRequest& aRequest)
{
  const HttpRequest message = this->MessageOf(aRequest);
  const Milliseconds timeout = this->options.timeout + aRequest.serverWait;
  const std::size_t attempts = std::max(kMinAttempts, this->options.entries.size());
  Result<ApiReply> last = NotRun(ErrorCode::Unavailable, "No entry instance is known.");
  bool replyLost = false;
  for (std::size_t attempt = 0; attempt < attempts && !this->options.entries.empty(); ++attempt) {
    const Endpoint& entry = this->options.entries[attempt % this->options.entries.size()];
    auto response = this->transport.Send(entry, message, timeout);
    if (!IsError(response)) {
      last = ReplyOf(std::move(ValueOf(response)));
      if (!IsRefusedForAWhile(ValueOf(last))) {
        return last;
      }
      continue;
    }
    last = ErrorOf(response);
    if (ErrorOf(last).run == RunState::NotRun) {
      continue;
    }
    replyLost = true;
    if (aRequest.repeat == Repeat::Never) {
      return last;
    }
  }
  if (replyLost && IsError(last)) {
    return MayHaveRun(ErrorOf(last).code, ErrorOf(last).message, ErrorOf(last).retryAfter);
  }
  return last;
}

HttpRequest
ApiClient::MessageOf(const ApiRequest& aRequest) const
{
  HttpRequest message{ .method = aRequest.method,
                       .target = aRequest.target,
                       .body = aRequest.body };
  const std::string& key =
    aRequest.credential == Credential::Operator ? this->options.operatorKey : this->options.teamKey;
  if (!key.empty()) {
    message.fields.push_back({ "Authorization", "Bearer " + key });
  }
  if (!aRequest.body.empty()) {
    message.fields.push_back({ "Content-Type", aRequest.contentType });
  }
  if (aRequest.expectedVersion) {
    message.fields.push_back({ "If-Match", fmt::format("\"{}\"", *aRequest.expectedVersion) });
  }
  return message;
}

}
