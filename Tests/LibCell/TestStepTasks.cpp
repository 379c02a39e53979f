#include <LibCell/StepTasks.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace zinc::cell::test {

namespace {

constexpr std::uint32_t kWide = 100'000;
constexpr TimePoint kNow = TimePoint() + Milliseconds{ 1000 };

std::vector<std::uint32_t>
ListWaiting(const StepTasks& aTasks)
{
  std::vector<std::uint32_t> found;
  for (auto next = aTasks.FindWaiting(0); next; next = aTasks.FindWaiting(*next + 1)) {
    found.push_back(*next);
  }
  return found;
}

std::vector<std::uint32_t>
ListUsed(const StepTasks& aTasks)
{
  std::vector<std::uint32_t> found;
  for (auto next = aTasks.FindUsed(0); next; next = aTasks.FindUsed(*next + 1)) {
    found.push_back(*next);
  }
  return found;
}

void
Place(StepTasks& aTasks, std::uint32_t aIndex)
{
  aTasks.SetPhase(aTasks[aIndex], TaskPhase::Placed);
}

}

// Guards against a leader that runs out of memory because of the width of the jobs it knows.
TEST(StepTasks, HasNoObjectsForTasksThatHaveNotRun)
{
  StepTasks tasks(kWide);
  for (std::uint32_t index = 0; index < kWide; ++index) {
    ASSERT_EQ(tasks.Look(index).phase, TaskPhase::Waiting);
  }
  EXPECT_EQ(tasks.FindWaiting(0), 0U);
  EXPECT_EQ(tasks.FindUsed(0), std::nullopt);
  EXPECT_TRUE(tasks.WithObject().empty());
  Place(tasks, 7);
  Place(tasks, kWide - 1);
  EXPECT_EQ(tasks.WithObject().size(), 2U);
  EXPECT_EQ(ListUsed(tasks), (std::vector<std::uint32_t>{ 7, kWide - 1 }));
}

// Guards against a leader that runs out of memory because of the tasks that have succeeded.
TEST(StepTasks, HasNoObjectsForTasksThatHaveSucceeded)
{
  StepTasks tasks(kWide);
  for (std::uint32_t index = 0; index < kWide; ++index) {
    Place(tasks, index);
    tasks[index].checkpoint = "c";
    tasks.MarkSucceeded(index);
    ASSERT_EQ(tasks.Look(index).phase, TaskPhase::Succeeded);
  }
  EXPECT_TRUE(tasks.WithObject().empty());
  EXPECT_EQ(tasks.FindWaiting(0), std::nullopt);
  EXPECT_EQ(tasks.FindUsed(kWide - 1), kWide - 1);
}

TEST(StepTasks, MarksATaskThatNeverHadAnObject)
{
  StepTasks tasks(3);
  tasks.MarkSucceeded(1);
  EXPECT_TRUE(tasks.WithObject().empty());
  EXPECT_EQ(tasks.Look(1).phase, TaskPhase::Succeeded);
  EXPECT_EQ(ListWaiting(tasks), (std::vector<std::uint32_t>{ 0, 2 }));
  EXPECT_EQ(ListUsed(tasks), (std::vector<std::uint32_t>{ 1 }));
  EXPECT_EQ(tasks[1].phase, TaskPhase::Succeeded);
}

// Guards against a progress row that loses the failures of a task as the task succeeds.
TEST(StepTasks, KeepsWhatStillMattersOfASucceededTask)
{
  const std::vector<void (*)(Task&)> changes{ [](Task& aTask) { aTask.failedRuns.insert(4); },
                                              [](Task& aTask) { aTask.crashedRuns.insert(4); },
                                              [](Task& aTask) { aTask.blamedRuns.insert(4); },
                                              [](Task& aTask) { aTask.rackLossRuns.insert(4); },
                                              [](Task& aTask) {
                                                aTask.recordedStart = RecordedStart{ .run = 4 };
                                              },
                                              [](Task& aTask) { ++aTask.stalledRuns; },
                                              [](Task& aTask) { ++aTask.preemptions; },
                                              [](Task& aTask) { ++aTask.rejectedStarts; } };
  const auto count = static_cast<std::uint32_t>(changes.size());
  StepTasks tasks(count + 1);
  for (std::uint32_t index = 0; index < count; ++index) {
    Place(tasks, index);
    changes[index](tasks[index]);
    tasks[index].checkpoint = "c";
    tasks.MarkSucceeded(index);
  }
  EXPECT_EQ(tasks.WithObject().size(), count);
  tasks.MarkAllSucceeded();
  tasks.ReleaseSucceeded();
  EXPECT_EQ(tasks.WithObject().size(), count);
  EXPECT_EQ(tasks.Look(0).failedRuns, (std::set<std::uint64_t>{ 4 }));
  EXPECT_TRUE(tasks.Look(0).checkpoint.empty());
}

