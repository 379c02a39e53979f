#include <LibPlatform/Json.h>
#include <System/ChildProcess.h>
#include <System/HttpCaller.h>
#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <json/json.h>
#include <thread>

namespace zinc {

namespace {

/// Longest wait for the program to listen; only a failing run lasts so long.
constexpr Milliseconds kStartBound{ 10000 };
constexpr Milliseconds kPollInterval{ 50 };
constexpr std::string_view kJob =
  R"({{"queue":"batch","request_id":"roster-1","payload":"","first_ask":{}}})";

/// An instance none of whose dependencies can be reached, so that it never learns the document.
class StartingEntry : public testing::Test
{
protected:
  StartingEntry()
    : listen{ "127.0.0.1", FreePort() }
  {
    const std::string directory = testing::TempDir();
    const std::string file = directory + "zinc-starting-entry.yaml";
    std::ofstream settings(file);
    settings << fmt::format("name: alone-1\nzone: alone\nrack: r1\nlisten: 127.0.0.1:{}\n"
                            "peer: 127.0.0.1:{}\nplatform:\n  table: 127.0.0.1:{}\n"
                            "  object_store: 127.0.0.1:{}\n  instance_list: 127.0.0.1:{}\n",
                            this->listen.port,
                            FreePort(),
                            FreePort(),
                            FreePort(),
                            FreePort());
    settings.close();
    auto started = ChildProcess::Start({ .program = ZINC_PROGRAMS "/zinc-entry",
                                         .arguments = { "--settings", file },
                                         .logFile = directory + "zinc-starting-entry.log" });
    if (!IsError(started)) {
      this->process = std::move(ValueOf(started));
    }
  }

  /// @return the error object of the answer to a submission; null if none came.
  [[nodiscard]] Json::Value Submit(bool aFirstAsk) const
  {
    const TimePoint until = SteadyClock().Now() + kStartBound;
    while (SteadyClock().Now() < until) {
      const HttpOutcome outcome = PerformHttp({ .to = this->listen,
                                                .method = "POST",
                                                .target = "/v1/jobs",
                                                .bearer = "key",
                                                .body = fmt::format(kJob, aFirstAsk) });
      if (const auto* answer = std::get_if<HttpAnswer>(&outcome)) {
        const auto body = ParseJson(answer->body);
        return IsError(body) ? Json::Value() : ValueOf(body)["error"];
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return {};
  }

  Endpoint listen;
  std::optional<ChildProcess> process;
};

}

TEST_F(StartingEntry, SaysOfARepeatedSubmissionThatItMayHaveRun)
{
  ASSERT_TRUE(this->process);
  const Json::Value first = this->Submit(true);
  EXPECT_EQ(first["code"].asString(), "unavailable");
  EXPECT_EQ(first["run"].asString(), "not run");
  const Json::Value repeated = this->Submit(false);
  EXPECT_EQ(repeated["code"].asString(), "unavailable");
  EXPECT_EQ(repeated["run"].asString(), "may have run");
}

}
