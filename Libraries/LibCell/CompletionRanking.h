#pragma once

/// @file
/// Preferences among workers of different speeds. Load: workers whose speeds differ by a factor of
/// two or more, with short tasks whose objective only the faster ones meet.

#include <LibBase/Time.h>
#include <LibCell/WorkerRanking.h>
#include <LibCell/WorkerSpeeds.h>

namespace zinc::cell {

/// What the choice among workers of different speeds depends on.
struct CompletionInput
{
  TimePoint now{};
  /// The step belongs to the most urgent queue.
  bool isUrgent = false;
  bool isGang = false;
  /// Number of tasks of the step, and how many of them wait.
  std::uint32_t tasks = 1;
  std::uint32_t waitingTasks = 1;
  Milliseconds estimate{ 0 };
  /// Estimated duration of the longest chain of steps that begins with this one.
  Milliseconds criticalPath{ 0 };
  /// Target end of the occurrence, and when its result loses its value.
  TimePoint objective{};
  TimePoint deadline{};
  /// Log factor by which the estimate is off.
  LogFactor factor;
  /// Rating of the fast workers of the pool.
  double fastRating = 0.0;
};

/// Prefers the slowest workers at which a task still ends in time, so that faster ones are left to
/// tasks that need them; among the other workers it prefers fast ones. Workers of similar speed
/// have the same rank, so that room decides between them.
class CompletionRanking final : public WorkerRanking
{
public:
  /// Sets the step whose tasks are placed.
  /// @param aMaxRating worst rating of a worker at which the tasks end in time
  void SetTarget(double aMaxRating, bool aIsGang)
  {
    this->maxRating = aMaxRating;
    this->isGang = aIsGang;
  }

  /// @return the slowest band whose workers are fast enough for the most part
  [[nodiscard]] int MaxBand() const;
  [[nodiscard]] int RankOf(const Worker& aWorker) const override;
  [[nodiscard]] std::optional<int> GangSpeedRange() const override;

private:
  double maxRating = 0.0;
  bool isGang = false;
};

/// @return the worst rating of a worker at which a task of the step probably meets its objective.
/// Once it cannot meet it, work that is not urgent aims at the deadline.
[[nodiscard]] double
ComputeMaxRating(const CompletionInput& aInput);

}
