#pragma once

/// @file
/// Preferences among workers that have room for a task.

#include <LibCell/Worker.h>
#include <compare>
#include <optional>

namespace zinc::cell {

/// Preference for a worker; lower ranks are chosen first.
struct WorkerRank
{
  int speed = 0;
  int interference = 0;

  // clang-tidy takes the comparison with 0 that the compiler generates for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const WorkerRank&, const WorkerRank&) = default;
};

/// Ranks workers for the tasks of one step. Asked once for each worker with room.
class WorkerRanking
{
public:
  WorkerRanking() = default;
  virtual ~WorkerRanking() = default;
  WorkerRanking(const WorkerRanking&) = delete;
  WorkerRanking& operator=(const WorkerRanking&) = delete;

  [[nodiscard]] virtual WorkerRank RankOf(const Worker& aWorker) const = 0;
  /// @return the largest difference of @ref WorkerRank::speed within a gang, whose slowest member
  /// determines its end; nothing if the members' speeds do not matter
  [[nodiscard]] virtual std::optional<int> GangSpeedRange() const { return {}; }
};

/// Prefers fast workers for every task. Similarly fast workers have the same rank, so that room
/// decides between them.
class SlownessRanking final : public WorkerRanking
{
public:
  [[nodiscard]] WorkerRank RankOf(const Worker& aWorker) const override;
};

}
