#include "CellSchedulerFixture.h"

#include <LibCell/EndedJobArchive.h>
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

using EndedJobTest = CellSchedulerFixture;

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
