#include <LibInstance/CallRelay.h>

#include <algorithm>

namespace zinc {

namespace {

/// How often it is looked whether the store is away.
constexpr Milliseconds kTick{ 100 };
/// Peers that a request is passed to, one after the other, before it is refused.
constexpr std::uint32_t kMostTries = 3;
/// When a caller should come back that needs a newer document; it is read anew within this time.
constexpr Milliseconds kDocumentDelay{ 500 };

}

CallRelay::CallRelay(Dependencies aDependencies, std::uint64_t aSeed)
  : dependencies(std::move(aDependencies))
  , reachable(aSeed)
{
}

void
CallRelay::Start()
{
  this->Tick();
}

void
CallRelay::Tick()
{
  if (!this->dependencies.reachesStore()) {
    const auto known = this->dependencies.peers();
    for (const auto& peer : this->reachable.DueProbes(known, this->dependencies.clock.Now())) {
      this->dependencies.ask(
        peer, [this, guard = std::weak_ptr<bool>(this->alive), peer](Result<bool> aAnswer) {
          if (!guard.expired()) {
            const bool reachesStore = !IsError(aAnswer) && ValueOf(aAnswer);
            this->reachable.OnAnswer(peer, reachesStore, this->dependencies.clock.Now());
            if (reachesStore) {
              this->dependencies.onReachable(peer);
            }
          }
        });
    }
  }
  this->dependencies.timer.RunAfter(kTick, [this, guard = std::weak_ptr<bool>(this->alive)] {
    if (!guard.expired()) {
      this->Tick();
    }
  });
}

void
CallRelay::Handle(const IncomingRequest& aRequest, Respond aRespond)
{
  const auto document = this->dependencies.documentVersion();
  if (this->dependencies.reachesStore() && document >= this->newestDocument) {
    this->AnswerHere(aRequest, std::move(aRespond));
    return;
  }
  const auto least = std::max(document, this->newestDocument);
  this->PassOn(std::make_shared<const PassedRequest>(
                 PassedRequest{ .request = aRequest, .leastDocument = least }),
               std::move(aRespond),
               0);
}

void
CallRelay::AnswerHere(const IncomingRequest& aRequest, Respond aRespond)
{
  const auto document = this->dependencies.documentVersion();
  if (document < this->newestDocument) {
    this->dependencies.log.Log(
      LogLevel::Info,
      "request_refused_for_document",
      { { "path", aRequest.path }, { "document", document }, { "needed", this->newestDocument } });
    aRespond(ErrorResponse(
      NotRun(ErrorCode::Unavailable, "The document is not known here yet.", kDocumentDelay)));
    return;
  }
  this->newestDocument = document;
  this->dependencies.answer(aRequest, std::move(aRespond));
}

void
CallRelay::PassOn(const std::shared_ptr<const PassedRequest>& aRequest,
                  Respond aRespond,
                  std::uint32_t aTries)
{
  const auto peer =
    aTries < kMostTries ? this->reachable.Choose(this->dependencies.clock.Now()) : std::nullopt;
  if (!peer) {
    // What can be answered without the store is; all else is refused at once.
    this->AnswerHere(aRequest->request, std::move(aRespond));
    return;
  }
  this->dependencies.pass(*peer,
                          *aRequest,
                          [this,
                           guard = std::weak_ptr<bool>(this->alive),
                           aRequest,
                           aTries,
                           peer = *peer,
                           respond = std::move(aRespond)](Result<PassedResponse> aAnswer) mutable {
                            if (!guard.expired()) {
                              this->OnPassed(
                                aRequest, std::move(respond), aTries, peer, std::move(aAnswer));
                            }
                          });
}

void
CallRelay::OnPassed(const std::shared_ptr<const PassedRequest>& aRequest,
                    Respond aRespond,
                    std::uint32_t aTries,
                    const std::string& aPeer,
                    Result<PassedResponse> aAnswer)
{
  this->dependencies.log.Log(
    LogLevel::Info,
    "request_passed_on",
    { { "path", aRequest->request.path },
      { "peer", aPeer },
      { "least_document", aRequest->leastDocument },
      { "document", IsError(aAnswer) ? 0 : ValueOf(aAnswer).document },
      { "status", IsError(aAnswer) ? 0 : ValueOf(aAnswer).response.status },
      { "reason", IsError(aAnswer) ? ErrorOf(aAnswer).message : "" } });
  if (!IsError(aAnswer)) {
    this->newestDocument = std::max(this->newestDocument, ValueOf(aAnswer).document);
    aRespond(std::move(ValueOf(aAnswer).response));
    return;
  }
  this->reachable.Doubt(aPeer);
  const bool isRepeatable =
    ErrorOf(aAnswer).run == RunState::NotRun || aRequest->request.method == RequestMethod::Fetch;
  if (isRepeatable) {
    this->PassOn(aRequest, std::move(aRespond), aTries + 1);
    return;
  }
  aRespond(ErrorResponse(
    MayHaveRun(ErrorCode::DeadlineExceeded, "The instance that was asked gave no answer.")));
}

}
