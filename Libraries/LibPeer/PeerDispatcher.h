#pragma once

/// @file
/// Turns the text of a JSON-RPC call into a call of the handler.

#include <LibPeer/PeerMessages.h>
#include <memory>
#include <string>

namespace zinc::detail {

/// Dispatches calls by libjsonrpccpp. Used on the control thread.
class PeerDispatcher
{
public:
  /// @param aHandler must outlive the dispatcher
  explicit PeerDispatcher(PeerHandler& aHandler);
  ~PeerDispatcher();
  PeerDispatcher(const PeerDispatcher&) = delete;
  PeerDispatcher& operator=(const PeerDispatcher&) = delete;

  /// @return the text of the reply; a JSON-RPC error for a call that cannot be understood.
  [[nodiscard]] std::string Dispatch(const std::string& aCall);

private:
  struct Server;
  std::unique_ptr<Server> server;
};

}
