#pragma once

/// @file
/// Fixture of the placement tests: a scheduler with a small document.

#include <LibPlacement/Scheduler.h>
#include <gtest/gtest.h>
#include <string>

namespace zinc {

/// An allowance or limit that no test reaches.
inline constexpr Resources kUnlimited{ .milliCores = 1'000'000'000,
                                       .memoryMiB = 1'000'000'000,
                                       .accelerators = 1'000'000,
                                       .slots = 1'000'000 };
inline constexpr Resources kSmallWorker{ .milliCores = 8000,
                                         .memoryMiB = 8000,
                                         .accelerators = 0,
                                         .slots = 8 };
/// A request that fits eight times on @ref kSmallWorker.
inline constexpr Resources kOneSlotRequest{ .milliCores = 1000, .memoryMiB = 1000, .slots = 1 };

/// @return a document with two teams, a queue for each work class and an urgent queue.
inline Document
SampleDocument()
{
  Document document;
  document.teams = { { .id = { "days" }, .share = 1.0, .limit = kUnlimited },
                     { .id = { "nights" }, .share = 1.0, .limit = kUnlimited } };
  document.queues = {
    { .id = { "checks" }, .workClass = WorkClass::Check },
    { .id = { "rebuilds" }, .workClass = WorkClass::Batch, .maxQueued = 100'000 },
    { .id = { "gangs" }, .workClass = WorkClass::AllAtOnce, .maxQueued = 100'000 },
    { .id = { "services" }, .workClass = WorkClass::Service },
    { .id = { "alarms" }, .workClass = WorkClass::Batch, .urgency = Urgency::Urgent },
  };
  return document;
}

/// Owns a scheduler and its clock, and creates workers and tasks.
class SchedulerTest : public ::testing::Test
{
protected:
  void SetUp() override { this->Reset({}, SampleDocument()); }

  /// Replaces the scheduler; each team gets its limit of the document as its allowance.
  void Reset(SchedulerOptions aOptions, const Document& aDocument)
  {
    auto created = Scheduler::Create(aOptions);
    ASSERT_FALSE(IsError(created));
    this->scheduler = std::move(ValueOf(created));
    this->document = aDocument;
    this->scheduler->ApplyDocument(aDocument);
    for (const Team& team : aDocument.teams) {
      this->scheduler->SetAllowance(team.id, team.limit);
    }
  }

  /// Adds workers w0, w1, ... in one zone, two to a rack. Every call starts with rack r0 again.
  void AddWorkers(int aCount, const Resources& aCapacity = kSmallWorker)
  {
    for (int index = 0; index < aCount; ++index) {
      const std::string number = std::to_string(this->workerCount++);
      this->scheduler->UpsertWorker({ .id = { "w" + number },
                                      .zone = { "telford" },
                                      .rack = { "r" + std::to_string(index / 2) },
                                      .capacity = aCapacity });
    }
  }

  /// @return a task of its own job with the work class and urgency of its queue.
  [[nodiscard]] TaskSpec MakeTask(const std::string& aId,
                                  const std::string& aQueue = "rebuilds",
                                  const Resources& aRequest = kOneSlotRequest,
                                  const std::string& aTeam = "days") const
  {
    const Queue* queue = this->document.FindQueue({ aQueue });
    return { .id = { aId },
             .job = { "job-" + aId },
             .team = { aTeam },
             .queue = { aQueue },
             .workClass = queue != nullptr ? queue->workClass : WorkClass::Batch,
             .urgency = queue != nullptr ? queue->urgency : Urgency::Normal,
             .request = aRequest,
             .expectedRun = Milliseconds(1000) };
  }

  /// Queues a task and asserts that it is admitted.
  void EnqueueAccepted(const TaskSpec& aTask)
  {
    const auto result = this->scheduler->Enqueue(aTask, this->now);
    ASSERT_FALSE(IsError(result)) << ErrorOf(result).message;
  }

  /// Calls Scheduler::Decide once and stores the decisions by kind, in place of the previous ones.
  void Decide()
  {
    this->starts.clear();
    this->preemptions.clear();
    this->rejections.clear();
    for (const Decision& decision : this->scheduler->Decide(this->now)) {
      if (const auto* start = std::get_if<StartTask>(&decision)) {
        this->starts.push_back(*start);
      } else if (const auto* preempt = std::get_if<PreemptTask>(&decision)) {
        this->preemptions.push_back(*preempt);
      } else {
        this->rejections.push_back(std::get<RejectTask>(decision));
      }
    }
  }

  /// Queues equal tasks named by the prefix and a number from 0.
  void EnqueueMany(int aCount,
                   const std::string& aPrefix,
                   const std::string& aQueue = "rebuilds",
                   const std::string& aTeam = "days")
  {
    for (int index = 0; index < aCount; ++index) {
      this->EnqueueAccepted(
        this->MakeTask(aPrefix + std::to_string(index), aQueue, kOneSlotRequest, aTeam));
    }
  }

  /// Queues all members of a gang, named by the prefix and a number from 0. The prefix names the
  /// job.
  void EnqueueGang(const std::string& aPrefix,
                   std::uint32_t aSize,
                   const Resources& aRequest = kOneSlotRequest)
  {
    for (std::uint32_t index = 0; index < aSize; ++index) {
      TaskSpec task = this->MakeTask(aPrefix + std::to_string(index), "gangs", aRequest);
      task.job = { aPrefix };
      task.gangSize = aSize;
      this->EnqueueAccepted(task);
    }
  }

  void ReportEnd(const std::string& aId, TaskOutcome aOutcome = TaskOutcome::Succeeded)
  {
    this->scheduler->ReportEnd({ aId }, aOutcome, this->now);
  }

  [[nodiscard]] std::int64_t RunningSlots(const std::string& aTeam) const
  {
    return this->scheduler->RunningResources({ aTeam }).slots;
  }

  std::unique_ptr<Scheduler> scheduler;
  Document document;
  /// The time that is passed to the scheduler.
  TimePoint now{};
  /// Number of workers added; the next one is named by it.
  int workerCount = 0;
  std::vector<StartTask> starts;
  std::vector<PreemptTask> preemptions;
  std::vector<RejectTask> rejections;
};

}
