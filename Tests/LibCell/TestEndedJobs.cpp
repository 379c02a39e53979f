#include "CellSchedulerFixture.h"

#include <LibCell/EndedJobArchive.h>
#include <LibCell/EndedJobCompactor.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

const std::string kWorker = "w1";
const JobId kJob{ "job" };

/// What becomes of a run, or of its worker.
struct RunEndCase
{
  std::string name;
  /// Whether the worker carries out the orders to stop the run.
  bool stopsRuns = false;
  void (*apply)(CellScheduler&, SimulatedWorkers&) = nullptr;

  friend std::ostream& operator<<(std::ostream& aStream, const RunEndCase& aCase)
  {
    return aStream << aCase.name;
  }
};

struct StepKindCase
{
  std::string name;
  void (*apply)(JobSpecification&) = nullptr;

  friend std::ostream& operator<<(std::ostream& aStream, const StepKindCase& aCase)
  {
    return aStream << aCase.name;
  }
};

void
EndRuns(SimulatedWorkers& aWorkers, RunOutcome aOutcome)
{
  aWorkers.EndAll(aOutcome);
}

/// Begins another incarnation on the worker's machine, under another id.
void
Supersede(CellScheduler& aScheduler, SimulatedWorkers& aWorkers)
{
  auto entry = aWorkers.At(kWorker).entry;
  aWorkers.At(kWorker).isReachable = false;
  const auto machine = entry.machine;
  entry = aWorkers.Add("w1-next", 8);
  entry.machine = machine;
  entry.incarnation = 2;
  aWorkers.At("w1-next").entry = entry;
  aScheduler.OnWorkerEntry(entry);
}

const std::vector<RunEndCase> kRunEnds = {
  { "LeaseExpires",
    false,
    [](CellScheduler&, SimulatedWorkers& aWorkers) { aWorkers.At(kWorker).isReachable = false; } },
  { "LeaseExpiresUnlisted",
    false,
    [](CellScheduler& aScheduler, SimulatedWorkers& aWorkers) {
      aWorkers.At(kWorker).isReachable = false;
      aScheduler.OnWorkerUnlisted({ kWorker });
    } },
  { "Superseded", false, &Supersede },
  { "RestartsWithARow",
    false,
    [](CellScheduler& aScheduler, SimulatedWorkers& aWorkers) {
      aScheduler.OnWorkerEntry(aWorkers.RestartAtOnce(kWorker));
    } },
  { "RestartsWithoutARow",
    false,
    [](CellScheduler&, SimulatedWorkers& aWorkers) {
      static_cast<void>(aWorkers.RestartAtOnce(kWorker));
    } },
  { "AddressReused",
    false,
    [](CellScheduler&, SimulatedWorkers& aWorkers) { aWorkers.At(kWorker).isReplaced = true; } },
  { "IsAbsent",
    false,
    [](CellScheduler&, SimulatedWorkers& aWorkers) { aWorkers.At(kWorker).running.clear(); } },
  { "Succeeds",
    false,
    [](CellScheduler&, SimulatedWorkers& aWorkers) { EndRuns(aWorkers, RunOutcome::Succeeded); } },
  { "Fails",
    false,
    [](CellScheduler&, SimulatedWorkers& aWorkers) { EndRuns(aWorkers, RunOutcome::Failed); } },
  { "IsStopped", true, [](CellScheduler&, SimulatedWorkers&) {} },
  { "GangMemberEnds",
    false,
    [](CellScheduler&, SimulatedWorkers& aWorkers) {
      EndRuns(aWorkers, RunOutcome::GangMemberEnded);
    } },
  { "GangStartTimesOut",
    false,
    [](CellScheduler&, SimulatedWorkers& aWorkers) {
      EndRuns(aWorkers, RunOutcome::GangStartTimedOut);
    } },
  { "LeaseExpiresAtTheWorker",
    false,
    [](CellScheduler&, SimulatedWorkers& aWorkers) {
      EndRuns(aWorkers, RunOutcome::LeaseExpired);
    } },
};

