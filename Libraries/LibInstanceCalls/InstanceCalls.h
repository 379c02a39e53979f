#pragma once

/// @file
/// The protocol between the instances: the leader sends policy service requests through other
/// instances, any instance asks the leader for a job's status, and an instance that does not reach
/// the store forwards its callers' requests to one that does.

#include <LibCell/CellScheduler.h>
#include <LibCell/LeaderElection.h>
#include <LibCell/Ports.h>
#include <LibPlatform/HttpClient.h>
#include <LibTraffic/HttpServer.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace zinc {

/// A caller's request that another instance handles.
struct ForwardedRequest
{
  IncomingRequest request;
  /// Document version known to the forwarding instance; an instance with an older one rejects.
  std::uint64_t minDocumentVersion = 0;
};

/// The response to a forwarded request.
struct ForwardedResponse
{
  OutgoingResponse response;
  /// Version of the document under which the request was handled.
  std::uint64_t documentVersion = 0;
};

/// Serves the calls of the other instances. Runs on the control thread.
class InstanceCallServer
{
public:
  struct Handlers
  {
    /// Calls the policy service from this instance.
    std::function<void(const cell::AdviceRequest&, cell::Handler<cell::AdviceResponse>)> advise;
    /// @return the job's status, or nothing if this instance is not the leader.
    std::function<std::optional<cell::JobStatus>(const JobId&)> jobStatus;
    /// Checks whether the store responds to this instance.
    std::function<void(cell::Handler<bool>)> checkStore;
    /// Takes over from a leader that has resigned.
    std::function<void(cell::Resignation)> onLeaderResigned;
    /// @return the version of the document in force at this instance.
    std::function<std::uint64_t()> documentVersion;
    /// Handles a caller's request that another instance forwarded.
    std::function<void(const IncomingRequest&, Respond)> handleForwarded;
  };

  explicit InstanceCallServer(Handlers aHandlers);

  /// Dispatches one call by its path.
  void Handle(const IncomingRequest& aRequest, Respond aRespond);

private:
  struct Route
  {
    std::string_view path;
    void (InstanceCallServer::*handler)(const IncomingRequest& aRequest, Respond aRespond);
  };

  static const Route kRoutes[];

  void HandleAdvice(const IncomingRequest& aRequest, Respond aRespond);
  void HandleStatus(const IncomingRequest& aRequest, Respond aRespond);
  void HandleReach(const IncomingRequest& aRequest, Respond aRespond);
  void HandleResignation(const IncomingRequest& aRequest, Respond aRespond);
  void HandleForwardedRequest(const IncomingRequest& aRequest, Respond aRespond);

  Handlers handlers;
};

/// Calls the other instances. Handlers run on the executor of the HTTP options.
class InstanceCallClient
{
public:
  explicit InstanceCallClient(HttpOptions aOptions);

  void RequestAdvice(const Endpoint& aInstance,
                     const cell::AdviceRequest& aRequest,
                     cell::Handler<cell::AdviceResponse> aHandler);
  /// The handler gets @ref ErrorCode::StaleTerm if the instance is not the leader.
  void RequestJobStatus(const Endpoint& aInstance,
                        const JobId& aJob,
                        cell::Handler<cell::JobStatus> aHandler);
  /// Asks whether the instance reaches the store.
  void ProbeStore(const Endpoint& aInstance, cell::Handler<bool> aHandler);
  /// Tells the instance that this one has resigned as leader.
  void SendResignation(const Endpoint& aInstance,
                       const cell::Resignation& aResignation,
                       cell::Handler<Done> aHandler);
  /// Forwards a caller's request. The handler gets @ref ErrorCode::StaleVersion if the instance's
  /// document is too old.
  void ForwardRequest(const Endpoint& aInstance,
                      const ForwardedRequest& aRequest,
                      cell::Handler<ForwardedResponse> aHandler);

private:
  [[nodiscard]] Result<std::shared_ptr<HttpClient>> ClientFor(const Endpoint& aInstance);
  /// Makes a call; the handler gets an error if the instance's address is unusable.
  /// @param aWait added to the request timeout
  template<typename T, typename Encoder, typename Decoder>
  void Perform(const Endpoint& aInstance,
               Encoder aEncode,
               Milliseconds aWait,
               Decoder aDecode,
               cell::Handler<T> aHandler);

  HttpOptions options;
  std::unordered_map<std::string, std::shared_ptr<HttpClient>> clients;
};

}
