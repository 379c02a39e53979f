#include "CellSchedulerFixture.h"

#include <algorithm>
#include <set>

namespace zinc::cell::test {

namespace {

/// A store that takes 240 ms for each transaction of a part, one after the other.
class SlowStore : public CellSchedulerFixture
{
protected:
  void AcceptJobs(int aFirst, int aCount)
  {
    for (int number = aFirst; number < aFirst + aCount; ++number) {
      this->Accept(JobOf("job" + std::to_string(number), 1, 1));
    }
  }

  void RunSlowly(int aRounds)
  {
    for (int round = 0; round < aRounds; ++round) {
      this->Run(Milliseconds{ 240 });
      this->store.Release();
    }
  }
};

}

// The load of a burst while the store is slow: hundreds of jobs end each second. One transaction at
// a time records 200 of them.
TEST_F(SlowStore, RecordsProgressInSeveralPartsAtOnce)
{
  for (int number = 0; number < 20; ++number) {
    this->entries.push_back(this->workers.Add("w" + std::to_string(number), 32));
  }
  this->Begin();
  this->Run(Milliseconds{ 50 });
  this->store.mode = StoreMode::Slow;
  this->AcceptJobs(0, 400);
  this->Run(Milliseconds{ 200 });
  this->workers.EndAll();
  this->RunSlowly(2);
  this->Run(Milliseconds{ 50 });
  EXPECT_EQ(this->store.open.size(), kProgressPartitionCount);
  std::set<std::string> parts;
  for (const auto& transaction : this->store.open) {
    EXPECT_EQ(transaction.size(), 1U) << "a transaction over several parts takes twice as long";
    parts.insert(transaction.begin(), transaction.end());
  }
  EXPECT_EQ(parts.size(), kProgressPartitionCount);
  this->RunSlowly(4);
  int succeeded = 0;
  for (int number = 0; number < 400; ++number) {
    succeeded += this->StatusOf("job" + std::to_string(number)).outcome == JobOutcome::Succeeded;
  }
  EXPECT_EQ(succeeded, 400);
}

TEST_F(SlowStore, RecordsProgressInOneTransactionOtherwise)
{
  this->entries = { this->workers.Add("w1", 32), this->workers.Add("w2", 32) };
  this->Begin();
  this->AcceptJobs(0, 30);
  this->Run(Milliseconds{ 100 });
  const auto before = this->store.commits;
  this->workers.EndAll();
  this->Run(Milliseconds{ 50 });
  EXPECT_LE(this->store.commits - before, 2U);
  EXPECT_EQ(this->StatusOf("job0").outcome, JobOutcome::Succeeded);
}

// Renewals would wait behind the rows of 43 instances, each of which is written every 3 s, until
// the others take the leader to be gone.
TEST(CellParts, TheOwnershipRowHasAPartOfItsOwn)
{
  const auto all = CellTablePartitions();
  std::set<std::string> parts;
  for (int number = 0; number < 43; ++number) {
    const auto key = InstanceRowKey("front-" + std::to_string(number));
    EXPECT_NE(key.partition, kLeaderPartition);
    EXPECT_TRUE(std::ranges::find(all, key.partition) != all.end());
    parts.insert(key.partition);
  }
  EXPECT_EQ(parts.size(), kInstancePartitionCount);
  EXPECT_EQ(all.back(), kLeaderPartition);
}

TEST(CellParts, EveryRowOfAJobIsInAPartThatIsRead)
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
