#include <LibTraffic/HttpServer.h>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace zinc {

namespace {

using Tcp = boost::asio::ip::tcp;

/// A server on a thread of its own that echoes path and body.
class HttpServerTest : public testing::Test
{
protected:
  void SetUp() override
  {
    const HttpServerOptions options{ .listen = { .address = "127.0.0.1", .port = 0 },
                                     .maxBodyBytes = 64,
                                     .readTimeout = Milliseconds(200),
                                     .idleTimeout = Milliseconds(2000) };
    auto created =
      HttpServer::Create(this->context, options, [](IncomingRequest aRequest, Respond aRespond) {
        if (aRequest.path == "/busy") {
          aRespond({ .status = 429, .retryAfter = Milliseconds(4321) });
          return;
        }
        aRespond({ .body = aRequest.path + "|" + aRequest.bearer + "|" +
                           std::string(aRequest.Query("q").value_or("-")) + "|" + aRequest.body });
        aRespond({ .body = "a second answer" });
      });
    ASSERT_FALSE(IsError(created));
    this->server = ValueOf(created);
    this->thread = std::jthread([this] { this->context.run(); });
  }

  void TearDown() override
  {
    this->context.stop();
    this->thread.join();
  }

  /// Sends raw bytes and returns all that comes back until the server closes.
  std::string Exchange(std::string_view aBytes)
  {
    boost::asio::io_context clientContext;
    Tcp::socket socket(clientContext);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), this->server->Port() });
    boost::asio::write(socket, boost::asio::buffer(aBytes));
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  boost::asio::io_context context;
  std::shared_ptr<HttpServer> server;
  std::jthread thread;
};

TEST_F(HttpServerTest, AnswersEachRequestOnceAndInOrder)
{
  const auto answer = this->Exchange("POST /a?q=x%20y HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                                     "k.s\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\nHost: "
                                     "h\r\nConnection: close\r\n\r\n");
  const auto first = answer.find("/a|k.s|x y|hi");
  const auto second = answer.find("/b||-|");
  EXPECT_NE(first, std::string::npos);
  EXPECT_NE(second, std::string::npos);
  EXPECT_LT(first, second);
  EXPECT_EQ(answer.find("a second answer"), std::string::npos);
}

// Load: refused callers. Guards against callers that are not told when to return, or too early.
TEST_F(HttpServerTest, SendsTheRetryDelayInSecondsRoundedUp)
{
  const auto answer = this->Exchange("POST /busy HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 429 ")) << answer;
  EXPECT_NE(answer.find("\r\nRetry-After: 5\r\n"), std::string::npos) << answer;
}

TEST_F(HttpServerTest, RefusesBadRequestsAsNotRun)
{
  const struct
  {
    std::string_view bytes;
    std::string_view status;
    std::string_view code;
  } cases[] = {
    { "nonsense\r\n\r\n", "400", "bad_request" },
    { "PATCH / HTTP/1.1\r\nHost: h\r\n\r\n", "400", "bad_request" },
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", "413", "payload_too_large" },
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab", "408", "timeout" },
    { "GET / HT", "408", "timeout" },
  };
  for (const auto& testCase : cases) {
    const auto answer = this->Exchange(testCase.bytes);
    EXPECT_NE(answer.find(testCase.status), std::string::npos) << testCase.bytes;
    EXPECT_NE(answer.find(testCase.code), std::string::npos) << testCase.bytes;
    EXPECT_NE(answer.find("not run"), std::string::npos) << testCase.bytes;
  }
}

// Guards against a parser that keeps trailers and chunk extensions without bound until they end.
TEST_F(HttpServerTest, RefusesTrailersAndChunkExtensionsBeyondTheBoundOfAHeader)
{
  const std::string header = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filler(40'000, 'a');
  for (const auto& begin : { header + "0\r\nX-Field: ", header + "1;a=" }) {
    const auto answer = this->Exchange(begin + filler);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 413 ")) << begin;
    EXPECT_NE(answer.find("not run"), std::string::npos) << begin;
  }
  const auto answer = this->Exchange("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nhi\r\n0\r\n"
                                     "X-Field: c\r\n\r\n");
  EXPECT_NE(answer.find("/a||-|hi"), std::string::npos) << answer;
}

TEST_F(HttpServerTest, AppliesChangedLimitsToTheNextRequest)
{
  const auto request = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 65"
                       "\r\n\r\n" +
                       std::string(65, 'a');
  EXPECT_TRUE(this->Exchange(request).starts_with("HTTP/1.1 413 "));
  this->server->SetRequestLimits(65, 1000);
  EXPECT_TRUE(this->Exchange(request).starts_with("HTTP/1.1 200 "));
}

TEST_F(HttpServerTest, DrainClosesTheConnectionAfterItsAnswer)
{
  this->server->Drain();
  EXPECT_EQ(this->server->OpenRequests(), 0U);
}

TEST(HttpServer, ReportsAnAddressThatCannotBeUsed)
{
  boost::asio::io_context context;
  const auto created = HttpServer::Create(
    context, { .listen = { .address = "not an address", .port = 1 } }, [](auto, auto) {});
  ASSERT_TRUE(IsError(created));
  EXPECT_EQ(ErrorOf(created).run, RunState::NotRun);
}

}

}
