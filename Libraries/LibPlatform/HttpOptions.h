#pragma once

/// @file
/// Settings that the HTTP clients of the platform share.

#include <LibBase/Time.h>
#include <LibPlatform/InstanceList.h>
#include <boost/asio/any_io_executor.hpp>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace zinc {

/// How a client reaches one service and where its work runs.
struct HttpOptions
{
  /// Equivalent addresses of the service; the next one is used after a failure of one.
  std::vector<Endpoint> endpoints;
  /// Upper bound of open connections.
  std::size_t connections = 64;
  /// Upper bound of requests that wait for a connection; more are refused as overloaded.
  std::size_t queueLimit = 4096;
  /// Longest reply body accepted, in bytes.
  std::size_t replyLimit = std::size_t{ 64 } << 20;
  /// Longest head of a reply accepted, in bytes.
  std::uint32_t headLimit = std::uint32_t{ 8 } << 10;
  /// Room of a connection's read buffer, in bytes. A reply that does not fit takes several reads,
  /// between which a busy process does other work. What cannot be consumed before its end, as a
  /// chunk extension or a trailer, may take this and @ref headLimit together.
  std::size_t readBufferBytes = 2048;
  Milliseconds connectTimeout{ 500 };
  /// Bounds a request from its call to its reply, beside the wait that it asks for itself.
  Milliseconds requestTimeout{ 2000 };
  /// How long the system tries to deliver what the other end does not acknowledge, also after the
  /// connection was closed: a request that was given up must not arrive much later.
  Milliseconds deliveryTimeout{ 10000 };
  /// A connection that has been unused for this long is closed instead of used again.
  Milliseconds idleLimit{ 30000 };
  /// Names this process and its availability zone to the service.
  std::string userAgent = "zincshore";
  /// Runs the connections, encoding and decoding; may have several threads.
  boost::asio::io_context& traffic;
  /// Runs every handler.
  boost::asio::any_io_executor control;
};

}
