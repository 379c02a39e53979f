#include <LibMembership/WorkerLease.h>

#include <algorithm>
#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace zinc {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

constexpr std::array<std::string_view, 6> kLeaseStateNames = { "idle",    "acquiring", "held",
                                                               "lapsing", "releasing", "lost" };

constexpr std::int64_t kPerMille = 1000;

struct AcquireSent
{};
struct GrantReceived
{};
struct RefusalReceived
{};
struct RenewalOverdue
{};
struct ValidityPassed
{};
struct ReleaseWanted
{};
struct ReleaseDone
{};

struct LeaseDefinition : msm::front::state_machine_def<LeaseDefinition>
{
  struct Idle : msm::front::state<>
  {};
  struct Acquiring : msm::front::state<>
  {};
  struct Held : msm::front::state<>
  {};
  struct Lapsing : msm::front::state<>
  {};
  struct Releasing : msm::front::state<>
  {};
  struct Lost : msm::front::state<>
  {};

  // MSM finds these by their names.
  // NOLINTBEGIN(readability-identifier-naming)
  using initial_state = Idle;
  // The states are numbered in the order in which the sources of the rows first appear.
  struct transition_table
    : boost::mpl::vector<Row<Idle, AcquireSent, Acquiring, none, none>,
                         Row<Acquiring, GrantReceived, Held, none, none>,
                         Row<Held, RenewalOverdue, Lapsing, none, none>,
                         Row<Lapsing, GrantReceived, Held, none, none>,
                         Row<Releasing, ReleaseDone, Idle, none, none>,
                         Row<Lost, AcquireSent, Acquiring, none, none>,
                         Row<Acquiring, RefusalReceived, Idle, none, none>,
                         Row<Acquiring, ReleaseWanted, Idle, none, none>,
                         Row<Held, RefusalReceived, Lost, none, none>,
                         Row<Held, ValidityPassed, Lost, none, none>,
                         Row<Held, ReleaseWanted, Releasing, none, none>,
                         Row<Lapsing, RefusalReceived, Lost, none, none>,
                         Row<Lapsing, ValidityPassed, Lost, none, none>,
                         Row<Lapsing, ReleaseWanted, Releasing, none, none>,
                         Row<Releasing, RefusalReceived, Idle, none, none>,
                         Row<Releasing, ValidityPassed, Idle, none, none>,
                         Row<Lost, ReleaseWanted, Idle, none, none>>
  {};
  // NOLINTEND(readability-identifier-naming)

  template<typename Machine, typename Event>
  // NOLINTNEXTLINE(readability-identifier-naming)
  void no_transition(const Event&, Machine&, int)
  {
    // Late and repeated replies change nothing.
  }
};

bool
IsPositive(const LeaseTiming& aTiming)
{
  return std::min({ aTiming.timeToLive,
                    aTiming.orphanTimeout,
                    aTiming.renewEvery,
                    aTiming.callTimeout,
                    aTiming.retryAfter }) > Milliseconds{ 0 } &&
         aTiming.maxDelay >= Milliseconds{ 0 };
}

}

struct WorkerLease::Machine : msm::back::state_machine<LeaseDefinition>
{};

std::string_view
ToString(LeaseState aState)
{
  return kLeaseStateNames.at(static_cast<std::size_t>(aState));
}

Result<WorkerLease>
WorkerLease::Create(LeaseTiming aTiming)
{
  const bool driftIsSane = aTiming.driftPerMille >= 0 && aTiming.driftPerMille < kPerMille / 2;
  if (!IsPositive(aTiming) || !driftIsSane) {
    return NotRun(ErrorCode::BadRequest, "Lease durations and drift must be in range.");
  }
  if (2 * aTiming.renewEvery >= aTiming.timeToLive) {
    return NotRun(ErrorCode::BadRequest, "A lease must outlast two renewals.");
  }
  return WorkerLease(aTiming);
}

WorkerLease::WorkerLease(LeaseTiming aTiming)
  : timing(aTiming)
  , machine(std::make_unique<Machine>())
{
  this->machine->start();
}

WorkerLease::~WorkerLease() = default;
WorkerLease::WorkerLease(WorkerLease&&) noexcept = default;
WorkerLease&
WorkerLease::operator=(WorkerLease&&) noexcept = default;

LeaseState
WorkerLease::State() const
{
  return static_cast<LeaseState>(this->machine->current_state()[0]);
}

void
WorkerLease::Want()
{
  this->wanted = true;
}

void
WorkerLease::GiveUp(TimePoint aNow)
{
  this->wanted = false;
  this->notBefore = aNow;
  this->machine->process_event(ReleaseWanted{});
}

void
WorkerLease::RetryLater(TimePoint aNow)
{
  this->notBefore = aNow + this->timing.retryAfter;
}

std::optional<LeaseCall>
WorkerLease::Next(TimePoint aNow)
{
  switch (this->State()) {
    case LeaseState::Idle:
    case LeaseState::Lost:
    case LeaseState::Acquiring:
      return this->NextAcquire(aNow);
    case LeaseState::Held:
    case LeaseState::Lapsing:
      return this->NextRenewal(aNow);
    case LeaseState::Releasing:
      return this->NextRelease(aNow);
  }
  return {};
}

