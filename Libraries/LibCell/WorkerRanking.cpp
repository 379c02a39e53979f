#include <LibCell/WorkerRanking.h>

namespace zinc::cell {

namespace {

/// Slowness is compared in steps of this size, so that room decides between similarly fast workers.
constexpr double kSlownessStep = 0.35;

}

int
SlownessRanking::RankOf(const Worker& aWorker) const
{
  return static_cast<int>((aWorker.speed.smoothedRatio - 1.0) / kSlownessStep);
}

}
