#pragma once

/// @file
/// Which instance conducts the cell: one row, taken by compare-and-set.

#include <LibCell/MonitoredStore.h>
#include <LibCell/Records.h>
#include <LibLog/Logger.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace zinc::cell {

/// Times of the ownership row.
struct LeaderElectionOptions
{
  /// Time between two renewals.
  Milliseconds renewEvery{ 500 };
  /// Time until a renewal that failed is tried again.
  Milliseconds renewRetry{ 150 };
  /// The owner is certain of its term for this long after it sent its last renewal.
  Milliseconds term{ 6000 };
  /// A lease granted at the end of a term ends within this: the longest lease by a slow clock, with
  /// time for orders on their way.
  Milliseconds leaseBound{ 6420 };
  /// An owner whose row stands still for this long is taken to be gone. Three missed renewals.
  Milliseconds takeoverAfter{ 1600 };
  /// A row that was not read for this long says nothing of its owner.
  Milliseconds staleView{ 1500 };
  /// An instance that has just started takes a free row only after this, when it knows the others.
  Milliseconds firstTake{ 600 };
  /// Time between the attempts of two instances, so that one is first.
  Milliseconds stagger{ 60 };
  /// A slow instance takes a free row only after this, when no other has.
  Milliseconds slowDelay{ 1500 };
  /// Least time between a begin of a term and handing it over for slowness, so that terms do not
  /// change too often; machines are slow for 4 to 6 s.
  Milliseconds handOverPause{ 2000 };
  /// Part of the owner's processor that another instance needs to have for handing over to it.
  double heirSize = 0.75;
};

/// What the owner publishes with each renewal.
struct LeaderReport
{
  std::vector<std::string> workers;
  std::map<std::string, std::uint64_t> waiting;
  /// Runs of a leader before this one may still be at workers that were not read.
  bool isRecovering = false;
  /// How long these may go on.
  Milliseconds recoveryLeft{ 0 };
};

/// A term that has begun.
struct Term
{
  std::uint64_t token = 0;
  bool hadPredecessor = false;
  /// The predecessor cannot act any more.
  bool isPredecessorDead = false;
  /// Everything that leaders before have granted has ended by then.
  TimePoint predecessorEnd{};
  /// Everything that leaders before the predecessor have granted has ended by then.
  TimePoint formerEnd{};
  /// How old the predecessor's row was when the term was sought; nothing if that is not known.
  std::optional<Milliseconds> predecessorAge;
  std::vector<WorkerId> previousWorkers;
};

/// What an owner that lost the store tells the instance that is to take over.
struct Resignation
{
  /// Token of the term that has ended.
  std::uint64_t token = 0;
  /// Workers at which runs of that term may be.
  std::vector<std::string> workers;
};

/// Takes, renews and gives up the ownership row. Decisions only: it reads the row as the follower
/// of the cell's table tells it.
class LeaderElection
{
public:
  struct Dependencies
  {
    MonitoredStore& store;
    const Clock& clock;
    const Logger& log;
    std::function<void(const Term&)> onBegun;
    std::function<void(std::string_view)> onLost;
    /// Called before each renewal.
    std::function<LeaderReport()> news;
    /// Called when the row names these workers for certain; may be empty.
    std::function<void(const std::vector<std::string>&)> onPublished;
  };

  /// Who this instance is.
  struct Identity
  {
    std::string name;
    /// Differs from one life of the process to the next.
    std::string incarnation;
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t milliCores = 0;
  };

  LeaderElection(Dependencies aDependencies,
                 Identity aIdentity,
                 LeaderElectionOptions aOptions = {});

