#include "CellSchedulerFixture.h"

#include <algorithm>
#include <set>

namespace zinc::cell::test {

namespace {

/// A store that takes 240 ms per transaction and commits one at a time in each partition.
class SlowStoreTest : public CellSchedulerFixture
{
protected:
  void AcceptJobs(int aFirst, int aCount)
  {
    for (int number = aFirst; number < aFirst + aCount; ++number) {
      this->AcceptJob(MakeJob("job" + std::to_string(number), 1, 1));
    }
  }

  void RunWithDelayedResponses(int aRounds)
  {
    for (int round = 0; round < aRounds; ++round) {
      this->RunFor(Milliseconds{ 240 });
      this->store.DeliverResponses();
    }
  }
};

}

// Hundreds of jobs end per second during a burst. With a slow store, one transaction at a time does
// not keep up: it records only 200 of them.
TEST_F(SlowStoreTest, RecordsProgressInAllPartitionsConcurrently)
{
  for (int number = 0; number < 20; ++number) {
    this->entries.push_back(this->workers.Add("w" + std::to_string(number), 32));
  }
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJobs(0, 400);
  this->RunFor(Milliseconds{ 400 });
  ASSERT_EQ(this->workers.starts.size(), 400U);
  this->store.mode = StoreMode::DelayingResponses;
  this->workers.EndAll();
  this->RunWithDelayedResponses(2);
  this->RunFor(Milliseconds{ 50 });
  EXPECT_EQ(this->store.inFlightPartitions.size(), kProgressPartitionCount);
  std::set<std::string> partitions;
  for (const auto& transaction : this->store.inFlightPartitions) {
    EXPECT_EQ(transaction.size(), 1U)
      << "a transaction across several partitions takes twice as long";
    partitions.insert(transaction.begin(), transaction.end());
  }
  EXPECT_EQ(partitions.size(), kProgressPartitionCount);
  this->RunWithDelayedResponses(4);
  int succeeded = 0;
  for (int number = 0; number < 400; ++number) {
    succeeded += this->StatusOf("job" + std::to_string(number)).outcome == JobOutcome::Succeeded;
  }
  EXPECT_EQ(succeeded, 400);
}

// Load: more jobs make progress than the store takes. Guards against jobs that cannot start since
// their records wait behind the progress of others.
TEST_F(SlowStoreTest, RecordsStartsBeforeTheProgressOfOtherJobs)
{
  for (int number = 0; number < 20; ++number) {
    this->entries.push_back(this->workers.Add("w" + std::to_string(number), 32));
  }
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  for (int number = 0; number < 300; ++number) {
    this->AcceptJob(MakeJob("job" + std::to_string(number), 2, 1));
  }
  this->RunFor(Milliseconds{ 400 });
  ASSERT_EQ(this->workers.starts.size(), 600U);
  for (const auto& start : std::vector(this->workers.starts)) {
    if (start.task.key.index == 0) {
      this->workers.End(start.worker.value, start.task, RunOutcome::Succeeded);
    }
  }
  this->RunFor(Milliseconds{ 20 });
  this->AcceptJob(MakeJob("last", 1, 1));
  this->RunFor(2 * this->options.minFlushInterval + kStartDelay);
  EXPECT_EQ(this->CountStarts("last"), 1U);
}

// Load: a backlog of jobs for which there is no room, and a store that takes 500 ms. Guards
// against a job that stands still since its record waits behind those of jobs that cannot start.
TEST_F(SlowStoreTest, RecordsTheStartOfAJobThatHasRoomBeforeThoseOfOthers)
{
  this->entries = { this->workers.Add("w1", 8), this->workers.Add("w2", 8) };
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->store.mode = StoreMode::DelayingResponses;
  const auto run = [this](Milliseconds aDuration) {
    constexpr Milliseconds kCommitTime{ 500 };
    for (Milliseconds elapsed{ 0 }; elapsed < aDuration; elapsed += kCommitTime) {
      this->RunFor(kCommitTime);
      this->store.DeliverResponses();
    }
  };
  this->AcceptJob(MakeJob("first", 1, 1));
  run(Milliseconds{ 1500 });
  ASSERT_EQ(this->CountStarts("first"), 1U);
  for (int number = 0; number < 1500; ++number) {
    this->AcceptJob(MakeJob("job" + std::to_string(number), 1, 16));
  }
  this->RunFor(Milliseconds{ 10 });
  this->AcceptJob(MakeJob("last", 1, 1));
  run(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStarts("last"), 1U);
}

TEST_F(SlowStoreTest, BatchesProgressWhileTheStoreIsFast)
{
  this->entries = { this->workers.Add("w1", 32), this->workers.Add("w2", 32) };
  this->BeginTerm();
  this->AcceptJobs(0, 30);
  this->RunFor(Milliseconds{ 100 });
  const auto commitsBefore = this->store.commitCount;
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 50 });
  EXPECT_LE(this->store.commitCount - commitsBefore, 2U);
  EXPECT_EQ(this->StatusOf("job0").outcome, JobOutcome::Succeeded);
}

// With a slow store, leader renewals would queue behind the rows of 43 instances, each written
// every 3 s, until the leader times out.
TEST(TablePartitions, LeaderRecordHasItsOwnPartition)
{
  const auto all = CellTablePartitions();
  std::set<std::string> partitions;
  for (int number = 0; number < 43; ++number) {
    const auto key = InstanceRowKey("front-" + std::to_string(number));
    EXPECT_NE(key.partition, kLeaderPartition);
    EXPECT_TRUE(std::ranges::find(all, key.partition) != all.end());
    partitions.insert(key.partition);
  }
  EXPECT_EQ(partitions.size(), kInstancePartitionCount);
  EXPECT_EQ(all.back(), kLeaderPartition);
}

TEST(TablePartitions, EveryJobRowIsInAPartitionThatIsRead)
{
  const auto all = JobTablePartitions();
  EXPECT_EQ(all.back(), kTermPartition);
  for (int number = 0; number < 500; ++number) {
    const JobId job{ "00000000000" + std::to_string(10'000 + number) };
    for (const auto kind :
         { JobRowKind::Specification, JobRowKind::Progress, JobRowKind::Cancellation }) {
      EXPECT_TRUE(std::ranges::find(all, JobRowKey(job, kind).partition) != all.end());
    }
    EXPECT_EQ(ProgressRowRange(job).partition, JobRowKey(job, JobRowKind::Progress).partition);
  }
}

}
