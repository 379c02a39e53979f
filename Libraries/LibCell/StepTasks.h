#pragma once

/// @file
/// The tasks of a step. Load: a step has up to 100,000 tasks, most of which have not run yet or
/// have succeeded, and jobs with such steps take few bytes to submit.

#include <LibCell/Task.h>
#include <boost/icl/interval_set.hpp>
#include <map>
#include <optional>

namespace zinc::cell {

/// Holds objects only for tasks that run, or whose runs left something behind. Its memory grows
/// with these, and not with the number of tasks.
class StepTasks
{
public:
  StepTasks() = default;
  /// All tasks wait.
  explicit StepTasks(std::uint32_t aCount);

  [[nodiscard]] std::uint32_t size() const { return this->count; }

  /// @return a task to look at. It may be shared by all tasks in its phase that have no object, and
  /// is valid until the task changes.
  [[nodiscard]] const Task& operator[](std::uint32_t aIndex) const;
  /// @return a task to change. It gets an object if it has none.
  [[nodiscard]] Task& operator[](std::uint32_t aIndex);
  /// @return the task as the constant operator does
  [[nodiscard]] const Task& Look(std::uint32_t aIndex) const { return (*this)[aIndex]; }

  /// Sets the phase of a task that has an object.
  void SetPhase(Task& aTask, TaskPhase aPhase);
  /// Sets the phase of a task that need not have an object, drops its checkpoint, and its object if
  /// nothing in it matters any more.
  void MarkSucceeded(std::uint32_t aIndex);
  /// Sets the phase of all tasks and drops their checkpoints. Objects stay.
  void MarkAllSucceeded();
  /// Drops the objects of succeeded tasks in which nothing matters any more.
  void ReleaseSucceeded();

  /// @return the first waiting task at or after an index
  [[nodiscard]] std::optional<std::uint32_t> FindWaiting(std::uint32_t aFrom) const;
  /// @return the first task at or after an index that has an object or does not wait
  [[nodiscard]] std::optional<std::uint32_t> FindUsed(std::uint32_t aFrom) const;
  /// @return true if all tasks wait and may start at this time
  [[nodiscard]] bool AreDue(TimePoint aTime) const;
  /// @return the tasks that have an object, in the order of their indices; others never ran, or
  /// have succeeded
  [[nodiscard]] const std::map<std::uint32_t, Task>& WithObject() const { return this->objects; }

private:
  using Interval = boost::icl::right_open_interval<std::uint32_t>;

  std::uint32_t count = 0;
  boost::icl::interval_set<std::uint32_t, std::less, Interval> waiting;
  std::map<std::uint32_t, Task> objects;
};

}
