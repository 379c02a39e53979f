#include <StandIns/HttpServer.h>

#include <LibPlatform/Codec.h>
#include <LibPlatform/Json.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <json/json.h>
#include <set>

namespace zinc {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorStatus = boost::system::error_code;

constexpr std::size_t kBodyLimit = std::size_t{ 64 } << 20;

unsigned
StatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::BadRequest:
      return 400;
    case ErrorCode::NotFound:
      return 404;
    case ErrorCode::Conflict:
    case ErrorCode::StaleTerm:
      return 409;
    case ErrorCode::PayloadTooLarge:
      return 413;
    case ErrorCode::Impossible:
      return 422;
    default:
      return 503;
  }
}

}

void
ReplyJson(HttpCall& aCall, const Json::Value& aValue)
{
  aCall.Reply(200, WriteJson(aValue));
}

void
ReplyVerdict(HttpCall& aCall, const Verdict& aVerdict)
{
  aCall.Reply(StatusOf(aVerdict.code), WriteJson(ToJson(aVerdict)));
}

class HttpServer::Core : public std::enable_shared_from_this<HttpServer::Core>
{
public:
  explicit Core(Options aOptions)
    : options(std::move(aOptions))
    , acceptor(this->options.context)
  {
  }

  ErrorStatus Listen();
  void Close();
  void SetMode(ServerMode aMode);
  void SilenceOpenConnections();

  [[nodiscard]] std::uint16_t Port() const { return this->options.listen.port; }
  [[nodiscard]] std::size_t OpenConnections() const { return this->sessions.size(); }

private:
  class Session;
  class Call;

  void Accept();
  void CloseSessions();
  void Deliver(HttpCallPointer aCall);

  Options options;
  asio::ip::tcp::acceptor acceptor;
  ServerMode mode = ServerMode::Serving;
  std::set<std::shared_ptr<Session>> sessions;
  std::vector<HttpCallPointer> held;
};

/// One connection, with one request at a time.
class HttpServer::Core::Session : public std::enable_shared_from_this<HttpServer::Core::Session>
{
public:
  Session(std::weak_ptr<Core> aCore, asio::ip::tcp::socket aSocket)
    : core(std::move(aCore))
    , socket(std::move(aSocket))
  {
    ErrorStatus ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  }

  void Read();
  void Reply(unsigned aStatus, std::string aBody);
  void Close();
  void Silence() { this->isSilent = true; }

private:
  void OnRead(ErrorStatus aStatus);
  /// Notices that the client closed while its request is still being served.
  void WatchForClose();

  std::weak_ptr<Core> core;
  asio::ip::tcp::socket socket;
  bool isSilent = false;
  bool isServing = false;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
};

class HttpServer::Core::Call final : public HttpCall
{
public:
  explicit Call(std::shared_ptr<Session> aSession)
    : session(std::move(aSession))
  {
  }

  void Reply(unsigned aStatus, std::string aBody) override
  {
    if (const auto owner = std::exchange(this->session, {})) {
      owner->Reply(aStatus, std::move(aBody));
    }
  }

  void Drop() override
  {
    if (const auto owner = std::exchange(this->session, {})) {
      owner->Close();
    }
  }

private:
  std::shared_ptr<Session> session;
};

void
HttpServer::Core::Session::Read()
{
  this->isServing = false;
  this->parser.emplace();
  this->parser->body_limit(kBodyLimit);
  http::async_read(
    this->socket,
    this->buffer,
    *this->parser,
    [self = this->shared_from_this()](ErrorStatus aStatus, std::size_t) { self->OnRead(aStatus); });
}

void
HttpServer::Core::Session::OnRead(ErrorStatus aStatus)
{
  const auto owner = this->core.lock();
  if (aStatus || !owner) {
    this->Close();
    return;
  }
  if (this->isSilent) {
    this->Read();
    return;
  }
  this->isServing = true;
  auto request = this->parser->release();
  auto call = std::make_shared<Call>(this->shared_from_this());
  call->method = std::string(request.method_string());
  for (const auto& field : request) {
    call->headers[std::string(field.name_string())] = std::string(field.value());
  }
  call->body = std::move(request.body());
  const auto target =
    ParseTarget(std::string_view(request.target().data(), request.target().size()));
  if (!target) {
    ReplyVerdict(*call, NotRun(ErrorCode::BadRequest, "The target is malformed."));
    return;
  }
  call->target = *target;
  this->WatchForClose();
  owner->Deliver(std::move(call));
}

void
HttpServer::Core::Session::WatchForClose()
{
  this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                          [self = this->shared_from_this()](ErrorStatus aStatus) {
                            ErrorStatus ignored;
                            const bool isEnded = !aStatus && self->socket.available(ignored) == 0;
                            if (self->isServing && isEnded) {
                              self->Close();
                            }
                          });
}

