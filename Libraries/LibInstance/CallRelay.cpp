#include <LibInstance/CallRelay.h>

namespace zinc {

namespace {

/// How often it is looked whether the store is away.
constexpr Milliseconds kTick{ 100 };
/// Peers that a request is passed to, one after the other, before it is refused.
constexpr std::uint32_t kMostTries = 3;

}

CallRelay::CallRelay(Dependencies aDependencies, std::uint64_t aSeed)
  : on(std::move(aDependencies))
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
  if (!this->on.reachesStore()) {
    const auto known = this->on.peers();
    for (const auto& peer : this->reachable.DueProbes(known, this->on.clock.Now())) {
      this->on.ask(peer,
                   [this, guard = std::weak_ptr<bool>(this->alive), peer](Result<bool> aAnswer) {
                     if (!guard.expired()) {
                       const bool reachesStore = !IsError(aAnswer) && ValueOf(aAnswer);
                       this->reachable.OnAnswer(peer, reachesStore, this->on.clock.Now());
                       if (reachesStore) {
                         this->on.onReachable(peer);
                       }
                     }
                   });
    }
  }
  this->on.timer.After(kTick, [this, guard = std::weak_ptr<bool>(this->alive)] {
    if (!guard.expired()) {
      this->Tick();
    }
  });
}

void
CallRelay::Handle(const IncomingRequest& aRequest, Respond aRespond)
{
  if (this->on.reachesStore()) {
    this->on.answer(aRequest, std::move(aRespond));
    return;
  }
  this->PassOn(std::make_shared<const IncomingRequest>(aRequest), std::move(aRespond), 0);
}

void
CallRelay::PassOn(const std::shared_ptr<const IncomingRequest>& aRequest,
                  Respond aRespond,
                  std::uint32_t aTries)
{
  const auto peer =
    aTries < kMostTries ? this->reachable.Choose(this->on.clock.Now()) : std::nullopt;
  if (!peer) {
    // What can be answered without the store is; all else is refused at once.
    this->on.answer(*aRequest, std::move(aRespond));
    return;
  }
  this->on.pass(*peer,
                *aRequest,
                [this,
                 guard = std::weak_ptr<bool>(this->alive),
                 aRequest,
                 aTries,
                 peer = *peer,
                 respond = std::move(aRespond)](Result<OutgoingResponse> aAnswer) mutable {
                  if (!guard.expired()) {
                    this->OnPassed(aRequest, std::move(respond), aTries, peer, std::move(aAnswer));
                  }
                });
}

void
CallRelay::OnPassed(const std::shared_ptr<const IncomingRequest>& aRequest,
                    Respond aRespond,
                    std::uint32_t aTries,
                    const std::string& aPeer,
                    Result<OutgoingResponse> aAnswer)
{
  this->on.log.Log(LogLevel::Info,
                   "request_passed_on",
                   { { "path", aRequest->path },
                     { "peer", aPeer },
                     { "status", IsError(aAnswer) ? 0 : ValueOf(aAnswer).status },
                     { "reason", IsError(aAnswer) ? ErrorOf(aAnswer).message : "" } });
  if (!IsError(aAnswer)) {
    aRespond(std::move(ValueOf(aAnswer)));
    return;
  }
  this->reachable.Doubt(aPeer);
  const bool isRepeatable =
    ErrorOf(aAnswer).run == RunState::NotRun || aRequest->method == RequestMethod::Fetch;
  if (isRepeatable) {
    this->PassOn(aRequest, std::move(aRespond), aTries + 1);
    return;
  }
  aRespond(ErrorResponse(
    MayHaveRun(ErrorCode::DeadlineExceeded, "The instance that was asked gave no answer.")));
}

}
