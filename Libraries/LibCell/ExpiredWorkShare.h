#pragma once

/// @file
/// The share of a pool for work whose result has no value left. Load: a lasting backlog, in which
/// such work would otherwise wait for idle capacity without end.

#include <LibBase/Time.h>
#include <LibCell/Ports.h>
#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace zinc::cell {

/// A pending step whose result has no value left.
struct ExpiredStep
{
  StepName name;
  WorkspaceId workspace;
  /// Latest start that would have met the objective.
  TimePoint latestStart{};
  /// Estimated work of its pending tasks: thousandths of a core times milliseconds.
  std::int64_t work = 0;
};

/// Limits of the share.
struct ExpiredWorkShareOptions
{
  /// Fraction of the pool's processor time. Small enough not to be noticed by other work: the least
  /// headroom for urgent tasks is more than twice as large.
  double share = 0.02;
  /// A step that has not started this long after it was chosen makes way for the next workspace,
  /// since its workspace's limit or its eligible workers may be taken for long.
  Milliseconds maxWait{ 10'000 };
};

/// Chooses one expired step of a pool at a time that is placed with the work that is on time. The
/// workspaces take turns; each gives its oldest step. The oldest step of a workspace is chosen
/// after at most one step of each other workspace, and after their work over the share of the
/// pool's processors (or @ref ExpiredWorkShareOptions::maxWait for each that cannot start).
class ExpiredWorkShare
{
public:
  explicit ExpiredWorkShare(ExpiredWorkShareOptions aOptions = {})
    : options(aOptions)
  {
  }

  /// @return true if @ref Choose would look at the steps
  [[nodiscard]] bool IsDue(TimePoint aNow) const
  {
    return this->chosen.has_value() || aNow >= this->nextChoice;
  }
  /// Keeps the chosen step for as long as it is pending, otherwise chooses another one if the share
  /// allows.
  /// @param aSteps all expired steps of the pool that are pending
  /// @param aMilliCores processors of the pool, thousandths of a core
  /// @return the chosen one of the steps, or null
  [[nodiscard]] const ExpiredStep* Choose(std::span<const ExpiredStep> aSteps,
                                          std::int64_t aMilliCores,
                                          TimePoint aNow);

private:
  struct ChosenStep
  {
    StepName name;
    TimePoint until{};
  };

  ExpiredWorkShareOptions options;
  std::optional<ChosenStep> chosen;
  TimePoint nextChoice{};
  /// When each workspace had its last turn.
  std::map<WorkspaceId, TimePoint> lastTurns;
};

}
