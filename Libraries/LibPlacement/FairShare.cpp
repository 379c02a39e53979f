#include <LibPlacement/FairShare.h>

namespace zinc {

void
FairShare::Ensure(TeamIndex aTeam)
{
  if (aTeam >= this->teams.size()) {
    this->teams.resize(aTeam + 1);
  }
}

bool
FairShare::FitsAllowance(TeamIndex aTeam, const Resources& aRequest) const
{
  const TeamUsage& team = this->teams[aTeam];
  return (team.runningRequests + aRequest).FitsIn(team.allowance);
}

double
FairShare::SumActiveWeights() const
{
  double sum = 0;
  for (const TeamUsage& team : this->teams) {
    if (!team.running.empty() || team.queuedRequests != Resources{}) {
      sum += team.weight;
    }
  }
  return sum;
}

double
FairShare::WeightedShare(TeamIndex aTeam) const
{
  const TeamUsage& team = this->teams[aTeam];
  return DominantShare(team.charged, this->capacity) / team.weight;
}

double
FairShare::WeightedCheckShare(TeamIndex aTeam) const
{
  const TeamUsage& team = this->teams[aTeam];
  return DominantShare(team.chargedByChecks, this->capacity) / team.weight;
}

}
