#include <LibTraffic/HttpServer.h>

#include <LibNet/OpenAcceptor.h>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <set>

namespace zinc {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<Tcp, Strand>;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>,
                                         Strand>;

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxHexDigits = 2;
constexpr std::size_t kFirstReadBytes = 4096;
/// Time until the next attempt to accept a connection, after one has failed: without descriptors
/// each further attempt would fail at once.
constexpr Milliseconds kAcceptRetryDelay{ 100 };
/// How much of a refused request is read after its response, in time and bytes. Closing a
/// connection with unread bytes resets it, and the client may then not see the response.
constexpr Milliseconds kDiscardTimeout{ 1000 };
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 1 } << 20U;
constexpr std::size_t kDiscardBufferBytes = 1024;
/// Budget of a listener that shares none.
constexpr std::size_t kDefaultMaxHeldBytes = std::size_t{ 256 } << 20U;

std::optional<RequestMethod>
MethodOf(http::verb aVerb)
{
  switch (aVerb) {
    case http::verb::get:
      return RequestMethod::Fetch;
    case http::verb::post:
      return RequestMethod::Post;
    case http::verb::put:
      return RequestMethod::Put;
    case http::verb::delete_:
      return RequestMethod::Delete;
    default:
      return {};
  }
}

int
HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + 10;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return aDigit - 'A' + 10;
  }
  return -1;
}

std::string
DecodeQuery(std::string_view aText)
{
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    const bool escaped = aText[index] == '%' && index + kMaxHexDigits < aText.size() &&
                         HexValue(aText[index + 1]) >= 0 && HexValue(aText[index + 2]) >= 0;
    if (escaped) {
      decoded += static_cast<char>(HexValue(aText[index + 1]) * 16 + HexValue(aText[index + 2]));
      index += kMaxHexDigits;
      continue;
    }
    decoded += aText[index] == '+' ? ' ' : aText[index];
  }
  return decoded;
}

std::vector<QueryParameter>
ParseQuery(std::string_view aQuery)
{
  std::vector<QueryParameter> parameters;
  while (!aQuery.empty()) {
    const auto end = std::min(aQuery.find('&'), aQuery.size());
    const auto pair = aQuery.substr(0, end);
    const auto equals = std::min(pair.find('='), pair.size());
    const auto value = equals < pair.size() ? pair.substr(equals + 1) : std::string_view();
    parameters.push_back(
      { .name = DecodeQuery(pair.substr(0, equals)), .value = DecodeQuery(value) });
    aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
  }
  return parameters;
}

std::string_view
View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string
WithoutQuotes(std::string_view aText)
{
  if (aText.size() >= 2 && aText.front() == '"' && aText.back() == '"') {
    aText = aText.substr(1, aText.size() - 2);
  }
  return std::string(aText);
}

class Connection;

/// State that the server shares with its connections.
struct ServerState
{
  HttpServerOptions options;
  HttpHandler handler;
  std::size_t listener = 0;
  std::atomic<std::size_t> maxBodyBytes = 0;
  std::atomic<std::size_t> maxHeaderBytes = 0;
  std::atomic<bool> draining = false;
  std::atomic<std::size_t> openRequests = 0;
};

/// One client connection; all members are used on its strand.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(Socket aSocket, std::shared_ptr<ServerState> aServer)
    : socket(std::move(aSocket))
    , timer(this->socket.get_executor())
    , server(std::move(aServer))
  {
  }

  ~Connection()
  {
    if (this->number) {
      this->server->options.registry->Remove(*this->number);
    }
  }

  /// Serves the client if the process has room for the connection, and closes it otherwise.
  void Start()
  {
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      self->number = self->server->options.registry->Admit(
        self->server->listener,
        self->server->options.maxConnections,
        [weak = self->weak_from_this()](Eviction aEviction) { Evict(weak, aEviction); });
      if (!self->number) {
        self->Close();
        return;
      }
      self->ReadNext();
    });
  }

