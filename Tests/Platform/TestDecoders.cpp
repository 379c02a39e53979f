#include <LibPlatform/Json.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gtest/gtest.h>
#include <json/json.h>
#include <platform/Base64.h>
#include <platform/BootSettings.h>
#include <platform/Decoders.h>
#include <platform/StoreClient.h>
#include <platform/WorkerMessages.h>

namespace zinc::platform::test {

namespace {

constexpr std::string_view kDocument = R"({
  "Version": 12,
  "Routes": [
    {"Name": "q1", "Host": "h1", "PathPrefix": "/a/", "Service": "svc", "Priority": 0,
     "SloMs": 250, "Attempts": 3, "Stretch": 1.5, "Public": false,
     "Advice": {"DecideMs": 5.5, "EachMs": 0.25, "ValidMs": 1500}},
    {"Name": "q2", "Host": "h1", "PathPrefix": "/a/b/", "Service": "svc", "Public": true}],
  "Services": [{"Name": "svc", "HealthPath": "/health", "EnforcesCapacity": false}],
  "Limits": {"BodyBytes": 1000, "HeaderBytes": 2000},
  "Tenants": [{"Name": "t1", "ApiKeys": ["k1", "k2"], "Weight": 38,
               "Maximum": {"Cpu": 5000, "MemMb": 6000}}]})";

constexpr std::string_view kSettings = R"({
  "Node": "n1", "Zone": "z1", "Ip": "10.0.0.1",
  "Listen": {"Front": "10.0.0.1:81", "Ready": "10.0.0.1:82"},
  "PortRange": [7400, 7410], "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 160, "MaxFds": 4100},
  "Bounds": {"GraceS": 6, "HoldMaxMs": 9000, "KillGraceMs": 900, "status_s": 60},
  "platform": {"Address": "10.0.0.9:80"}, "Advice": "10.0.0.8:80", "Unknown": [1]})";

}

TEST(Decoders, DecodesTheDocument)
{
  const auto decoded = DecodeDocument(kDocument);
  ASSERT_FALSE(IsError(decoded)) << ErrorOf(decoded).message;
  const auto& policy = ValueOf(decoded);
  EXPECT_EQ(policy.version, 12U);
  EXPECT_EQ(policy.maxBodyBytes, 1000U);
  EXPECT_EQ(policy.maxHeaderBytes, 2000U);
  const auto* longestMatch = policy.FindRoute("h1", "/a/b/0123");
  ASSERT_NE(longestMatch, nullptr);
  EXPECT_EQ(longestMatch->queue.name.value, "q2");
  EXPECT_TRUE(longestMatch->isPublic);
  const auto& queue = policy.FindRouteByQueue({ "q1" })->queue;
  EXPECT_TRUE(queue.needsAdvice);
  EXPECT_EQ(queue.advice.ticketValidity, Milliseconds{ 1500 });
  EXPECT_EQ(queue.slack, Milliseconds{ 250 });
  EXPECT_EQ(policy.workspaceByApiKey.at("k2").value, "t1");
  EXPECT_EQ(policy.workspaces.at({ "t1" }).quota.milliCores, 5000);
  EXPECT_EQ(policy.FindRoute("h2", "/a/"), nullptr);
}

TEST(Decoders, RejectsMalformedDocuments)
{
  for (const std::string_view text :
       { "", "[]", "{\"Version\":1,\"Routes\":{}}", "{\"Version\":\"x\"}", "\xff" }) {
    EXPECT_TRUE(IsError(DecodeDocument(text))) << text;
  }
  const auto withoutRoute = DecodeDocument("{\"Version\":1,\"Routes\":[{}]}");
  ASSERT_FALSE(IsError(withoutRoute)) << "one malformed route costs no other";
  EXPECT_TRUE(ValueOf(withoutRoute).routes.empty());
  EXPECT_FALSE(ValueOf(withoutRoute).faults.empty());
}

