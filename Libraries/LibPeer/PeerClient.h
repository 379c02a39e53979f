#pragma once

/// @file
/// Calls one peer over a connection that is kept open.

#include <LibPeer/PeerMessages.h>
#include <LibPlatform/InstanceList.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace zinc {

/// Whom to call and from where.
struct PeerClientOptions
{
  Endpoint peer;
  /// Runs the connection; must outlive the client.
  boost::asio::io_context& traffic;
  /// Runs the handlers.
  boost::asio::any_io_executor control;
  /// A call without a reply for this long is given up and its connection closed, since a connection
  /// that brings no replies may stay silent for good.
  Milliseconds callTimeout{ 1000 };
  /// Upper bound of the bytes of calls without a reply. A further call is refused as overloaded,
  /// unless no other waits.
  std::size_t waitingBytesLimit = std::size_t{ 32 } << 20;
};

/// Sends each call at most once. A call fails with @ref RunState::NotRun if no connection could be
/// made or too much waits, else with @ref RunState::MayHaveRun. The next call opens a new
/// connection.
class PeerClient
{
public:
  template<typename T>
  using Handler = std::function<void(Result<T>)>;

  /// @return @ref ErrorCode::BadRequest if the address is not an IP address.
  [[nodiscard]] static Result<std::shared_ptr<PeerClient>> Create(PeerClientOptions aOptions);
  virtual ~PeerClient() = default;

  virtual void SendBeat(const PeerBeat& aBeat, Handler<PeerBeat> aHandler) = 0;
  virtual void Deliver(const NoticeBatch& aBatch, Handler<Done> aHandler) = 0;
  virtual void FetchDocument(Handler<DocumentCopy> aHandler) = 0;

  /// Closes the connection; outstanding calls fail.
  virtual void Close() = 0;
};

}
