#pragma once

/// @file
/// A cell scheduler with a clock, workers, a store and a policy service in memory.

#include "MemoryStore.h"
#include "SimulatedWorkers.h"
#include <LibCell/CellScheduler.h>
#include <gtest/gtest.h>
#include <memory>
#include <string>

namespace zinc::cell::test {

/// Says that every worker named may run the step, after the next delivery.
class AgreeingAdvice final : public AdvicePort
{
public:
  void RequestAdvice(const std::string& aInstance,
                     AdviceRequest aQuestion,
                     Handler<AdviceResponse> aHandler) override
  {
    this->instances.push_back(aInstance);
    this->questions.push_back(aQuestion);
    this->open.emplace_back(std::move(aQuestion), std::move(aHandler));
  }

  void Deliver()
  {
    if (this->isHolding) {
      return;
    }
    auto due = std::move(this->open);
    this->open.clear();
    for (const auto& [question, handler] : due) {
      if (this->failures > 0) {
        --this->failures;
        handler(NotRun(ErrorCode::Unavailable, "lost"));
        continue;
      }
      AdviceResponse answer;
      for (const auto& worker : question.workers) {
        if (this->isGood(worker)) {
          answer.tickets.push_back(
            { .worker = worker, .text = "t" + std::to_string(++this->issued) });
        }
      }
      handler(std::move(answer));
    }
  }

  std::function<bool(const WorkerId&)> isGood = [](const WorkerId&) { return true; };
  std::vector<std::string> instances;
  std::vector<AdviceRequest> questions;
  std::vector<std::pair<AdviceRequest, Handler<AdviceResponse>>> open;
  int issued = 0;
  /// Answers nothing for the time being.
  bool isHolding = false;
  /// Questions that are answered with an error.
  int failures = 0;
};

class CellSchedulerFixture : public testing::Test
{
protected:
  CellSchedulerFixture();

  /// Makes a job with one step.
  [[nodiscard]] static JobSpecification JobOf(const std::string& aId,
                                              std::uint32_t aCount,
                                              std::int64_t aCores,
                                              std::int64_t aEstimateMs = 1000);
  /// Writes the job's row, as an instance that accepts it does.
  void Accept(const JobSpecification& aSpec);
  /// Begins a term of a new leader over what the store holds.
  void Begin(bool aHasPredecessor = false,
             Milliseconds aPredecessorEnd = Milliseconds{ 12'400 },
             std::vector<WorkerId> aPreviousWorkers = {});
  /// Age of the predecessor's row at the next @ref Begin.
  std::optional<Milliseconds> predecessorAge;
  /// Lets the scheduler and its surroundings go on.
  void Run(Milliseconds aTime);
  [[nodiscard]] JobStatus StatusOf(const std::string& aId) const
  {
    return this->conductor->StatusOf({ aId });
  }

  ManualClock clock;
  SimulatedWorkers workers{ this->clock };
  MemoryStore store;
  AgreeingAdvice advice;
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  CellSchedulerOptions options;
  CellPolicy policy;
  std::vector<WorkerEntry> entries;
  bool isDeposed = false;
  /// The ownership row is renewed with each step.
  bool publishes = true;
  std::uint64_t token = 0;
  /// Time that a look at the clock takes, as decoding many rows does.
  std::unique_ptr<Clock> ownClock;
  std::unique_ptr<CellScheduler> conductor;
};

}
