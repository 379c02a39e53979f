#include "ScriptedPeer.h"

#include <LibPlatform/Json.h>
#include <gtest/gtest.h>
#include <json/json.h>
#include <platform/AdviceClient.h>
#include <platform/Base64.h>
#include <platform/StoreClient.h>
#include <platform/WorkerClient.h>

namespace zinc::platform::test {

namespace {

using Clients = AdapterFixture;
using Reply = ScriptedPeer::Reply;

}

TEST_F(Clients, CommitSendsConditionsAndWrites)
{
  ScriptedPeer peer(
    [](const ReceivedRequest&) { return Reply{ .body = R"({"Ver":41,"NowMs":5})" }; });
  StoreClient store(ValueOf(HttpClient::Create(this->OptionsFor(peer))));
  cell::Transaction transaction{ .spansPartitions = true };
  transaction.conditions.push_back({ { "t", "p", "k" }, 7 });
  transaction.writes.push_back({ { "t", "p", "k" }, "value" });
  const auto result = this->Await<cell::CommitResult>(
    [&](auto aHandler) { store.Commit(transaction, std::move(aHandler)); });
  ASSERT_FALSE(IsError(result));
  EXPECT_TRUE(ValueOf(result).isCommitted);
  EXPECT_EQ(ValueOf(result).version, 41U);
  const auto request = peer.Requests().front();
  EXPECT_EQ(request.method, "POST");
  EXPECT_EQ(request.target, "/v1/rows-tx");
  const auto body = ValueOf(ParseJson(request.body));
  EXPECT_EQ(body["ExpectedRev"][0]["Ver"].asInt(), 7);
  EXPECT_EQ(body["Writes"][0]["Value"].asString(), EncodeBase64("value"));
  EXPECT_TRUE(body["Across"].asBool());
}

TEST_F(Clients, FailedConditionReturnsCurrentRows)
{
  ScriptedPeer peer([](const ReceivedRequest&) {
    return Reply{ 412,
                  R"({"rows":[{"Table":"t","part":"p","Key":"k","Value":")" + EncodeBase64("old") +
                    R"(","Ver":9}],"Ver":41})" };
  });
  StoreClient store(ValueOf(HttpClient::Create(this->OptionsFor(peer))));
  const auto result =
    this->Await<cell::CommitResult>([&](auto aHandler) { store.Commit({}, std::move(aHandler)); });
  ASSERT_FALSE(IsError(result));
  EXPECT_FALSE(ValueOf(result).isCommitted);
  ASSERT_EQ(ValueOf(result).currentRows.size(), 1U);
  EXPECT_EQ(ValueOf(result).currentRows[0].value, "old");
  EXPECT_EQ(ValueOf(result).currentRows[0].version, 9U);
}

TEST_F(Clients, CommitErrorSaysWhetherItMayHaveRun)
{
  const std::vector<std::pair<Reply, RunState>> cases = { { { 503, "" }, RunState::NotRun },
                                                          { { 429, "" }, RunState::NotRun },
                                                          { { 500, "" }, RunState::MayHaveRun },
                                                          { { 0, "" }, RunState::MayHaveRun },
                                                          { { 200, "x" }, RunState::MayHaveRun } };
  for (const auto& [reply, run] : cases) {
    ScriptedPeer peer([scriptedReply = reply](const ReceivedRequest&) { return scriptedReply; });
    StoreClient store(ValueOf(HttpClient::Create(this->OptionsFor(peer))));
    const auto result = this->Await<cell::CommitResult>(
      [&](auto aHandler) { store.Commit({}, std::move(aHandler)); });
    ASSERT_TRUE(IsError(result)) << reply.status;
    EXPECT_EQ(ErrorOf(result).run, run) << reply.status;
  }
}

TEST_F(Clients, WatchReturnsChangesAndReportsLostHistory)
{
  std::atomic<unsigned> status = 200;
  ScriptedPeer peer([&status](const ReceivedRequest&) {
    return Reply{ status, R"({"rows":[{"Table":"t","Key":"k","Deleted":true,"Ver":8}],"Ver":9})" };
  });
  StoreClient store(ValueOf(HttpClient::Create(this->OptionsFor(peer))));
  const auto watch = [&] {
    return this->Await<cell::RowBatch>(
      [&](auto aHandler) { store.Watch("a b", 7, Milliseconds{ 50 }, std::move(aHandler)); });
  };
  const auto changes = watch();
  ASSERT_FALSE(IsError(changes));
  EXPECT_TRUE(ValueOf(changes).rows.at(0).isDeleted);
  EXPECT_EQ(ValueOf(changes).version, 9U);
  EXPECT_EQ(peer.Requests().front().target, "/v1/rows-feed?Table=a%20b&After=7&WaitMs=50");
  status = 410;
  const auto gone = watch();
  ASSERT_TRUE(IsError(gone));
  EXPECT_EQ(ErrorOf(gone).code, ErrorCode::StaleVersion);
}

