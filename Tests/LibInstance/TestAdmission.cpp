#include "InstanceParts.h"

#include <gtest/gtest.h>

namespace zinc {

namespace {

/// An instance that is not the leader, and the record of the leader that it reads.
class AdmissionTest
  : public testing::Test
  , protected InstanceParts
{
protected:
  AdmissionTest()
  {
    this->WriteLeaderRecord();
    this->instance.Start();
    this->timer.Advance(Milliseconds{ 300 });
  }

  void WriteLeaderRecord(bool aIsRecovering = false)
  {
    cell::LeaderRecord record{ .instance = "leader",
                               .incarnation = "leader1",
                               .token = 1,
                               .isRecovering = aIsRecovering,
                               .writtenAt = this->store.Time() };
    record.expectedWaits.push_back({ { "queue" }, {}, Milliseconds{ 60'000 } });
    this->store.memory.Put({ .table = std::string(cell::kCellTable),
                             .partition = std::string(cell::kLeaderPartition),
                             .key = std::string(cell::kLeaderKey) },
                           cell::EncodeLeaderRecord(record));
  }

  /// Submits a job that must start within a second or two.
  /// @return true if it is refused
  bool IsRefused()
  {
    cell::JobSpecification spec{ .id = { "job" + std::to_string(this->submitted++) },
                                 .workspace = { "team" } };
    spec.queue = { .name = { "queue" } };
    spec.steps.push_back({ .estimate = Milliseconds{ 500 } });
    bool isRefused = false;
    this->instance.Submit(spec, [&isRefused](const Result<Done>& aResult) {
      isRefused = IsError(aResult) && ErrorOf(aResult).code == ErrorCode::Overloaded;
    });
    return isRefused;
  }

  int submitted = 0;
  CellInstance instance{
    this->MakeDependencies({}),
    { .identity = { .name = "self", .incarnation = "self1", .milliCores = 100 },
      // The tests look at the time after the leader's death, before the instance takes over.
      .election = { .leaderTimeout = Milliseconds{ 60'000 } } }
  };
};

}

// Failure: the leader dies with its forecasts in circulation. Guards against refusals by them after
// 2 s, and against forecasts that do not reach the gate of an instance.
TEST_F(AdmissionTest, RefusesByTheRecordOfALivingLeaderOnly)
{
  EXPECT_TRUE(this->IsRefused());
  this->timer.Advance(Milliseconds{ 1600 });
  EXPECT_TRUE(this->IsRefused());
  this->timer.Advance(Milliseconds{ 300 });
  EXPECT_FALSE(this->IsRefused());
  this->WriteLeaderRecord();
  this->timer.Advance(Milliseconds{ 1000 });
  EXPECT_TRUE(this->IsRefused());
  this->WriteLeaderRecord(true);
  this->timer.Advance(Milliseconds{ 1000 });
  EXPECT_FALSE(this->IsRefused());
}

// Failure: the instance loses the store during a burst. Guards against refusals that were not
// verified, and against forecasts that stay in force while no newer record can be read.
TEST_F(AdmissionTest, RefusesNothingWithoutTheStore)
{
  this->store.memory.mode = cell::test::StoreMode::Unavailable;
  EXPECT_FALSE(this->IsRefused());
  this->timer.Advance(Milliseconds{ 3000 });
  this->store.memory.mode = cell::test::StoreMode::Available;
  EXPECT_FALSE(this->IsRefused());
}

}
