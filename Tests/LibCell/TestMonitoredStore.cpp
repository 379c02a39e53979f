#include <LibCell/MonitoredStore.h>

#include <deque>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

/// Stores the handlers of reads and commits, for the test to call.
class UnresponsiveStore final : public StorePort
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
  UnresponsiveStore unresponsive;
  MonitoredStore store{ this->unresponsive, this->clock, this->log, this->metrics };
};

constexpr Milliseconds kAboveThreshold{ 600 };
constexpr Milliseconds kBelowThreshold{ 250 };

}

TEST_F(MonitoredStoreTest, IsNotResponsiveDuringASlowCall)
{
  this->store.Commit({}, [](const Result<CommitResult>&) {});
  this->store.Read({}, [](const Result<RowBatch>&) {});
  this->clock.Advance(kBelowThreshold);
  EXPECT_TRUE(this->store.IsResponsive());
  this->clock.Advance(kAboveThreshold);
  EXPECT_FALSE(this->store.IsResponsive());
  EXPECT_TRUE(this->store.IsAvailable());

  this->unresponsive.commits.front()(CommitResult{ .isCommitted = true });
  EXPECT_FALSE(this->store.IsResponsive());
  this->unresponsive.reads.front()(RowBatch{});
  EXPECT_TRUE(this->store.IsResponsive());
}

TEST_F(MonitoredStoreTest, IgnoresTheDurationOfAWatch)
{
  this->store.Watch("jobs", 1, kAboveThreshold, [](const Result<RowBatch>&) {});
  this->clock.Advance(kAboveThreshold + kAboveThreshold);
  EXPECT_TRUE(this->store.IsResponsive());
}

TEST_F(MonitoredStoreTest, IsNotResponsiveAfterFailures)
{
  constexpr int kFailures = 2;
  for (int failure = 0; failure < kFailures; ++failure) {
    this->store.Commit({}, [](const Result<CommitResult>&) {});
    this->unresponsive.commits.back()(NotRun(ErrorCode::Unavailable, "refused"));
  }
  EXPECT_FALSE(this->store.IsResponsive());
}

}
