#pragma once

/// @file
/// The leader's state of a worker and of the runs allocated to it.

#include <LibCell/OrderFence.h>
#include <LibCell/Ports.h>
#include <LibCell/WorkerSpeed.h>
#include <LibCell/WorkspaceUsage.h>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinc::cell {

/// Identifies a worker within a term; see @ref WorkerTable.
using WorkerNumber = std::uint32_t;

/// Whether a worker responds to the leader.
enum class WorkerReachability : std::uint8_t
{
  /// It has not reported its runs during this term yet.
  Unread,
  Reachable,
  /// It has not responded to lease renewals for too long, or another incarnation responded.
  Unreachable,
};

/// What the leader knows of a run at a worker.
enum class RunPhase : std::uint8_t
{
  /// The start order is in flight.
  Starting,
  /// The start order got no response: the run may exist already, or start later.
  Uncertain,
  Running,
  /// A stop order was sent.
  Stopping,
};

/// Why the runs of a worker are lost.
enum class WorkerLossReason : std::uint8_t
{
  /// Its leases have expired without a response.
  LeaseExpired,
  /// Another worker has registered from its machine.
  Superseded,
  /// Another worker responds at its address.
  AddressReused,
  /// Its row, or its report, shows that it has started again under its id.
  RowOfNextIncarnation,
  ReportOfNextIncarnation,
};

/// @return the reason's name in the log
[[nodiscard]] constexpr std::string_view
ToString(WorkerLossReason aReason)
{
  switch (aReason) {
    case WorkerLossReason::LeaseExpired:
      return "lease_ended";
    case WorkerLossReason::Superseded:
      return "superseded";
    case WorkerLossReason::AddressReused:
      return "other_life";
    case WorkerLossReason::RowOfNextIncarnation:
      return "listed";
    case WorkerLossReason::ReportOfNextIncarnation:
      return "born_again";
  }
  return "unknown";
}

/// A run that takes resources of a worker.
struct Allocation
{
  TaskName task;
  std::uint64_t run = 0;
  Resources demand;
  /// The demand is unknown, since the job has ended and its steps are no longer stored.
  bool isDemandUnknown = false;
  /// The account that the demand is counted in.
  WorkspaceUsage* workspaceUsage = nullptr;
  RunPhase phase = RunPhase::Starting;
  /// Start of the phase, or the time at which a stop was accepted.
  TimePoint phaseSince{};
  TimePoint startedAt{};
  /// The worker accepted the start or reported the run.
  bool isStartConfirmed = false;
  /// A report listed the run, so that it is at the worker's known incarnation. The incarnation that
  /// accepted a start is not known before.
  bool isReported = false;
  /// The worker accepted a stop; the run can no longer start.
  bool isStopAccepted = false;
  bool isStopInFlight = false;
  TimePoint nextStopAttempt{};
  bool isService = false;
  bool isBestEffort = false;
  Milliseconds tailLatencyTarget{ 0 };
  /// Progress that the worker reported last.
  int progressPercent = 0;
  /// When @ref progressPercent changed last.
  TimePoint lastProgress{};
  /// The longest time that one percent has taken so far.
  Milliseconds slowestPercent{ 0 };
  /// Tail latency in ms of a service task, otherwise CPU use in thousandths of a core.
  std::int64_t load = 0;
  /// Share of the time in which a best-effort task runs, as last ordered.
  int dutyCyclePercent = 100;
  std::string checkpoint;
  Milliseconds estimate{ 0 };
  /// Expected run time of the step; null if the run does not tell the speed of its worker.
  std::shared_ptr<StepTiming> timing;

  /// Takes over the progress that a report tells.
  void NoteProgress(int aPercent, TimePoint aNow);

  /// @return the run time of a run that ends now over its estimate; nothing if the run was resumed
  /// from a checkpoint or is too short to be measured
  [[nodiscard]] std::optional<double> MeasureRunTimeRatio(TimePoint aNow) const;
};

