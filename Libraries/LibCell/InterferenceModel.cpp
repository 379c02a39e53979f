#include <LibCell/InterferenceModel.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace zinc::cell {

namespace {

/// The sets of slots are words of this many bits.
constexpr std::size_t kMaxSlots = 64;
constexpr std::size_t kMaxChanges = 64;

/// Variances before anything is known, of logarithms. Estimates of run times are off by up to two;
/// a pair may double or halve the time; a worker is expected to be near its known slowness.
constexpr double kLevelVariance = 0.25;
constexpr double kPairVariance = 0.25;
constexpr double kCrowdingVariance = 0.09;
constexpr double kWorkerVariance = 0.04;

constexpr double kInitialNoise = 0.06;
constexpr double kMinNoise = 0.0025;
constexpr double kNoiseWeight = 0.05;
/// An error counts as at most this many standard deviations: a few runs in a hundred take seven
/// times as long.
constexpr double kMaxDeviations = 1.5;
/// Limits of the ratio of a run time to its estimate.
constexpr double kMaxRunTimeRatio = 4.0;
/// Keeps the logarithm of a ratio finite; the smoothed slowness of a worker is at least 0.4.
constexpr double kMinSlowness = 0.1;
/// Processor use up to which a worker is not crowded.
constexpr double kCrowdingBegin = 0.5;
constexpr double kMaxProcessorUse = 1.5;

/// @return the part of what was known that remains after a time
double
RetainedPart(Milliseconds aElapsed, Milliseconds aHalfLife)
{
  return std::exp2(-static_cast<double>(aElapsed.count()) / static_cast<double>(aHalfLife.count()));
}

std::uint64_t
BitOf(std::size_t aSlot)
{
  return std::uint64_t{ 1 } << aSlot;
}

/// A cause that is present in a sample, and to which degree.
template<typename Effect>
struct Term
{
  Effect* effect = nullptr;
  double degree = 0.0;
};

}

InterferenceModel::InterferenceModel(InterferenceOptions aOptions)
  : options(aOptions)
{
  this->options.maxImages = std::clamp<std::size_t>(this->options.maxImages, 1, kMaxSlots);
}

std::size_t
InterferenceModel::SlotOf(ImageNumber aNumber) const
{
  return aNumber % kMaxSlots;
}

const InterferenceModel::Image*
InterferenceModel::Find(ImageNumber aNumber) const
{
  const auto slot = this->SlotOf(aNumber);
  const bool isObserved = aNumber != kNoImage && slot < this->images.size() &&
                          this->images[slot].number == aNumber && !this->images[slot].name.empty();
  return isObserved ? &this->images[slot] : nullptr;
}

ImageNumber
InterferenceModel::FindImage(std::string_view aName) const
{
  const auto found = this->numbers.find(aName);
  return found == this->numbers.end() ? kNoImage : found->second;
}

ImageNumber
InterferenceModel::RecordImage(std::string_view aName, TimePoint aNow)
{
  if (aName.empty()) {
    return kNoImage;
  }
  if (const auto known = this->FindImage(aName); known != kNoImage) {
    this->images[this->SlotOf(known)].lastSeen = aNow;
    return known;
  }
  const auto slot = this->FindFreeSlot();
  auto& image = this->images[slot];
  const auto number = image.number + static_cast<ImageNumber>(kMaxSlots);
  image = { .name = std::string(aName), .number = number, .lastSeen = aNow };
  for (auto& level : image.levels) {
    level.level = { .variance = kLevelVariance, .updated = aNow };
    level.crowding = { .variance = kCrowdingVariance, .updated = aNow };
    level.noise = kInitialNoise;
  }
  const Pair unknown{ .effect = { .variance = kPairVariance, .updated = aNow } };
  image.neighbours.assign(this->options.maxImages, unknown);
  for (auto& other : this->images) {
    if (!other.neighbours.empty()) {
      other.neighbours[slot] = unknown;
    }
  }
  this->numbers.emplace(image.name, number);
  return number;
}

std::size_t
InterferenceModel::FindFreeSlot()
{
  if (this->images.size() < this->options.maxImages) {
    const auto slot = this->images.size();
    this->images.push_back({ .number = static_cast<ImageNumber>(slot) });
    return slot;
  }
  const auto oldest = std::ranges::min_element(this->images, {}, &Image::lastSeen);
  const auto slot = static_cast<std::size_t>(oldest - this->images.begin());
  this->Evict(slot);
  return slot;
}

