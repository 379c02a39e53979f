#pragma once

/// @file
/// Timers of the control thread.

#include <LibBase/Time.h>
#include <functional>

namespace zinc::cell {

/// Runs functions on the control thread after a delay.
class TimerPort
{
public:
  virtual ~TimerPort() = default;
  /// Runs the function once after the delay.
  virtual void RunAfter(Milliseconds aDelay, std::function<void()> aFunction) = 0;
};

}
