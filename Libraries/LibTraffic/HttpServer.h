#pragma once

/// @file
/// The HTTP/1.1 server towards callers, operators and the balancer.

#include <LibBase/Verdict.h>
#include <LibPlatform/InstanceList.h>
#include <LibTraffic/ConnectionRegistry.h>
#include <LibTraffic/HttpMessage.h>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

namespace zinc {

/// Sends the one response to a request. May be called from any thread; later calls do nothing.
using Respond = std::function<void(OutgoingResponse)>;

/// Handles a request; runs on a traffic thread.
using HttpHandler = std::function<void(IncomingRequest, Respond)>;

/// Limits and address of a server.
struct HttpServerOptions
{
  Endpoint listen;
  std::size_t maxBodyBytes = 1024 * 1024;
  std::size_t maxHeaderBytes = 16 * 1024;
  /// Longest time from the first byte of a request to its last.
  Milliseconds readTimeout{ 10'000 };
  /// Longest time between requests of one connection.
  Milliseconds idleTimeout{ 60'000 };
  /// A further connection replaces one that has no request; see @ref ConnectionBudget.
  std::size_t maxConnections = 4096;
  /// Connections of the process's other listeners, with which this one shares a budget. Without it
  /// the listener has a budget of its own.
  std::shared_ptr<ConnectionRegistry> registry;
};

/// Accepts connections and answers one request at a time on each. Bad requests are answered by the
/// server itself.
class HttpServer
{
public:
  /// Opens the port.
  /// @param aTraffic runs the connections; must outlive the server.
  /// @return @ref ErrorCode::Unavailable if the address cannot be used.
  [[nodiscard]] static Result<std::shared_ptr<HttpServer>> Create(boost::asio::io_context& aTraffic,
                                                                  HttpServerOptions aOptions,
                                                                  HttpHandler aHandler);
  virtual ~HttpServer() = default;

  /// Stops accepting connections and closes each after its current request.
  virtual void Drain() = 0;

  /// Changes the longest body and header that are read, in bytes, for requests that begin later.
  /// May be called from any thread.
  virtual void SetRequestLimits(std::size_t aMaxBodyBytes, std::size_t aMaxHeaderBytes) = 0;

  /// @return requests that have been read and not yet answered completely.
  [[nodiscard]] virtual std::size_t OpenRequests() const = 0;

  /// @return the port in use, which the system chose if 0 was asked for.
  [[nodiscard]] virtual std::uint16_t Port() const = 0;
};

/// @return the body of an error response as docs/interface.md defines it.
[[nodiscard]] std::string
ErrorBody(const Verdict& aVerdict);

/// @return the HTTP status for a verdict.
[[nodiscard]] unsigned
HttpStatus(ErrorCode aCode);

/// @return a complete error response.
[[nodiscard]] OutgoingResponse
ErrorResponse(const Verdict& aVerdict);

}
