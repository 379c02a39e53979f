#pragma once

/// @file
/// A bounded pool of keep-alive HTTP/1.1 connections to one service.

#include <LibBase/Verdict.h>
#include <LibPlatform/HttpOptions.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace zinc {

/// Method of a request.
enum class HttpMethod : std::uint8_t
{
  Get,
  Put,
  Post,
  Delete,
};

/// A header field of a request.
struct HttpHeader
{
  std::string name;
  std::string value;
};

/// One request; its host and length are added when it is sent.
struct HttpRequest
{
  HttpMethod method = HttpMethod::Get;
  std::string target;
  std::string body;
  std::vector<HttpHeader> headers;
  /// If set, the request is sent on this connection or fails with @ref RunState::NotRun.
  std::optional<std::uint64_t> connection = {};
};

/// A complete reply, whatever its status.
struct HttpReply
{
  unsigned status = 0;
  std::string body;
  /// The connection on which it arrived; differs from that of every other connection of this
  /// process. The process at its other end stays the same.
  std::uint64_t connection = 0;
};

/// Sends each request at most once, with one request outstanding a connection, so that a reply
/// belongs to the request before it. A request fails with @ref RunState::NotRun if none of its
/// bytes was written, else with @ref ErrorCode::Timeout and @ref RunState::MayHaveRun. After a
/// failure its connection is never used again, nor are idle ones that have not answered since.
class HttpClient
{
public:
  /// Called on the traffic context when the request is about to be sent or queued.
  using Encoder = std::function<HttpRequest()>;
  /// Called on the traffic context exactly once; what it returns is run on the control executor.
  using Completion = std::function<std::function<void()>(Result<HttpReply>)>;

  /// @return the client, or @ref ErrorCode::BadRequest if an address is not an IP address.
  [[nodiscard]] static Result<std::shared_ptr<HttpClient>> Create(HttpOptions aOptions);

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  /// Ends all outstanding requests with a verdict.
  ~HttpClient();

  /// Sends a request.
  /// @param aEncoder makes the request
  /// @param aWait time beyond the request timeout that the service may hold its reply back
  /// @param aCompletion gets the reply
  void Send(Encoder aEncoder, Milliseconds aWait, Completion aCompletion);

private:
  class Pool;
  explicit HttpClient(std::shared_ptr<Pool> aPool);

  std::shared_ptr<Pool> pool;
};

}
