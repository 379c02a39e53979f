#include <LibCell/Placement.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace zinc::cell {

namespace {

bool
IsOutsideDataRack(const Worker& aWorker, const StepSpecification& aStep)
{
  return !aStep.dataRack.empty() && aWorker.entry.rack.value != aStep.dataRack;
}

std::uint32_t
CountFittingMembers(const Worker& aWorker, const StepSpecification& aStep)
{
  return CountFittingTasks(aWorker, AllocatedDemand(aStep), MaxTasksPerWorker(aStep));
}

/// A worker with its sort key, which is computed once.
struct RankedWorker
{
  std::tuple<int, bool, std::int64_t> rank;
  std::uint32_t room = 0;
  Worker* worker = nullptr;
};

/// @return the first workers in the order of their ranks that have room for the gang and whose
/// speeds differ by at most @p aRange; all workers if there are none
std::span<const RankedWorker>
FindEqualSpeeds(std::span<const RankedWorker> aRanked, std::uint32_t aCount, int aRange)
{
  const auto speedOf = [](const RankedWorker& aWorker) { return std::get<0>(aWorker.rank); };
  std::uint64_t room = 0;
  std::size_t end = 0;
  for (std::size_t begin = 0; begin < aRanked.size(); ++begin) {
    const auto maxSpeed = speedOf(aRanked[begin]) + aRange;
    for (; end < aRanked.size() && speedOf(aRanked[end]) <= maxSpeed; ++end) {
      room += aRanked[end].room;
    }
    if (room >= aCount) {
      return aRanked.subspan(begin, end - begin);
    }
    room -= aRanked[begin].room;
  }
  return aRanked;
}

std::optional<std::vector<Worker*>>
FillGang(std::span<Worker* const> aWorkers,
         const StepSpecification& aStep,
         const WorkerRanking& aRanking)
{
  std::vector<RankedWorker> ranked;
  std::uint64_t total = 0;
  for (auto* worker : aWorkers) {
    const auto room = CountFittingMembers(*worker, aStep);
    if (room == 0) {
      continue;
    }
    total += room;
    ranked.push_back({ .rank = { aRanking.RankOf(*worker),
                                 IsOutsideDataRack(*worker, aStep),
                                 -std::int64_t{ room } },
                       .room = room,
                       .worker = worker });
  }
  if (total < aStep.count) {
    return {};
  }
  std::ranges::stable_sort(ranked, {}, &RankedWorker::rank);
  std::vector<Worker*> chosen;
  const std::span<const RankedWorker> all(ranked);
  const auto range = aRanking.GangSpeedRange();
  const auto usable = range ? FindEqualSpeeds(all, aStep.count, *range) : all;
  for (const auto& entry : usable) {
    const auto remaining = aStep.count - static_cast<std::uint32_t>(chosen.size());
    chosen.insert(chosen.end(), std::min(entry.room, remaining), entry.worker);
    if (chosen.size() == aStep.count) {
      break;
    }
  }
  return chosen;
}

/// @return the workers grouped by rack, the rack of the data first.
std::vector<std::vector<Worker*>>
GroupByRack(std::span<Worker* const> aWorkers, const StepSpecification& aStep)
{
  std::map<std::pair<bool, RackId>, std::vector<Worker*>> racks;
  for (auto* worker : aWorkers) {
    racks[{ IsOutsideDataRack(*worker, aStep), worker->entry.rack }].push_back(worker);
  }
  std::vector<std::vector<Worker*>> sorted;
  for (auto& [key, workers] : racks) {
    sorted.push_back(std::move(workers));
  }
  return sorted;
}

}

Resources
AllocatedDemand(const StepSpecification& aStep)
{
  auto demand = aStep.demand;
  if (aStep.isBestEffort) {
    demand.milliCores = 0;
  }
  return demand;
}

std::uint32_t
MaxTasksPerWorker(const StepSpecification& aStep)
{
  return aStep.maxTasksPerWorker == 0 ? aStep.count
                                      : std::min(aStep.count, aStep.maxTasksPerWorker);
}

std::uint32_t
CountFreeRuns(const Worker& aWorker)
{
  const auto runs = static_cast<std::uint32_t>(aWorker.allocations.size());
  return kMaxRunsPerWorker - std::min(runs, kMaxRunsPerWorker);
}

std::uint32_t
CountFittingTasks(const Worker& aWorker, const Resources& aDemand, std::uint32_t aMax)
{
  return CountFittingTasks(
    aWorker.FreeResources(), aDemand, std::min(aMax, CountFreeRuns(aWorker)));
}

std::uint32_t
CountFittingTasks(const Resources& aFree, const Resources& aDemand, std::uint32_t aMax)
{
  auto room = static_cast<std::int64_t>(aMax);
  const auto bound = [&room](std::int64_t aAmount, std::int64_t aNeed) {
    if (aNeed > 0) {
      room = std::min(room, std::max<std::int64_t>(0, aAmount) / aNeed);
    }
  };
  bound(aFree.milliCores, aDemand.milliCores);
  bound(aFree.memoryMiB, aDemand.memoryMiB);
  bound(aFree.accelerators, aDemand.accelerators);
  return static_cast<std::uint32_t>(room);
}

std::uint32_t
CountRoom(std::span<Worker* const> aWorkers, const StepSpecification& aStep, std::uint32_t aMax)
{
  const auto demand = AllocatedDemand(aStep);
  std::uint32_t room = 0;
  for (const auto* worker : aWorkers) {
    room += CountFittingTasks(*worker, demand, aMax);
    if (room >= aMax) {
      break;
    }
  }
  return room;
}

bool
HasRequiredLabel(const Worker& aWorker, const StepSpecification& aStep)
{
  return aStep.requiredLabel.empty() ||
         std::ranges::find(aWorker.entry.labels, aStep.requiredLabel) != aWorker.entry.labels.end();
}

Worker*
ChooseWorker(std::span<Worker* const> aWorkers,
             const StepSpecification& aStep,
             const TaskCountFunction& aCount,
             const WorkerRanking& aRanking)
{
  const auto demand = AllocatedDemand(aStep);
  Worker* best = nullptr;
  std::tuple<bool, int, double> bestRank;
  for (auto* worker : aWorkers) {
    const bool isFull = aStep.maxTasksPerWorker > 0 && aCount(*worker) >= aStep.maxTasksPerWorker;
    if (isFull || CountFittingTasks(*worker, demand, 1) == 0) {
      continue;
    }
    // Withheld capacity counts as free, so that an idle cold worker is not ranked as a tight fit.
    const double freeShare = DominantShare(worker->UnusedResources(), worker->entry.capacity);
    const std::tuple rank(IsOutsideDataRack(*worker, aStep), aRanking.RankOf(*worker), freeShare);
    if (best == nullptr || rank < bestRank) {
      best = worker;
      bestRank = rank;
    }
  }
  return best;
}

std::optional<std::vector<Worker*>>
AssignGang(std::span<Worker* const> aWorkers,
           const StepSpecification& aStep,
           const WorkerRanking& aRanking)
{
  if (aStep.prefersSameRack) {
    for (const auto& rack : GroupByRack(aWorkers, aStep)) {
      if (auto chosen = FillGang(rack, aStep, aRanking)) {
        return chosen;
      }
    }
  }
  return FillGang(aWorkers, aStep, aRanking);
}

}
