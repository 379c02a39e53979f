#include <LibCell/Job.h>

#include <algorithm>

namespace zinc::cell {

std::vector<Milliseconds>
RemainingChains(const JobSpecification& aSpec)
{
  std::vector<Milliseconds> chains(aSpec.steps.size(), Milliseconds{ 0 });
  // Steps name earlier ones only, so that all that follow a step are done before it.
  for (std::size_t step = chains.size(); step-- > 0;) {
    chains[step] += aSpec.steps[step].estimate;
    for (const auto before : aSpec.steps[step].dependsOn) {
      chains[before] = std::max(chains[before], chains[step]);
    }
  }
  return chains;
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
