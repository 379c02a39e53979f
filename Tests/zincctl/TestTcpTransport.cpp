#include <LibClient/TcpTransport.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <string_view>
#include <thread>

namespace zinc {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// What the peer tries to send beyond the start of its reply.
constexpr std::size_t kFloodBytes = std::size_t{ 16 } << 20;
constexpr std::size_t kPieceBytes = std::size_t{ 16 } << 10;
/// Room of the system on the way.
constexpr int kSocketBufferBytes = 64 << 10;
/// What may leave the peer before the client gives up, with what the system holds on the way.
constexpr std::size_t kMaxSentBytes = std::size_t{ 2 } << 20;
constexpr std::string_view kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Replies to one request with a start and filler, until the client closes the connection.
class FloodingPeer
{
public:
  explicit FloodingPeer(std::string aStart)
    : start(std::move(aStart))
    , thread([this] { this->Serve(); })
  {
  }

  [[nodiscard]] Endpoint Address() const
  {
    return { .address = "127.0.0.1", .port = this->acceptor.local_endpoint().port() };
  }

  /// Waits until the peer has ended. @return bytes of filler that were sent.
  std::size_t SentBytes()
  {
    this->thread.join();
    return this->sent;
  }

private:
  void Serve()
  {
    Tcp::socket socket = this->acceptor.accept();
    boost::system::error_code error;
    socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes), error);
    asio::streambuf request;
    asio::read_until(socket, request, "\r\n\r\n", error);
    asio::write(socket, asio::buffer(this->start), error);
    const std::string piece(kPieceBytes, 'a');
    while (!error && this->sent < kFloodBytes) {
      this->sent += asio::write(socket, asio::buffer(piece), error);
    }
  }

  std::string start;
  asio::io_context context;
  Tcp::acceptor acceptor{ this->context, { asio::ip::make_address("127.0.0.1"), 0 } };
  std::size_t sent = 0;
  std::jthread thread;
};

/// Sends a request to a peer whose reply has no end, and checks that the client gives up.
void
ExpectGivenUp(std::string_view aStart)
{
  FloodingPeer peer{ std::string(aStart) };
  TcpTransport transport;
  const auto reply = transport.Send(peer.Address(), { .target = "/" }, Milliseconds{ 60000 });
  EXPECT_LE(peer.SentBytes(), kMaxSentBytes);
  ASSERT_TRUE(IsError(reply));
  EXPECT_EQ(ErrorOf(reply).run, RunState::MayHaveRun);
  EXPECT_TRUE(
    ErrorOf(reply).message.ends_with("a chunk extension or trailer is larger than 73728 bytes."))
    << ErrorOf(reply).message;
}

}

// The failure: an instance fills the command line's memory with a trailer that has no end.
TEST(TcpTransport, GivesUpATrailerWithoutEnd)
{
  ExpectGivenUp(std::string(kChunkedHead) + "2\r\nok\r\n0\r\nX-Trailer: ");
}

// The failure: an instance fills the command line's memory with a chunk extension without end.
TEST(TcpTransport, GivesUpAChunkExtensionWithoutEnd)
{
  ExpectGivenUp(std::string(kChunkedHead) + "2;name=");
}

}
