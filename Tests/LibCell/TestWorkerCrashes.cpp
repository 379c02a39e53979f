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
  this->AcceptJob(MakeJob("poison", 1, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 60'000 });
  EXPECT_LE(this->MaxStartsPerTask("poison"), kMaxStartsOfCrashingTask);
  EXPECT_EQ(this->StatusOf("poison").outcome, JobOutcome::Failed);
}

// The same with workers that register under another id after a crash.
TEST_F(WorkerCrashTest, GivesUpATaskWhoseWorkersReturnUnderAnotherId)
{
  this->workers.restartMode = RestartMode::GetsNewId;
  this->AddWorkers(6, 4);
  this->AcceptJob(MakeJob("poison", 1, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 60'000 });
  EXPECT_LE(this->MaxStartsPerTask("poison"), kMaxStartsOfCrashingTask);
  EXPECT_EQ(this->StatusOf("poison").outcome, JobOutcome::Failed);
}

// The same with workers that return after the lease of their runs has expired, so that the task
// starts again before anything shows that the worker has crashed.
TEST_F(WorkerCrashTest, GivesUpATaskWhoseWorkersReturnAfterTheirLease)
{
  this->workers.restartDelay = Milliseconds{ 9000 };
  this->AddWorkers(8, 4);
  this->AcceptJob(MakeJob("poison", 1, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 120'000 });
  EXPECT_LE(this->MaxStartsPerTask("poison"), kMaxStartsOfCrashingTask);
  EXPECT_EQ(this->StatusOf("poison").outcome, JobOutcome::Failed);
}

// The same with workers that crash before they respond to the start order.
TEST_F(WorkerCrashTest, GivesUpATaskThatCrashesItsWorkersBeforeTheyRespond)
{
  this->workers.crashDelay = Milliseconds{ 0 };
  this->AddWorkers(6, 4);
  this->AcceptJob(MakeJob("poison", 1, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 60'000 });
  EXPECT_LE(this->MaxStartsPerTask("poison"), kMaxStartsOfCrashingTask);
  EXPECT_EQ(this->StatusOf("poison").outcome, JobOutcome::Failed);
}

// The same with a gang, which crashes the workers of all its members with each run.
TEST_F(WorkerCrashTest, GivesUpAGangThatCrashesItsWorkers)
{
  this->AddWorkers(12, 4);
  auto spec = MakeJob("poison", 4, 3);
  spec.steps.front().isGang = true;
  this->AcceptJob(spec);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 60'000 });
  EXPECT_LE(this->MaxStartsPerTask("poison"), kMaxStartsOfCrashingTask);
  EXPECT_EQ(this->StatusOf("poison").outcome, JobOutcome::Failed);
}

// The same with a service task, which is otherwise restarted however it ends.
TEST_F(WorkerCrashTest, GivesUpAServiceTaskThatCrashesItsWorkers)
{
  this->AddWorkers(6, 4);
  auto spec = MakeJob("poison", 1, 2);
  spec.steps.front().isService = true;
  this->AcceptJob(spec);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 60'000 });
  EXPECT_LE(this->MaxStartsPerTask("poison"), kMaxStartsOfCrashingTask);
  EXPECT_EQ(this->StatusOf("poison").outcome, JobOutcome::Failed);
}

}