private:
  /// Makes a connection give way to others; may be called from any thread.
  static void Evict(const std::weak_ptr<Connection>& aConnection, Eviction aEviction)
  {
    if (const auto connection = aConnection.lock()) {
      asio::post(connection->socket.get_executor(),
                 [connection, aEviction] { connection->OnEvicted(aEviction); });
    }
  }

  void OnEvicted(Eviction aEviction)
  {
    // A request that has become complete meanwhile is answered.
    if (this->isAnswering) {
      this->closeAfterWrite = true;
      return;
    }
    if (aEviction == Eviction::Close) {
      this->timer.cancel();
      this->Close();
      return;
    }
    this->isEvicted = true;
    beast::error_code ignored;
    this->socket.cancel(ignored);
  }

  void ReadNext()
  {
    this->isAnswering = false;
    const auto maxHeaderBytes = this->server->maxHeaderBytes.load();
    this->parser.emplace();
    this->parser->body_limit(this->server->maxBodyBytes.load());
    this->parser->header_limit(static_cast<std::uint32_t>(maxHeaderBytes));
    this->parser->eager(true);
    // The parser consumes nothing of a trailer or a chunk's extension before its end has come, so
    // this bounds them too.
    this->buffer.max_size(maxHeaderBytes + kFirstReadBytes);
    this->headerBytes = 0;
    if (this->buffer.size() > 0) {
      this->ReadRequest();
      return;
    }
    this->buffer.shrink_to_fit();
    if (this->hasServed) {
      this->BecomeIdle();
    }
    this->StartTimer(this->server->options.idleTimeout);
    this->socket.async_read_some(
      this->buffer.prepare(kFirstReadBytes),
      [self = this->shared_from_this()](beast::error_code aError, std::size_t aCount) {
        self->OnFirstBytes(aError, aCount);
      });
  }

  void OnFirstBytes(beast::error_code aError, std::size_t aCount)
  {
    if (aError || this->isEvicted) {
      this->timer.cancel();
      this->Close();
      return;
    }
    this->buffer.commit(aCount);
    this->ReadRequest();
  }

  void ReadRequest()
  {
    this->server->options.registry->SetPhase(*this->number, ConnectionPhase::Receiving);
    this->StartTimer(this->server->options.readTimeout);
    this->ReadSome();
  }

  void ReadSome()
  {
    http::async_read_some(
      this->socket,
      this->buffer,
      *this->parser,
      [self = this->shared_from_this()](beast::error_code aError, std::size_t aCount) {
        self->OnReadSome(aError, aCount);
      });
  }

  void OnReadSome(beast::error_code aError, std::size_t aCount)
  {
    if (!this->parser->is_header_done() || this->headerBytes == 0) {
      this->headerBytes += aCount;
    }
    const bool isWithinBudget =
      this->server->options.registry->Hold(*this->number, this->HeldBytes());
    this->isEvicted = this->isEvicted || !isWithinBudget;
    if (aError || this->isEvicted || this->parser->is_done()) {
      this->OnRead(aError);
      return;
    }
    this->ReadSome();
  }

  /// @return the memory that the connection holds for its request
  [[nodiscard]] std::size_t HeldBytes() const
  {
    return this->buffer.capacity() + this->headerBytes + this->parser->get().body().capacity();
  }

  void StartTimer(Milliseconds aTimeout)
  {
    this->timer.expires_after(aTimeout);
    this->timer.async_wait([self = this->weak_from_this()](beast::error_code aError) {
      const auto connection = self.lock();
      if (!aError && connection) {
        connection->OnTimeout();
      }
    });
  }

  void OnTimeout()
  {
    this->timedOut = true;
    beast::error_code ignored;
    this->socket.cancel(ignored);
  }

  void OnRead(beast::error_code aError)
  {
    this->timer.cancel();
    if (this->isEvicted) {
      this->Refuse(
        NotRun(ErrorCode::Overloaded, "The process holds too many incomplete requests."));
      return;
    }
    if (this->timedOut) {
      this->Refuse(NotRun(ErrorCode::Timeout, "The request was not received completely in time."));
      return;
    }
    if (aError == http::error::end_of_stream) {
      this->Close();
      return;
    }
    if (aError) {
      this->RefuseUnreadable(aError);
      return;
    }
    this->Handle();
  }

  void RefuseUnreadable(beast::error_code aError)
  {
    if (aError == http::error::body_limit) {
      this->Refuse(NotRun(
        ErrorCode::PayloadTooLarge,
        fmt::format("The body is larger than {} bytes.", this->server->maxBodyBytes.load())));
      return;
    }
    if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
      this->Refuse(NotRun(ErrorCode::PayloadTooLarge,
                          "The request's header, trailer or chunk extension is too large."));
      return;
    }
    const bool malformed =
      aError.category() == http::make_error_code(http::error::bad_version).category();
    if (!malformed || aError == http::error::partial_message) {
      this->Close();
      return;
    }
    this->Refuse(NotRun(ErrorCode::BadRequest, "The request is not well-formed HTTP."));
  }

  void Refuse(const Verdict& aVerdict)
  {
    this->closeAfterWrite = true;
    this->isAnswering = true;
    this->isRefused = true;
    ++this->server->openRequests;
    // Nothing more of the request is used.
    this->parser.reset();
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    this->server->options.registry->SetPhase(*this->number, ConnectionPhase::Answering);
    this->server->options.registry->Release(*this->number);
    this->Write(ErrorResponse(aVerdict));
  }

  void Handle()
  {
    const auto& message = this->parser->get();
    this->closeAfterWrite = !message.keep_alive();
    const auto method = MethodOf(message.method());
    if (!method) {
      this->Refuse(NotRun(ErrorCode::BadRequest, "The method is not supported."));
      return;
    }
    ++this->server->openRequests;
    this->isAnswering = true;
    this->hasServed = true;
    this->server->options.registry->SetPhase(*this->number, ConnectionPhase::Answering);
    this->answered = std::make_shared<std::atomic<bool>>(false);
    auto respond = [self = this->shared_from_this(),
                    once = this->answered](OutgoingResponse aResponse) mutable {
      if (once->exchange(true)) {
        return;
      }
      asio::post(self->socket.get_executor(), [self, response = std::move(aResponse)]() mutable {
        self->Write(std::move(response));
      });
    };
    this->server->handler(this->ToRequest(*method), std::move(respond));
  }

  IncomingRequest ToRequest(RequestMethod aMethod)
  {
    auto& message = this->parser->get();
    const auto target = View(message.target());
    const auto question = std::min(target.find('?'), target.size());
    IncomingRequest request{ .method = aMethod,
                             .path = std::string(target.substr(0, question)),
                             .query =
                               ParseQuery(target.substr(std::min(question + 1, target.size()))),
                             .received = SteadyClock().Now() };
    const auto authorization = View(message[http::field::authorization]);
    if (authorization.starts_with(kBearerPrefix)) {
      request.bearer = std::string(authorization.substr(kBearerPrefix.size()));
    }
    const auto host = View(message[http::field::host]);
    request.host = std::string(host.substr(0, std::min(host.find(':'), host.size())));
    request.ifMatch = WithoutQuotes(View(message[http::field::if_match]));
    request.body = std::move(message.body());
    return request;
  }

  void Write(OutgoingResponse aResponse)
  {
    this->closeAfterWrite = this->closeAfterWrite || this->server->draining;
    this->response = {};
    this->response.version(11);
    this->response.result(aResponse.status);
    this->response.set(http::field::content_type, aResponse.contentType);
    if (aResponse.retryAfter) {
      const auto seconds = std::chrono::ceil<std::chrono::seconds>(*aResponse.retryAfter);
      this->response.set(http::field::retry_after, std::to_string(seconds.count()));
    }
    if (!aResponse.etag.empty()) {
      this->response.set(http::field::etag, fmt::format("\"{}\"", aResponse.etag));
    }
    this->response.keep_alive(!this->closeAfterWrite);
    this->response.body() = std::move(aResponse.body);
    this->response.prepare_payload();
    this->timedOut = false;
    this->StartTimer(this->server->options.readTimeout);
    http::async_write(this->socket,
                      this->response,
                      [self = this->shared_from_this()](beast::error_code aError, std::size_t) {
                        self->OnWritten(aError);
                      });
  }

  void OnWritten(beast::error_code aError)
  {
    this->timer.cancel();
    --this->server->openRequests;
    if (!aError && this->isRefused) {
      beast::error_code ignored;
      this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
      this->isAnswering = false;
      this->BecomeIdle();
      this->StartTimer(kDiscardTimeout);
      this->DiscardRest();
      return;
    }
    if (aError || this->closeAfterWrite) {
      this->Close();
      return;
    }
    this->ReadNext();
  }

  /// Lets the connection give way to new ones.
  void BecomeIdle()
  {
    this->server->options.registry->SetPhase(*this->number, ConnectionPhase::Idle);
    this->server->options.registry->Release(*this->number);
  }

  /// Reads what the client still sends of a refused request, and closes the connection.
  void DiscardRest()
  {
    this->socket.async_read_some(
      this->buffer.prepare(kDiscardBufferBytes),
      [self = this->shared_from_this()](beast::error_code aError, std::size_t aCount) {
        self->discardedBytes += aCount;
        if (aError || self->discardedBytes > kMaxDiscardedBytes) {
          self->timer.cancel();
          self->Close();
          return;
        }
        self->DiscardRest();
      });
  }

  void Close()
  {
    beast::error_code ignored;
    this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    this->socket.close(ignored);
  }

  Socket socket;
  Timer timer;
  std::shared_ptr<ServerState> server;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  std::shared_ptr<std::atomic<bool>> answered;
  /// Its number in the registry; empty if there was no room for it.
  std::optional<ConnectionNumber> number;
  /// Bytes received of the current request's header.
  std::size_t headerBytes = 0;
  std::size_t discardedBytes = 0;
  bool timedOut = false;
  bool closeAfterWrite = false;
  /// The request was refused before it was read completely.
  bool isRefused = false;
  /// The current request is complete or refused, and its response not sent completely.
  bool isAnswering = false;
  /// At least one request was complete.
  bool hasServed = false;
  /// Has to give way to other connections.
  bool isEvicted = false;
};

