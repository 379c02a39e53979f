#include <LibPlacement/UrgentReservations.h>

#include <algorithm>

namespace zinc {

namespace {

/// Time within which preempted tasks are expected to stop.
constexpr Milliseconds kReservationTimeout{ 3000 };

}

bool
UrgentReservations::IsPending(TaskIndex aTask, TimePoint aNow) const
{
  const auto found = this->reservations.find(aTask);
  return found != this->reservations.end() && aNow - found->second.reservedAt < kReservationTimeout;
}

void
UrgentReservations::Add(WorkerPool& aPool,
                        TaskIndex aTask,
                        WorkerIndex aWorker,
                        const Resources& aAmount,
                        TimePoint aNow)
{
  this->reservations[aTask] = { .worker = aWorker, .amount = aAmount, .reservedAt = aNow };
  aPool.SetReservedForUrgent(aWorker, aPool[aWorker].reservedForUrgent + aAmount);
}

void
UrgentReservations::Release(WorkerPool& aPool, TaskIndex aTask)
{
  const auto found = this->reservations.find(aTask);
  if (found == this->reservations.end()) {
    return;
  }
  const Reservation reservation = found->second;
  this->reservations.erase(found);
  aPool.SetReservedForUrgent(reservation.worker,
                             aPool[reservation.worker].reservedForUrgent - reservation.amount);
}

void
UrgentReservations::OnTaskStarted(WorkerPool& aPool, TaskIndex aTask, WorkerIndex aWorker)
{
  const auto ownEntry = this->reservations.find(aTask);
  if (ownEntry == this->reservations.end()) {
    return;
  }
  if (ownEntry->second.worker != aWorker) {
    const auto isOnWorker = [aWorker](const auto& aEntry) {
      return aEntry.second.worker == aWorker;
    };
    const auto otherEntry = std::ranges::find_if(this->reservations, isOnWorker);
    if (otherEntry != this->reservations.end()) {
      std::swap(ownEntry->second, otherEntry->second);
    }
  }
  this->Release(aPool, aTask);
}

void
UrgentReservations::OnWorkerRemoved(WorkerIndex aWorker)
{
  std::erase_if(this->reservations,
                [aWorker](const auto& aEntry) { return aEntry.second.worker == aWorker; });
}

}
