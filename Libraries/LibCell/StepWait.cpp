#include <LibCell/StepWait.h>

#include <numeric>

namespace zinc::cell {

void
StepWait::RecordAttempt(WaitReason aReason, TimePoint aNow)
{
  if (aReason == WaitReason::None) {
    *this = {};
    return;
  }
  if (this->lastReason != WaitReason::None) {
    this->times.at(static_cast<std::size_t>(this->lastReason)) += aNow - this->lastAttempt;
  }
  this->lastReason = aReason;
  this->lastAttempt = aNow;
}

Milliseconds
StepWait::Total() const
{
  return std::accumulate(this->times.begin(), this->times.end(), Milliseconds{ 0 });
}

}
