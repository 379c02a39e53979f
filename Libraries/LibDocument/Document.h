#pragma once

/// @file
/// The declared document: everything that operators tell the cell.

#include <LibBase/Identifier.h>
#include <LibBase/Resources.h>
#include <LibBase/Task.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinc {

/// A customer, to whom teams belong.
struct Workspace
{
  WorkspaceId id;

  friend bool operator==(const Workspace&, const Workspace&) = default;
};

/// A group of submitters with rights of its own.
struct Team
{
  TeamId id;
  WorkspaceId workspace;
  /// Weight while the cell is full.
  double share = 1.0;
  /// Upper limit of what it may have running across the fleet.
  Resources limit;

  friend bool operator==(const Team&, const Team&) = default;
};

/// A granted key; the secret itself is not stored.
struct Key
{
  KeyId id;
  TeamId team;
  /// Hexadecimal.
  std::string salt;
  /// SHA-256 of salt and secret, hexadecimal.
  std::string hash;

  friend bool operator==(const Key&, const Key&) = default;
};

/// Who may submit to a queue.
enum class QueueAccess : std::uint8_t
{
  /// Anyone; work is counted to the queue's own team.
  Open,
  /// Bearers of a key of one of the queue's teams.
  Keyed,
};

/// Where a queue's work may run.
enum class QueueReach : std::uint8_t
{
  Zone,
  AnyZone,
};

/// A named way in, with the policy of the work that uses it.
struct Queue
{
  QueueId id;
  QueueAccess access = QueueAccess::Keyed;
  /// Teams admitted; empty admits every team. An open queue names the one that is charged.
  std::vector<TeamId> teams;
  WorkClass workClass = WorkClass::Check;
  Urgency urgency = Urgency::Normal;
  Idempotence idempotence = Idempotence::Idempotent;
  QueueReach reach = QueueReach::Zone;
  /// Longest wait for a start before the request is given up; empty waits without end.
  std::optional<Milliseconds> deadline;
  /// Tasks that may wait at one entry instance.
  std::uint32_t maxQueued = 1000;
  /// Retries allowed for each request served, as a fraction.
  double retryBudget = 0.1;
  /// Starts of one task after failures of workers.
  std::uint32_t maxAttempts = 3;

  friend bool operator==(const Queue&, const Queue&) = default;
};

/// How a worker is chosen among those with room.
enum class PlacementStrategy : std::uint8_t
{
  FirstFit,
  BestFit,
  DotProduct,
  LeastLoaded,
  PowerOfChoices,
  Random,
};

/// Failure domain over which copies of a service are spread.
enum class SpreadDomain : std::uint8_t
{
  None,
  Worker,
  Rack,
};

/// Policy of one work class.
struct ClassPolicy
{
  PlacementStrategy strategy = PlacementStrategy::BestFit;
  SpreadDomain spread = SpreadDomain::None;

  friend bool operator==(const ClassPolicy&, const ClassPolicy&) = default;
};

/// Policy of the cell.
struct PlacementPolicy
{
  ClassPolicy check{ .strategy = PlacementStrategy::LeastLoaded };
  ClassPolicy batch{ .strategy = PlacementStrategy::BestFit };
  ClassPolicy allAtOnce{ .strategy = PlacementStrategy::BestFit };
  ClassPolicy service{ .strategy = PlacementStrategy::LeastLoaded, .spread = SpreadDomain::Rack };
  /// Urgent work may displace other work after this wait.
  Milliseconds preemptAfter{ 1000 };
  /// Displacements of one task.
  std::uint32_t maxPreemptions = 3;
  /// Fraction of a zone's workers that may be quarantined at once.
  double maxQuarantined = 0.2;

  friend bool operator==(const PlacementPolicy&, const PlacementPolicy&) = default;
};

/// A validated document.
struct Document
{
  std::uint64_t version = 0;
  std::vector<Workspace> workspaces;
  std::vector<Team> teams;
  std::vector<Key> keys;
  std::vector<Queue> queues;
  PlacementPolicy placement;

  [[nodiscard]] const Team* FindTeam(const TeamId& aId) const;
  [[nodiscard]] const Key* FindKey(const KeyId& aId) const;
  [[nodiscard]] const Queue* FindQueue(const QueueId& aId) const;

  friend bool operator==(const Document&, const Document&) = default;
};

}
