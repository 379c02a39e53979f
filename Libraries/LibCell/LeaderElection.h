#pragma once

/// @file
/// Leader election of the cell by compare-and-set on one row of the store, the leader record.

#include <LibCell/LeaderReport.h>
#include <LibCell/MonitoredStore.h>
#include <LibCell/Records.h>
#include <LibLog/Logger.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace zinc::cell {

/// Intervals and timeouts of the election.
struct LeaderElectionOptions
{
  Milliseconds renewalInterval{ 500 };
  /// A renewal without a response is sent again after this long, so that one lost response does not
  /// cost the term.
  Milliseconds renewalResendDelay{ 400 };
  /// Delay before a failed renewal is retried.
  Milliseconds renewalRetryDelay{ 150 };
  /// The leader is certain to be the only one until this long after it sent its last successful
  /// renewal.
  Milliseconds termDuration{ 6000 };
  /// Upper bound from the end of a term to the expiry of the leases granted in it: the longest
  /// lease on a slow clock, plus the time that orders are in flight.
  Milliseconds maxLeaseAfterTerm{ 6420 };
  /// A leader whose record has not changed for this long is replaced. Three missed renewals.
  Milliseconds leaderTimeout{ 1600 };
  /// If the last successful read of the row is older, the state of the leader counts as unknown.
  Milliseconds maxReadAge{ 1500 };
  /// A newly started instance waits this long before it creates a missing leader record, so that
  /// it has read the rows of the other instances.
  Milliseconds startupDelay{ 600 };
  /// Delay between the attempts of instances of successive rank, so that they do not compete.
  Milliseconds candidacyStagger{ 60 };
  /// Extra delay of a slow instance, so that others take over first.
  Milliseconds slowCandidacyDelay{ 1500 };
  /// How long a small instance that could not read the leader record leaves taking over to larger
  /// ones. When the store returns from an outage, their reads may succeed a request timeout later.
  Milliseconds smallInstanceDelayAfterOutage{ 1500 };
  /// Minimum age of a term before it is handed over because the machine is slow, so that the leader
  /// does not change too often; machines are slow for 4 to 6 s at a time.
  Milliseconds minTermBeforeHandover{ 2000 };
  /// Minimum processor size of an instance that a slow leader hands over to, as a fraction of its
  /// own. One below this fraction of the largest instance counts as small.
  double minSuccessorCpuRatio = 0.75;
};

/// A term that has begun, and what it inherits.
struct Term
{
  /// Fencing token of the term.
  std::uint64_t token = 0;
  bool hadPredecessor = false;
  /// The predecessor no longer sends orders, and it had finished its own recovery.
  bool hasPredecessorStopped = false;
  /// All leases granted by earlier leaders have expired by then.
  TimePoint priorLeasesExpiry{};
  /// Jobs that may have runs at workers that were draining. Earlier leaders started nothing else
  /// there.
  DrainingJobs drainingJobs;
  /// Workers at which runs of earlier leaders may exist.
  std::vector<WorkerId> previousWorkers;
  /// Those of them that the predecessor was not in contact with, and when their leases have
  /// expired.
  std::map<WorkerId, TimePoint> suspendedLeases;
  /// Those of them that started lately and carry out no order for an earlier incarnation.
  FencedIncarnations fencedIncarnations;
  /// Progress rows name all steps whose tasks earlier leaders may have started.
  bool hasStartRecords = true;
};

/// Sent to its successor by a leader that has lost the store.
struct Resignation
{
  /// Fencing token of the term that ended.
  std::uint64_t token = 0;
  /// Workers at which runs of that term may exist.
  std::vector<std::string> workers;
};

/// Elects one of the instances as leader and keeps its term alive.
///
/// It writes the leader record but does not read it: the code that watches the cell table passes
/// the rows to it. All calls and callbacks are made on the control thread.
class LeaderElection
{
public:
  struct Dependencies
  {
    MonitoredStore& store;
    const Clock& clock;
    const Logger& log;
    std::function<void(const Term&)> onTermBegun;
    /// Gets the reason.
    std::function<void(std::string_view)> onTermLost;
    /// Called before each renewal.
    std::function<LeaderReport()> makeReport;
    /// Called with the report that a successful renewal has written, and the version of the record;
    /// may be empty.
    std::function<void(const LeaderReport&, std::uint64_t)> onReportStored;
  };

  /// Identity of this instance.
  struct Identity
  {
    std::string name;
    /// Unique to each start of the process.
    std::string incarnation;
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t milliCores = 0;
  };

  LeaderElection(Dependencies aDependencies,
                 Identity aIdentity,
                 LeaderElectionOptions aOptions = {});

