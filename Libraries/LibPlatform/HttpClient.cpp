#include <LibPlatform/HttpClient.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <fmt/format.h>
#include <netinet/tcp.h>

namespace zinc {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using SteadyTime = std::chrono::steady_clock::time_point;
using Strand = asio::strand<asio::io_context::executor_type>;
using ErrorStatus = boost::system::error_code;
/// Time in ms after which the system drops a connection whose data is not acknowledged.
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

SteadyTime
Now()
{
  return std::chrono::steady_clock::now();
}

/// @return a number that no other connection of this process has; never 0
std::uint64_t
NextConnectionNumber()
{
  static std::atomic<std::uint64_t> last{ 0 };
  return ++last;
}

/// A request on its way, from the call to its completion.
struct Exchange
{
  HttpRequest request;
  HttpClient::Completion completion;
  SteadyTime deadline;
  std::size_t failedConnects = 0;
};

http::verb
VerbOf(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return http::verb::get;
    case HttpMethod::Put:
      return http::verb::put;
    case HttpMethod::Post:
      return http::verb::post;
    case HttpMethod::Delete:
      return http::verb::delete_;
  }
  return http::verb::get;
}

}

class HttpClient::Pool : public std::enable_shared_from_this<HttpClient::Pool>
{
public:
  Pool(HttpOptions aOptions, std::vector<asio::ip::tcp::endpoint> aEndpoints);

  void Send(HttpClient::Encoder aEncoder, Milliseconds aWait, Completion aCompletion);
  void Close();

private:
  class Connection;
  friend class Connection;

  void Enqueue(Exchange aExchange);
  /// Gives waiting requests to idle connections and opens more where there is room.
  void Pump();
  /// Fails the first waiting requests whose connections are closed.
  void FailUnsendable();
  /// @param aNumber the only connection to take, if set
  /// @return an idle connection; null if there is none
  Connection* TakeIdle(std::optional<std::uint64_t> aNumber);
  void Open();
  /// Has the queue looked through at this time at the latest.
  void ArmQueueTimer(SteadyTime aDeadline);
  void OnQueueTimer();
  void OnConnectFailed(Connection* aConnection);
  void OnIdle(Connection* aConnection);
  void OnClosed(Connection* aConnection);
  /// Closes idle connections that have not answered since @p aSince.
  void CloseUnproven(SteadyTime aSince);
  void Complete(Exchange aExchange, Result<HttpReply> aReply);

  HttpOptions options;
  std::vector<asio::ip::tcp::endpoint> endpoints;
  Strand strand;
  asio::steady_timer queueTimer;
  std::size_t endpointIndex = 0;
  std::size_t connecting = 0;
  /// When the queue timer fires; empty while it is not armed.
  std::optional<SteadyTime> queueTimerAt;
  bool isClosed = false;
  std::deque<Exchange> queue;
  // An open connection is kept alive by its outstanding operation, so that a context that is
  // destroyed with open connections destroys them and the pool as well.
  std::vector<Connection*> connections;
  std::vector<Connection*> idle;
};

