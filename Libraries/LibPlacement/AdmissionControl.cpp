#include <LibPlacement/AdmissionControl.h>

#include <algorithm>

namespace zinc {

namespace {

constexpr Milliseconds kDefaultRetryDelay{ 1000 };
constexpr Milliseconds kMinRetryDelay{ 100 };
constexpr Milliseconds kMaxRetryDelay{ 60'000 };
/// A rejected caller retries once this fraction of the backlog has probably started.
constexpr double kRetryDrainFraction = 0.1;
/// Above this fraction of a queue's limit, each team is limited to its share of the queue.
constexpr double kContendedQueueFraction = 0.8;
/// A smaller backlog gives no useful estimate of the waiting time.
constexpr std::uint32_t kMinBacklogForEstimate = 8;
/// Fraction of the total backlog limit above which tasks of a work class are rejected, in the order
/// of WorkClass. Urgent tasks may use the whole limit.
constexpr std::array<double, kWorkClassCount> kMaxBacklogFractions = { 1.0, 0.7, 0.8, 0.9 };

std::uint32_t
GangSizeOf(const TaskSpec& aTask)
{
  return std::max(1U, aTask.gangSize);
}

}

std::optional<Verdict>
AdmissionControl::CheckAdmission(const TaskSpec& aTask)
{
  static constexpr std::array<Check, 3> kChecksForAll = { &AdmissionControl::CheckQueueDeclared,
                                                          &AdmissionControl::CheckDuplicate,
                                                          &AdmissionControl::CheckFeasibility };
  static constexpr std::array<Check, 4> kChecksUnlessGangAdmitted = {
    &AdmissionControl::CheckOverload,
    &AdmissionControl::CheckQueueLimit,
    &AdmissionControl::CheckTeamShareOfQueue,
    &AdmissionControl::CheckDeadline
  };
  for (const Check check : kChecksForAll) {
    if (auto verdict = (this->*check)(aTask)) {
      return verdict;
    }
  }
  // A gang is admitted as a whole with its first member.
  if (this->IsInAdmittedGang(aTask)) {
    return {};
  }
  for (const Check check : kChecksUnlessGangAdmitted) {
    if (auto verdict = (this->*check)(aTask)) {
      return verdict;
    }
  }
  return {};
}

std::optional<Milliseconds>
AdmissionControl::EffectiveDeadline(const TaskSpec& aTask) const
{
  const auto& queueDeadline = this->FindQueue(aTask).config.deadline;
  if (!queueDeadline) {
    return aTask.deadline;
  }
  return std::min(aTask.deadline.value_or(*queueDeadline), *queueDeadline);
}

std::optional<Verdict>
AdmissionControl::CheckQueueDeclared(const TaskSpec& aTask)
{
  if (this->state.queueTable.FindDeclared(aTask.queue) != kNoIndex) {
    return {};
  }
  return NotRun(ErrorCode::NotFound, "The queue " + aTask.queue.value + " is not declared.");
}

std::optional<Verdict>
AdmissionControl::CheckDuplicate(const TaskSpec& aTask)
{
  if (this->state.tasks.Find(aTask.id) == kNoIndex) {
    return {};
  }
  return NotRun(ErrorCode::Conflict,
                "A task with the identifier " + aTask.id.value + " already exists.");
}

std::optional<Verdict>
AdmissionControl::CheckFeasibility(const TaskSpec& aTask)
{
  const WorkerPool& pool = this->state.pool;
  const std::uint32_t gangSize = GangSizeOf(aTask);
  if (pool.PresentWorkers().empty() ||
      pool.CountFittingWhenEmpty(aTask.request, gangSize) >= gangSize) {
    return {};
  }
  return NotRun(ErrorCode::Impossible,
                gangSize > 1
                  ? "The known workers together do not have the capacity for all tasks of this job."
                  : "No known worker has the capacity for this task.");
}

std::optional<Verdict>
AdmissionControl::CheckOverload(const TaskSpec& aTask)
{
  std::uint64_t backlog = GangSizeOf(aTask);
  for (const std::uint32_t count : this->state.queuedByClass) {
    backlog += count;
  }
  const double fraction = aTask.urgency == Urgency::Urgent
                            ? 1.0
                            : kMaxBacklogFractions.at(static_cast<std::size_t>(aTask.workClass));
  const double limit = fraction * static_cast<double>(this->state.options.maxQueuedTotal);
  if (static_cast<double>(backlog) <= limit) {
    return {};
  }
  const DrainMeter* meter = this->FindTeamMeter(aTask);
  const auto estimate =
    meter == nullptr
      ? std::nullopt
      : meter->EstimateTimeToStart(meter->WaitingCount() * kRetryDrainFraction, this->now);
  return NotRun(ErrorCode::Overloaded,
                "The backlog is too large to admit another task of this work class.",
                this->JitteredRetryDelay(estimate));
}

std::optional<Verdict>
AdmissionControl::CheckQueueLimit(const TaskSpec& aTask)
{
  const QueueRecord& queue = this->FindQueue(aTask);
  if (queue.drainMeter.WaitingCount() + GangSizeOf(aTask) <= queue.config.maxQueued) {
    return {};
  }
  const double startsBeforeRetry = GangSizeOf(aTask) + queue.config.maxQueued * kRetryDrainFraction;
  return NotRun(
    ErrorCode::LimitReached,
    "The queue " + aTask.queue.value + " is full.",
    this->JitteredRetryDelay(queue.drainMeter.EstimateTimeToStart(startsBeforeRetry, this->now)));
}

std::optional<Verdict>
AdmissionControl::CheckTeamShareOfQueue(const TaskSpec& aTask)
{
  const QueueRecord& queue = this->FindQueue(aTask);
  const DrainMeter* meter = this->FindTeamMeter(aTask);
  const double limit = queue.config.maxQueued;
  if (meter == nullptr || meter->WaitingCount() == 0 || queue.waitingTeamCount < 2 ||
      queue.drainMeter.WaitingCount() < limit * kContendedQueueFraction ||
      meter->WaitingCount() < limit / (queue.waitingTeamCount + 1)) {
    return {};
  }
  return NotRun(ErrorCode::LimitReached,
                "The team has reached its share of the queue " + aTask.queue.value + ".",
                this->JitteredRetryDelay(meter->EstimateTimeToStart(
                  meter->WaitingCount() * kRetryDrainFraction, this->now)));
}

std::optional<Verdict>
AdmissionControl::CheckDeadline(const TaskSpec& aTask)
{
  const auto deadline = this->EffectiveDeadline(aTask);
  if (!deadline) {
    return {};
  }
  if (*deadline <= Milliseconds(0)) {
    return NotRun(ErrorCode::DeadlineExceeded, "The deadline has already passed.");
  }
  const DrainMeter* meter = this->FindTeamMeter(aTask);
  if (meter == nullptr || meter->WaitingCount() < kMinBacklogForEstimate) {
    return {};
  }
  const auto timeToStart = meter->EstimateTimeToStart(meter->WaitingCount(), this->now);
  if (!timeToStart || *timeToStart <= *deadline) {
    return {};
  }
  return NotRun(ErrorCode::DeadlineExceeded,
                "The team's waiting tasks are not expected to start before the deadline.",
                this->JitteredRetryDelay(*timeToStart - *deadline));
}

bool
AdmissionControl::IsInAdmittedGang(const TaskSpec& aTask) const
{
  return aTask.gangSize > 1 && this->state.gangs.Find(aTask.job) != kNoIndex;
}

const QueueRecord&
AdmissionControl::FindQueue(const TaskSpec& aTask) const
{
  return this->state.queueTable[this->state.queueTable.FindDeclared(aTask.queue)];
}

const DrainMeter*
AdmissionControl::FindTeamMeter(const TaskSpec& aTask) const
{
  const TeamIndex team = this->state.teams.Find(aTask.team);
  if (team == kNoIndex) {
    return nullptr;
  }
  const auto& meters = this->FindQueue(aTask).drainMetersByTeam;
  const auto found = meters.find(team);
  return found == meters.end() ? nullptr : &found->second;
}

Milliseconds
AdmissionControl::JitteredRetryDelay(std::optional<Milliseconds> aEstimate)
{
  const Milliseconds baseDelay =
    std::clamp(aEstimate.value_or(kDefaultRetryDelay), kMinRetryDelay, kMaxRetryDelay);
  // The jitter of 25% in both directions keeps callers that were rejected together from retrying
  // together.
  const auto jitterMs = static_cast<std::uint32_t>(baseDelay.count() / 2 + 1);
  return baseDelay * 3 / 4 + Milliseconds(this->state.random(jitterMs));
}

}
