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
  enum class Attempt : std::uint8_t
  {
    Started,
    /// Its team may not have more running.
    NotAllowed,
    NoRoom,
  };

  /// Which teams a round over a tier takes in.
  enum class TeamFilter : std::uint8_t
  {
    All,
    /// Only teams whose checks alone keep within their part of the cell.
    ModestCheckers,
  };

  /// @return false if the filter left a team out.
  bool RunTier(Tier aTier, TeamFilter aFilter);
  [[nodiscard]] bool TryTeam(Tier aTier, TeamIndex aTeam);
  [[nodiscard]] Attempt TryBucket(Tier aTier, TeamTierQueue& aLane, std::uint32_t aBucket);
  /// Recomputes the bound on the room of the workers that gained some.
  void RefreshGainedRoom(Tier aTier);
  [[nodiscard]] Attempt TryTask(Tier aTier,
                                TaskIndex aTask,
                                std::span<const WorkerIndex> aCandidates);
  [[nodiscard]] Attempt TryGang(Tier aTier, TaskBucket& aBucket, TaskIndex aFirst);
  [[nodiscard]] std::vector<WorkerIndex> ChooseTogether(Tier aTier,
                                                        std::span<const TaskIndex> aMembers);
  [[nodiscard]] WorkerIndex ChooseWorker(const TaskRecord& aRecord,
                                         RoomKind aKind,
                                         std::span<const WorkerIndex> aCandidates);
  [[nodiscard]] WorkerIndex ChooseBackfill(const TaskRecord& aRecord,
                                           std::span<const WorkerIndex> aCandidates);
  void Start(TaskIndex aTask, WorkerIndex aWorker);
  [[nodiscard]] RoomKind KindOf(Tier aTier, TaskIndex aTask) const;
  [[nodiscard]] double KeyOf(Tier aTier, TeamIndex aTeam) const;
  [[nodiscard]] bool HasModestChecks(TeamIndex aTeam, double aWeights) const;
  [[nodiscard]] bool IsFull() const;

  CellState& state;
  TimePoint now;
  std::uint64_t number;
  /// No worker that gained room has more of any amount for work of the tier at hand.
  Resources gainedRoom;
  std::vector<Decision> starts;
};

}
