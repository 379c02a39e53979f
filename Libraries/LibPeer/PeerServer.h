#pragma once

/// @file
/// Serves the calls of peers.

#include <LibPeer/PeerMessages.h>
#include <LibPlatform/InstanceList.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

namespace zinc {

/// Largest message between peers, in bytes.
inline constexpr std::uint32_t kPeerMessageBytesLimit = 16U * 1024 * 1024;

/// Where a server listens and runs.
struct PeerServerOptions
{
  Endpoint listen;
  /// Runs the connections; must outlive the server.
  boost::asio::io_context& traffic;
  /// Runs the handler.
  boost::asio::any_io_executor control;
  /// Upper bound of open connections. A further one closes the one that has sent no message for
  /// longest, since a peer sends several a second.
  std::size_t maxConnections = 256;
};

/// Accepts connections from peers and dispatches their JSON-RPC calls. Frames are a length of four
/// bytes, most significant first, and that many bytes of JSON.
class PeerServer
{
public:
  /// Opens the port.
  /// @param aHandler must outlive the server
  /// @return @ref ErrorCode::Unavailable if the address cannot be used.
  [[nodiscard]] static Result<std::shared_ptr<PeerServer>> Create(PeerServerOptions aOptions,
                                                                  PeerHandler& aHandler);
  virtual ~PeerServer() = default;

  /// Stops accepting and closes every connection.
  virtual void Stop() = 0;

  /// @return the port in use.
  [[nodiscard]] virtual std::uint16_t Port() const = 0;
};

}