const std::vector<StepKindCase> kStepKinds = {
  { "Plain", [](JobSpecification&) {} },
  { "Gang", [](JobSpecification& aSpec) { aSpec.steps[0].isGang = true; } },
  { "Service", [](JobSpecification& aSpec) { aSpec.steps[0].isService = true; } },
  { "BestEffort", [](JobSpecification& aSpec) { aSpec.steps[0].isBestEffort = true; } },
  { "Timed",
    [](JobSpecification& aSpec) {
      aSpec.occurrences = 3;
      aSpec.firstDue = WallTime(Milliseconds{ 999'000 });
      aSpec.interval = Milliseconds{ 100 };
    } },
};

class EndedJobRunTest
  : public CellSchedulerFixture
  , public testing::WithParamInterface<std::tuple<RunEndCase, StepKindCase>>
{
protected:
  /// Starts the job's two tasks at one worker.
  void StartJob()
  {
    const auto& kind = std::get<1>(this->GetParam());
    this->entries = { this->workers.Add(kWorker, 8) };
    auto spec = MakeJob(kJob.value, 2, 1);
    kind.apply(spec);
    this->AcceptJob(spec);
    this->BeginTerm();
    this->RunFor(Milliseconds{ 300 });
    ASSERT_GE(this->workers.At(kWorker).running.size(), 2U);
    this->workers.At(kWorker).ignoresStops = true;
  }

  /// Applies the case to the runs that the worker has, and waits until the leader has noticed.
  void EndRunsAndWait()
  {
    const auto& end = std::get<0>(this->GetParam());
    this->workers.At(kWorker).ignoresStops = !end.stopsRuns;
    end.apply(*this->scheduler, this->workers);
    this->RunFor(Milliseconds{ 30'000 });
  }
};

std::string
NameOf(const testing::TestParamInfo<EndedJobRunTest::ParamType>& aInfo)
{
  return std::get<0>(aInfo.param).name + "Of" + std::get<1>(aInfo.param).name;
}

/// The same ends, at a job that the leader has with its steps.
class UnknownTaskRunTest : public EndedJobRunTest
{};

}

// Guards against a leader that crashes, and each of its successors with it, when a run ends of a
// job whose row was compacted, so that the leader does not have its steps.
TEST_P(EndedJobRunTest, DoesNotEndTheLeader)
{
  this->StartJob();
  this->store.Put(JobRowKey(kJob, JobRowKind::Specification),
                  EncodeEndedJob({ .outcome = JobOutcome::Cancelled, .workspace = { "team" } }));
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 500 });
  this->EndRunsAndWait();
  EXPECT_EQ(this->StatusOf(kJob.value).outcome, JobOutcome::Cancelled);
  // The room of the runs is free again.
  this->entries.push_back(this->workers.Add("w2", 8));
  this->scheduler->OnWorkerEntry(this->entries.back());
  const auto starts = this->workers.starts.size();
  this->AcceptJob(MakeJob("next", 1, 8));
  this->RunFor(Milliseconds{ 1000 });
  EXPECT_EQ(this->workers.starts.size(), starts + 1);
  EXPECT_EQ(this->CountStarts("next"), 1U);
}

INSTANTIATE_TEST_SUITE_P(EndedJobs,
                         EndedJobRunTest,
                         testing::Combine(testing::ValuesIn(kRunEnds),
                                          testing::ValuesIn(kStepKinds)),
                         &NameOf);

// Guards against a leader that crashes, and each of its successors with it, when a run ends whose
// name the worker reports with a step, a task or an occurrence that the job does not have.
TEST_P(UnknownTaskRunTest, DoesNotEndTheLeader)
{
  this->StartJob();
  for (const TaskKey key : { TaskKey{ 0, 7, 0 }, TaskKey{ 0, 0, 9 }, TaskKey{ 50, 0, 0 } }) {
    this->workers.At(kWorker).running["unknown" + std::to_string(key.step + key.occurrence)] = {
      .task = { kJob, key }, .run = 1
    };
  }
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 500 });
  this->EndRunsAndWait();
  EXPECT_TRUE(this->StatusOf(kJob.value).isKnown);
}

INSTANTIATE_TEST_SUITE_P(EndedJobs,
                         UnknownTaskRunTest,
                         testing::Combine(testing::ValuesIn(kRunEnds),
                                          testing::ValuesIn(kStepKinds)),
                         &NameOf);

class EndedJobCompactorTest : public testing::Test
{
protected:
  void Add(int aFirst, int aCount)
  {
    for (int number = aFirst; number < aFirst + aCount; ++number) {
      this->compactor.Add({ std::to_string(number) }, { .workspace = { "team" } });
    }
  }
  /// Compacts what is due for a number of intervals; jobs below a number have runs.
  void Compact(int aBatches, int aWithRuns)
  {
    for (int batch = 0; batch < aBatches; ++batch) {
      if (this->compactor.IsDue()) {
        this->compactor.Compact(
          [aWithRuns](const JobId& aJob) { return std::stoi(aJob.value) < aWithRuns; });
      }
      this->clock.Advance(Milliseconds{ 250 });
    }
  }
  [[nodiscard]] bool IsCompacted(int aNumber) const
  {
    return this->store.rows.contains(
      JobRowKey({ std::to_string(aNumber) }, JobRowKind::Specification));
  }

