#include <LibPeer/PeerClient.h>
#include <LibPeer/PeerServer.h>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <gtest/gtest.h>
#include <string_view>
#include <sys/resource.h>
#include <unistd.h>

namespace zinc {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kMiB = std::size_t{ 1 } << 20;
constexpr std::size_t kHeaderBytes = 4;
/// Room of the system at the peers.
constexpr int kSocketBufferBytes = 64 << 10;
/// Calls that one connection tries to have outstanding.
constexpr std::size_t kCalls = 64;
constexpr std::string_view kDocumentCall =
  R"({"jsonrpc":"2.0","id":1,"method":"document","params":{"message":{}}})";

/// Gives a document of 1 MiB and counts how often.
class CountingHandler final : public PeerHandler
{
public:
  PeerBeat OnBeat(const PeerBeat& aBeat) override { return aBeat; }
  Result<Done> OnNotices(NoticeBatch) override { return Done{}; }

  DocumentCopy OnDocumentAsked() override
  {
    ++this->documents;
    return { .version = 1, .yaml = std::string(kMiB, 'y') };
  }

  std::size_t documents = 0;
};

std::string
HeaderOf(std::uint32_t aBytes)
{
  std::string header;
  for (int shift = 24; shift >= 0; shift -= 8) {
    header += static_cast<char>((aBytes >> shift) & 0xff);
  }
  return header;
}

std::string
FrameOf(std::string_view aMessage)
{
  return HeaderOf(static_cast<std::uint32_t>(aMessage.size())) + std::string(aMessage);
}

/// @return physical memory of this process, in bytes.
std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// A server on the test's own thread, and peers that send raw bytes.
class PeerLimits : public testing::Test
{
protected:
  PeerLimits()
    : server(ValueOf(PeerServer::Create({ .listen = { .address = "127.0.0.1", .port = 0 },
                                          .traffic = this->traffic,
                                          .control = this->control.get_executor() },
                                        this->handler)))
  {
  }

  ~PeerLimits() override
  {
    this->server->Stop();
    this->Poll();
  }

  void Poll()
  {
    this->traffic.restart();
    this->traffic.poll();
    this->control.restart();
    this->control.poll();
    this->traffic.restart();
    this->traffic.poll();
  }

  Tcp::socket Connect()
  {
    Tcp::socket socket(this->peers, Tcp::v4());
    socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes));
    socket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes));
    socket.connect({ asio::ip::make_address("127.0.0.1"), this->server->Port() });
    socket.non_blocking(true);
    return socket;
  }

  /// Writes while the server works. @return false if the server has closed the connection.
  bool Write(Tcp::socket& aSocket, std::string_view aBytes)
  {
    boost::system::error_code error;
    while (!aBytes.empty() && (!error || error == asio::error::would_block)) {
      aBytes.remove_prefix(aSocket.write_some(asio::buffer(aBytes), error));
      this->Poll();
    }
    return aBytes.empty();
  }

  /// Reads while the server works. @return what came until the server closed the connection.
  std::string Read(Tcp::socket& aSocket, std::size_t aBytes)
  {
    std::string text(aBytes, '\0');
    std::size_t count = 0;
    boost::system::error_code error;
    while (count < aBytes && (!error || error == asio::error::would_block)) {
      count += aSocket.read_some(asio::buffer(&text[count], aBytes - count), error);
      this->Poll();
    }
    text.resize(count);
    return text;
  }

  /// @return the reply to a frame, empty if the server has closed the connection.
  std::string Call(Tcp::socket& aSocket, std::string_view aMessage)
  {
    if (!this->Write(aSocket, FrameOf(aMessage))) {
      return {};
    }
    return this->ReadReply(aSocket);
  }

  std::string ReadReply(Tcp::socket& aSocket)
  {
    const std::string header = this->Read(aSocket, kHeaderBytes);
    if (header.size() < kHeaderBytes) {
      return {};
    }
    std::size_t size = 0;
    for (const char byte : header) {
      size = (size << 8) | static_cast<unsigned char>(byte);
    }
    return this->Read(aSocket, size);
  }

  static bool IsClosed(Tcp::socket& aSocket)
  {
    char byte = 0;
    boost::system::error_code error;
    aSocket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block;
  }

  asio::io_context peers;
  asio::io_context traffic;
  asio::io_context control;
  CountingHandler handler;
  std::shared_ptr<PeerServer> server;
};

}

// The failure: eight headers of four bytes cost the server 128 MiB.
TEST_F(PeerLimits, AnAnnouncedMessageTakesMemoryAsItsBytesArrive)
{
  constexpr std::size_t kPeers = 8;
  constexpr std::size_t kMaxGrowth = 16 * kMiB;
  auto witness = this->Connect();
  ASSERT_FALSE(this->Call(witness, "{}").empty());
  const auto before = ResidentBytes();
  std::vector<Tcp::socket> sockets;
  for (std::size_t index = 0; index < kPeers; ++index) {
    sockets.push_back(this->Connect());
    ASSERT_TRUE(this->Write(sockets.back(), HeaderOf(kPeerMessageBytesLimit)));
  }
  // What arrived before has been read once a later call is answered.
  ASSERT_FALSE(this->Call(witness, "{}").empty());
  EXPECT_LE(ResidentBytes(), before + kMaxGrowth);

  ASSERT_TRUE(this->Write(sockets.front(), std::string(kPeerMessageBytesLimit, ' ')));
  EXPECT_FALSE(this->ReadReply(sockets.front()).empty());
  ASSERT_TRUE(this->Write(sockets.back(), std::string(kPeerMessageBytesLimit, ' ')));
  EXPECT_FALSE(this->ReadReply(sockets.back()).empty());
}

