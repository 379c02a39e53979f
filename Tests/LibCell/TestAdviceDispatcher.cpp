#include <LibCell/AdviceDispatcher.h>

#include <chrono>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

/// Keeps the calls open until the test answers them.
class OpenCalls final : public AdvicePort
{
public:
  struct Call
  {
    std::string instance;
    AdviceRequest question;
    Handler<AdviceResponse> handler;
  };

  void RequestAdvice(const std::string& aInstance,
                     AdviceRequest aQuestion,
                     Handler<AdviceResponse> aHandler) override
  {
    this->calls.push_back({ aInstance, std::move(aQuestion), std::move(aHandler) });
  }

  std::vector<Call> calls;
};

class AdviceDispatcherTest : public testing::Test
{
protected:
  void Ask(const std::string& aJob, Milliseconds aExpected, std::int64_t aUrgency)
  {
    this->desk.Ask({ .step = { .job = { aJob } }, .expectedDuration = aExpected },
                   aUrgency,
                   this->now,
                   [this](const Result<AdviceResponse>& aAnswer) {
                     this->failures += IsError(aAnswer) ? 1 : 0;
                   });
  }

  OpenCalls port;
  AdviceDispatcher desk{ this->port };
  TimePoint now{ Milliseconds{ 1000 } };
  int failures = 0;
};

constexpr Milliseconds kShort{ 10 };
constexpr Milliseconds kLong{ 800 };

}

// The load after a restart: many long questions and short ones whose answer is waited for.
TEST_F(AdviceDispatcherTest, ShortQuestionsDoNotWaitBehindLongOnes)
{
  this->desk.SetInstances({ "a", "b", "c" });
  for (int number = 0; number < 6; ++number) {
    this->Ask("long", kLong, 1);
  }
  ASSERT_EQ(this->port.calls.size(), 2U) << "one instance is left to short questions";
  for (int number = 0; number < 4; ++number) {
    this->Ask("short", kShort, 0);
  }
  ASSERT_EQ(this->port.calls.size(), 4U);
  EXPECT_EQ(this->port.calls[2].instance, this->port.calls[3].instance);
  EXPECT_NE(this->port.calls[2].instance, this->port.calls[0].instance);
  EXPECT_NE(this->port.calls[2].instance, this->port.calls[1].instance);
}

// The load after a restart with thousands of jobs: each question must cost little.
TEST_F(AdviceDispatcherTest, ManyWaitingQuestionsCostLittle)
{
  this->desk.SetInstances({ "a", "b", "c" });
  constexpr int kQuestions = 20'000;
  // The time of two queues is a few ms; looking through one for each question takes minutes.
  constexpr auto kBound = std::chrono::seconds(2);
  const auto begin = std::chrono::steady_clock::now();
  for (int number = 0; number < kQuestions; ++number) {
    this->Ask("long", kLong, number);
    this->Ask("short", kShort, number);
  }
  EXPECT_TRUE(this->desk.IsCrowded());
  for (std::size_t call = 0; call < this->port.calls.size(); ++call) {
    this->port.calls[call].handler(AdviceResponse{});
    this->desk.Pump(this->now);
  }
  EXPECT_EQ(this->port.calls.size(), 2U * kQuestions);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, kBound);
}

TEST_F(AdviceDispatcherTest, UrgentQuestionsGoFirst)
{
  this->desk.SetInstances({ "a" });
  this->Ask("first", kShort, 5);
  this->Ask("second", kShort, 5);
  this->Ask("later", kShort, 5);
  this->Ask("urgent", kShort, 1);
  this->port.calls.front().handler(AdviceResponse{});
  this->desk.Pump(this->now);
  EXPECT_EQ(this->port.calls.back().question.step.job.value, "urgent");
}

TEST_F(AdviceDispatcherTest, AvoidsAnInstanceWhoseCallFailed)
{
  this->desk.SetInstances({ "a", "b" });
  this->Ask("one", kShort, 0);
  const auto failed = this->port.calls.back().instance;
  this->port.calls.back().handler(NotRun(ErrorCode::Unavailable, "gone"));
  EXPECT_EQ(this->failures, 1);
  for (int number = 0; number < 2; ++number) {
    this->Ask("next", kShort, 0);
    EXPECT_NE(this->port.calls.back().instance, failed);
  }
}

TEST_F(AdviceDispatcherTest, AsksLongQuestionsThroughTheOnlyInstance)
{
  this->desk.SetInstances({ "a" });
  this->Ask("long", kLong, 0);
  EXPECT_EQ(this->port.calls.size(), 1U);
}

}
