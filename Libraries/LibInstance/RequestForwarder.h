#pragma once

/// @file
/// Forwards callers' requests to a peer that reaches the store while this instance does not.

#include <LibBase/Verdict.h>
#include <LibCell/Timer.h>
#include <LibInstance/ReachablePeers.h>
#include <LibInstanceCalls/InstanceCalls.h>
#include <LibLog/Logger.h>
#include <LibTraffic/HttpServer.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace zinc {

/// Runs on the control thread. A request is forwarded at most one hop: the peer handles it itself.
/// Document versions never go back for the callers of this instance, whichever instance responds.
class RequestForwarder
{
public:
  struct Dependencies
  {
    cell::TimerPort& timer;
    const Clock& clock;
    const Logger& log;
    /// @return whether the store responds to this instance.
    std::function<bool()> isStoreReachable;
    /// @return the names of the other instances to probe.
    std::function<std::vector<std::string>()> listPeers;
    /// Called when a probed peer reports that it reaches the store.
    std::function<void(const std::string&)> onPeerReachesStore;
    /// Asks a peer whether it reaches the store.
    std::function<void(const std::string&, std::function<void(Result<bool>)>)> probePeer;
    /// @return the version of the document in force at this instance.
    std::function<std::uint64_t()> documentVersion;
    /// Forwards a request to a peer.
    std::function<void(const std::string&,
                       const ForwardedRequest&,
                       std::function<void(Result<ForwardedResponse>)>)>
      forward;
    /// Handles a request at this instance.
    std::function<void(const IncomingRequest&, Respond)> handleLocally;
  };

  RequestForwarder(Dependencies aDependencies, std::uint64_t aSeed);

  /// Starts the timer that probes peers while the store is unreachable.
  void Start();

  /// Handles a request at this instance if it reaches the store, otherwise forwards it.
  void Handle(const IncomingRequest& aRequest, Respond aRespond);

private:
  /// Probes peers if the store is unreachable and reschedules itself.
  void Tick();
  void Forward(const std::shared_ptr<const ForwardedRequest>& aRequest,
               Respond aRespond,
               std::uint32_t aAttempts);
  void OnForwardResult(const std::shared_ptr<const ForwardedRequest>& aRequest,
                       Respond aRespond,
                       std::uint32_t aAttempts,
                       const std::string& aPeer,
                       Result<ForwardedResponse> aResult);

  /// Handles the request here unless callers already got a response under a newer document.
  void HandleLocally(const IncomingRequest& aRequest, Respond aRespond);

  Dependencies dependencies;
  /// Newest document version under which callers of this instance got a response.
  std::uint64_t newestDocumentVersion = 0;
  ReachablePeers reachablePeers;
  std::shared_ptr<bool> livenessToken = std::make_shared<bool>(true);
};

}
