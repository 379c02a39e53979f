#include <LibPeer/PeerClient.h>
#include <LibPeer/PeerCodec.h>
#include <LibPeer/PeerDispatcher.h>
#include <LibPeer/PeerServer.h>
#include <LibPlatform/Json.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <future>
#include <gtest/gtest.h>
#include <json/json.h>
#include <rapidcheck/gtest.h>
#include <thread>

namespace zinc {

namespace {

constexpr auto kPatience = std::chrono::seconds(20);

std::vector<Notice>
OneOfEach()
{
  const AttemptId attempt{ .task = { "t" }, .attempt = 3 };
  const TaskSpec spec{ .id = { "t" }, .job = { "j" }, .team = { "a" }, .queue = { "q" } };
  const JobAnswer answer{ .request = { "r" }, .job = { "j" }, .state = JobState::Failed };
  return { PlaceTask{ .task = spec, .claim = ClaimMode::Required },
           TaskRefused{ .attempt = attempt, .verdict = NotRun(ErrorCode::Overloaded, "full") },
           ClaimTask{ .attempt = attempt, .worker = { "w" }, .term = 7 },
           ClaimDecided{ .attempt = attempt, .refusal = NotRun(ErrorCode::StaleTerm, "old") },
           ClaimDecided{ .attempt = attempt },
           TaskStarted{ .attempt = attempt, .worker = { "w" } },
           TaskEnded{ .attempt = attempt, .state = TaskState::Checkpointed, .progress = "p" },
           TaskLost{ .attempt = attempt, .worker = { "w" } },
           StopTask{ .attempt = attempt },
           Ask{ .ticket = 9, .kind = AskKind::Cancel, .submission = { .request = { "r" } } },
           Reply{ .ticket = 9, .answer = answer },
           Reply{ .ticket = 9, .answer = MayHaveRun(ErrorCode::Timeout, "late") },
           AllowanceHinted{ .team = { "a" }, .hint = QuotaHint::Returned },
           WorkerAdopted{ .worker = { "w" } } };
}

/// Records what arrives.
class RecordingHandler final : public PeerHandler
{
public:
  PeerBeat OnBeat(const PeerBeat& aBeat) override
  {
    auto beat = aBeat;
    beat.documentVersion += 1;
    return beat;
  }

  Result<Done> OnNotices(NoticeBatch aBatch) override
  {
    this->batches.push_back(std::move(aBatch));
    return Done{};
  }

  DocumentCopy OnDocumentAsked() override { return { .version = 4, .yaml = "teams: []" }; }

  std::vector<NoticeBatch> batches;
};

/// A server and a client with a thread for each context.
class PeerProtocolTest : public testing::Test
{
protected:
  PeerProtocolTest()
    : trafficThread([this] { this->traffic.run(); })
    , controlThread([this] { this->control.run(); })
  {
  }

  ~PeerProtocolTest() override
  {
    this->traffic.stop();
    this->control.stop();
  }

  std::shared_ptr<PeerClient> Connect(std::uint16_t aPort)
  {
    auto client = PeerClient::Create({ .peer = { .address = "127.0.0.1", .port = aPort },
                                       .traffic = this->traffic,
                                       .control = this->control.get_executor(),
                                       .callTimeout = Milliseconds(300) });
    return ValueOf(client);
  }

