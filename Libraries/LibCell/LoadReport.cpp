#include <LibCell/LoadReport.h>

#include <LibCell/PriorityClass.h>
#include <LibCell/Standstill.h>
#include <LibMetrics/ProcessUsage.h>
#include <algorithm>
#include <cmath>

namespace zinc::cell {

namespace {

/// Often enough to distinguish a burst from a lasting backlog, at negligible cost.
constexpr Milliseconds kLoadLogInterval{ 1000 };
/// Interval at which a step that stays pending is logged.
constexpr Milliseconds kWaitLogInterval{ 2000 };
/// Standstills shorter than this are not logged: tickets alone take a few hundred milliseconds.
constexpr Milliseconds kMinLoggedStandstill{ 500 };
/// Interval at which a standstill that goes on is logged.
constexpr Milliseconds kStandstillLogInterval{ 1000 };

/// @return what the step's workspace uses, and may use at unread workers
Resources
UsedBy(const Candidate& aCandidate)
{
  const auto& usage = *aCandidate.job->workspaceUsage;
  return usage.running + usage.unread;
}

/// @return the limit of the step's workspace, in which an amount of 0 means no limit
Resources
LimitOf(const Candidate& aCandidate)
{
  return aCandidate.job->workspaceUsage->limit.value_or(Resources{});
}

}

void
LoadReport::CountTick(TimePoint aNow)
{
  if (this->lastTick != TimePoint{}) {
    this->sample.maxTickGap = std::max(this->sample.maxTickGap, aNow - this->lastTick);
  }
  this->lastTick = aNow;
  ++this->sample.ticks;
}

void
LoadReport::CountPlacement(Milliseconds aDuration)
{
  ++this->sample.placements;
  this->sample.placementTime += aDuration;
}

void
LoadReport::LogLongWait(const Candidate& aCandidate, WaitReason aReason, TimePoint aNow) const
{
  auto& run = *aCandidate.run;
  run.wait.RecordAttempt(aReason, aNow);
  const auto total = run.wait.Total();
  if (total == Milliseconds{ 0 }) {
    run.nextWaitLog = kWaitLogInterval;
  }
  if (aReason == WaitReason::None || total < run.nextWaitLog) {
    return;
  }
  run.nextWaitLog = total + kWaitLogInterval;
  const auto& step = *aCandidate.specification;
  const auto used = UsedBy(aCandidate);
  const auto limit = LimitOf(aCandidate);
  const auto timeOf = [&run](WaitReason aWaitReason) {
    return run.wait.TimeOf(aWaitReason).count();
  };
  this->log.Log(LogLevel::Info,
                "step_waits",
                { { "job", aCandidate.job->spec.id.value },
                  { "step", aCandidate.step },
                  { "for", ToString(aReason) },
                  { "waited_ms", total.count() },
                  { "advice_ms", timeOf(WaitReason::Advice) },
                  { "limit_ms", timeOf(WaitReason::Limit) },
                  { "headroom_ms", timeOf(WaitReason::Headroom) },
                  { "room_ms", timeOf(WaitReason::Room) },
                  { "earmark_ms", timeOf(WaitReason::Earmark) },
                  { "ticket_ms", timeOf(WaitReason::Ticket) },
                  { "record_ms", timeOf(WaitReason::Record) },
                  { "tasks", step.count },
                  { "millicores", step.demand.milliCores },
                  { "mib", step.demand.memoryMiB },
                  { "gang", step.isGang },
                  { "rank", aCandidate.priorityKey / kPriorityClassSpan },
                  { "asked", run.advice.RequestedCount() },
                  { "good", run.advice.Tickets().size() },
                  { "reservations_failed", run.failedReservations },
                  { "last_reservation", ToString(run.lastReservationEnd) },
                  { "workspace", aCandidate.job->spec.workspace.value },
                  { "workspace_millicores", used.milliCores },
                  { "limit_millicores", limit.milliCores },
                  { "workspace_mib", used.memoryMiB },
                  { "limit_mib", limit.memoryMiB } });
}

void
LoadReport::RecordStandstill(const Candidate& aCandidate, WaitReason aReason, TimePoint aNow) const
{
  auto& run = *aCandidate.run;
  const bool wasStandingStill = run.standstill.LastReason() != WaitReason::None;
  const bool standsStill = StandsStill(aCandidate, aReason);
  if (!standsStill && !wasStandingStill) {
    return;
  }
  if (!wasStandingStill) {
    run.nextStandstillLog = kStandstillLogInterval;
  }
  // The time since the last attempt belongs to the standstill, also if this attempt ends it.
  run.standstill.RecordAttempt(standsStill ? aReason : run.standstill.LastReason(), aNow);
  const auto total = run.standstill.Total();
  if (!standsStill && total >= kMinLoggedStandstill) {
    this->WriteStandstill(aCandidate, true);
  } else if (total >= run.nextStandstillLog) {
    run.nextStandstillLog = total + kStandstillLogInterval;
    this->WriteStandstill(aCandidate, false);
  }
  if (!standsStill) {
    run.standstill = {};
  }
}

void
LoadReport::WriteStandstill(const Candidate& aCandidate, bool aHasEnded) const
{
  const auto& run = *aCandidate.run;
  const auto& step = *aCandidate.specification;
  const auto used = UsedBy(aCandidate);
  const auto limit = LimitOf(aCandidate);
  const auto timeOf = [&run](WaitReason aReason) { return run.standstill.TimeOf(aReason).count(); };
  this->log.Log(LogLevel::Info,
                "step_stands_still",
                { { "job", aCandidate.job->spec.id.value },
                  { "occurrence", aCandidate.occurrence },
                  { "step", aCandidate.step },
                  { "ended", aHasEnded },
                  { "for", ToString(run.standstill.LastReason()) },
                  { "still_ms", run.standstill.Total().count() },
                  { "advice_ms", timeOf(WaitReason::Advice) },
                  { "limit_ms", timeOf(WaitReason::Limit) },
                  { "headroom_ms", timeOf(WaitReason::Headroom) },
                  { "earmark_ms", timeOf(WaitReason::Earmark) },
                  { "ticket_ms", timeOf(WaitReason::Ticket) },
                  { "record_ms", timeOf(WaitReason::Record) },
                  { "reports_ms", timeOf(WaitReason::Reports) },
                  { "tasks", step.count },
                  { "millicores", step.demand.milliCores },
                  { "mib", step.demand.memoryMiB },
                  { "gang", step.isGang },
                  { "rank", aCandidate.priorityKey / kPriorityClassSpan },
                  { "reservations_failed", run.failedReservations },
                  { "last_reservation", ToString(run.lastReservationEnd) },
                  { "workspace", aCandidate.job->spec.workspace.value },
                  { "workspace_millicores", used.milliCores },
                  { "limit_millicores", limit.milliCores },
                  { "workspace_mib", used.memoryMiB },
                  { "limit_mib", limit.memoryMiB } });
}

void
LoadReport::LogLoad(const CellLoad& aLoad, TimePoint aNow)
{
  this->nextLine = aNow + kLoadLogInterval;
  const auto countOf = [this](WaitReason aReason) {
    return this->sample.waitCounts.at(static_cast<std::size_t>(aReason));
  };
  this->log.Log(LogLevel::Info,
                "cell_load",
                { { "active", aLoad.activeJobs },
                  { "workers", aLoad.workers },
                  { "usable", aLoad.usableWorkers },
                  { "used_millicores", aLoad.used.milliCores },
                  { "millicores", aLoad.capacity.milliCores },
                  { "used_mib", aLoad.used.memoryMiB },
                  { "mib", aLoad.capacity.memoryMiB },
                  { "unwritten", aLoad.unwrittenJobs },
                  { "questions", aLoad.pendingAdvice },
                  { "placements", this->sample.placements },
                  { "cut_short", this->sample.truncatedPlacements },
                  { "placing_ms", this->sample.placementTime.count() },
                  { "longest_tick_gap_ms", this->sample.maxTickGap.count() },
                  { "placed", countOf(WaitReason::None) },
                  { "wait_workers", countOf(WaitReason::NoWorkers) },
                  { "wait_advice", countOf(WaitReason::Advice) },
                  { "wait_limit", countOf(WaitReason::Limit) },
                  { "wait_headroom", countOf(WaitReason::Headroom) },
                  { "wait_room", countOf(WaitReason::Room) },
                  { "wait_earmark", countOf(WaitReason::Earmark) },
                  { "wait_ticket", countOf(WaitReason::Ticket) },
                  { "wait_members", countOf(WaitReason::Members) },
                  { "wait_record", countOf(WaitReason::Record) },
                  { "wait_evacuated", countOf(WaitReason::Evacuated) } });
  this->LogActivities();
  this->sample = {};
}

void
LoadReport::LogActivities()
{
  constexpr double kMsPerSecond = 1000.0;
  const auto processorSeconds = CurrentProcessUsage().processorSeconds;
  const auto milliseconds = [this](Activity aActivity) {
    return std::chrono::duration_cast<Milliseconds>(this->activities.TimeOf(aActivity)).count();
  };
  this->log.Log(
    LogLevel::Info,
    "leader_time",
    { { "processor_ms", std::llround((processorSeconds - this->processorSeconds) * kMsPerSecond) },
      { "ticks", this->sample.ticks },
      { "due_checks_ms", milliseconds(Activity::DueChecks) },
      { "placement_ms", milliseconds(Activity::Placement) },
      { "orders_ms", milliseconds(Activity::Orders) },
      { "renewals_ms", milliseconds(Activity::Renewals) },
      { "reports_ms", milliseconds(Activity::Reports) },
      { "jobs_ms", milliseconds(Activity::Jobs) },
      { "progress_ms", milliseconds(Activity::Progress) },
      { "advice_ms", milliseconds(Activity::Advice) },
      { "leader_record_ms", milliseconds(Activity::LeaderRecord) },
      { "orders", this->sample.orders },
      { "renewals", this->sample.renewals } });
  this->processorSeconds = processorSeconds;
  this->activities.Reset();
}

}
