#pragma once

/// @file
/// Calling a function later.

#include <LibBase/Time.h>
#include <functional>

namespace zinc::cell {

/// Runs functions on the control thread after a delay.
class TimerPort
{
public:
  virtual ~TimerPort() = default;
  virtual void RunAfter(Milliseconds aDelay, std::function<void()> aFunction) = 0;
};

}
