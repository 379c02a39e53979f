#pragma once

/// @file
/// Passes callers' requests on to an instance that reaches the store while this one does not.

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

/// Lives on the control thread. A request is passed on once: the peer answers it itself. Callers of
/// this instance never meet a document older than one that they have met, whoever answers.
class CallRelay
{
public:
  struct Dependencies
  {
    cell::TimerPort& timer;
    const Clock& clock;
    const Logger& log;
    /// @return whether the store answers this instance.
    std::function<bool()> reachesStore;
    /// @return the names of all other instances.
    std::function<std::vector<std::string>()> peers;
    /// Called when a peer has said that it reaches the store.
    std::function<void(const std::string&)> onReachable;
    /// Asks a peer whether the store answers it.
    std::function<void(const std::string&, std::function<void(Result<bool>)>)> ask;
    /// @return the version of the document in force here.
    std::function<std::uint64_t()> documentVersion;
    /// Has a peer answer a request.
    std::function<
      void(const std::string&, const PassedRequest&, std::function<void(Result<PassedResponse>)>)>
      pass;
    /// Answers a request here.
    std::function<void(const IncomingRequest&, Respond)> answer;
  };

  CallRelay(Dependencies aDependencies, std::uint64_t aSeed);

  /// Begins to look for peers whenever the store is away.
  void Start();

  /// Answers a request here, or has a peer answer it.
  void Handle(const IncomingRequest& aRequest, Respond aRespond);

private:
  void Tick();
  void PassOn(const std::shared_ptr<const PassedRequest>& aRequest,
              Respond aRespond,
              std::uint32_t aTries);
  void OnPassed(const std::shared_ptr<const PassedRequest>& aRequest,
                Respond aRespond,
                std::uint32_t aTries,
                const std::string& aPeer,
                Result<PassedResponse> aAnswer);

  /// Answers here if the document in force is not older than one that answered callers.
  void AnswerHere(const IncomingRequest& aRequest, Respond aRespond);

  Dependencies dependencies;
  /// Newest document that answered callers of this instance.
  std::uint64_t newestDocument = 0;
  ReachablePeers reachable;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
