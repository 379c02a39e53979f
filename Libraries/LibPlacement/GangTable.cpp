#include <LibPlacement/GangTable.h>

namespace zinc {

GangIndex
GangTable::Ensure(const JobId& aJob, std::uint32_t aSize)
{
  const auto found = this->indices.find(aJob);
  if (found != this->indices.end()) {
    return found->second;
  }
  GangIndex index = static_cast<GangIndex>(this->records.size());
  if (this->freeIndices.empty()) {
    this->records.emplace_back();
  } else {
    index = this->freeIndices.back();
    this->freeIndices.pop_back();
  }
  this->records[index] = { .job = aJob, .size = aSize };
  this->indices.emplace(aJob, index);
  return index;
}

GangIndex
GangTable::Find(const JobId& aJob) const
{
  const auto found = this->indices.find(aJob);
  return found == this->indices.end() ? kNoIndex : found->second;
}

void
GangTable::Erase(GangIndex aGang)
{
  this->indices.erase(this->records[aGang].job);
  this->records[aGang] = {};
  this->freeIndices.push_back(aGang);
}

}
