#include <LibCell/MonitoredStore.h>

#include <deque>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

/// Keeps every call until the test answers it.
class SilentStore final : public StorePort
{
public:
  void Read(const RowRange&, Handler<RowBatch> aHandler) override
  {
    this->reads.push_back(std::move(aHandler));
  }

  void Watch(const std::string&, std::uint64_t, Milliseconds, Handler<RowBatch>) override {}

  void Commit(Transaction, Handler<CommitResult> aHandler) override
  {
    this->commits.push_back(std::move(aHandler));
  }

  std::deque<Handler<RowBatch>> reads;
  std::deque<Handler<CommitResult>> commits;
};

class MonitoredStoreTest : public testing::Test
{
protected:
  ManualClock clock;
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  SilentStore silent;
  MonitoredStore store{ this->silent, this->clock, this->log, this->metrics };
};

constexpr Milliseconds kLong{ 600 };
constexpr Milliseconds kShort{ 250 };

}

TEST_F(MonitoredStoreTest, IsNotPromptWhileACallWaitsLong)
{
  this->store.Commit({}, [](const Result<CommitResult>&) {});
  this->store.Read({}, [](const Result<RowBatch>&) {});
  this->clock.Advance(kShort);
  EXPECT_TRUE(this->store.IsPrompt());
  this->clock.Advance(kLong);
  EXPECT_FALSE(this->store.IsPrompt());
  EXPECT_TRUE(this->store.IsServing());

  this->silent.commits.front()(CommitResult{ .isCommitted = true });
  EXPECT_FALSE(this->store.IsPrompt());
  this->silent.reads.front()(RowBatch{});
  EXPECT_TRUE(this->store.IsPrompt());
}

TEST_F(MonitoredStoreTest, ExpectsNoAnswerOfAFeed)
{
  this->store.Watch("jobs", 1, kLong, [](const Result<RowBatch>&) {});
  this->clock.Advance(kLong + kLong);
  EXPECT_TRUE(this->store.IsPrompt());
}

TEST_F(MonitoredStoreTest, IsNotPromptAfterFailures)
{
  constexpr int kFailures = 2;
  for (int failure = 0; failure < kFailures; ++failure) {
    this->store.Commit({}, [](const Result<CommitResult>&) {});
    this->silent.commits.back()(NotRun(ErrorCode::Unavailable, "refused"));
  }
  EXPECT_FALSE(this->store.IsPrompt());
}

}
