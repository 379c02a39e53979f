#include <System/ChildProcess.h>
#include <System/HttpCaller.h>
#include <chrono>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>

namespace zinc::platform::test {

namespace {

/// Longest wait for the program to listen or to log; only a failing run lasts so long.
constexpr Milliseconds kPatience{ 10'000 };
constexpr Milliseconds kPollInterval{ 20 };
/// Long enough that a process that keeps it overruns the new one.
constexpr std::string_view kOldGrace = "9";
constexpr std::string_view kNewGrace = "4.25";
constexpr Milliseconds kNewGraceTime{ 4250 };

/// An instance whose store cannot be reached, and its settings file.
class SettingsFile : public testing::Test
{
protected:
  SettingsFile()
  {
    const auto* name = testing::UnitTest::GetInstance()->current_test_info()->name();
    this->path = testing::TempDir() + "zinc-settings-" + name;
    this->ports = { FreePort(), FreePort(), FreePort(), FreePort() };
  }

  /// @param aGrace the text of the bound's value
  void Write(std::string_view aGrace)
  {
    std::ofstream(this->path + ".json") << fmt::format(
      R"({{"Node":"n1","Zone":"z1","Ip":"127.0.0.1","Listen":{{"Front":"127.0.0.1:{}",
"Ready":"127.0.0.1:{}"}},"PortRange":[{},{}],"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,
"MaxFds":4200}},"Bounds":{{"GraceS":{},"HoldMaxMs":6000}},"platform":{{"Address":"127.0.0.1:{}"}}}})",
      this->ports[0],
      this->ports[1],
      this->ports[2],
      this->ports[2],
      aGrace,
      this->ports[3]);
  }

  /// Starts the program.
  /// @return true once it answers
  [[nodiscard]] bool Start()
  {
    std::ofstream(this->path + ".log", std::ios::trunc).close();
    auto started =
      ChildProcess::Start({ .program = ZINC_PROGRAMS "/zinc-entry",
                            .arguments = { "--platform", "ZINCSHORE_BOOT" },
                            .environment = { "ZINCSHORE_BOOT=" + this->path + ".json" },
                            .logFile = this->path + ".log" });
    if (IsError(started)) {
      return false;
    }
    this->process = std::move(ValueOf(started));
    return this->WaitUntil([this] {
      const auto outcome =
        PerformHttp({ .to = { "127.0.0.1", this->ports[1] }, .target = "/v1/readiness" });
      return std::holds_alternative<HttpAnswer>(outcome);
    });
  }

  /// @return true if the log says this in time
  [[nodiscard]] bool Logs(std::string_view aText)
  {
    return this->WaitUntil([&] { return this->Log().find(aText) != std::string::npos; });
  }

  [[nodiscard]] std::string Log() const
  {
    std::ostringstream text;
    text << std::ifstream(this->path + ".log").rdbuf();
    return text.str();
  }

  /// Waits for a condition, as long as the process runs.
  template<typename Condition>
  [[nodiscard]] bool WaitUntil(Condition aCondition)
  {
    const auto until = SteadyClock().Now() + kPatience;
    while (SteadyClock().Now() < until && this->process->IsRunning()) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return false;
  }

  std::string path;
  std::array<std::uint16_t, 4> ports{};
  std::optional<ChildProcess> process;
};

}

// Guards against a process that does not start since a bound is written in another form, or cannot
// be read (review case 12).
TEST_F(SettingsFile, OneBoundDoesNotKeepAProcessFromStarting)
{
  for (const auto* grace : { "4.5", "6.0", "6e0", "6", "0" }) {
    this->Write(grace);
    ASSERT_TRUE(this->Start()) << grace << "\n" << this->Log();
    EXPECT_TRUE(this->Logs("settings_read")) << grace;
    EXPECT_EQ(this->Log().find("settings_field_unreadable"), std::string::npos) << this->Log();
  }
  for (const auto* grace :
       { "\"six\"", "-1", "true", "[6]", "1e300", "1e400", "9223372036854775807" }) {
    this->Write(grace);
    ASSERT_TRUE(this->Start()) << grace << "\n" << this->Log();
    EXPECT_TRUE(this->Logs("settings_field_unreadable")) << grace;
    EXPECT_NE(this->Log().find("GraceS"), std::string::npos) << this->Log();
  }
}

// Guards against a process that keeps its former grace period since the new one is a fraction, and
// is killed before it has ended.
TEST_F(SettingsFile, AFractionHoldsFromTheSignalOn)
{
  this->Write(kOldGrace);
  ASSERT_TRUE(this->Start());
  this->Write(kNewGrace);
  this->process->Signal(SIGHUP);
  ASSERT_TRUE(this->Logs("settings_reloaded")) << this->Log();
  this->process->Signal(SIGTERM);
  EXPECT_EQ(this->process->WaitFor(kNewGraceTime), 0) << this->Log();
}

// Guards against the same when the file changes without a signal.
TEST_F(SettingsFile, AChangeWithoutASignalHoldsAtTheShutdown)
{
  this->Write(kOldGrace);
  ASSERT_TRUE(this->Start());
  this->Write(kNewGrace);
  this->process->Signal(SIGTERM);
  EXPECT_EQ(this->process->WaitFor(kNewGraceTime), 0) << this->Log();
}

// Guards against a file that means one thing to a running process and another to one that starts.
TEST_F(SettingsFile, AnUnreadableBoundMeansTheSameAtTheSignalAndAtTheStart)
{
  constexpr std::string_view kUnreadable = R"("six")";
  constexpr std::string_view kDefaultGrace = "grace_ms=6000";
  this->Write(kOldGrace);
  ASSERT_TRUE(this->Start());
  this->Write(kUnreadable);
  this->process->Signal(SIGHUP);
  EXPECT_TRUE(this->Logs("settings_field_unreadable")) << this->Log();
  EXPECT_TRUE(this->Logs(fmt::format("settings_reloaded {}", kDefaultGrace))) << this->Log();
  ASSERT_TRUE(this->Start());
  EXPECT_TRUE(this->Logs("settings_field_unreadable")) << this->Log();
  EXPECT_TRUE(this->Logs(fmt::format("settings_read {}", kDefaultGrace))) << this->Log();
}

}