// Members of a gang that are still listed as running are found by their worker.
TEST(StepTasks, KeepsObjectsOfASucceededStepUntilTheyAreReleased)
{
  StepTasks tasks(2);
  Place(tasks, 0);
  tasks[0].worker = { "w" };
  tasks[0].checkpoint = "c";
  tasks.MarkAllSucceeded();
  EXPECT_EQ(tasks.Look(0).worker.value, "w");
  EXPECT_TRUE(tasks.Look(0).checkpoint.empty());
  EXPECT_EQ(tasks.Look(0).phase, TaskPhase::Succeeded);
  EXPECT_EQ(tasks.Look(1).phase, TaskPhase::Succeeded);
  tasks.ReleaseSucceeded();
  EXPECT_TRUE(tasks.WithObject().empty());
  EXPECT_EQ(tasks.Look(0).phase, TaskPhase::Succeeded);
}

TEST(StepTasks, IsDueIfAllTasksWaitAndMayStart)
{
  StepTasks tasks(kWide);
  EXPECT_TRUE(tasks.AreDue(kNow));
  tasks[5].earliestStart = kNow;
  EXPECT_TRUE(tasks.AreDue(kNow));
  tasks[6].earliestStart = kNow + Milliseconds{ 1 };
  EXPECT_FALSE(tasks.AreDue(kNow));
  EXPECT_TRUE(tasks.AreDue(kNow + Milliseconds{ 1 }));
  Place(tasks, kWide - 1);
  EXPECT_FALSE(tasks.AreDue(kNow + Milliseconds{ 1 }));
  tasks.SetPhase(tasks[kWide - 1], TaskPhase::Waiting);
  EXPECT_TRUE(tasks.AreDue(kNow + Milliseconds{ 1 }));
  tasks.MarkSucceeded(0);
  EXPECT_FALSE(tasks.AreDue(kNow + Milliseconds{ 1 }));
}

TEST(StepTasks, OfNoStepAreEmpty)
{
  const StepTasks tasks;
  EXPECT_EQ(tasks.size(), 0U);
  EXPECT_EQ(tasks.FindWaiting(0), std::nullopt);
  EXPECT_EQ(tasks.FindUsed(0), std::nullopt);
}

// Guards against tasks that are skipped or visited twice, in any order of starts and ends.
TEST(StepTasks, AgreesWithOneObjectATask)
{
  constexpr std::uint32_t kCount = 40;
  constexpr int kSteps = 400;
  constexpr std::uint64_t kSeeds = 50;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 number(seed);
    StepTasks tasks(kCount);
    std::vector<Task> model(kCount);
    std::vector<bool> isTouched(kCount);
    for (int step = 0; step < kSteps; ++step) {
      const auto index = static_cast<std::uint32_t>(number() % kCount);
      auto& expected = model[index];
      const auto action = number() % 8;
      if (expected.phase == TaskPhase::Succeeded) {
        ASSERT_EQ(tasks.Look(index).failedRuns, expected.failedRuns);
      } else if (action == 0) {
        tasks.MarkSucceeded(index);
        expected.phase = TaskPhase::Succeeded;
      } else if (action == 1) {
        tasks[index].failedRuns.insert(step);
        expected.failedRuns.insert(step);
        isTouched[index] = true;
      } else {
        const auto phase = action < 5 ? TaskPhase::Placed : TaskPhase::Waiting;
        tasks.SetPhase(tasks[index], phase);
        expected.phase = phase;
        isTouched[index] = true;
      }
      std::vector<std::uint32_t> waiting;
      std::vector<std::uint32_t> used;
      for (std::uint32_t position = 0; position < kCount; ++position) {
        const auto& task = model[position];
        ASSERT_EQ(tasks.Look(position).phase, task.phase) << seed << " " << step;
        if (task.phase == TaskPhase::Waiting) {
          waiting.push_back(position);
        }
        if (task.phase != TaskPhase::Waiting || isTouched[position]) {
          used.push_back(position);
        }
      }
      ASSERT_EQ(ListWaiting(tasks), waiting) << seed << " " << step;
      ASSERT_EQ(ListUsed(tasks), used) << seed << " " << step;
      ASSERT_EQ(tasks.AreDue(kNow), waiting.size() == kCount) << seed << " " << step;
    }
  }
}

}
