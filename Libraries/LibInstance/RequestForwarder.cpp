#include <LibInstance/RequestForwarder.h>

#include <algorithm>

namespace zinc {

namespace {

/// Interval between checks of whether the store is reachable.
constexpr Milliseconds kTickInterval{ 100 };
/// Peers tried one after the other before a request is rejected.
constexpr std::uint32_t kMaxForwardAttempts = 3;
/// Retry delay for callers that need a newer document; the document is reread within this time.
constexpr Milliseconds kDocumentRetryDelay{ 500 };

}

RequestForwarder::RequestForwarder(Dependencies aDependencies, std::uint64_t aSeed)
  : dependencies(std::move(aDependencies))
  , reachablePeers(aSeed)
{
}

void
RequestForwarder::Start()
{
  this->Tick();
}

void
RequestForwarder::Tick()
{
  if (!this->dependencies.isStoreReachable()) {
    const auto peers = this->dependencies.listPeers();
    for (const auto& peer :
         this->reachablePeers.SelectPeersToProbe(peers, this->dependencies.clock.Now())) {
      this->dependencies.probePeer(
        peer, [this, guard = std::weak_ptr<bool>(this->livenessToken), peer](Result<bool> aResult) {
          if (!guard.expired()) {
            const bool reachesStore = !IsError(aResult) && ValueOf(aResult);
            this->reachablePeers.OnProbeResult(peer, reachesStore, this->dependencies.clock.Now());
            if (reachesStore) {
              this->dependencies.onPeerReachesStore(peer);
            }
          }
        });
    }
  }
  this->dependencies.timer.RunAfter(kTickInterval,
                                    [this, guard = std::weak_ptr<bool>(this->livenessToken)] {
                                      if (!guard.expired()) {
                                        this->Tick();
                                      }
                                    });
}

void
RequestForwarder::Handle(const IncomingRequest& aRequest, Respond aRespond)
{
  const auto documentVersion = this->dependencies.documentVersion();
  if (this->dependencies.isStoreReachable() && documentVersion >= this->newestDocumentVersion) {
    this->HandleLocally(aRequest, std::move(aRespond));
    return;
  }
  const auto minDocumentVersion = std::max(documentVersion, this->newestDocumentVersion);
  this->Forward(std::make_shared<const ForwardedRequest>(ForwardedRequest{
                  .request = aRequest, .minDocumentVersion = minDocumentVersion }),
                std::move(aRespond),
                0);
}

void
RequestForwarder::HandleLocally(const IncomingRequest& aRequest, Respond aRespond)
{
  const auto documentVersion = this->dependencies.documentVersion();
  if (documentVersion < this->newestDocumentVersion) {
    this->dependencies.log.Log(LogLevel::Info,
                               "request_refused_for_document",
                               { { "path", aRequest.path },
                                 { "document", documentVersion },
                                 { "needed", this->newestDocumentVersion } });
    aRespond(ErrorResponse(NotRun(ErrorCode::Unavailable,
                                  "This instance has not read the current document yet.",
                                  kDocumentRetryDelay)));
    return;
  }
  this->newestDocumentVersion = documentVersion;
  this->dependencies.handleLocally(aRequest, std::move(aRespond));
}

void
RequestForwarder::Forward(const std::shared_ptr<const ForwardedRequest>& aRequest,
                          Respond aRespond,
                          std::uint32_t aAttempts)
{
  const auto peer = aAttempts < kMaxForwardAttempts
                      ? this->reachablePeers.ChoosePeer(this->dependencies.clock.Now())
                      : std::nullopt;
  if (!peer) {
    // Requests that need no store still succeed here; all others are rejected at once.
    this->HandleLocally(aRequest->request, std::move(aRespond));
    return;
  }
  this->dependencies.forward(
    *peer,
    *aRequest,
    [this,
     guard = std::weak_ptr<bool>(this->livenessToken),
     aRequest,
     aAttempts,
     peer = *peer,
     respond = std::move(aRespond)](Result<ForwardedResponse> aResult) mutable {
      if (!guard.expired()) {
        this->OnForwardResult(aRequest, std::move(respond), aAttempts, peer, std::move(aResult));
      }
    });
}

void
RequestForwarder::OnForwardResult(const std::shared_ptr<const ForwardedRequest>& aRequest,
                                  Respond aRespond,
                                  std::uint32_t aAttempts,
                                  const std::string& aPeer,
                                  Result<ForwardedResponse> aResult)
{
  this->dependencies.log.Log(
    LogLevel::Info,
    "request_passed_on",
    { { "path", aRequest->request.path },
      { "peer", aPeer },
      { "least_document", aRequest->minDocumentVersion },
      { "document", IsError(aResult) ? 0 : ValueOf(aResult).documentVersion },
      { "status", IsError(aResult) ? 0 : ValueOf(aResult).response.status },
      { "reason", IsError(aResult) ? ErrorOf(aResult).message : "" } });
  if (!IsError(aResult)) {
    this->newestDocumentVersion =
      std::max(this->newestDocumentVersion, ValueOf(aResult).documentVersion);
    aRespond(std::move(ValueOf(aResult).response));
    return;
  }
  this->reachablePeers.MarkUnreachable(aPeer);
  const bool isRepeatable =
    ErrorOf(aResult).run == RunState::NotRun || aRequest->request.method == RequestMethod::Fetch;
  if (isRepeatable) {
    this->Forward(aRequest, std::move(aRespond), aAttempts + 1);
    return;
  }
  aRespond(ErrorResponse(
    MayHaveRun(ErrorCode::DeadlineExceeded,
               "The request was forwarded to another instance, which did not respond.")));
}

}
