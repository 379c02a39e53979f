#include <LibCell/Job.h>

#include <algorithm>

namespace zinc::cell {

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
  return aQueue.slack + Milliseconds(static_cast<std::int64_t>(
                          static_cast<double>(aCriticalPath.count()) * aQueue.stretch));
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
