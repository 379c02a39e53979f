#include <History/Checks.h>
#include <History/EventCodec.h>
#include <gtest/gtest.h>

namespace zinc {

namespace {

constexpr Resources kSmall{ .milliCores = 100, .memoryMiB = 10, .slots = 1 };
constexpr Resources kPair{ .milliCores = 200, .memoryMiB = 20, .slots = 2 };

/// Builds histories by hand; each event is one millisecond after the one before.
class HistoryBuilder
{
public:
  HistoryBuilder& Then(EventBody aBody)
  {
    this->now += Milliseconds{ 1 };
    this->events.push_back({ this->now, std::move(aBody) });
    return *this;
  }

  HistoryBuilder& After(Milliseconds aPause)
  {
    this->now += aPause;
    return *this;
  }

  [[nodiscard]] EventTime Now() const { return this->now; }
  [[nodiscard]] const EventHistory& Events() const { return this->events; }

private:
  EventTime now = std::chrono::seconds(100);
  EventHistory events;
};

TaskStarted
Start(const std::string& aTask, const std::string& aWorker, std::uint32_t aAttempt = 1)
{
  return { .worker = { aWorker },
           .task = { aTask },
           .attempt = aAttempt,
           .team = { "nights" },
           .queue = { "swaps" },
           .request = kSmall,
           .token = aTask };
}

TaskStarted
StartNonIdempotent(const std::string& aTask, const std::string& aToken)
{
  TaskStarted start = Start(aTask, "w1");
  start.idempotent = false;
  start.token = aToken;
  return start;
}

TaskEnded
End(const std::string& aTask, const std::string& aWorker, std::uint32_t aAttempt = 1)
{
  return { .worker = { aWorker }, .task = { aTask }, .attempt = aAttempt };
}

WorkerAdded
Worker(const std::string& aWorker)
{
  return { .worker = { aWorker }, .zone = { "telford" }, .capacity = kPair };
}

ConfigurationAccepted
Accepted(std::uint64_t aVersion, const Resources& aLimit)
{
  return { .version = aVersion, .limits = { { { "nights" }, aLimit } } };
}

CallInvoked
Invoke(CallNumber aCall, const std::string& aToken)
{
  return { .call = aCall,
           .entry = "e1",
           .team = { "nights" },
           .key = { "k1" },
           .queue = { "swaps" },
           .token = aToken,
           .expectedResult = "result of " + aToken };
}

CallAnswered
Success(CallNumber aCall, const std::string& aResult)
{
  return {
    .call = aCall, .status = 200, .run = RunState::Ran, .state = "succeeded", .result = aResult
  };
}

CallAnswered
Refusal(CallNumber aCall, const std::string& aCode, RunState aRun = RunState::NotRun)
{
  return { .call = aCall, .status = 503, .code = aCode, .run = aRun };
}

using Check = CheckReport (*)(std::span<const Event>, const CheckBounds&);

void
ExpectGood(Check aCheck, const HistoryBuilder& aHistory)
{
  const CheckReport report = aCheck(aHistory.Events(), {});
  EXPECT_TRUE(report.violations.empty()) << report.violations.front();
  EXPECT_GT(report.checked, 0);
}

void
ExpectBad(Check aCheck, const HistoryBuilder& aHistory)
{
  EXPECT_EQ(aCheck(aHistory.Events(), {}).violations.size(), 1);
}

}

TEST(CheckCapacity, CountsWhatRunsTogether)
{
  HistoryBuilder good;
  good.Then(Worker("w1")).Then(Start("a", "w1")).Then(Start("b", "w1"));
  good.Then(End("a", "w1")).Then(Start("c", "w1"));
  ExpectGood(CheckCapacity, good);
  ExpectBad(CheckCapacity, HistoryBuilder(good).Then(Start("d", "w1")));
  ExpectBad(CheckCapacity, HistoryBuilder(good).Then(Start("d", "never added")));
  ExpectGood(CheckCapacity,
             HistoryBuilder(good).Then(WorkerKilled{ { "w1" } }).Then(Start("d", "w1")));
}

TEST(CheckSinglePlace, SeesOverlapsOfWorkersAndOfAttempts)
{
  HistoryBuilder good;
  good.Then(Start("a", "w1")).Then(End("a", "w1")).Then(Start("a", "w2", 2));
  ExpectGood(CheckSinglePlace, good);
  ExpectBad(CheckSinglePlace, HistoryBuilder(good).Then(Start("a", "w1", 3)));
  ExpectBad(CheckSinglePlace, HistoryBuilder(good).Then(Start("a", "w2", 2)));
  // The end of another attempt does not end this one.
  ExpectBad(CheckSinglePlace,
            HistoryBuilder(good).Then(End("a", "w2", 1)).Then(Start("a", "w3", 3)));
}

TEST(CheckAuthority, KnowsTeamsAndWithdrawals)
{
  HistoryBuilder good;
  good.Then(Invoke(1, "a")).Then(Start("a", "w1")).Then(Success(1, ""));
  ExpectGood(CheckAuthority, good);
  ExpectBad(CheckAuthority, HistoryBuilder(good).Then(Start("b", "w1")));
  TaskStarted foreign = Start("a", "w1");
  foreign.team = { "depots" };
  ExpectBad(CheckAuthority, HistoryBuilder(good).Then(foreign));

  CallInvoked stranger = Invoke(2, "b");
  stranger.authority = Authority::None;
  ExpectGood(CheckAuthority, HistoryBuilder(good).Then(stranger).Then(Refusal(2, "unauthorized")));
  ExpectBad(CheckAuthority, HistoryBuilder(good).Then(stranger).Then(Success(2, "")));
  ExpectBad(CheckAuthority, HistoryBuilder(good).Then(stranger).Then(Start("b", "w1")));

  good.Then(KeyWithdrawn{ { "k1" }, 2 });
  ExpectGood(CheckAuthority, HistoryBuilder(good).Then(Invoke(3, "c")).Then(Success(3, "")));
  good.After(Milliseconds{ 8001 });
  ExpectBad(CheckAuthority, HistoryBuilder(good).Then(Invoke(3, "c")).Then(Success(3, "")));
  ExpectBad(CheckAuthority, HistoryBuilder(good).Then(Invoke(3, "c")).Then(Start("c", "w1")));
}

TEST(CheckTeamLimits, CountsAllWorkersAndVersions)
{
  HistoryBuilder good;
  good.Then(Accepted(1, kPair)).Then(Start("a", "w1")).Then(Start("b", "w2"));
  ExpectGood(CheckTeamLimits, good);
  ExpectBad(CheckTeamLimits, HistoryBuilder(good).Then(Start("c", "w3")));
  // A lowered limit counts once the bound has passed.
  good.Then(End("b", "w2")).Then(Accepted(2, kSmall));
  ExpectGood(CheckTeamLimits, HistoryBuilder(good).Then(Start("c", "w3")));
  ExpectBad(CheckTeamLimits,
            HistoryBuilder(good).After(Milliseconds{ 8001 }).Then(Start("c", "w3")));
}

TEST(CheckAnswers, WantsTheWholeResultOfTheOwnRequest)
{
  HistoryBuilder good;
  good.Then(Invoke(1, "a")).Then(Invoke(2, "b"));
  good.Then(Success(2, "result of b")).Then(Success(1, "result of a")).Then(Invoke(3, "c"));
  ExpectGood(CheckAnswers, good);
  ExpectBad(CheckAnswers, HistoryBuilder(good).Then(Success(3, "result of a")));
  ExpectBad(CheckAnswers, HistoryBuilder(good).Then(Success(3, "result of")));
}

TEST(CheckNotRun, HoldsRefusalsAgainstStarts)
{
  HistoryBuilder refused;
  refused.Then(Invoke(1, "a")).Then(Refusal(1, "overloaded"));
  ExpectGood(CheckNotRun, refused);
  ExpectBad(CheckNotRun, HistoryBuilder(refused).Then(Start("a", "w1")));
  // A second call may well run it.
  ExpectGood(
    CheckNotRun,
    HistoryBuilder(refused).Then(Invoke(2, "a")).Then(Start("a", "w1")).Then(Success(2, "")));
  // An earlier start cannot come from the later call, whatever the worker's clock rounds down.
  ExpectBad(CheckNotRun,
            HistoryBuilder(refused)
              .Then(Start("a", "w1"))
              .After(Milliseconds{ 1 })
              .Then(Invoke(2, "a"))
              .Then(Success(2, "")));

  HistoryBuilder ran;
  ran.Then(Invoke(1, "a")).Then(Start("a", "w1")).Then(CallUnanswered{ 1, CallFailure::Closed });
  ran.Then(Invoke(2, "a"));
  ExpectBad(CheckNotRun, HistoryBuilder(ran).Then(Refusal(2, "overloaded")));
  ExpectGood(CheckNotRun, HistoryBuilder(ran).Then(Refusal(2, "unauthorized")));

  CallInvoked cancel = Invoke(3, "a");
  cancel.operation = Operation::Cancel;
  CallAnswered cancelled = Success(3, "");
  cancelled.state = "cancelled";
  cancelled.run = RunState::NotRun;
  ExpectBad(CheckNotRun, HistoryBuilder(ran).Then(cancel).Then(cancelled));
}

TEST(CheckAtMostOnce, CountsStartsOfARequestAcrossJobs)
{
  HistoryBuilder good;
  good.Then(StartNonIdempotent("job1/0", "a")).Then(End("job1/0", "w1"));
  good.Then(Start("job3/0", "w1")).Then(End("job3/0", "w1")).Then(Start("job3/0", "w2", 2));
  ExpectGood(CheckAtMostOnce, good);
  ExpectBad(CheckAtMostOnce, HistoryBuilder(good).Then(StartNonIdempotent("job2/0", "a")));
}

TEST(CheckLeaving, AllowsTheBoundAndNoMore)
{
  HistoryBuilder good;
  good.Then(Start("a", "w1")).Then(WorkerLeaving{ { "w1" } }).Then(Start("b", "w1"));
  good.After(Milliseconds{ 5000 }).Then(Start("c", "w2"));
  ExpectGood(CheckLeaving, good);
  ExpectBad(CheckLeaving, HistoryBuilder(good).Then(Start("d", "w1")));
}

TEST(CheckShutdown, WantsAnAnswerToWhatWasInProgress)
{
  HistoryBuilder begun;
  begun.Then(Invoke(1, "a")).After(Milliseconds{ 1500 }).Then(ShutdownAsked{ "e1" });
  HistoryBuilder good = begun;
  good.Then(Success(1, "")).Then(Invoke(2, "b"));
  good.Then(CallUnanswered{ 2, CallFailure::NotConnected }).Then(ProcessEnded{ "e1" });
  ExpectGood(CheckShutdown, good);
  ExpectBad(CheckShutdown, HistoryBuilder(begun).Then(CallUnanswered{ 1, CallFailure::Closed }));
  ExpectBad(CheckShutdown, HistoryBuilder(begun).Then(Refusal(1, "draining")));
  // One that is killed while it drains is not a graceful shutdown.
  HistoryBuilder killed = begun;
  killed.Then(CallUnanswered{ 1, CallFailure::Closed });
  ExpectGood(CheckShutdown, killed.Then(ProcessEnded{ "e1", ProcessEnd::Killed }));
}

TEST(CheckConfiguration, NeverFallsAndArrivesInTime)
{
  HistoryBuilder good;
  good.Then(Accepted(1, kPair)).Then(VersionObserved{ "e1", 1, good.Now() });
  good.Then(Accepted(2, kPair)).Then(VersionObserved{ "e1", 1, good.Now() });
  ExpectGood(CheckConfiguration, good);
  ExpectBad(CheckConfiguration, HistoryBuilder(good).Then(KeyWithdrawn{ { "k1" }, 2 }));

  HistoryBuilder late = good;
  late.After(Milliseconds{ 8001 });
  ExpectBad(CheckConfiguration, HistoryBuilder(late).Then(VersionObserved{ "e1", 1, late.Now() }));
  HistoryBuilder cut = good;
  cut.Then(FaultChanged{ "cut", { "e1" }, true }).After(Milliseconds{ 8001 });
  ExpectGood(CheckConfiguration, HistoryBuilder(cut).Then(VersionObserved{ "e1", 1, cut.Now() }));
  ExpectBad(CheckConfiguration, HistoryBuilder(cut).Then(VersionObserved{ "e2", 1, cut.Now() }));

  HistoryBuilder reverted = good;
  reverted.Then(VersionObserved{ "e1", 2, reverted.Now() });
  // The crossed answer to an older question is no fall.
  ExpectGood(CheckConfiguration,
             HistoryBuilder(reverted).Then(VersionObserved{ "e1", 1, good.Now() }));
  ExpectBad(CheckConfiguration,
            HistoryBuilder(reverted).Then(VersionObserved{ "e1", 1, reverted.Now() }));
}

TEST(CheckLiveness, WantsSuccesses)
{
  HistoryBuilder good;
  good.Then(Invoke(1, "a")).Then(Success(1, ""));
  ExpectGood(CheckLiveness, good);
  HistoryBuilder disturbed = good;
  disturbed.Then(FaultChanged{ "cut", { "e1" }, true }).Then(Invoke(2, "b"));
  disturbed.Then(Refusal(2, "overloaded")).Then(FaultChanged{ "cut", { "e1" }, false });
  ExpectGood(CheckLiveness, disturbed);
  // Elsewhere the share counts, and after the recovery every call.
  CallInvoked elsewhere = Invoke(3, "c");
  elsewhere.entry = "e2";
  ExpectBad(CheckLiveness,
            HistoryBuilder(disturbed).Then(elsewhere).Then(Refusal(3, "overloaded")));
  disturbed.After(Milliseconds{ 10001 });
  for (CallNumber call = 10; call < 60; ++call) {
    disturbed.Then(Invoke(call, "n")).Then(Success(call, ""));
  }
  ExpectGood(CheckLiveness, disturbed);
  ExpectBad(CheckLiveness,
            HistoryBuilder(disturbed).Then(Invoke(3, "c")).Then(Refusal(3, "overloaded")));
}

// The pattern: a job is accepted in a zone that is cut off while its key is withdrawn. Its caller
// is told nothing any more when the cut is over, and the job still has to be carried out.
TEST(CheckLiveness, WantsTheWorkersEndOfWorkWhoseKeyWasWithdrawn)
{
  CallAnswered accepted = Success(3, "");
  accepted.status = 202;
  accepted.state = "accepted";
  HistoryBuilder batch;
  batch.Then(Invoke(1, "a")).Then(Success(1, ""));
  batch.Then(Invoke(3, "c")).Then(accepted).Then(KeyWithdrawn{ { "k1" }, 2 });
  ExpectBad(CheckLiveness, batch);
  TaskStarted start = Start("t", "w1");
  start.token = "c";
  HistoryBuilder started = batch;
  started.Then(start);
  ExpectBad(CheckLiveness, started);
  ExpectGood(CheckLiveness, HistoryBuilder(started).Then(End("t", "w1")));
  // An attempt after that one is still running.
  start.attempt = 2;
  ExpectBad(CheckLiveness, HistoryBuilder(started).Then(End("t", "w1")).Then(start));
  started.After(Milliseconds{ 60001 });
  ExpectBad(CheckLiveness, HistoryBuilder(started).Then(End("t", "w1")));
}

TEST(CheckLiveness, WantsTheEndOfAcceptedWork)
{
  HistoryBuilder good;
  good.Then(Invoke(1, "a")).Then(Success(1, ""));
  CallAnswered accepted = Success(3, "");
  accepted.status = 202;
  accepted.state = "accepted";
  HistoryBuilder batch = good;
  batch.Then(Invoke(3, "c")).Then(accepted);
  ExpectBad(CheckLiveness, batch);
  CallInvoked status = Invoke(4, "c");
  status.operation = Operation::Status;
  ExpectGood(CheckLiveness, HistoryBuilder(batch).Then(status).Then(Success(4, "")));
  batch.After(Milliseconds{ 60001 });
  ExpectBad(CheckLiveness, HistoryBuilder(batch).Then(status).Then(Success(4, "")));
}

}
