#include <LibLog/LineWriter.h>
#include <LibLog/Logger.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace zinc {

namespace {

class LineWriterTest : public testing::Test
{
protected:
  LineWriterTest()
  {
    EXPECT_EQ(::pipe(this->ends.data()), 0);
    this->options.descriptor = this->ends[1];
    this->options.now = [this] { return this->now; };
  }
  ~LineWriterTest() override
  {
    for (const int end : this->ends) {
      if (end >= 0) {
        ::close(end);
      }
    }
  }

  std::string ReadAll()
  {
    ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> buffer{};
    ssize_t count = 0;
    while ((count = ::read(this->ends[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> ends{ -1, -1 };
  std::chrono::steady_clock::time_point now{ std::chrono::seconds(100) };
  LineWriterOptions options;
};

}

TEST_F(LineWriterTest, KeepsToItsBudgetByEventAndCountsTheRest)
{
  this->options.linesPerEvent = 10;
  LineWriter writer(this->options);
  for (int line = 0; line < 1000; ++line) {
    writer.Write("flood", "flood\n");
  }
  writer.Write("rare", "rare\n");
  EXPECT_EQ(writer.LeftOut(), 990U);
  this->now += std::chrono::seconds(1);
  writer.Write("rare", "rare\n");
  writer.Flush();
  const auto text = this->ReadAll();
  EXPECT_NE(text.find("rare"), std::string::npos) << "one kind does not use up another's budget";
  EXPECT_NE(text.find("event=lines_left_out kind=flood lines=990"), std::string::npos);
}

TEST_F(LineWriterTest, KeepsToItsBytesASecond)
{
  this->options.bytesPerSecond = 1000;
  LineWriter writer(this->options);
  const std::string line(99, 'x');
  for (int number = 0; number < 100; ++number) {
    writer.Write("event", line + "\n");
  }
  writer.Flush();
  EXPECT_EQ(this->ReadAll().size(), 1000U);
}

// Guards against a log without the one line that decides a case: a change of leader writes
// thousands of lines of other events in the same second.
TEST_F(LineWriterTest, FrequentEventsDoNotDisplaceRareOnes)
{
  this->options.bytesPerSecond = 1000;
  this->options.rareBytes = 500;
  LineWriter writer(this->options);
  for (int number = 0; number < 100; ++number) {
    writer.Write("frequent", "0123456789012345678\n");
  }
  writer.Write("rare", "event=workers_read\n");
  EXPECT_EQ(writer.LeftOut(), 50U);
  for (int number = 0; number < 1000; ++number) {
    writer.Write("event" + std::to_string(number), "0123456789012345678\n");
  }
  writer.Flush();
  const auto text = this->ReadAll();
  EXPECT_NE(text.find("event=workers_read"), std::string::npos);
  EXPECT_LE(text.size(), 1500U) << "rare events share a budget, too";
}

TEST_F(LineWriterTest, NeverWaitsForAReaderThatDoesNotRead)
{
  this->options.linesPerEvent = 1'000'000;
  this->options.bytesPerSecond = 100'000'000;
  LineWriter writer(this->options);
  const std::string line(200, 'x');
  // Far more than a pipe holds; a writer that blocks would hang here.
  for (int number = 0; number < 20'000; ++number) {
    writer.Write("event", line + "\n");
  }
  EXPECT_GT(writer.LeftOut(), 0U);
}

TEST_F(LineWriterTest, OutlivesItsReader)
{
  std::signal(SIGPIPE, SIG_IGN);
  LineWriter writer(this->options);
  ::close(this->ends[0]);
  this->ends[0] = -1;
  writer.Write("event", "line\n");
  writer.Flush();
  writer.Write("event", "line\n");
  writer.Flush();
  EXPECT_EQ(writer.LeftOut(), 0U);
}

TEST_F(LineWriterTest, TakesTheLinesOfALogger)
{
  LineWriter writer(this->options);
  const Logger logger({ .writer = &writer });
  logger.Log(LogLevel::Info, "worker_silent", { { "worker", "w1" } });
  writer.Flush();
  EXPECT_NE(this->ReadAll().find("event=worker_silent worker=w1"), std::string::npos);
}

}
