#include "ScriptedPeer.h"

#include <LibInstanceCalls/InstanceCalls.h>
#include <gtest/gtest.h>
#include <json/json.h>

namespace zinc::platform::test {

namespace {

constexpr unsigned kBusy = 429;
constexpr std::uint64_t kDocumentVersion = 7;

/// Client and server of the calls between instances, connected by a socket.
class InstanceCallTest : public AdapterFixture
{
protected:
  InstanceCallTest()
    : server(
        { .checkStore =
            [this](const cell::Handler<bool>& aHandler) { aHandler(this->isStoreReachable); },
          .onLeaderResigned =
            [this](cell::Resignation aResignation) { this->resignation = std::move(aResignation); },
          .documentVersion = [] { return kDocumentVersion; },
          .handleForwarded =
            [this](const IncomingRequest& aRequest, const Respond& aRespond) {
              this->received = aRequest;
              aRespond({ .status = kBusy,
                         .body = R"({"error":"full"})",
                         .retryAfter = Milliseconds{ 700 } });
            } })
    , peer([this](const ReceivedRequest& aRequest) { return this->Serve(aRequest); })
    , client(this->OptionsFor(this->peer))
    , endpoint{ "127.0.0.1", this->peer.Port() }
  {
  }

  ScriptedPeer::Reply Serve(const ReceivedRequest& aRequest)
  {
    ScriptedPeer::Reply reply;
    this->server.Handle({ .path = aRequest.target, .body = aRequest.body },
                        [&reply](const OutgoingResponse& aResponse) {
                          reply = { .status = aResponse.status, .body = aResponse.body };
                        });
    return reply;
  }

  bool isStoreReachable = false;
  IncomingRequest received;
  cell::Resignation resignation;
  InstanceCallServer server;
  ScriptedPeer peer;
  InstanceCallClient client;
  Endpoint endpoint;
};

}

TEST_F(InstanceCallTest, ReportsWhetherTheInstanceReachesTheStore)
{
  for (const bool isReachable : { false, true }) {
    this->isStoreReachable = isReachable;
    const auto result = this->Await<bool>(
      [&](auto aHandler) { this->client.ProbeStore(this->endpoint, std::move(aHandler)); });
    ASSERT_FALSE(IsError(result));
    EXPECT_EQ(ValueOf(result), isReachable);
  }
}

TEST_F(InstanceCallTest, ForwardsARequestAndItsResponseUnchanged)
{
  const IncomingRequest request{ .method = RequestMethod::Delete,
                                 .path = "/queue/00ff",
                                 .bearer = "key-1",
                                 .host = "jobs.example",
                                 .body = R"({"text":"\u00e4"})" };
  const ForwardedRequest forwarded{ .request = request, .minDocumentVersion = kDocumentVersion };
  const auto result = this->Await<ForwardedResponse>([&](auto aHandler) {
    this->client.ForwardRequest(this->endpoint, forwarded, std::move(aHandler));
  });
  ASSERT_FALSE(IsError(result));
  EXPECT_EQ(ValueOf(result).documentVersion, kDocumentVersion);
  const auto& response = ValueOf(result).response;
  EXPECT_EQ(response.status, kBusy);
  EXPECT_EQ(response.body, R"({"error":"full"})");
  EXPECT_EQ(response.retryAfter, Milliseconds{ 700 });
  EXPECT_EQ(this->received.method, request.method);
  EXPECT_EQ(this->received.path, request.path);
  EXPECT_EQ(this->received.bearer, request.bearer);
  EXPECT_EQ(this->received.host, request.host);
  EXPECT_EQ(this->received.body, request.body);
}

TEST_F(InstanceCallTest, RejectsAForwardedRequestThatNeedsANewerDocument)
{
  const ForwardedRequest forwarded{ .request = { .path = "/queue/00ff" },
                                    .minDocumentVersion = kDocumentVersion + 1 };
  const auto result = this->Await<ForwardedResponse>([&](auto aHandler) {
    this->client.ForwardRequest(this->endpoint, forwarded, std::move(aHandler));
  });
  ASSERT_TRUE(IsError(result));
  EXPECT_EQ(ErrorOf(result).code, ErrorCode::StaleVersion);
  EXPECT_EQ(ErrorOf(result).run, RunState::NotRun);
  EXPECT_TRUE(this->received.path.empty());
}

TEST_F(InstanceCallTest, DeliversAResignation)
{
  const cell::Resignation resignation{ .token = 42, .workers = { "w1", "w2" } };
  const auto result = this->Await<Done>([&](auto aHandler) {
    this->client.SendResignation(this->endpoint, resignation, std::move(aHandler));
  });
  ASSERT_FALSE(IsError(result));
  EXPECT_EQ(this->resignation.token, resignation.token);
  EXPECT_EQ(this->resignation.workers, resignation.workers);
}

TEST_F(InstanceCallTest, RejectsAMalformedCall)
{
  EXPECT_EQ(this->Serve({ .method = "POST", .target = "/instance/call", .body = "{}" }).status,
            400U);
}

}
