#include "SchedulerFixture.h"

namespace zinc {

using TestOverload = SchedulerTest;

TEST_F(TestOverload, RejectsAtAFullQueueWithARetryDelayFromTheDrainRate)
{
  this->document.queues[1].maxQueued = 100;
  this->scheduler->ApplyDocument(this->document);
  this->AddWorkers(1, kOneSlotRequest);
  this->EnqueueMany(100, "t");
  for (int index = 0; index < 50; ++index) {
    this->Decide();
    ASSERT_EQ(this->starts.size(), 1);
    this->now += Milliseconds(200);
    this->ReportEnd(this->starts.front().task.id.value);
    this->EnqueueAccepted(this->MakeTask("more" + std::to_string(index)));
  }
  const auto rejected = this->scheduler->Enqueue(this->MakeTask("late"), this->now);
  ASSERT_TRUE(IsError(rejected));
  EXPECT_EQ(ErrorOf(rejected).code, ErrorCode::LimitReached);
  EXPECT_EQ(ErrorOf(rejected).run, RunState::NotRun);
  ASSERT_TRUE(ErrorOf(rejected).retryAfter);
  // At five starts per second, a tenth of the queue and one more task start in 2.2 s; the jitter is
  // 25%.
  EXPECT_GE(*ErrorOf(rejected).retryAfter, Milliseconds(1500));
  EXPECT_LE(*ErrorOf(rejected).retryAfter, Milliseconds(3000));
}

TEST_F(TestOverload, RejectsBatchBeforeChecks)
{
  this->Reset({ .maxQueuedTotal = 100 }, SampleDocument());
  this->EnqueueMany(70, "b");
  EXPECT_TRUE(IsError(this->scheduler->Enqueue(this->MakeTask("b"), this->now)));
  this->EnqueueMany(10, "g", "services");
  EXPECT_TRUE(IsError(this->scheduler->Enqueue(this->MakeTask("b"), this->now)));
  this->EnqueueMany(20, "c", "checks");
  const auto rejected = this->scheduler->Enqueue(this->MakeTask("c", "checks"), this->now);
  ASSERT_TRUE(IsError(rejected));
  EXPECT_EQ(ErrorOf(rejected).code, ErrorCode::Overloaded);
  EXPECT_TRUE(ErrorOf(rejected).retryAfter);
}

TEST_F(TestOverload, LimitsATeamToItsShareOfAQueue)
{
  this->document.queues[1].maxQueued = 100;
  this->scheduler->ApplyDocument(this->document);
  this->EnqueueMany(1, "n", "rebuilds", "nights");
  this->EnqueueMany(79, "d", "rebuilds", "days");
  EXPECT_TRUE(IsError(this->scheduler->Enqueue(this->MakeTask("d"), this->now)));
  this->EnqueueMany(1, "other", "rebuilds", "nights");
}

TEST_F(TestOverload, RejectsADeadlineThatCannotBeMet)
{
  this->AddWorkers(1, kOneSlotRequest);
  this->EnqueueMany(20, "t");
  for (int index = 0; index < 10; ++index) {
    this->Decide();
    this->now += Milliseconds(1000);
    this->ReportEnd(this->starts.front().task.id.value);
  }
  TaskSpec shortDeadline = this->MakeTask("hasty");
  shortDeadline.deadline = Milliseconds(2000);
  const auto rejected = this->scheduler->Enqueue(shortDeadline, this->now);
  ASSERT_TRUE(IsError(rejected));
  EXPECT_EQ(ErrorOf(rejected).code, ErrorCode::DeadlineExceeded);
  EXPECT_EQ(ErrorOf(rejected).run, RunState::NotRun);
  TaskSpec longDeadline = this->MakeTask("patient");
  longDeadline.deadline = Milliseconds(60'000);
  this->EnqueueAccepted(longDeadline);
}

TEST_F(TestOverload, HandlesManyCancellationsOfQueuedTasks)
{
  constexpr int kTaskCount = 50'000;
  this->AddWorkers(1);
  this->EnqueueMany(kTaskCount, "t");
  this->EnqueueMany(4, "kept", "rebuilds", "nights");
  for (int index = 0; index < kTaskCount; ++index) {
    ASSERT_EQ(this->scheduler->Cancel({ "t" + std::to_string(index) }), CancelOutcome::WasQueued);
  }
  this->Decide();
  EXPECT_EQ(this->starts.size(), 4);
  EXPECT_TRUE(this->rejections.empty());
  EXPECT_EQ(this->scheduler->Demand({ "days" }), Resources{});
}

TEST_F(TestOverload, RejectsQueuedTasksThatNoWorkerCanHoldAnyMore)
{
  this->AddWorkers(1);
  this->AddWorkers(1, kOneSlotRequest);
  this->EnqueueAccepted(this->MakeTask("large", "rebuilds", kSmallWorker));
  static_cast<void>(this->scheduler->RemoveWorker({ "w0" }));
  this->Decide();
  EXPECT_TRUE(this->rejections.empty());
  this->now += Milliseconds(60'000);
  this->Decide();
  ASSERT_EQ(this->rejections.size(), 1);
  EXPECT_EQ(this->rejections.front().verdict.code, ErrorCode::Impossible);
  EXPECT_EQ(this->rejections.front().verdict.run, RunState::NotRun);
}

}
