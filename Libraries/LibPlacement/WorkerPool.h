#pragma once

/// @file
/// The workers, what is taken on each and what room is left.

#include <LibPlacement/Decision.h>
#include <LibPlacement/IndexMap.h>
#include <span>
#include <vector>

namespace zinc {

/// What kind of work asks for room.
enum class RoomKind : std::uint8_t
{
  /// Urgent work that room is held for: leaves only the headroom for checks alone.
  Urgent,
  /// Checks: leave alone what is held for urgent work.
  Check,
  /// Leaves alone what is held and the headroom.
  Backfill,
  /// Also leaves the reservation for a gang alone.
  Bulk,
};

inline constexpr std::size_t kRoomKindCount = 4;

/// Whom the taken room of a worker is counted for.
enum class RoomUse : std::uint8_t
{
  Check,
  Other,
};

/// A worker and what is taken on it.
struct WorkerRecord
{
  WorkerInfo info;
  bool isPresent = false;
  WorkerMode mode = WorkerMode::Accepting;
  /// Closed to new work by quarantine.
  bool isClosed = false;
  /// Takes only work that may run twice, one task at a time.
  bool isOnProbation = false;
  /// Part of the capacity that is offered, less for a slow worker.
  double offeredFraction = 1.0;
  DomainIndex rack = kNoIndex;
  DomainIndex zone = kNoIndex;
  Resources used;
  /// Part of @ref used that is taken by work other than checks.
  Resources usedByNonChecks;
  /// Kept free of bulk work, for checks.
  Resources headroom;
  /// Kept free of bulk work, for a gang.
  Resources reservedForGang;
  /// Kept free of everything but the task that it is held for.
  Resources reservedForUrgent;
  std::vector<TaskIndex> tasks;
};

/// Keeps the room of every worker for each kind of work in contiguous arrays, and lists the workers
/// that gained room since the last complete pass.
class WorkerPool
{
public:
  /// Adds a worker or changes its description. @return its index.
  WorkerIndex Upsert(const WorkerInfo& aInfo);

  /// @pre no task is counted on it.
  void Remove(WorkerIndex aWorker);

  void SetMode(WorkerIndex aWorker, WorkerMode aMode);

  /// Opens or closes the worker to new work.
  void SetClosed(WorkerIndex aWorker, bool aIsClosed);
  /// Marks the worker as being on probation.
  void SetOnProbation(WorkerIndex aWorker, bool aIsOnProbation);

  /// Offers only a part of the capacity while anything runs there.
  void SetOfferedFraction(WorkerIndex aWorker, double aPart);
  void SetHeadroom(WorkerIndex aWorker, const Resources& aHeadroom);
  void SetReservedForGang(WorkerIndex aWorker, const Resources& aReserved);
  void SetReservedForUrgent(WorkerIndex aWorker, const Resources& aHeld);

  void Allocate(WorkerIndex aWorker, const Resources& aAmount, RoomUse aUse);
  void Release(WorkerIndex aWorker, const Resources& aAmount, RoomUse aUse);

  /// Counts room as taken while the places of a gang are searched, without marking gains.
  void AllocateTentatively(WorkerIndex aWorker, const Resources& aAmount);
  void ReleaseTentative(WorkerIndex aWorker, const Resources& aAmount);

  /// @return the worker's index, or @ref kNoIndex.
  [[nodiscard]] WorkerIndex Find(const WorkerId& aId) const;

  [[nodiscard]] WorkerRecord& operator[](WorkerIndex aWorker) { return this->workers[aWorker]; }
  [[nodiscard]] const WorkerRecord& operator[](WorkerIndex aWorker) const
  {
    return this->workers[aWorker];
  }

  /// @return room of each worker by index; negative where nothing may start.
  [[nodiscard]] std::span<const Resources> Rooms(RoomKind aKind) const
  {
    return this->rooms[static_cast<std::size_t>(aKind)];
  }

  /// @return what urgent work could take of the worker if nothing were held there.
  [[nodiscard]] Resources RoomIgnoringReservations(WorkerIndex aWorker) const;

  /// @return present workers in no particular order.
  [[nodiscard]] std::span<const WorkerIndex> PresentWorkers() const { return this->present; }

  /// @return workers that gained room since @ref ClearGained.
  [[nodiscard]] std::span<const WorkerIndex> WorkersWithGainedRoom() const { return this->gained; }
  void ClearGainedRoom();

  /// @return sum over present workers.
  [[nodiscard]] const Resources& TotalCapacity() const { return this->totalCapacity; }
  /// @return the largest of each amount over present workers.
  [[nodiscard]] const Resources& MaxCapacity() const { return this->maxCapacity; }
  [[nodiscard]] const Resources& TotalUsed() const { return this->totalUsed; }

  /// @return how many tasks of this size the present workers could hold together if empty, counted
  /// up to @p aEnough.
  [[nodiscard]] std::uint64_t CountFittingWhenEmpty(const Resources& aRequest,
                                                    std::uint64_t aEnough) const;

  /// @return how many tasks of this size have room now, counted up to @p aEnough.
  [[nodiscard]] std::uint64_t CountFittingNow(const Resources& aRequest,
                                              RoomKind aKind,
                                              std::uint64_t aEnough) const;

private:
  void RecomputeRooms(WorkerIndex aWorker);
  /// Counts the worker among those that gained room if it did.
  void SetRoom(WorkerIndex aWorker, RoomKind aKind, const Resources& aRoom);
  void MarkRoomGained(WorkerIndex aWorker);

  IndexMap<WorkerId> indices;
  IndexMap<RackId> racks;
  IndexMap<ZoneId> zones;
  std::vector<WorkerRecord> workers;
  std::array<std::vector<Resources>, kRoomKindCount> rooms;
  std::vector<WorkerIndex> present;
  std::vector<WorkerIndex> gained;
  std::vector<bool> isGained;
  Resources totalCapacity;
  Resources totalUsed;
  Resources maxCapacity;
};

}
