#include <LibDispatch/WorkerAgent.h>

namespace zinc {

WorkerAgent::WorkerAgent(WorkerAgentEnvironment aEnvironment,
                         Instance aInstance,
                         std::shared_ptr<Worker> aClient,
                         WorkerLease aLease)
  : environment(std::move(aEnvironment))
  , instance(std::move(aInstance))
  , client(std::move(aClient))
  , lease(std::move(aLease))
{
}

Result<std::shared_ptr<WorkerAgent>>
WorkerAgent::Create(WorkerAgentEnvironment aEnvironment,
                    Instance aInstance,
                    std::shared_ptr<Worker> aClient)
{
  auto lease = WorkerLease::Create(aEnvironment.timing);
  if (IsError(lease)) {
    return ErrorOf(lease);
  }
  return std::shared_ptr<WorkerAgent>(new WorkerAgent(
    std::move(aEnvironment), std::move(aInstance), std::move(aClient), std::move(ValueOf(lease))));
}

void
WorkerAgent::Acquire()
{
  this->lease.Want();
  this->Tick();
}

void
WorkerAgent::GiveUp()
{
  this->lease.GiveUp(this->environment.clock.Now());
  this->Tick();
}

void
WorkerAgent::Tick()
{
  const auto call = this->lease.Next(this->environment.clock.Now());
  this->NoteLoss();
  if (call) {
    this->Make(*call);
  }
  if (this->held && !this->polling) {
    this->Poll();
  }
}

bool
WorkerAgent::MayStart() const
{
  return this->held && this->lease.MayStart(this->environment.clock.Now());
}

void
WorkerAgent::Make(const LeaseCall& aCall)
{
  if (aCall.kind == LeaseCallKind::Release) {
    this->Release(aCall);
    return;
  }
  const LeaseRequest request{ .holder = this->environment.self,
                              .term = aCall.term,
                              .timeToLive = this->environment.timing.timeToLive,
                              .orphanTimeout = this->environment.timing.orphanTimeout };
  this->client->Lease(
    request, [weak = this->weak_from_this(), call = aCall](const Result<LeaseGrant>& aReply) {
      if (const auto self = weak.lock()) {
        self->OnGrant(call, aReply);
      }
    });
}

void
WorkerAgent::Release(const LeaseCall& aCall)
{
  this->client->Release(aCall.term,
                        [weak = this->weak_from_this(), call = aCall](const Result<Done>& aReply) {
                          const auto self = weak.lock();
                          if (!self) {
                            return;
                          }
                          const auto now = self->environment.clock.Now();
                          if (IsError(aReply) && ErrorOf(aReply).run == RunState::MayHaveRun) {
                            self->lease.Failed(call.sentAt, now);
                          } else {
                            self->lease.Released(now);
                          }
                          self->NoteLoss();
                        });
}

void
WorkerAgent::OnGrant(const LeaseCall& aCall, const Result<LeaseGrant>& aReply)
{
  const auto now = this->environment.clock.Now();
  if (IsError(aReply)) {
    const auto& verdict = ErrorOf(aReply);
    const bool refused =
      verdict.code == ErrorCode::Conflict || verdict.code == ErrorCode::StaleTerm;
    if (refused) {
      this->lease.Refused(aCall.term, now);
      this->environment.observer.WorkerRefused(this->Id());
    } else {
      this->lease.Failed(aCall.sentAt, now);
    }
    this->NoteLoss();
    return;
  }
  const auto& grant = ValueOf(aReply);
  switch (this->lease.Granted(grant.term, aCall.sentAt, now)) {
    case GrantOutcome::Acquired:
      this->NoteLoss();
      this->held = true;
      this->lastEvent = grant.lastEvent;
      this->environment.observer.WorkerAcquired(this->instance, grant);
      this->Tick();
      return;
    case GrantOutcome::Unwanted:
      this->OnUnwanted(grant.term);
      return;
    case GrantOutcome::Renewed:
    case GrantOutcome::Ignored:
      return;
  }
}

void
WorkerAgent::OnUnwanted(LeaseTerm aTerm)
{
  this->client->Release(aTerm, [](const Result<Done>&) {});
}

void
WorkerAgent::Poll()
{
  const auto sentAt = this->environment.clock.Now();
  const auto term = this->lease.Term();
  this->polling = true;
  this->lease.RenewalSent(sentAt);
  this->client->Poll(
    term,
    this->lastEvent,
    this->environment.timing.renewEvery,
    [weak = this->weak_from_this(), term, sentAt](const Result<EventBatch>& aReply) {
      if (const auto self = weak.lock()) {
        self->OnEvents(term, sentAt, aReply);
      }
    });
}

void
WorkerAgent::OnEvents(LeaseTerm aTerm, TimePoint aSentAt, const Result<EventBatch>& aReply)
{
  this->polling = false;
  const auto now = this->environment.clock.Now();
  if (aTerm != this->lease.Term()) {
    return;
  }
  if (IsError(aReply)) {
    const auto& verdict = ErrorOf(aReply);
    if (verdict.code == ErrorCode::StaleTerm) {
      this->lease.Refused(aTerm, now);
    } else {
      this->lease.Failed(aSentAt, now);
    }
    this->NoteLoss();
    return;
  }
  (void)this->lease.Granted(aTerm, aSentAt, now);
  const auto& events = ValueOf(aReply);
  this->lastEvent = std::max(this->lastEvent, events.lastEvent);
  if (this->held) {
    this->environment.observer.WorkerChanged(this->Id(), events);
  }
  this->Tick();
}

void
WorkerAgent::NoteLoss()
{
  const auto state = this->lease.State();
  const bool gone = state != LeaseState::Held && state != LeaseState::Lapsing;
  if (this->held && gone) {
    this->held = false;
    this->environment.observer.WorkerLost(this->Id());
  }
}

}
