#pragma once

/// @file
/// A task that waits or runs at this owner.

#include <LibBase/Task.h>
#include <LibPeer/Notice.h>

namespace zinc {

/// How far a task has come at its owner.
enum class TaskStage : std::uint8_t
{
  Queued,
  /// Waits for the origin to record the start.
  Claiming,
  /// The start was sent and not answered yet.
  Starting,
  /// The start was sent, and whether it arrived is not known.
  Uncertain,
  Running,
};

/// A task with what its owner needs to know of it.
struct OwnedTask
{
  TaskSpec spec;
  /// Who placed it; of tasks that need a claim the driver of their job counts instead.
  EntryId origin;
  ClaimMode claim = ClaimMode::None;
  TaskStage stage = TaskStage::Queued;
  WorkerId worker;
  LeaseTerm term = 0;
  /// Who was asked last for the claim.
  EntryId claimedOf;
  TimePoint queuedAt{};
  TimePoint startedAt{};
  /// When the worker is asked again about an uncertain start or to stop a running task.
  TimePoint askAgainAt{};
  /// When an unanswered claim is sent again.
  TimePoint claimAgainAt{};
  bool stopRequested = false;
  /// The scheduler wants its room.
  bool checkpointRequested = false;
  /// An earlier attempt that was started here may have run.
  bool mayHaveRun = false;
  /// The scheduler has forgotten the task together with the worker that it was being started on.
  bool isUnscheduled = false;

  [[nodiscard]] AttemptId Attempt() const
  {
    return { .task = this->spec.id, .attempt = this->spec.attempt };
  }
  [[nodiscard]] bool HasWorker() const { return this->stage != TaskStage::Queued; }
};

}
