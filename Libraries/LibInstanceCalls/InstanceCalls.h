#pragma once

/// @file
/// The protocol between the instances: the leader has another instance ask the policy service,
/// any instance asks the leader for a job's state, and one that does not reach the store has
/// another one answer its callers.

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

/// A caller's request that another instance is to answer.
struct PassedRequest
{
  IncomingRequest request;
  /// Version of the document that the caller's instance has followed; an older one may not answer.
  std::uint64_t leastDocument = 0;
};

/// The answer to one.
struct PassedResponse
{
  OutgoingResponse response;
  /// Version of the document that it follows.
  std::uint64_t document = 0;
};

/// Answers the other instances.
class InstanceCallServer
{
public:
  struct Handlers
  {
    std::function<void(const cell::AdviceRequest&, cell::Handler<cell::AdviceResponse>)> advise;
    /// @return nothing if this instance is not the leader.
    std::function<std::optional<cell::JobStatus>(const JobId&)> status;
    /// Finds out whether the store answers this instance.
    std::function<void(cell::Handler<bool>)> askStore;
    /// Takes over from a leader that has stopped.
    std::function<void(cell::Resignation)> resigned;
    /// @return the version of the document in force here.
    std::function<std::uint64_t()> documentVersion;
    /// Answers a caller's request that came through another instance.
    std::function<void(const IncomingRequest&, Respond)> call;
  };

  explicit InstanceCallServer(Handlers aHandlers);

  /// Answers one call; runs on the control thread.
  void Handle(const IncomingRequest& aRequest, Respond aRespond);

private:
  struct Route
  {
    std::string_view path;
    void (InstanceCallServer::*handler)(const IncomingRequest& aRequest, Respond aRespond);
  };

  static const Route kRoutes[];

  void Advise(const IncomingRequest& aRequest, Respond aRespond);
  void Status(const IncomingRequest& aRequest, Respond aRespond);
  void Reach(const IncomingRequest& aRequest, Respond aRespond);
  void Resigned(const IncomingRequest& aRequest, Respond aRespond);
  void Call(const IncomingRequest& aRequest, Respond aRespond);

  Handlers handlers;
};

/// Calls the other instances.
class InstanceCallClient
{
public:
  explicit InstanceCallClient(HttpOptions aOptions);

  void Advise(const Endpoint& aInstance,
              const cell::AdviceRequest& aQuestion,
              cell::Handler<cell::AdviceResponse> aHandler);
  /// Handler gets @ref ErrorCode::StaleTerm if the instance is not the leader.
  void Status(const Endpoint& aInstance,
              const JobId& aJob,
              cell::Handler<cell::JobStatus> aHandler);
  /// Asks whether the store answers the instance.
  void AskReach(const Endpoint& aInstance, cell::Handler<bool> aHandler);
  /// Tells the instance that this one has stopped conducting.
  void Resign(const Endpoint& aInstance,
              const cell::Resignation& aResignation,
              cell::Handler<Done> aHandler);
  /// Has the instance answer a caller's request. Handler gets @ref ErrorCode::StaleVersion if its
  /// document is too old.
  void PassOn(const Endpoint& aInstance,
              const PassedRequest& aRequest,
              cell::Handler<PassedResponse> aHandler);

private:
  [[nodiscard]] Result<std::shared_ptr<HttpClient>> ClientOf(const Endpoint& aInstance);
  /// Makes a call, or tells that the instance's address cannot be used.
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