// Guards against an instance that refuses every call since one field of one route or workspace
// cannot be read, and against a limit or a priority that is lifted by it.
TEST(Decoders, OneUnreadableFieldDoesNotCostTheDocument)
{
  constexpr std::string_view kFaulty = R"({"Version":12,
    "Routes":[{"Name":"q1","Host":"h","PathPrefix":"/a/","Service":"s","Priority":"high",
               "Attempts":2.5,"SloMs":-1,"Advice":7},
              {"Name":"q2","Host":"h","PathPrefix":7,"Service":"s"},
              7,
              {"Name":"q3","Host":"h","PathPrefix":"/c/","Service":"s","Priority":1}],
    "Services":[{"Name":"s"},{"Name":[]}],
    "Limits":{"BodyBytes":"many","HeaderBytes":2000},
    "Tenants":[{"Name":"t1","ApiKeys":["k1",2],"Weight":true,"Maximum":{"Cpu":"5000","MemMb":0.5}},
               {"Name":7,"ApiKeys":["k2"]},
               {"Name":"t3","ApiKeys":["k3"],"Maximum":7}]})";
  const auto decoded = DecodeDocument(kFaulty);
  ASSERT_FALSE(IsError(decoded)) << ErrorOf(decoded).message;
  const auto& policy = ValueOf(decoded);
  ASSERT_EQ(policy.routes.size(), 2U);
  const auto& queue = policy.routes[0].queue;
  EXPECT_GT(queue.priority, 0U) << "it must not preempt others";
  EXPECT_EQ(queue.maxAttempts, 1U);
  EXPECT_TRUE(queue.needsAdvice);
  EXPECT_GT(queue.advice.ticketValidity, Milliseconds{ 0 });
  EXPECT_EQ(policy.routes[1].queue.priority, 1U);
  EXPECT_EQ(policy.pools.size(), 1U);
  EXPECT_EQ(policy.maxBodyBytes, cell::CellPolicy{}.maxBodyBytes);
  EXPECT_EQ(policy.maxHeaderBytes, 2000U);
  EXPECT_EQ(policy.workspaceByApiKey.size(), 2U);
  EXPECT_EQ(policy.workspaces.at({ "t1" }).quota, (Resources{ .milliCores = 1, .memoryMiB = 1 }))
    << "0 would mean no limit";
  EXPECT_EQ(policy.workspaces.at({ "t3" }).quota,
            (Resources{ .milliCores = 1, .memoryMiB = 1, .accelerators = 1 }));
  EXPECT_EQ(policy.faults.size(), 13U) << fmt::format("{}", fmt::join(policy.faults, "\n"));
  for (const auto& fault : policy.faults) {
    EXPECT_EQ(fault.find("k1"), std::string::npos) << "keys are secret: " << fault;
  }
}

TEST(Decoders, DecodesAWorkerRow)
{
  const auto decoded = DecodeWorkerEntry(
    "i-1",
    R"({"Service":"svc","Address":"10.1.2.3:80","Zone":"z","State":"draining","Labels":["a","r1-3"],
        "Capacity":{"Cpu":16000,"MemMb":32768},"Machine":"m-1","born":17,"Seq":4})");
  ASSERT_FALSE(IsError(decoded)) << ErrorOf(decoded).message;
  const auto& entry = ValueOf(decoded);
  EXPECT_TRUE(entry.isDraining);
  EXPECT_EQ(entry.rack.value, "r1-3");
  EXPECT_EQ(entry.address, "10.1.2.3");
  EXPECT_EQ(entry.port, 80);
  EXPECT_EQ(entry.capacity.memoryMiB, 32768);
  EXPECT_EQ(entry.incarnation, 17);
}

// Guards against starts by an old capacity: a row without any capacity left must be readable.
TEST(Decoders, DecodesAWorkerRowWithoutCapacityLeft)
{
  const std::string rest = R"("Service":"s","Address":"10.1.2.3:80","Zone":"z","State":"ready")";
  const auto decoded = DecodeWorkerEntry("i-1", "{" + rest + R"(,"Capacity":{"Cpu":0}})");
  ASSERT_FALSE(IsError(decoded)) << ErrorOf(decoded).message;
  EXPECT_EQ(ValueOf(decoded).capacity, Resources{});
  for (const auto* capacity : { "", ",\"Capacity\":null", ",\"Capacity\":7" }) {
    EXPECT_TRUE(IsError(DecodeWorkerEntry("i-1", "{" + rest + capacity + "}"))) << capacity;
  }
}

// Guards against a request that is not understood, and against a foreign row taken for a request.
TEST(Decoders, DecodesTheKeysOfEvacuations)
{
  EXPECT_EQ(ValueOf(DecodeEvacuationKey("evacuate/z1")), ZoneId{ "z1" });
  EXPECT_EQ(ValueOf(DecodeEvacuationKey(kDocumentKey)), std::nullopt);
  for (const std::string_view key :
       { "evacuate/", "evacuate/z1/z2", "evacuate/z 1", "evacuate/\xff" }) {
    EXPECT_TRUE(IsError(DecodeEvacuationKey(key))) << key;
  }
}

// Guards against a worker that is lost to the cell because of an unreadable cold time.
TEST(Decoders, DecodesTheColdTimeOfAWorker)
{
  const std::string rest =
    R"({"Service":"s","Address":"10.1.2.3:80","Zone":"z","State":"ready","Capacity":{"Cpu":1})";
  const auto decode = [&rest](const std::string& aTime) {
    return ValueOf(DecodeWorkerEntry("i-1", rest + aTime + "}")).coldLeft;
  };
  EXPECT_EQ(decode(""), Milliseconds{ 0 });
  EXPECT_EQ(decode(R"(,"ColdLeftMs":7500.5)"), Milliseconds{ 7500 });
  EXPECT_EQ(decode(R"(,"ColdLeftMs":-1)"), Milliseconds{ 0 });
  EXPECT_EQ(decode(R"(,"ColdLeftMs":"x")"), Milliseconds{ 0 });
}

