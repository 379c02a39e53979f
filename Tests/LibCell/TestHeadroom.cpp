#include "CellSchedulerFixture.h"

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

}
