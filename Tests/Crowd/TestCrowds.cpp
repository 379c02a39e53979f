#include <Crowd/Crowd.h>
#include <Soak/JobBody.h>
#include <Soak/SoakCell.h>
#include <System/HttpCaller.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace zinc::crowd {

namespace {

/// Limits of the instance, as its settings say. Without load it uses a fifth of the memory.
constexpr std::int64_t kMemoryMiB = 64;
constexpr std::int64_t kDescriptors = 500;
/// Longest body and header that the document allows; the platform's defaults.
constexpr std::size_t kBodyBytes = 262'144;
constexpr std::size_t kHeaderBytes = 16'384;
constexpr std::size_t kMiB = std::size_t{ 1 } << 20U;
constexpr unsigned kOk = 200;
constexpr soak::StepBody kSmallStep{ .milliCores = 250, .memoryMiB = 64, .estimateMs = 100 };

/// One instance with a store and workers of its own, and what its process uses.
class Crowds : public testing::Test
{
protected:
  void SetUp() override
  {
    const auto* test = testing::UnitTest::GetInstance()->current_test_info();
    auto name = fmt::format("zinc-crowd-{}", test->name());
    std::ranges::replace(name, '/', '-');
    const auto directory = testing::TempDir() + name;
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    auto started =
      soak::SoakCell::Start({ .program = ZINC_PROGRAMS "/zinc-entry",
                              .directory = directory,
                              .instances = 1,
                              .limits = { .memoryMiB = kMemoryMiB, .descriptors = kDescriptors } },
                            this->recorder);
    ASSERT_FALSE(IsError(started)) << ErrorOf(started).message;
    this->cell = std::move(ValueOf(started));
    this->process = this->cell->ProcessOf(0)->Id();
  }

  /// Checks that the process serves an ordinary caller and lives within its limits.
  void ExpectSound(const HttpCallSpec& aOrdinaryCall)
  {
    const auto outcome = PerformHttp(aOrdinaryCall);
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    EXPECT_NE(answer, nullptr) << "an ordinary request got no answer";
    EXPECT_EQ(answer != nullptr ? answer->status : 0, kOk);
    ASSERT_NE(this->cell->ProcessOf(0), nullptr);
    ASSERT_TRUE(this->cell->ProcessOf(0)->IsRunning());
    const auto descriptors = this->CountDescriptors();
    const auto peakMiB = this->PeakMiB();
    RecordProperty("descriptors", static_cast<int>(descriptors));
    RecordProperty("peak_mib", static_cast<int>(peakMiB));
    EXPECT_LE(descriptors, static_cast<std::size_t>(kDescriptors));
    EXPECT_LE(peakMiB, kMemoryMiB);
  }

  [[nodiscard]] HttpCallSpec Submission(const std::string& aJob, const soak::JobBody& aBody) const
  {
    return { .to = this->cell->Callers(0),
             .method = "POST",
             .target = "/work/" + aJob,
             .bearer = this->cell->Keys().KeyOf(0),
             .body = soak::WriteJobBody(aBody) };
  }
  [[nodiscard]] HttpCallSpec OrdinarySubmission() const
  {
    return this->Submission("00000000000000aa", { .steps = { kSmallStep } });
  }

  /// @return the highest resident memory that the process has had
  [[nodiscard]] std::int64_t PeakMiB() const
  {
    std::ifstream file(fmt::format("/proc/{}/status", this->process));
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream words(line);
      std::string name;
      std::int64_t kibibytes = 0;
      words >> name >> kibibytes;
      if (name == "VmHWM:") {
        return kibibytes / 1024;
      }
    }
    ADD_FAILURE() << "the process's memory cannot be read";
    return 0;
  }

  [[nodiscard]] std::size_t CountDescriptors() const
  {
    std::size_t count = 0;
    std::error_code ignored;
    const std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", this->process),
                                                    ignored);
    for (const auto& file : files) {
      static_cast<void>(file);
      ++count;
    }
    return count;
  }

  soak::Recorder recorder;
  std::unique_ptr<soak::SoakCell> cell;
  pid_t process = 0;
};

/// A request that goes on without end after what a bound on its header and body covers.
struct EndlessRequest
{
  std::string name;
  std::string begin;
  std::string filler;

  friend std::ostream& operator<<(std::ostream& aStream, const EndlessRequest& aRequest)
  {
    return aStream << aRequest.name;
  }
};

using Listener = Endpoint (soak::SoakCell::*)(std::size_t) const;

struct ListenerCase
{
  std::string name;
  Listener listener;

