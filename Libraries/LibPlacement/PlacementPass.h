#pragma once

/// @file
/// One placement pass over the queued tasks.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Starts queued tasks that fit, tier by tier, and within a tier by team, lowest weighted share
/// first.
class PlacementPass
{
public:
  /// @param aPassNumber differs between passes; a bucket that fails is not tried again in its pass.
  PlacementPass(CellState& aState, TimePoint aNow, std::uint64_t aPassNumber);

  /// Starts tasks until no more fit or the limit of starts is reached. @return the starts.
  [[nodiscard]] std::vector<Decision> Run();

private:
  /// Result of an attempt to start a task or gang.
  enum class AttemptResult : std::uint8_t
  {
    Started,
    /// The request does not fit in the team's allowance.
    OverAllowance,
    NoRoom,
  };

  /// Which teams a pass over a tier includes.
  enum class TeamFilter : std::uint8_t
  {
    All,
    /// Only teams whose running checks are within their fair share of the cell.
    WithinCheckShare,
  };

  /// @return false if the filter excluded a team that has tasks queued in the tier.
  bool RunTier(Tier aTier, TeamFilter aFilter);
  /// Tries the buckets of the team in their order. @return true if a task or gang was started.
  [[nodiscard]] bool TryStartFromTeam(Tier aTier, TeamIndex aTeam);
  /// Tries the oldest task or gang of the bucket.
  [[nodiscard]] AttemptResult TryStartFromBucket(Tier aTier,
                                                 TeamTierQueue& aQueue,
                                                 std::uint32_t aBucket);
  /// Recomputes @ref maxGainedRoom.
  void RefreshMaxGainedRoom(Tier aTier);
  [[nodiscard]] AttemptResult TryStartTask(Tier aTier,
                                           TaskIndex aTask,
                                           std::span<const WorkerIndex> aCandidates);
  [[nodiscard]] AttemptResult TryStartGang(Tier aTier, TaskBucket& aBucket, TaskIndex aFirst);
  /// @return a worker for each member, or fewer if not all of them have room.
  [[nodiscard]] std::vector<WorkerIndex> ChooseGangWorkers(Tier aTier,
                                                           std::span<const TaskIndex> aMembers);
  /// Chooses a worker by the policy of the work class. A worker on probation is chosen only for
  /// tasks that may run twice.
  [[nodiscard]] WorkerIndex ChooseWorker(const TaskRecord& aRecord,
                                         RoomKind aRoomKind,
                                         std::span<const WorkerIndex> aCandidates);
  [[nodiscard]] WorkerIndex ChooseBackfillWorker(const TaskRecord& aRecord,
                                                 std::span<const WorkerIndex> aCandidates);
  void Start(TaskIndex aTask, WorkerIndex aWorker);
  [[nodiscard]] RoomKind RoomKindOf(Tier aTier, TaskIndex aTask) const;
  /// @return the weighted share by which the teams of a tier are ordered, lowest first.
  [[nodiscard]] double TeamOrderKey(Tier aTier, TeamIndex aTeam) const;
  [[nodiscard]] bool IsWithinCheckShare(TeamIndex aTeam, double aActiveWeights) const;
  [[nodiscard]] bool HasReachedStartLimit() const;

  CellState& state;
  TimePoint now;
  std::uint64_t passNumber;
  /// Elementwise maximum of the room on workers that have gained room, for the current tier.
  Resources maxGainedRoom;
  std::vector<Decision> starts;
};

}
