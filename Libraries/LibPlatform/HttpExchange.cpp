#include <LibPlatform/HttpExchange.h>

#include <LibPlatform/Codec.h>
#include <LibPlatform/Json.h>
#include <fmt/format.h>

namespace zinc::detail {

namespace {

/// What the reply of a failed call may hold; a verdict has a handful of fields.
constexpr JsonBounds kErrorReplyBounds{ .values = 1000,
                                        .containers = 1000,
                                        .texts = 1000,
                                        .fractions = 1000 };

}

Verdict
VerdictOf(const HttpReply& aReply)
{
  const Result<Json::Value> value = ParseJson(aReply.body, kErrorReplyBounds);
  if (!IsError(value)) {
    const Result<std::optional<Verdict>> verdict = VerdictFromJson(ValueOf(value));
    if (!IsError(verdict)) {
      return *ValueOf(verdict);
    }
  }
  return MayHaveRun(ErrorCode::Unavailable,
                    fmt::format("The service answered with status {}.", aReply.status));
}

Result<Json::Value>
JsonOf(const HttpReply& aReply)
{
  if (!IsSuccess(aReply)) {
    return VerdictOf(aReply);
  }
  Result<Json::Value> value = ParseJson(aReply.body);
  if (IsError(value)) {
    return MalformedReply(ErrorOf(value));
  }
  return value;
}

Result<Done>
DecodeDone(const HttpReply& aReply)
{
  if (!IsSuccess(aReply)) {
    return VerdictOf(aReply);
  }
  return Done{};
}

}