// The failure: the server keeps every connection that anyone opens.
TEST_F(PeerLimits, ConnectionsAreBoundedAndThoseSilentForLongestAreClosed)
{
  constexpr std::size_t kOpened = 300;
  constexpr std::size_t kMaxKept = 256;
  auto peer = this->Connect();
  std::vector<Tcp::socket> silent;
  for (std::size_t index = 0; index < kOpened; ++index) {
    ASSERT_FALSE(this->Call(peer, "{}").empty());
    silent.push_back(this->Connect());
    this->Poll();
  }
  ASSERT_FALSE(this->Call(peer, "{}").empty());
  std::size_t open = 0;
  for (auto& socket : silent) {
    open += IsClosed(socket) ? 0 : 1;
  }
  EXPECT_EQ(open, kMaxKept - 1);
  EXPECT_TRUE(IsClosed(silent.front()));
  EXPECT_FALSE(IsClosed(silent.back()));
}

// The failure: without descriptors left the server tries to accept again and again, without end.
TEST_F(PeerLimits, AFailedAcceptIsTriedAgainAfterAWhile)
{
  constexpr std::size_t kSteps = 1000;
  constexpr std::size_t kMaxSteps = 20;
  auto socket = this->Connect();
  rlimit saved{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &saved), 0);
  const int next = ::dup(STDERR_FILENO);
  ASSERT_EQ(::close(next), 0);
  rlimit none = saved;
  none.rlim_cur = static_cast<rlim_t>(next);
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none), 0);
  this->traffic.restart();
  std::size_t steps = 0;
  while (steps < kSteps && this->traffic.poll_one() == 1) {
    ++steps;
  }
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &saved), 0);
  EXPECT_GE(steps, 1U);
  EXPECT_LE(steps, kMaxSteps);
  EXPECT_FALSE(this->Call(socket, "{}").empty());
}

// The failure: the replies to a peer that does not read wait in memory, as many as it asks for.
TEST_F(PeerLimits, APeerThatDoesNotReadIsNotReadFrom)
{
  constexpr std::size_t kMaxAnswered = 16;
  auto socket = this->Connect();
  std::string calls;
  for (std::size_t index = 0; index < kCalls; ++index) {
    calls += FrameOf(kDocumentCall);
  }
  ASSERT_TRUE(this->Write(socket, calls));
  auto witness = this->Connect();
  ASSERT_FALSE(this->Call(witness, "{}").empty());
  EXPECT_LE(this->handler.documents, kMaxAnswered);
  for (std::size_t index = 0; index < kCalls; ++index) {
    ASSERT_GT(this->ReadReply(socket).size(), kMiB) << index;
  }
  EXPECT_EQ(this->handler.documents, kCalls);
}

// The failure: calls that the control thread has not come to wait in memory, however many.
TEST_F(PeerLimits, CallsWaitAtThePeerWhileOneIsHandled)
{
  constexpr std::size_t kMaxTaken = 24 * kMiB;
  auto socket = this->Connect();
  const auto call = FrameOf(std::string(kMiB, ' '));
  std::size_t taken = 0;
  boost::system::error_code error;
  std::size_t refusals = 0;
  constexpr std::size_t kMaxRefusals = 100;
  while (taken < kCalls * call.size() && refusals < kMaxRefusals) {
    this->traffic.restart();
    this->traffic.poll();
    const auto offset = taken % call.size();
    taken += socket.write_some(asio::buffer(call.data() + offset, call.size() - offset), error);
    refusals = error ? refusals + 1 : 0;
  }
  EXPECT_EQ(error, asio::error::would_block);
  EXPECT_LE(taken, kMaxTaken);
}

// The failure: calls to a peer that does not read wait in memory, however many.
TEST(PeerClientLimits, CallsBeyondTheLimitAreRefusedAsNotRun)
{
  constexpr std::size_t kMaxWaiting = 32;
  asio::io_context context;
  Tcp::acceptor silent(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const auto client = ValueOf(
    PeerClient::Create({ .peer = { .address = "127.0.0.1", .port = silent.local_endpoint().port() },
                         .traffic = context,
                         .control = context.get_executor(),
                         .callTimeout = Milliseconds{ 60000 } }));
  NoticeBatch batch{ .from = { "e" }, .to = { "f" }, .sequence = 1 };
  batch.notices.emplace_back(TaskEnded{ .result = std::string(kMiB, 'r') });
  std::vector<Verdict> refused;
  for (std::size_t index = 0; index < kCalls; ++index) {
    client->Deliver(batch, [&](const Result<Done>& aReply) { refused.push_back(ErrorOf(aReply)); });
  }
  context.poll();
  EXPECT_GE(refused.size(), kCalls - kMaxWaiting);
  EXPECT_LT(refused.size(), kCalls);
  for (const Verdict& verdict : refused) {
    EXPECT_EQ(verdict.code, ErrorCode::Overloaded);
    EXPECT_EQ(verdict.run, RunState::NotRun);
  }
  const auto atOnce = refused.size();
  client->Close();
  context.poll();
  ASSERT_EQ(refused.size(), kCalls);
  EXPECT_EQ(refused.at(atOnce).run, RunState::MayHaveRun);
}

}
