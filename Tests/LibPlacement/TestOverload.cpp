#include "SchedulerFixture.h"

namespace zinc {

using TestOverload = SchedulerTest;

TEST_F(TestOverload, RefusesAtAFullQueueWithATimeFromTheDrainRate)
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
  const auto refused = this->scheduler->Enqueue(this->MakeTask("late"), this->now);
  ASSERT_TRUE(IsError(refused));
  EXPECT_EQ(ErrorOf(refused).code, ErrorCode::LimitReached);
  EXPECT_EQ(ErrorOf(refused).run, RunState::NotRun);
  ASSERT_TRUE(ErrorOf(refused).retryAfter);
  // A tenth of the queue and one more start in 2.2 s at five a second; the answer varies by 25%.
  EXPECT_GE(*ErrorOf(refused).retryAfter, Milliseconds(1500));
  EXPECT_LE(*ErrorOf(refused).retryAfter, Milliseconds(3000));
}

TEST_F(TestOverload, ShedsBatchBeforeChecks)
{
  this->Reset({ .maxQueuedTotal = 100 }, SampleDocument());
  this->EnqueueMany(70, "b");
  EXPECT_TRUE(IsError(this->scheduler->Enqueue(this->MakeTask("b"), this->now)));
  this->EnqueueMany(10, "g", "services");
  EXPECT_TRUE(IsError(this->scheduler->Enqueue(this->MakeTask("b"), this->now)));
  this->EnqueueMany(20, "c", "checks");
  const auto refused = this->scheduler->Enqueue(this->MakeTask("c", "checks"), this->now);
  ASSERT_TRUE(IsError(refused));
  EXPECT_EQ(ErrorOf(refused).code, ErrorCode::Overloaded);
  EXPECT_TRUE(ErrorOf(refused).retryAfter);
}

TEST_F(TestOverload, LeavesPlaceInAQueueToOtherTeams)
{
  this->document.queues[1].maxQueued = 100;
  this->scheduler->ApplyDocument(this->document);
  this->EnqueueMany(1, "n", "rebuilds", "nights");
  this->EnqueueMany(79, "d", "rebuilds", "days");
  EXPECT_TRUE(IsError(this->scheduler->Enqueue(this->MakeTask("d"), this->now)));
  this->EnqueueMany(1, "other", "rebuilds", "nights");
}

TEST_F(TestOverload, RefusesADeadlineThatCannotBeMet)
{
  this->AddWorkers(1, kOneSlotRequest);
  this->EnqueueMany(20, "t");
  for (int index = 0; index < 10; ++index) {
    this->Decide();
    this->now += Milliseconds(1000);
    this->ReportEnd(this->starts.front().task.id.value);
  }
  TaskSpec hasty = this->MakeTask("hasty");
  hasty.deadline = Milliseconds(2000);
  const auto refused = this->scheduler->Enqueue(hasty, this->now);
  ASSERT_TRUE(IsError(refused));
  EXPECT_EQ(ErrorOf(refused).code, ErrorCode::DeadlineExceeded);
  EXPECT_EQ(ErrorOf(refused).run, RunState::NotRun);
  TaskSpec patient = this->MakeTask("patient");
  patient.deadline = Milliseconds(60'000);
  this->EnqueueAccepted(patient);
}

TEST_F(TestOverload, AbsorbsAWaveOfCancellations)
{
  constexpr int kWave = 50'000;
  this->AddWorkers(1);
  this->EnqueueMany(kWave, "t");
  this->EnqueueMany(4, "kept", "rebuilds", "nights");
  for (int index = 0; index < kWave; ++index) {
    ASSERT_EQ(this->scheduler->Cancel({ "t" + std::to_string(index) }), CancelOutcome::WasQueued);
  }
  this->Decide();
  EXPECT_EQ(this->starts.size(), 4);
  EXPECT_TRUE(this->rejections.empty());
  EXPECT_EQ(this->scheduler->Demand({ "days" }), Resources{});
}

TEST_F(TestOverload, GivesUpWhatTheLastAbleWorkerLeft)
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
