#pragma once

/// @file
/// Weighted dominant-resource fairness (DRF) and allowances of teams.

#include <LibBase/Resources.h>
#include <LibPlacement/Indices.h>
#include <vector>

namespace zinc {

/// Resource usage of a team, its weight and its limit.
struct TeamUsage
{
  double weight = 1.0;
  /// Limit of the running requests.
  Resources allowance;
  /// Requests of running tasks, limited by the allowance.
  Resources runningRequests;
  /// Requests of queued tasks.
  Resources queuedRequests;
  /// Resources allocated to running tasks, from which the share is computed.
  Resources charged;
  /// The portion of @ref charged that is allocated to checks.
  Resources chargedByChecks;
  /// Running tasks, unordered.
  std::vector<TaskIndex> running;
};

/// Accounts for the usage of teams and computes their weighted shares.
class FairShare
{
public:
  /// Adds records up to the team's index if they are missing.
  void Ensure(TeamIndex aTeam);
  void SetCapacity(const Resources& aCapacity) { this->capacity = aCapacity; }

  [[nodiscard]] TeamUsage& operator[](TeamIndex aTeam) { return this->teams[aTeam]; }
  [[nodiscard]] const TeamUsage& operator[](TeamIndex aTeam) const { return this->teams[aTeam]; }
  [[nodiscard]] std::size_t Size() const { return this->teams.size(); }

  /// @return true if the request fits in the team's allowance in addition to its running requests.
  [[nodiscard]] bool FitsAllowance(TeamIndex aTeam, const Resources& aRequest) const;

  /// @return the sum of the weights of all teams that have running or queued tasks.
  [[nodiscard]] double SumActiveWeights() const;

  /// @return the dominant share of all running tasks of the team, divided by its weight.
  [[nodiscard]] double WeightedShare(TeamIndex aTeam) const;

  /// @return the dominant share of the running checks of the team, divided by its weight.
  [[nodiscard]] double WeightedCheckShare(TeamIndex aTeam) const;

private:
  std::vector<TeamUsage> teams;
  Resources capacity;
};

}
