#pragma once

/// @file
/// The HTTP server of the stand-ins, with the faults of a server built in.

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibPlatform/InstanceList.h>
#include <LibPlatform/Url.h>
#include <functional>
#include <json/forwards.h>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace zinc {

/// One request that awaits its reply.
class HttpCall
{
public:
  virtual ~HttpCall() = default;

  /// Sends the reply; at most one is sent.
  virtual void Reply(unsigned aStatus, std::string aBody) = 0;
  /// Closes the connection without a reply.
  virtual void Drop() = 0;

  std::string method;
  Target target;
  /// Header fields by their names as they came.
  std::map<std::string, std::string> headers;
  std::string body;
  /// When it arrived, however long it is kept waiting.
  TimePoint receivedAt = SteadyClock().Now();
};

using HttpCallPointer = std::shared_ptr<HttpCall>;

/// Replies with JSON.
void
ReplyJson(HttpCall& aCall, const Json::Value& aValue);

/// Replies with a verdict and the status of its code.
void
ReplyVerdict(HttpCall& aCall, const Verdict& aVerdict);

/// What a server does with those who connect.
enum class ServerMode : std::uint8_t
{
  Serving,
  /// Open connections are closed and new ones refused.
  Refusing,
  /// Requests are read and kept until the server serves again, as by a paused process.
  Holding,
};

/// A keep-alive server; all of it runs on one thread of the context.
class HttpServer
{
public:
  using Handler = std::function<void(HttpCallPointer)>;

  struct Options
  {
    boost::asio::io_context& context;
    /// Port 0 takes a free one.
    Endpoint listen;
    /// More connections are closed when they are accepted; 0 for no bound.
    std::size_t connectionLimit = 0;
    Handler handler;
  };

  [[nodiscard]] static Result<std::shared_ptr<HttpServer>> Create(Options aOptions);

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  /// Closes everything.
  ~HttpServer();

  [[nodiscard]] std::uint16_t Port() const;

  void SetMode(ServerMode aMode);
  /// Never answers again on the connections that are open now; new ones work.
  void SilenceOpenConnections();
  [[nodiscard]] std::size_t OpenConnections() const;

private:
  class Core;
  explicit HttpServer(std::shared_ptr<Core> aCore);

  std::shared_ptr<Core> core;
};

}
