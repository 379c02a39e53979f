#include "MemoryStore.h"
#include <LibCell/GatedIntake.h>

#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>

namespace zinc::cell::test {

namespace {

JobSpecification
MakeJob(const std::string& aId)
{
  JobSpecification spec{ .id = { aId }, .workspace = { "team" } };
  spec.queue = { .name = { "queue" }, .slack = Milliseconds{ 500 } };
  spec.steps.push_back({ .estimate = Milliseconds{ 1000 } });
  return spec;
}

bool
IsStored(const MemoryStore& aStore, const std::string& aId)
{
  return aStore.rows.contains(JobRowKey({ aId }, JobRowKind::Specification));
}

/// A receiving instance whose gate is open, or refuses every job.
struct Instance
{
  explicit Instance(MemoryStore& aStore)
    : store(aStore, this->clock, this->log, this->metrics)
  {
    this->clock.Advance(Milliseconds{ 1000 });
  }

  /// Submits a job.
  /// @return its result, which is empty until the instance responds
  std::shared_ptr<std::optional<Result<Done>>> Submit(const std::string& aId)
  {
    auto result = std::make_shared<std::optional<Result<Done>>>();
    this->gated.Submit(MakeJob(aId), [result](Result<Done> aResult) { *result = aResult; });
    return result;
  }

  [[nodiscard]] ForecastView FindForecast() const
  {
    return { .waits = this->waits, .age = this->isGateOpen ? std::nullopt : this->age };
  }

  std::uint64_t CountWithdrawn(const std::string& aReason)
  {
    return this->metrics
      .FindCounter({ .name = "zinc_cell_admission_withdrawn_total" },
                   { { "queue", "queue" }, { "reason", aReason } })
      .Value();
  }

