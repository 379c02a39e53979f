#pragma once

/// @file
/// The workers with their allocated resources and the room that is left. Room means resources in
/// which a task can start.

#include <LibPlacement/Decision.h>
#include <LibPlacement/IndexMap.h>
#include <span>
#include <vector>

namespace zinc {

/// Kinds of work, by the room that is available to them.
enum class RoomKind : std::uint8_t
{
  /// Urgent tasks with a reservation: all room except the headroom for checks.
  Urgent,
  /// Checks: all room except urgent reservations.
  Check,
  /// Backfilled tasks, the holder of the gang reservation and urgent tasks without a reservation:
  /// all room except urgent reservations and the headroom for checks.
  Backfill,
  /// Bulk tasks: as for backfill, but also without the reservation for a gang.
  Bulk,
};

inline constexpr std::size_t kRoomKindCount = 4;

/// Kind of task for which room is allocated.
enum class RoomUse : std::uint8_t
{
  Check,
  Other,
};

/// A worker, its state and its allocated resources.
struct WorkerRecord
{
  WorkerInfo info;
  /// False once the worker was removed.
  bool isPresent = false;
  WorkerMode mode = WorkerMode::Accepting;
  /// Takes no new tasks, because of a quarantine or a running probe.
  bool isClosed = false;
  /// Takes only idempotent tasks, one at a time.
  bool isOnProbation = false;
  /// Fraction of the capacity that is offered; below 1 for a slow worker.
  double offeredFraction = 1.0;
  DomainIndex rack = kNoIndex;
  DomainIndex zone = kNoIndex;
  /// Resources allocated to running tasks.
  Resources used;
  /// Portion of @ref used that is allocated to tasks other than checks.
  Resources usedByNonChecks;
  /// Kept free of tasks other than checks. Running checks use it first.
  Resources headroom;
  /// Kept free of bulk tasks, for a gang or a large task.
  Resources reservedForGang;
  /// Kept free of all other tasks, for urgent tasks that wait for preempted tasks to stop.
  Resources reservedForUrgent;
  /// Running tasks in no particular order.
  std::vector<TaskIndex> tasks;
};

/// Keeps the room of every worker for each kind of work in contiguous arrays, and lists the workers
/// that gained room since the last complete placement pass.
class WorkerPool
{
public:
  /// Adds a worker or changes its description. @return its index.
  WorkerIndex Upsert(const WorkerInfo& aInfo);

  /// @pre no task runs on the worker.
  void Remove(WorkerIndex aWorker);

  void SetMode(WorkerIndex aWorker, WorkerMode aMode);

  /// Opens or closes the worker to new work.
  void SetClosed(WorkerIndex aWorker, bool aIsClosed);
  /// Sets whether the worker is on probation.
  void SetOnProbation(WorkerIndex aWorker, bool aIsOnProbation);

  /// Offers only a fraction of the capacity while any task runs on the worker.
  void SetOfferedFraction(WorkerIndex aWorker, double aFraction);
  void SetHeadroom(WorkerIndex aWorker, const Resources& aHeadroom);
  void SetReservedForGang(WorkerIndex aWorker, const Resources& aReserved);
  void SetReservedForUrgent(WorkerIndex aWorker, const Resources& aHeld);

  /// Allocates resources of the worker to a task.
  void Allocate(WorkerIndex aWorker, const Resources& aAmount, RoomUse aUse);
  /// Releases resources that were allocated for the same use.
  void Release(WorkerIndex aWorker, const Resources& aAmount, RoomUse aUse);

  /// Reduces the room during the search for the places of a gang. Doesn't change the used resources
  /// or the list of workers that gained room.
  void AllocateTentatively(WorkerIndex aWorker, const Resources& aAmount);
  /// Reverts @ref AllocateTentatively.
  void ReleaseTentative(WorkerIndex aWorker, const Resources& aAmount);

  /// @return the worker's index, or @ref kNoIndex.
  [[nodiscard]] WorkerIndex Find(const WorkerId& aId) const;

  [[nodiscard]] WorkerRecord& operator[](WorkerIndex aWorker) { return this->workers[aWorker]; }
  [[nodiscard]] const WorkerRecord& operator[](WorkerIndex aWorker) const
  {
    return this->workers[aWorker];
  }

  /// @return the room of each worker by index; negative on a worker that takes no new tasks.
  [[nodiscard]] std::span<const Resources> Rooms(RoomKind aKind) const
  {
    return this->rooms[static_cast<std::size_t>(aKind)];
  }

  /// @return the worker's room for urgent tasks if nothing were reserved there.
  [[nodiscard]] Resources RoomIgnoringReservations(WorkerIndex aWorker) const;

  /// @return present workers in no particular order.
  [[nodiscard]] std::span<const WorkerIndex> PresentWorkers() const { return this->presentWorkers; }

  /// @return workers that gained room for any kind of work since @ref ClearGainedRoom.
  [[nodiscard]] std::span<const WorkerIndex> WorkersWithGainedRoom() const
  {
    return this->workersWithGainedRoom;
  }
  void ClearGainedRoom();

  /// @return the sum over present workers.
  [[nodiscard]] const Resources& TotalCapacity() const { return this->totalCapacity; }
  /// @return the maximum of each amount over present workers.
  [[nodiscard]] const Resources& MaxCapacity() const { return this->maxCapacity; }
  [[nodiscard]] const Resources& TotalUsed() const { return this->totalUsed; }

  /// @return how many tasks of this size fit on all present workers together when empty, at most
  /// @p aMaxCount.
  [[nodiscard]] std::uint64_t CountFittingWhenEmpty(const Resources& aRequest,
                                                    std::uint64_t aMaxCount) const;

  /// @return how many tasks of this size fit on all present workers together now, at most
  /// @p aMaxCount.
  [[nodiscard]] std::uint64_t CountFittingNow(const Resources& aRequest,
                                              RoomKind aKind,
                                              std::uint64_t aMaxCount) const;

private:
  /// Recomputes the worker's room for each kind of work.
  void RecomputeRooms(WorkerIndex aWorker);
  /// Sets the room, and lists the worker as having gained room if any amount grew.
  void SetRoom(WorkerIndex aWorker, RoomKind aKind, const Resources& aRoom);
  void MarkRoomGained(WorkerIndex aWorker);

  IndexMap<WorkerId> indices;
  IndexMap<RackId> racks;
  IndexMap<ZoneId> zones;
  std::vector<WorkerRecord> workers;
  std::array<std::vector<Resources>, kRoomKindCount> rooms;
  std::vector<WorkerIndex> presentWorkers;
  std::vector<WorkerIndex> workersWithGainedRoom;
  std::vector<bool> hasGainedRoom;
  Resources totalCapacity;
  Resources totalUsed;
  Resources maxCapacity;
};

}
