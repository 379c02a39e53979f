#include "SchedulerFixture.h"

#include <LibPlacement/WorkerPool.h>

namespace zinc {

namespace {

/// A worker of eight slots, one reserved for an urgent task and one kept free for checks.
class TestWorkerPool : public ::testing::Test
{
protected:
  void SetUp() override
  {
    this->worker = this->pool.Upsert({ .id = { "w" }, .capacity = kSmallWorker });
    this->pool.SetHeadroom(this->worker, kOneSlotRequest);
    this->pool.SetReservedForUrgent(this->worker, kOneSlotRequest);
  }

  [[nodiscard]] std::int64_t RoomInSlots(RoomKind aKind) const
  {
    return this->pool.Rooms(aKind)[this->worker].slots;
  }

  WorkerPool pool;
  WorkerIndex worker = kNoIndex;
};

}

TEST_F(TestWorkerPool, KeepsUrgentReservationsAndHeadroomSeparate)
{
  EXPECT_EQ(this->RoomInSlots(RoomKind::Urgent), 7);
  EXPECT_EQ(this->RoomInSlots(RoomKind::Check), 7);
  EXPECT_EQ(this->RoomInSlots(RoomKind::Backfill), 6);
  EXPECT_EQ(this->RoomInSlots(RoomKind::Bulk), 6);
}

TEST_F(TestWorkerPool, ChecksUseTheHeadroomFirst)
{
  this->pool.Allocate(this->worker, kOneSlotRequest, RoomUse::Check);
  EXPECT_EQ(this->RoomInSlots(RoomKind::Backfill), 6);
  this->pool.Allocate(this->worker, kOneSlotRequest, RoomUse::Check);
  EXPECT_EQ(this->RoomInSlots(RoomKind::Backfill), 5);
}

TEST_F(TestWorkerPool, ExcludesOnlyBulkWorkFromTheGangReservation)
{
  this->pool.SetReservedForGang(this->worker, kOneSlotRequest);
  EXPECT_EQ(this->RoomInSlots(RoomKind::Backfill), 6);
  EXPECT_EQ(this->RoomInSlots(RoomKind::Bulk), 5);
}

TEST_F(TestWorkerPool, ListsOnlyWorkersWhoseRoomGrew)
{
  this->pool.ClearGainedRoom();
  this->pool.Allocate(this->worker, kOneSlotRequest, RoomUse::Other);
  this->pool.SetMode(this->worker, WorkerMode::Draining);
  EXPECT_TRUE(this->pool.WorkersWithGainedRoom().empty());
  this->pool.SetMode(this->worker, WorkerMode::Accepting);
  EXPECT_EQ(this->pool.WorkersWithGainedRoom().size(), 1);
}

}
