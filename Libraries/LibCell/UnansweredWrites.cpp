#include <LibCell/UnansweredWrites.h>

namespace zinc::cell {

void
UnansweredWrites::Add(const JobId& aJob, TimePoint aNow)
{
  const auto expiry = aNow + kMaxWriteDelay;
  this->expiryByJob[aJob] = expiry;
  this->byExpiry.emplace_back(expiry, aJob);
}

bool
UnansweredWrites::Contains(const JobId& aJob, TimePoint aNow) const
{
  const auto found = this->expiryByJob.find(aJob);
  return found != this->expiryByJob.end() && found->second > aNow;
}

bool
UnansweredWrites::IsFull(TimePoint aNow)
{
  while (!this->byExpiry.empty() && this->byExpiry.front().first <= aNow) {
    if (!this->Contains(this->byExpiry.front().second, aNow)) {
      this->expiryByJob.erase(this->byExpiry.front().second);
    }
    this->byExpiry.pop_front();
  }
  return this->byExpiry.size() >= this->maxJobs;
}

}