  ManualClock clock;
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  MonitoredStore store;
  Intake intake{ this->store, this->clock };
  bool isGateOpen = false;
  std::vector<ExpectedWait> waits{ { { "queue" }, {}, Milliseconds{ 600'000 } } };
  std::optional<Milliseconds> age{ Milliseconds{ 100 } };
  GatedIntake gated{ { .store = this->store,
                       .intake = this->intake,
                       .log = this->log,
                       .metrics = this->metrics,
                       .findForecast = [this] { return this->FindForecast(); } } };
};

bool
IsRefused(const std::optional<Result<Done>>& aResult)
{
  return aResult && IsError(*aResult) && ErrorOf(*aResult).code == ErrorCode::Overloaded;
}

class GatedIntakeTest : public testing::Test
{
protected:
  MemoryStore store;
  Instance instance{ this->store };
};

}

// Load: a burst. Guards against a refused job that is stored, or whose caller does not learn when
// to try again.
TEST_F(GatedIntakeTest, RefusesWithoutStoringTheJob)
{
  const auto result = this->instance.Submit("a");
  ASSERT_TRUE(IsRefused(*result));
  EXPECT_EQ(ErrorOf(**result).run, RunState::NotRun);
  EXPECT_GE(ErrorOf(**result).retryAfter, Milliseconds{ 60'000 });
  EXPECT_FALSE(IsStored(this->store, "a"));
}

// Failure: the response to the first submission is lost, and the caller tries again during a burst,
// at the same instance or at another one. Guards against "not run" for a job that runs.
TEST_F(GatedIntakeTest, AcceptsAJobThatWasAcceptedBefore)
{
  this->instance.isGateOpen = true;
  this->store.mode = StoreMode::DroppingResponses;
  EXPECT_TRUE(IsError(**this->instance.Submit("a")));
  this->store.mode = StoreMode::Available;
  Instance other(this->store);
  this->instance.isGateOpen = false;
  for (auto* receiver : { &this->instance, &other }) {
    const auto result = receiver->Submit("a");
    ASSERT_TRUE(result->has_value());
    EXPECT_FALSE(IsError(**result));
    EXPECT_EQ(receiver->CountWithdrawn("accepted_before"), 1U);
  }
}

// Failure: the store is unavailable during a burst. Guards against a refusal whose "not run" was
// not verified.
TEST_F(GatedIntakeTest, SubmitsAsUsualIfTheRowCannotBeRead)
{
  this->store.mode = StoreMode::Unavailable;
  const auto result = this->instance.Submit("a");
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ(ErrorOf(**result).code, ErrorCode::Unavailable);
  EXPECT_EQ(this->instance.CountWithdrawn("read_failed"), 1U);
}

// Failure: the store responds slowly during a burst. Guards against a read before the transaction
// that leaves no time to respond to the caller, and against reads that pile up.
TEST_F(GatedIntakeTest, SubmitsAsUsualWhileTheStoreIsSlow)
{
  this->instance.isGateOpen = true;
  this->store.mode = StoreMode::DelayingResponses;
  const auto slow = this->instance.Submit("a");
  this->instance.isGateOpen = false;
  this->instance.clock.Advance(Milliseconds{ 501 });
  const auto result = this->instance.Submit("b");
  EXPECT_EQ(this->instance.CountWithdrawn("store_slow"), 1U);
  this->store.mode = StoreMode::Available;
  this->store.DeliverResponses();
  ASSERT_TRUE(result->has_value());
  EXPECT_FALSE(IsError(**result));
  EXPECT_TRUE(IsStored(this->store, "b"));
}

// Load: callers that retry immediately while the first attempt waits for its transaction. Guards
// against "not run" for a job whose row is written a moment later.
TEST_F(GatedIntakeTest, JoinsAnAttemptInFlight)
{
  this->instance.isGateOpen = true;
  this->store.mode = StoreMode::DelayingResponses;
  // A partition sends one transaction at a time, so the second job waits for that of the first.
  const std::string first = "0";
  int number = 1;
  while (JobPartition({ std::to_string(number) }) != JobPartition({ first })) {
    ++number;
  }
  const auto second = std::to_string(number);
  const auto blocking = this->instance.Submit(first);
  const auto attempt = this->instance.Submit(second);
  EXPECT_FALSE(IsStored(this->store, second));
  this->instance.isGateOpen = false;
  const auto repeated = this->instance.Submit(second);
  EXPECT_FALSE(repeated->has_value());
  EXPECT_EQ(this->instance.CountWithdrawn("in_flight"), 1U);
  this->store.mode = StoreMode::Available;
  this->store.DeliverResponses();
  EXPECT_TRUE(IsStored(this->store, second));
  ASSERT_TRUE(attempt->has_value() && repeated->has_value());
  EXPECT_FALSE(IsError(**attempt));
  EXPECT_FALSE(IsError(**repeated));
}

// Failure: the response to the first attempt is lost and its write is late; the caller tries again
// at the same instance during a burst. Guards against "not run" for a job that runs after all.
TEST_F(GatedIntakeTest, DoesNotRefuseAJobWhoseWriteHasNoResponse)
{
  this->instance.isGateOpen = true;
  this->store.mode = StoreMode::DelayingRequests;
  EXPECT_TRUE(IsError(**this->instance.Submit("a")));
  this->store.mode = StoreMode::Available;
  this->instance.isGateOpen = false;
  const auto repeated = this->instance.Submit("a");
  EXPECT_EQ(this->instance.CountWithdrawn("in_flight"), 1U);
  ASSERT_TRUE(repeated->has_value());
  EXPECT_FALSE(IsError(**repeated));
  this->store.ExecuteDelayedRequests();
  EXPECT_TRUE(IsStored(this->store, "a"));
}

// Failure: the same, at another instance, which cannot know of the write. Guards against "not run"
// for a job that runs after all.
TEST_F(GatedIntakeTest, DoesNotRefuseAJobWhoseWriteAnotherInstanceHasSent)
{
  this->instance.isGateOpen = true;
  this->store.mode = StoreMode::DelayingRequests;
  EXPECT_TRUE(IsError(**this->instance.Submit("a")));
  this->store.mode = StoreMode::Available;
  Instance other(this->store);
  const auto repeated = other.Submit("a");
  ASSERT_TRUE(repeated->has_value());
  const bool saysNotRun = IsError(**repeated) && ErrorOf(**repeated).run == RunState::NotRun;
  this->store.ExecuteDelayedRequests();
  EXPECT_FALSE(saysNotRun && IsStored(this->store, "a"));
}

}
