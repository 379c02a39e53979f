#pragma once

/// @file
/// Estimates which images slow each other down on one worker. Load: tasks whose contention for
/// caches, memory or disks does not show in their declared resources.

#include <LibBase/Time.h>
#include <LibCell/RunNeighbours.h>
#include <LibCell/Worker.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinc::cell {

/// Thresholds of @ref InterferenceModel.
struct InterferenceOptions
{
  /// Images that are observed at a time; at most 64. The least recently seen one is evicted.
  std::size_t maxImages = 64;
  /// Half of what is known of a pair is forgotten after this long.
  Milliseconds halfLife{ 60'000 };
  /// Half of what is known of a worker is forgotten after this long. Shorter than @ref halfLife,
  /// since the worker's expected slowness adapts meanwhile.
  Milliseconds workerHalfLife{ 10'000 };
  /// Co-located runs from which on a pair can take effect.
  double minRuns = 8.0;
  /// Workers at which the pair must have been seen; one slow worker does not name a pair.
  int minWorkers = 3;
  /// Estimated slowdown from which on a pair can take effect; a smaller one does not justify a
  /// worse fit.
  double minFactor = 1.3;
  /// The slowdown exceeds this factor with a confidence of @ref confidence standard deviations.
  double minConfidentFactor = 1.05;
  double confidence = 4.0;
  /// A pair loses its effect once its slowdown does not exceed this factor by a standard deviation.
  double dropFactor = 1.05;
};

/// Which measurement a sample is of. Each has its own level for an image.
enum class InterferenceMeasure : std::uint8_t
{
  /// Run time of a finished task over its estimate.
  RunTime,
  /// Tail latency of a service task in ms.
  TailLatency,
};

/// A measurement of one run, and what else it may depend on.
struct InterferenceSample
{
  ImageNumber victim = kNoImage;
  InterferenceMeasure measure = InterferenceMeasure::RunTime;
  /// Positive.
  double value = 1.0;
  /// How much slower the worker is expected to be by itself; 1 is the mean.
  double expectedSlowness = 1.0;
  /// Processors in use at the worker over its capacity.
  double processorUse = 0.0;
  WorkerNumber worker = 0;
  std::span<const NeighbourShare> neighbours;
  /// Fraction of an independent run that the sample counts as.
  double weight = 1.0;
};

/// What is known of the effect of a neighbour on a victim.
struct PairEstimate
{
  std::string victim;
  std::string neighbour;
  /// Time next to the neighbour over the time without it.
  double factor = 1.0;
  /// Co-located runs, with forgetting.
  double runs = 0.0;
};

/// A pair that has taken effect, or has lost it.
struct PairChange
{
  PairEstimate pair;
  bool isInEffect = false;
};

/// Attributes the logarithm of a measurement to its possible causes, as a sum: the level of the
/// image, the worker, the worker's processor use for this image, and each neighbour. Every cause
/// has a mean and a variance, and a sample corrects each in proportion to its variance (a Kalman
/// filter without covariances). A sample costs time proportional to its neighbours.
class InterferenceModel
{
public:
  explicit InterferenceModel(InterferenceOptions aOptions = {});

  /// Marks an image as seen; evicts the least recently seen one if there are too many.
  /// @return its number; @ref kNoImage for an empty name
  ImageNumber RecordImage(std::string_view aName, TimePoint aNow);
  /// @return the number of an image; @ref kNoImage if it is not observed
  [[nodiscard]] ImageNumber FindImage(std::string_view aName) const;
  /// Learns from a measurement.
  void AddSample(const InterferenceSample& aSample, TimePoint aNow);
  /// Forgets; pairs without recent evidence lose their effect.
  void Forget(TimePoint aNow);

  /// @return true if no image was seen
  [[nodiscard]] bool IsEmpty() const { return this->numbers.empty(); }
  [[nodiscard]] bool HasPairsInEffect() const { return this->pairsInEffect > 0; }
  /// @return true if the image is the victim or the neighbour of a pair in effect
  [[nodiscard]] bool IsInPair(ImageNumber aImage) const;
  /// @return the logarithm of the slowdown of a pair in effect; 0 for other pairs
  [[nodiscard]] double EffectOn(ImageNumber aVictim, ImageNumber aNeighbour) const;
  /// @return the pairs in effect
  [[nodiscard]] std::vector<PairEstimate> PairsInEffect() const;
  /// @return what is known of a pair, whether or not it is in effect
  [[nodiscard]] PairEstimate EstimateOf(std::string_view aVictim,
                                        std::string_view aNeighbour) const;
  /// @return pairs that have taken or lost effect since the last call, at most 64
  [[nodiscard]] std::vector<PairChange> TakeChanges();

private:
  /// A cause's effect on the logarithm of a measurement.
  struct Effect
  {
    double mean = 0.0;
    double variance = 0.0;
    TimePoint updated{};
  };

  /// What is known of a victim and a neighbour.
  struct Pair
  {
    Effect effect;
    double runs = 0.0;
    /// The workers where they were seen, by number modulo 64.
    std::uint64_t workers = 0;
  };

  /// An image by one measurement.
  struct Level
  {
    Effect level;
    Effect crowding;
    /// Variance of a measurement that no cause explains.
    double noise = 0.0;
    bool isKnown = false;
  };

  struct Image
  {
    std::string name;
    ImageNumber number = kNoImage;
    TimePoint lastSeen{};
    std::array<Level, 2> levels;
    /// Effects of neighbours, by their slot.
    std::vector<Pair> neighbours;
    /// Slots of the neighbours, and of the victims, of pairs in effect.
    std::uint64_t slowedBy = 0;
    std::uint64_t slows = 0;
  };

  [[nodiscard]] const Image* Find(ImageNumber aNumber) const;
  [[nodiscard]] std::size_t SlotOf(ImageNumber aNumber) const;
  [[nodiscard]] std::size_t FindFreeSlot();
  void Evict(std::size_t aSlot);
  void ForgetPair(Pair& aPair, TimePoint aNow) const;
  [[nodiscard]] Effect& DeviationOf(WorkerNumber aWorker);
  /// Lets a pair take or lose effect.
  void UpdatePair(std::size_t aVictim, std::size_t aNeighbour);
  void SetInEffect(std::size_t aVictim, std::size_t aNeighbour, bool aIsInEffect);
  [[nodiscard]] PairEstimate Describe(std::size_t aVictim, std::size_t aNeighbour) const;

  InterferenceOptions options;
  std::vector<Image> images;
  std::map<std::string, ImageNumber, std::less<>> numbers;
  /// Deviation of each worker from its expected slowness, by number.
  std::vector<Effect> workers;
  std::size_t pairsInEffect = 0;
  std::vector<PairChange> changes;
};

}
