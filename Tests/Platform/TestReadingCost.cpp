#include "AllocationCounter.h"
#include "ScriptedPeer.h"

#include <LibCell/Records.h>
#include <LibInstanceCalls/InstanceCalls.h>
#include <LibPlatform/HttpExchange.h>
#include <LibPlatform/Json.h>
#include <gtest/gtest.h>
#include <json/json.h>
#include <platform/Decoders.h>
#include <platform/WorkerClient.h>
#include <platform/WorkerMessages.h>
#include <string>
#include <string_view>

namespace zinc::platform::test {

namespace {

using RejectionCost = AdapterFixture;

/// Bytes of a body that callers may send by default.
constexpr std::size_t kBodyBytes = 262'144;

/// @return a job that fills a body with the element
std::string
JobOf(std::string_view aElement)
{
  std::string text = R"({"Phases":[)";
  text += aElement;
  while (text.size() + aElement.size() + 3 <= kBodyBytes) {
    text += ',';
    text += aElement;
  }
  return text + "]}";
}

/// @return the bytes that reading the text allocates
template<typename Reader>
std::size_t
CountBytes(Reader aRead)
{
  const auto before = CountAllocatedBytes();
  aRead();
  return CountAllocatedBytes() - before;
}

}

// Guards against a control thread that is busy with the steps of jobs that are refused for their
// number.
TEST(ReadingCost, StepsBeyondTheLimitAreNotRead)
{
  constexpr std::size_t kMaxExtraBytes = 4096;
  for (const std::string_view step : { "[]", "7", "{\"Count\":1}" }) {
    const auto job = JobOf(step);
    const auto parsing = CountBytes([&job] { EXPECT_FALSE(IsError(ParseJson(job))); });
    const auto decoding = CountBytes([&job] { EXPECT_TRUE(IsError(DecodeJob(job))); });
    EXPECT_LT(decoding, parsing + kMaxExtraBytes) << step;
  }
}

// Guards against a control thread that builds and frees the tree of a small request for longer than
// it takes to handle hundreds of others.
TEST(ReadingCost, AJobOfMoreValuesThanStepsNeedIsRefusedUnread)
{
  constexpr std::size_t kMaxBytes = 4096;
  for (const std::string_view element :
       { "[]", "{}", "7", "1e1", "\"\"", "{\"a\":0}", "[0,0,0,0,0,0,0,0]" }) {
    const auto job = JobOf(element);
    const auto bytes = CountBytes([&job] {
      const auto decoded = DecodeJob(job);
      ASSERT_TRUE(IsError(decoded));
      EXPECT_EQ(ErrorOf(decoded).code, ErrorCode::BadRequest);
      EXPECT_EQ(ErrorOf(decoded).run, RunState::NotRun);
    });
    EXPECT_LT(bytes, kMaxBytes) << element;
  }
}

// Guards against a sound job that is refused: with all fields in all steps, and with as many
// earlier steps in `After` as fit into a body.
TEST(ReadingCost, TheLargestSoundJobsAreRead)
{
  constexpr std::size_t kSteps = 1000;
  const std::string allFields =
    R"({"Count":1,"Cpu":1,"MemMb":1,"Gpus":1,"EstimateMs":1,"After":[],"Checkpointing":true,)"
    R"("Gang":true,"SameRack":true,"Speculative":true,"Perpetual":true,"Fills":true,"Image":"a",)"
    R"("Affinity":"b","Constraints":["c"],"AntiAffinity":1,"TargetMs":1,"MayMiss":1})";
  std::string job = R"({"Spec":"s","Times":1,"InitialDelayMs":1,"IntervalMs":1,"Phases":[)";
  for (std::size_t step = 0; step < kSteps; ++step) {
    job += (step == 0 ? "" : ",") + allFields;
  }
  EXPECT_FALSE(IsError(DecodeJob(job + "]}")));

  for (const std::size_t steps : { std::size_t{ 400 }, std::size_t{ 835 }, kSteps }) {
    const auto stepBytes = kBodyBytes / steps;
    job = R"({"Phases":[)";
    for (std::size_t step = 0; step < steps; ++step) {
      std::string after;
      for (std::size_t earlier = 0; earlier < step; ++earlier) {
        const auto number = (earlier == 0 ? "" : ",") + std::to_string(earlier);
        if (after.size() + number.size() + 24 > stepBytes) {
          break;
        }
        after += number;
      }
      job += (step == 0 ? "" : ",") + (R"({"Count":1,"After":[)" + after) + "]}";
    }
    job += "]}";
    ASSERT_LE(job.size(), kBodyBytes);
    EXPECT_FALSE(IsError(DecodeJob(job))) << steps;
  }
}

// Guards against a worker whose row is read for long each time it changes, while it can't be one.
TEST(ReadingCost, AWorkerRowOfManyValuesIsRefusedUnread)
{
  constexpr std::size_t kMaxBytes = 4096;
  const std::string sound =
    R"({"Service":"s","Address":"10.1.2.3:80","Zone":"z","State":"ready","Capacity":{"Cpu":1},)"
    R"("Labels":["a","r")";
  EXPECT_FALSE(IsError(DecodeWorkerEntry("i-1", sound + "]}")));
  auto row = sound;
  while (row.size() < kBodyBytes) {
    row += R"(,"x")";
  }
  row += "]}";
  const auto bytes = CountBytes([&row] { EXPECT_TRUE(IsError(DecodeWorkerEntry("i-1", row))); });
  EXPECT_LT(bytes, kMaxBytes);
}

// Guards against a worker or a service that answers errors and keeps an instance busy with them.
TEST(ReadingCost, AnErrorReplyOfManyValuesIsNotRead)
{
  constexpr std::size_t kMaxBytes = 4096;
  const HttpReply reply{ .status = 503, .body = JobOf("[]") };
  const auto bytes =
    CountBytes([&reply] { EXPECT_EQ(zinc::detail::VerdictOf(reply).run, RunState::MayHaveRun); });
  EXPECT_LT(bytes, kMaxBytes);
}

// Guards against a worker that rejects orders and keeps the leader busy with its reasons.
TEST_F(RejectionCost, ARejectionOfManyValuesIsNotRead)
{
  // The body is received in buffers that grow.
  constexpr std::size_t kMaxBytes = 8 * kBodyBytes;
  ScriptedPeer peer([](const ReceivedRequest&) {
    return ScriptedPeer::Reply{ .status = 409, .body = JobOf("[]") };
  });
  const Logger log({ .level = LogLevel::Error });
  WorkerClient workers({ .http = this->OptionsFor(peer) }, log);
  const cell::RunOrder order{ .target = { .worker = { "i-7" },
                                          .address = "127.0.0.1",
                                          .port = peer.Port(),
                                          .fencingToken = 5 },
                              .task = { { "0123456789abcdef" }, { 0, 1, 2 } },
                              .run = 3 };
  const auto bytes = CountBytes([&] {
    const auto result = this->Await<cell::OrderResult>(
      [&](auto aHandler) { workers.Stop(order, std::move(aHandler)); });
    ASSERT_FALSE(IsError(result));
    EXPECT_EQ(ValueOf(result), cell::OrderResult::Rejected);
  });
  EXPECT_LT(bytes, kMaxBytes);
}

// Guards against a worker whose report takes the leader's memory and time.
TEST(ReadingCost, AReportOfMillionsOfValuesIsRefusedUnread)
{
  constexpr std::size_t kMaxBytes = 4096;
  constexpr std::size_t kRuns = 100'000;
  std::size_t unreadable = 0;
  std::string sound = R"({"ClockMs":5,"Running":[)";
  for (std::size_t run = 0; run < kRuns; ++run) {
    sound += (run == 0 ? "" : ",") + std::string(R"(["0123456789abcdef.0.1.17",2,"a",0.5,0.5])");
  }
  const auto report = DecodeReport(sound + "]}", unreadable);
  ASSERT_FALSE(IsError(report));
  EXPECT_EQ(ValueOf(report).activeRuns.size(), kRuns);

  constexpr std::size_t kValues = 3'000'000;
  std::string text = R"({"ClockMs":5,"Running":[0)";
  for (std::size_t value = 0; value < kValues; ++value) {
    text += ",0";
  }
  text += "]}";
  const auto bytes = CountBytes([&] { EXPECT_TRUE(IsError(DecodeReport(text, unreadable))); });
  EXPECT_LT(bytes, kMaxBytes);
}

// Guards against a call from another instance that is refused after its tree was built.
TEST(ReadingCost, ACallOfManyValuesIsRefusedUnread)
{
  constexpr std::size_t kMaxBytes = 8192;
  InstanceCallServer server(
    { .advise = [](const cell::AdviceRequest&,
                   const cell::Handler<cell::AdviceResponse>& aHandler) { aHandler({}); },
      .jobStatus = [](const JobId&) { return cell::JobStatus{}; },
      .checkStore = [](const cell::Handler<bool>& aHandler) { aHandler(true); },
      .onLeaderResigned = [](const cell::Resignation&) {},
      .documentVersion = [] { return std::uint64_t{ 1 }; },
      .handleForwarded = [](const IncomingRequest&,
                            const Respond& aRespond) { aRespond({ .body = "{}" }); } });
  for (const std::string_view path : { "/instance/advise", "/instance/resign", "/instance/call" }) {
    const IncomingRequest request{ .path = std::string(path), .body = JobOf("[]") };
    unsigned status = 0;
    const auto bytes = CountBytes([&] {
      server.Handle(request,
                    [&status](const OutgoingResponse& aResponse) { status = aResponse.status; });
    });
    EXPECT_EQ(status, 400U) << path;
    EXPECT_LT(bytes, kMaxBytes) << path;
  }
}

// Guards against a control thread that is busy with the row of an accepted job: long lists of
// earlier steps must not cost a tree with a node for each.
TEST(ReadingCost, WritingTheRowOfAJobTakesNoTreeOfItsLists)
{
  constexpr std::size_t kSteps = 1000;
  constexpr std::size_t kDependencies = 80;
  cell::JobSpecification spec;
  for (std::size_t step = 0; step < kSteps; ++step) {
    spec.steps.emplace_back().dependsOn.assign(step < kDependencies ? 0 : kDependencies, 7);
  }
  const auto before = CountAllocations();
  EXPECT_FALSE(EncodeSpecification(spec).empty());
  EXPECT_LT(CountAllocations() - before, kSteps);
}

}
