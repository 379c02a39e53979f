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

  /// @param aConnection the only connection to send on, if set
  void Send(std::optional<std::uint64_t> aConnection = {})
  {
    this->client->Send(
      [aConnection] { return HttpRequest{ .target = "/", .connection = aConnection }; },
      Milliseconds{ 0 },
      [this](const Result<HttpReply>& aReply) {
        return [this, aReply] {
          if (IsError(aReply)) {
            this->failures.push_back(ErrorOf(aReply).run);
            return;
          }
          ++this->answered;
          this->lastConnection = ValueOf(aReply).connection;
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
  /// The connection of the last reply.
  std::uint64_t lastConnection = 0;
  std::vector<RunState> failures;
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

// Guards against a request that is meant for one process and reaches the next one at its address.
TEST_F(ConnectionPool, SendsARequestForOneConnectionOnNoOther)
{
  this->Send();
  this->Settle();
  auto first = this->acceptor.accept();
  this->Settle();
  ASSERT_TRUE(ReadRequest(first));
  Reply(first);
  this->Settle();
  ASSERT_EQ(this->answered, 1);
  const auto connection = this->lastConnection;
  this->Send(connection);
  this->Settle();
  ASSERT_TRUE(ReadRequest(first));
  Reply(first);
  this->Settle();
  ASSERT_EQ(this->answered, 2);
  EXPECT_EQ(this->lastConnection, connection);
  first.close();
  this->Send(connection);
  this->Settle();
  EXPECT_EQ(this->failures, std::vector{ RunState::NotRun });
  this->Send();
  this->Settle();
  auto second = this->acceptor.accept();
  this->Settle();
  ASSERT_TRUE(ReadRequest(second));
  Reply(second);
  this->Settle();
  EXPECT_EQ(this->answered, 3);
  EXPECT_NE(this->lastConnection, connection);
}

}