// Rows of other writers: missing fields, wrong types, an unknown state, binary data.
TEST(Decoders, RejectsForeignWorkerRows)
{
  const std::string rest = R"("Zone":"z","Labels":["a","r"],"Capacity":{"Cpu":1,"MemMb":1})";
  for (const std::string& text :
       { std::string("{}"),
         "{\"Service\":\"s\",\"Address\":\"10.1.2.3:80\",\"State\":\"odd\"," + rest + "}",
         "{\"Service\":\"s\",\"Address\":\"10.1.2.3\",\"State\":\"ready\"," + rest + "}",
         "{\"Service\":\"s\",\"Address\":\"10.1.2.3:x\",\"State\":\"ready\"," + rest + "}",
         "{\"Service\":7,\"Address\":\"10.1.2.3:80\",\"State\":\"ready\"," + rest + "}",
         std::string("\x00\xff\x80", 3) }) {
    EXPECT_TRUE(IsError(DecodeWorkerEntry("i-1", text))) << text;
  }
}

TEST(Decoders, DecodesAJobWithOmittedZeroFields)
{
  const auto decoded = DecodeJob(
    R"({"Spec":"s","Phases":[{"Count":2,"Cpu":500,"EstimateMs":900,"Affinity":"r1"},
        {"Count":3,"Gang":true,"After":[0],"AntiAffinity":1,"Constraints":"b","Checkpointing":true}]})");
  ASSERT_FALSE(IsError(decoded)) << ErrorOf(decoded).message;
  const auto& spec = ValueOf(decoded);
  ASSERT_EQ(spec.steps.size(), 2U);
  EXPECT_EQ(spec.steps[0].dataRack, "r1");
  EXPECT_EQ(spec.steps[0].demand.memoryMiB, 0);
  EXPECT_TRUE(spec.steps[1].isGang);
  EXPECT_EQ(spec.steps[1].maxTasksPerWorker, 1U);
  EXPECT_EQ(spec.steps[1].requiredLabel, "b");
  EXPECT_EQ(spec.steps[1].dependsOn, std::vector<std::uint32_t>{ 0 });
  EXPECT_FALSE(spec.steps[1].hasAvailabilityBudget);
}

TEST(Decoders, RejectsInvalidJobs)
{
  for (const std::string_view text : { "",
                                       "{}",
                                       R"({"Phases":[]})",
                                       R"({"Phases":[{"Count":0}]})",
                                       R"({"Phases":[{"Count":-1}]})",
                                       R"({"Phases":[{"Count":1,"After":[0]}]})",
                                       R"({"Phases":[{"Count":1,"Cpu":"many"}]})",
                                       R"({"Phases":[{"Count":99999999999}]})" }) {
    EXPECT_TRUE(IsError(DecodeJob(text))) << text;
  }
}

TEST(Decoders, DecodesAWorkerReportAndCountsMalformedEntries)
{
  constexpr std::string_view kReport =
    R"({"ClockMs":500,"born":9,
        "Running":[["0123456789abcdef.0.1.17",2,"saved",41,12],["bad",1,"",0]],
        "Ended":[[8,"0123456789abcdef.0.1.9",1,"lapsed",""],[7,"0123456789abcdef.0.1.8",1,"done",""],
                 [9,"0123456789abcdef.0.1.9",1,"odd",""]]})";
  std::size_t unreadable = 0;
  const auto report = DecodeReport(kReport, unreadable);
  ASSERT_FALSE(IsError(report));
  EXPECT_EQ(unreadable, 2U);
  ASSERT_EQ(ValueOf(report).activeRuns.size(), 1U);
  EXPECT_EQ(ValueOf(report).activeRuns[0].progressPercent, 41);
  EXPECT_EQ(ValueOf(report).activeRuns[0].load, 12);
  ASSERT_EQ(ValueOf(report).endedRuns.size(), 2U);
  EXPECT_EQ(ValueOf(report).endedRuns[0].sequence, 7U) << "in the order in which they ended";
  EXPECT_EQ(ValueOf(report).endedRuns[1].outcome, cell::RunOutcome::LeaseExpired);
}

