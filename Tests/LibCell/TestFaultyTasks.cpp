#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

/// Tasks that go wrong at every worker must not take the workers away from other tasks.
class FaultyTaskTest : public CellSchedulerFixture
{
protected:
  FaultyTaskTest()
  {
    for (const auto* id : { "w1", "w2", "w3", "w4" }) {
      this->entries.push_back(this->workers.Add(id, 4));
    }
  }

  /// Runs jobs whose tasks go to one worker each.
  /// @return the largest number of workers that got no task of a job
  std::size_t CountMostWorkersWithoutStarts(Milliseconds aDuration)
  {
    std::size_t most = 0;
    for (Milliseconds elapsed{ 0 }; elapsed < aDuration; elapsed += Milliseconds{ 500 }) {
      const auto probe = "probe" + std::to_string(++this->probes);
      auto spec = MakeJob(probe, static_cast<std::uint32_t>(this->entries.size()), 1);
      spec.steps.front().maxTasksPerWorker = 1;
      this->AcceptJob(spec);
      this->RunFor(Milliseconds{ 100 });
      std::size_t without = 0;
      for (const auto& entry : this->entries) {
        const auto& running = this->workers.At(entry.id.value).running;
        without += std::ranges::none_of(
          running, [&probe](const auto& aItem) { return aItem.second.task.job.value == probe; });
      }
      most = std::max(most, without);
      this->EndProbes();
      this->RunFor(Milliseconds{ 400 });
    }
    return most;
  }

  void EndProbes()
  {
    for (const auto& entry : this->entries) {
      const auto running = this->workers.At(entry.id.value).running;
      for (const auto& [key, run] : running) {
        if (run.task.job.value.starts_with("probe")) {
          this->workers.End(entry.id.value, run.task, RunOutcome::Succeeded);
        }
      }
    }
  }

  int probes = 0;
};

}

// Guards against a task that hangs wherever it runs and has one worker after another quarantined.
TEST_F(FaultyTaskTest, DoesNotQuarantineWorkersForATaskThatHangsEverywhere)
{
  this->workers.hangs = [](const TaskName& aTask) { return aTask.job.value == "hang"; };
  this->AcceptJob(MakeJob("hang", 1, 1, 2000));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 100 });
  EXPECT_LE(this->CountMostWorkersWithoutStarts(Milliseconds{ 20'000 }), 1U);
  EXPECT_EQ(this->StatusOf("hang").outcome, JobOutcome::Active);
}

// Guards against a task that each worker rejects, so that the whole cell is avoided for its sake.
TEST_F(FaultyTaskTest, DoesNotAvoidWorkersForATaskThatAllReject)
{
  this->workers.rejectsTask = [](const TaskName& aTask) { return aTask.job.value == "bad"; };
  this->AcceptJob(MakeJob("bad", 1, 1));
  this->BeginTerm();
  EXPECT_LE(this->CountMostWorkersWithoutStarts(Milliseconds{ 10'000 }), 1U);
  // 100 ms, doubled up to 5 s, allows 8 retries in 10 s.
  EXPECT_LE(this->workers.rejections, 12U);
}

}