  friend std::ostream& operator<<(std::ostream& aStream, const ListenerCase& aCase)
  {
    return aStream << aCase.name;
  }
};

const std::string kChunkedHeader = "POST /work/00000000000000bb HTTP/1.1\r\nHost: h\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n";

class EndlessRequests
  : public Crowds
  , public testing::WithParamInterface<std::tuple<EndlessRequest, ListenerCase>>
{};

/// A crowd of requests that each stay open just before their end.
struct HeldRequest
{
  std::string name;
  std::string begin;
  std::size_t fillerBytes = 0;
  std::size_t clients = 0;

  friend std::ostream& operator<<(std::ostream& aStream, const HeldRequest& aRequest)
  {
    return aStream << aRequest.name;
  }
};

class HeldRequests
  : public Crowds
  , public testing::WithParamInterface<HeldRequest>
{};

}

// Guards against a process that runs out of memory, because the parser keeps what is neither header
// nor body until its end has come.
TEST_P(EndlessRequests, DoNotExhaustTheMemory)
{
  constexpr std::size_t kClients = 8;
  constexpr std::size_t kBytesPerClient = 24 * kMiB;
  const auto& [request, listener] = this->GetParam();
  Crowd crowd((this->cell.get()->*listener.listener)(0));
  EXPECT_EQ(crowd.Connect(kClients), kClients);
  crowd.Send(request.begin, request.filler, kBytesPerClient);
  this->ExpectSound(this->OrdinarySubmission());
}

INSTANTIATE_TEST_SUITE_P(
  Crowd,
  EndlessRequests,
  testing::Combine(
    testing::Values(
      EndlessRequest{ "TrailerFields",
                      kChunkedHeader + "0\r\n",
                      "X-Field: " + std::string(190, 'a') + "\r\n" },
      EndlessRequest{ "TrailerLine", kChunkedHeader + "0\r\nX-Field: ", std::string(4096, 'a') },
      EndlessRequest{ "ChunkExtension", kChunkedHeader + "1;a=", std::string(4096, 'a') },
      EndlessRequest{ "ChunkedBody", kChunkedHeader, "400\r\n" + std::string(1024, 'a') + "\r\n" },
      EndlessRequest{ "Header",
                      "GET /work/ HTTP/1.1\r\n",
                      "X-Field: " + std::string(190, 'a') + "\r\n" },
      EndlessRequest{ "RequestsWhoseResponsesAreNotRead",
                      "",
                      "GET /work/00000000000000bb HTTP/1.1\r\nHost: h\r\n\r\n" }),
    testing::Values(ListenerCase{ "Callers", &soak::SoakCell::Callers },
                    ListenerCase{ "Readiness", &soak::SoakCell::Readiness },
                    ListenerCase{ "Peers", &soak::SoakCell::Peers })),
  [](const auto& aInfo) {
    return std::get<0>(aInfo.param).name + "To" + std::get<1>(aInfo.param).name;
  });

// Guards against a process that runs out of memory or descriptors although each connection keeps to
// its own bounds.
TEST_P(HeldRequests, DoNotExhaustTheProcess)
{
  const auto& request = this->GetParam();
  Crowd crowd(this->cell->Callers(0));
  crowd.Connect(request.clients);
  crowd.Send(request.begin, std::string(4096, 'a'), request.fillerBytes);
  this->ExpectSound(this->OrdinarySubmission());
}

