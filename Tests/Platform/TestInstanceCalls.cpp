#include "ScriptedPeer.h"

#include <LibInstanceCalls/InstanceCalls.h>
#include <gtest/gtest.h>
#include <json/json.h>

namespace zinc::platform::test {

namespace {

constexpr unsigned kBusy = 429;
constexpr std::uint64_t kDocument = 7;

/// The two ends of the protocol between instances, on a socket.
class InstanceCallTest : public AdapterFixture
{
protected:
  InstanceCallTest()
    : server(
        { .askStore = [this](const cell::Handler<bool>& aHandler) { aHandler(this->reachesStore); },
          .resigned =
            [this](cell::Resignation aResignation) { this->resignation = std::move(aResignation); },
          .documentVersion = [] { return kDocument; },
          .call =
            [this](const IncomingRequest& aRequest, const Respond& aRespond) {
              this->received = aRequest;
              aRespond({ .status = kBusy,
                         .body = R"({"error":"full"})",
                         .retryAfter = Milliseconds{ 700 } });
            } })
    , peer([this](const ReceivedRequest& aRequest) { return this->Answer(aRequest); })
    , client(this->OptionsFor(this->peer))
    , endpoint{ "127.0.0.1", this->peer.Port() }
  {
  }

  ScriptedPeer::Reply Answer(const ReceivedRequest& aRequest)
  {
    ScriptedPeer::Reply reply;
    this->server.Handle({ .path = aRequest.target, .body = aRequest.body },
                        [&reply](const OutgoingResponse& aResponse) {
                          reply = { .status = aResponse.status, .body = aResponse.body };
                        });
    return reply;
  }

  bool reachesStore = false;
  IncomingRequest received;
  cell::Resignation resignation;
  InstanceCallServer server;
  ScriptedPeer peer;
  InstanceCallClient client;
  Endpoint endpoint;
};

}

TEST_F(InstanceCallTest, TellsWhetherTheStoreAnswers)
{
  for (const bool reaches : { false, true }) {
    this->reachesStore = reaches;
    const auto answer = this->Await<bool>(
      [&](auto aHandler) { this->client.AskReach(this->endpoint, std::move(aHandler)); });
    ASSERT_FALSE(IsError(answer));
    EXPECT_EQ(ValueOf(answer), reaches);
  }
}

TEST_F(InstanceCallTest, CarriesARequestAndItsAnswerWhole)
{
  const IncomingRequest request{ .method = RequestMethod::Delete,
                                 .path = "/queue/00ff",
                                 .bearer = "key-1",
                                 .host = "jobs.example",
                                 .body = R"({"text":"\u00e4"})" };
  const PassedRequest passed{ .request = request, .leastDocument = kDocument };
  const auto answer = this->Await<PassedResponse>(
    [&](auto aHandler) { this->client.PassOn(this->endpoint, passed, std::move(aHandler)); });
  ASSERT_FALSE(IsError(answer));
  EXPECT_EQ(ValueOf(answer).document, kDocument);
  const auto& response = ValueOf(answer).response;
  EXPECT_EQ(response.status, kBusy);
  EXPECT_EQ(response.body, R"({"error":"full"})");
  EXPECT_EQ(response.retryAfter, Milliseconds{ 700 });
  EXPECT_EQ(this->received.method, request.method);
  EXPECT_EQ(this->received.path, request.path);
  EXPECT_EQ(this->received.bearer, request.bearer);
  EXPECT_EQ(this->received.host, request.host);
  EXPECT_EQ(this->received.body, request.body);
}

TEST_F(InstanceCallTest, DoesNotAnswerWithAnOlderDocument)
{
  const PassedRequest passed{ .request = { .path = "/queue/00ff" },
                              .leastDocument = kDocument + 1 };
  const auto answer = this->Await<PassedResponse>(
    [&](auto aHandler) { this->client.PassOn(this->endpoint, passed, std::move(aHandler)); });
  ASSERT_TRUE(IsError(answer));
  EXPECT_EQ(ErrorOf(answer).code, ErrorCode::StaleVersion);
  EXPECT_EQ(ErrorOf(answer).run, RunState::NotRun);
  EXPECT_TRUE(this->received.path.empty());
}

TEST_F(InstanceCallTest, TellsOfAResignation)
{
  const cell::Resignation resignation{ .token = 42, .workers = { "w1", "w2" } };
  const auto answer = this->Await<Done>(
    [&](auto aHandler) { this->client.Resign(this->endpoint, resignation, std::move(aHandler)); });
  ASSERT_FALSE(IsError(answer));
  EXPECT_EQ(this->resignation.token, resignation.token);
  EXPECT_EQ(this->resignation.workers, resignation.workers);
}

TEST_F(InstanceCallTest, RefusesACallThatCannotBeRead)
{
  EXPECT_EQ(this->Answer({ .method = "POST", .target = "/instance/call", .body = "{}" }).status,
            400U);
}

}
