#include <LibCell/LostWorkers.h>

#include <chrono>
#include <iterator>

namespace zinc::cell {

void
LostWorkers::Add(WorkerLoss aLoss)
{
  const auto [found, isNew] = this->byMachine.try_emplace(aLoss.machine);
  auto& known = found->second;
  if (!isNew && known.incarnation > aLoss.incarnation) {
    return;
  }
  if (!isNew && known.incarnation == aLoss.incarnation) {
    // The runs were recorded when the lease expired; the worker had nothing afterwards.
    std::move(known.runs.begin(), known.runs.end(), std::back_inserter(aLoss.runs));
    aLoss.isCrash = known.isCrash;
  }
  known = std::move(aLoss);
}

std::optional<WorkerLoss>
LostWorkers::ConfirmCrash(const std::string& aMachine, std::int64_t aLaterIncarnation)
{
  const auto found = this->byMachine.find(aMachine);
  const bool isUnconfirmed = found != this->byMachine.end() && !found->second.isCrash &&
                             found->second.incarnation < aLaterIncarnation;
  if (!isUnconfirmed) {
    return {};
  }
  found->second.isCrash = true;
  return found->second;
}

void
LostWorkers::Dismiss(const std::string& aMachine, std::int64_t aIncarnation)
{
  const auto found = this->byMachine.find(aMachine);
  if (found != this->byMachine.end() && found->second.incarnation == aIncarnation) {
    this->byMachine.erase(found);
  }
}

void
LostWorkers::RemoveOlderThan(TimePoint aTime)
{
  std::erase_if(this->byMachine,
                [aTime](const auto& aItem) { return aItem.second.lastContact < aTime; });
}

std::vector<const WorkerLoss*>
LostWorkers::FindInRack(const RackId& aRack, TimePoint aTime, Milliseconds aWindow) const
{
  std::vector<const WorkerLoss*> losses;
  for (const auto& [machine, loss] : this->byMachine) {
    if (loss.rack == aRack && std::chrono::abs(loss.lastContact - aTime) <= aWindow) {
      losses.push_back(&loss);
    }
  }
  return losses;
}

}
