#include <LibCell/Standstill.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

/// A gang of two tasks of ten cores each in a workspace with a limit of 100 cores.
class Standstill : public testing::Test
{
protected:
  Standstill()
  {
    this->usage.limit = { .milliCores = 100'000 };
    this->job.workspaceUsage = &this->usage;
    this->step.count = 2;
    this->step.demand = { .milliCores = 10'000 };
    this->step.isGang = true;
    this->run.CreateTasks(2);
  }

  [[nodiscard]] bool StandsStill(WaitReason aReason)
  {
    return cell::StandsStill({ .job = &this->job, .run = &this->run, .specification = &this->step },
                             aReason);
  }

  WorkspaceUsage usage;
  Job job;
  StepSpecification step;
  StepRun run;
};

}

TEST_F(Standstill, TellsWhatTheSchedulerKeepsWaiting)
{
  this->usage.running = { .milliCores = 49'000 };
  EXPECT_TRUE(this->StandsStill(WaitReason::Limit));
  EXPECT_TRUE(this->StandsStill(WaitReason::Headroom));
  EXPECT_TRUE(this->StandsStill(WaitReason::Ticket));
  EXPECT_FALSE(this->StandsStill(WaitReason::Room));
  EXPECT_FALSE(this->StandsStill(WaitReason::None));
}

TEST_F(Standstill, EndsAtHalfOfTheLimit)
{
  this->usage.running = { .milliCores = 40'000 };
  this->usage.unread = { .milliCores = 10'000 };
  EXPECT_FALSE(this->StandsStill(WaitReason::Limit));
}

// Guards against standstills after a change of leader that no line tells of: the workers that are
// not read yet could use the whole limit.
TEST_F(Standstill, CountsTheWaitForReportsWhateverMayRunAtUnreadWorkers)
{
  this->usage.unread = { .milliCores = 100'000 };
  EXPECT_TRUE(this->StandsStill(WaitReason::Reports));
  EXPECT_FALSE(this->StandsStill(WaitReason::Limit));
}

TEST_F(Standstill, IsNoneIfTheStepExceedsTheLimit)
{
  this->usage.running = { .milliCores = 45'000 };
  this->step.demand = { .milliCores = 28'000 };
  EXPECT_FALSE(this->StandsStill(WaitReason::Limit));
}

TEST_F(Standstill, IsNoneOnceATaskRuns)
{
  this->step.isGang = false;
  this->run.SetPhase(this->run.tasks[0], TaskPhase::Placed);
  EXPECT_FALSE(this->StandsStill(WaitReason::Ticket));
}

}
