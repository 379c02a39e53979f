#include "CellSchedulerFixture.h"

#include <chrono>

namespace zinc::cell::test {

namespace {

using LongBacklog = CellSchedulerFixture;

}

// After a restart of a large cell thousands of jobs are pending and hundreds of workers have just
// reported. A placement round that takes too long keeps the leader from renewing its term.
TEST_F(LongBacklog, ARoundLeavesTimeForTheTermRenewal)
{
  constexpr int kWorkers = 350;
  constexpr int kJobs = 4000;
  auto& queue = this->policy.routes.front().queue;
  queue.needsAdvice = true;
  queue.advice = { .baseMs = 300.0, .perWorkerMs = 5.0, .ticketValidity = Milliseconds{ 1500 } };
  for (int number = 0; number < kWorkers; ++number) {
    this->entries.push_back(this->workers.Add("w" + std::to_string(number), 32));
  }
  for (int number = 0; number < kJobs; ++number) {
    this->AcceptJob(MakeJob("job" + std::to_string(number), 20, 9));
  }
  this->BeginTerm(true);
  // With a quarter of a core, a round has to end before a follower has missed three renewals.
  constexpr auto kMaxRoundDuration = std::chrono::milliseconds(400);
  for (int round = 0; round < 10; ++round) {
    const auto begin = std::chrono::steady_clock::now();
    this->RunFor(Milliseconds{ 10 });
    EXPECT_LT(std::chrono::steady_clock::now() - begin, kMaxRoundDuration);
  }
  EXPECT_GT(this->advice.requests.size(), 0U);
}

// A thousand jobs of one workspace are pending at its limit. A round must skip most of them, so
// that it reaches the job of another workspace.
TEST_F(LongBacklog, AWorkspaceAtItsLimitDoesNotDelayOthers)
{
  constexpr int kJobs = 1000;
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 8000 };
  this->policy.workspaces[{ "other" }] = { .name = { "other" }, .weight = 1000.0 };
  for (int number = 0; number < 20; ++number) {
    this->entries.push_back(this->workers.Add("w" + std::to_string(number), 32));
  }
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  for (int number = 0; number < kJobs; ++number) {
    this->AcceptJob(MakeJob("hot" + std::to_string(number), 1, 4));
  }
  this->RunFor(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  auto other = MakeJob("other", 1, 4);
  other.workspace = { "other" };
  this->AcceptJob(other);
  this->RunFor(this->options.minFlushInterval + Milliseconds{ 20 });
  ASSERT_EQ(this->workers.starts.size(), 3U);
  EXPECT_EQ(this->workers.starts.back().task.job.value, "other");
  // Released parts of the limit are used again at once.
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 100 });
  EXPECT_EQ(this->workers.starts.size(), 5U);
}

}