  ManualClock clock;
  MemoryStore store;
  EndedJobCompactor compactor{ this->store, this->clock };
};

// Load: many jobs that have ended while their runs go on. Guards against these holding back the
// others, and against transactions that write nothing.
TEST_F(EndedJobCompactorTest, JobsWithRunsDoNotHoldBackOthers)
{
  this->Add(0, 100);
  this->Compact(10, 60);
  EXPECT_EQ(this->store.rows.size(), 40U);
  EXPECT_FALSE(IsCompacted(59));
  EXPECT_EQ(this->store.commitCount, 1U);
  this->Compact(10, 0);
  EXPECT_TRUE(IsCompacted(0));
  EXPECT_EQ(this->store.rows.size(), 80U) << "the rest waits for a full batch";
}

// Failure: the response to a batch is lost. Guards against jobs that are never compacted.
TEST_F(EndedJobCompactorTest, RepeatsABatchThatFailed)
{
  this->Add(0, 40);
  this->store.mode = StoreMode::Unavailable;
  this->Compact(2, 0);
  this->store.mode = StoreMode::Available;
  this->Compact(10, 0);
  EXPECT_TRUE(IsCompacted(39));
  EXPECT_EQ(this->store.commitCount, 1U);
}

class EndedJobArchiveTest : public testing::Test
{
protected:
  EndedJobArchive archive;
  TimePoint start{ Milliseconds{ 1000 } };
};

// Load: hours of traffic. Guards against an archive that grows without bound.
TEST_F(EndedJobArchiveTest, RemovesOldJobs)
{
  for (int number = 0; number < 1000; ++number) {
    const auto now = this->start + Milliseconds(number);
    this->archive.Add({ std::to_string(number) }, { .outcome = JobOutcome::Failed }, now);
    this->archive.RemoveOlderThan(now - Milliseconds{ 100 });
  }
  EXPECT_EQ(this->archive.Size(), 101U);
  EXPECT_FALSE(this->archive.Contains({ "898" }));
  ASSERT_NE(this->archive.Find({ "899" }), nullptr);
  EXPECT_EQ(this->archive.Find({ "899" })->outcome, JobOutcome::Failed);
}

// Guards against a row that is read again and prolongs the time for which its job is kept.
TEST_F(EndedJobArchiveTest, KeepsTheTimeOfTheFirstRow)
{
  this->archive.Add({ "a" }, { .outcome = JobOutcome::Failed }, this->start);
  this->archive.Add(
    { "a" }, { .outcome = JobOutcome::Succeeded }, this->start + Milliseconds{ 500 });
  EXPECT_EQ(this->archive.Find({ "a" })->outcome, JobOutcome::Failed);
  this->archive.RemoveOlderThan(this->start + Milliseconds{ 400 });
  EXPECT_EQ(this->archive.Size(), 0U);
  this->archive.RemoveOlderThan(this->start + Milliseconds{ 1000 });
}

/// A workspace with a limit, one of whose jobs has ended while its run goes on.
class EndedJobTest : public CellSchedulerFixture
{
protected:
  static constexpr std::int64_t kLimitCores = 4;
  /// More than the leader compacts in one batch.
  static constexpr int kOtherJobs = 45;

  /// Runs the job until its task uses the workspace's limit, and a number of jobs of another
  /// workspace.
  void StartJobs(const JobSpecification& aJob)
  {
    this->policy.workspaces[{ "team" }].quota = { .milliCores = kLimitCores * 1000 };
    this->policy.workspaces[{ "others" }] = { .name = { "others" }, .weight = 1000.0 };
    this->entries = { this->workers.Add(kWorker, kLimitCores), this->workers.Add("w2", 64) };
    this->AcceptJob(aJob);
    this->BeginTerm();
    this->RunFor(Milliseconds{ 200 });
    ASSERT_EQ(this->CountStarts(kJob.value), 1U);
    for (int number = 0; number < kOtherJobs; ++number) {
      auto spec = MakeJob("other" + std::to_string(number), 1, 1);
      spec.workspace = { "others" };
      this->AcceptJob(spec);
    }
    this->RunFor(Milliseconds{ 200 });
  }

  /// Cancels the job, whose run goes on, and ends the others.
  void EndJobs()
  {
    for (auto* worker : { &this->workers.At(kWorker), &this->workers.At("w2") }) {
      worker->ignoresStops = true;
    }
    const auto key = JobRowKey(kJob, JobRowKind::Cancellation);
    this->store.Put(key, "{}");
    this->scheduler->OnJobRows({ this->store.rows.at(key) });
    for (int number = 0; number < kOtherJobs; ++number) {
      for (const auto* worker : { "w1", "w2" }) {
        this->workers.End(
          worker, { { "other" + std::to_string(number) }, { 0, 0, 0 } }, RunOutcome::Succeeded);
      }
    }
    this->RunFor(Milliseconds{ 2000 });
  }

