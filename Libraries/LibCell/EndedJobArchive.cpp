#include <LibCell/EndedJobArchive.h>

namespace zinc::cell {

void
EndedJobArchive::Add(const JobId& aJob, EndedJobRecord aRecord, TimePoint aNow)
{
  const auto [added, isNew] = this->records.try_emplace(aJob, std::move(aRecord));
  if (isNew) {
    this->byAge.emplace_back(aNow, &*added);
  }
}

const EndedJobRecord*
EndedJobArchive::Find(const JobId& aJob) const
{
  const auto found = this->records.find(aJob);
  return found == this->records.end() ? nullptr : &found->second;
}

void
EndedJobArchive::RemoveOlderThan(TimePoint aTime)
{
  while (!this->byAge.empty() && this->byAge.front().first < aTime) {
    // The key is copied, since the element goes with it.
    const auto job = this->byAge.front().second->first;
    this->byAge.pop_front();
    this->records.erase(job);
  }
}

}
