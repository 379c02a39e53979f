#include <LibPlatform/HttpClient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <optional>

namespace zinc {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// A client whose connections run on the test's own thread, against a peer that sends raw bytes.
class UnsolicitedReplies : public testing::Test
{
protected:
  UnsolicitedReplies()
  {
    this->acceptor.non_blocking(true);
    this->client = ValueOf(HttpClient::Create(
      { .endpoints = { { .address = "127.0.0.1", .port = this->acceptor.local_endpoint().port() } },
        .connections = 1,
        .traffic = this->traffic,
        .control = this->traffic.get_executor() }));
  }

  void Poll()
  {
    this->traffic.restart();
    this->traffic.poll();
  }

  void Send()
  {
    this->client->Send([] { return HttpRequest{ .target = "/" }; },
                       Milliseconds{ 0 },
                       [this](Result<HttpReply> aReply) {
                         return [this, received = std::move(aReply)] { this->reply = received; };
                       });
  }

  /// Accepts a connection if there is one.
  [[nodiscard]] bool Accept(Tcp::socket& aSocket)
  {
    boost::system::error_code error;
    this->acceptor.accept(aSocket, error);
    return !error;
  }

  asio::io_context traffic;
  asio::io_context peer;
  Tcp::acceptor acceptor{ this->peer, { asio::ip::make_address("127.0.0.1"), 0 } };
  std::shared_ptr<HttpClient> client;
  std::optional<Result<HttpReply>> reply;
};

}

// Guards against a request that gets the reply of another: the peer began to send a reply that
// nobody asked for, and the next request took its rest as its own.
TEST_F(UnsolicitedReplies, BelongToNoLaterRequest)
{
  this->Send();
  Tcp::socket first(this->peer);
  while (!this->Accept(first)) {
    this->Poll();
  }
  while (first.available() == 0) {
    this->Poll();
  }
  asio::streambuf request;
  asio::read_until(first, request, "\r\n\r\n");
  asio::write(first,
              asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
  while (!this->reply) {
    this->Poll();
  }
  asio::write(first, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n")));
  constexpr int kPolls = 1000;
  for (int poll = 0; poll < kPolls; ++poll) {
    this->Poll();
  }
  this->Send();
  Tcp::socket second(this->peer);
  bool isOnNewConnection = false;
  while (!isOnNewConnection && first.available() == 0) {
    this->Poll();
    isOnNewConnection = this->Accept(second);
  }
  EXPECT_TRUE(isOnNewConnection);
}

}
