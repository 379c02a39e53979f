#include "CellSchedulerFixture.h"

#include <algorithm>
#include <map>

namespace zinc::cell::test {

namespace {

/// The platform's limit: after three crashes a task may be started less than three times more.
constexpr std::size_t kMaxStartsOfCrashingTask = 5;

class WorkerCrashTest : public CellSchedulerFixture
{
protected:
  WorkerCrashTest()
  {
    this->workers.crashesWorker = [](const TaskName& aTask) {
      return aTask.job.value.starts_with("poison");
    };
  }

  /// Adds workers w1, w2, ... with two in each rack.
  void AddWorkers(std::size_t aCount, std::int64_t aCores)
  {
    for (std::size_t number = 1; number <= aCount; ++number) {
      this->entries.push_back(this->workers.Add(
        "w" + std::to_string(number), aCores, "r" + std::to_string((number + 1) / 2)));
    }
  }

  /// @return the largest number of starts of one task of the job
  [[nodiscard]] std::size_t MaxStartsPerTask(const std::string& aJob) const
  {
    std::map<std::uint32_t, std::size_t> starts;
    for (const auto& start : this->workers.starts) {
      if (start.task.job.value == aJob) {
        ++starts[start.task.key.index];
      }
    }
    std::size_t most = 0;
    for (const auto& [index, count] : starts) {
      most = std::max(most, count);
    }
    return most;
  }

