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
  const auto ofWorkspace = this->takenByWorkspace.find(aWorkspace);
  const bool isWorkspaceAtLimit =
    ofWorkspace != this->takenByWorkspace.end() && ofWorkspace->second >= this->share / 2;
  if (isWorkspaceAtLimit || this->taken.size() >= this->share) {
    const auto oldest = this->FindOldest(isWorkspaceAtLimit ? &aWorkspace : nullptr);
    return std::max(Milliseconds{ 1 }, oldest + this->options.window - aNow);
  }
  this->taken.emplace_back(aNow, aWorkspace);
  ++this->takenByWorkspace[aWorkspace];
  return {};
}

void
TombstoneBudget::RemoveOlderThan(TimePoint aTime)
{
  while (!this->taken.empty() && this->taken.front().first <= aTime) {
    const auto ofWorkspace = this->takenByWorkspace.find(this->taken.front().second);
    if (--ofWorkspace->second == 0) {
      this->takenByWorkspace.erase(ofWorkspace);
    }
    this->taken.pop_front();
  }
}

TimePoint
TombstoneBudget::FindOldest(const WorkspaceId* aWorkspace) const
{
  return std::ranges::find_if(this->taken,
                              [aWorkspace](const auto& aEntry) {
                                return aWorkspace == nullptr || aEntry.second == *aWorkspace;
                              })
    ->first;
}

}
