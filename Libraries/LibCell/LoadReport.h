#pragma once

/// @file
/// Statistics of the leader's work, and the log lines about them.

#include <LibBase/Resources.h>
#include <LibBase/Time.h>
#include <LibCell/ActivityTimes.h>
#include <LibCell/Candidate.h>
#include <LibCell/WaitReason.h>
#include <LibLog/Logger.h>
#include <array>
#include <cstddef>
#include <cstdint>

namespace zinc::cell {

/// The cell's state at the time of a line about the load.
struct CellLoad
{
  std::size_t activeJobs = 0;
  std::size_t workers = 0;
  /// Workers that may get tasks, and what they use and have.
  std::size_t usableWorkers = 0;
  Resources used;
  Resources capacity;
  /// Jobs with unwritten progress.
  std::size_t unwrittenJobs = 0;
  /// Requests to the policy service that were not sent yet.
  std::size_t pendingAdvice = 0;
};

/// Counts placement attempts, and logs the load once a second and each step that waits for long.
class LoadReport
{
public:
  explicit LoadReport(const Logger& aLog)
    : log(aLog)
  {
  }

  /// Counts a tick of the scheduler.
  void CountTick(TimePoint aNow);
  /// Measures the work of the scheduler.
  [[nodiscard]] ActivityTimes& Activities() { return this->activities; }
  /// Counts a start or stop order that is sent.
  void CountOrder() { ++this->sample.orders; }
  /// Counts a lease renewal that is sent.
  void CountRenewal() { ++this->sample.renewals; }
  /// Counts a placement round.
  void CountPlacement(Milliseconds aDuration);
  /// Counts a placement round that ended before it had attempted all steps.
  void CountTruncatedPlacement() { ++this->sample.truncatedPlacements; }
  /// Counts the outcome of a placement attempt.
  void CountAttempt(WaitReason aReason)
  {
    ++this->sample.waitCounts.at(static_cast<std::size_t>(aReason));
  }
  /// Logs a step that has been pending for long.
  /// @param aNow start of the placement round
  void LogLongWait(const Candidate& aCandidate, WaitReason aReason, TimePoint aNow) const;
  /// Records in the step's run whether it stands still; see @ref StandsStill. Logs a long
  /// standstill, and how long it was once the step goes on.
  /// @param aNow start of the placement round
  void RecordStandstill(const Candidate& aCandidate, WaitReason aReason, TimePoint aNow) const;
  /// @return true if a line about the load is due
  [[nodiscard]] bool IsLineDue(TimePoint aNow) const { return aNow >= this->nextLine; }
  /// Logs the load and begins a new sample.
  void LogLoad(const CellLoad& aLoad, TimePoint aNow);

private:
  /// Logs the time that each activity took, and the messages to workers.
  void LogActivities();
  void WriteStandstill(const Candidate& aCandidate, bool aHasEnded) const;

  /// Statistics since the last line about the load.
  struct Sample
  {
    std::array<std::uint32_t, kWaitReasonCount> waitCounts{};
    std::uint32_t ticks = 0;
    std::uint32_t orders = 0;
    std::uint32_t renewals = 0;
    std::uint32_t placements = 0;
    std::uint32_t truncatedPlacements = 0;
    Milliseconds placementTime{ 0 };
    Milliseconds maxTickGap{ 0 };
  };

  const Logger& log;
  Sample sample;
  ActivityTimes activities;
  /// Processor time of the process at the last line.
  double processorSeconds = 0.0;
  TimePoint lastTick{};
  TimePoint nextLine{};
};

}
