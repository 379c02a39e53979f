#include <LibCell/AdviceClaims.h>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace zinc::cell {

void
AdviceClaims::Add(std::span<const WorkerNumber> aWorkers, std::int64_t aMilliCores)
{
  for (const auto worker : aWorkers) {
    if (worker >= this->milliCores.size()) {
      this->milliCores.resize(worker + 1);
    }
    this->milliCores[worker] += aMilliCores;
  }
  ++this->requests;
}

void
AdviceClaims::Remove(std::span<const WorkerNumber> aWorkers, std::int64_t aMilliCores)
{
  for (const auto worker : aWorkers) {
    this->milliCores[worker] -= aMilliCores;
  }
  --this->requests;
}

std::vector<Worker*>
AdviceClaims::SortByUnclaimedCores(std::span<Worker* const> aWorkers, bool aKeepsBands) const
{
  // A worker with its sort key, which is computed once.
  struct Entry
  {
    std::size_t group = 0;
    std::int64_t missingCores = 0;
    Worker* worker = nullptr;
  };
  std::vector<Entry> entries;
  entries.reserve(aWorkers.size());
  std::size_t group = 0;
  for (auto* worker : aWorkers) {
    const bool isNewBand =
      !entries.empty() && entries.back().worker->speed.band != worker->speed.band;
    group += aKeepsBands && isNewBand ? 1 : 0;
    entries.push_back(
      { .group = group,
        .missingCores = this->ClaimAt(worker->number) - worker->FreeResources().milliCores,
        .worker = worker });
  }
  std::ranges::stable_sort(
    entries, {}, [](const Entry& aEntry) { return std::tuple(aEntry.group, aEntry.missingCores); });
  std::vector<Worker*> sorted;
  sorted.reserve(entries.size());
  std::ranges::transform(entries, std::back_inserter(sorted), &Entry::worker);
  return sorted;
}

}
