#pragma once

/// @file
/// Which entry instance of a zone should own which worker, and which drives which ledger shard.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace zinc {

/// A live entry instance. Draining and dead ones are left out by the caller.
struct OwnerCandidate
{
  EntryId id;
  ZoneId zone;
  /// Part of the work it should get, relative to the others.
  double weight = 1.0;

  friend bool operator==(const OwnerCandidate&, const OwnerCandidate&) = default;
};

/// A worker to be owned.
struct OwnedWorker
{
  WorkerId id;
  ZoneId zone;

  friend bool operator==(const OwnedWorker&, const OwnedWorker&) = default;
};

/// Direction of a move.
enum class MoveKind : std::uint8_t
{
  Acquire,
  Release,
};

/// A lease to ask for or to give up.
struct OwnershipMove
{
  MoveKind kind = MoveKind::Acquire;
  WorkerId worker;
  /// The entry instance to tell of a release, if there is one.
  EntryId nextOwner;

  friend bool operator==(const OwnershipMove&, const OwnershipMove&) = default;
};

/// Fixed at creation.
struct OwnershipOptions
{
  EntryId self;
  /// Releases a second for the sake of balance.
  double maxMovesPerSecond = 20;
  /// Releases a second while this entry instance drains.
  double maxDrainMovesPerSecond = 200;
  /// Workers above an even part that one owner may get, as a fraction.
  double slack = 0.1;
  /// Wait after a worker refused because another holds its lease.
  Milliseconds retryAfter{ 1000 };
};

/// Assigns workers by weighted rendezvous hashing with bounded loads. All entry instances with the
/// same view compute the same owners; differing views are harmless, for the worker's lease decides.
class OwnershipMap
{
public:
  /// @return a verdict if a rate or the slack is not positive.
  [[nodiscard]] static Result<OwnershipMap> Create(OwnershipOptions aOptions);

  void SetEntries(std::vector<OwnerCandidate> aEntries);
  void SetWorkers(std::vector<OwnedWorker> aWorkers);

  /// @return who should own the worker; empty if the zone has no live entry instance or the worker
  /// is unknown.
  [[nodiscard]] EntryId DesiredOwner(const WorkerId& aWorker) const;

  /// @return which live entry instance of the cell should drive the shard; empty if there is none.
  [[nodiscard]] EntryId DesiredDriver(std::uint32_t aShard) const;

  /// Notes that the worker's lease is held here.
  void ReportAcquired(const WorkerId& aWorker);
  /// Notes that the worker's lease is not held here any more.
  void ReportReleased(const WorkerId& aWorker);
  /// Notes that another holds the lease.
  void ReportRefused(const WorkerId& aWorker, TimePoint aNow);
  /// Notes that the holder of the lease gave it up or died, so that it is asked for at once.
  void ReportFreed(const WorkerId& aWorker);

  /// @return leases to ask for now and leases to give up now. Asking is not bounded, giving up is.
  /// A move is returned once; a release is repeated if it is not reported within the retry time.
  [[nodiscard]] std::vector<OwnershipMove> Moves(TimePoint aNow);

private:
  explicit OwnershipMap(OwnershipOptions aOptions);

  void Assign();
  void AssignZone(const ZoneId& aZone, std::span<const WorkerId> aWorkers);
  void AddReleases(std::vector<OwnershipMove>& aMoves, TimePoint aNow);
  void AddAcquires(std::vector<OwnershipMove>& aMoves, TimePoint aNow);
  [[nodiscard]] bool IsDraining() const;
  void Refill(TimePoint aNow);

  OwnershipOptions options;
  std::vector<OwnerCandidate> entries;
  std::vector<OwnedWorker> workers;
  std::unordered_map<WorkerId, EntryId> owners;
  std::set<WorkerId> held;
  std::map<WorkerId, TimePoint> notBefore;
  double releaseTokens = 1;
  std::optional<TimePoint> refilledAt;
};

}
