#pragma once

/// @file
/// The lease held at one worker, from the holder's side.

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibPlatform/Worker.h>
#include <cstdint>
#include <memory>
#include <optional>

namespace zinc {

/// Life of a lease.
enum class LeaseState : std::uint8_t
{
  Idle,
  Acquiring,
  Held,
  /// Still valid, but the last renewals brought no answer.
  Lapsing,
  Releasing,
  /// Lapsed or taken; the attempts under it may still run.
  Lost,
};

/// @return the lower-case name of the state.
[[nodiscard]] std::string_view
ToString(LeaseState aState);

/// Fixed at creation.
struct LeaseTiming
{
  Milliseconds timeToLive{ 3000 };
  /// Tasks are stopped this long after the last renewal by any holder.
  Milliseconds orphanTimeout{ 10000 };
  /// Time between renewals.
  Milliseconds renewEvery{ 750 };
  /// A call without a reply for this long is given up.
  Milliseconds callTimeout{ 1000 };
  /// Wait before the lease is asked for again.
  Milliseconds retryAfter{ 500 };
  /// Longest time that a request sent may take to be acted upon.
  Milliseconds maxDelay{ 5000 };
  /// Largest difference between the rates of the holder's and the worker's clocks, in thousandths.
  std::int64_t driftPerMille = 10;
};

/// What to ask of the worker.
enum class LeaseCallKind : std::uint8_t
{
  Acquire,
  Renew,
  Release,
};

/// A call to be made now.
struct LeaseCall
{
  LeaseCallKind kind = LeaseCallKind::Acquire;
  /// Term held; 0 to acquire.
  LeaseTerm term = 0;
  /// Hand it back with the reply.
  TimePoint sentAt{};

  friend bool operator==(const LeaseCall&, const LeaseCall&) = default;
};

/// What became of a grant.
enum class GrantOutcome : std::uint8_t
{
  /// A new term is held: take over what runs at the worker.
  Acquired,
  /// The same term is valid for longer, or a reply came twice.
  Renewed,
  /// Too late to be of use.
  Ignored,
  /// Not wanted any more: release this term at the worker.
  Unwanted,
};

/// Decides when to ask for, renew and give up the lease, and whether it certainly holds. It does no
/// I/O; the caller passes the time, reads it anew after every pause, and makes the calls.
class WorkerLease
{
public:
  /// @return a verdict if a duration is not positive or the renewals cannot keep the lease.
  [[nodiscard]] static Result<WorkerLease> Create(LeaseTiming aTiming);
  ~WorkerLease();
  WorkerLease(WorkerLease&&) noexcept;
  WorkerLease& operator=(WorkerLease&&) noexcept;

  /// Wants the lease from now on.
  void Want();
  /// Gives the lease up, or stops asking for it.
  void GiveUp(TimePoint aNow);

  /// Applies the time. @return a call to make now, if any.
  [[nodiscard]] std::optional<LeaseCall> Next(TimePoint aNow);

  /// Notes a request that renews the lease besides those of @ref Next, such as a poll.
  void RenewalSent(TimePoint aNow);

  /// Takes over a grant.
  /// @param aSentAt time read before the request was sent.
  GrantOutcome Granted(LeaseTerm aTerm, TimePoint aSentAt, TimePoint aNow);

  /// Takes over a certain refusal by the worker.
  /// @param aTerm term that was sent; 0 for an acquisition.
  void Refused(LeaseTerm aTerm, TimePoint aNow);

  /// Takes over a call that failed without an answer.
  void Failed(TimePoint aSentAt, TimePoint aNow);

  /// Takes over the worker's answer to a release.
  void Released(TimePoint aNow);

  [[nodiscard]] LeaseState State() const;
  /// Highest term granted so far.
  [[nodiscard]] LeaseTerm Term() const { return this->term; }
  /// @return the time until which the lease certainly holds.
  [[nodiscard]] TimePoint ValidUntil() const { return this->validUntil; }

  /// @return true if the lease certainly holds at this time and is not being given up.
  [[nodiscard]] bool MayStart(TimePoint aNow) const;

  /// @return true if the worker has stopped every attempt of this holder, provided that no other
  /// holder has renewed since: the caller rules that out.
  [[nodiscard]] bool SurelyOver(TimePoint aNow) const;

  /// @return bytes of one state machine with its queues.
  [[nodiscard]] static std::size_t MachineSize();

private:
  struct Machine;
  explicit WorkerLease(LeaseTiming aTiming);

  [[nodiscard]] std::optional<LeaseCall> NextAcquire(TimePoint aNow);
  [[nodiscard]] std::optional<LeaseCall> NextRenewal(TimePoint aNow);
  [[nodiscard]] std::optional<LeaseCall> NextRelease(TimePoint aNow);
  void RetryLater(TimePoint aNow);

  LeaseTiming timing;
  std::unique_ptr<Machine> machine;
  LeaseTerm term = 0;
  bool wanted = false;
  TimePoint validUntil{};
  /// When the last call that may renew the lease was sent.
  TimePoint lastSent{};
  /// When the last renewal that was granted had been sent.
  TimePoint lastConfirmed{};
  /// Earliest time of the next attempt to acquire or release.
  TimePoint notBefore{};
};

}
