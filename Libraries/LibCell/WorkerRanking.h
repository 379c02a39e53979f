#pragma once

/// @file
/// Preferences among workers that have room for a task.

#include <LibCell/Worker.h>
#include <optional>

namespace zinc::cell {

/// Ranks workers for the tasks of one step. Asked once for each worker with room.
class WorkerRanking
{
public:
  WorkerRanking() = default;
  virtual ~WorkerRanking() = default;
  WorkerRanking(const WorkerRanking&) = delete;
  WorkerRanking& operator=(const WorkerRanking&) = delete;

  /// @return the preference for a worker; lower ranks are chosen first
  [[nodiscard]] virtual int RankOf(const Worker& aWorker) const = 0;
  /// @return the largest difference of @ref RankOf within a gang, whose slowest member determines
  /// its end; nothing if the members' speeds do not matter
  [[nodiscard]] virtual std::optional<int> GangSpeedRange() const { return {}; }
};

/// Prefers fast workers for every task. Similarly fast workers have the same rank, so that room
/// decides between them.
class SlownessRanking final : public WorkerRanking
{
public:
  [[nodiscard]] int RankOf(const Worker& aWorker) const override;
};

}
