#include <LibCell/Records.h>
#include <LibInstanceCalls/InstanceCalls.h>
#include <LibPlatform/Json.h>
#include <LibTraffic/HttpMessage.h>
#include <array>
#include <functional>
#include <gtest/gtest.h>
#include <json/json.h>
#include <pcg_random.hpp>
#include <platform/BootSettings.h>
#include <platform/Decoders.h>
#include <platform/WorkerMessages.h>
#include <string>
#include <vector>

namespace zinc::platform::test {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kMutationsPerSample = 3000;
constexpr std::uint32_t kMaxChangesPerMutation = 4;

/// Replaces a random part of a message, so that fields are missing, of another type, out of range,
/// nested or not text.
std::string
Mutate(std::string aText, pcg32& aRandom)
{
  static constexpr std::array kParts = {
    std::string_view("null"),     std::string_view("-1"),
    std::string_view("1e300"),    std::string_view("18446744073709551616"),
    std::string_view("\"\""),     std::string_view("[[]]"),
    std::string_view("{}"),       std::string_view("true"),
    std::string_view("\xff\xfe"), std::string_view(",")
  };
  const auto changes = 1 + aRandom(kMaxChangesPerMutation);
  for (std::uint32_t change = 0; change < changes; ++change) {
    const auto size = static_cast<std::uint32_t>(aText.size());
    const auto begin = aRandom(size + 1);
    constexpr std::uint32_t kMaxLength = 12;
    const auto length = aRandom(kMaxLength);
    switch (aRandom(4)) {
      case 0:
        aText.replace(begin, length, kParts.at(aRandom(kParts.size())));
        break;
      case 1:
        aText.erase(begin, length);
        break;
      case 2:
        aText.insert(begin, aText.substr(begin, length));
        break;
      default:
        aText.insert(begin, 1, static_cast<char>(aRandom(256)));
        break;
    }
  }
  return aText;
}

/// A message and what reads it. Reading must end with a value or a verdict.
struct Sample
{
  std::string_view name;
  std::string text;
  std::function<void(const std::string&)> read;
};

template<typename Reader>
std::function<void(const std::string&)>
ReadJson(Reader aReader)
{
  return [aReader](const std::string& aText) {
    const auto parsed = ParseJson(aText);
    if (!IsError(parsed)) {
      aReader(ValueOf(parsed));
    }
  };
}

std::function<void(const std::string&)>
CallInstance(std::string aPath)
{
  return [path = std::move(aPath)](const std::string& aText) {
    InstanceCallServer server(
      { .advise = [](const cell::AdviceRequest&,
                     const cell::Handler<cell::AdviceResponse>& aHandler) { aHandler({}); },
        .jobStatus = [](const JobId&) { return cell::JobStatus{}; },
        .checkStore = [](const cell::Handler<bool>& aHandler) { aHandler(true); },
        .onLeaderResigned = [](const cell::Resignation&) {},
        .documentVersion = [] { return std::uint64_t{ 1 }; },
        .handleForwarded = [](const IncomingRequest&,
                              const Respond& aRespond) { aRespond({ .body = "{}" }); } });
    int responses = 0;
    server.Handle({ .path = path, .body = aText },
                  [&responses](const OutgoingResponse&) { ++responses; });
    EXPECT_EQ(responses, 1) << path << " " << aText;
  };
}

std::vector<Sample>
Samples()
{
  std::vector<Sample> samples;
  samples.push_back(
    { .name = "document",
      .text = R"({"Version":12,"Routes":[{"Name":"q","Host":"h","PathPrefix":"/a/","Service":"s",
"Priority":0,"SloMs":250,"Attempts":3,"Stretch":1.5,"Advice":{"DecideMs":5.5,"EachMs":0.25,
"ValidMs":1500}}],"Services":[{"Name":"s","EnforcesCapacity":false}],"Limits":{"BodyBytes":1000},
"Tenants":[{"Name":"t","ApiKeys":["k"],"Weight":38,"Maximum":{"Cpu":5000}}]})",
      .read = [](const std::string& aText) { (void)DecodeDocument(aText); } });
  samples.push_back(
    { .name = "worker",
      .text = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Seq":4,
"Capacity":{"Cpu":32000,"MemMb":65536,"Gpus":0},"Labels":["a","r1"],"Machine":"m","born":17})",
      .read = [](const std::string& aText) { (void)DecodeWorkerEntry("i-1", aText); } });
  samples.push_back(
    { .name = "job",
      .text = R"({"Spec":"text","Phases":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":900},
{"Count":20,"Cpu":2000,"After":[0],"Gang":true}],"Times":2,"IntervalMs":50})",
      .read = [](const std::string& aText) { (void)DecodeJob(aText); } });
  samples.push_back(
    { .name = "report",
      .text = R"({"ClockMs":482113,"born":17,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"00b",41,500]],
"Ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
      .read = [](const std::string& aText) {
        std::size_t unreadable = 0;
        (void)DecodeReport(aText, unreadable);
      } });
  samples.push_back(
    { .name = "advice",
      .text = R"({"Good":[["i-1","ticket"],["i-2","ticket"]]})",
      .read = ReadJson([](const Json::Value& aValue) { (void)DecodeAdvice(aValue); }) });
  samples.push_back(
    { .name = "settings",
      .text = R"({"Node":"n","Zone":"z","Ip":"10.0.0.1","Listen":{"Front":"10.0.0.1:81",
"Ready":"10.0.0.1:82"},"PortRange":[7400,7410],"Limits":{"CpuShare":0.25,"Cores":1},
"Bounds":{"GraceS":6,"HoldMaxMs":9000},"platform":{"Address":"10.0.0.9:80"}})",
      .read = [](const std::string& aText) { (void)DecodeBootSettings(aText); } });
  samples.push_back(
    { .name = "leader record",
      .text = cell::EncodeLeaderRecord({ .instance = "a",
                                         .incarnation = "1",
                                         .token = 7,
                                         .workers = { "w1", "w2" },
                                         .drainingJobs = { { { "w1" }, { { "job" } } } },
                                         .backlog = { { "q", 3 } } }),
      .read = [](const std::string& aText) { (void)cell::DecodeLeaderRecord(aText); } });
  samples.push_back(
    { .name = "instance record",
      .text = cell::EncodeInstanceRecord({ .incarnation = "1", .zone = "z" }),
      .read = [](const std::string& aText) { (void)cell::DecodeInstanceRecord(aText); } });
  samples.push_back(
    { .name = "progress",
      .text = cell::EncodeProgress(
        { .hasStarted = true,
          .succeededSteps = { { 0, 0, 0 } },
          .tasks = { { .key = { 0, 1, 2 }, .failedRuns = { 4, 5 }, .checkpoint = "c" } } }),
      .read = [](const std::string& aText) { (void)cell::DecodeProgress(aText); } });
  samples.push_back({ .name = "specification",
                      .text = cell::EncodeSpecification(
                        { .id = { "job" }, .steps = { { .count = 2, .dependsOn = {} } } }),
                      .read = [](const std::string& aText) {
                        (void)cell::DecodeSpecification({ "job" }, aText);
                      } });
  samples.push_back(
    { .name = "ended job",
      .text = cell::EncodeEndedJob({ .workspace = { "t" }, .queue = { "q" } }),
      .read = [](const std::string& aText) { (void)cell::DecodeEndedJob(aText); } });
  samples.push_back(
    { .name = "advice call",
      .text = R"({"job":"j","occurrence":0,"step":1,"workers":["w1"],"expected_ms":20})",
      .read = CallInstance("/instance/advise") });
  samples.push_back({ .name = "resignation call",
                      .text = R"({"token":42,"workers":["w1","w2"]})",
                      .read = CallInstance("/instance/resign") });
  samples.push_back(
    { .name = "forwarded call",
      .text = R"({"method":1,"path":"/q/00ff","bearer":"k","host":"h","body":"{}","document":1})",
      .read = CallInstance("/instance/call") });
  return samples;
}

}

// One malformed message must not take the process down: neither from the platform, nor from a
// caller, another instance or a row that another program wrote.
TEST(MutatedMessages, EndWithAValueOrAVerdict)
{
  pcg32 random(kSeed);
  for (const auto& sample : Samples()) {
    for (int number = 0; number < kMutationsPerSample; ++number) {
      const auto text = Mutate(sample.text, random);
      EXPECT_NO_THROW(sample.read(text)) << sample.name << ": " << text;
      if (HasFailure()) {
        return;
      }
    }
  }
}

}
