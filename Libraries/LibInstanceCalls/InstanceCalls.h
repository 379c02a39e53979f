#pragma once

/// @file
/// The protocol between the instances: the conductor has another instance ask the policy service,
/// any instance asks the conductor for a job's state, and one that does not reach the store has
/// another one answer its callers.

#include <LibCell/Conductor.h>
#include <LibCell/Leadership.h>
#include <LibCell/Ports.h>
#include <LibPlatform/HttpClient.h>
#include <LibTraffic/HttpServer.h>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace zinc {

/// Answers the other instances.
class InstanceCallServer
{
public:
  struct Handlers
  {
    std::function<void(const cell::AdviceQuestion&, cell::Handler<cell::AdviceAnswer>)> advise;
    /// @return nothing if this instance is not the conductor.
    std::function<std::optional<cell::JobStatus>(const JobId&)> status;
    /// Finds out whether the store answers this instance.
    std::function<void(cell::Handler<bool>)> askStore;
    /// Takes over from a conductor that has stopped.
    std::function<void(cell::Resignation)> resigned;
    /// Answers a caller's request that came through another instance.
    std::function<void(const IncomingRequest&, Respond)> call;
  };

  explicit InstanceCallServer(Handlers aHandlers);

  /// Answers one call; runs on the control thread.
  void Handle(const IncomingRequest& aRequest, Respond aRespond);

private:
  void Advise(const IncomingRequest& aRequest, Respond aRespond);
  void Status(const IncomingRequest& aRequest, const Respond& aRespond);
  void Reach(Respond aRespond);
  void Resigned(const IncomingRequest& aRequest, const Respond& aRespond);
  void Call(const IncomingRequest& aRequest, Respond aRespond);

  Handlers on;
};

/// Calls the other instances.
class InstanceCallClient
{
public:
  explicit InstanceCallClient(HttpOptions aOptions);

  void Advise(const Endpoint& aInstance,
              const cell::AdviceQuestion& aQuestion,
              cell::Handler<cell::AdviceAnswer> aHandler);
  /// Handler gets @ref ErrorCode::StaleTerm if the instance is not the conductor.
  void Status(const Endpoint& aInstance,
              const JobId& aJob,
              cell::Handler<cell::JobStatus> aHandler);
  /// Asks whether the store answers the instance.
  void AskReach(const Endpoint& aInstance, cell::Handler<bool> aHandler);
  /// Tells the instance that this one has stopped conducting.
  void Resign(const Endpoint& aInstance,
              const cell::Resignation& aResignation,
              cell::Handler<Done> aHandler);
  /// Has the instance answer a caller's request.
  void PassOn(const Endpoint& aInstance,
              const IncomingRequest& aRequest,
              cell::Handler<OutgoingResponse> aHandler);

private:
  [[nodiscard]] Result<std::shared_ptr<HttpClient>> ClientOf(const Endpoint& aInstance);

  HttpOptions options;
  std::unordered_map<std::string, std::shared_ptr<HttpClient>> clients;
};

}
