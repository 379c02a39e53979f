#include <LibCell/AdviceClaims.h>

#include <array>
#include <deque>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

class AdviceClaimsOfWorkers : public testing::Test
{
protected:
  void AddWorker(std::int64_t aMilliCores, int aBand = 0)
  {
    auto& worker = this->workers.emplace_back();
    worker.number = static_cast<WorkerNumber>(this->workers.size() - 1);
    worker.entry.capacity = { .milliCores = aMilliCores };
    worker.speed.band = aBand;
    this->pool.push_back(&worker);
  }

  [[nodiscard]] std::vector<WorkerNumber> Sort(bool aKeepsBands = false) const
  {
    std::vector<WorkerNumber> numbers;
    for (const auto* worker : this->claims.SortByUnclaimedCores(this->pool, aKeepsBands)) {
      numbers.push_back(worker->number);
    }
    return numbers;
  }

  std::deque<Worker> workers;
  std::vector<Worker*> pool;
  AdviceClaims claims;
};

using Numbers = std::vector<WorkerNumber>;

}

TEST_F(AdviceClaimsOfWorkers, PutClaimedWorkersBehindOthersWhileTheRequestIsInFlight)
{
  for (int number = 0; number < 4; ++number) {
    this->AddWorker(1000);
  }
  const std::array<WorkerNumber, 2> named{ 0, 1 };
  EXPECT_TRUE(this->claims.IsEmpty());
  this->claims.Add(named, 300);
  EXPECT_FALSE(this->claims.IsEmpty());
  EXPECT_EQ(this->Sort(), (Numbers{ 2, 3, 0, 1 }));
  this->claims.Remove(named, 300);
  EXPECT_TRUE(this->claims.IsEmpty());
  EXPECT_EQ(this->Sort(), (Numbers{ 0, 1, 2, 3 }));
}

TEST_F(AdviceClaimsOfWorkers, PreferAClaimedWorkerWithMoreRoomToAFullOne)
{
  this->AddWorker(1000);
  this->AddWorker(1000);
  this->workers[1].used = { .milliCores = 900 };
  this->claims.Add(std::array<WorkerNumber, 1>{ 0 }, 300);
  EXPECT_EQ(this->Sort(), (Numbers{ 0, 1 }));
}

TEST_F(AdviceClaimsOfWorkers, KeepTheOrderOfSpeedBands)
{
  this->AddWorker(1000, 2);
  this->AddWorker(1000, 2);
  this->AddWorker(1000, 1);
  this->claims.Add(std::array<WorkerNumber, 1>{ 0 }, 300);
  EXPECT_EQ(this->Sort(true), (Numbers{ 1, 0, 2 }));
  EXPECT_EQ(this->Sort(false), (Numbers{ 1, 2, 0 }));
}

}
