#pragma once

/// @file
/// Preference for workers at which a task slows nothing down and is not slowed down.

#include <LibCell/InterferenceModel.h>
#include <LibCell/WorkerRanking.h>

namespace zinc::cell {

/// Adds the expected interference to the ranks of another ranking. Workers that fit stay eligible
/// whatever their cost.
class InterferenceRanking final : public WorkerRanking
{
public:
  explicit InterferenceRanking(const InterferenceModel& aModel)
    : model(aModel)
  {
  }

  /// Sets what is ranked.
  /// @param aBase ranks the workers otherwise; must outlive the use of this ranking
  /// @param aImage image of the task to place
  void Select(const WorkerRanking& aBase, ImageNumber aImage)
  {
    this->base = &aBase;
    this->image = aImage;
  }

  [[nodiscard]] WorkerRank RankOf(const Worker& aWorker) const override;
  [[nodiscard]] std::optional<int> GangSpeedRange() const override
  {
    return this->base->GangSpeedRange();
  }

private:
  const InterferenceModel& model;
  const WorkerRanking* base = nullptr;
  ImageNumber image = kNoImage;
};

}
