#include "CellSchedulerFixture.h"

#include <rapidcheck/gtest.h>

namespace zinc::cell::test {

namespace {

constexpr std::int64_t kCoresPerWorker = 10;
/// Longest time that a step may stand still, by the platform's rules.
constexpr Milliseconds kMaxStandstill{ 3000 };

/// A step of a workspace with a limit, in a pool that is full but for the workers of the step.
class Headroom : public CellSchedulerFixture
{
protected:
  Headroom()
  {
    this->options.limitHeadroom = CellSchedulerOptions{}.limitHeadroom;
    this->options.urgentHeadroom = CellSchedulerOptions{}.urgentHeadroom;
  }

  void AddWorkers(const std::string& aLabel, std::int64_t aCount)
  {
    for (std::int64_t number = 0; number < aCount; ++number) {
      this->entries.push_back(this->workers.Add(aLabel + std::to_string(number), kCoresPerWorker));
      this->entries.back().labels = { aLabel };
    }
  }

  void SetLimit(std::int64_t aCores)
  {
    this->policy.workspaces[{ "team" }].quota = { .milliCores = aCores * 1000 };
    this->policy.workspaces[{ "other" }] = { .name = { "other" }, .weight = 1000.0 };
  }

  /// Fills workers of a label with the long tasks of a job.
  void Fill(const std::string& aJob,
            const std::string& aWorkspace,
            std::int64_t aTasks,
            std::int64_t aCores,
            bool aIsGang = false)
  {
    if (aTasks == 0) {
      return;
    }
    auto job = MakeJob(aJob, static_cast<std::uint32_t>(aTasks), aCores, 60'000);
    job.workspace = { aWorkspace };
    job.steps.front().requiredLabel = "busy";
    job.steps.front().isGang = aIsGang;
    this->AcceptJob(job);
  }

  /// Accepts a job and runs the cell until it has started.
  /// @return how long that took, at most @ref kMaxStandstill
  [[nodiscard]] Milliseconds MeasureStandstill(const JobSpecification& aSpec)
  {
    this->AcceptJob(aSpec);
    Milliseconds waited{ 0 };
    while (this->CountStarts(aSpec.id.value) == 0 && waited < kMaxStandstill) {
      this->RunFor(Milliseconds{ 50 });
      waited += Milliseconds{ 50 };
    }
    return waited;
  }
};

}

// Load: two wide gangs of one workspace, whose need adds up to nearly its limit. Guards against the
// second one standing still for as long as the first runs, because of the part of the limit that is
// kept for urgent tasks.
TEST_F(Headroom, AGangStartsWhileItsWorkspaceUsesLessThanHalfOfItsLimit)
{
  this->SetLimit(100);
  this->AddWorkers("busy", 20);
  this->AddWorkers("free", 20);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->Fill("first", "team", 7, 7, true);
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->CountStarts("first"), 7U);
  auto second = MakeJob("second", 10, 5, 4000);
  second.steps.front().requiredLabel = "free";
  second.steps.front().isGang = true;
  EXPECT_LT(this->MeasureStandstill(second), kMaxStandstill);
}

// Load: a pool that is full but for the room that a step needs. Guards against a step that stands
// still because of what the pool keeps for urgent tasks.
TEST_F(Headroom, AStepStartsInAPoolThatIsFullButForIt)
{
  this->SetLimit(100);
  this->AddWorkers("busy", 98);
  this->AddWorkers("free", 2);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->policy.routes.front().queue.priority = 0;
  this->scheduler->SetPolicy(std::make_shared<CellPolicy>(this->policy));
  this->Fill("filling", "other", 98, kCoresPerWorker);
  this->RunFor(Milliseconds{ 300 });
  ASSERT_EQ(this->CountStarts("filling"), 98U);
  this->policy.routes.front().queue.priority = 1;
  this->scheduler->SetPolicy(std::make_shared<CellPolicy>(this->policy));
  auto job = MakeJob("waiting", 2, 5, 1500);
  job.steps.front().requiredLabel = "free";
  job.steps.front().isGang = true;
  EXPECT_LT(this->MeasureStandstill(job), kMaxStandstill);
}

// Guards against any step that could run and stands still, whatever the limit, the width of the
// step and what runs beside it.
RC_GTEST_FIXTURE_PROP(Headroom, AnyStepStartsThatCouldRun, ())
{
  const auto cores = *rc::gen::inRange<std::int64_t>(1, kCoresPerWorker + 1);
  const auto count = *rc::gen::inRange<std::int64_t>(1, 41);
  const bool isGang = *rc::gen::arbitrary<bool>();
  const auto need = cores * (isGang ? count : 1);
  const auto used = *rc::gen::inRange<std::int64_t>(0, 150);
  // The limit is more than twice what is in use, and allows the step.
  const auto limit = std::max(2 * used + 1, used + need) + *rc::gen::inRange<std::int64_t>(0, 100);
  const auto tasksPerWorker = kCoresPerWorker / cores;
  const auto freeWorkers = (2 * count + tasksPerWorker - 1) / tasksPerWorker;
  const auto usedTasks = used / kCoresPerWorker;
  const auto otherTasks = *rc::gen::inRange<std::int64_t>(0, 150);
  this->SetLimit(limit);
  this->AddWorkers("busy", usedTasks + otherTasks);
  this->AddWorkers("free", freeWorkers);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  // Tasks of urgent jobs may use the headroom, so that the pool is as full as it can be.
  this->policy.routes.front().queue.priority = 0;
  this->scheduler->SetPolicy(std::make_shared<CellPolicy>(this->policy));
  this->Fill("running", "team", usedTasks, kCoresPerWorker, *rc::gen::arbitrary<bool>());
  this->RunFor(Milliseconds{ 100 });
  this->Fill("filling", "other", otherTasks, kCoresPerWorker);
  this->RunFor(Milliseconds{ 300 });
  RC_ASSERT(this->CountStarts("running") == static_cast<std::size_t>(usedTasks));
  RC_ASSERT(this->CountStarts("filling") == static_cast<std::size_t>(otherTasks));
  this->policy.routes.front().queue.priority = 1;
  this->scheduler->SetPolicy(std::make_shared<CellPolicy>(this->policy));
  auto job = MakeJob("waiting",
                     static_cast<std::uint32_t>(count),
                     cores,
                     *rc::gen::element<std::int64_t>(1, 500, 10'000));
  job.steps.front().requiredLabel = "free";
  job.steps.front().isGang = isGang;
  RC_ASSERT(this->MeasureStandstill(job) < kMaxStandstill);
}

}
