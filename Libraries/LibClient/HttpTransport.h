#pragma once

/// @file
/// One HTTP exchange with one server.

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibPlatform/InstanceList.h>
#include <cstdint>
#include <string>
#include <vector>

namespace zinc {

/// Methods that the interface uses.
enum class HttpMethod : std::uint8_t
{
  Get,
  Post,
  Put,
  Delete,
};

/// One header field.
struct HttpField
{
  std::string name;
  std::string value;
};

/// A request as it is sent.
struct HttpRequest
{
  HttpMethod method = HttpMethod::Get;
  /// Path and query.
  std::string target;
  std::vector<HttpField> fields;
  std::string body;
};

/// A response as it arrived.
struct HttpResponse
{
  int status = 0;
  /// Value of the ETag field without quotes; empty if there is none.
  std::string entityTag;
  std::string body;
};

/// Sends requests one at a time.
class HttpTransport
{
public:
  virtual ~HttpTransport() = default;

  /// @param aTimeout longest time for the exchange after the connection stands.
  /// @return the response; a verdict of @ref RunState::NotRun if no connection could be made, and
  /// of @ref RunState::MayHaveRun if the response did not arrive whole.
  [[nodiscard]] virtual Result<HttpResponse> Send(const Endpoint& aServer,
                                                  const HttpRequest& aRequest,
                                                  Milliseconds aTimeout) = 0;
};

}