  [[nodiscard]] std::ptrdiff_t CountCompactedRows() const
  {
    return std::ranges::count_if(this->store.RowsOf(std::string(kJobTable)), [](const Row& aRow) {
      return DecodeEndedJob(aRow.value).has_value();
    });
  }

  /// Begins another term, in which a job of the workspace waits for the limit until the run has
  /// ended.
  void ExpectThatTheNextLeaderKeepsTheLimit()
  {
    this->BeginTerm(true);
    this->RunFor(Milliseconds{ 200 });
    this->AcceptJob(MakeJob("next", 1, 2));
    this->RunFor(Milliseconds{ 1000 });
    EXPECT_EQ(this->CountStarts("next"), 0U) << "the workspace uses all of its limit";
    for (auto* worker : { &this->workers.At(kWorker), &this->workers.At("w2") }) {
      worker->ignoresStops = false;
    }
    this->workers.EndAll(RunOutcome::Stopped);
    this->RunFor(Milliseconds{ 1000 });
    EXPECT_EQ(this->CountStarts("next"), 1U);
  }
};

// Failure: the leader is killed while the run of a cancelled job is being stopped. Guards against a
// workspace that exceeds its limit, since the next leader does not know what the run uses.
TEST_F(EndedJobTest, TheNextLeaderKnowsWhatARunOfAnEndedJobUses)
{
  this->StartJobs(MakeJob(kJob.value, 1, kLimitCores));
  this->EndJobs();
  EXPECT_GE(this->CountCompactedRows(), 40) << "the other jobs are not kept back";
  this->ExpectThatTheNextLeaderKeepsTheLimit();
  this->RunFor(Milliseconds{ 2000 });
}

// Failure: the same, with a timed job: the next leader does not create the occurrences that its
// predecessor had begun, since the job has ended.
TEST_F(EndedJobTest, TheNextLeaderKnowsWhatARunOfAnEndedTimedJobUses)
{
  auto spec = MakeJob(kJob.value, 1, kLimitCores);
  spec.occurrences = 100;
  spec.firstDue = WallTime(Milliseconds{ 1'000'000 });
  spec.interval = Milliseconds{ 3'600'000 };
  this->StartJobs(spec);
  this->EndJobs();
  // The next leader's clock is behind.
  this->wallTime -= Milliseconds{ 5000 };
  this->ExpectThatTheNextLeaderKeepsTheLimit();
}

// Guards against a row that is never compacted, because the job had a run when its turn came.
TEST_F(EndedJobTest, AJobIsCompactedOnceItsRunsHaveEnded)
{
  this->StartJobs(MakeJob(kJob.value, 1, kLimitCores));
  this->EndJobs();
  const auto key = JobRowKey(kJob, JobRowKind::Specification);
  EXPECT_FALSE(DecodeEndedJob(this->store.rows.at(key).value).has_value());
  this->workers.EndAll(RunOutcome::Stopped);
  for (int number = 0; number < kOtherJobs; ++number) {
    auto spec = MakeJob("more" + std::to_string(number), 1, 1);
    spec.workspace = { "others" };
    this->AcceptJob(spec);
  }
  this->RunFor(Milliseconds{ 300 });
  this->workers.EndAll(RunOutcome::Succeeded);
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_TRUE(DecodeEndedJob(this->store.rows.at(key).value).has_value());
}

// Failure: the leader is killed. Guards against a successor that shows another state of an ended
// job because of the rows that are left beside it, such as a late write of its progress.
TEST_F(EndedJobTest, OtherRowsOfAnEndedJobChangeNothing)
{
  this->entries = { this->workers.Add(kWorker, 8) };
  this->store.Put(JobRowKey(kJob, JobRowKind::Specification),
                  EncodeEndedJob({ .outcome = JobOutcome::Succeeded, .workspace = { "team" } }));
  this->store.Put(JobRowKey(kJob, JobRowKind::Cancellation), "{}");
  this->store.Put(JobRowKey(kJob, JobRowKind::Progress),
                  EncodeProgress({ .outcome = JobOutcome::Active, .hasStarted = true }));
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  this->scheduler->OnJobRows(this->store.RowsOf(std::string(kJobTable)));
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->StatusOf(kJob.value).outcome, JobOutcome::Succeeded);
  EXPECT_EQ(this->StatusOf(kJob.value).workspace.value, "team");
  EXPECT_TRUE(this->workers.starts.empty());
}

}
