#include <LibCell/Pool.h>

#include <LibCell/Placement.h>
#include <algorithm>
#include <functional>

namespace zinc::cell {

std::span<Worker* const>
Pool::SortByFreeCores()
{
  if (this->byFreeCores.empty()) {
    this->byFreeCores = this->workers;
    std::ranges::stable_sort(this->byFreeCores, std::greater{}, [](const Worker* aWorker) {
      return aWorker->FreeResources().milliCores;
    });
  }
  return this->byFreeCores;
}

bool
Pool::HasRoomFor(const StepSpecification& aStep)
{
  const auto demand = AllocatedDemand(aStep);
  const std::uint32_t needed = aStep.isGang ? aStep.count : 1;
  const std::pair searched(demand, needed);
  if (std::ranges::find(this->demandsWithoutRoom, searched) != this->demandsWithoutRoom.end()) {
    return false;
  }
  std::uint32_t room = 0;
  for (const auto* worker : this->SortByFreeCores()) {
    room += CountFittingTasks(*worker, demand, needed);
    if (room >= needed) {
      return true;
    }
  }
  this->demandsWithoutRoom.push_back(searched);
  return false;
}

}
