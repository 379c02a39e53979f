#include <LibPlacement/WorkerPool.h>

#include <LibPlacement/ResourceMath.h>
#include <algorithm>
#include <cassert>

namespace zinc {

namespace {

constexpr Resources kNoRoom{ .milliCores = -1, .memoryMiB = -1, .accelerators = -1, .slots = -1 };

Resources
Scale(const Resources& aAmount, double aFraction)
{
  const auto scaled = [aFraction](std::int64_t aValue) {
    return static_cast<std::int64_t>(static_cast<double>(aValue) * aFraction);
  };
  return { .milliCores = scaled(aAmount.milliCores),
           .memoryMiB = scaled(aAmount.memoryMiB),
           .accelerators = scaled(aAmount.accelerators),
           .slots = scaled(aAmount.slots) };
}

}

WorkerIndex
WorkerPool::Upsert(const WorkerInfo& aInfo)
{
  const WorkerIndex index = this->indices.Intern(aInfo.id);
  if (index == this->workers.size()) {
    this->workers.emplace_back();
    this->hasGainedRoom.push_back(false);
    for (auto& room : this->rooms) {
      room.push_back(kNoRoom);
    }
  }
  WorkerRecord& worker = this->workers[index];
  if (worker.isPresent) {
    this->totalCapacity -= worker.info.capacity;
  } else {
    worker = {};
    worker.isPresent = true;
    this->presentWorkers.push_back(index);
  }
  worker.info = aInfo;
  worker.rack = this->racks.Intern(aInfo.rack);
  worker.zone = this->zones.Intern(aInfo.zone);
  this->totalCapacity += aInfo.capacity;
  this->maxCapacity = ElementwiseMax(this->maxCapacity, aInfo.capacity);
  this->RecomputeRooms(index);
  return index;
}

void
WorkerPool::Remove(WorkerIndex aWorker)
{
  WorkerRecord& worker = this->workers[aWorker];
  assert(worker.isPresent && worker.tasks.empty());
  this->totalCapacity -= worker.info.capacity;
  this->totalUsed -= worker.used;
  worker = {};
  std::erase(this->presentWorkers, aWorker);
  this->maxCapacity = {};
  for (const WorkerIndex other : this->presentWorkers) {
    this->maxCapacity = ElementwiseMax(this->maxCapacity, this->workers[other].info.capacity);
  }
  this->RecomputeRooms(aWorker);
}

void
WorkerPool::SetMode(WorkerIndex aWorker, WorkerMode aMode)
{
  this->workers[aWorker].mode = aMode;
  this->RecomputeRooms(aWorker);
}

void
WorkerPool::SetClosed(WorkerIndex aWorker, bool aIsClosed)
{
  this->workers[aWorker].isClosed = aIsClosed;
  this->RecomputeRooms(aWorker);
}

void
WorkerPool::SetOnProbation(WorkerIndex aWorker, bool aIsOnProbation)
{
  this->workers[aWorker].isOnProbation = aIsOnProbation;
}

void
WorkerPool::SetOfferedFraction(WorkerIndex aWorker, double aFraction)
{
  this->workers[aWorker].offeredFraction = aFraction;
  this->RecomputeRooms(aWorker);
}

void
WorkerPool::SetHeadroom(WorkerIndex aWorker, const Resources& aHeadroom)
{
  if (this->workers[aWorker].headroom == aHeadroom) {
    return;
  }
  this->workers[aWorker].headroom = aHeadroom;
  this->RecomputeRooms(aWorker);
}

void
WorkerPool::SetReservedForGang(WorkerIndex aWorker, const Resources& aReserved)
{
  this->workers[aWorker].reservedForGang = aReserved;
  this->RecomputeRooms(aWorker);
}

void
WorkerPool::SetReservedForUrgent(WorkerIndex aWorker, const Resources& aHeld)
{
  this->workers[aWorker].reservedForUrgent = aHeld;
  this->RecomputeRooms(aWorker);
}

void
WorkerPool::Allocate(WorkerIndex aWorker, const Resources& aAmount, RoomUse aUse)
{
  WorkerRecord& worker = this->workers[aWorker];
  worker.used += aAmount;
  this->totalUsed += aAmount;
  if (aUse == RoomUse::Other) {
    worker.usedByNonChecks += aAmount;
  }
  this->RecomputeRooms(aWorker);
}

void
WorkerPool::AllocateTentatively(WorkerIndex aWorker, const Resources& aAmount)
{
  for (auto& roomsOfKind : this->rooms) {
    roomsOfKind[aWorker] -= aAmount;
  }
}

void
WorkerPool::ReleaseTentative(WorkerIndex aWorker, const Resources& aAmount)
{
  for (auto& roomsOfKind : this->rooms) {
    roomsOfKind[aWorker] += aAmount;
  }
}

void
WorkerPool::Release(WorkerIndex aWorker, const Resources& aAmount, RoomUse aUse)
{
  WorkerRecord& worker = this->workers[aWorker];
  worker.used -= aAmount;
  this->totalUsed -= aAmount;
  if (aUse == RoomUse::Other) {
    worker.usedByNonChecks -= aAmount;
  }
  assert(worker.used.IsNonNegative() && worker.usedByNonChecks.IsNonNegative());
  this->RecomputeRooms(aWorker);
}

WorkerIndex
WorkerPool::Find(const WorkerId& aId) const
{
  const WorkerIndex index = this->indices.Find(aId);
  return index != kNoIndex && this->workers[index].isPresent ? index : kNoIndex;
}

void
WorkerPool::ClearGainedRoom()
{
  for (const WorkerIndex worker : this->workersWithGainedRoom) {
    this->hasGainedRoom[worker] = false;
  }
  this->workersWithGainedRoom.clear();
}

void
WorkerPool::MarkRoomGained(WorkerIndex aWorker)
{
  if (!this->hasGainedRoom[aWorker]) {
    this->hasGainedRoom[aWorker] = true;
    this->workersWithGainedRoom.push_back(aWorker);
  }
}

std::uint64_t
WorkerPool::CountFittingWhenEmpty(const Resources& aRequest, std::uint64_t aMaxCount) const
{
  std::uint64_t count = 0;
  for (const WorkerIndex worker : this->presentWorkers) {
    count += CountFitting(aRequest, this->workers[worker].info.capacity, aMaxCount);
    if (count >= aMaxCount) {
      return aMaxCount;
    }
  }
  return count;
}

std::uint64_t
WorkerPool::CountFittingNow(const Resources& aRequest,
                            RoomKind aKind,
                            std::uint64_t aMaxCount) const
{
  std::uint64_t count = 0;
  const auto roomsOfKind = this->Rooms(aKind);
  for (const WorkerIndex worker : this->presentWorkers) {
    count += CountFitting(aRequest, roomsOfKind[worker], aMaxCount);
    if (count >= aMaxCount) {
      return aMaxCount;
    }
  }
  return count;
}

void
WorkerPool::RecomputeRooms(WorkerIndex aWorker)
{
  const WorkerRecord& worker = this->workers[aWorker];
  const bool isOpen = worker.isPresent && !worker.isClosed && worker.mode == WorkerMode::Accepting;
  const Resources& capacity = worker.info.capacity;
  const Resources offered =
    worker.tasks.empty() ? capacity : Scale(capacity, worker.offeredFraction);
  const Resources checkRoom = offered - worker.used - worker.reservedForUrgent;
  const Resources backfillRoom = ElementwiseMin(
    checkRoom, offered - worker.usedByNonChecks - worker.headroom - worker.reservedForUrgent);
  this->SetRoom(
    aWorker, RoomKind::Urgent, isOpen ? this->RoomIgnoringReservations(aWorker) : kNoRoom);
  this->SetRoom(aWorker, RoomKind::Check, isOpen ? checkRoom : kNoRoom);
  this->SetRoom(aWorker, RoomKind::Backfill, isOpen ? backfillRoom : kNoRoom);
  this->SetRoom(aWorker, RoomKind::Bulk, isOpen ? backfillRoom - worker.reservedForGang : kNoRoom);
}

Resources
WorkerPool::RoomIgnoringReservations(WorkerIndex aWorker) const
{
  const WorkerRecord& worker = this->workers[aWorker];
  const Resources& capacity = worker.info.capacity;
  return ElementwiseMin(capacity - worker.used,
                        capacity - worker.usedByNonChecks - worker.headroom);
}

void
WorkerPool::SetRoom(WorkerIndex aWorker, RoomKind aKind, const Resources& aRoom)
{
  Resources& room = this->rooms.at(static_cast<std::size_t>(aKind))[aWorker];
  if (!aRoom.FitsIn(room)) {
    this->MarkRoomGained(aWorker);
  }
  room = aRoom;
}

}
