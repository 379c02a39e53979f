#include <LibCell/Job.h>

#include <algorithm>

namespace zinc::cell {

bool
Job::AreAllStartsStored() const
{
  return std::ranges::all_of(this->occurrences, [this](const auto& aOccurrence) {
    return std::ranges::all_of(aOccurrence.second.steps, [this](const StepRun& aRun) {
      return !aRun.isStartRecorded || this->IsStartStored(aRun);
    });
  });
}

const StepSpecification*
Job::FindStep(const TaskKey& aKey) const
{
  return aKey.step < this->spec.steps.size() ? &this->spec.steps[aKey.step] : nullptr;
}

const Task*
Job::FindTask(const TaskKey& aKey) const
{
  const auto occurrence = this->occurrences.find(aKey.occurrence);
  if (occurrence == this->occurrences.end() || aKey.step >= occurrence->second.steps.size() ||
      aKey.index >= occurrence->second.steps[aKey.step].tasks.size()) {
    return nullptr;
  }
  return &occurrence->second.steps[aKey.step].tasks[aKey.index];
}

Task*
Job::FindOrCreateTask(const TaskKey& aKey)
{
  if (this->FindTask(aKey) == nullptr) {
    return nullptr;
  }
  return &this->occurrences.at(aKey.occurrence).steps[aKey.step].tasks[aKey.index];
}

TaskKey
Job::CountedTask(const TaskKey& aKey) const
{
  auto key = aKey;
  key.index = this->spec.steps[aKey.step].isGang ? 0 : aKey.index;
  return key;
}

std::size_t
Job::CountFailures(const TaskKey& aKey) const
{
  return this->FindTask(this->CountedTask(aKey))->failedRuns.size();
}

std::vector<Milliseconds>
ComputeCriticalPaths(const JobSpecification& aSpec)
{
  std::vector<Milliseconds> paths(aSpec.steps.size(), Milliseconds{ 0 });
  // Steps depend on earlier ones only, so that the backward pass sees all dependents first.
  for (std::size_t step = paths.size(); step-- > 0;) {
    paths[step] += aSpec.steps[step].estimate;
    for (const auto dependency : aSpec.steps[step].dependsOn) {
      paths[dependency] = std::max(paths[dependency], paths[step]);
    }
  }
  return paths;
}

Milliseconds
ComputeObjective(const QueuePolicy& aQueue, Milliseconds aCriticalPath)
{
  return aQueue.slack +
         SaturatedMilliseconds(static_cast<double>(aCriticalPath.count()) * aQueue.stretch);
}

std::string_view
ToString(JobOutcome aOutcome)
{
  switch (aOutcome) {
    case JobOutcome::Active:
      return "active";
    case JobOutcome::Succeeded:
      return "succeeded";
    case JobOutcome::Failed:
      return "failed";
    case JobOutcome::Cancelled:
      return "cancelled";
  }
  return "active";
}

}
