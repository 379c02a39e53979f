#pragma once

/// @file
/// Finds the workers whose lease renewal is due. Load: thousands of workers, of which few are due
/// at a time.

#include <LibCell/Worker.h>
#include <queue>
#include <vector>

namespace zinc::cell {

/// Workers by the time of their next renewal. A worker that is scheduled again stays in the queue
/// with its former times as well, so that the user compares with @ref Worker::nextRenewal.
class RenewalQueue
{
public:
  /// Sets when the worker's lease is renewed next.
  void Schedule(Worker& aWorker, TimePoint aTime)
  {
    aWorker.nextRenewal = aTime;
    this->entries.push({ .time = aTime, .worker = aWorker.number });
  }
  /// Renews at this time at the latest.
  void ScheduleAtLatest(Worker& aWorker, TimePoint aTime)
  {
    if (aTime < aWorker.nextRenewal) {
      this->Schedule(aWorker, aTime);
    }
  }
  /// Removes the entries that are due.
  /// @return their workers; some may have been removed or scheduled again meanwhile
  [[nodiscard]] std::vector<WorkerNumber> TakeDue(TimePoint aNow)
  {
    std::vector<WorkerNumber> due;
    while (!this->entries.empty() && this->entries.top().time <= aNow) {
      due.push_back(this->entries.top().worker);
      this->entries.pop();
    }
    return due;
  }

private:
  struct Entry
  {
    TimePoint time{};
    WorkerNumber worker = 0;

    /// Orders the earliest entry first, and entries of one time by worker.
    friend bool operator<(const Entry& aLeft, const Entry& aRight)
    {
      return std::pair(aRight.time, aRight.worker) < std::pair(aLeft.time, aLeft.worker);
    }
  };

  std::priority_queue<Entry> entries;
};

}