  boost::asio::io_context traffic;
  boost::asio::io_context control;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> trafficGuard{
    traffic.get_executor()
  };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> controlGuard{
    control.get_executor()
  };
  RecordingHandler handler;
  std::jthread trafficThread;
  std::jthread controlThread;
};

}

TEST(PeerCodec, EveryNoticeReadsBack)
{
  for (const auto& notice : OneOfEach()) {
    const auto json = ToJson(notice);
    const auto read = NoticeFromJson(json);
    ASSERT_FALSE(IsError(read)) << WriteJson(json);
    EXPECT_EQ(ValueOf(read).index(), notice.index());
    EXPECT_EQ(ToJson(ValueOf(read)), json);
  }
}

RC_GTEST_PROP(PeerDispatcher, AnswersAnyTextWithAnError, (const std::string& aText))
{
  RecordingHandler handler;
  detail::PeerDispatcher dispatcher(handler);
  const auto reply = ParseJson(dispatcher.Dispatch(aText));
  RC_ASSERT(!IsError(reply));
  RC_ASSERT(ValueOf(reply).isMember("error"));
  RC_ASSERT(handler.batches.empty());
}

RC_GTEST_PROP(PeerDispatcher, RefusesDamagedNotices, ())
{
  RecordingHandler handler;
  detail::PeerDispatcher dispatcher(handler);
  const auto notices = OneOfEach();
  auto damaged = ToJson(*rc::gen::elementOf(notices));
  const auto members = damaged.getMemberNames();
  const auto member = *rc::gen::elementOf(members);
  damaged[member] = Json::Value(Json::arrayValue);
  Json::Value call;
  call["jsonrpc"] = "2.0";
  call["id"] = 1;
  call["method"] = "deliver";
  auto& message = call["params"]["message"];
  message["from"] = "a";
  message["to"] = "b";
  message["sequence"] = 1;
  message["notices"].append(damaged);
  const auto reply = ParseJson(dispatcher.Dispatch(WriteJson(call)));
  RC_ASSERT(!IsError(reply));
  RC_ASSERT(ValueOf(reply).isMember("error"));
  RC_ASSERT(handler.batches.empty());
}

TEST_F(PeerProtocolTest, CallsAreAnsweredOverOneConnection)
{
  auto server = PeerServer::Create({ .listen = { .address = "127.0.0.1", .port = 0 },
                                     .traffic = this->traffic,
                                     .control = this->control.get_executor() },
                                   this->handler);
  ASSERT_FALSE(IsError(server));
  const auto client = this->Connect(ValueOf(server)->Port());
  std::promise<Result<PeerBeat>> beat;
  std::promise<Result<Done>> delivered;
  std::promise<Result<DocumentCopy>> copy;
  client->SendBeat({ .self = { .id = { "e" } }, .documentVersion = 1 },
                   [&](Result<PeerBeat> aReply) { beat.set_value(std::move(aReply)); });
  client->Deliver({ .from = { "e" }, .to = { "f" }, .sequence = 1, .notices = OneOfEach() },
                  [&](Result<Done> aReply) { delivered.set_value(std::move(aReply)); });
  client->FetchDocument([&](Result<DocumentCopy> aReply) { copy.set_value(std::move(aReply)); });
  auto beatReply = beat.get_future();
  auto deliverReply = delivered.get_future();
  auto copyReply = copy.get_future();
  ASSERT_EQ(beatReply.wait_for(kPatience), std::future_status::ready);
  ASSERT_EQ(deliverReply.wait_for(kPatience), std::future_status::ready);
  ASSERT_EQ(copyReply.wait_for(kPatience), std::future_status::ready);
  EXPECT_EQ(ValueOf(beatReply.get()).documentVersion, 2U);
  EXPECT_FALSE(IsError(deliverReply.get()));
  EXPECT_EQ(ValueOf(copyReply.get()).yaml, "teams: []");
  EXPECT_EQ(this->handler.batches.at(0).notices.size(), OneOfEach().size());
  client->Close();
  ValueOf(server)->Stop();
}

TEST_F(PeerProtocolTest, SilentConnectionMayHaveRunAndRefusedOneHasNotRun)
{
  boost::asio::io_context silent;
  boost::asio::ip::tcp::acceptor acceptor(silent,
                                          { boost::asio::ip::make_address("127.0.0.1"), 0 });
  const auto client = this->Connect(acceptor.local_endpoint().port());
  std::promise<Result<Done>> first;
  client->Deliver({ .from = { "e" } },
                  [&](Result<Done> aReply) { first.set_value(std::move(aReply)); });
  auto firstReply = first.get_future();
  ASSERT_EQ(firstReply.wait_for(kPatience), std::future_status::ready);
  const auto firstOutcome = firstReply.get();
  ASSERT_TRUE(IsError(firstOutcome));
  EXPECT_EQ(ErrorOf(firstOutcome).run, RunState::MayHaveRun);

  acceptor.close();
  std::promise<Result<Done>> second;
  client->Deliver({ .from = { "e" } },
                  [&](Result<Done> aReply) { second.set_value(std::move(aReply)); });
  auto secondReply = second.get_future();
  ASSERT_EQ(secondReply.wait_for(kPatience), std::future_status::ready);
  const auto secondOutcome = secondReply.get();
  ASSERT_TRUE(IsError(secondOutcome));
  EXPECT_EQ(ErrorOf(secondOutcome).run, RunState::NotRun);
}

}