/// The server behind @ref HttpServer::Create.
class BeastServer final
  : public HttpServer
  , public std::enable_shared_from_this<BeastServer>
{
public:
  BeastServer(asio::io_context& aTraffic, HttpServerOptions aOptions, HttpHandler aHandler)
    : traffic(aTraffic)
    , acceptor(asio::make_strand(aTraffic))
    , retryTimer(this->acceptor.get_executor())
    , state(std::make_shared<ServerState>())
  {
    auto& options = this->state->options = std::move(aOptions);
    if (!options.registry) {
      options.registry = std::make_shared<ConnectionRegistry>(kDefaultMaxHeldBytes);
    }
    this->state->listener = options.registry->AddListener();
    this->state->handler = std::move(aHandler);
    this->SetRequestLimits(options.maxBodyBytes, options.maxHeaderBytes);
  }

  Result<Done> Open()
  {
    const auto opened = OpenAcceptor(this->acceptor, this->state->options.listen);
    if (IsError(opened)) {
      return ErrorOf(opened);
    }
    this->port = ValueOf(opened);
    return Done{};
  }

  void AcceptNext()
  {
    this->acceptor.async_accept(
      asio::make_strand(this->traffic),
      [self = this->shared_from_this()](beast::error_code aError, Socket aSocket) {
        self->OnAccepted(aError, std::move(aSocket));
      });
  }

  void Drain() override
  {
    this->state->draining = true;
    asio::post(this->acceptor.get_executor(), [self = this->shared_from_this()] {
      beast::error_code ignored;
      self->acceptor.close(ignored);
      self->retryTimer.cancel();
    });
  }

  void SetRequestLimits(std::size_t aMaxBodyBytes, std::size_t aMaxHeaderBytes) final
  {
    this->state->maxBodyBytes = aMaxBodyBytes;
    this->state->maxHeaderBytes = aMaxHeaderBytes;
  }

  std::size_t OpenRequests() const override { return this->state->openRequests; }

  std::uint16_t Port() const override { return this->port; }

private:
  void OnAccepted(beast::error_code aError, Socket aSocket)
  {
    if (aError == asio::error::operation_aborted || !this->acceptor.is_open()) {
      return;
    }
    if (aError) {
      this->retryTimer.expires_after(kAcceptRetryDelay);
      this->retryTimer.async_wait([self = this->shared_from_this()](beast::error_code aStatus) {
        if (!aStatus && self->acceptor.is_open()) {
          self->AcceptNext();
        }
      });
      return;
    }
    beast::error_code ignored;
    aSocket.set_option(Tcp::no_delay(true), ignored);
    std::make_shared<Connection>(std::move(aSocket), this->state)->Start();
    this->AcceptNext();
  }

  asio::io_context& traffic;
  asio::basic_socket_acceptor<Tcp, Strand> acceptor;
  Timer retryTimer;
  std::shared_ptr<ServerState> state;
  std::uint16_t port = 0;
};

}

Result<std::shared_ptr<HttpServer>>
HttpServer::Create(boost::asio::io_context& aTraffic,
                   HttpServerOptions aOptions,
                   HttpHandler aHandler)
{
  auto server = std::make_shared<BeastServer>(aTraffic, std::move(aOptions), std::move(aHandler));
  const auto opened = server->Open();
  if (IsError(opened)) {
    return ErrorOf(opened);
  }
  server->AcceptNext();
  return std::shared_ptr<HttpServer>(std::move(server));
}

}
