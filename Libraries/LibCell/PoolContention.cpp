#include <LibCell/PoolContention.h>

#include <algorithm>

namespace zinc::cell {

void
PoolContention::SetPolicy(const CellPolicy& aPolicy)
{
  this->limitedMilliCores = 0;
  this->unlimitedWorkspaces = 0;
  for (const auto& [name, workspace] : aPolicy.workspaces) {
    this->limitedMilliCores += workspace.quota.milliCores;
    this->unlimitedWorkspaces += workspace.quota.milliCores == 0 ? 1 : 0;
  }
  for (auto& [name, state] : this->pools) {
    this->UpdateState(state);
  }
}

void
PoolContention::UpdateCapacity(std::string_view aPool, std::int64_t aMilliCores)
{
  auto found = this->pools.find(aPool);
  if (found == this->pools.end()) {
    found = this->pools.emplace(std::string(aPool), PoolState{}).first;
  }
  if (aMilliCores > found->second.milliCores) {
    found->second.milliCores = aMilliCores;
    this->UpdateState(found->second);
  }
}

bool
PoolContention::IsContended(std::string_view aPool) const
{
  const auto found = this->pools.find(aPool);
  return found != this->pools.end() && found->second.isContended;
}

bool
PoolContention::HasContendedPool() const
{
  return std::ranges::any_of(this->pools,
                             [](const auto& aEntry) { return aEntry.second.isContended; });
}

double
PoolContention::OversubscriptionOf(std::string_view aPool) const
{
  const auto found = this->pools.find(aPool);
  return found == this->pools.end() ? 0.0 : this->OversubscriptionOf(found->second);
}

double
PoolContention::OversubscriptionOf(const PoolState& aState) const
{
  if (aState.milliCores == 0) {
    return 0.0;
  }
  return static_cast<double>(this->limitedMilliCores) / static_cast<double>(aState.milliCores) +
         static_cast<double>(this->unlimitedWorkspaces);
}

void
PoolContention::UpdateState(PoolState& aState) const
{
  const double threshold =
    this->options.oversubscriptionThreshold - (aState.isContended ? this->options.hysteresis : 0.0);
  aState.isContended = this->OversubscriptionOf(aState) >= threshold;
}

}