void
InterferenceModel::Evict(std::size_t aSlot)
{
  for (std::size_t other = 0; other < this->images.size(); ++other) {
    this->SetInEffect(aSlot, other, false);
    this->SetInEffect(other, aSlot, false);
  }
  this->numbers.erase(this->images[aSlot].name);
}

void
InterferenceModel::ForgetPair(Pair& aPair, TimePoint aNow) const
{
  if (aNow <= aPair.effect.updated) {
    return;
  }
  const double retained = RetainedPart(aNow - aPair.effect.updated, this->options.halfLife);
  aPair.effect.mean *= retained;
  aPair.effect.variance = kPairVariance + (aPair.effect.variance - kPairVariance) * retained;
  aPair.effect.updated = aNow;
  aPair.runs *= retained;
  if (aPair.runs < 1.0) {
    aPair.workers = 0;
  }
}

InterferenceModel::Effect&
InterferenceModel::DeviationOf(WorkerNumber aWorker)
{
  if (aWorker >= this->workers.size()) {
    this->workers.resize(aWorker + 1, { .variance = kWorkerVariance });
  }
  return this->workers[aWorker];
}

void
InterferenceModel::AddSample(const InterferenceSample& aSample, TimePoint aNow)
{
  if (this->Find(aSample.victim) == nullptr || aSample.value <= 0.0) {
    return;
  }
  const auto victim = this->SlotOf(aSample.victim);
  auto& image = this->images[victim];
  image.lastSeen = aNow;
  auto& level = image.levels.at(static_cast<std::size_t>(aSample.measure));
  double value = std::log(aSample.value / std::max(aSample.expectedSlowness, kMinSlowness));
  if (aSample.measure == InterferenceMeasure::RunTime) {
    value = std::clamp(value, -std::log(kMaxRunTimeRatio), std::log(kMaxRunTimeRatio));
  }
  if (!level.isKnown) {
    level.isKnown = true;
    level.level.mean = value;
  }
  const auto forget = [aNow](Effect& aEffect, double aVariance, Milliseconds aHalfLife) {
    const double retained = RetainedPart(aNow - aEffect.updated, aHalfLife);
    aEffect.variance = aVariance + (aEffect.variance - aVariance) * retained;
    aEffect.updated = aNow;
    return retained;
  };
  forget(level.level, kLevelVariance, this->options.halfLife);
  level.crowding.mean *= forget(level.crowding, kCrowdingVariance, this->options.halfLife);
  auto& deviation = this->DeviationOf(aSample.worker);
  deviation.mean *= forget(deviation, kWorkerVariance, this->options.workerHalfLife);

  const double use = std::clamp(aSample.processorUse, kCrowdingBegin, kMaxProcessorUse);
  const double crowding = (use - kCrowdingBegin) / (1.0 - kCrowdingBegin);
  std::array<Term<Effect>, kMaxSlots + 3> terms{};
  std::size_t count = 0;
  terms.at(count++) = { .effect = &level.level, .degree = 1.0 };
  terms.at(count++) = { .effect = &deviation, .degree = 1.0 };
  terms.at(count++) = { .effect = &level.crowding, .degree = crowding };
  for (const auto& neighbour : aSample.neighbours) {
    if (this->Find(neighbour.image) == nullptr || neighbour.share <= 0.0 || count == terms.size()) {
      continue;
    }
    const auto slot = this->SlotOf(neighbour.image);
    this->images[slot].lastSeen = aNow;
    auto& pair = image.neighbours[slot];
    this->ForgetPair(pair, aNow);
    pair.runs += neighbour.share * aSample.weight;
    pair.workers |= BitOf(aSample.worker % kMaxSlots);
    terms.at(count++) = { .effect = &pair.effect, .degree = neighbour.share };
  }
  const std::span present(terms.data(), count);
  double error = value;
  double variance = level.noise / aSample.weight;
  for (const auto& term : present) {
    error -= term.degree * term.effect->mean;
    variance += term.degree * term.degree * term.effect->variance;
  }
  const double limit = kMaxDeviations * std::sqrt(variance);
  error = std::clamp(error, -limit, limit);
  for (const auto& term : present) {
    const double gain = term.degree * term.effect->variance / variance;
    term.effect->mean += gain * error;
    term.effect->variance *= 1.0 - gain * term.degree;
  }
  const double noise = level.noise * error * error / variance;
  level.noise += (noise - level.noise) * kNoiseWeight * aSample.weight;
  level.noise = std::max(level.noise, kMinNoise);
  for (const auto& neighbour : aSample.neighbours) {
    if (this->Find(neighbour.image) != nullptr) {
      this->UpdatePair(victim, this->SlotOf(neighbour.image));
    }
  }
}