TEST_F(Clients, OrdersNameTheWorkerIncarnation)
{
  ScriptedPeer peer([](const ReceivedRequest&) { return Reply{ .body = R"({"ClockMs":1})" }; });
  const Logger log({ .level = LogLevel::Error });
  WorkerClient workers({ .http = this->OptionsFor(peer) }, log);
  const cell::OrderTarget target{
    .worker = { "i-7" }, .address = "127.0.0.1", .port = peer.Port(), .fencingToken = 5
  };
  const auto result = this->Await<cell::OrderResult>([&](auto aHandler) {
    workers.Start({ .target = target,
                    .task = { { "0123456789abcdef" }, { 0, 1, 2 } },
                    .run = 3,
                    .payload = "p",
                    .leaseDeadline = 600,
                    .ticket = "t" },
                  std::move(aHandler));
  });
  EXPECT_EQ(ValueOf(result), cell::OrderResult::Accepted);
  const auto request = peer.Requests().front();
  EXPECT_EQ(request.target, "/v1/run-start");
  EXPECT_EQ(request.expectedInstance, "i-7");
  const auto body = ValueOf(ParseJson(request.body));
  EXPECT_EQ(body["Task"].asString(), "0123456789abcdef.0.1.2");
  EXPECT_EQ(body["FencingToken"].asInt(), 5);
  EXPECT_EQ(body["Ticket"].asString(), "t");
  EXPECT_FALSE(body.isMember("Checkpoint"));
}

TEST_F(Clients, DecodesEveryRejectionOfAnOrder)
{
  const std::vector<std::pair<Reply, cell::OrderResult>> cases = {
    { { 409, R"({"Reason":"fence"})" }, cell::OrderResult::Fenced },
    { { 409, R"({"Reason":"old"})" }, cell::OrderResult::StaleRun },
    { { 409, R"({"Reason":"late"})" }, cell::OrderResult::DeadlinePassed },
    { { 409, R"({"Reason":"room"})" }, cell::OrderResult::InsufficientCapacity },
    { { 409, R"({"Reason":"ticket"})" }, cell::OrderResult::InvalidTicket },
    { { 409, R"({"Reason":"new"})" }, cell::OrderResult::Rejected },
    { { 421, "" }, cell::OrderResult::WrongIncarnation },
    { { 503, "" }, cell::OrderResult::Rejected },
  };
  const Logger log({ .level = LogLevel::Error });
  for (const auto& [reply, expected] : cases) {
    ScriptedPeer peer([scriptedReply = reply](const ReceivedRequest&) { return scriptedReply; });
    WorkerClient workers({ .http = this->OptionsFor(peer) }, log);
    const auto result = this->Await<cell::OrderResult>([&](auto aHandler) {
      workers.Stop({ .target = { .worker = { "i" }, .address = "127.0.0.1", .port = peer.Port() } },
                   std::move(aHandler));
    });
    ASSERT_FALSE(IsError(result)) << reply.body;
    EXPECT_EQ(ValueOf(result), expected) << reply.status << reply.body;
  }
}

TEST_F(Clients, SendsAStepToThePolicyService)
{
  ScriptedPeer peer([](const ReceivedRequest&) {
    return Reply{ .body = R"({"Good":[["w2","t-2"]],"ValidMs":9})" };
  });
  const Logger log({ .level = LogLevel::Error });
  AdviceClient advice(ValueOf(HttpClient::Create(this->OptionsFor(peer))), log);
  const auto result = this->Await<cell::AdviceResponse>([&](auto aHandler) {
    advice.RequestAdvice(
      { .step = { { "0123456789abcdef" }, 0, 2 }, .workers = { { "w1" }, { "w2" } } },
      std::move(aHandler));
  });
  ASSERT_FALSE(IsError(result));
  ASSERT_EQ(ValueOf(result).tickets.size(), 1U);
  EXPECT_EQ(ValueOf(result).tickets[0].text, "t-2");
  const auto body = ValueOf(ParseJson(peer.Requests().front().body));
  EXPECT_EQ(body["Step"].asString(), "0123456789abcdef.0.2");
  EXPECT_EQ(body["Workers"].size(), 2U);
}

// Guards against a response of the policy service that is lost for one odd ticket, and against odd
// tickets that are left out in silence.
TEST_F(Clients, AnUnreadableTicketCostsNoOther)
{
  ScriptedPeer peer([](const ReceivedRequest&) {
    return Reply{ .body = R"({"Good":[["w1",7],["w2","t-2"],[],"w3",["w4","t-4","new field"]]})" };
  });
  const Logger log({ .level = LogLevel::Error });
  AdviceClient advice(ValueOf(HttpClient::Create(this->OptionsFor(peer))), log);
  const auto result = this->Await<cell::AdviceResponse>([&](auto aHandler) {
    advice.RequestAdvice({ .step = { { "0123456789abcdef" }, 0, 2 }, .workers = { { "w1" } } },
                         std::move(aHandler));
  });
  ASSERT_FALSE(IsError(result));
  ASSERT_EQ(ValueOf(result).tickets.size(), 2U);
  EXPECT_EQ(ValueOf(result).tickets[0].text, "t-2");
  EXPECT_EQ(ValueOf(result).tickets[1].text, "t-4");
  EXPECT_EQ(ValueOf(result).unreadableTickets, 3U);
}

}
