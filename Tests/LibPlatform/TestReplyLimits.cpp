#include <LibPlatform/HttpClient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <optional>
#include <string_view>
#include <thread>

namespace zinc {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// What the peer tries to send beyond the start of its reply.
constexpr std::size_t kFloodBytes = std::size_t{ 4 } << 20;
constexpr std::size_t kPieceBytes = std::size_t{ 16 } << 10;
/// What the client may take before it gives up, with what the system holds on the way.
constexpr std::size_t kMaxTakenBytes = std::size_t{ 128 } << 10;
constexpr std::size_t kReplyLimit = std::size_t{ 32 } << 10;
constexpr std::string_view kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A client whose connections run on the test's own thread, against a peer that sends raw bytes.
class ReplyLimits : public testing::Test
{
protected:
  ReplyLimits()
    : acceptor(this->peer, { asio::ip::make_address("127.0.0.1"), 0 })
    , client(ValueOf(
        HttpClient::Create({ .endpoints = { { .address = "127.0.0.1",
                                              .port = this->acceptor.local_endpoint().port() } },
                             .connections = 1,
                             .replyLimit = kReplyLimit,
                             .requestTimeout = Milliseconds{ 60000 },
                             .traffic = this->traffic,
                             .control = this->traffic.get_executor() })))
  {
  }

  void Poll()
  {
    this->traffic.restart();
    this->traffic.poll();
  }

  /// Sends a request and reads it at the peer. @return the peer's end of the connection.
  Tcp::socket ReceiveRequest()
  {
    this->reply.reset();
    this->client->Send([] { return HttpRequest{ .target = "/" }; },
                       Milliseconds{ 0 },
                       [this](Result<HttpReply> aReply) {
                         return [this, received = std::move(aReply)] { this->reply = received; };
                       });
    Tcp::socket socket(this->peer);
    this->acceptor.non_blocking(true);
    boost::system::error_code error = asio::error::would_block;
    while (error == asio::error::would_block) {
      this->Poll();
      this->acceptor.accept(socket, error);
    }
    while (socket.available() == 0) {
      this->Poll();
    }
    asio::streambuf buffer;
    asio::read_until(socket, buffer, "\r\n\r\n");
    return socket;
  }

  /// Sends the start of a reply and then filler, for as long as the client takes it.
  /// @return bytes of filler that were taken, at most kFloodBytes.
  std::size_t Flood(Tcp::socket& aSocket, std::string_view aStart)
  {
    asio::write(aSocket, asio::buffer(aStart));
    aSocket.non_blocking(true);
    const std::string piece(kPieceBytes, 'a');
    boost::system::error_code error;
    std::size_t taken = 0;
    while (taken < kFloodBytes && (!error || error == asio::error::would_block)) {
      this->Poll();
      taken += aSocket.write_some(asio::buffer(piece), error);
    }
    this->Poll();
    return taken;
  }

  /// Floods the client in the middle of a reply, and checks that it gives up and works on.
  void ExpectGivenUp(std::string_view aStart, std::string_view aMessage)
  {
    auto socket = this->ReceiveRequest();
    EXPECT_LE(this->Flood(socket, aStart), kMaxTakenBytes);
    ASSERT_TRUE(this->reply.has_value());
    ASSERT_TRUE(IsError(*this->reply));
    EXPECT_EQ(ErrorOf(*this->reply).run, RunState::MayHaveRun);
    EXPECT_EQ(ErrorOf(*this->reply).message, aMessage);
    auto next = this->ReceiveRequest();
    asio::write(next, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
    while (!this->reply) {
      this->Poll();
    }
    ASSERT_FALSE(IsError(*this->reply));
    EXPECT_EQ(ValueOf(*this->reply).body, "ok");
  }

  asio::io_context peer;
  asio::io_context traffic;
  Tcp::acceptor acceptor;
  std::shared_ptr<HttpClient> client;
  std::optional<Result<HttpReply>> reply;
};

constexpr std::string_view kFramingTooLong =
  "A chunk extension or trailer of the reply is larger than 10240 bytes.";

}

// The failure: a peer fills the client's memory with a trailer that has no end.
TEST_F(ReplyLimits, GivesUpATrailerWithoutEnd)
{
  this->ExpectGivenUp(std::string(kChunkedHead) + "2\r\nok\r\n0\r\nX-Trailer: ", kFramingTooLong);
}

// The failure: a peer fills the client's memory with a chunk extension that has no end.
TEST_F(ReplyLimits, GivesUpAChunkExtensionWithoutEnd)
{
  this->ExpectGivenUp(std::string(kChunkedHead) + "2;name=", kFramingTooLong);
}

// The failure: what went wrong cannot be told from a connection that was lost.
TEST_F(ReplyLimits, SaysThatAHeadIsTooLong)
{
  this->ExpectGivenUp("HTTP/1.1 200 OK\r\nX-Field: ",
                      "The reply's head is larger than 8192 bytes.");
}

// The failure: what went wrong cannot be told from a connection that was lost.
TEST_F(ReplyLimits, SaysThatABodyIsTooLong)
{
  constexpr std::string_view kBodyTooLong = "The reply's body is larger than 32768 bytes.";
  this->ExpectGivenUp("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", kBodyTooLong);
  this->ExpectGivenUp("HTTP/1.1 200 OK\r\n\r\n", kBodyTooLong);
  this->ExpectGivenUp(std::string(kChunkedHead) + "8001\r\n", kBodyTooLong);
}

TEST_F(ReplyLimits, TakesABodyOfTheLimitInChunksWithExtensionsAndTrailers)
{
  auto socket = this->ReceiveRequest();
  std::string text(kChunkedHead);
  for (std::size_t bytes = 0; bytes < kReplyLimit; bytes += kPieceBytes / 4) {
    text += "1000;name=" + std::string(kPieceBytes / 4, 'e') + "\r\n" +
            std::string(kPieceBytes / 4, 'b') + "\r\n";
  }
  text += "0\r\nX-Trailer: " + std::string(kPieceBytes / 4, 't') + "\r\n\r\n";
  asio::write(socket, asio::buffer(text));
  while (!this->reply) {
    this->Poll();
  }
  ASSERT_FALSE(IsError(*this->reply)) << ErrorOf(*this->reply).message;
  EXPECT_EQ(ValueOf(*this->reply).body, std::string(kReplyLimit, 'b'));
}

}