/// One connection; a read is outstanding for as long as it is open, so that its end is noticed
/// while it is idle.
class HttpClient::Pool::Connection
  : public std::enable_shared_from_this<HttpClient::Pool::Connection>
{
public:
  explicit Connection(std::shared_ptr<Pool> aPool)
    : pool(std::move(aPool))
    , socket(this->pool->strand)
    , timer(this->pool->strand)
    , buffer(this->pool->options.headLimit + this->pool->options.readBufferBytes)
  {
  }

  void Connect(const asio::ip::tcp::endpoint& aEndpoint)
  {
    this->SetDeadline(Now() + this->pool->options.connectTimeout);
    this->socket.async_connect(aEndpoint, [self = this->shared_from_this()](ErrorStatus aStatus) {
      self->OnConnected(aStatus);
    });
  }

  void Send(Exchange aExchange)
  {
    this->exchange = std::move(aExchange);
    this->sentAt = Now();
    this->isWritten = false;
    this->failure.clear();
    this->message = {};
    this->message.version(11);
    this->message.method(VerbOf(this->exchange->request.method));
    this->message.target(this->exchange->request.target);
    this->message.set(http::field::host, this->hostName);
    this->message.set(http::field::user_agent, this->pool->options.userAgent);
    for (const HttpHeader& header : this->exchange->request.headers) {
      this->message.set(header.name, header.value);
    }
    this->message.body() = std::move(this->exchange->request.body);
    this->message.prepare_payload();
    this->SetDeadline(this->exchange->deadline);
    http::async_write(this->socket,
                      this->message,
                      [self = this->shared_from_this()](ErrorStatus aStatus, std::size_t aBytes) {
                        self->OnWritten(aStatus, aBytes);
                      });
  }

  /// Closes the connection; its request, if any, fails.
  void Close(std::string aFailure)
  {
    if (this->failure.empty()) {
      this->failure = std::move(aFailure);
    }
    ++this->timerGeneration;
    this->timerAt.reset();
    this->timer.cancel();
    ErrorStatus ignored;
    this->socket.close(ignored);
    if (this->isConnecting) {
      return;
    }
    // While the write is outstanding, its completion tells whether any byte left.
    if (this->exchange && this->isWritten) {
      this->Fail(RunState::MayHaveRun);
    }
    if (!this->exchange) {
      this->pool->OnClosed(this);
    }
  }

  /// @return false if the other end is known to have closed, or has sent what nobody asked for.
  [[nodiscard]] bool IsUsable()
  {
    // A part of a reply that nobody asked for has been read: its rest would count as the next one.
    if (this->buffer.size() > 0 || (this->parser && this->parser->got_some())) {
      return false;
    }
    char byte = 0;
    ErrorStatus status;
    this->socket.receive(
      asio::buffer(&byte, sizeof(byte)), asio::socket_base::message_peek, status);
    return status == asio::error::would_block;
  }

  [[nodiscard]] std::uint64_t Number() const { return this->number; }
  [[nodiscard]] SteadyTime AnsweredAt() const { return this->answeredAt; }
  [[nodiscard]] bool IsConnecting() const { return this->isConnecting; }

private:
  /// Closes the connection at this time unless the deadline is removed before. A timer that runs
  /// already is kept if it fires before the deadline, since most requests end long before theirs.
  void SetDeadline(SteadyTime aDeadline)
  {
    this->deadline = aDeadline;
    if (this->timerAt && *this->timerAt <= aDeadline) {
      return;
    }
    this->timerAt = aDeadline;
    const std::uint64_t generation = ++this->timerGeneration;
    this->timer.expires_at(aDeadline);
    this->timer.async_wait([self = this->shared_from_this(), generation](ErrorStatus aStatus) {
      if (!aStatus && generation == self->timerGeneration) {
        self->OnTimer();
      }
    });
  }

  void OnTimer()
  {
    this->timerAt.reset();
    if (!this->deadline) {
      return;
    }
    if (Now() < *this->deadline) {
      this->SetDeadline(*this->deadline);
      return;
    }
    this->OnTimeout();
  }

  void OnConnected(ErrorStatus aStatus)
  {
    this->isConnecting = false;
    this->deadline.reset();
    if (aStatus || !this->socket.is_open()) {
      this->socket.close(aStatus);
      this->pool->OnConnectFailed(this);
      return;
    }
    ErrorStatus ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->socket.set_option(
      UserTimeout(static_cast<int>(this->pool->options.deliveryTimeout.count())), ignored);
    this->socket.non_blocking(true, ignored);
    const auto remote = this->socket.remote_endpoint(ignored);
    this->hostName = fmt::format("{}:{}", remote.address().to_string(), remote.port());
    this->answeredAt = Now();
    this->buffer.reserve(this->pool->options.readBufferBytes);
    this->Read();
    --this->pool->connecting;
    this->pool->OnIdle(this);
  }

  void Read()
  {
    this->parser.emplace();
    this->parser->header_limit(this->pool->options.headLimit);
    this->parser->body_limit(this->pool->options.replyLimit);
    http::async_read(this->socket,
                     this->buffer,
                     *this->parser,
                     [self = this->shared_from_this()](ErrorStatus aStatus, std::size_t) {
                       self->OnRead(aStatus);
                     });
  }

  void OnWritten(ErrorStatus aStatus, std::size_t aBytes)
  {
    this->isWritten = true;
    if (!this->exchange) {
      return;
    }
    if (aStatus || !this->socket.is_open()) {
      const bool isUnsent = aStatus && aBytes == 0;
      if (this->failure.empty()) {
        this->failure = "The connection was lost.";
      }
      this->Fail(isUnsent ? RunState::NotRun : RunState::MayHaveRun);
      this->Close({});
      return;
    }
    if (this->reply) {
      this->Answer();
    }
  }

  void OnRead(ErrorStatus aStatus)
  {
    if (aStatus) {
      this->Close(this->ReadFailure(aStatus));
      return;
    }
    if (!this->exchange) {
      // A reply that nobody asked for: the two ends no longer agree on this connection.
      this->Close("An unexpected reply arrived.");
      return;
    }
    this->reply = this->parser->release();
    if (this->isWritten) {
      this->Answer();
    }
  }

  /// @return what to say of a reply that could not be read.
  [[nodiscard]] std::string ReadFailure(ErrorStatus aStatus) const
  {
    if (aStatus == http::error::body_limit) {
      return fmt::format("The reply's body is larger than {} bytes.",
                         this->pool->options.replyLimit);
    }
    if (aStatus == http::error::header_limit) {
      return fmt::format("The reply's head is larger than {} bytes.",
                         this->pool->options.headLimit);
    }
    if (aStatus == http::error::buffer_overflow) {
      return fmt::format("A chunk extension or trailer of the reply is larger than {} bytes.",
                         this->buffer.max_size());
    }
    return "The connection was lost before the reply.";
  }

  void Answer()
  {
    this->deadline.reset();
    this->answeredAt = Now();
    HttpReply complete{ .status = this->reply->result_int(),
                        .body = std::move(this->reply->body()),
                        .connection = this->number };
    const bool isKept = this->reply->keep_alive();
    this->reply.reset();
    Exchange answered = std::move(*this->exchange);
    this->exchange.reset();
    this->pool->Complete(std::move(answered), std::move(complete));
    if (!isKept || !this->socket.is_open()) {
      this->Close("The service closed the connection.");
      return;
    }
    this->Read();
    this->pool->OnIdle(this);
  }

  void OnTimeout()
  {
    if (this->isConnecting) {
      this->Close("The connection could not be opened in time.");
      return;
    }
    this->pool->CloseUnproven(this->sentAt);
    this->Close("No reply arrived in time.");
  }

  void Fail(RunState aRun)
  {
    Exchange failed = std::move(*this->exchange);
    this->exchange.reset();
    const ErrorCode code = aRun == RunState::NotRun ? ErrorCode::Unavailable : ErrorCode::Timeout;
    this->pool->Complete(std::move(failed),
                         Verdict{ .code = code, .run = aRun, .message = this->failure });
  }

  std::shared_ptr<Pool> pool;
  const std::uint64_t number = NextConnectionNumber();
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::uint64_t timerGeneration = 0;
  /// When the timer fires; empty while it does not run.
  std::optional<SteadyTime> timerAt;
  /// When the connection is closed; empty while nothing is outstanding.
  std::optional<SteadyTime> deadline;
  bool isConnecting = true;
  bool isWritten = false;
  SteadyTime sentAt;
  SteadyTime answeredAt;
  std::string hostName;
  std::string failure;
  std::optional<Exchange> exchange;
  http::request<http::string_body> message;
  boost::beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  std::optional<http::response<http::string_body>> reply;
};