void
InterferenceModel::UpdatePair(std::size_t aVictim, std::size_t aNeighbour)
{
  const auto& pair = this->images[aVictim].neighbours[aNeighbour];
  const double deviation = std::sqrt(pair.effect.variance);
  if ((this->images[aVictim].slowedBy & BitOf(aNeighbour)) != 0) {
    if (pair.effect.mean - deviation < std::log(this->options.dropFactor)) {
      this->SetInEffect(aVictim, aNeighbour, false);
    }
    return;
  }
  const bool isSeenEnough =
    pair.runs >= this->options.minRuns && std::popcount(pair.workers) >= this->options.minWorkers;
  const bool isConfident = pair.effect.mean >= std::log(this->options.minFactor) &&
                           pair.effect.mean - this->options.confidence * deviation >=
                             std::log(this->options.minConfidentFactor);
  if (isSeenEnough && isConfident) {
    this->SetInEffect(aVictim, aNeighbour, true);
  }
}

void
InterferenceModel::SetInEffect(std::size_t aVictim, std::size_t aNeighbour, bool aIsInEffect)
{
  auto& victim = this->images[aVictim];
  auto& neighbour = this->images[aNeighbour];
  const bool wasInEffect = (victim.slowedBy & BitOf(aNeighbour)) != 0;
  if (wasInEffect == aIsInEffect) {
    return;
  }
  victim.slowedBy ^= BitOf(aNeighbour);
  neighbour.slows ^= BitOf(aVictim);
  this->pairsInEffect += aIsInEffect ? 1 : -1;
  if (this->changes.size() < kMaxChanges) {
    this->changes.push_back(
      { .pair = this->Describe(aVictim, aNeighbour), .isInEffect = aIsInEffect });
  }
}

void
InterferenceModel::Forget(TimePoint aNow)
{
  if (!this->HasPairsInEffect()) {
    return;
  }
  for (std::size_t victim = 0; victim < this->images.size(); ++victim) {
    for (auto left = this->images[victim].slowedBy; left != 0; left &= left - 1) {
      const auto neighbour = static_cast<std::size_t>(std::countr_zero(left));
      this->ForgetPair(this->images[victim].neighbours[neighbour], aNow);
      this->UpdatePair(victim, neighbour);
    }
  }
}

bool
InterferenceModel::IsInPair(ImageNumber aImage) const
{
  const auto* image = this->Find(aImage);
  return image != nullptr && (image->slowedBy | image->slows) != 0;
}

double
InterferenceModel::EffectOn(ImageNumber aVictim, ImageNumber aNeighbour) const
{
  const auto* victim = this->Find(aVictim);
  const auto neighbour = this->SlotOf(aNeighbour);
  const bool isInEffect = victim != nullptr && (victim->slowedBy & BitOf(neighbour)) != 0 &&
                          this->Find(aNeighbour) != nullptr;
  return isInEffect ? victim->neighbours[neighbour].effect.mean : 0.0;
}

PairEstimate
InterferenceModel::Describe(std::size_t aVictim, std::size_t aNeighbour) const
{
  const auto& pair = this->images[aVictim].neighbours[aNeighbour];
  return { .victim = this->images[aVictim].name,
           .neighbour = this->images[aNeighbour].name,
           .factor = std::exp(pair.effect.mean),
           .runs = pair.runs };
}

std::vector<PairEstimate>
InterferenceModel::PairsInEffect() const
{
  std::vector<PairEstimate> pairs;
  for (std::size_t victim = 0; victim < this->images.size(); ++victim) {
    for (auto left = this->images[victim].slowedBy; left != 0; left &= left - 1) {
      pairs.push_back(this->Describe(victim, static_cast<std::size_t>(std::countr_zero(left))));
    }
  }
  return pairs;
}

PairEstimate
InterferenceModel::EstimateOf(std::string_view aVictim, std::string_view aNeighbour) const
{
  const auto victim = this->FindImage(aVictim);
  const auto neighbour = this->FindImage(aNeighbour);
  if (victim == kNoImage || neighbour == kNoImage) {
    return { .victim = std::string(aVictim), .neighbour = std::string(aNeighbour) };
  }
  return this->Describe(this->SlotOf(victim), this->SlotOf(neighbour));
}

std::vector<PairChange>
InterferenceModel::TakeChanges()
{
  return std::exchange(this->changes, {});
}

}
