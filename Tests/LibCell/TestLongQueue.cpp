#include "ConductorFixture.h"

#include <chrono>

namespace zinc::cell::test {

namespace {

using LongQueue = ConductorFixture;

}

// The load of a restart on a grown cell: thousands of jobs wait, hundreds of workers were just
// read. One round of the conductor has to leave time for its renewal.
TEST_F(LongQueue, OneRoundLeavesTimeForTheRenewal)
{
  constexpr int kWorkers = 350;
  constexpr int kJobs = 4000;
  auto& queue = this->policy.routes.front().queue;
  queue.isAdvised = true;
  queue.advice = { .baseMs = 300.0, .perWorkerMs = 5.0, .validity = Milliseconds{ 1500 } };
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

}