HttpClient::Pool::Pool(HttpOptions aOptions, std::vector<asio::ip::tcp::endpoint> aEndpoints)
  : options(std::move(aOptions))
  , endpoints(std::move(aEndpoints))
  , strand(asio::make_strand(this->options.traffic))
  , queueTimer(this->strand)
{
}

void
HttpClient::Pool::Send(HttpClient::Encoder aEncoder, Milliseconds aWait, Completion aCompletion)
{
  const SteadyTime deadline = Now() + this->options.requestTimeout + aWait;
  asio::post(this->strand,
             [self = this->shared_from_this(),
              encoder = std::move(aEncoder),
              completion = std::move(aCompletion),
              deadline]() mutable {
               self->Enqueue({ .request = encoder(),
                               .completion = std::move(completion),
                               .deadline = deadline });
             });
}

void
HttpClient::Pool::Close()
{
  asio::post(this->strand, [self = this->shared_from_this()] {
    self->isClosed = true;
    std::deque<Exchange> waiting;
    waiting.swap(self->queue);
    for (Exchange& exchange : waiting) {
      self->Complete(std::move(exchange), NotRun(ErrorCode::Unavailable, "The client was closed."));
    }
    self->queueTimer.cancel();
    const auto open = self->connections;
    for (Connection* connection : open) {
      connection->Close("The client was closed.");
    }
  });
}

