#pragma once

/// @file
/// What a driver remembers of an unfinished job besides its record in the ledger.

#include <LibJobs/JobAnswer.h>
#include <LibLedger/Record.h>
#include <LibPeer/Notice.h>
#include <functional>
#include <vector>

namespace zinc {

/// Where a task is, as far as its driver knows.
enum class DriveStage : std::uint8_t
{
  /// To be placed when it is due.
  Idle,
  /// Queued at an owner.
  Placed,
  /// Its start is being recorded.
  Claiming,
  /// Recorded as started; its owner reports the end.
  Open,
  /// Recorded as started, and no owner is known: its worker is asked.
  Resolving,
  /// Its end is being recorded.
  Ending,
};

/// One task of a driven job.
struct DrivenTask
{
  DriveStage stage = DriveStage::Idle;
  EntryId owner;
  /// When an idle task is placed or a resolving one is asked about.
  TimePoint dueAt{};
  /// Since when its worker has not been in the instance list; zero while it is.
  TimePoint unlistedSince{};
  /// Placements in a row that did not lead to a start.
  std::uint32_t refusals = 0;
  bool isRunning = false;
  bool isAsking = false;
};

/// A caller that waits for a job's end.
struct JobWaiter
{
  TimePoint until{};
  std::function<void(Result<JobAnswer>)> handler;
};

/// An unfinished job.
struct DrivenJob
{
  JobId id;
  std::vector<DrivenTask> tasks;
  /// True while the record of its end is being written.
  bool isEnding = false;
};

}
