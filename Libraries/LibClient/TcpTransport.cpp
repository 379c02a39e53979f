#include <LibClient/TcpTransport.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/optional/optional.hpp>
#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace zinc {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCodeOfSystem = boost::system::error_code;

constexpr Milliseconds kConnectTimeout{ 2000 };
constexpr std::uint64_t kMaxResponseBytes = 64U << 20U;
constexpr std::uint32_t kMaxHeadBytes = 8U << 10U;
/// Room for a head and a read of the body; a chunk extension or a trailer has to fit in it.
constexpr std::size_t kReadBufferBytes = kMaxHeadBytes + (std::size_t{ 64 } << 10U);
constexpr int kHttpVersion = 11;
constexpr std::array kVerbs = { http::verb::get,
                                http::verb::post,
                                http::verb::put,
                                http::verb::delete_ };

std::string
WithoutQuotes(std::string_view aTag)
{
  if (aTag.size() >= 2 && aTag.starts_with('"') && aTag.ends_with('"')) {
    aTag = aTag.substr(1, aTag.size() - 2);
  }
  return std::string(aTag);
}

/// One connection for one exchange; each step runs to its end or its timeout.
class Exchange
{
public:
  explicit Exchange(Milliseconds aTimeout)
    : timeout(aTimeout)
  {
  }

  ErrorCodeOfSystem Connect(const Endpoint& aServer)
  {
    ErrorCodeOfSystem error;
    const auto address = asio::ip::make_address(aServer.address, error);
    if (error) {
      return error;
    }
    this->stream.expires_after(std::min(kConnectTimeout, this->timeout));
    this->stream.async_connect(asio::ip::tcp::endpoint(address, aServer.port),
                               [&error](const ErrorCodeOfSystem& aError) { error = aError; });
    this->Run();
    this->stream.expires_after(this->timeout);
    return error;
  }

  ErrorCodeOfSystem Write(const http::request<http::string_body>& aRequest)
  {
    ErrorCodeOfSystem error;
    http::async_write(
      this->stream, aRequest, [&error](const ErrorCodeOfSystem& aError, std::size_t /*aCount*/) {
        error = aError;
      });
    this->Run();
    return error;
  }

  ErrorCodeOfSystem Read(http::response_parser<http::string_body>& aParser)
  {
    ErrorCodeOfSystem error;
    beast::flat_buffer buffer(kReadBufferBytes);
    http::async_read(
      this->stream,
      buffer,
      aParser,
      [&error](const ErrorCodeOfSystem& aError, std::size_t /*aCount*/) { error = aError; });
    this->Run();
    return error;
  }

private:
  void Run()
  {
    this->context.restart();
    this->context.run();
  }

  Milliseconds timeout;
  asio::io_context context;
  beast::tcp_stream stream{ this->context };
};

http::request<http::string_body>
MessageOf(const Endpoint& aServer, const HttpRequest& aRequest)
{
  http::request<http::string_body> message(
    kVerbs.at(static_cast<std::size_t>(aRequest.method)), aRequest.target, kHttpVersion);
  message.set(http::field::host, fmt::format("{}:{}", aServer.address, aServer.port));
  message.set(http::field::connection, "close");
  for (const auto& field : aRequest.fields) {
    message.set(field.name, field.value);
  }
  message.body() = aRequest.body;
  message.prepare_payload();
  return message;
}

Verdict
LostReply(const Endpoint& aServer, const ErrorCodeOfSystem& aError)
{
  const auto code = aError == beast::error::timeout ? ErrorCode::Timeout : ErrorCode::Unavailable;
  const auto reason =
    aError == http::error::buffer_overflow
      ? fmt::format("a chunk extension or trailer is larger than {} bytes", kReadBufferBytes)
      : aError.message();
  return MayHaveRun(
    code, fmt::format("No answer came from {}:{}: {}.", aServer.address, aServer.port, reason));
}

}

Result<HttpResponse>
TcpTransport::Send(const Endpoint& aServer, const HttpRequest& aRequest, Milliseconds aTimeout)
{
  Exchange exchange(aTimeout);
  if (const auto error = exchange.Connect(aServer)) {
    return NotRun(
      ErrorCode::Unavailable,
      fmt::format("No connection to {}:{}: {}.", aServer.address, aServer.port, error.message()));
  }
  if (const auto error = exchange.Write(MessageOf(aServer, aRequest))) {
    return LostReply(aServer, error);
  }
  http::response_parser<http::string_body> parser;
  parser.header_limit(kMaxHeadBytes);
  parser.body_limit(kMaxResponseBytes);
  if (const auto error = exchange.Read(parser)) {
    return LostReply(aServer, error);
  }
  auto message = parser.release();
  return HttpResponse{ .status = static_cast<int>(message.result_int()),
                       .entityTag = WithoutQuotes(message[http::field::etag]),
                       .body = std::move(message.body()) };
}

}