void
HttpClient::Pool::Enqueue(Exchange aExchange)
{
  if (this->isClosed) {
    this->Complete(std::move(aExchange), NotRun(ErrorCode::Unavailable, "The client is closed."));
    return;
  }
  if (this->queue.size() >= this->options.queueLimit) {
    this->Complete(std::move(aExchange),
                   NotRun(ErrorCode::Overloaded, "Too many requests wait for a connection."));
    return;
  }
  const SteadyTime deadline = aExchange.deadline;
  this->queue.push_back(std::move(aExchange));
  this->Pump();
  if (!this->queue.empty()) {
    this->ArmQueueTimer(deadline);
  }
}

void
HttpClient::Pool::Pump()
{
  for (this->FailUnsendable(); !this->queue.empty(); this->FailUnsendable()) {
    const auto required = this->queue.front().request.connection;
    Connection* connection = this->TakeIdle(required);
    if (connection == nullptr) {
      break;
    }
    // A closed connection that was found meanwhile may have let another one take the request.
    if (this->queue.empty() || this->queue.front().request.connection != required) {
      this->idle.push_back(connection);
      continue;
    }
    Exchange exchange = std::move(this->queue.front());
    this->queue.pop_front();
    connection->Send(std::move(exchange));
  }
  while (this->connecting < this->queue.size() &&
         this->connections.size() < this->options.connections) {
    this->Open();
  }
}

void
HttpClient::Pool::FailUnsendable()
{
  while (!this->queue.empty()) {
    const auto required = this->queue.front().request.connection;
    if (!required || std::ranges::find(this->connections, *required, &Connection::Number) !=
                       this->connections.end()) {
      return;
    }
    Exchange exchange = std::move(this->queue.front());
    this->queue.pop_front();
    this->Complete(std::move(exchange),
                   NotRun(ErrorCode::Unavailable, "The connection to use is closed."));
  }
}

HttpClient::Pool::Connection*
HttpClient::Pool::TakeIdle(std::optional<std::uint64_t> aNumber)
{
  while (true) {
    const auto found =
      std::find_if(this->idle.rbegin(), this->idle.rend(), [aNumber](const Connection* aIdle) {
        return !aNumber || aIdle->Number() == *aNumber;
      });
    if (found == this->idle.rend()) {
      return nullptr;
    }
    Connection* connection = *found;
    this->idle.erase(std::next(found).base());
    const bool isFresh = connection->AnsweredAt() + this->options.idleLimit > Now();
    if (isFresh && connection->IsUsable()) {
      return connection;
    }
    connection->Close("The connection was idle for too long or closed by the service.");
  }
}

void
HttpClient::Pool::Open()
{
  auto connection = std::make_shared<Connection>(this->shared_from_this());
  this->connections.push_back(connection.get());
  ++this->connecting;
  connection->Connect(this->endpoints.at(this->endpointIndex));
}