  /// Takes the ownership row as it was read; an absent row has version 0.
  void OnLeaderRow(const Row& aRow);
  /// Takes the version of the row that every new term writes among the jobs.
  void OnTermRow(std::uint64_t aVersion);
  /// Takes another instance's incarnation as its own row says.
  /// @param aVersion version of that row
  void OnInstance(const std::string& aName, const InstanceRecord& aRecord, std::uint64_t aVersion);
  /// @param aLastRead when the cell's table was last read with success; nothing if it fails
  void Tick(std::optional<TimePoint> aLastRead);
  /// Renews the row with the next tick.
  void RenewSoon();
  /// Declares whether this machine is slow: an owner then hands its term over if another instance
  /// is large enough, and stays behind the others.
  void SetSlow(bool aIsSlow);
  /// Stops taking over, and hands the term over if there is one.
  void Leave();

  /// Ends the term at once, without the store.
  /// @return what the next owner has to know; nothing if there is no term.
  [[nodiscard]] std::optional<Resignation> Resign();
  /// Takes over from an owner that has resigned, once its row is the one that stands.
  void OnResigned(Resignation aResignation);

  [[nodiscard]] bool IsLeader() const { return this->state == State::Leader; }
  /// @return until when this instance is certainly the owner.
  [[nodiscard]] TimePoint TermEnd() const { return this->termEnd; }
  /// @return how many instances would take over before this one.
  [[nodiscard]] std::size_t Rank() const;
  /// @return the owner as last read.
  [[nodiscard]] const std::optional<LeaderRecord>& CurrentLeader() const { return this->owner; }

private:
  enum class State : std::uint8_t
  {
    Follower,
    Taking,
    Leader,
    Left,
  };

  [[nodiscard]] bool IsOwnerGone(std::optional<TimePoint> aLastRead) const;
  [[nodiscard]] bool IsOwnerDead() const;
  /// @return true if the owner of the row that stands has told this instance that it stopped.
  [[nodiscard]] bool HasOwnerResigned() const;
  /// @return when everything has ended that the owner of the row has granted.
  [[nodiscard]] TimePoint GrantsEnd() const;
  /// @return when everything has ended that owners before that one have granted.
  [[nodiscard]] TimePoint FormerGrantsEnd() const;
  /// @return the time since the row that stands was written; nothing if that is not known.
  [[nodiscard]] std::optional<Milliseconds> RowAge() const;
  void Take();
  void OnTaken(TimePoint aSent, const Result<CommitResult>& aAnswer);
  void Begin(std::uint64_t aToken, TimePoint aSent);
  void Renew();
  [[nodiscard]] bool HasHeir() const;
  void OnRenewed(TimePoint aSent,
                 const std::vector<std::string>& aWorkers,
                 bool aIsGivenUp,
                 const Result<CommitResult>& aAnswer);
  void Lose(std::string_view aReason);
  /// Ends the term after the row that gives it up was written.
  void GiveUp();
  [[nodiscard]] RowKey OwnerKey() const;
  [[nodiscard]] bool IsMine(const LeaderRecord& aRecord) const;

  Dependencies dependencies;
  Identity identity;
  LeaderElectionOptions options;
  State state = State::Follower;
  bool hasRow = false;
  std::uint64_t version = 0;
  std::optional<LeaderRecord> owner;
  /// The record that this instance replaced.
  std::optional<LeaderRecord> replaced;
  bool isReplacedDead = false;
  TimePoint replacedEnd{};
  TimePoint formerEnd{};
  std::optional<Milliseconds> replacedAge;
  std::optional<Resignation> resigned;
  struct Instance
  {
    std::string incarnation;
    std::uint32_t milliCores = 0;
    std::uint64_t version = 0;
  };
  std::map<std::string, Instance> instances;
  TimePoint created{};
  TimePoint unchangedSince{};
  /// When the row that stands was seen for the first time.
  TimePoint changedAt{};
  TimePoint goneSince{};
  TimePoint termEnd{};
  TimePoint nextRenewal{};
  std::uint64_t token = 0;
  bool isRenewing = false;
  /// The record has changed since the renewal that is under way.
  bool isRenewalOld = false;
  bool isLeaving = false;
  bool isSlow = false;
  /// The next renewal gives the term up.
  bool isHandingOver = false;
  TimePoint termBegun{};
};

}
