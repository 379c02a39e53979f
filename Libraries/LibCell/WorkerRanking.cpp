#include <LibCell/WorkerRanking.h>

namespace zinc::cell {

namespace {

/// Slowness is compared in steps of this size, so that room decides between similarly fast workers.
constexpr double kSlownessStep = 0.35;

}

WorkerRank
SlownessRanking::RankOf(const Worker& aWorker) const
{
  return { .speed = static_cast<int>((aWorker.speed.smoothedRatio - 1.0) / kSlownessStep) };
}

}
