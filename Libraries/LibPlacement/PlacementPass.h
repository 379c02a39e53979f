#pragma once

/// @file
/// One round of placement over the queued tasks.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Starts what fits, tier by tier and within a tier the team with the smallest share first.
class PlacementPass
{
public:
  PlacementPass(CellState& aState, TimePoint aNow, std::uint64_t aNumber);

  /// @return starts until nothing more fits or the limit of decisions is reached.
  [[nodiscard]] std::vector<Decision> Run();

private:
  /// Whether a task or gang could be started.
  enum class AttemptResult : std::uint8_t
  {
    Started,
    /// Its team may not have more running.
    OverAllowance,
    NoRoom,
  };

  /// Which teams a round over a tier takes in.
  enum class TeamFilter : std::uint8_t
  {
    All,
    /// Only teams whose checks alone keep within their part of the cell.
    WithinCheckShare,
  };

  /// @return false if the filter left a team out.
  bool RunTier(Tier aTier, TeamFilter aFilter);
  [[nodiscard]] bool TryStartFromTeam(Tier aTier, TeamIndex aTeam);
  [[nodiscard]] AttemptResult TryStartFromBucket(Tier aTier,
                                                 TeamTierQueue& aLane,
                                                 std::uint32_t aBucket);
  /// Recomputes the bound on the room of the workers that gained some.
  void RefreshMaxGainedRoom(Tier aTier);
  [[nodiscard]] AttemptResult TryStartTask(Tier aTier,
                                           TaskIndex aTask,
                                           std::span<const WorkerIndex> aCandidates);
  [[nodiscard]] AttemptResult TryStartGang(Tier aTier, TaskBucket& aBucket, TaskIndex aFirst);
  [[nodiscard]] std::vector<WorkerIndex> ChooseGangWorkers(Tier aTier,
                                                           std::span<const TaskIndex> aMembers);
  [[nodiscard]] WorkerIndex ChooseWorker(const TaskRecord& aRecord,
                                         RoomKind aKind,
                                         std::span<const WorkerIndex> aCandidates);
  [[nodiscard]] WorkerIndex ChooseBackfillWorker(const TaskRecord& aRecord,
                                                 std::span<const WorkerIndex> aCandidates);
  void Start(TaskIndex aTask, WorkerIndex aWorker);
  [[nodiscard]] RoomKind RoomKindOf(Tier aTier, TaskIndex aTask) const;
  [[nodiscard]] double TeamOrderKey(Tier aTier, TeamIndex aTeam) const;
  [[nodiscard]] bool IsWithinCheckShare(TeamIndex aTeam, double aWeights) const;
  [[nodiscard]] bool HasReachedDecisionLimit() const;

  CellState& state;
  TimePoint now;
  std::uint64_t passNumber;
  /// No worker that gained room has more of any amount for work of the tier at hand.
  Resources maxGainedRoom;
  std::vector<Decision> starts;
};

}
