#include <LibPlacement/WorkerPool.h>

#include <LibPlacement/ResourceMath.h>
#include <algorithm>
#include <cassert>

namespace zinc {

namespace {

constexpr Resources kNoRoom{ .milliCores = -1, .memoryMiB = -1, .accelerators = -1, .slots = -1 };

Resources
ScaledBy(const Resources& aAmount, double aPart)
{
  const auto scaled = [aPart](std::int64_t aValue) {
    return static_cast<std::int64_t>(static_cast<double>(aValue) * aPart);
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
    this->isGained.push_back(false);
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
    this->present.push_back(index);
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
  std::erase(this->present, aWorker);
  this->maxCapacity = {};
  for (const WorkerIndex other : this->present) {
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
WorkerPool::SetOfferedFraction(WorkerIndex aWorker, double aPart)
{
  this->workers[aWorker].offeredFraction = aPart;
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
  for (auto& ofKind : this->rooms) {
    ofKind[aWorker] -= aAmount;
  }
}

void
WorkerPool::ReleaseTentative(WorkerIndex aWorker, const Resources& aAmount)
{
  for (auto& ofKind : this->rooms) {
    ofKind[aWorker] += aAmount;
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
  for (const WorkerIndex worker : this->gained) {
    this->isGained[worker] = false;
  }
  this->gained.clear();
}

void
WorkerPool::MarkRoomGained(WorkerIndex aWorker)
{
  if (!this->isGained[aWorker]) {
    this->isGained[aWorker] = true;
    this->gained.push_back(aWorker);
  }
}

std::uint64_t
WorkerPool::CountFittingWhenEmpty(const Resources& aRequest, std::uint64_t aEnough) const
{
  std::uint64_t count = 0;
  for (const WorkerIndex worker : this->present) {
    count += CountFitting(aRequest, this->workers[worker].info.capacity, aEnough);
    if (count >= aEnough) {
      return aEnough;
    }
  }
  return count;
}

std::uint64_t
WorkerPool::CountFittingNow(const Resources& aRequest, RoomKind aKind, std::uint64_t aEnough) const
{
  std::uint64_t count = 0;
  const auto roomsOfKind = this->Rooms(aKind);
  for (const WorkerIndex worker : this->present) {
    count += CountFitting(aRequest, roomsOfKind[worker], aEnough);
    if (count >= aEnough) {
      return aEnough;
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
    worker.tasks.empty() ? capacity : ScaledBy(capacity, worker.offeredFraction);
  const Resources forChecks = offered - worker.used - worker.reservedForUrgent;
  const Resources forBackfill = ElementwiseMin(
    forChecks, offered - worker.usedByNonChecks - worker.headroom - worker.reservedForUrgent);
  this->SetRoom(
    aWorker, RoomKind::Urgent, isOpen ? this->RoomIgnoringReservations(aWorker) : kNoRoom);
  this->SetRoom(aWorker, RoomKind::Check, isOpen ? forChecks : kNoRoom);
  this->SetRoom(aWorker, RoomKind::Backfill, isOpen ? forBackfill : kNoRoom);
  this->SetRoom(aWorker, RoomKind::Bulk, isOpen ? forBackfill - worker.reservedForGang : kNoRoom);
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
