#include "MemoryStore.h"
#include <LibCell/GatedIntake.h>
#include <LibCell/Intake.h>
#include <LibCell/JobCanceller.h>
#include <LibCell/Records.h>
#include <LibInstance/ManualTimer.h>

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>
#include <set>

namespace zinc::cell::test {

namespace {

template<typename T>
using Pending = std::shared_ptr<std::optional<Result<T>>>;

JobSpecification
MakeJob(const std::string& aId, const std::string& aWorkspace)
{
  JobSpecification spec{ .id = { aId }, .workspace = { aWorkspace } };
  spec.queue = { .name = { "queue" } };
  spec.steps.push_back({ .estimate = Milliseconds{ 1000 } });
  return spec;
}

/// Transactions follow each other at once.
constexpr JobCancellerOptions kNoPauses{ .minPause = Milliseconds{ 0 },
                                         .maxPause = Milliseconds{ 0 } };

/// An instance that accepts and cancels jobs.
struct Instance
{
  Instance(MemoryStore& aStore, ManualClock& aClock, JobCancellerOptions aOptions = kNoPauses)
    : timer(aClock)
    , store(aStore, aClock, this->log, this->metrics)
    , intake(this->store, aClock)
    , canceller(
        { .store = this->store, .timer = this->timer, .clock = aClock, .metrics = this->metrics },
        aOptions)
  {
  }

  /// @return the result, which is empty until the instance responds
  Pending<Done> Submit(const std::string& aJob, const std::string& aWorkspace = "team")
  {
    auto result = std::make_shared<std::optional<Result<Done>>>();
    this->intake.Submit(MakeJob(aJob, aWorkspace),
                        [result](Result<Done> aResult) { *result = std::move(aResult); });
    return result;
  }

  Pending<CancelResult> Cancel(const std::string& aJob, const std::string& aWorkspace = "team")
  {
    auto result = std::make_shared<std::optional<Result<CancelResult>>>();
    this->canceller.Cancel(
      { aJob }, { aWorkspace }, [result](Result<CancelResult> aResult) { *result = aResult; });
    return result;
  }

  ManualTimer timer;
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  MonitoredStore store;
  Intake intake;
  JobCanceller canceller;
};

bool
Is(const Pending<CancelResult>& aResult, CancelResult aExpected)
{
  return aResult->has_value() && !IsError(**aResult) && ValueOf(**aResult) == aExpected;
}

bool
IsAccepted(const Pending<Done>& aResult)
{
  return aResult->has_value() && !IsError(**aResult);
}

/// @return true if the submission was refused with a verdict that the job does not run
template<typename T>
bool
IsRefusedWith(const Pending<T>& aResult, ErrorCode aCode)
{
  return aResult->has_value() && IsError(**aResult) && ErrorOf(**aResult).code == aCode &&
         ErrorOf(**aResult).run == RunState::NotRun;
}

class JobCancellerTest : public testing::Test
{
protected:
  JobCancellerTest() { this->clock.Advance(Milliseconds{ 1'000'000 }); }

  [[nodiscard]] StoredJob Read(const std::string& aJob)
  {
    StoredJob stored;
    ReadStoredJob(this->store, { aJob }, nullptr, [&stored](Result<StoredJob> aStored) {
      stored = ValueOf(aStored);
    });
    return stored;
  }
  /// @return true if a leader would run the job of a workspace
  [[nodiscard]] bool WouldRun(const std::string& aJob, const std::string& aWorkspace = "team")
  {
    const auto stored = this->Read(aJob);
    return stored.isKnown && stored.outcome == JobOutcome::Active &&
           stored.workspace.value == aWorkspace;
  }