// Guards against taking a run for lost whose end is not listed yet.
TEST(Decoders, AFullListOfEndsMayHaveMore)
{
  for (const std::size_t count : { 0, 499, 500 }) {
    std::string rows;
    for (std::size_t number = 1; number <= count; ++number) {
      rows += fmt::format(
        R"({}[{},"0123456789abcdef.0.0.{}",1,"done",""])", number > 1 ? "," : "", number, number);
    }
    std::size_t unreadable = 0;
    const auto report = DecodeReport(R"({"ClockMs":5,"Ended":[)" + rows + "]}", unreadable);
    ASSERT_FALSE(IsError(report));
    EXPECT_EQ(ValueOf(report).endedRuns.size(), count);
    EXPECT_EQ(ValueOf(report).hasMoreEnds, count == 500);
  }
}

TEST(Decoders, TaskNamesRoundTrip)
{
  const cell::TaskName name{ { "0123456789abcdef" }, { 3, 1, 42 } };
  EXPECT_EQ(DecodeTaskName(EncodeTaskName(name)), name);
  for (const std::string_view text : { "", "a", "a.b.c.d", "a.1.2", "a.1.2.3x" }) {
    EXPECT_FALSE(DecodeTaskName(text).has_value()) << text;
  }
}

TEST(Decoders, DecodesTheSettingsAndNamesAnInvalidField)
{
  const auto settings = DecodeBootSettings(kSettings);
  ASSERT_FALSE(IsError(settings)) << ErrorOf(settings).message;
  EXPECT_EQ(ValueOf(settings).callers.port, 81);
  EXPECT_EQ(ValueOf(settings).maxLease, Milliseconds{ 9000 });
  EXPECT_EQ(ValueOf(settings).maxStopDuration, Milliseconds{ 900 });
  EXPECT_EQ(ValueOf(settings).statusRetention, Milliseconds{ 60'000 });
  EXPECT_EQ(ValueOf(settings).milliCores, 250U);
  EXPECT_EQ(ValueOf(settings).memoryMiB, 160);
  EXPECT_EQ(ValueOf(settings).maxDescriptors, 4100);
  EXPECT_FALSE(ValueOf(settings).machines.has_value());
  EXPECT_FALSE(ValueOf(settings).hasZoneContract);
  auto newer = std::string(kSettings);
  newer.replace(newer.find(R"("Unknown")"), 0, R"("Contracts": ["rules", "places"], )");
  EXPECT_TRUE(ValueOf(DecodeBootSettings(newer)).hasZoneContract);
  const auto faulty = DecodeBootSettings(R"({"Node":"n","Zone":"z","Ip":"i","Listen":{},
    "PortRange":[1,2],"platform":{"Address":"10.0.0.9:80"},"Bounds":{}})");
  ASSERT_TRUE(IsError(faulty));
  EXPECT_NE(ErrorOf(faulty).message.find("Front"), std::string::npos) << ErrorOf(faulty).message;
}

// Guards against a process that ends for an address that it can do without, and against a fault in
// one that goes unnoticed.
TEST(Decoders, NamesInvalidAndAcceptsMissingOptionalAddresses)
{
  const auto decodeWith = [](const std::string& aFields) {
    auto text = std::string(kSettings);
    const std::string_view advice = R"("Advice": "10.0.0.8:80")";
    return DecodeBootSettings(text.replace(text.find(advice), advice.size(), aFields));
  };
  for (const char* absent : { R"("Advice": "")", R"("Cloud": {"Address": ""})", R"("Other": 1)" }) {
    const auto settings = decodeWith(absent);
    ASSERT_FALSE(IsError(settings)) << absent;
    EXPECT_FALSE(ValueOf(settings).advice) << absent;
    EXPECT_FALSE(ValueOf(settings).machines) << absent;
    EXPECT_TRUE(ValueOf(settings).faults.empty()) << absent;
  }
  for (const auto& [invalid, fault] :
       { std::pair(R"("Advice": "10.0.0.8")", "settings.Advice"),
         std::pair(R"("Cloud": {"Address": "nowhere"})", "Cloud.Address"),
         std::pair(R"("Cloud": 7)", "Cloud") }) {
    const auto settings = decodeWith(invalid);
    ASSERT_FALSE(IsError(settings)) << invalid;
    EXPECT_FALSE(ValueOf(settings).advice) << invalid;
    EXPECT_FALSE(ValueOf(settings).machines) << invalid;
    ASSERT_EQ(ValueOf(settings).faults.size(), 1U) << invalid;
    EXPECT_TRUE(ValueOf(settings).faults[0].starts_with(fault)) << ValueOf(settings).faults[0];
  }
}

TEST(Decoders, Base64RoundTrips)
{
  for (std::size_t size = 0; size < 20; ++size) {
    const std::string bytes(size, '\xfe');
    EXPECT_EQ(DecodeBase64(EncodeBase64(bytes)), bytes);
  }
  EXPECT_FALSE(DecodeBase64("abc").has_value());
  EXPECT_FALSE(DecodeBase64("!!!!").has_value());
}

}
