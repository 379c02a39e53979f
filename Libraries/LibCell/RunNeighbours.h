#pragma once

/// @file
/// The image of a run, and the images that have run next to it on its worker.

#include <LibBase/Time.h>
#include <cstdint>
#include <vector>

namespace zinc::cell {

/// Identifies an image while @ref InterferenceModel keeps statistics of it. A number is not used
/// again after its image was evicted.
using ImageNumber = std::uint32_t;

/// Number of a run whose image is unknown, or that is not observed.
constexpr ImageNumber kNoImage = 0;

/// An image next to a run, and how much of the run's time it was there.
struct NeighbourShare
{
  ImageNumber image = kNoImage;
  /// 0 to 1; less for a neighbour that is paced.
  double share = 0.0;
};

/// What is observed of a run for the estimate of interference.
struct RunNeighbours
{
  ImageNumber image = kNoImage;
  /// The run's duration tells how fast it was: it started in this term, on its own and from the
  /// beginning.
  bool isMeasurable = false;
  /// The image is also seen as a victim by its tail latency.
  bool hasLatency = false;
  /// A report before this time is not sampled.
  TimePoint nextSample{};

  /// Time next to a neighbour that has ended, weighted by its duty cycle.
  struct PastNeighbour
  {
    ImageNumber image = kNoImage;
    double milliseconds = 0.0;
  };
  std::vector<PastNeighbour> past;
};

}
