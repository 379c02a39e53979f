#include <LibCell/StepTasks.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// @return true if the progress row, a report about another run of the task, or the choice of runs
/// to stop still depends on the object of a succeeded task
bool
MattersAfterSuccess(const Task& aTask)
{
  const bool hasLostRuns =
    !aTask.crashedRuns.empty() || !aTask.blamedRuns.empty() || !aTask.rackLossRuns.empty();
  return hasLostRuns || !aTask.failedRuns.empty() || aTask.recordedStart.has_value() ||
         aTask.stalledRuns > 0 || aTask.preemptions > 0 || aTask.rejectedStarts > 0;
}

}

StepTasks::StepTasks(std::uint32_t aCount)
  : count(aCount)
{
  this->waiting.add(Interval(0, aCount));
}

const Task&
StepTasks::operator[](std::uint32_t aIndex) const
{
  static const Task waitingTask;
  static const Task succeededTask{ .phase = TaskPhase::Succeeded };
  const auto found = this->objects.find(aIndex);
  if (found != this->objects.end()) {
    return found->second;
  }
  return boost::icl::contains(this->waiting, aIndex) ? waitingTask : succeededTask;
}

Task&
StepTasks::operator[](std::uint32_t aIndex)
{
  const auto phase = this->Look(aIndex).phase;
  return this->objects.try_emplace(aIndex, Task{ .index = aIndex, .phase = phase }).first->second;
}

void
StepTasks::SetPhase(Task& aTask, TaskPhase aPhase)
{
  const Interval task(aTask.index, aTask.index + 1);
  if (aPhase == TaskPhase::Waiting) {
    this->waiting.add(task);
  } else {
    this->waiting.subtract(task);
  }
  aTask.phase = aPhase;
}

void
StepTasks::MarkSucceeded(std::uint32_t aIndex)
{
  this->waiting.subtract(Interval(aIndex, aIndex + 1));
  const auto found = this->objects.find(aIndex);
  if (found == this->objects.end()) {
    return;
  }
  auto& task = found->second;
  task.phase = TaskPhase::Succeeded;
  task.checkpoint.clear();
  if (!MattersAfterSuccess(task)) {
    this->objects.erase(found);
  }
}

void
StepTasks::MarkAllSucceeded()
{
  this->waiting.clear();
  for (auto& [index, task] : this->objects) {
    task.phase = TaskPhase::Succeeded;
    task.checkpoint.clear();
  }
}

void
StepTasks::ReleaseSucceeded()
{
  std::erase_if(this->objects, [](const auto& aItem) {
    return aItem.second.phase == TaskPhase::Succeeded && !MattersAfterSuccess(aItem.second);
  });
}

std::optional<std::uint32_t>
StepTasks::FindWaiting(std::uint32_t aFrom) const
{
  if (aFrom >= this->count) {
    return {};
  }
  const auto found = this->waiting.lower_bound(Interval(aFrom, aFrom + 1));
  if (found == this->waiting.end()) {
    return {};
  }
  return std::max(aFrom, found->lower());
}

std::optional<std::uint32_t>
StepTasks::FindUsed(std::uint32_t aFrom) const
{
  if (aFrom >= this->count) {
    return {};
  }
  const auto waitingAround = this->waiting.find(aFrom);
  auto used = waitingAround == this->waiting.end() ? aFrom : waitingAround->upper();
  const auto object = this->objects.lower_bound(aFrom);
  if (object != this->objects.end()) {
    used = std::min(used, object->first);
  }
  return used < this->count ? std::optional(used) : std::nullopt;
}

bool
StepTasks::AreDue(TimePoint aTime) const
{
  return boost::icl::contains(this->waiting, Interval(0, this->count)) &&
         std::ranges::all_of(this->objects, [aTime](const auto& aItem) {
           return aItem.second.earliestStart <= aTime;
         });
}

}
