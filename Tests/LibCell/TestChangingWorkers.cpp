#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

/// Workers that restart under their id, or change their capacity, while orders are under way.
class ChangingWorkerTest : public CellSchedulerFixture
{
protected:
  /// @return the cores in use at a worker
  [[nodiscard]] std::int64_t UsedCores(const std::string& aWorker, std::int64_t aCoresPerTask)
  {
    return static_cast<std::int64_t>(this->workers.At(aWorker).running.size()) * aCoresPerTask;
  }

  /// @return the number of runs of a job's first task at all workers
  [[nodiscard]] std::size_t CountRunningCopies(const std::string& aJob)
  {
    std::size_t copies = 0;
    for (const auto& entry : this->entries) {
      for (const auto& [key, run] : this->workers.At(entry.id.value).running) {
        copies += run.task.job.value == aJob && run.task.key.index == 0 ? 1 : 0;
      }
    }
    return copies;
  }

  /// Changes the capacity that a worker reports, and tells the scheduler.
  void Resize(const std::string& aWorker, std::int64_t aCores)
  {
    const auto entry = this->workers.SetCapacity(aWorker, aCores);
    for (auto& known : this->entries) {
      known = known.id == entry.id ? entry : known;
    }
    this->scheduler->OnWorkerEntry(entry);
  }
};

}

// Guards against two runs of a task: a start that got no response is carried out by the next
// incarnation of the worker, which has the same id.
TEST_F(ChangingWorkerTest, DoesNotRunATaskTwiceIfTheNextIncarnationCarriesOutALateStart)
{
  this->entries = { this->workers.Add("w1", 4) };
  this->workers.At("w1").delaysStarts = true;
  this->AcceptJob(MakeJob("job", 1, 4));
  this->BeginTerm();
  while (this->workers.CountDelayedStarts() == 0) {
    this->RunFor(Milliseconds{ 10 });
  }
  this->entries.push_back(this->workers.Add("w2", 4));
  this->scheduler->OnWorkerEntry(this->entries.back());
  this->workers.restartDelay = Milliseconds{ 300 };
  this->workers.Crash("w1");
  std::size_t mostCopies = 0;
  for (int step = 0; step < 500; ++step) {
    this->RunFor(Milliseconds{ 10 });
    mostCopies = std::max(mostCopies, this->CountRunningCopies("job"));
  }
  EXPECT_EQ(mostCopies, 1U);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
}

// Guards against starts by the capacity and labels of a worker's previous incarnation, while the
// row of the next one has not arrived.
TEST_F(ChangingWorkerTest, StartsNothingAtANewIncarnationBeforeItsRowArrives)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  auto& worker = this->workers.At("w1");
  ++worker.entry.incarnation;
  worker.entry.capacity = { .milliCores = 2000, .memoryMiB = 4096 };
  this->RunFor(Milliseconds{ 2000 });
  this->AcceptJob(MakeJob("job", 4, 2));
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->workers.starts.size(), 0U);
  this->scheduler->OnWorkerEntry(worker.entry);
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->workers.starts.size(), 1U);
}

// Guards against starts above a capacity that has shrunk while tasks run and stop.
TEST_F(ChangingWorkerTest, CountsRunningAndStoppingTasksAgainstAShrunkCapacity)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->AcceptJob(MakeJob("old", 4, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->UsedCores("w1", 2), 8);
  this->Resize("w1", 4);
  this->AcceptJob(MakeJob("new", 4, 2));
  // The workers accept the stops of the old job, and take their time.
  this->workers.At("w1").ignoresStops = true;
  const auto key = JobRowKey({ "old" }, JobRowKind::Cancellation);
  this->store.Put(key, "{}");
  this->scheduler->OnJobRows({ this->store.rows.at(key) });
  this->RunFor(Milliseconds{ 500 });
  EXPECT_EQ(this->workers.starts.size(), 4U) << "what is being stopped still counts";
  for (std::uint32_t index = 0; index < 3; ++index) {
    this->workers.End("w1", { { "old" }, { 0, 0, index } }, RunOutcome::Stopped);
    this->RunFor(Milliseconds{ 200 });
    EXPECT_LE(this->UsedCores("w1", 2), 8 - 2 * static_cast<std::int64_t>(index));
  }
  EXPECT_EQ(this->workers.starts.size(), 5U);
  this->Resize("w1", 8);
  this->RunFor(Milliseconds{ 200 });
  EXPECT_EQ(this->UsedCores("w1", 2), 8) << "the capacity has grown again";
}

// Guards against a gang that starts in room that was reserved before the capacity shrank.
TEST_F(ChangingWorkerTest, StartsNoGangInReservedRoomThatIsGone)
{
  this->policy.routes.front().queue.needsAdvice = true;
  this->policy.routes.front().queue.advice = { .ticketValidity = Milliseconds{ 200 } };
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->AcceptJob(MakeJob("first", 1, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  auto gang = MakeJob("gang", 8, 2);
  gang.steps.front().isGang = true;
  this->AcceptJob(gang);
  // Responses tell which workers are eligible; their tickets expire while a task is in the way.
  this->RunFor(Milliseconds{ 400 });
  this->advice.isPaused = true;
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 300 });
  this->Resize("w1", 4);
  this->advice.isPaused = false;
  this->RunFor(Milliseconds{ 600 });
  EXPECT_LE(this->UsedCores("w1", 2), 4);
  this->Resize("w1", 8);
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->UsedCores("w1", 2) + this->UsedCores("w2", 2), 16);
}

// Guards against a workspace above its limit: the capacity of a worker that the next leader cannot
// reach has shrunk below what runs there.
TEST_F(ChangingWorkerTest, CountsMoreThanTheShrunkCapacityOfUnreachableWorkersAgainstTheLimit)
{
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 8000 };
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->workers.At("w2").isReachable = false;
  this->AcceptJob(MakeJob("old", 4, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->UsedCores("w1", 2), 8);
  this->Resize("w1", 2);
  this->workers.At("w1").isReachable = false;
  this->workers.At("w2").isReachable = true;
  this->BeginTerm(true);
  this->AcceptJob(MakeJob("new", 4, 2));
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->UsedCores("w1", 2) + this->UsedCores("w2", 2), 8);
}

}
