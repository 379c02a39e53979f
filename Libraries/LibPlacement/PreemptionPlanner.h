#pragma once

/// @file
/// Chooses running tasks to preempt for urgent work.

#include <LibPlacement/CellState.h>

namespace zinc {

/// Preempts running tasks to make room for urgent tasks that have waited longer than the policy
/// allows. Preempts tasks of the teams with the largest weighted shares first.
class PreemptionPlanner
{
public:
  PreemptionPlanner(CellState& aState, TimePoint aNow)
    : state(aState)
    , now(aNow)
  {
  }

  /// Makes room for a limited number of waiting urgent tasks.
  void Run();

private:
  /// Whether gang members are candidates. Preempting one also preempts the rest of its gang.
  enum class GangMembers : std::uint8_t
  {
    Excluded,
    Included,
  };

  /// Tasks to preempt on one worker. @c worker is @ref kNoIndex if no eviction makes enough room.
  struct Eviction
  {
    WorkerIndex worker = kNoIndex;
    std::vector<TaskIndex> tasks;
    double cost = 0;
  };

  using CandidatesByWorker = std::unordered_map<WorkerIndex, std::vector<TaskIndex>>;

  /// @return urgent tasks that have waited longer than the policy allows, that their team's
  /// allowance admits and for which no reservation is pending.
  [[nodiscard]] std::vector<TaskIndex> FindOverdueTasks() const;
  /// Preempts tasks on one worker and reserves their room for the urgent task.
  void MakeRoomFor(TaskIndex aTask);
  /// @return the cheapest eviction that takes from as few teams as possible.
  [[nodiscard]] Eviction ChooseEviction(const Resources& aRequest, GangMembers aGangMembers) const;
  [[nodiscard]] Eviction FindCheapestEviction(const Resources& aRequest,
                                              CandidatesByWorker& aCandidates) const;
  /// Sorts the tasks and takes the most recently started ones until the request fits.
  [[nodiscard]] Eviction PlanEviction(WorkerIndex aWorker,
                                      std::vector<TaskIndex>& aTasks,
                                      const Resources& aRequest) const;
  /// @return teams with running tasks, largest weighted share first.
  [[nodiscard]] std::vector<TeamIndex> SortTeamsByShare() const;
  [[nodiscard]] bool IsCandidate(const TaskRecord& aRecord, GangMembers aGangMembers) const;
  [[nodiscard]] bool IsPreemptible(const TaskRecord& aRecord) const;
  [[nodiscard]] double ComputeCost(const TaskRecord& aRecord) const;

  CellState& state;
  TimePoint now;
};

}