  /// Runs the job of a crashing task, and expects that it fails within the platform's limit.
  void ExpectJobIsGivenUp(const JobSpecification& aSpec,
                          Milliseconds aDuration = Milliseconds{ 60'000 })
  {
    this->AcceptJob(aSpec);
    this->BeginTerm();
    this->RunFor(aDuration);
    EXPECT_LE(this->MaxStartsPerTask(aSpec.id.value), kMaxStartsOfCrashingTask);
    EXPECT_EQ(this->StatusOf(aSpec.id.value).outcome, JobOutcome::Failed);
  }

  /// Runs until a worker has crashed.
  void RunUntilCrash(std::size_t aCrashes, Milliseconds aTimeout)
  {
    for (Milliseconds waited{ 0 }; waited < aTimeout; waited += Milliseconds{ 10 }) {
      if (this->workers.crashes.size() >= aCrashes) {
        return;
      }
      this->RunFor(Milliseconds{ 10 });
    }
  }
};

}

// Guards against a task that crashes one worker after another for as long as its job lives.
TEST_F(WorkerCrashTest, GivesUpATaskThatCrashesItsWorkers)
{
  this->AddWorkers(6, 4);
  this->ExpectJobIsGivenUp(MakeJob("poison", 1, 2));
}

// Guards against crashes that go uncounted: workers register under another id afterwards.
TEST_F(WorkerCrashTest, GivesUpATaskWhoseWorkersReturnUnderAnotherId)
{
  this->workers.restartMode = RestartMode::GetsNewId;
  this->AddWorkers(6, 4);
  this->ExpectJobIsGivenUp(MakeJob("poison", 1, 2));
}

// Guards against crashes that go uncounted: workers return after their leases have expired, when
// the task has already started elsewhere.
TEST_F(WorkerCrashTest, GivesUpATaskWhoseWorkersReturnAfterTheirLease)
{
  this->workers.restartDelay = Milliseconds{ 9000 };
  this->AddWorkers(8, 4);
  this->ExpectJobIsGivenUp(MakeJob("poison", 1, 2), Milliseconds{ 120'000 });
}

// Guards against crashes that go uncounted: workers crash before they respond to the start order.
TEST_F(WorkerCrashTest, GivesUpATaskThatCrashesItsWorkersBeforeTheyRespond)
{
  this->workers.crashDelay = Milliseconds{ 0 };
  this->AddWorkers(6, 4);
  this->ExpectJobIsGivenUp(MakeJob("poison", 1, 2));
}

// Guards against a gang that crashes the workers of all its members with each run, without end.
TEST_F(WorkerCrashTest, GivesUpAGangThatCrashesItsWorkers)
{
  this->AddWorkers(12, 4);
  auto spec = MakeJob("poison", 4, 3);
  spec.steps.front().isGang = true;
  this->ExpectJobIsGivenUp(spec);
}

// Guards against crashing tasks and gangs that start without end where they need tickets of the
// policy service, and where room is reserved for a gang until it has them.
TEST_F(WorkerCrashTest, GivesUpAGangWithTicketsThatCrashesItsWorkers)
{
  this->policy.routes.front().queue.needsAdvice = true;
  this->policy.routes.front().queue.advice = { .ticketValidity = Milliseconds{ 300 } };
  this->AddWorkers(12, 4);
  auto spec = MakeJob("poison", 4, 3);
  spec.steps.front().isGang = true;
  this->AcceptJob(spec);
  this->AcceptJob(MakeJob("poison-tasks", 6, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 60'000 });
  for (const auto* id : { "poison", "poison-tasks" }) {
    EXPECT_GE(this->MaxStartsPerTask(id), 2U) << id;
    EXPECT_LE(this->MaxStartsPerTask(id), kMaxStartsOfCrashingTask) << id;
    EXPECT_EQ(this->StatusOf(id).outcome, JobOutcome::Failed) << id;
  }
}

// Guards against suspects that never finish although their workers crash no more.
TEST_F(WorkerCrashTest, FinishesSuspectsWhoseWorkersDoNotCrashAgain)
{
  this->AddWorkers(4, 8);
  auto gang = MakeJob("gang", 4, 2);
  gang.steps.front().isGang = true;
  this->AcceptJob(gang);
  this->AcceptJob(MakeJob("wide", 20, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 500 });
  this->workers.Crash("w1");
  this->RunFor(Milliseconds{ 4000 });
  this->workers.Crash("w2");
  for (int round = 0; round < 10; ++round) {
    this->RunFor(Milliseconds{ 4000 });
    this->workers.EndAll();
  }
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->StatusOf("gang").outcome, JobOutcome::Succeeded);
  EXPECT_EQ(this->StatusOf("wide").outcome, JobOutcome::Succeeded);
}

// Guards against a service task that crashes workers without end, since services always restart.
TEST_F(WorkerCrashTest, GivesUpAServiceTaskThatCrashesItsWorkers)
{
  this->AddWorkers(6, 4);
  auto spec = MakeJob("poison", 1, 2);
  spec.steps.front().isService = true;
  this->ExpectJobIsGivenUp(spec);
}

// Guards against crashes that are forgotten when another instance takes over the term.
TEST_F(WorkerCrashTest, CountsCrashesAcrossChangesOfTheLeader)
{
  this->AddWorkers(6, 4);
  this->AcceptJob(MakeJob("poison", 1, 2));
  this->BeginTerm();
  for (std::size_t crash = 1; crash <= kMaxStartsOfCrashingTask + 1; ++crash) {
    this->RunUntilCrash(crash, Milliseconds{ 20'000 });
    // The worker has returned and its task waits again when the next leader begins.
    this->RunFor(this->workers.restartDelay + Milliseconds{ 50 });
    this->BeginTerm(true);
  }
  this->RunFor(Milliseconds{ 30'000 });
  EXPECT_LE(this->MaxStartsPerTask("poison"), kMaxStartsOfCrashingTask);
  EXPECT_EQ(this->StatusOf("poison").outcome, JobOutcome::Failed);
}

// Guards against crashes that no leader counts, since each leader is gone before the worker has
// returned: all instances lose power right after each crash.
TEST_F(WorkerCrashTest, CountsCrashesAroundPowerLossesOfAllInstances)
{
  this->AddWorkers(6, 4);
  this->AcceptJob(MakeJob("poison", 1, 2));
  this->BeginTerm();
  this->RunUntilCrash(1, Milliseconds{ 20'000 });
  this->RunFor(this->workers.restartDelay + Milliseconds{ 50 });
  for (std::size_t crash = 2; crash <= kMaxStartsOfCrashingTask + 3; ++crash) {
    this->RunUntilCrash(crash, Milliseconds{ 20'000 });
    this->BeginTerm(true);
  }
  this->RunFor(Milliseconds{ 60'000 });
  EXPECT_LE(this->MaxStartsPerTask("poison"), kMaxStartsOfCrashingTask);
  EXPECT_EQ(this->StatusOf("poison").outcome, JobOutcome::Failed);
}

// Guards against a cut that is taken for a crash: the workers of a zone are silent until after
// their leases, and return as the same incarnation.
TEST_F(WorkerCrashTest, DoesNotCountACutZoneAsCrashes)
{
  this->AddWorkers(4, 4);
  this->AcceptJob(MakeJob("job", 8, 2));
  this->BeginTerm();
  for (int cut = 0; cut < 8; ++cut) {
    this->RunFor(Milliseconds{ 1000 });
    const bool isFirstHalf = cut % 2 == 0;
    const std::vector<std::string> silent =
      isFirstHalf ? std::vector<std::string>{ "w1", "w2" } : std::vector<std::string>{ "w3", "w4" };
    for (const auto& id : silent) {
      this->workers.At(id).isReachable = false;
    }
    this->RunFor(Milliseconds{ 9000 });
    for (const auto& id : silent) {
      this->workers.At(id).isReachable = true;
    }
  }
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Active);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

// Guards against a lost rack that is blamed on the tasks that ran there.
TEST_F(WorkerCrashTest, DoesNotCountALostRackAgainstItsTasks)
{
  this->AddWorkers(4, 4);
  for (const auto* id : { "a", "b", "c", "d" }) {
    this->AcceptJob(MakeJob(id, 1, 3));
  }
  this->BeginTerm();
  for (int loss = 0; loss < 4; ++loss) {
    this->RunFor(Milliseconds{ 3000 });
    // The two workers of a rack go together and return one after the other.
    const bool isFirstRack = loss % 2 == 0;
    this->workers.restartDelay = Milliseconds{ 2500 };
    this->workers.Crash(isFirstRack ? "w1" : "w3");
    this->workers.restartDelay = Milliseconds{ 3500 };
    this->workers.Crash(isFirstRack ? "w2" : "w4");
    this->RunFor(Milliseconds{ 5000 });
  }
  for (const auto* id : { "a", "b", "c", "d" }) {
    EXPECT_EQ(this->StatusOf(id).outcome, JobOutcome::Active) << id;
  }
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  for (const auto* id : { "a", "b", "c", "d" }) {
    EXPECT_EQ(this->StatusOf(id).outcome, JobOutcome::Succeeded) << id;
  }
}

// Guards against neighbours of a crashing task that are given up in its place.
TEST_F(WorkerCrashTest, DoesNotGiveUpTheNeighboursOfACrashingTask)
{
  this->AddWorkers(6, 4);
  for (int number = 0; number < 6; ++number) {
    this->AcceptJob(MakeJob("job" + std::to_string(number), 1, 2));
  }
  this->BeginTerm();
  this->RunFor(Milliseconds{ 500 });
  this->AcceptJob(MakeJob("poison", 1, 2));
  this->RunFor(Milliseconds{ 30'000 });
  EXPECT_EQ(this->StatusOf("poison").outcome, JobOutcome::Failed);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  for (int number = 0; number < 6; ++number) {
    const auto id = "job" + std::to_string(number);
    EXPECT_EQ(this->StatusOf(id).outcome, JobOutcome::Succeeded) << id;
  }
}

// Guards against a task that is given up although it never ran: each start is sent to a worker that
// is down already.
TEST_F(WorkerCrashTest, DoesNotGiveUpATaskWhoseStartsReachNoWorker)
{
  this->workers.startsToLose = 3;
  this->AddWorkers(1, 4);
  this->AcceptJob(MakeJob("job", 1, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 20'000 });
  ASSERT_EQ(this->workers.crashes.size(), 3U);
  EXPECT_EQ(this->MaxStartsPerTask("job"), 1U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

// Guards against a task that is given up for a start that was recorded and never sent: the leader
// was gone first, and the worker crashed for another reason.
TEST_F(WorkerCrashTest, DoesNotGiveUpATaskForARecordedStartThatWasNotSent)
{
  this->AddWorkers(2, 4);
  this->AcceptJob(MakeJob("job", 1, 3));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 500 });
  this->workers.Crash(this->workers.starts.back().worker.value);
  // The start is recorded in one round and sent in the next.
  const auto countRecorded = [this] {
    const auto& rows = this->store.rows;
    return std::ranges::count_if(
      rows, [](const auto& aItem) { return aItem.second.value.find("m-w") != std::string::npos; });
  };
  while (countRecorded() == 0) {
    this->scheduler->Tick();
    this->scheduler->OnReportStored(this->scheduler->MakeLeaderReport(), ++this->store.version);
    this->ListRestartedWorkers();
    this->workers.Deliver();
    this->clock.Advance(Milliseconds{ 10 });
  }
  ASSERT_EQ(this->MaxStartsPerTask("job"), 1U);
  for (const auto* id : { "w1", "w2" }) {
    this->workers.Crash(id);
  }
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 20'000 });
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

// Guards against a crash that is counted although there was none: a worker of a recorded gang
// starts again under its id before the gang is sent there, and the next leader reads the old
// incarnation.
TEST_F(WorkerCrashTest, RecordsAGangAnewIfAWorkerHasRestarted)
{
  this->AddWorkers(2, 4);
  auto gang = MakeJob("gang", 2, 4);
  gang.steps.front().isGang = true;
  this->AcceptJob(gang);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 500 });
  this->workers.Crash("w1");
  const auto key = JobRowKey({ "gang" }, JobRowKind::Progress);
  const auto findRecordedIncarnation = [this, &key]() -> std::int64_t {
    const auto row = this->store.rows.find(key);
    const auto record = row == this->store.rows.end() ? Result<ProgressRecord>(ProgressRecord{})
                                                      : DecodeProgress(row->second.value);
    const bool isRecorded =
      !ValueOf(record).tasks.empty() && ValueOf(record).tasks.front().recordedStart.has_value();
    return isRecorded ? ValueOf(record).tasks.front().recordedStart->incarnation : 0;
  };
  while (findRecordedIncarnation() == 0) {
    this->RunFor(Milliseconds{ 10 });
  }
  auto& worker = this->workers.At("w1");
  ASSERT_TRUE(worker.running.empty());
  ++worker.entry.incarnation;
  this->scheduler->OnWorkerEntry(worker.entry);
  this->RunFor(Milliseconds{ 500 });
  ASSERT_EQ(worker.running.size(), 1U);
  EXPECT_EQ(findRecordedIncarnation(), worker.entry.incarnation);
}

// Guards against a task that is given up for the crash of one worker.
TEST_F(WorkerCrashTest, StartsATaskAgainAfterOneCrash)
{
  this->AddWorkers(4, 4);
  this->AcceptJob(MakeJob("job", 1, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 500 });
  this->workers.Crash(this->workers.starts.back().worker.value);
  this->RunFor(Milliseconds{ 5000 });
  EXPECT_EQ(this->MaxStartsPerTask("job"), 2U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

// Guards against a planned restart that is taken for a crash: a worker drains, leaves and returns.
TEST_F(WorkerCrashTest, DoesNotCountDrainedWorkers)
{
  this->AddWorkers(4, 4);
  this->AcceptJob(MakeJob("job", 1, 2));
  this->BeginTerm();
  for (int restart = 0; restart < 4; ++restart) {
    this->RunFor(Milliseconds{ 1000 });
    auto& worker = this->workers.At(this->workers.starts.back().worker.value);
    auto draining = worker.entry;
    draining.isDraining = true;
    this->scheduler->OnWorkerEntry(draining);
    this->RunFor(Milliseconds{ 100 });
    this->workers.Crash(worker.entry.id.value);
    this->RunFor(Milliseconds{ 5000 });
  }
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Active);
  EXPECT_GT(this->MaxStartsPerTask("job"), 3U);
}

}
