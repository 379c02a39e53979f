#pragma once

/// @file
/// HTTP requests and responses as the services see them.

#include <LibBase/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinc {

/// The methods that the interface uses; everything else is refused before it reaches a handler.
enum class RequestMethod : std::uint8_t
{
  Fetch,
  Post,
  Put,
  Delete,
};

/// One parameter of the query string, decoded.
struct QueryParameter
{
  std::string name;
  std::string value;
};

/// A request that was read completely.
struct IncomingRequest
{
  RequestMethod method = RequestMethod::Fetch;
  /// Path without the query, not decoded.
  std::string path;
  std::vector<QueryParameter> query;
  /// Token of an `Authorization: Bearer` header; empty if there is none.
  std::string bearer;
  /// `Host` without its port.
  std::string host;
  /// `If-Match` without its quotes; empty if there is none.
  std::string ifMatch;
  std::string body;
  TimePoint received{};

  /// @return the value of a query parameter, if it was given.
  [[nodiscard]] std::optional<std::string_view> Query(std::string_view aName) const;
};

/// A response; the server adds length and connection headers.
struct OutgoingResponse
{
  /// HTTP status code.
  unsigned status = 200;
  std::string contentType = "application/json";
  std::string body;
  /// Sent as `Retry-After`, in whole seconds rounded up.
  std::optional<Milliseconds> retryAfter;
  /// Sent as `ETag` with quotes; empty sends none.
  std::string etag;
};

}
