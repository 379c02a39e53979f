#pragma once

/// @file
/// One typed request and reply over an HTTP client.

#include <LibPlatform/HttpClient.h>
#include <json/json.h>
#include <utility>

namespace zinc::detail {

/// @return the verdict that a reply other than 2xx carries; if it carries none, the request may
/// have run.
[[nodiscard]] Verdict
VerdictOf(const HttpReply& aReply);

/// @return true for statuses from 200 to 299.
[[nodiscard]] inline bool
IsSuccess(const HttpReply& aReply)
{
  return aReply.status / 100 == 2;
}

/// @return the verdict on a reply that cannot be understood: the service did something, so the
/// request may have run.
[[nodiscard]] inline Verdict
MalformedReply(const Verdict& aCause)
{
  return MayHaveRun(ErrorCode::Internal, "The reply is malformed: " + aCause.message);
}

/// @return the JSON of a successful reply, else why there is none.
[[nodiscard]] Result<Json::Value>
JsonOf(const HttpReply& aReply);

/// Decodes a successful reply.
template<typename T>
[[nodiscard]] Result<T>
DecodeReply(const HttpReply& aReply, Result<T> (*aDecode)(const Json::Value&))
{
  const Result<Json::Value> json = JsonOf(aReply);
  if (IsError(json)) {
    return ErrorOf(json);
  }
  Result<T> value = aDecode(ValueOf(json));
  if (IsError(value)) {
    return MalformedReply(ErrorOf(value));
  }
  return value;
}

/// Decodes a reply without content.
[[nodiscard]] Result<Done>
DecodeDone(const HttpReply& aReply);

/// Sends a request, decodes its reply on the traffic context and hands the result to the control
/// executor.
/// @param aDecode turns the reply into a value; called for every complete reply
template<typename T, typename Encoder, typename Decoder>
void
Exchange(const std::shared_ptr<HttpClient>& aClient,
         Encoder aEncode,
         Milliseconds aWait,
         Decoder aDecode,
         std::function<void(Result<T>)> aHandler)
{
  auto completion = [decode = std::move(aDecode),
                     handler = std::move(aHandler)](Result<HttpReply> aReply) mutable {
    Result<T> result =
      IsError(aReply) ? Result<T>(ErrorOf(aReply)) : decode(std::move(ValueOf(aReply)));
    return std::function<void()>(
      [handler = std::move(handler), result = std::move(result)]() mutable {
        handler(std::move(result));
      });
  };
  aClient->Send(std::move(aEncode), aWait, std::move(completion));
}

}
