#include <LibTraffic/HttpServer.h>

#include <json/json.h>

namespace zinc {

unsigned
HttpStatus(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::BadRequest:
      return 400;
    case ErrorCode::Unauthorized:
      return 401;
    case ErrorCode::Forbidden:
      return 403;
    case ErrorCode::NotFound:
      return 404;
    case ErrorCode::Timeout:
      return 408;
    case ErrorCode::Conflict:
    case ErrorCode::Cancelled:
      return 409;
    case ErrorCode::StaleVersion:
      return 412;
    case ErrorCode::PayloadTooLarge:
      return 413;
    case ErrorCode::Impossible:
      return 422;
    case ErrorCode::LimitReached:
      return 429;
    case ErrorCode::WorkerLost:
    case ErrorCode::TaskFailed:
      return 502;
    case ErrorCode::Overloaded:
    case ErrorCode::Draining:
    case ErrorCode::Unavailable:
    case ErrorCode::StaleTerm:
      return 503;
    case ErrorCode::DeadlineExceeded:
      return 504;
    case ErrorCode::Internal:
      return 500;
  }
  return 500;
}

std::string
ErrorBody(const Verdict& aVerdict)
{
  Json::Value error(Json::objectValue);
  error["code"] = std::string(ToString(aVerdict.code));
  error["message"] = aVerdict.message;
  error["run"] = std::string(ToString(aVerdict.run));
  if (aVerdict.retryAfter) {
    error["retry_after_ms"] = static_cast<Json::Int64>(aVerdict.retryAfter->count());
  }
  Json::Value body(Json::objectValue);
  body["error"] = std::move(error);
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, body);
}

OutgoingResponse
ErrorResponse(const Verdict& aVerdict)
{
  return { .status = HttpStatus(aVerdict.code),
           .body = ErrorBody(aVerdict),
           .retryAfter = aVerdict.retryAfter };
}

}