void
HttpServer::Core::Session::Reply(unsigned aStatus, std::string aBody)
{
  if (this->isSilent || !this->socket.is_open()) {
    this->isServing = false;
    return;
  }
  this->response = {};
  this->response.version(11);
  this->response.result(aStatus);
  this->response.keep_alive(true);
  this->response.body() = std::move(aBody);
  this->response.prepare_payload();
  http::async_write(this->socket,
                    this->response,
                    [self = this->shared_from_this()](ErrorStatus aWritten, std::size_t) {
                      if (aWritten) {
                        self->Close();
                        return;
                      }
                      self->Read();
                    });
}

void
HttpServer::Core::Session::Close()
{
  ErrorStatus ignored;
  this->socket.close(ignored);
  if (const auto owner = this->core.lock()) {
    owner->sessions.erase(this->shared_from_this());
  }
}

ErrorStatus
HttpServer::Core::Listen()
{
  ErrorStatus status;
  const auto address = asio::ip::make_address(this->options.listen.address, status);
  if (status) {
    return status;
  }
  const asio::ip::tcp::endpoint endpoint(address, this->options.listen.port);
  this->acceptor.open(endpoint.protocol(), status);
  this->acceptor.set_option(asio::socket_base::reuse_address(true), status);
  this->acceptor.bind(endpoint, status);
  if (!status) {
    this->acceptor.listen(asio::socket_base::max_listen_connections, status);
  }
  if (status) {
    return status;
  }
  this->options.listen.port = this->acceptor.local_endpoint().port();
  this->Accept();
  return {};
}

void
HttpServer::Core::Accept()
{
  this->acceptor.async_accept(
    [weak = this->weak_from_this()](ErrorStatus aStatus, asio::ip::tcp::socket aSocket) {
      const auto self = weak.lock();
      if (!self || aStatus == asio::error::operation_aborted || !self->acceptor.is_open()) {
        return;
      }
      const std::size_t limit = self->options.connectionLimit;
      if (!aStatus && (limit == 0 || self->sessions.size() < limit)) {
        auto session = std::make_shared<Session>(weak, std::move(aSocket));
        self->sessions.insert(session);
        session->Read();
      }
      self->Accept();
    });
}

void
HttpServer::Core::Close()
{
  ErrorStatus ignored;
  this->acceptor.close(ignored);
  this->CloseSessions();
}

void
HttpServer::Core::CloseSessions()
{
  const auto open = this->sessions;
  for (const auto& session : open) {
    session->Close();
  }
}

void
HttpServer::Core::SetMode(ServerMode aMode)
{
  const ServerMode before = std::exchange(this->mode, aMode);
  if (aMode == ServerMode::Refusing && before != ServerMode::Refusing) {
    this->held.clear();
    this->Close();
  }
  if (aMode != ServerMode::Refusing && before == ServerMode::Refusing) {
    this->Listen();
  }
  if (aMode == ServerMode::Serving) {
    std::vector<HttpCallPointer> calls;
    calls.swap(this->held);
    for (auto& call : calls) {
      this->options.handler(std::move(call));
    }
  }
}

void
HttpServer::Core::SilenceOpenConnections()
{
  for (const auto& session : this->sessions) {
    session->Silence();
  }
}

void
HttpServer::Core::Deliver(HttpCallPointer aCall)
{
  if (this->mode == ServerMode::Holding) {
    this->held.push_back(std::move(aCall));
    return;
  }
  this->options.handler(std::move(aCall));
}

HttpServer::HttpServer(std::shared_ptr<Core> aCore)
  : core(std::move(aCore))
{
}

HttpServer::~HttpServer()
{
  this->core->Close();
}

Result<std::shared_ptr<HttpServer>>
HttpServer::Create(Options aOptions)
{
  const std::string name = fmt::format("{}:{}", aOptions.listen.address, aOptions.listen.port);
  auto core = std::make_shared<Core>(std::move(aOptions));
  const ErrorStatus status = core->Listen();
  if (status) {
    return NotRun(ErrorCode::Unavailable,
                  fmt::format("Cannot listen on {}: {}.", name, status.message()));
  }
  return std::shared_ptr<HttpServer>(new HttpServer(std::move(core)));
}

std::uint16_t
HttpServer::Port() const
{
  return this->core->Port();
}

void
HttpServer::SetMode(ServerMode aMode)
{
  this->core->SetMode(aMode);
}

void
HttpServer::SilenceOpenConnections()
{
  this->core->SilenceOpenConnections();
}

std::size_t
HttpServer::OpenConnections() const
{
  return this->core->OpenConnections();
}

}