  /// Processes the row of the leader record as it was read; version 0 means that it does not exist.
  void OnLeaderRow(const Row& aRow);
  /// Processes the version of the term row, which every new term writes to the job table.
  void OnTermRow(std::uint64_t aVersion);
  /// Processes another instance's own row.
  /// @param aVersion version of that row
  void OnInstanceRecord(const std::string& aName,
                        const InstanceRecord& aRecord,
                        std::uint64_t aVersion);
  /// Renews the term or tries to take over when that is due.
  /// @param aLastRead when the cell table was last read; empty if the last read failed
  void Tick(std::optional<TimePoint> aLastRead);
  /// Renews the term with the next tick.
  void RenewSoon();
  /// Sets whether this machine is slow. A slow leader hands over if another instance is large
  /// enough, and a slow instance lets the others take over first.
  void SetSlow(bool aIsSlow);
  /// Hands over the term, if there is one, and never takes over again.
  void Leave();

  /// Ends the term immediately, without the store.
  /// @return the message for the successor; empty if this instance is not the leader.
  [[nodiscard]] std::optional<Resignation> Resign();
  /// Processes a leader's resignation. This instance takes over when the leader record that it
  /// reads is the one of that term.
  void OnResignation(Resignation aResignation);

  [[nodiscard]] bool IsLeader() const { return this->state == State::Leader; }
  /// @return until when this instance is certain to be the only leader.
  [[nodiscard]] TimePoint TermEnd() const { return this->termEnd; }
  /// @return the number of instances that take over before this one.
  [[nodiscard]] std::size_t Rank() const;
  /// @return the leader as last read from the store.
  [[nodiscard]] const std::optional<LeaderRecord>& CurrentLeader() const { return this->leader; }
  /// @return the time since the leader record was written; empty if unknown.
  [[nodiscard]] std::optional<Milliseconds> LeaderRecordAge() const;

private:
  enum class State : std::uint8_t
  {
    Follower,
    /// The transaction that begins its term has no response yet.
    Candidate,
    Leader,
    Left,
  };

  /// @return true if the leader has stopped or its record has not changed for too long.
  [[nodiscard]] bool IsTakeoverDue(std::optional<TimePoint> aLastRead) const;
  /// @return true if the instance is much smaller than the largest one
  [[nodiscard]] bool IsSmall() const;
  /// @return true if there is no leader, or if it certainly no longer sends orders.
  [[nodiscard]] bool HasLeaderStopped() const;
  /// @return true if the current leader has sent its resignation to this instance.
  [[nodiscard]] bool HasLeaderResigned() const;
  /// @return when all leases granted by the current leader have expired.
  [[nodiscard]] TimePoint LeaderLeasesExpiry() const;
  /// @return true if the current leader has stopped before it may have started unrecorded tasks.
  [[nodiscard]] bool HasLeaderRecordedStarts() const;
  /// @return when the leases have expired that the current leader does not renew.
  [[nodiscard]] std::map<WorkerId, TimePoint> SuspendedLeasesExpiry() const;
  void RequestLeadership();
  void OnLeadershipResult(TimePoint aSent, const Result<CommitResult>& aResult);
  void BeginTerm(std::uint64_t aToken, TimePoint aSent);
  void Renew();
  /// @return true if another instance is large enough to hand over to.
  [[nodiscard]] bool HasSuccessor() const;
  void OnRenewalResult(TimePoint aSent,
                       const LeaderReport& aReport,
                       bool aIsHandover,
                       const Result<CommitResult>& aResult);
  void EndTerm(std::string_view aReason);
  /// Ends the term after the leader record was written with @ref LeaderRecord::isResigning.
  void CompleteHandover();
  [[nodiscard]] RowKey LeaderRowKey() const;
  [[nodiscard]] bool IsOwnRecord(const LeaderRecord& aRecord) const;

  Dependencies dependencies;
  Identity identity;
  LeaderElectionOptions options;
  State state = State::Follower;
  bool hasRow = false;
  /// Version of the leader record's row.
  std::uint64_t rowVersion = 0;
  std::optional<LeaderRecord> leader;
  /// The leader that this instance replaces, and its state when the term was requested; see
  /// @ref Term.
  std::optional<LeaderRecord> predecessor;
  bool hasPredecessorStopped = false;
  bool hasStartRecords = false;
  TimePoint priorLeasesExpiry{};
  std::map<WorkerId, TimePoint> suspendedLeasesExpiry;
  std::optional<Resignation> resignation;
  struct Instance
  {
    std::string incarnation;
    std::uint32_t milliCores = 0;
    std::uint64_t version = 0;
  };
  std::map<std::string, Instance> instances;
  TimePoint createdAt{};
  /// Since when the row is known not to have changed; moves on while it cannot be read.
  TimePoint unchangedSince{};
  /// Time of the last call of @ref Tick.
  TimePoint lastTick{};
  /// When the record could not be read last.
  std::optional<TimePoint> unreadableAt;
  /// When the current version of the row was first seen.
  TimePoint rowSeenAt{};
  TimePoint takeoverDueSince{};
  TimePoint termEnd{};
  TimePoint nextRenewalAt{};
  std::uint64_t token = 0;
  bool isRenewing = false;
  /// When the latest renewal was sent.
  TimePoint renewalSentAt{};
  /// The report has changed since the renewal in flight was sent.
  bool isRenewalOutdated = false;
  bool isLeaving = false;
  bool isSlow = false;
  /// The next renewal hands over the term.
  bool isHandingOver = false;
  TimePoint termBegunAt{};
};

}
