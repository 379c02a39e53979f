#include "ScriptedPeer.h"

#include <LibPlatform/Json.h>
#include <json/json.h>
#include <platform/AdviceClient.h>
#include <platform/Base64.h>
#include <platform/ReplyLimits.h>
#include <platform/StoreClient.h>
#include <platform/WorkerClient.h>

namespace zinc::platform::test {

namespace {

using Reply = ScriptedPeer::Reply;

constexpr std::size_t kMaxRows = 500;
constexpr std::size_t kMaxValueBytes = 1'000'000;
constexpr std::size_t kMaxRowBytes = std::size_t{ 64 } << 10;
/// Longest name of a table, partition or key that a client reads.
constexpr std::size_t kNameLength = 512;
constexpr std::size_t kCheckpointLength = 256;
constexpr std::size_t kMaxAdvisedWorkers = 100;
constexpr std::size_t kTicketLength = 512;

/// Clients with the limits of the program, against the longest replies that the services give.
class ServiceReplies : public AdapterFixture
{
protected:
  HttpOptions OptionsWith(const ScriptedPeer& aPeer, std::size_t aReplyLimit)
  {
    HttpOptions options = this->OptionsFor(aPeer);
    options.replyLimit = aReplyLimit;
    options.requestTimeout = Milliseconds{ 60000 };
    return options;
  }

  Result<cell::RowBatch> Watch(const std::string& aBody)
  {
    ScriptedPeer peer([&](const ReceivedRequest&) { return Reply{ .body = aBody }; });
    StoreClient store(ValueOf(HttpClient::Create(this->OptionsWith(peer, kStoreReplyLimit))));
    return this->Await<cell::RowBatch>(
      [&](auto aHandler) { store.Watch("t", 7, Milliseconds{ 50 }, std::move(aHandler)); });
  }

  Result<std::variant<cell::WorkerReport, cell::OrderResult>> Renew(const std::string& aBody)
  {
    ScriptedPeer peer([&](const ReceivedRequest&) { return Reply{ .body = aBody }; });
    const Logger log({ .level = LogLevel::Error });
    WorkerClient workers({ .http = this->OptionsWith(peer, kWorkerReplyLimit) }, log);
    return this->Await<std::variant<cell::WorkerReport, cell::OrderResult>>([&](auto aHandler) {
      workers.RenewLease(
        { .target = { .worker = { "w" }, .address = "127.0.0.1", .port = peer.Port() } },
        std::move(aHandler));
    });
  }

  Result<cell::AdviceResponse> Ask(const std::string& aBody)
  {
    ScriptedPeer peer([&](const ReceivedRequest&) { return Reply{ .body = aBody }; });
    const Logger log({ .level = LogLevel::Error });
    AdviceClient advice(ValueOf(HttpClient::Create(this->OptionsWith(peer, kAdviceReplyLimit))),
                        log);
    return this->Await<cell::AdviceResponse>([&](auto aHandler) {
      advice.RequestAdvice({ .step = { { "0123456789abcdef" }, 0, 2 } }, std::move(aHandler));
    });
  }

  /// @return a store's response with rows of this size, which hold as much as one may.
  static std::string RowsOf(std::size_t aValueBytes)
  {
    const std::string name(kNameLength, 'n');
    const std::string value = EncodeBase64(std::string(aValueBytes, 'v'));
    Json::Value batch(Json::objectValue);
    batch["Ver"] = 9;
    const std::size_t rows = std::min(kMaxRows, kMaxValueBytes / aValueBytes + 1);
    for (std::size_t index = 0; index < rows; ++index) {
      Json::Value row(Json::objectValue);
      row["Table"] = name;
      row["part"] = name;
      row["Key"] = name;
      row["Value"] = value;
      row["Ver"] = 8;
      batch["rows"].append(std::move(row));
    }
    return WriteJson(batch);
  }
};

}

TEST_F(ServiceReplies, TheLongestResponseOfTheStoreIsRead)
{
  for (const std::size_t bytes : { kMaxValueBytes / kMaxRows, kMaxRowBytes }) {
    const auto result = this->Watch(RowsOf(bytes));
    ASSERT_FALSE(IsError(result)) << ErrorOf(result).message;
    EXPECT_GE(ValueOf(result).rows.size() * bytes, kMaxValueBytes);
    EXPECT_EQ(ValueOf(result).unreadableRows, 0U);
  }
}

TEST_F(ServiceReplies, TheLongestReportOfAWorkerIsRead)
{
  const std::string checkpoint(kCheckpointLength, 'c');
  Json::Value report(Json::objectValue);
  report["ClockMs"] = 5;
  for (std::size_t index = 0; index < kMaxRows; ++index) {
    const std::string task = "0123456789abcdef.0.1." + std::to_string(index);
    Json::Value ended(Json::arrayValue);
    for (const Json::Value& field :
         std::vector<Json::Value>{ Json::UInt64(index + 1), task, 1, "done", checkpoint }) {
      ended.append(field);
    }
    report["Ended"].append(std::move(ended));
    Json::Value running(Json::arrayValue);
    for (const Json::Value& field : std::vector<Json::Value>{ task, 2, checkpoint, 50, 100 }) {
      running.append(field);
    }
    report["Running"].append(std::move(running));
  }
  const auto result = this->Renew(WriteJson(report));
  ASSERT_FALSE(IsError(result)) << ErrorOf(result).message;
  const auto* read = std::get_if<cell::WorkerReport>(&ValueOf(result));
  ASSERT_NE(read, nullptr);
  EXPECT_EQ(read->endedRuns.size(), kMaxRows);
  EXPECT_EQ(read->activeRuns.size(), kMaxRows);
}

TEST_F(ServiceReplies, TheLongestAnswerOfThePolicyServiceIsRead)
{
  Json::Value advice(Json::objectValue);
  for (std::size_t index = 0; index < kMaxAdvisedWorkers; ++index) {
    Json::Value pair(Json::arrayValue);
    pair.append(std::string(kNameLength, 'w'));
    pair.append(std::string(kTicketLength, 't'));
    advice["Good"].append(std::move(pair));
  }
  const auto result = this->Ask(WriteJson(advice));
  ASSERT_FALSE(IsError(result)) << ErrorOf(result).message;
  EXPECT_EQ(ValueOf(result).tickets.size(), kMaxAdvisedWorkers);
}

// The failure: each connection reads up to 64 MiB, whatever the service has to say.
TEST_F(ServiceReplies, ALongerReplyFailsAsHavingPerhapsRun)
{
  const auto rows = this->Watch(std::string(kStoreReplyLimit + 1, ' '));
  ASSERT_TRUE(IsError(rows));
  EXPECT_EQ(ErrorOf(rows).run, RunState::MayHaveRun);
  EXPECT_EQ(ErrorOf(rows).message, "The reply's body is larger than 12582912 bytes.");
  const auto report = this->Renew(std::string(kWorkerReplyLimit + 1, ' '));
  ASSERT_TRUE(IsError(report));
  EXPECT_EQ(ErrorOf(report).run, RunState::MayHaveRun);
  EXPECT_EQ(ErrorOf(report).message, "The reply's body is larger than 2097152 bytes.");
  const auto advice = this->Ask(std::string(kAdviceReplyLimit + 1, ' '));
  ASSERT_TRUE(IsError(advice));
  EXPECT_EQ(ErrorOf(advice).run, RunState::MayHaveRun);
  EXPECT_EQ(ErrorOf(advice).message, "The reply's body is larger than 262144 bytes.");
}

}
