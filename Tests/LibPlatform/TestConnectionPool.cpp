#include <LibPlatform/HttpClient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace zinc {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// A client whose connections run on the test's own thread, against sockets that the test holds.
class ConnectionPool : public testing::Test
{
protected:
  ConnectionPool()
    : acceptor(this->peer, { asio::ip::make_address("127.0.0.1"), 0 })
    , client(ValueOf(
        HttpClient::Create({ .endpoints = { { .address = "127.0.0.1",
                                              .port = this->acceptor.local_endpoint().port() } },
                             .traffic = this->traffic,
                             .control = this->traffic.get_executor() })))
  {
  }

  void Send()
  {
    this->client->Send([] { return HttpRequest{ .target = "/" }; },
                       Milliseconds{ 0 },
                       [this](const Result<HttpReply>& aReply) {
                         return [this, isAnswered = !IsError(aReply)] {
                           this->answered += isAnswered ? 1 : 0;
                         };
                       });
  }

  /// Lets the client work until nothing is left to do at once.
  void Settle()
  {
    constexpr int kRounds = 50;
    for (int round = 0; round < kRounds; ++round) {
      this->traffic.restart();
      this->traffic.poll();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  static bool ReadRequest(Tcp::socket& aSocket)
  {
    boost::system::error_code error;
    if (aSocket.available(error) == 0) {
      return false;
    }
    asio::streambuf buffer;
    asio::read_until(aSocket, buffer, "\r\n\r\n", error);
    return !error;
  }

  static void Reply(Tcp::socket& aSocket)
  {
    asio::write(aSocket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  }

  asio::io_context peer;
  asio::io_context traffic;
  Tcp::acceptor acceptor;
  std::shared_ptr<HttpClient> client;
  int answered = 0;
};

}

// The pattern: several idle connections, of which the one used last was closed by the other end.
TEST_F(ConnectionPool, SendsARequestOnceWhenAnIdleConnectionTurnsOutToBeClosed)
{
  constexpr std::size_t kConnections = 3;
  std::vector<Tcp::socket> sockets;
  for (std::size_t index = 0; index < kConnections; ++index) {
    this->Send();
  }
  this->Settle();
  for (std::size_t index = 0; index < kConnections; ++index) {
    sockets.push_back(this->acceptor.accept());
  }
  this->Settle();
  for (auto& socket : sockets) {
    ASSERT_TRUE(ReadRequest(socket));
    Reply(socket);
    this->Settle();
  }
  ASSERT_EQ(this->answered, 3);
  sockets.back().close();
  this->Send();
  this->Settle();
  std::size_t requests = 0;
  for (auto& socket : sockets) {
    if (socket.is_open() && ReadRequest(socket)) {
      ++requests;
      Reply(socket);
    }
  }
  this->Settle();
  EXPECT_EQ(requests, 1U);
  EXPECT_EQ(this->answered, 4);
}

}
