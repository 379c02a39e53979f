#include <LibCell/ExpiredWorkShare.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace zinc::cell {

namespace {

constexpr TimePoint kNow{ Milliseconds{ 1'000'000 } };
constexpr std::int64_t kMilliCores = 1'000'000;
constexpr double kShare = 0.02;

ExpiredStep
MakeStep(const std::string& aJob, const std::string& aWorkspace, std::int64_t aWork, int aAge = 0)
{
  return { .name = { { aJob }, 0, 0 },
           .workspace = { aWorkspace },
           .latestStart = kNow - Milliseconds(aAge),
           .work = aWork };
}

}

// Guards against work without value that takes more than its share, and against a workspace with
// much of it that keeps the others from their turn.
RC_GTEST_PROP(ExpiredWorkShare, KeepsToItsShareAndServesAllWorkspaces, ())
{
  ExpiredWorkShare share;
  std::vector<ExpiredStep> steps;
  const auto workspaces = *rc::gen::inRange(1, 8);
  for (int workspace = 0; workspace < workspaces; ++workspace) {
    const auto count = *rc::gen::inRange(1, 20);
    for (int job = 0; job < count; ++job) {
      const auto work = *rc::gen::inRange(1, 200) * std::int64_t{ 1'000'000 };
      steps.push_back(MakeStep(std::to_string(workspace) + "-" + std::to_string(job),
                               std::to_string(workspace),
                               work,
                               *rc::gen::inRange(0, 10'000)));
    }
  }
  std::map<WorkspaceId, int> served;
  std::int64_t started = 0;
  for (auto now = kNow; !steps.empty(); now += Milliseconds{ 50 }) {
    const auto* chosen = share.Choose(steps, kMilliCores, now);
    if (chosen == nullptr) {
      continue;
    }
    // Only the latest step may exceed the share.
    const auto elapsed = static_cast<double>((now - kNow).count());
    RC_ASSERT(static_cast<double>(started) <= kMilliCores * kShare * elapsed + 1.0);
    started += chosen->work;
    ++served[chosen->workspace];
    const auto pending = [&](const std::string& aWorkspace) {
      return std::ranges::count(steps, WorkspaceId{ aWorkspace }, &ExpiredStep::workspace);
    };
    // A workspace that still waits is at most one turn behind.
    for (int other = 0; other < workspaces; ++other) {
      const auto name = std::to_string(other);
      if (pending(name) > 0) {
        RC_ASSERT(served[{ name }] + 1 >= served[chosen->workspace]);
      }
    }
    steps.erase(steps.begin() + (chosen - steps.data()));
  }
}

// Guards against a step that cannot start and so keeps all others from the share.
TEST(ExpiredWorkShare, PassesTheTurnOnFromAStepThatCannotStart)
{
  ExpiredWorkShare share;
  const std::vector steps = { MakeStep("stuck", "a", 1'000'000'000, 5000),
                              MakeStep("next", "b", 1'000'000) };
  ASSERT_EQ(share.Choose(steps, kMilliCores, kNow), &steps[0]);
  EXPECT_EQ(share.Choose(steps, kMilliCores, kNow + Milliseconds{ 9'999 }), &steps[0]);
  EXPECT_EQ(share.Choose(steps, kMilliCores, kNow + Milliseconds{ 10'000 }), &steps[1]);
}

// Guards against a step that loses its turn while some of its tasks wait.
TEST(ExpiredWorkShare, KeepsTheStepUntilItHasStarted)
{
  ExpiredWorkShare share;
  std::vector steps = { MakeStep("old", "a", 2'000'000, 10),
                        MakeStep("older", "a", 1'000'000, 20) };
  ASSERT_EQ(share.Choose(steps, kMilliCores, kNow), &steps[1]);
  steps.push_back(MakeStep("oldest", "b", 1'000'000, 30));
  EXPECT_EQ(share.Choose(steps, kMilliCores, kNow + Milliseconds{ 20 })->name.job.value, "older");
  steps.erase(steps.begin() + 1);
  EXPECT_EQ(share.Choose(steps, kMilliCores, kNow + Milliseconds{ 40 }), nullptr);
  EXPECT_EQ(share.Choose(steps, kMilliCores, kNow + Milliseconds{ 50 })->name.job.value, "oldest");
}

}