INSTANTIATE_TEST_SUITE_P(
  Crowd,
  HeldRequests,
  testing::Values(
    HeldRequest{ .name = "BodiesBeyondTheLimit",
                 .begin = "POST /work/00000000000000bb HTTP/1.1\r\nHost: h\r\nContent-Length: "
                          "1048576\r\n\r\n",
                 .fillerBytes = kMiB - 1,
                 .clients = 100 },
    HeldRequest{ .name = "BodiesWithinTheLimit",
                 .begin = fmt::format("POST /work/00000000000000bb HTTP/1.1\r\nHost: h\r\n"
                                      "Content-Length: {}\r\n\r\n",
                                      kBodyBytes),
                 .fillerBytes = kBodyBytes - 1,
                 .clients = 400 },
    HeldRequest{ .name = "HugeBodiesAnnounced",
                 .begin = "POST /work/00000000000000bb HTTP/1.1\r\nHost: h\r\nContent-Length: "
                          "10000000000\r\n\r\n",
                 .clients = 400 },
    HeldRequest{ .name = "Headers",
                 .begin = "GET /work/ HTTP/1.1\r\nX-Field: ",
                 .fillerBytes = kHeaderBytes - 100,
                 .clients = 400 },
    HeldRequest{ .name = "NoRequest", .begin = "", .clients = 600 }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against listeners that each keep to a bound of their own and exceed the memory together.
TEST_F(Crowds, AllListenersShareTheMemory)
{
  constexpr std::size_t kClients = 200;
  constexpr std::size_t kBytesPerClient = 200'000;
  const auto begin =
    fmt::format("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", kBytesPerClient);
  const std::string filler(4096, 'a');
  Crowd callers(this->cell->Callers(0));
  Crowd peers(this->cell->Peers(0));
  callers.Connect(kClients);
  peers.Connect(kClients);
  callers.Send(begin, filler, kBytesPerClient - 1);
  peers.Send(begin, filler, kBytesPerClient - 1);
  this->ExpectSound(this->OrdinarySubmission());
}

// Guards against what the system keeps for the process: bytes that have arrived and are not read,
// as the process waits for a client that does not read its responses.
TEST_F(Crowds, UnreadRequestsStayWithinTheMemory)
{
  constexpr std::size_t kClients = 16;
  constexpr std::size_t kBytesPerClient = 24 * kMiB;
  Crowd crowd(this->cell->Callers(0));
  EXPECT_EQ(crowd.Connect(kClients), kClients);
  crowd.Send("", "GET /work/00000000000000bb HTTP/1.1\r\nHost: h\r\n\r\n", kBytesPerClient);
  const auto unreadMiB = static_cast<std::int64_t>(crowd.CountUnreadBytes() / kMiB);
  this->ExpectSound(this->OrdinarySubmission());
  EXPECT_LE(this->PeakMiB() + unreadMiB, kMemoryMiB);
}

// Guards against small requests that become large in memory: a task that has not started needs no
// object of its own.
TEST_F(Crowds, WideJobsDoNotExhaustTheMemory)
{
  constexpr int kJobs = 20;
  auto step = kSmallStep;
  step.tasks = 100'000;
  for (int number = 0; number < kJobs; ++number) {
    static_cast<void>(
      PerformHttp(this->Submission(fmt::format("{:016x}", number + 1), { .steps = { step } })));
  }
  // The leader reads an accepted job soon after. A further job would be refused while these wait.
  std::this_thread::sleep_for(Milliseconds{ 3000 });
  this->ExpectSound(
    { .to = this->cell->Callers(0), .target = "/work/", .bearer = this->cell->Keys().KeyOf(0) });
}

// Guards against small requests that become large in memory: an occurrence needs no objects before
// it can run.
TEST_F(Crowds, ManyOccurrencesDoNotExhaustTheMemory)
{
  constexpr int kJobs = 4;
  for (int number = 0; number < kJobs; ++number) {
    static_cast<void>(PerformHttp(
      this->Submission(fmt::format("{:016x}", number + 1),
                       { .steps = { kSmallStep }, .occurrences = 100'000, .intervalMs = 1 })));
  }
  std::this_thread::sleep_for(Milliseconds{ 3000 });
  this->ExpectSound(
    { .to = this->cell->Callers(0), .target = "/work/", .bearer = this->cell->Keys().KeyOf(0) });
}

// Guards against a leader that starts 100,000 tasks at once, because they ask for nothing, and
// answers nobody meanwhile.
TEST_F(Crowds, TasksWithoutDemandDoNotExhaustTheProcess)
{
  static_cast<void>(PerformHttp(this->Submission(
    "0000000000000001", { .steps = { { .tasks = 100'000, .estimateMs = 100 } } })));
  std::this_thread::sleep_for(Milliseconds{ 3000 });
  this->ExpectSound(
    { .to = this->cell->Callers(0), .target = "/work/", .bearer = this->cell->Keys().KeyOf(0) });
}

// Guards against a leader that runs out of memory because of all accepted jobs together, each of
// which keeps to the bounds on its steps.
TEST_F(Crowds, JobsOfManyStepsShareTheMemory)
{
  constexpr int kJobs = 100;
  constexpr std::size_t kSteps = 1000;
  const soak::JobBody body{ .steps = std::vector(kSteps, soak::StepBody{ .milliCores = 250 }) };
  for (int number = 0; number < kJobs; ++number) {
    static_cast<void>(PerformHttp(this->Submission(fmt::format("{:016x}", number + 1), body)));
  }
  std::this_thread::sleep_for(Milliseconds{ 3000 });
  this->ExpectSound(
    { .to = this->cell->Callers(0), .target = "/work/", .bearer = this->cell->Keys().KeyOf(0) });
}

}
