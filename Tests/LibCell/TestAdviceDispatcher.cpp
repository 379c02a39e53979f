#include <LibCell/AdviceDispatcher.h>

#include <chrono>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

/// Records the calls; the test responds to them later.
class RecordedCalls final : public AdvicePort
{
public:
  struct Call
  {
    std::string instance;
    AdviceRequest request;
    Handler<AdviceResponse> handler;
  };

  void RequestAdvice(const std::string& aInstance,
                     AdviceRequest aRequest,
                     Handler<AdviceResponse> aHandler) override
  {
    this->calls.push_back({ aInstance, std::move(aRequest), std::move(aHandler) });
  }

  std::vector<Call> calls;
};

class AdviceDispatcherTest : public testing::Test
{
protected:
  void Submit(const std::string& aJob, Milliseconds aExpected, std::int64_t aPriorityKey)
  {
    this->dispatcher.Submit({ .step = { .job = { aJob } }, .expectedDuration = aExpected },
                            aPriorityKey,
                            this->now,
                            [this](const Result<AdviceResponse>& aResponse) {
                              this->failures += IsError(aResponse) ? 1 : 0;
                            });
  }

  RecordedCalls port;
  AdviceDispatcher dispatcher{ this->port };
  TimePoint now{ Milliseconds{ 1000 } };
  int failures = 0;
};

constexpr Milliseconds kShort{ 10 };
constexpr Milliseconds kLong{ 800 };

}

// After a restart many long requests are pending. Short requests are urgent and must not be delayed
// by them.
TEST_F(AdviceDispatcherTest, ShortRequestsDoNotWaitBehindLongOnes)
{
  this->dispatcher.SetInstances({ "a", "b", "c" });
  for (int number = 0; number < 6; ++number) {
    this->Submit("long", kLong, 1);
  }
  ASSERT_EQ(this->port.calls.size(), 2U) << "one instance is reserved for short requests";
  for (int number = 0; number < 4; ++number) {
    this->Submit("short", kShort, 0);
  }
  ASSERT_EQ(this->port.calls.size(), 4U);
  EXPECT_EQ(this->port.calls[2].instance, this->port.calls[3].instance);
  EXPECT_NE(this->port.calls[2].instance, this->port.calls[0].instance);
  EXPECT_NE(this->port.calls[2].instance, this->port.calls[1].instance);
}

// After a restart with thousands of jobs the backlog is long. Dispatching a request must not scan
// it.
TEST_F(AdviceDispatcherTest, DispatchesALongBacklogQuickly)
{
  this->dispatcher.SetInstances({ "a", "b", "c" });
  constexpr int kRequests = 20'000;
  // Two separate queues take a few ms; scanning one queue for each request takes minutes.
  constexpr auto kMaxDuration = std::chrono::seconds(2);
  const auto begin = std::chrono::steady_clock::now();
  for (int number = 0; number < kRequests; ++number) {
    this->Submit("long", kLong, number);
    this->Submit("short", kShort, number);
  }
  EXPECT_TRUE(this->dispatcher.IsSaturated(kLong));
  EXPECT_TRUE(this->dispatcher.IsSaturated(kShort));
  for (std::size_t call = 0; call < this->port.calls.size(); ++call) {
    this->port.calls[call].handler(AdviceResponse{});
    this->dispatcher.DispatchPending(this->now);
  }
  EXPECT_EQ(this->port.calls.size(), 2U * kRequests);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, kMaxDuration);
}

TEST_F(AdviceDispatcherTest, SendsUrgentRequestsFirst)
{
  this->dispatcher.SetInstances({ "a" });
  this->Submit("first", kShort, 5);
  this->Submit("second", kShort, 5);
  this->Submit("later", kShort, 5);
  this->Submit("urgent", kShort, 1);
  this->port.calls.front().handler(AdviceResponse{});
  this->dispatcher.DispatchPending(this->now);
  EXPECT_EQ(this->port.calls.back().request.step.job.value, "urgent");
}

TEST_F(AdviceDispatcherTest, AvoidsAnInstanceAfterAFailedCall)
{
  this->dispatcher.SetInstances({ "a", "b" });
  this->Submit("one", kShort, 0);
  const auto failed = this->port.calls.back().instance;
  this->port.calls.back().handler(NotRun(ErrorCode::Unavailable, "gone"));
  EXPECT_EQ(this->failures, 1);
  for (int number = 0; number < 2; ++number) {
    this->Submit("next", kShort, 0);
    EXPECT_NE(this->port.calls.back().instance, failed);
  }
}

// Load: long requests fill the service while some instances are cut off. Guards against long calls
// on all instances that can be reached, behind which short requests wait for seconds.
TEST_F(AdviceDispatcherTest, KeepsReachableInstancesFreeOfLongCalls)
{
  this->dispatcher.SetInstances({ "a", "b", "c", "d", "e", "f" });
  for (int number = 0; number < 3; ++number) {
    this->Submit("lost", kShort, 0);
    this->port.calls.back().handler(NotRun(ErrorCode::Unavailable, "cut off"));
  }
  this->port.calls.clear();
  for (int number = 0; number < 6; ++number) {
    this->Submit("long", kLong, 1);
  }
  ASSERT_EQ(this->port.calls.size(), 2U) << "one of the three that respond is left to short calls";
  this->Submit("short", kShort, 0);
  ASSERT_EQ(this->port.calls.size(), 3U);
  EXPECT_EQ(this->port.calls.back().request.step.job.value, "short");
}

// Guards against urgent requests that time out at an instance that stays cut off for long.
TEST_F(AdviceDispatcherTest, AvoidsAnInstanceLongerAfterEachFailure)
{
  this->dispatcher.SetInstances({ "a" });
  const AdviceDispatcherOptions options;
  auto backoff = options.failureBackoff;
  this->Submit("next", kShort, 0);
  for (int failure = 0; failure < 6; ++failure) {
    ASSERT_EQ(this->port.calls.size(), 1U) << failure;
    auto handler = std::move(this->port.calls.back().handler);
    this->port.calls.clear();
    handler(NotRun(ErrorCode::Unavailable, "cut off"));
    this->Submit("next", kShort, 0);
    this->now += backoff - Milliseconds{ 1 };
    this->dispatcher.DispatchPending(this->now);
    EXPECT_TRUE(this->port.calls.empty()) << failure;
    this->now += Milliseconds{ 1 };
    this->dispatcher.DispatchPending(this->now);
    backoff = std::min(backoff * 2, options.maxFailureBackoff);
  }
}

TEST_F(AdviceDispatcherTest, SendsLongRequestsThroughTheOnlyInstance)
{
  this->dispatcher.SetInstances({ "a" });
  this->Submit("long", kLong, 0);
  EXPECT_EQ(this->port.calls.size(), 1U);
}

}
