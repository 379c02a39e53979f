#include <LibCell/AdmissionGate.h>

#include <LibCell/Job.h>
#include <algorithm>
#include <cmath>
#include <limits>
#include <xxhash.h>

namespace zinc::cell {

namespace {

/// Four missed renewals of the leader record. Older forecasts say nothing about the present load.
constexpr Milliseconds kMaxForecastAge{ 2000 };
/// A job is refused only if a wait that is shorter by this factor would still end too late. Rates
/// of starts vary by a fifth from one burst of work to the next.
constexpr double kForecastMargin = 1.25;
/// All jobs are refused once the wait exceeds the longest admitted one by this fraction. Below, the
/// admitted share falls in proportion, which holds the wait near the point where as much work is
/// admitted as starts.
constexpr double kRefusalBand = 0.5;
/// A response to a refusal and the next attempt take about this long.
constexpr Milliseconds kMinRetryAfter{ 1000 };
constexpr Milliseconds kMaxRetryAfter{ 60'000 };
/// Largest addition to the retry delay, as a fraction of it.
constexpr double kRetryJitter = 0.5;

/// The admission and the jitter use independent hashes, since all refused ids are in one part of
/// the range of the former.
constexpr XXH64_hash_t kAdmissionSeed = 1;
constexpr XXH64_hash_t kJitterSeed = 2;

/// @return a number in [0, 1) that depends on the id alone
double
UnitHash(const JobId& aJob, XXH64_hash_t aSeed)
{
  // A double holds 53 bits exactly.
  constexpr int kBits = std::numeric_limits<double>::digits;
  constexpr int kHashBits = 64;
  const auto hash = XXH3_64bits_withSeed(aJob.value.data(), aJob.value.size(), aSeed);
  return std::ldexp(static_cast<double>(hash >> (kHashBits - kBits)), -kBits);
}

Milliseconds
Scale(Milliseconds aTime, double aFactor)
{
  return Milliseconds(static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

/// @return the longest forecast that applies to the job; its workspace is empty if it is that of
/// the whole queue
ExpectedWait
FindLongestWait(const JobSpecification& aSpec, std::span<const ExpectedWait> aWaits)
{
  ExpectedWait longest;
  for (const auto& wait : aWaits) {
    const bool applies = wait.queue == aSpec.queue.name &&
                         (wait.workspace.IsEmpty() || wait.workspace == aSpec.workspace);
    if (applies && wait.wait > longest.wait) {
      longest = wait;
    }
  }
  return longest;
}

/// @return true if the job may start immediately, waits for processors and ends by itself, so that
/// the forecast and an objective apply to it
bool
IsCoveredByForecast(const JobSpecification& aSpec)
{
  return aSpec.occurrences == 0 &&
         std::ranges::none_of(aSpec.steps, &StepSpecification::isService) &&
         !std::ranges::all_of(aSpec.steps, &StepSpecification::isBestEffort);
}

}

std::string_view
ToString(RefusalReason aReason)
{
  return aReason == RefusalReason::Queue ? "queue" : "workspace";
}

std::optional<Refusal>
FindRefusal(const JobSpecification& aSpec, const ForecastView& aForecast)
{
  const bool isUsable = aForecast.age && *aForecast.age <= kMaxForecastAge &&
                        !aForecast.isRecovering && !aForecast.waits.empty();
  if (!isUsable || !IsCoveredByForecast(aSpec)) {
    return {};
  }
  const auto longest = FindLongestWait(aSpec, aForecast.waits);
  // Work has started since the leader made the forecast.
  const auto age = std::max(*aForecast.age, Milliseconds{ 0 });
  const auto wait = longest.wait - age;
  const auto criticalPath = std::ranges::max(ComputeCriticalPaths(aSpec));
  const auto objective = ComputeObjective(aSpec.queue, criticalPath);
  const auto usefulWait = objective * kDeadlineFactor - criticalPath;
  const auto admittedWait = Scale(std::max(usefulWait, Milliseconds{ 1 }), kForecastMargin);
  if (wait <= admittedWait) {
    return {};
  }
  const double excess =
    static_cast<double>((wait - admittedWait).count()) / static_cast<double>(admittedWait.count());
  const double admittedShare = std::max(0.0, 1.0 - excess / kRefusalBand);
  if (UnitHash(aSpec.id, kAdmissionSeed) < admittedShare) {
    return {};
  }
  const auto delay = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
  return Refusal{ .reason =
                    longest.workspace.IsEmpty() ? RefusalReason::Queue : RefusalReason::Workspace,
                  .expectedWait = wait,
                  .longestUsefulWait = usefulWait,
                  .criticalPath = criticalPath,
                  .objective = objective,
                  .admittedShare = admittedShare,
                  .forecastAge = age,
                  .retryAfter =
                    Scale(delay, 1.0 + kRetryJitter * UnitHash(aSpec.id, kJitterSeed)) };
}

}
