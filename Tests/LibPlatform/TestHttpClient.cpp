#include <LibPlatform/ClientFixture.h>
#include <LibPlatform/HttpClient.h>
#include <LibPlatform/HttpTable.h>
#include <StandIns/HttpServer.h>
#include <atomic>
#include <netinet/tcp.h>
#include <pcg_random.hpp>
#include <sys/socket.h>

namespace zinc {

namespace {

/// A client against a server whose replies the test writes.
class ScriptedServer : public ClientFixture
{
protected:
  ~ScriptedServer() override
  {
    this->standIns.Run([this] {
      this->calls.clear();
      this->server.reset();
    });
  }

  HttpOptions Serve(HttpServer::Handler aHandler)
  {
    const std::uint16_t port = this->standIns.Run([this, &aHandler] {
      auto created = HttpServer::Create({ .context = this->standIns.Context(),
                                          .listen = { .address = "127.0.0.1" },
                                          .handler = std::move(aHandler) });
      this->server = std::move(ValueOf(created));
      return this->server->Port();
    });
    return this->OptionsFor({ .address = "127.0.0.1", .port = port });
  }

  /// Commits against a server that always replies in this way.
  Result<CommitOutcome> CommitAnswered(unsigned aStatus, const std::string& aBody)
  {
    HttpOptions options =
      this->Serve([aStatus, aBody](const HttpCallPointer& aCall) { aCall->Reply(aStatus, aBody); });
    options.replyLimit = kReplyLimit;
    const auto table = ValueOf(HttpTable::Create(std::move(options)));
    return this->Await<CommitOutcome>(
      [&](auto aHandler) { table->Commit({}, std::move(aHandler)); });
  }

  static HttpClient::Encoder Get(const std::string& aTarget)
  {
    return [aTarget] { return HttpRequest{ .target = aTarget }; };
  }

  static constexpr std::size_t kReplyLimit = 10000;

