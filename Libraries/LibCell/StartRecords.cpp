#include <LibCell/StartRecords.h>

namespace zinc::cell {

bool
StartRecords::Promise(bool aAreAllStored, TimePoint aNow)
{
  // The store may carry out a write late. One that is made while earlier ones, or records of
  // starts, are unanswered must not promise what an outage makes obsolete.
  constexpr Milliseconds kMaxUnstoredTime{ 800 };
  this->areComplete = this->areComplete || aAreAllStored;
  const bool isStoreLate = aNow - this->lastStoredReport >= kMaxUnstoredTime ||
                           (this->waitingSince && aNow - *this->waitingSince >= kMaxUnstoredTime);
  const bool isPromised = this->areComplete && !isStoreLate;
  if (isPromised) {
    this->promisedUntil = aNow + kStartRecordPromise;
  }
  return isPromised;
}

bool
StartRecords::AllowsUnrecordedStart(TimePoint aNow)
{
  if (aNow < this->promisedUntil) {
    this->waitingSince = this->waitingSince.value_or(aNow);
    return false;
  }
  this->areComplete = false;
  return true;
}

}