/// A reported end of a run that the worker keeps until the leader has stored it.
struct UnacknowledgedEnd
{
  std::uint64_t sequence = 0;
  JobId job;
  /// The run failed.
  bool hasFailed = false;
  /// Change count of the job that must be stored first. An end that changes nothing may repeat one
  /// that is not stored yet.
  std::uint64_t changeCount = 0;
};

/// A worker's entry, lease, reports and allocations.
struct Worker
{
  WorkerEntry entry;
  /// Assigned by @ref WorkerTable.
  WorkerNumber number = 0;
  /// The store has a row of the worker.
  bool isListed = true;
  OrderFence fence;
  /// The leader record names the worker; only then may it get tasks.
  bool isPublished = false;
  WorkerReachability reachability = WorkerReachability::Unread;
  /// The worker's clock minus the leader's, ms. The delay of the response only lowers it, so that
  /// a lease deadline is never too late.
  std::int64_t clockOffset = 0;
  bool isClockKnown = false;
  /// Process start that the worker reported; 0 if unknown.
  std::int64_t incarnation = 0;
  /// All runs of this leader at the worker have ended by then.
  TimePoint leaseExpiry{};
  /// The incarnation has listed ends during this term, or began during it.
  bool isSequenceKnown = false;
  /// Sequence number of the last end that was processed.
  std::uint64_t seenSequence = 0;
  /// Sequence number up to which the worker can discard ends.
  std::uint64_t acknowledgedSequence = 0;
  std::deque<UnacknowledgedEnd> unacknowledgedEnds;
  bool isRenewalInFlight = false;
  /// The connection on which the worker reported last; empty until it has reported, and after a
  /// renewal failed. Another connection may lead to a later incarnation under the same id.
  std::optional<std::uint64_t> connection;
  /// The leader record may say that its lease is not renewed; see @ref LeaseSuspensions.
  bool isLeaseSuspended = false;
  TimePoint nextRenewal{};
  TimePoint lastResponse{};
  /// Lease renewals in a row that failed.
  std::uint32_t failedRenewals = 0;
  /// Placement round in which the worker was last usable.
  std::uint64_t pooledInRound = 0;
  /// Gang round that last kept the worker free of batch tasks, so that a pending gang fits there.
  std::uint64_t earmarkedInGangRound = 0;
  Resources used;
  /// Set aside for gangs.
  Resources reserved;
  /// Free capacity that is not used yet, since the worker is cold.
  Resources withheld;
  /// When the worker became cold according to its row, and until when it stays so.
  TimePoint coldSince{};
  TimePoint coldUntil{};
  std::uint32_t runsOfUnknownDemand = 0;
  std::vector<Allocation> allocations;
  /// Failed runs in a row that the worker probably caused.
  std::uint32_t failureStreak = 0;
  TaskName lastFailed;
  /// The worker gets no tasks until then.
  TimePoint avoidUntil{};
  WorkerSpeed speed;

  /// @return the process start that the worker reported, or else the one in its row; 0 if unknown
  [[nodiscard]] std::int64_t KnownIncarnation() const
  {
    return this->incarnation != 0 ? this->incarnation : this->entry.incarnation;
  }

  /// @return what neither tasks nor reservations take
  [[nodiscard]] Resources UnusedResources() const
  {
    return this->entry.capacity - this->used - this->reserved;
  }
  /// @return what new tasks may take
  [[nodiscard]] Resources FreeResources() const { return this->UnusedResources() - this->withheld; }

  /// @return true if more is in use and reserved than the worker has, since its capacity has shrunk
  [[nodiscard]] bool IsOvercommitted() const
  {
    const auto free = this->UnusedResources();
    return free.milliCores < 0 || free.memoryMiB < 0 || free.accelerators < 0;
  }

  [[nodiscard]] Allocation* FindAllocation(const TaskName& aTask, std::uint64_t aRun)
  {
    for (auto& allocation : this->allocations) {
      if (allocation.run == aRun && allocation.task == aTask) {
        return &allocation;
      }
    }
    return nullptr;
  }
};

}
