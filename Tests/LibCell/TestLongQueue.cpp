#include "CellSchedulerFixture.h"

#include <chrono>

namespace zinc::cell::test {

namespace {

using LongQueue = CellSchedulerFixture;

}

// The load of a restart on a grown cell: thousands of jobs wait, hundreds of workers were just
// read. One round of the leader has to leave time for its renewal.
TEST_F(LongQueue, OneRoundLeavesTimeForTheRenewal)
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
    this->Accept(JobOf("job" + std::to_string(number), 20, 9));
  }
  this->Begin(true);
  // A quarter of a core has to do it within the three renewals that a follower waits for.
  constexpr auto kBound = std::chrono::milliseconds(400);
  for (int round = 0; round < 10; ++round) {
    const auto begin = std::chrono::steady_clock::now();
    this->Run(Milliseconds{ 10 });
    EXPECT_LT(std::chrono::steady_clock::now() - begin, kBound);
  }
  EXPECT_GT(this->advice.questions.size(), 0U);
}

// The load of a hot workspace: a thousand of its jobs wait behind its limit. Another workspace's
// job gets its turn in the same round, and a round looks at few of those that wait.
TEST_F(LongQueue, AWorkspaceAtItsLimitTakesLittleOfARound)
{
  constexpr int kJobs = 1000;
  this->policy.workspaces[{ "team" }].quota = { .milliCores = 8000 };
  this->policy.workspaces[{ "other" }] = { .name = { "other" }, .weight = 1000.0 };
  for (int number = 0; number < 20; ++number) {
    this->entries.push_back(this->workers.Add("w" + std::to_string(number), 32));
  }
  this->Begin();
  this->Run(Milliseconds{ 50 });
  for (int number = 0; number < kJobs; ++number) {
    this->Accept(JobOf("hot" + std::to_string(number), 1, 4));
  }
  this->Run(Milliseconds{ 100 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  auto other = JobOf("other", 1, 4);
  other.workspace = { "other" };
  this->Accept(other);
  this->Run(Milliseconds{ 20 });
  ASSERT_EQ(this->workers.starts.size(), 3U);
  EXPECT_EQ(this->workers.starts.back().task.job.value, "other");
  // The limit is used again as soon as it is freed.
  this->workers.EndAll();
  this->Run(Milliseconds{ 100 });
  EXPECT_EQ(this->workers.starts.size(), 5U);
}

}
