#include <LibCell/Job.h>

#include <algorithm>

namespace zinc::cell {

namespace {

Milliseconds
ChainFrom(const JobSpecification& aSpec, std::uint32_t aStep, std::vector<Milliseconds>& aMemory)
{
  if (aMemory[aStep].count() >= 0) {
    return aMemory[aStep];
  }
  Milliseconds longest{ 0 };
  // Steps name earlier ones only, so that the recursion ends.
  for (std::uint32_t next = aStep + 1; next < aSpec.steps.size(); ++next) {
    if (std::ranges::find(aSpec.steps[next].after, aStep) != aSpec.steps[next].after.end()) {
      longest = std::max(longest, ChainFrom(aSpec, next, aMemory));
    }
  }
  aMemory[aStep] = aSpec.steps[aStep].estimate + longest;
  return aMemory[aStep];
}

}

Milliseconds
LongestChain(const JobSpecification& aSpec)
{
  std::vector<Milliseconds> memory(aSpec.steps.size(), Milliseconds{ -1 });
  Milliseconds longest{ 0 };
  for (std::uint32_t step = 0; step < aSpec.steps.size(); ++step) {
    longest = std::max(longest, ChainFrom(aSpec, step, memory));
  }
  return longest;
}

Milliseconds
RemainingChain(const JobSpecification& aSpec, std::uint32_t aStep)
{
  std::vector<Milliseconds> memory(aSpec.steps.size(), Milliseconds{ -1 });
  return ChainFrom(aSpec, aStep, memory);
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
