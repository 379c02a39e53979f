#include "InstanceParts.h"
#include <LibCell/Records.h>

#include <gtest/gtest.h>

namespace zinc {

namespace {

const JobId kJob{ "job" };
const WorkspaceId kTeam{ "team" };

/// An instance that leads a cell without workers.
class CancellationTest
  : public testing::Test
  , protected InstanceParts
{
protected:
  CancellationTest()
  {
    this->store.callTime = Milliseconds{ 2 };
    this->store.memory.Put({ .table = "op", .key = "config" }, "{}");
    this->instance.Start();
    this->timer.Advance(Milliseconds{ 5000 });
  }

  /// @return the verdict on a submission, or nothing if it was accepted
  std::optional<Verdict> Submit()
  {
    cell::JobSpecification spec{ .id = kJob, .workspace = kTeam };
    spec.queue = { .name = { "queue" }, .pool = "pool" };
    spec.steps.push_back({ .estimate = Milliseconds{ 500 } });
    std::optional<Verdict> verdict;
    this->instance.Submit(spec, [&verdict](const Result<Done>& aResult) {
      verdict = IsError(aResult) ? std::optional(ErrorOf(aResult)) : std::nullopt;
    });
    this->timer.Advance(Milliseconds{ 100 });
    return verdict;
  }
  std::optional<cell::CancelResult> Cancel()
  {
    std::optional<cell::CancelResult> result;
    this->instance.Cancel(kJob, kTeam, [&result](const Result<cell::CancelResult>& aResult) {
      result = IsError(aResult) ? std::nullopt : std::optional(ValueOf(aResult));
    });
    this->timer.Advance(Milliseconds{ 100 });
    return result;
  }
  /// @return the state that the caller sees; nothing if the job does not exist
  std::optional<cell::CallerJobState> QueryStatus()
  {
    std::optional<cell::CallerJobState> state;
    this->instance.QueryStatus(kJob, kTeam, [&state](const Result<cell::CallerJobState>& aResult) {
      state = IsError(aResult) ? std::nullopt : std::optional(ValueOf(aResult));
    });
    this->timer.Advance(Milliseconds{ 100 });
    return state;
  }
  [[nodiscard]] bool IsRowStored() const
  {
    return this->store.memory.rows.contains(cell::JobRowKey(kJob, cell::JobRowKind::Specification));
  }

  static cell::CellPolicy MakePolicy()
  {
    cell::CellPolicy policy{ .version = 1 };
    policy.pools["pool"] = { .name = "pool" };
    policy.workspaces[kTeam] = { .name = kTeam };
    return policy;
  }

  CellInstance instance{
    this->MakeDependencies(MakePolicy()),
    { .identity = { .name = "self", .incarnation = "self1", .milliCores = 100 } }
  };
};

}

// Guards against a job that runs, or is shown, after its caller was told that it does not exist,
// and against an id that can never be used again.
TEST_F(CancellationTest, AnIdThatWasCancelledFirstIsUnusedForAWhile)
{
  ASSERT_TRUE(this->instance.JobStatusIfLeader(kJob).has_value()) << "it leads the cell";
  EXPECT_EQ(this->Cancel(), cell::CancelResult::UnknownJob);
  EXPECT_FALSE(this->QueryStatus().has_value());
  const auto verdict = this->Submit();
  ASSERT_TRUE(verdict.has_value());
  EXPECT_EQ(verdict->code, ErrorCode::Cancelled);
  EXPECT_EQ(verdict->run, RunState::NotRun);
  EXPECT_FALSE(this->QueryStatus().has_value());
  EXPECT_TRUE(this->IsRowStored());
  this->timer.Advance(cell::kTombstoneRetention + Milliseconds{ 1000 });
  EXPECT_FALSE(this->IsRowStored()) << "the leader removes the tombstone";
  EXPECT_FALSE(this->Submit().has_value());
  EXPECT_EQ(this->QueryStatus(), cell::CallerJobState::Queued);
}

// Failure: the store applies the job's write late. Guards against a leader that runs it although
// its cancellation was answered before.
TEST_F(CancellationTest, ALateWriteDoesNotReachTheLeader)
{
  this->store.memory.mode = cell::test::StoreMode::DelayingRequests;
  const auto verdict = this->Submit();
  ASSERT_TRUE(verdict.has_value());
  EXPECT_EQ(verdict->run, RunState::MayHaveRun);
  this->store.memory.mode = cell::test::StoreMode::Available;
  EXPECT_EQ(this->Cancel(), cell::CancelResult::UnknownJob);
  this->store.memory.ExecuteDelayedRequests();
  this->timer.Advance(Milliseconds{ 1000 });
  EXPECT_FALSE(this->instance.JobStatusIfLeader(kJob)->isKnown);
  EXPECT_FALSE(this->QueryStatus().has_value());
}

}
