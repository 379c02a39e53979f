#pragma once

/// @file
/// Forecasts how long a job that arrives now waits for its start. Load: more work than can be
/// served in time, from one workspace or from all.

#include <LibCell/Candidate.h>
#include <LibCell/ExpectedWait.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinc::cell {

/// Divides the waiting work of each queue by the rate at which such work starts, and corrects the
/// result by the waits that happened.
///
/// Work is the product of processors and estimated run time. An error that all estimates of a queue
/// share cancels out.
class CompletionForecast
{
public:
  /// @param aLimitHeadroom fraction of a workspace's limit that batch tasks leave to urgent ones
  explicit CompletionForecast(double aLimitHeadroom)
    : limitHeadroom(aLimitHeadroom)
  {
  }

  /// Counts the start of one task of a step.
  void RecordStart(const Candidate& aCandidate, TimePoint aNow);
  /// Compares a job's wait, which ends now, with its forecast.
  void RecordFirstStart(const JobId& aJob, TimePoint aNow);
  /// Computes the forecasts.
  /// @param aCandidates all steps with tasks to place
  /// @return at most @ref kMaxExpectedWaits forecasts, those of whole queues first
  [[nodiscard]] std::vector<ExpectedWait> Update(std::span<const Candidate> aCandidates,
                                                 TimePoint aNow);
  /// @return the factor by which the forecasts of a queue are corrected
  [[nodiscard]] double CorrectionOf(const QueueId& aQueue) const;

private:
  /// A queue and a workspace; an empty workspace stands for the work of all workspaces that are
  /// within their weight and limit.
  using BacklogKey = std::pair<QueueId, WorkspaceId>;

  /// Waiting work and the rate at which it starts.
  struct Backlog
  {
    /// Work that has value to its caller, core-milliseconds times 1,000.
    double valuedWork = 0;
    /// Work that can no longer end before its deadline.
    double expiredWork = 0;
    /// Work of the largest waiting step.
    double largestStep = 0;
    /// Part of the waiting work is beyond the workspace's weight or limit.
    bool isBeyondShare = false;
    /// Started work, exponentially decayed until @ref decayedAt.
    double starts = 0;
    /// The same since the current backlog began.
    double startsInBacklog = 0;
    TimePoint decayedAt{};
    /// When the current backlog began; empty without one.
    std::optional<TimePoint> since;
    /// Forecast without correction; empty until it can be computed.
    std::optional<Milliseconds> wait;
  };

  /// A job that has not started, and the forecast when it arrived.
  struct WaitingJob
  {
    QueueId queue;
    WorkspaceId workspace;
    TimePoint receivedAt{};
    /// A job that starts later has no value to its caller.
    TimePoint latestStart{};
    /// Empty if there was no forecast, or after the comparison. The mean of the forecasts before
    /// and after the arrival: a rising wait makes the former too low and the latter too high.
    std::optional<Milliseconds> forecast;
    std::uint64_t lastUpdate = 0;
  };

  void AddWaitingWork(const Candidate& aCandidate, TimePoint aNow);
  /// Ends the backlogs without waiting work, and removes those without recent starts.
  void EndBacklogs(TimePoint aNow);
  [[nodiscard]] static std::optional<Milliseconds> ComputeWait(const Backlog& aBacklog,
                                                               TimePoint aNow);
  /// @return the forecast for a job of the workspace, or nothing
  [[nodiscard]] std::optional<Milliseconds> FindWait(const QueueId& aQueue,
                                                     const WorkspaceId& aWorkspace) const;
  /// Compares the forecast of a job that did not start in time, and adds a job that is new.
  void TrackJob(const Candidate& aCandidate, TimePoint aNow);
  void Compare(const QueueId& aQueue, Milliseconds aForecast, Milliseconds aActual);
  [[nodiscard]] std::vector<ExpectedWait> ListWaits() const;

  double limitHeadroom = 0.0;
  std::map<BacklogKey, Backlog> backlogs;
  std::unordered_map<JobId, WaitingJob> waitingJobs;
  /// Those of them that are new in the current update.
  std::vector<WaitingJob*> newJobs;
  /// Moving average of actual over forecast waits.
  std::map<QueueId, double> corrections;
  std::uint64_t updateCount = 0;
  /// Workspaces of which a job beyond the weight has arrived lately.
  std::set<WorkspaceId> workspacesBeyondWeight;
};

}
