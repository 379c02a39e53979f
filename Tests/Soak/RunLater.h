#pragma once

/// @file
/// Calling a function later on a context.

#include <LibBase/Time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace zinc::soak {

/// Calls a function after a time.
/// @param aGuard the function is not called once this is gone
inline void
RunLater(boost::asio::io_context& aContext,
         Milliseconds aDelay,
         std::weak_ptr<const void> aGuard,
         std::function<void()> aFunction)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(aContext, aDelay);
  timer->async_wait(
    [timer, guard = std::move(aGuard), function = std::move(aFunction)](boost::system::error_code) {
      if (guard.lock()) {
        function();
      }
    });
}

}
