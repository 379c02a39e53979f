#include <LibPlacement/ReservationPlanner.h>

#include <LibPlacement/ResourceMath.h>
#include <algorithm>

namespace zinc {

namespace {

constexpr Milliseconds kShortestRest{ 100 };
/// A single task may have a reservation after this wait.
constexpr Milliseconds kLargeTaskPatience{ 10'000 };
/// Part of a worker from which a single task is so large that small ones may starve it.
constexpr double kLargePart = 0.25;
constexpr Milliseconds kRetryInterval{ 1000 };

/// Collects places for copies of one size until there are enough.
class PlaceCollector
{
public:
  PlaceCollector(const Resources& aRequest, std::uint64_t aWanted)
    : request(aRequest)
    , wanted(aWanted)
  {
  }

  [[nodiscard]] bool IsComplete() const { return this->found >= this->wanted; }

  /// Counts the places that the worker's room has over those counted before.
  void Offer(WorkerIndex aWorker, const Resources& aRoom)
  {
    std::uint64_t& places = this->placesOf[aWorker];
    const std::uint64_t possible = CountFitting(this->request, aRoom, this->wanted);
    while (places < possible && !this->IsComplete()) {
      ++places;
      ++this->found;
    }
  }

  [[nodiscard]] std::vector<ReservedRoom> Rooms() const
  {
    std::vector<ReservedRoom> rooms;
    for (const auto& [worker, places] : this->placesOf) {
      if (places > 0) {
        rooms.push_back({ .worker = worker, .amount = Multiply(this->request, places) });
      }
    }
    return rooms;
  }

private:
  Resources request;
  std::uint64_t wanted = 0;
  std::uint64_t found = 0;
  std::unordered_map<WorkerIndex, std::uint64_t> placesOf;
};

}

void
ReservationPlanner::ReserveIfEligible(TaskIndex aTask)
{
  if (this->now < this->state.nextReservationAt || !this->DeservesReservation(aTask)) {
    return;
  }
  if (!this->Reserve(aTask)) {
    this->state.nextReservationAt = this->now + kRetryInterval;
  }
}

bool
ReservationPlanner::DeservesReservation(TaskIndex aTask) const
{
  const GangReservation& reservation = this->state.reservation;
  const TaskRecord& record = this->state.tasks[aTask];
  if (reservation.Holder() == aTask) {
    return reservation.IsOverdue(this->now);
  }
  if (reservation.IsActive()) {
    const TaskRecord& holder = this->state.tasks[reservation.Holder()];
    return record.gang != kNoIndex && record.spec.urgency == Urgency::Urgent &&
           holder.spec.urgency != Urgency::Urgent;
  }
  if (record.gang != kNoIndex) {
    return true;
  }
  const auto timesLarge = static_cast<std::uint64_t>(1 / kLargePart);
  const bool isLarge =
    !Multiply(record.spec.request, timesLarge).FitsIn(this->state.pool.MaxCapacity());
  return isLarge && record.spec.urgency == Urgency::Normal &&
         record.spec.workClass != WorkClass::Check &&
         this->now - record.enqueuedAt >= kLargeTaskPatience;
}

bool
ReservationPlanner::Reserve(TaskIndex aTask)
{
  Resources request;
  const std::vector<TaskIndex> members = this->state.MembersOf(aTask);
  for (const TaskIndex member : members) {
    request = ElementwiseMax(request, this->state.SizeOf(member));
  }
  WorkerPool& pool = this->state.pool;
  const auto rooms = pool.Rooms(RoomKind::Backfill);
  PlaceCollector places(request, members.size());
  std::unordered_map<WorkerIndex, Resources> roomAt;
  std::unordered_map<WorkerIndex, std::size_t> tasksLeft;
  for (const WorkerIndex worker : pool.PresentWorkers()) {
    if (this->IsOpen(worker)) {
      roomAt[worker] = rooms[worker];
      tasksLeft[worker] = pool[worker].tasks.size();
      places.Offer(worker, rooms[worker]);
    }
  }
  std::vector<ExpectedEnd> ends = this->ExpectedEnds();
  const auto isLater = [](const ExpectedEnd& aLeft, const ExpectedEnd& aRight) {
    return aLeft.IsLaterThan(aRight);
  };
  std::ranges::make_heap(ends, isLater);
  TimePoint start = this->now;
  while (!places.IsComplete() && !ends.empty()) {
    std::ranges::pop_heap(ends, isLater);
    const ExpectedEnd end = ends.back();
    ends.pop_back();
    const Resources whole = pool[end.worker].info.capacity - pool[end.worker].headroom;
    Resources& room = roomAt[end.worker];
    room += end.freed;
    if (--tasksLeft[end.worker] == 0) {
      // An empty worker offers everything, also if it is slow.
      room = whole;
    }
    start = end.at;
    places.Offer(end.worker, ElementwiseMin(room, whole));
  }
  if (!places.IsComplete()) {
    return false;
  }
  this->state.reservation.Set(pool, aTask, places.Rooms(), start, this->now);
  return true;
}

std::vector<ReservationPlanner::ExpectedEnd>
ReservationPlanner::ExpectedEnds() const
{
  std::vector<ExpectedEnd> ends;
  for (const WorkerIndex worker : this->state.pool.PresentWorkers()) {
    if (!this->IsOpen(worker)) {
      continue;
    }
    for (const TaskIndex task : this->state.pool[worker].tasks) {
      const TaskRecord& record = this->state.tasks[task];
      if (record.spec.workClass != WorkClass::Service) {
        ends.push_back(
          { .at = this->ExpectedEndOf(record), .worker = worker, .freed = record.charged });
      }
    }
  }
  return ends;
}

TimePoint
ReservationPlanner::ExpectedEndOf(const TaskRecord& aRecord) const
{
  const Milliseconds elapsed = this->now - aRecord.startedAt;
  const Milliseconds expected = this->state.estimator.Run(aRecord) - elapsed;
  // A task that outran its estimate is taken to need half of what it has had.
  return this->now +
         std::max({ expected, expected < Milliseconds(0) ? elapsed / 2 : expected, kShortestRest });
}

bool
ReservationPlanner::IsOpen(WorkerIndex aWorker) const
{
  const WorkerRecord& worker = this->state.pool[aWorker];
  return !worker.isClosed && !worker.isOnProbation && worker.mode == WorkerMode::Accepting;
}

}
