#include <LibCell/TombstoneAges.h>

namespace zinc::cell {

void
TombstoneAges::Add(const JobId& aJob, std::uint64_t aVersion, TimePoint aExpiry)
{
  const auto known = this->byJob.find(aJob);
  if (known != this->byJob.end() && known->second.version >= aVersion) {
    return;
  }
  this->Remove(aJob, aVersion);
  this->byJob[aJob] = { .version = aVersion, .expiry = aExpiry };
  this->byExpiry.emplace(aExpiry, aJob);
}

void
TombstoneAges::Remove(const JobId& aJob, std::uint64_t aVersion)
{
  const auto known = this->byJob.find(aJob);
  if (known != this->byJob.end() && known->second.version <= aVersion) {
    this->byExpiry.erase({ known->second.expiry, aJob });
    this->byJob.erase(known);
  }
}

std::vector<ExpiredTombstone>
TombstoneAges::FindExpired(TimePoint aNow, std::size_t aMaxCount) const
{
  std::vector<ExpiredTombstone> expired;
  for (const auto& [expiry, job] : this->byExpiry) {
    if (expiry > aNow || expired.size() >= aMaxCount) {
      break;
    }
    expired.push_back({ .job = job, .version = this->byJob.at(job).version });
  }
  return expired;
}

}
