#pragma once

/// @file
/// Test fixture: a cell of workers with different speeds and a stream of generated jobs.

#include "CellSchedulerFixture.h"
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace zinc::cell::test {

inline constexpr double kSlow = 0.6;
inline constexpr double kNominal = 1.0;
inline constexpr double kFast = 1.6;
inline constexpr std::int64_t kCoresPerWorker = 32;

/// A queue of generated jobs.
struct Traffic
{
  std::string queue;
  std::uint32_t priority = 0;
  std::uint32_t tasks = 3;
  std::int64_t cores = 5;
  double taskMs = 800.0;
  double stretch = 1.5;
  Milliseconds slack{ 250 };
  /// Jobs per second.
  double rate = 0.0;
  /// Estimates are off by up to this factor, the same for all tasks of a job.
  double maxEstimateError = 1.0;
  bool needsAdvice = false;
  /// Label that the workers need.
  std::string label = {};
  bool isGang = false;
};

/// @return quick checks, and batches with slack; the rates are not set
inline std::vector<Traffic>
MixedTraffic(double aMaxEstimateError = 1.9)
{
  return { { .queue = "checks", .maxEstimateError = aMaxEstimateError },
           { .queue = "batches",
             .priority = 1,
             .tasks = 8,
             .cores = 4,
             .taskMs = 2700.0,
             .stretch = 4.0,
             .slack = Milliseconds{ 3000 },
             .maxEstimateError = aMaxEstimateError } };
}

/// What became of the jobs of a queue.
struct Outcome
{
  std::size_t ended = 0;
  std::size_t late = 0;
  [[nodiscard]] double LateShare() const
  {
    return static_cast<double>(this->late) /
           static_cast<double>(std::max<std::size_t>(1, this->ended));
  }
};

/// A cell of workers with different speeds and a stream of jobs. Run times depend on the worker's
/// speed, on the job's estimation error and by 15% on the task.
class UnevenWorkersTest : public CellSchedulerFixture
{
protected:
  UnevenWorkersTest() { this->options.urgentHeadroom = 0.05; }

  void AddWorker(const std::string& aId,
                 double aSpeed,
                 const std::string& aKind,
                 const std::string& aZone = "zone")
  {
    this->workers.Add(aId, kCoresPerWorker);
    auto& entry = this->workers.At(aId).entry;
    entry.labels = { aKind, "r1", aZone };
    this->entries.push_back(entry);
    this->speeds[{ aId }] = aSpeed;
    if (this->scheduler) {
      this->scheduler->OnWorkerEntry(entry);
    }
  }

  /// Adds equally many workers of each of three speeds.
  void AddThreeSpeeds(std::size_t aPerSpeed, const std::string& aZone = "zone")
  {
    for (std::size_t index = 0; index < aPerSpeed; ++index) {
      const auto suffix = "-" + aZone + "-" + std::to_string(index);
      this->AddWorker("slow" + suffix, kSlow, "m1", aZone);
      this->AddWorker("nominal" + suffix, kNominal, "m2", aZone);
      this->AddWorker("fast" + suffix, kFast, "m3", aZone);
    }
  }

  /// Takes a worker away after its runs have ended.
  void RemoveWorker(const std::string& aId)
  {
    auto entry = this->workers.At(aId).entry;
    entry.isDraining = true;
    this->scheduler->OnWorkerEntry(entry);
  }

  /// Begins a new cell with the given ranking.
  void Reset(double aSpreadThreshold, std::uint32_t aSeed)
  {
    this->scheduler.reset();
    this->options.unevenPools.spreadThreshold = aSpreadThreshold;
    this->random.seed(aSeed);
    this->entries.clear();
    this->speeds.clear();
    this->store.rows.clear();
    this->openJobs.clear();
    this->dueJobs.clear();
    this->ends.clear();
    this->workers.starts.clear();
    this->startsSeen = 0;
  }

  /// @return the rate at which jobs of this traffic take a share of the cell's capacity
  [[nodiscard]] double RateFor(const Traffic& aTraffic, double aShare) const
  {
    double capacity = 0.0;
    for (const auto& [id, speed] : this->speeds) {
      capacity += speed * kCoresPerWorker;
    }
    return aShare * capacity * 1000.0 /
           (aTraffic.tasks * static_cast<double>(aTraffic.cores) * aTraffic.taskMs);
  }

  void Submit(const Traffic& aTraffic)
  {
    std::uniform_real_distribution<double> error(-std::log(aTraffic.maxEstimateError),
                                                 std::log(aTraffic.maxEstimateError));
    const auto id = aTraffic.queue + aTraffic.label + "-" + std::to_string(++this->jobsSubmitted);
    auto spec = MakeJob(id, aTraffic.tasks, aTraffic.cores);
    spec.steps.front().estimate =
      Milliseconds(static_cast<std::int64_t>(aTraffic.taskMs * std::exp(error(this->random))));
    spec.steps.front().requiredLabel = aTraffic.label;
    spec.steps.front().isGang = aTraffic.isGang;
    spec.queue = { .name = { aTraffic.queue },
                   .pool = "pool",
                   .priority = aTraffic.priority,
                   .maxAttempts = 3,
                   .stretch = aTraffic.stretch,
                   .slack = aTraffic.slack,
                   .needsAdvice = aTraffic.needsAdvice };
    if (aTraffic.needsAdvice) {
      spec.queue.advice = { .baseMs = 10.0,
                            .perWorkerMs = 0.1,
                            .ticketValidity = Milliseconds{ 1500 } };
    }
    const auto allowed =
      Milliseconds(static_cast<std::int64_t>(
        aTraffic.stretch * static_cast<double>(spec.steps.front().estimate.count()))) +
      aTraffic.slack;
    this->openJobs[spec.id] = { .queue = aTraffic.queue,
                                .taskMs = aTraffic.taskMs,
                                .tasksLeft = aTraffic.tasks,
                                .objective = this->clock.Now() + allowed };
    this->AcceptJob(spec);
  }

  /// Runs the cell with a stream of jobs.
  /// @return the outcome by queue of the jobs that ended meanwhile
  std::map<std::string, Outcome> RunLoad(const std::vector<Traffic>& aTraffic,
                                         Milliseconds aDuration)
  {
    constexpr Milliseconds kStep{ 10 };
    std::map<std::string, Outcome> outcomes;
    for (auto elapsed = Milliseconds{ 0 }; elapsed < aDuration; elapsed += kStep) {
      for (const auto& traffic : aTraffic) {
        auto& due = this->dueJobs[traffic.queue + traffic.label];
        due += traffic.rate * static_cast<double>(kStep.count()) / 1000.0;
        for (; due >= 1.0; due -= 1.0) {
          this->Submit(traffic);
        }
      }
      this->RunFor(kStep);
      this->ScheduleEnds();
      this->EndDueRuns(outcomes);
    }
    return outcomes;
  }

  /// Runs a load under which workers of each speed are measured, and lets it end.
  void MeasureAllWorkers()
  {
    auto traffic = MixedTraffic();
    traffic[0].rate = this->RateFor(traffic[0], 0.6);
    traffic[1].rate = this->RateFor(traffic[1], 0.3);
    this->RunLoad(traffic, Milliseconds{ 8000 });
    this->RunLoad({}, Milliseconds{ 3000 });
  }

  /// @return the share of the starts since an index of @ref SimulatedWorkers::starts at workers
  /// whose id begins with @p aPrefix
  [[nodiscard]] double ShareOfStarts(std::size_t aSince,
                                     const std::string& aQueue,
                                     const std::string& aPrefix) const
  {
    double all = 0.0;
    double matching = 0.0;
    for (std::size_t index = aSince; index < this->workers.starts.size(); ++index) {
      const auto& start = this->workers.starts[index];
      if (start.task.job.value.starts_with(aQueue)) {
        all += 1.0;
        matching += start.worker.value.starts_with(aPrefix) ? 1.0 : 0.0;
      }
    }
    return all == 0.0 ? 0.0 : matching / all;
  }

  struct OpenJob
  {
    std::string queue;
    double taskMs = 0.0;
    std::uint32_t tasksLeft = 0;
    TimePoint objective{};
  };

  void ScheduleEnds()
  {
    std::normal_distribution<double> deviation(0.0, 0.15);
    for (; this->startsSeen < this->workers.starts.size(); ++this->startsSeen) {
      const auto& start = this->workers.starts[this->startsSeen];
      const auto& job = this->openJobs.at(start.task.job);
      const double runMs =
        job.taskMs * std::exp(deviation(this->random)) / this->speeds.at(start.worker);
      this->ends.emplace(start.acceptedAt + Milliseconds(static_cast<std::int64_t>(runMs)), start);
    }
  }

  void EndDueRuns(std::map<std::string, Outcome>& aOutcomes)
  {
    while (!this->ends.empty() && this->ends.begin()->first <= this->clock.Now()) {
      const auto [at, start] = *this->ends.begin();
      this->ends.erase(this->ends.begin());
      this->workers.End(start.worker.value, start.task, RunOutcome::Succeeded);
      auto& job = this->openJobs.at(start.task.job);
      if (--job.tasksLeft == 0) {
        auto& outcome = aOutcomes[job.queue];
        ++outcome.ended;
        outcome.late += at > job.objective ? 1 : 0;
      }
    }
  }

  std::map<WorkerId, double> speeds;
  std::mt19937 random{ 4 };
  std::map<JobId, OpenJob> openJobs;
  std::map<std::string, double> dueJobs;
  std::multimap<TimePoint, ObservedStart> ends;
  std::size_t startsSeen = 0;
  std::size_t jobsSubmitted = 0;
};

}
