#include <LibPlacement/ReservationPlanner.h>

#include <LibPlacement/ResourceMath.h>
#include <algorithm>

namespace zinc {

namespace {

constexpr Milliseconds kMinRemainingRunTime{ 100 };
/// Queueing time after which a large single task can get a reservation.
constexpr Milliseconds kLargeTaskReservationDelay{ 10'000 };
/// Fraction of the largest capacity above which a single task is large: smaller tasks can starve
/// it.
constexpr double kLargeTaskFraction = 0.25;
constexpr Milliseconds kReservationRetryInterval{ 1000 };

/// Collects room for tasks of one size until there is enough for the wanted number.
class PlaceCollector
{
public:
  PlaceCollector(const Resources& aRequest, std::uint64_t aWantedPlaces)
    : request(aRequest)
    , wantedPlaces(aWantedPlaces)
  {
  }

  [[nodiscard]] bool IsComplete() const { return this->foundPlaces >= this->wantedPlaces; }

  /// Counts the places in the worker's room that were not counted before.
  /// @param aRoom the room of the worker at the time reached by the plan.
  void AddRoom(WorkerIndex aWorker, const Resources& aRoom)
  {
    std::uint64_t& places = this->placesByWorker[aWorker];
    const std::uint64_t possible = CountFitting(this->request, aRoom, this->wantedPlaces);
    while (places < possible && !this->IsComplete()) {
      ++places;
      ++this->foundPlaces;
    }
  }

  [[nodiscard]] std::vector<ReservedRoom> Rooms() const
  {
    std::vector<ReservedRoom> rooms;
    for (const auto& [worker, places] : this->placesByWorker) {
      if (places > 0) {
        rooms.push_back({ .worker = worker, .amount = Multiply(this->request, places) });
      }
    }
    return rooms;
  }

private:
  Resources request;
  std::uint64_t wantedPlaces = 0;
  std::uint64_t foundPlaces = 0;
  std::unordered_map<WorkerIndex, std::uint64_t> placesByWorker;
};

}

void
ReservationPlanner::ReserveIfEligible(TaskIndex aTask)
{
  if (this->now < this->state.nextReservationAt || !this->IsEligible(aTask)) {
    return;
  }
  if (!this->Reserve(aTask)) {
    this->state.nextReservationAt = this->now + kReservationRetryInterval;
  }
}

bool
ReservationPlanner::IsEligible(TaskIndex aTask) const
{
  const GangReservation& reservation = this->state.reservation;
  const TaskRecord& record = this->state.tasks[aTask];
  if (reservation.Holder() == aTask) {
    return reservation.NeedsReplan(this->now);
  }
  if (reservation.IsActive()) {
    const TaskRecord& holder = this->state.tasks[reservation.Holder()];
    return record.gang != kNoIndex && record.spec.urgency == Urgency::Urgent &&
           holder.spec.urgency != Urgency::Urgent;
  }
  if (record.gang != kNoIndex) {
    return true;
  }
  const auto largeTasksPerWorker = static_cast<std::uint64_t>(1 / kLargeTaskFraction);
  const bool isLarge =
    !Multiply(record.spec.request, largeTasksPerWorker).FitsIn(this->state.pool.MaxCapacity());
  return isLarge && record.spec.urgency == Urgency::Normal &&
         record.spec.workClass != WorkClass::Check &&
         this->now - record.enqueuedAt >= kLargeTaskReservationDelay;
}

bool
ReservationPlanner::Reserve(TaskIndex aTask)
{
  Resources request;
  const std::vector<TaskIndex> members = this->state.MembersOf(aTask);
  for (const TaskIndex member : members) {
    request = ElementwiseMax(request, this->state.SizeForPlacement(member));
  }
  WorkerPool& pool = this->state.pool;
  const auto rooms = pool.Rooms(RoomKind::Backfill);
  PlaceCollector places(request, members.size());
  std::unordered_map<WorkerIndex, Resources> roomByWorker;
  std::unordered_map<WorkerIndex, std::size_t> remainingTasks;
  for (const WorkerIndex worker : pool.PresentWorkers()) {
    if (this->CanTakeTasks(worker)) {
      roomByWorker[worker] = rooms[worker];
      remainingTasks[worker] = pool[worker].tasks.size();
      places.AddRoom(worker, rooms[worker]);
    }
  }
  std::vector<ExpectedEnd> ends = this->CollectExpectedEnds();
  const auto endsLater = [](const ExpectedEnd& aLeft, const ExpectedEnd& aRight) {
    return aLeft.IsLaterThan(aRight);
  };
  std::ranges::make_heap(ends, endsLater);
  TimePoint start = this->now;
  while (!places.IsComplete() && !ends.empty()) {
    std::ranges::pop_heap(ends, endsLater);
    const ExpectedEnd end = ends.back();
    ends.pop_back();
    const Resources maxRoom = pool[end.worker].info.capacity - pool[end.worker].headroom;
    Resources& room = roomByWorker[end.worker];
    room += end.freedResources;
    if (--remainingTasks[end.worker] == 0) {
      // An empty worker offers its full capacity, even if it is slow.
      room = maxRoom;
    }
    start = end.at;
    places.AddRoom(end.worker, ElementwiseMin(room, maxRoom));
  }
  if (!places.IsComplete()) {
    return false;
  }
  this->state.reservation.Set(pool, aTask, places.Rooms(), start, this->now);
  return true;
}

std::vector<ReservationPlanner::ExpectedEnd>
ReservationPlanner::CollectExpectedEnds() const
{
  std::vector<ExpectedEnd> ends;
  for (const WorkerIndex worker : this->state.pool.PresentWorkers()) {
    if (!this->CanTakeTasks(worker)) {
      continue;
    }
    for (const TaskIndex task : this->state.pool[worker].tasks) {
      const TaskRecord& record = this->state.tasks[task];
      if (record.spec.workClass != WorkClass::Service) {
        ends.push_back(
          { .at = this->EstimateEnd(record), .worker = worker, .freedResources = record.charged });
      }
    }
  }
  return ends;
}

TimePoint
ReservationPlanner::EstimateEnd(const TaskRecord& aRecord) const
{
  const Milliseconds elapsed = this->now - aRecord.startedAt;
  const Milliseconds expected = this->state.estimator.EstimateRunTime(aRecord) - elapsed;
  // A task that exceeded its estimate is assumed to need half of its elapsed time again.
  return this->now +
         std::max(
           { expected, expected < Milliseconds(0) ? elapsed / 2 : expected, kMinRemainingRunTime });
}

bool
ReservationPlanner::CanTakeTasks(WorkerIndex aWorker) const
{
  const WorkerRecord& worker = this->state.pool[aWorker];
  return !worker.isClosed && !worker.isOnProbation && worker.mode == WorkerMode::Accepting;
}

}
