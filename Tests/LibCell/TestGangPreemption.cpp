#include "CellSchedulerFixture.h"

#include <LibCell/GangPreemption.h>
#include <algorithm>
#include <deque>
#include <set>

namespace zinc::cell::test {

namespace {

/// Workers with runs, without a scheduler.
class GangPreemptionTest : public testing::Test
{
protected:
  Worker& AddWorker(std::int64_t aCores)
  {
    auto& worker = this->workers.emplace_back();
    worker.entry.capacity = { .milliCores = aCores * 1000, .memoryMiB = 64'000 };
    worker.number = static_cast<WorkerNumber>(this->workers.size());
    return worker;
  }

  void AddRun(Worker& aWorker, std::int64_t aCores, RunPhase aPhase = RunPhase::Running)
  {
    const Resources demand{ .milliCores = aCores * 1000 };
    aWorker.allocations.push_back(
      { .task = { .job = { "batch" } }, .run = ++this->runs, .demand = demand, .phase = aPhase });
    aWorker.used += demand;
  }

  [[nodiscard]] std::optional<PreemptionPlan> Plan(std::uint32_t aCount, std::int64_t aCores)
  {
    std::vector<Worker*> eligible;
    for (auto& worker : this->workers) {
      eligible.push_back(&worker);
    }
    const StepSpecification step{ .count = aCount,
                                  .demand = { .milliCores = aCores * 1000 },
                                  .isGang = true,
                                  .prefersSameRack = this->prefersSameRack };
    return PlanGangPreemption(step, eligible, this->mayStop);
  }

  std::deque<Worker> workers;
  std::uint64_t runs = 0;
  bool prefersSameRack = false;
  PreemptionPredicate mayStop = [](const Allocation& aAllocation) {
    return aAllocation.phase == RunPhase::Running;
  };
};

}

// Guards against stops of tasks that lose work, that are as urgent as the gang, that end too late
// for it, or that are stopped again and again.
TEST(IsPreemptible, RequiresAllConditions)
{
  constexpr TimePoint kNow{ Milliseconds{ 100'000 } };
  const StepSpecification step{ .hasCheckpoints = true };
  const PreemptionInput input{ .now = kNow,
                               .gangPriority = 1,
                               .runPriority = 2,
                               .latestStart = kNow + Milliseconds{ 2000 },
                               .preemptions = 1 };
  EXPECT_TRUE(IsPreemptible(step, input));
  EXPECT_FALSE(IsPreemptible({}, input)) << "without checkpoints";
  EXPECT_FALSE(IsPreemptible({ .hasCheckpoints = true, .isGang = true }, input));
  auto changed = input;
  changed.runPriority = 1;
  EXPECT_FALSE(IsPreemptible(step, changed)) << "as urgent as the gang";
  changed = input;
  changed.latestStart -= Milliseconds{ 1 };
  EXPECT_FALSE(IsPreemptible(step, changed)) << "too little time left";
  changed = input;
  changed.preemptions = 2;
  EXPECT_FALSE(IsPreemptible(step, changed)) << "stopped twice";
  changed = input;
  changed.phase = RunPhase::Starting;
  EXPECT_FALSE(IsPreemptible(step, changed)) << "not known to run";
}

// Load: a pool full of small tasks. Guards against stops of more runs than the gang needs.
TEST_F(GangPreemptionTest, StopsTheFewestProcessors)
{
  auto& full = this->AddWorker(10);
  this->AddRun(full, 8);
  this->AddRun(full, 2);
  auto& nearlyFree = this->AddWorker(10);
  this->AddRun(nearlyFree, 3);
  const auto plan = this->Plan(1, 9);
  ASSERT_TRUE(plan);
  ASSERT_EQ(plan->preempted.size(), 1U);
  EXPECT_EQ(plan->preempted.front().worker, &nearlyFree);
  EXPECT_EQ(plan->members, std::vector<Worker*>{ &nearlyFree });
}

// Guards against further stops while earlier ones have not ended yet.
TEST_F(GangPreemptionTest, CountsTheRoomOfRunsThatAreBeingStopped)
{
  auto& worker = this->AddWorker(10);
  this->AddRun(worker, 6, RunPhase::Stopping);
  this->AddRun(worker, 4);
  const auto plan = this->Plan(1, 6);
  ASSERT_TRUE(plan);
  EXPECT_TRUE(plan->preempted.empty());
}

// Guards against stops that do not help: a gang starts with all its members or not at all.
TEST_F(GangPreemptionTest, StopsNothingForAGangThatDoesNotFitEvenSo)
{
  auto& worker = this->AddWorker(10);
  this->AddRun(worker, 10);
  EXPECT_FALSE(this->Plan(2, 6));
  this->mayStop = [](const Allocation&) { return false; };
  EXPECT_FALSE(this->Plan(1, 6));
}

// Guards against stops for a gang that runs slower across racks than it would wait.
TEST_F(GangPreemptionTest, LeavesGangsOfOneRackAlone)
{
  this->AddRun(this->AddWorker(10), 10);
  this->prefersSameRack = true;
  EXPECT_FALSE(this->Plan(1, 6));
}

namespace {

/// A cell whose workers are filled by batch tasks of a less urgent queue when a gang arrives.
class FilledCellTest : public CellSchedulerFixture
{
protected:
  FilledCellTest()
  {
    this->policy.routes.front().queue.priority = 1;
    this->options.urgentHeadroom = 0.0;
    for (int number = 0; number < 4; ++number) {
      this->entries.push_back(this->workers.Add("w" + std::to_string(number), 9));
    }
  }

  /// Starts a job that fills all workers.
  void FillWorkers(bool aHasCheckpoints, double aStretch)
  {
    auto batch = MakeJob("batch", 12, 3, 4000);
    batch.queue.name = { "less urgent" };
    batch.queue.priority = 2;
    batch.queue.stretch = aStretch;
    batch.steps.front().hasCheckpoints = aHasCheckpoints;
    this->AcceptJob(batch);
    this->RunFor(Milliseconds{ 200 });
    ASSERT_EQ(this->CountStarts("batch"), 12U);
  }

  void AcceptGang()
  {
    auto gang = MakeJob("gang", 4, 5, 4000);
    gang.steps.front().isGang = true;
    this->AcceptJob(gang);
    this->RunFor(Milliseconds{ 500 });
  }
};

}

// Load: small batch tasks that can wait take each core as it becomes free. Guards against a gang
// that misses its objective behind them.
TEST_F(FilledCellTest, AGangGetsTheRoomOfTasksThatCanWait)
{
  this->BeginTerm();
  this->FillWorkers(true, 10.0);
  this->AcceptGang();
  EXPECT_EQ(this->CountStarts("gang"), 4U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 200 });
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 200 });
  EXPECT_EQ(this->StatusOf("gang").outcome, JobOutcome::Succeeded);
  EXPECT_EQ(this->StatusOf("batch").outcome, JobOutcome::Succeeded);
}

// Guards against work that is thrown away.
TEST_F(FilledCellTest, TasksWithoutCheckpointsAreNotStopped)
{
  this->BeginTerm();
  this->FillWorkers(false, 10.0);
  this->AcceptGang();
  EXPECT_EQ(this->CountStarts("gang"), 0U);
  EXPECT_EQ(this->CountStarts("batch"), 12U);
}

// Guards against tasks that miss their own objective for a gang.
TEST_F(FilledCellTest, TasksWithLittleTimeLeftAreNotStopped)
{
  this->BeginTerm();
  this->FillWorkers(true, 1.2);
  this->AcceptGang();
  EXPECT_EQ(this->CountStarts("gang"), 0U);
}

// Load: gangs that arrive steadily at workers that take long to stop a run, as in a large cell that
// is seven tenths full. Guards against room that is idle for a fifth of the gang's run time, and
// against thousands of stops that keep the leader busy.
TEST_F(FilledCellTest, NothingIsStoppedIfStopsTakeLongAgainstTheGang)
{
  this->options.maxStopDuration = Milliseconds{ 900 };
  this->BeginTerm();
  this->FillWorkers(true, 10.0);
  this->AcceptGang();
  EXPECT_TRUE(this->workers.stops.empty());
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 200 });
  EXPECT_EQ(this->CountStarts("gang"), 4U);
}

// Failure: the worker accepts the stops without effect. Guards against a start in room that is
// still occupied, and against more stops each time the reservation expires.
TEST_F(FilledCellTest, AGangDoesNotStartBeforeTheRoomIsFree)
{
  this->BeginTerm();
  this->FillWorkers(true, 10.0);
  this->workers.At("w0").ignoresStops = true;
  this->AcceptGang();
  const auto countStoppedRuns = [this] {
    std::set<std::pair<std::string, std::uint64_t>> runs;
    for (const auto& order : this->workers.stops) {
      runs.emplace(order.target.worker.value, order.run);
    }
    return runs.size();
  };
  const auto stoppedAtFirst = countStoppedRuns();
  EXPECT_GT(stoppedAtFirst, 0U);
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("gang"), 0U);
  EXPECT_EQ(countStoppedRuns(), stoppedAtFirst);
}

}