  std::shared_ptr<HttpServer> server;
  /// Touched only on the thread of the stand-ins.
  std::vector<HttpCallPointer> calls;
};

}

TEST_F(ScriptedServer, RepliesThatCannotBeUnderstoodMayHaveRun)
{
  const std::string nested(kReplyLimit / 2, '[');
  const std::string oversized(kReplyLimit + 1, ' ');
  for (const std::string& body : { std::string(),
                                   std::string("{\"outcome\":\"commi"),
                                   std::string("{\"outcome\":1}"),
                                   std::string("{\"outcome\":\"other\"}"),
                                   std::string("[]"),
                                   std::string("\0\xff", 2),
                                   nested,
                                   oversized }) {
    for (const unsigned status : { 200U, 503U }) {
      const auto refused = this->CommitAnswered(status, body);
      ASSERT_TRUE(IsError(refused)) << body;
      EXPECT_EQ(ErrorOf(refused).run, RunState::MayHaveRun) << body;
    }
  }
}

TEST_F(ScriptedServer, VerdictOfTheServiceIsPassedOn)
{
  const auto refused = this->CommitAnswered(
    503, R"({"error":{"code":"overloaded","message":"m","run":"not run","retry_after_ms":70}})");
  ASSERT_TRUE(IsError(refused));
  EXPECT_EQ(ErrorOf(refused).code, ErrorCode::Overloaded);
  EXPECT_EQ(ErrorOf(refused).run, RunState::NotRun);
  EXPECT_EQ(ErrorOf(refused).retryAfter, Milliseconds(70));
}

TEST_F(ScriptedServer, EveryRequestGetsItsOwnReplyOverABoundedPool)
{
  constexpr std::size_t kRequests = 500;
  constexpr std::size_t kConnections = 7;
  std::atomic<std::size_t> most = 0;
  HttpOptions options = this->Serve([&](const HttpCallPointer& aCall) {
    most = std::max(most.load(), this->server->OpenConnections());
    this->calls.push_back(aCall);
    if (this->calls.size() < kConnections) {
      return;
    }
    // Replies leave in another order than their requests came.
    pcg32 random(this->calls.size());
    std::shuffle(this->calls.begin(), this->calls.end(), random);
    for (const HttpCallPointer& call : this->calls) {
      call->Reply(200, call->target.path);
    }
    this->calls.clear();
  });
  options.connections = kConnections;
  options.requestTimeout = Milliseconds(60000);
  const auto client = ValueOf(HttpClient::Create(std::move(options)));
  std::size_t answered = 0;
  std::size_t own = 0;
  // As many as fill whole rounds of replies.
  constexpr std::size_t kWhole = kRequests / kConnections * kConnections;
  for (std::size_t index = 0; index < kWhole; ++index) {
    const std::string target = "/" + std::to_string(index);
    client->Send(Get(target), Milliseconds(0), [&, target](const Result<HttpReply>& aReply) {
      const bool isOwn = !IsError(aReply) && ValueOf(aReply).body == target;
      return [&, isOwn] {
        ++answered;
        own += isOwn ? 1 : 0;
      };
    });
  }
  this->RunControl([&] { return answered == kWhole; });
  EXPECT_EQ(own, kWhole);
  EXPECT_EQ(most, kConnections);
}

TEST_F(ScriptedServer, TooManyWaitingRequestsAreRefusedAsNotRun)
{
  HttpOptions options =
    this->Serve([this](const HttpCallPointer& aCall) { this->calls.push_back(aCall); });
  options.connections = 1;
  options.queueLimit = 2;
  options.requestTimeout = kShortTimeout;
  const auto client = ValueOf(HttpClient::Create(std::move(options)));
  std::vector<Verdict> verdicts;
  constexpr std::size_t kRequests = 10;
  for (std::size_t index = 0; index < kRequests; ++index) {
    client->Send(Get("/"), Milliseconds(0), [&](const Result<HttpReply>& aReply) {
      return [&, verdict = ErrorOf(aReply)] { verdicts.push_back(verdict); };
    });
  }
  this->RunControl([&] { return verdicts.size() == kRequests; });
  std::size_t mayHaveRun = 0;
  std::size_t overloaded = 0;
  for (const Verdict& verdict : verdicts) {
    mayHaveRun += verdict.run == RunState::MayHaveRun ? 1 : 0;
    overloaded += verdict.code == ErrorCode::Overloaded ? 1 : 0;
  }
  const std::size_t served = this->standIns.Run([this] { return this->calls.size(); });
  EXPECT_EQ(mayHaveRun, served);
  EXPECT_GE(overloaded, kRequests - 3);
}

TEST_F(ScriptedServer, WaitingRequestFailsAtItsOwnDeadlineBehindOnesThatWaitLonger)
{
  constexpr Milliseconds kVeryLongWait{ 600000 };
  HttpOptions options =
    this->Serve([this](const HttpCallPointer& aCall) { this->calls.push_back(aCall); });
  options.connections = 1;
  options.requestTimeout = kShortTimeout;
  const auto client = ValueOf(HttpClient::Create(std::move(options)));
  const auto ignore = [](const Result<HttpReply>&) { return [] {}; };
  client->Send(Get("/"), kVeryLongWait, ignore);
  client->Send(Get("/"), kVeryLongWait, ignore);
  std::optional<Verdict> verdict;
  client->Send(Get("/"), Milliseconds(0), [&](const Result<HttpReply>& aReply) {
    return [&, error = ErrorOf(aReply)] { verdict = error; };
  });
  this->RunControl([&] { return verdict.has_value(); });
  EXPECT_EQ(verdict->run, RunState::NotRun);
  EXPECT_EQ(verdict->code, ErrorCode::Unavailable);
}

TEST_F(ScriptedServer, ClosedClientEndsWhatIsOutstanding)
{
  HttpOptions options =
    this->Serve([this](const HttpCallPointer& aCall) { this->calls.push_back(aCall); });
  options.requestTimeout = Milliseconds(600000);
  auto client = ValueOf(HttpClient::Create(std::move(options)));
  std::optional<Verdict> verdict;
  client->Send(Get("/"), Milliseconds(0), [&](const Result<HttpReply>& aReply) {
    return [&, error = ErrorOf(aReply)] { verdict = error; };
  });
  while (this->standIns.Run([this] { return this->calls.empty(); })) {
    std::this_thread::yield();
  }
  client.reset();
  this->RunControl([&] { return verdict.has_value(); });
  EXPECT_EQ(verdict->run, RunState::MayHaveRun);
}

TEST_F(ScriptedServer, NextAddressIsUsedWhenOneRefuses)
{
  HttpOptions options =
    this->Serve([](const HttpCallPointer& aCall) { aCall->Reply(200, "here"); });
  // Port 1 of the loopback refuses connections.
  options.endpoints.insert(options.endpoints.begin(), { .address = "127.0.0.1", .port = 1 });
  const auto client = ValueOf(HttpClient::Create(std::move(options)));
  std::optional<std::string> body;
  client->Send(Get("/"), Milliseconds(0), [&](const Result<HttpReply>& aReply) {
    return [&, text = ValueOf(aReply).body] { body = text; };
  });
  this->RunControl([&] { return body.has_value(); });
  EXPECT_EQ(body, "here");
}

TEST_F(ScriptedServer, AddressesMustBeIpNumbers)
{
  EXPECT_TRUE(IsError(HttpClient::Create(this->OptionsFor({ .address = "localhost" }))));
  HttpOptions none = this->OptionsFor({});
  none.endpoints.clear();
  EXPECT_TRUE(IsError(HttpClient::Create(std::move(none))));
}

// Guards against a request that arrives minutes after it was given up, because the system goes on
// sending it while the path to the service is cut.
TEST_F(ScriptedServer, UndeliveredRequestsAreDroppedInTime)
{
  HttpOptions options =
    this->Serve([](const HttpCallPointer& aCall) { aCall->Reply(200, "here"); });
  constexpr int kTimeout = 12'345;
  options.deliveryTimeout = Milliseconds(kTimeout);
  const auto client = ValueOf(HttpClient::Create(std::move(options)));
  bool isAnswered = false;
  client->Send(Get("/"), Milliseconds(0), [&](const Result<HttpReply>&) {
    return [&] { isAnswered = true; };
  });
  this->RunControl([&] { return isAnswered; });
  // The client does not show its sockets.
  constexpr int kDescriptors = 1024;
  int sockets = 0;
  for (int descriptor = 0; descriptor < kDescriptors; ++descriptor) {
    int timeout = 0;
    socklen_t size = sizeof(timeout);
    const bool isTcp = getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &size) == 0;
    sockets += isTcp && timeout == kTimeout ? 1 : 0;
  }
  EXPECT_EQ(sockets, 1);
}

}
