#pragma once

/// @file
/// Timers that run as a test advances its clock.

#include <LibCell/Timer.h>
#include <algorithm>
#include <map>

namespace zinc {

/// Runs functions as the test advances the clock.
class ManualTimer final : public cell::TimerPort
{
public:
  explicit ManualTimer(ManualClock& aClock)
    : clock(aClock)
  {
  }

  void RunAfter(Milliseconds aDelay, std::function<void()> aFunction) override
  {
    this->functionsByDueTime.emplace(this->clock.Now() + aDelay, std::move(aFunction));
  }

  void Advance(Milliseconds aTime)
  {
    const auto until = this->clock.Now() + aTime;
    while (!this->functionsByDueTime.empty() && this->functionsByDueTime.begin()->first <= until) {
      auto next = this->functionsByDueTime.extract(this->functionsByDueTime.begin());
      this->clock.Advance(std::max(Milliseconds{ 0 }, next.key() - this->clock.Now()));
      next.mapped()();
    }
    this->clock.Advance(until - this->clock.Now());
  }

private:
  ManualClock& clock;
  std::multimap<TimePoint, std::function<void()>> functionsByDueTime;
};

}
