#pragma once

/// @file
/// What the leader has learned of the speed of a worker and of the run times of a step.

#include <LibBase/Time.h>
#include <LibMetrics/Forward.h>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace zinc::cell {

/// Number of a worker's kind or of a group of steps within @ref WorkerSpeeds.
using TermNumber = std::size_t;

/// Expected run times of the tasks of one step. They share one unknown estimation error.
struct StepTiming
{
  /// Steps with the same image, or queue, and workspace.
  TermNumber group = 0;
  /// Log of the factor by which the estimate is off, at a worker of speed 1. Valid if
  /// @ref hasEnds; before that the group's factor applies.
  double logFactor = 0.0;
  double variance = 0.0;
  bool hasEnds = false;
  /// Weight of one task's end in the group's factor, so that large steps do not dominate it.
  double taskWeight = 1.0;
  /// Actual over expected run times of the queue; may be null.
  Histogram* ratios = nullptr;
};

/// The estimated speed of one incarnation of a worker.
struct WorkerSpeed
{
  /// Smoothed ratio of run time to the caller's estimate; see @ref SlownessRanking.
  double smoothedRatio = 1.0;
  /// Log of the factor by which tasks take longer than at a worker of speed 1.
  double logSlowness = 0.0;
  double variance = 0.0;
  /// Mean of recent prediction errors in standard deviations; far from 0 after a change of speed.
  double bias = 0.0;
  /// Additional log slowness suggested by running tasks that are far beyond their expected end.
  double overdue = 0.0;
  /// Sum of @ref logSlowness and @ref overdue.
  double rating = 0.0;
  /// @ref rating in steps of @ref kRatingBand.
  int band = 0;
  /// The worker has become slow and is still rated slower than its kind.
  bool hasSlowed = false;
  TimePoint updatedAt{};
  /// The incarnation that the values belong to.
  std::int64_t incarnation = std::numeric_limits<std::int64_t>::min();
  TermNumber kind = 0;
};

/// Workers whose ratings differ by less than this are treated as equally fast, so that room decides
/// between them: 49%, wider than the error of a rating and narrower than the factor between kinds.
inline constexpr double kRatingBand = 0.4;

}
