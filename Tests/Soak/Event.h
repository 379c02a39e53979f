#pragma once

/// @file
/// What callers and workers saw during a run.

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace zinc::soak {

enum class EventKind : std::uint8_t
{
  /// A caller sent a submission; the text is the key it carried.
  Sent,
  /// A submission was answered with success.
  Accepted,
  /// A submission was refused with a promise that the job never runs.
  Refused,
  /// A submission got no answer or one that promises nothing.
  Unanswered,
  /// A status call showed the state in the text.
  Shown,
  /// A status call was answered that no such job exists.
  Denied,
  CancelSent,
  CancelAnswered,
  /// A worker began a run.
  Started,
  /// A run ended at a worker in the way that the text says.
  Ended,
  /// The system took note of an end.
  Noted,
  /// A worker went with all that ran there; the text says whether it crashed.
  WorkerLost,
  /// A fault began or ended.
  Fault,
  /// An instance was asked to end.
  ExitAsked,
  /// An instance's process ended; the amount is its exit code.
  Exited,
  /// A worker's entry shows another capacity, which is the amount.
  CapacityShown,
  /// The operator's request to evacuate the zone in the place was stored or withdrawn.
  ZoneEvacuated,
  ZoneReturned,
  /// A fault that keeps an instance from the store began or ended.
  StoreDisturbed,
  StoreRestored,
};

/// One observation; fields that do not apply are empty.
struct Event
{
  EventKind kind = EventKind::Fault;
  /// Time since the run began.
  Milliseconds at{ 0 };
  std::string job;
  /// Name of the task on the wire.
  std::string task;
  std::uint64_t run = 0;
  /// Life of a worker or name of an instance.
  std::string place;
  std::string text;
  /// Thousandths of a core in use at the worker with this start, or an exit code.
  std::int64_t amount = 0;
  /// When the order of a start reached the worker, which may have carried it out late.
  Milliseconds orderedAt{ 0 };
};

using History = std::vector<Event>;

/// One step of a job, as the caller planned it.
struct StepPlan
{
  std::uint32_t count = 1;
  /// Thousandths of a core of each task.
  std::int64_t milliCores = 0;
  Milliseconds duration{ 0 };
  bool isGang = false;
  /// Every run of a task fails.
  bool alwaysFails = false;
  /// Each run fails with this probability, in percent.
  std::uint32_t failurePercent = 0;
  /// Every run of a task crashes its worker.
  bool crashesWorkers = false;
};

/// A job, as the caller planned it; every step comes after the one before.
struct JobPlan
{
  std::string id;
  std::string workspace;
  std::vector<StepPlan> steps;
};

/// Collects events. Thread-safe.
class Recorder
{
public:
  /// @return the time since the recorder was made.
  [[nodiscard]] Milliseconds Now() const { return this->At(SteadyClock().Now()); }

  /// @return the time from when the recorder was made to a point in time.
  [[nodiscard]] Milliseconds At(TimePoint aTime) const { return aTime - this->begin; }

  void Record(Event aEvent)
  {
    const std::lock_guard lock(this->mutex);
    aEvent.at = this->Now();
    this->events.push_back(std::move(aEvent));
  }

  void Plan(const JobPlan& aPlan)
  {
    const std::lock_guard lock(this->mutex);
    this->plans[aPlan.id] = aPlan;
  }

  [[nodiscard]] History Events() const
  {
    const std::lock_guard lock(this->mutex);
    return this->events;
  }

  [[nodiscard]] std::map<std::string, JobPlan> Plans() const
  {
    const std::lock_guard lock(this->mutex);
    return this->plans;
  }

private:
  TimePoint begin = SteadyClock().Now();
  mutable std::mutex mutex;
  History events;
  std::map<std::string, JobPlan> plans;
};

}
