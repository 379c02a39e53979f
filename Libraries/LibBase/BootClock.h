#pragma once

/// @file
/// A clock that goes on while the machine is suspended.

#include <LibBase/Time.h>
#include <ctime>

namespace zinc {

/// Time since the machine started, suspension included. Leases are judged by it: a holder that was
/// suspended has to find its lease lapsed when it wakes.
class BootClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const override
  {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::duration_cast<Milliseconds>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
  }
};

}
