#include <LibCell/WorkerSpeeds.h>

#include <algorithm>
#include <cmath>

namespace zinc::cell {

namespace {

/// Shorter runs are not measured: they depend more on the worker's polling than on its speed.
constexpr Milliseconds kMinMeasuredRun{ 100 };
/// Tasks of one step differ by 15% (standard deviation of the log).
constexpr double kTaskDeviation = 0.15;
/// The leader learns of an end about this much later (standard deviation), since a worker whose
/// ends are not stored yet is polled at intervals.
constexpr double kReportDelayMs = 80.0;
/// Variance of an unknown estimation error: uniform between factors of 1/1.9 and 1.9.
constexpr double kInitialGroupVariance = 0.137;
constexpr double kMinGroupVariance = 0.01;
constexpr double kMaxGroupVariance = 0.5;
/// A step's factor is not taken as better known than this: the tasks that end first are shorter
/// than the others, so that later ones would count against their workers. A larger bound hides the
/// speeds of workers that end about one run per second.
constexpr double kMinStepVariance = 0.025;
/// Weight of the latest step in the factor of its group.
constexpr double kGroupWeight = 0.05;
/// Variance of the speeds of a kind that is not known: speeds at one to 2.7 in equal parts.
constexpr double kInitialKindVariance = 0.16;
/// Workers of one kind differ at least by this much.
constexpr double kMinKindVariance = 0.005;
/// Workers that differ more from their kind, by a factor of two, change it only as if by this much.
constexpr double kMaxKindDifference = 0.7;
/// Weight of the latest run in the mean of a kind; a kind of 100 workers ends hundreds of runs per
/// second.
constexpr double kKindWeight = 0.005;
/// Weight of the prior of a kind or group in runs.
constexpr double kPriorWeight = 5.0;
/// Time in which a worker that ends no runs reverts to the mean of its kind by 63%. With 10 s the
/// ratings of slow workers, which end few runs, moved so close to the mean that a pool alternated
/// between uneven and even.
constexpr double kReversionMs = 60'000.0;
/// The same for a worker that has become slow, since it gets hardly any tasks that would show its
/// recovery.
constexpr double kRecoveryMs = 10'000.0;
/// Prediction errors are clipped to this many standard deviations, since single tasks take seven
/// times as long as others.
constexpr double kMaxError = 2.5;
/// Weight of the latest prediction error in the bias of a worker.
constexpr double kBiasWeight = 0.3;
/// Weight of the latest update in the mean update.
constexpr double kMeanUpdateWeight = 0.01;
/// Beyond this bias the worker's speed has changed: reached by two large errors in a row, or three
/// moderate ones.
constexpr double kMaxBias = 1.25;
/// Variance of a worker's term after its speed has changed.
constexpr double kChangedVariance = 0.5;
/// Longest log ratio of run time to estimate that is taken into account.
constexpr double kMaxLogRatio = 3.5;
/// A run counts as overdue beyond exp(0.7) = 2 times its expected duration; two runs count beyond
/// exp(0.4) = 1.5 times.
constexpr double kSingleOverdueMargin = 0.7;
constexpr double kJointOverdueMargin = 0.4;
/// Share of a single overdue run that counts as the worker's; the task may be the cause.
constexpr double kSingleOverdueShare = 0.5;
/// A speed is known well enough if the standard deviation of its log is at most 0.3.
constexpr double kConfidentVariance = 0.09;
constexpr std::size_t kMinConfidentWorkers = 5;
/// Bounds of the memory; document and platform have far fewer kinds, images and workspaces.
constexpr std::size_t kMaxKinds = 256;
constexpr std::size_t kMaxGroups = 4096;

double
LogRatio(Milliseconds aRunTime, Milliseconds aEstimate)
{
  const double ratio = static_cast<double>(std::max<std::int64_t>(1, aRunTime.count())) /
                       static_cast<double>(std::max<std::int64_t>(1, aEstimate.count()));
  return std::clamp(std::log(ratio), -kMaxLogRatio, kMaxLogRatio);
}

void
UpdateRating(WorkerSpeed& aSpeed)
{
  aSpeed.rating = aSpeed.logSlowness + aSpeed.overdue;
  aSpeed.band = static_cast<int>(std::lround(aSpeed.rating / kRatingBand));
}

}

WorkerSpeeds::WorkerSpeeds()
  : kinds{ { .variance = kInitialKindVariance } }
  , groups{ { .variance = kInitialGroupVariance } }
{
}

std::shared_ptr<StepTiming>
WorkerSpeeds::MakeTiming(const StepTimingKey& aKey)
{
  const auto& program = aKey.image.empty() ? aKey.queue : aKey.image;
  const std::pair key(std::string(program), std::string(aKey.workspace));
  auto found = this->groupNumbers.find(key);
  if (found == this->groupNumbers.end() && this->groups.size() < kMaxGroups) {
    found = this->groupNumbers.emplace(key, this->groups.size()).first;
    this->groups.push_back({ .variance = kInitialGroupVariance });
  }
  return std::make_shared<StepTiming>(
    StepTiming{ .group = found == this->groupNumbers.end() ? 0 : found->second,
                .taskWeight = 1.0 / std::max<std::uint32_t>(1, aKey.tasks) });
}

LogFactor
WorkerSpeeds::FactorOf(const StepTiming& aTiming) const
{
  if (aTiming.hasEnds) {
    return { .mean = aTiming.logFactor, .variance = aTiming.variance };
  }
  const auto& group = this->groups[aTiming.group];
  return { .mean = group.mean, .variance = group.variance };
}

double
WorkerSpeeds::NoiseOf(Milliseconds aRunTime)
{
  const double delay =
    kReportDelayMs /
    static_cast<double>(std::max<std::int64_t>(kMinMeasuredRun.count(), aRunTime.count()));
  return kTaskDeviation * kTaskDeviation + delay * delay;
}

TermNumber
WorkerSpeeds::FindKind(const Worker& aWorker)
{
  const std::string_view name =
    aWorker.entry.labels.empty() ? std::string_view{} : aWorker.entry.labels.front();
  const auto found = this->kindNumbers.find(name);
  if (found != this->kindNumbers.end()) {
    return found->second;
  }
  if (this->kinds.size() >= kMaxKinds) {
    return 0;
  }
  this->kinds.push_back({ .variance = kInitialKindVariance });
  return this->kindNumbers.emplace(name, this->kinds.size() - 1).first->second;
}

LogFactor
WorkerSpeeds::PriorOf(TermNumber aKind) const
{
  const auto& kind = this->kinds[aKind];
  if (kind.weight > 0.0) {
    return { .mean = kind.mean, .variance = kind.variance };
  }
  return { .mean = this->kinds.front().mean, .variance = kInitialKindVariance };
}

void
WorkerSpeeds::Advance(Worker& aWorker, TimePoint aNow)
{
  auto& speed = aWorker.speed;
  if (speed.incarnation != aWorker.KnownIncarnation()) {
    const auto kind = this->FindKind(aWorker);
    const auto prior = this->PriorOf(kind);
    speed = { .smoothedRatio = speed.smoothedRatio,
              .logSlowness = prior.mean,
              .variance = prior.variance,
              .updatedAt = aNow,
              .incarnation = aWorker.KnownIncarnation(),
              .kind = kind };
    return;
  }
  const auto elapsed = static_cast<double>((aNow - speed.updatedAt).count());
  if (elapsed <= 0.0) {
    return;
  }
  const auto prior = this->PriorOf(speed.kind);
  const double difference = speed.logSlowness - prior.mean;
  speed.hasSlowed = speed.hasSlowed && difference > std::sqrt(prior.variance);
  const double kept = std::exp(-elapsed / (speed.hasSlowed ? kRecoveryMs : kReversionMs));
  speed.logSlowness = prior.mean + difference * kept;
  speed.variance = prior.variance + (speed.variance - prior.variance) * kept * kept;
  speed.updatedAt = aNow;
}

std::optional<double>
WorkerSpeeds::OnRunSucceeded(Worker& aWorker,
                             StepTiming& aTiming,
                             Milliseconds aEstimate,
                             Milliseconds aRunTime,
                             TimePoint aNow)
{
  if (aRunTime < kMinMeasuredRun || aEstimate < kMinMeasuredRun) {
    return {};
  }
  this->Advance(aWorker, aNow);
  auto& speed = aWorker.speed;
  const double noise = NoiseOf(aRunTime);
  const auto factor = this->FactorOf(aTiming);
  const double observed = LogRatio(aRunTime, aEstimate);
  const double error = observed - factor.mean - speed.logSlowness;
  const double total = factor.variance + speed.variance + noise;
  const double deviation = std::sqrt(total);

  // The group learns what the worker's term does not explain. Its variance does not include the
  // noise of a task.
  auto& group = this->groups[aTiming.group];
  const double residual = observed - speed.logSlowness - group.mean;
  const double groupWeight =
    std::max(kGroupWeight, 1.0 / (kPriorWeight + group.weight)) * aTiming.taskWeight;
  group.weight += aTiming.taskWeight;
  group.mean += groupWeight * residual;
  group.variance += groupWeight * (residual * residual - noise - speed.variance - group.variance);
  group.variance = std::clamp(group.variance, kMinGroupVariance, kMaxGroupVariance);

  const double stepGain = factor.variance / total;
  aTiming.logFactor = factor.mean + stepGain * error;
  aTiming.variance = std::max(kMinStepVariance, factor.variance * (1.0 - stepGain));
  aTiming.hasEnds = true;

  const double relativeError = std::clamp(error / deviation, -kMaxError, kMaxError);
  speed.bias += kBiasWeight * (relativeError - speed.bias);
  double workerTotal = total;
  double clippedError = relativeError * deviation;
  if (std::abs(speed.bias) > kMaxBias) {
    workerTotal += std::max(0.0, kChangedVariance - speed.variance);
    speed.variance = std::max(speed.variance, kChangedVariance);
    speed.hasSlowed = speed.bias > 0.0;
    speed.bias = 0.0;
    clippedError = error;
  }
  const double workerGain = speed.variance / workerTotal;
  const double update = workerGain * clippedError;
  this->meanUpdate += kMeanUpdateWeight * (update - this->meanUpdate);
  speed.logSlowness += update - this->meanUpdate;
  speed.variance *= 1.0 - workerGain;
  UpdateRating(speed);

  for (const auto number : { TermNumber{ 0 }, speed.kind }) {
    auto& kind = this->kinds[number];
    const double weight = std::max(kKindWeight, 1.0 / (kPriorWeight + kind.weight));
    const double difference =
      std::clamp(speed.logSlowness - kind.mean, -kMaxKindDifference, kMaxKindDifference);
    kind.weight += 1.0;
    kind.mean += weight * difference;
    kind.variance += weight * (difference * difference - speed.variance - kind.variance);
    kind.variance = std::max(kMinKindVariance, kind.variance);
  }
  return std::exp(error);
}

void
WorkerSpeeds::Refresh(Worker& aWorker, TimePoint aNow)
{
  this->Advance(aWorker, aNow);
  auto& speed = aWorker.speed;
  // Excess of the two running tasks that are furthest beyond their expected end.
  double largest = 0.0;
  double second = 0.0;
  for (const auto& allocation : aWorker.allocations) {
    const auto age = aNow - allocation.startedAt;
    const bool isLate = allocation.timing != nullptr && allocation.phase == RunPhase::Running &&
                        age > allocation.estimate;
    if (!isLate) {
      continue;
    }
    const double excess = LogRatio(age, allocation.estimate) -
                          this->FactorOf(*allocation.timing).mean - speed.logSlowness;
    second = std::max(second, std::min(excess, largest));
    largest = std::max(largest, excess);
  }
  speed.overdue = std::max({ 0.0,
                             second > kJointOverdueMargin ? second : 0.0,
                             kSingleOverdueShare * (largest - kSingleOverdueMargin) });
  UpdateRating(speed);
}

std::optional<SpeedSpread>
WorkerSpeeds::SpreadOf(std::span<Worker* const> aWorkers)
{
  std::vector<double> values;
  values.reserve(aWorkers.size());
  for (const auto* worker : aWorkers) {
    const auto& speed = worker->speed;
    if (speed.incarnation == worker->KnownIncarnation() && speed.variance <= kConfidentVariance) {
      values.push_back(speed.logSlowness);
    }
  }
  if (values.size() < std::max(kMinConfidentWorkers, (aWorkers.size() + 1) / 2)) {
    return {};
  }
  std::ranges::sort(values);
  constexpr std::size_t kPercentiles = 10;
  const auto last = values.size() - 1;
  const double fast = values[last / kPercentiles];
  const double slow = values[last - last / kPercentiles];
  const double distance = slow - fast;
  return SpeedSpread{ .ratio = std::exp(distance),
                      .fastRating = fast,
                      .confidentWorkers = values.size() };
}

}