void
HttpClient::Pool::ArmQueueTimer(SteadyTime aDeadline)
{
  if (this->isClosed || (this->queueTimerAt && *this->queueTimerAt <= aDeadline)) {
    return;
  }
  this->queueTimerAt = aDeadline;
  this->queueTimer.expires_at(aDeadline);
  this->queueTimer.async_wait([self = this->shared_from_this()](ErrorStatus aStatus) {
    if (aStatus) {
      return;
    }
    self->queueTimerAt.reset();
    self->OnQueueTimer();
  });
}

void
HttpClient::Pool::OnQueueTimer()
{
  const SteadyTime now = Now();
  std::optional<SteadyTime> earliest;
  std::deque<Exchange> waiting;
  waiting.swap(this->queue);
  for (Exchange& exchange : waiting) {
    if (exchange.deadline > now) {
      earliest = std::min(earliest.value_or(exchange.deadline), exchange.deadline);
      this->queue.push_back(std::move(exchange));
      continue;
    }
    this->Complete(std::move(exchange),
                   NotRun(ErrorCode::Unavailable, "No connection became free in time."));
  }
  if (earliest) {
    this->ArmQueueTimer(*earliest);
  }
}

void
HttpClient::Pool::OnConnectFailed(Connection* aConnection)
{
  --this->connecting;
  std::erase(this->connections, aConnection);
  this->endpointIndex = (this->endpointIndex + 1) % this->endpoints.size();
  if (!this->queue.empty()) {
    Exchange& first = this->queue.front();
    ++first.failedConnects;
    if (first.failedConnects >= this->endpoints.size()) {
      Exchange failed = std::move(first);
      this->queue.pop_front();
      this->Complete(std::move(failed),
                     NotRun(ErrorCode::Unavailable, "The service cannot be reached."));
    }
  }
  this->Pump();
}

void
HttpClient::Pool::OnIdle(Connection* aConnection)
{
  if (this->isClosed) {
    aConnection->Close("The client was closed.");
    return;
  }
  this->idle.push_back(aConnection);
  this->Pump();
}

void
HttpClient::Pool::OnClosed(Connection* aConnection)
{
  std::erase(this->connections, aConnection);
  std::erase(this->idle, aConnection);
  if (!this->isClosed) {
    this->Pump();
  }
}

void
HttpClient::Pool::CloseUnproven(SteadyTime aSince)
{
  const auto candidates = this->idle;
  for (Connection* connection : candidates) {
    if (connection->AnsweredAt() <= aSince) {
      connection->Close("The connection may be silent.");
    }
  }
}

void
HttpClient::Pool::Complete(Exchange aExchange, Result<HttpReply> aReply)
{
  asio::post(this->options.control, aExchange.completion(std::move(aReply)));
}

HttpClient::HttpClient(std::shared_ptr<Pool> aPool)
  : pool(std::move(aPool))
{
}

HttpClient::~HttpClient()
{
  this->pool->Close();
}

Result<std::shared_ptr<HttpClient>>
HttpClient::Create(HttpOptions aOptions)
{
  if (aOptions.endpoints.empty() || aOptions.connections == 0) {
    return NotRun(ErrorCode::BadRequest, "A client needs an address and a connection.");
  }
  std::vector<asio::ip::tcp::endpoint> endpoints;
  for (const Endpoint& endpoint : aOptions.endpoints) {
    ErrorStatus status;
    const auto address = asio::ip::make_address(endpoint.address, status);
    if (status) {
      return NotRun(ErrorCode::BadRequest,
                    fmt::format("{} is not an IP address.", endpoint.address));
    }
    endpoints.emplace_back(address, endpoint.port);
  }
  auto pool = std::make_shared<Pool>(std::move(aOptions), std::move(endpoints));
  return std::shared_ptr<HttpClient>(new HttpClient(std::move(pool)));
}

void
HttpClient::Send(Encoder aEncoder, Milliseconds aWait, Completion aCompletion)
{
  this->pool->Send(std::move(aEncoder), aWait, std::move(aCompletion));
}

}