std::optional<LeaseCall>
WorkerLease::NextAcquire(TimePoint aNow)
{
  if (this->State() == LeaseState::Acquiring) {
    if (aNow < this->lastSent + this->timing.callTimeout) {
      return {};
    }
    this->machine->process_event(RefusalReceived{});
  }
  if (!this->wanted || aNow < this->notBefore) {
    return {};
  }
  this->machine->process_event(AcquireSent{});
  this->lastSent = aNow;
  return LeaseCall{ .kind = LeaseCallKind::Acquire, .term = 0, .sentAt = aNow };
}

std::optional<LeaseCall>
WorkerLease::NextRenewal(TimePoint aNow)
{
  if (aNow >= this->validUntil) {
    this->machine->process_event(ValidityPassed{});
    this->notBefore = aNow;
    return this->NextAcquire(aNow);
  }
  if (aNow >= this->lastConfirmed + 2 * this->timing.renewEvery) {
    this->machine->process_event(RenewalOverdue{});
  }
  if (aNow < this->lastSent + this->timing.renewEvery) {
    return {};
  }
  this->lastSent = aNow;
  return LeaseCall{ .kind = LeaseCallKind::Renew, .term = this->term, .sentAt = aNow };
}

std::optional<LeaseCall>
WorkerLease::NextRelease(TimePoint aNow)
{
  if (aNow >= this->validUntil) {
    this->machine->process_event(ValidityPassed{});
    return this->NextAcquire(aNow);
  }
  if (aNow < this->notBefore) {
    return {};
  }
  this->notBefore = aNow + this->timing.callTimeout;
  return LeaseCall{ .kind = LeaseCallKind::Release, .term = this->term, .sentAt = aNow };
}

void
WorkerLease::RenewalSent(TimePoint aNow)
{
  this->lastSent = std::max(this->lastSent, aNow);
}

GrantOutcome
WorkerLease::Granted(LeaseTerm aTerm, TimePoint aSentAt, TimePoint aNow)
{
  const std::int64_t certain = kPerMille - this->timing.driftPerMille;
  const TimePoint until =
    aSentAt + Milliseconds{ this->timing.timeToLive.count() * certain / kPerMille };
  if (aTerm < this->term || aNow >= until) {
    return GrantOutcome::Ignored;
  }
  if (!this->wanted) {
    return GrantOutcome::Unwanted;
  }
  const LeaseState before = this->State();
  if (before == LeaseState::Idle || before == LeaseState::Lost || before == LeaseState::Releasing) {
    return GrantOutcome::Ignored;
  }
  const bool isNew = aTerm > this->term;
  const bool acquiring = before == LeaseState::Acquiring;
  if (acquiring && !isNew && aSentAt < this->lastSent) {
    // A late renewal of the term that was lost: the acquisition under way settles the matter.
    return GrantOutcome::Ignored;
  }
  this->term = aTerm;
  this->validUntil = isNew ? until : std::max(this->validUntil, until);
  this->lastConfirmed = isNew ? aSentAt : std::max(this->lastConfirmed, aSentAt);
  this->machine->process_event(GrantReceived{});
  return isNew || acquiring ? GrantOutcome::Acquired : GrantOutcome::Renewed;
}

void
WorkerLease::Refused(LeaseTerm aTerm, TimePoint aNow)
{
  const LeaseState before = this->State();
  const bool concernsAcquisition = aTerm == 0 && before == LeaseState::Acquiring;
  const bool concernsTerm = aTerm != 0 && aTerm == this->term && before != LeaseState::Acquiring;
  if (!concernsAcquisition && !concernsTerm) {
    return;
  }
  this->machine->process_event(RefusalReceived{});
  this->RetryLater(aNow);
}

void
WorkerLease::Failed(TimePoint aSentAt, TimePoint aNow)
{
  if (this->State() == LeaseState::Acquiring && aSentAt == this->lastSent) {
    this->machine->process_event(RefusalReceived{});
    this->RetryLater(aNow);
  }
}

void
WorkerLease::Released(TimePoint aNow)
{
  this->machine->process_event(ReleaseDone{});
  this->RetryLater(aNow);
}

bool
WorkerLease::MayStart(TimePoint aNow) const
{
  const LeaseState state = this->State();
  const bool holds = state == LeaseState::Held || state == LeaseState::Lapsing;
  return holds && aNow < this->validUntil;
}

bool
WorkerLease::SurelyOver(TimePoint aNow) const
{
  const std::int64_t slow = kPerMille + this->timing.driftPerMille;
  const Milliseconds orphaned{ this->timing.orphanTimeout.count() * slow / kPerMille + 1 };
  return aNow >= this->lastSent + this->timing.maxDelay + orphaned;
}

std::size_t
WorkerLease::MachineSize()
{
  return sizeof(Machine);
}

}
