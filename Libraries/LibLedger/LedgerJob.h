#pragma once

/// @file
/// What the ledger knows of a job.

#include <LibLedger/Record.h>
#include <optional>
#include <vector>

namespace zinc {

/// How a task's last attempt ended.
struct AttemptOutcome
{
  TaskState state = TaskState::Stopped;
  RunState run = RunState::Ran;
  std::string result;

  friend bool operator==(const AttemptOutcome&, const AttemptOutcome&) = default;
};

/// A task of a job with its last attempt.
struct LedgerTask
{
  /// Number of the last attempt; 0 before the first.
  std::uint32_t attempt = 0;
  WorkerId worker;
  LeaseTerm term = 0;
  DriverEpoch epoch = 0;
  /// Empty while the attempt may be running.
  std::optional<AttemptOutcome> outcome;
  /// Newest progress of a checkpointed attempt.
  std::string progress;
  /// Attempts whose worker was lost.
  std::uint32_t lostWorkers = 0;

  /// @return true if an attempt was recorded whose end was not.
  [[nodiscard]] bool IsOpen() const { return this->attempt > 0 && !this->outcome; }

  friend bool operator==(const LedgerTask&, const LedgerTask&) = default;
};

/// A job with all its tasks.
struct LedgerJob
{
  AcceptedRecord accepted;
  bool isCancelled = false;
  std::vector<LedgerTask> tasks;
  /// Empty until the job has its final answer.
  std::optional<JobEndedRecord> ended;

  friend bool operator==(const LedgerJob&, const LedgerJob&) = default;
};

}
