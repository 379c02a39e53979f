#pragma once

/// @file
/// Calls of the cell's HTTP interface over several entry instances.

#include <LibClient/HttpTransport.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinc {

/// Whose key a call presents.
enum class Credential : std::uint8_t
{
  Team,
  Operator,
};

/// Whether a call may be sent again when its reply was lost.
enum class Repeat : std::uint8_t
{
  Never,
  /// Sending it again does nothing more; calls that carry a request id are of this kind.
  Safe,
};

/// One call of the interface.
struct ApiRequest
{
  HttpMethod method = HttpMethod::Get;
  /// Path and query.
  std::string target;
  Credential credential = Credential::Operator;
  Repeat repeat = Repeat::Never;
  std::string body;
  std::string contentType = "application/json";
  /// Version that the call replaces; sent as If-Match.
  std::optional<std::string> expectedVersion;
  /// Time for which the server may hold its answer back on purpose.
  Milliseconds serverWait{ 0 };
};

/// An answer of the cell.
struct ApiReply
{
  int status = 0;
  std::string entityTag;
  /// JSON, or YAML where the interface says so.
  std::string body;
  /// The error that the answer tells, if it is one.
  std::optional<Verdict> error;
};

/// Escapes a text for use as one part of a path or query.
[[nodiscard]] std::string
PercentEncode(std::string_view aText);

/// Reads the error of an answer; an answer that tells none is taken as not run below status 500.
[[nodiscard]] Verdict
ParseError(int aStatus, std::string_view aBody);

/// Sends calls to the first entry instance that takes them.
class ApiClient
{
public:
  struct Options
  {
    /// Tried in this order.
    std::vector<Endpoint> entries;
    std::string teamKey;
    std::string operatorKey;
    /// Longest time for one exchange.
    Milliseconds timeout{ 30000 };
  };

  /// @param aTransport has to outlive the client.
  ApiClient(Options aOptions, HttpTransport& aTransport)
    : options(std::move(aOptions))
    , transport(aTransport)
  {
  }

  /// Sends a call. Another entry instance is tried when no connection can be made, when one is
  /// draining, and, for calls that may be repeated, when a reply was lost.
  /// @return the answer, which may be an error of the cell; a verdict if none came.
  [[nodiscard]] Result<ApiReply> Call(const ApiRequest& aRequest);

private:
  [[nodiscard]] HttpRequest MessageOf(const ApiRequest& aRequest) const;

  Options options;
  HttpTransport& transport;
};

}
