#pragma once

/// @file
/// Weighted dominant-resource shares and allowances of the teams.

#include <LibBase/Resources.h>
#include <LibPlacement/Indices.h>
#include <vector>

namespace zinc {

/// What a team has and may have.
struct TeamUsage
{
  double weight = 1.0;
  Resources allowance;
  /// Requests of running tasks, held against the allowance.
  Resources runningRequests;
  /// Requests of queued tasks.
  Resources queuedRequests;
  /// What running tasks take from workers, counted for shares.
  Resources charged;
  /// Part of @ref charged that checks take.
  Resources chargedByChecks;
  /// Running tasks in no particular order.
  std::vector<TaskIndex> running;
};

/// Accounts for the teams' running work and orders them.
class FairShare
{
public:
  /// Makes room for a team with this index.
  void Ensure(TeamIndex aTeam);
  void SetCapacity(const Resources& aCapacity) { this->capacity = aCapacity; }

  [[nodiscard]] TeamUsage& operator[](TeamIndex aTeam) { return this->teams[aTeam]; }
  [[nodiscard]] const TeamUsage& operator[](TeamIndex aTeam) const { return this->teams[aTeam]; }
  [[nodiscard]] std::size_t Size() const { return this->teams.size(); }

  /// @return true if the team may start this much more.
  [[nodiscard]] bool FitsAllowance(TeamIndex aTeam, const Resources& aRequest) const;

  /// @return sum of the weights of teams that have work running or queued.
  [[nodiscard]] double SumActiveWeights() const;

  /// @return dominant share of all that the team runs, over its weight.
  [[nodiscard]] double WeightedShare(TeamIndex aTeam) const;

  /// @return dominant share of the checks that the team runs, over its weight.
  [[nodiscard]] double WeightedCheckShare(TeamIndex aTeam) const;

private:
  std::vector<TeamUsage> teams;
  Resources capacity;
};

}
