#include <LibPlacement/SpreadTracker.h>

#include <algorithm>

namespace zinc {

namespace {

/// Weight of a task of the same job; one of the same team and queue weighs 1.
constexpr std::uint32_t kSameJobWeight = 1000;

template<typename Map, typename Key>
void
DecrementCount(Map& aMap, const Key& aKey, DomainIndex aDomain)
{
  const auto counts = aMap.find(aKey);
  if (counts == aMap.end()) {
    return;
  }
  const auto count = counts->second.find(aDomain);
  if (count != counts->second.end() && --count->second == 0) {
    counts->second.erase(count);
  }
  if (counts->second.empty()) {
    aMap.erase(counts);
  }
}

template<typename Map, typename Key>
void
AddPenalties(const Map& aMap,
             const Key& aKey,
             std::uint32_t aWeight,
             std::vector<std::uint32_t>& aPenalties)
{
  const auto counts = aMap.find(aKey);
  if (counts == aMap.end()) {
    return;
  }
  for (const auto& [domain, count] : counts->second) {
    if (domain >= aPenalties.size()) {
      aPenalties.resize(domain + 1);
    }
    aPenalties[domain] += count * aWeight;
  }
}

}

void
SpreadTracker::Add(const TaskRecord& aRecord, DomainIndex aDomain)
{
  ++this->countsByJob[aRecord.spec.job][aDomain];
  ++this->countsByTeamQueue[MakeTeamQueueKey(aRecord)][aDomain];
}

void
SpreadTracker::Remove(const TaskRecord& aRecord, DomainIndex aDomain)
{
  DecrementCount(this->countsByJob, aRecord.spec.job, aDomain);
  DecrementCount(this->countsByTeamQueue, MakeTeamQueueKey(aRecord), aDomain);
}

std::vector<std::uint32_t>
SpreadTracker::ComputePenalties(const TaskRecord& aRecord) const
{
  std::vector<std::uint32_t> penalties;
  AddPenalties(this->countsByJob, aRecord.spec.job, kSameJobWeight, penalties);
  AddPenalties(this->countsByTeamQueue, MakeTeamQueueKey(aRecord), 1, penalties);
  return penalties;
}

}