  ManualClock clock;
  MemoryStore store;
  Instance first{ this->store, this->clock };
  Instance other{ this->store, this->clock };
};

}

// Failure: the job's write gets no response and the store applies it late. Guards against a job
// that runs although its cancellation was answered meanwhile.
TEST_F(JobCancellerTest, ALateWriteDoesNotAddACancelledJob)
{
  this->store.mode = StoreMode::DelayingRequests;
  const auto submitted = this->first.Submit("a");
  ASSERT_TRUE(submitted->has_value());
  EXPECT_EQ(ErrorOf(**submitted).run, RunState::MayHaveRun);
  this->store.mode = StoreMode::Available;
  EXPECT_TRUE(Is(this->other.Cancel("a"), CancelResult::UnknownJob));
  this->store.ExecuteDelayedRequests();
  EXPECT_FALSE(this->WouldRun("a"));
}

// Failure: the store is slow and the client gives up before the response. Guards against a job that
// runs although its cancellation was answered while its write was on its way.
TEST_F(JobCancellerTest, ASlowWriteDoesNotAddACancelledJob)
{
  this->store.mode = StoreMode::HoldingRequests;
  const auto submitted = this->first.Submit("a");
  this->store.mode = StoreMode::Available;
  EXPECT_TRUE(Is(this->other.Cancel("a"), CancelResult::UnknownJob));
  this->store.ExecuteDelayedRequests();
  EXPECT_TRUE(IsRefusedWith(submitted, ErrorCode::Cancelled));
  EXPECT_FALSE(this->WouldRun("a"));
}

// Guards against a cancelled job that runs because it waited for its transaction meanwhile.
TEST_F(JobCancellerTest, AQueuedJobIsNotWrittenAfterItsCancellation)
{
  this->store.mode = StoreMode::HoldingRequests;
  const auto before = this->first.Submit("a");
  const auto queued = this->first.Submit("a");
  this->store.mode = StoreMode::Available;
  EXPECT_TRUE(Is(this->first.Cancel("a"), CancelResult::UnknownJob));
  this->store.ExecuteDelayedRequests();
  EXPECT_TRUE(IsRefusedWith(before, ErrorCode::Cancelled));
  EXPECT_TRUE(IsRefusedWith(queued, ErrorCode::Cancelled));
  EXPECT_FALSE(this->WouldRun("a"));
}

// Failure: a copy of a submission arrives after the job was cancelled. Guards against a job that
// runs all the same, and against other jobs of the transaction that are refused with it.
TEST_F(JobCancellerTest, ALateSubmissionIsRefusedAndOthersAreAccepted)
{
  EXPECT_TRUE(Is(this->first.Cancel("a"), CancelResult::UnknownJob));
  this->store.mode = StoreMode::HoldingRequests;
  const auto partition = JobPartition({ "a" });
  std::vector<Pending<Done>> others;
  const auto late = [this] {
    static_cast<void>(this->other.Submit("x"));
    return this->other.Submit("a");
  }();
  for (int number = 0; others.size() < 5; ++number) {
    const auto id = fmt::format("job{}", number);
    if (JobPartition({ id }) == partition) {
      others.push_back(this->other.Submit(id));
    }
  }
  this->store.mode = StoreMode::Available;
  this->store.ExecuteDelayedRequests();
  EXPECT_TRUE(IsRefusedWith(late, ErrorCode::Cancelled));
  EXPECT_TRUE(std::ranges::all_of(others, &IsAccepted));
  EXPECT_FALSE(this->WouldRun("a"));
}

// Guards against an answer that a job does not exist although its write came first.
TEST_F(JobCancellerTest, CancelsAJobThatIsStoredWhileTheTombstoneIsWritten)
{
  this->store.mode = StoreMode::HoldingRequests;
  const auto cancelled = this->first.Cancel("a");
  const auto others = std::vector{ this->first.Cancel("b"), this->first.Cancel("c") };
  this->store.mode = StoreMode::Available;
  EXPECT_TRUE(IsAccepted(this->other.Submit("a")));
  this->store.ExecuteDelayedRequests();
  EXPECT_TRUE(Is(cancelled, CancelResult::Recorded));
  EXPECT_FALSE(this->WouldRun("a"));
  for (const auto& result : others) {
    EXPECT_TRUE(Is(result, CancelResult::UnknownJob));
  }
}

// Guards against a tombstone that is shown as a job: nobody has submitted one.
TEST_F(JobCancellerTest, ATombstoneIsNoJob)
{
  EXPECT_TRUE(Is(this->first.Cancel("a"), CancelResult::UnknownJob));
  const auto stored = this->Read("a");
  EXPECT_FALSE(stored.isKnown);
  ASSERT_TRUE(stored.tombstone.has_value());
  EXPECT_EQ(stored.tombstone->workspace.value, "team");
}

// Guards against a workspace that blocks the jobs of another one: it cancels an id that is not
// stored yet, before the job of that id is submitted or while it is being written.
TEST_F(JobCancellerTest, AnotherWorkspaceDoesNotBlockAnId)
{
  EXPECT_TRUE(Is(this->first.Cancel("a", "stranger"), CancelResult::UnknownJob));
  EXPECT_TRUE(IsAccepted(this->other.Submit("a")));
  EXPECT_TRUE(this->WouldRun("a"));
  this->store.mode = StoreMode::HoldingRequests;
  const auto submitted = this->first.Submit("b");
  this->store.mode = StoreMode::Available;
  EXPECT_TRUE(Is(this->other.Cancel("b", "stranger"), CancelResult::UnknownJob));
  this->store.ExecuteDelayedRequests();
  EXPECT_TRUE(IsAccepted(submitted));
  EXPECT_TRUE(this->WouldRun("b"));
  EXPECT_TRUE(Is(this->other.Cancel("b", "stranger"), CancelResult::UnknownJob));
  EXPECT_TRUE(this->WouldRun("b"));
}

// Guards against a late write of a workspace whose tombstone another one's job has replaced.
TEST_F(JobCancellerTest, AReplacedTombstoneKeepsLateWritesOut)
{
  this->store.mode = StoreMode::DelayingRequests;
  static_cast<void>(this->first.Submit("a", "stranger"));
  this->store.mode = StoreMode::Available;
  EXPECT_TRUE(Is(this->other.Cancel("a", "stranger"), CancelResult::UnknownJob));
  EXPECT_TRUE(IsAccepted(this->other.Submit("a")));
  this->store.ExecuteDelayedRequests();
  EXPECT_FALSE(this->WouldRun("a", "stranger"));
  EXPECT_TRUE(this->WouldRun("a"));
}

// Guards against an answer that relies on a tombstone which another workspace wrote long ago, and
// against one that a second cancellation narrows or takes over.
TEST_F(JobCancellerTest, DoesNotRelyOnTheTombstoneOfAnotherWorkspace)
{
  EXPECT_TRUE(Is(this->first.Cancel("a", "stranger"), CancelResult::UnknownJob));
  EXPECT_TRUE(IsRefusedWith(this->first.Cancel("a"), ErrorCode::Unavailable));
  EXPECT_EQ(this->Read("a").tombstone->workspace.value, "stranger");
  EXPECT_TRUE(Is(this->first.Cancel("a", ""), CancelResult::UnknownJob));
  EXPECT_TRUE(Is(this->first.Cancel("a"), CancelResult::UnknownJob));
  EXPECT_TRUE(this->Read("a").tombstone->workspace.IsEmpty());
  EXPECT_TRUE(IsRefusedWith(this->other.Submit("a"), ErrorCode::Cancelled));
}

// Failure: the client repeats a cancellation, since the first response was lost. Guards against an
// answer that relies on a tombstone which is about to be removed.
TEST_F(JobCancellerTest, ARepeatedCancellationRenewsTheTombstone)
{
  EXPECT_TRUE(Is(this->first.Cancel("a"), CancelResult::UnknownJob));
  const auto version = this->Read("a").version;
  EXPECT_TRUE(Is(this->other.Cancel("a"), CancelResult::UnknownJob));
  EXPECT_GT(this->Read("a").version, version);
}

// Failure: the store's response to the tombstone is lost. Guards against an answer that the job
// does not exist, or that nothing was done.
TEST_F(JobCancellerTest, SaysThatAnUnansweredCancellationMayHaveTakenEffect)
{
  this->store.mode = StoreMode::DroppingResponses;
  const auto result = this->first.Cancel("a");
  ASSERT_TRUE(result->has_value());
  ASSERT_TRUE(IsError(**result));
  EXPECT_EQ(ErrorOf(**result).run, RunState::MayHaveRun);
  this->store.mode = StoreMode::Available;
  EXPECT_TRUE(Is(this->first.Cancel("a"), CancelResult::UnknownJob));
}

// Failure: the store turns the instance away. Guards against callers that wait one transaction
// after the other for a response that is known already.
TEST_F(JobCancellerTest, RefusesAllThatWaitOnceTheStoreTurnsThemAway)
{
  this->store.mode = StoreMode::HoldingRequests;
  std::vector<Pending<CancelResult>> results;
  for (int number = 0; number < 120; ++number) {
    results.push_back(this->first.Cancel(fmt::format("job{}", number)));
  }
  EXPECT_EQ(this->store.heldRequests.size(), 1U) << "one transaction at a time";
  this->store.mode = StoreMode::Unavailable;
  this->store.ExecuteDelayedRequests();
  for (const auto& result : results) {
    EXPECT_TRUE(IsRefusedWith(result, ErrorCode::Unavailable));
    EXPECT_TRUE(ErrorOf(**result).retryAfter.has_value());
  }
}

// Load: a crowd that cancels ids under which nothing was submitted. Guards against rows without
// bound, against a tombstone that is dropped instead, and against a crowd of one workspace that
// keeps the others, or the jobs that exist, from being cancelled.
TEST_F(JobCancellerTest, ACrowdIsRefusedBeyondTheBudget)
{
  constexpr std::size_t kInstances = 12;
  this->first.canceller.SetInstanceCount(kInstances);
  EXPECT_TRUE(IsAccepted(this->first.Submit("known")));
  const auto commits = this->store.commitCount;
  std::size_t answered = 0;
  for (int number = 0; number < 20'000; ++number) {
    const auto id = fmt::format("crowd{}", number);
    const auto result = this->first.Cancel(id);
    ASSERT_TRUE(result->has_value());
    if (Is(result, CancelResult::UnknownJob)) {
      ++answered;
      EXPECT_TRUE(this->Read(id).tombstone.has_value()) << id;
      continue;
    }
    ASSERT_TRUE(IsRefusedWith(result, ErrorCode::Overloaded));
    EXPECT_EQ(ErrorOf(**result).retryAfter, kTombstoneRetention);
    EXPECT_FALSE(this->Read(id).tombstone.has_value()) << id;
  }
  const auto share = TombstoneBudgetOptions{}.maxOfCell / kInstances;
  EXPECT_EQ(answered, share / 2);
  EXPECT_EQ(this->store.commitCount - commits, share / 2);
  EXPECT_TRUE(Is(this->first.Cancel("known"), CancelResult::Recorded));
  EXPECT_TRUE(Is(this->first.Cancel("unknown", "stranger"), CancelResult::UnknownJob));
  this->clock.Advance(kTombstoneRetention);
  EXPECT_TRUE(Is(this->first.Cancel("later"), CancelResult::UnknownJob));
}

// Load: callers that cancel together. Guards against a transaction for each of them.
TEST_F(JobCancellerTest, CancellationsThatComeTogetherShareTransactions)
{
  this->store.mode = StoreMode::DelayingResponses;
  std::vector<Pending<CancelResult>> results;
  for (int number = 0; number < 97; ++number) {
    results.push_back(this->first.Cancel(fmt::format("job{}", number)));
  }
  std::size_t transactions = 0;
  while (!this->store.pendingResponses.empty()) {
    ++transactions;
    this->store.DeliverResponses();
  }
  EXPECT_EQ(transactions, 3U) << "one that was sent at once, and two of 48";
  EXPECT_TRUE(std::ranges::all_of(
    results, [](const auto& aResult) { return Is(aResult, CancelResult::UnknownJob); }));
}

// Load: callers that cancel all the time, at a fast store and at a slow one. Guards against
// transactions that keep the partitions from accepting jobs, and against a lone caller who waits
// for the others' pause.
TEST_F(JobCancellerTest, LeavesPausesBetweenTransactions)
{
  Instance paced(this->store, this->clock, {});
  EXPECT_TRUE(Is(paced.Cancel("alone"), CancelResult::UnknownJob)) << "written at once";
  std::vector<Pending<CancelResult>> results;
  const auto before = this->store.commitCount;
  for (int number = 0; number < 1000; ++number) {
    results.push_back(paced.Cancel(fmt::format("job{}", number)));
    paced.timer.Advance(Milliseconds{ 1 });
  }
  EXPECT_LE(this->store.commitCount - before, 1000U / 30 + 1);
  paced.timer.Advance(Milliseconds{ 30 });
  EXPECT_TRUE(std::ranges::all_of(
    results, [](const auto& aResult) { return Is(aResult, CancelResult::UnknownJob); }));
  paced.timer.Advance(Milliseconds{ 100 });
  this->store.mode = StoreMode::DelayingResponses;
  const auto slow = paced.Cancel("slow");
  paced.timer.Advance(Milliseconds{ 200 });
  const auto next = paced.Cancel("next");
  this->store.DeliverResponses();
  EXPECT_TRUE(Is(slow, CancelResult::UnknownJob));
  paced.timer.Advance(Milliseconds{ 199 });
  EXPECT_TRUE(this->store.pendingResponses.empty()) << "the store is slow";
  paced.timer.Advance(Milliseconds{ 1 });
  this->store.DeliverResponses();
  EXPECT_TRUE(Is(next, CancelResult::UnknownJob));
}

// Guards against "not run" for a submission whose job an earlier, unanswered write of the same
// instance may still add: refused by the queue, by an absent store, or by the gate.
TEST_F(JobCancellerTest, ARefusalDoesNotDenyAnEarlierUnansweredWrite)
{
  this->store.mode = StoreMode::DelayingRequests;
  static_cast<void>(this->first.Submit("a"));
  static_cast<void>(this->first.Submit("b"));
  this->store.mode = StoreMode::Unavailable;
  for (const auto& [id, expected] :
       { std::pair{ "a", RunState::MayHaveRun }, std::pair{ "c", RunState::NotRun } }) {
    const auto refused = this->first.Submit(id);
    ASSERT_TRUE(refused->has_value());
    EXPECT_EQ(ErrorOf(**refused).run, expected) << id;
  }
  this->clock.Advance(kMaxWriteDelay);
  EXPECT_EQ(ErrorOf(**this->first.Submit("a")).run, RunState::NotRun)
    << "the write can no longer be applied";
}

// Failure: the store loses its responses for a long time. Guards against memory without bound, and
// against a write that would have to be forgotten.
TEST(UnansweredWrites, AcceptNoMoreThanTheyRemember)
{
  UnansweredWrites writes(100);
  TimePoint now{ Milliseconds{ 1000 } };
  for (int number = 0; !writes.IsFull(now); ++number) {
    writes.Add({ fmt::format("job{}", number) }, now);
    ASSERT_LT(number, 100);
  }
  EXPECT_TRUE(writes.Contains({ "job0" }, now));
  EXPECT_TRUE(writes.Contains({ "job99" }, now));
  now += kMaxWriteDelay - Milliseconds{ 1 };
  writes.Add({ "job0" }, now);
  now += Milliseconds{ 1 };
  EXPECT_FALSE(writes.IsFull(now));
  EXPECT_TRUE(writes.Contains({ "job0" }, now)) << "it was written again";
  EXPECT_FALSE(writes.Contains({ "job1" }, now));
}

// Any history of two instances, two workspaces and a store that loses, delays and reorders writes.
// Guards against a job that runs after its cancellation was acknowledged, and against a refusal of
// a submission whose job runs although no other submission was left open.
RC_GTEST_FIXTURE_PROP(JobCancellerTest, NoJobRunsAfterItsCancellation, ())
{
  const std::vector<std::string> ids = { "a", "b" };
  const std::vector<std::string> workspaces = { "team", "stranger" };
  std::set<std::pair<std::string, std::string>> cancelled;
  std::vector<std::tuple<std::string, std::string, Pending<CancelResult>>> cancellations;
  const auto check = [&] {
    std::erase_if(cancellations, [&cancelled](const auto& aEntry) {
      const auto& [id, workspace, result] = aEntry;
      if (result->has_value() && !IsError(**result)) {
        cancelled.emplace(id, workspace);
      }
      return result->has_value();
    });
    for (const auto& [id, workspace] : cancelled) {
      RC_ASSERT(!this->WouldRun(id, workspace));
    }
  };
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const auto id = *rc::gen::elementOf(ids);
    const auto workspace = *rc::gen::elementOf(workspaces);
    auto& instance = *rc::gen::inRange(0, 2) == 0 ? this->first : this->other;
    this->store.mode = *rc::gen::element(StoreMode::Available,
                                         StoreMode::Available,
                                         StoreMode::DroppingResponses,
                                         StoreMode::DelayingRequests,
                                         StoreMode::HoldingRequests,
                                         StoreMode::DelayingResponses);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
      case 1:
        static_cast<void>(instance.Submit(id, workspace));
        break;
      case 2:
        cancellations.emplace_back(id, workspace, instance.Cancel(id, workspace));
        break;
      default:
        this->store.mode = StoreMode::Available;
        if (*rc::gen::inRange(0, 2) == 0) {
          this->store.ExecuteDelayedRequests();
        } else {
          this->store.DeliverResponses();
        }
        this->clock.Advance(Milliseconds(*rc::gen::inRange(0, 700)));
        break;
    }
    check();
  }
  this->store.mode = StoreMode::Available;
  for (int round = 0; round < 10; ++round) {
    this->store.ExecuteDelayedRequests();
    this->store.DeliverResponses();
  }
  check();
}

}
