#include <LibCell/WatchedStore.h>

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

  void Follow(const std::string&, std::uint64_t, Milliseconds, Handler<RowBatch>) override {}

  void Commit(Transaction, Handler<CommitAnswer> aHandler) override
  {
    this->commits.push_back(std::move(aHandler));
  }

  std::deque<Handler<RowBatch>> reads;
  std::deque<Handler<CommitAnswer>> commits;
};

class WatchedStoreTest : public testing::Test
{
protected:
  ManualClock clock;
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  SilentStore silent;
  WatchedStore store{ this->silent, this->clock, this->log, this->metrics };
};

constexpr Milliseconds kLong{ 600 };
constexpr Milliseconds kShort{ 250 };

}

TEST_F(WatchedStoreTest, IsNotPromptWhileACallWaitsLong)
{
  this->store.Commit({}, [](const Result<CommitAnswer>&) {});
  this->store.Read({}, [](const Result<RowBatch>&) {});
  this->clock.Advance(kShort);
  EXPECT_TRUE(this->store.IsPrompt());
  this->clock.Advance(kLong);
  EXPECT_FALSE(this->store.IsPrompt());
  EXPECT_TRUE(this->store.IsServing());

  this->silent.commits.front()(CommitAnswer{ .isCommitted = true });
  EXPECT_FALSE(this->store.IsPrompt());
  this->silent.reads.front()(RowBatch{});
  EXPECT_TRUE(this->store.IsPrompt());
}

TEST_F(WatchedStoreTest, ExpectsNoAnswerOfAFeed)
{
  this->store.Follow("jobs", 1, kLong, [](const Result<RowBatch>&) {});
  this->clock.Advance(kLong + kLong);
  EXPECT_TRUE(this->store.IsPrompt());
}

TEST_F(WatchedStoreTest, IsNotPromptAfterFailures)
{
  constexpr int kFailures = 2;
  for (int failure = 0; failure < kFailures; ++failure) {
    this->store.Commit({}, [](const Result<CommitAnswer>&) {});
    this->silent.commits.back()(NotRun(ErrorCode::Unavailable, "refused"));
  }
  EXPECT_FALSE(this->store.IsPrompt());
}

}
