#include <LibCell/TombstoneBudget.h>

#include <algorithm>

namespace zinc::cell {

TombstoneBudget::TombstoneBudget(TombstoneBudgetOptions aOptions)
  : options(aOptions)
  , share(std::max(aOptions.minShare, aOptions.maxOfCell))
{
}

void
TombstoneBudget::SetInstanceCount(std::size_t aCount)
{
  const auto evenShare = this->options.maxOfCell / std::max<std::size_t>(1, aCount);
  this->share = std::max(this->options.minShare, evenShare);
}

std::optional<Milliseconds>
TombstoneBudget::Take(const WorkspaceId& aWorkspace, TimePoint aNow)
{
  this->RemoveOlderThan(aNow - this->options.window);
  auto& ofWorkspace = this->takenByWorkspace[aWorkspace];
  const bool isWorkspaceAtLimit = !ofWorkspace.empty() && ofWorkspace.size() >= this->share / 2;
  if (isWorkspaceAtLimit || this->taken.size() >= this->share) {
    const auto oldest = isWorkspaceAtLimit ? ofWorkspace.front() : this->taken.front().first;
    return std::max(Milliseconds{ 1 }, oldest + this->options.window - aNow);
  }
  this->taken.emplace_back(aNow, aWorkspace);
  ofWorkspace.push_back(aNow);
  return {};
}

void
TombstoneBudget::RemoveOlderThan(TimePoint aTime)
{
  while (!this->taken.empty() && this->taken.front().first <= aTime) {
    this->takenByWorkspace[this->taken.front().second].pop_front();
    this->taken.pop_front();
  }
  std::erase_if(this->takenByWorkspace, [](const auto& aEntry) { return aEntry.second.empty(); });
}

}
