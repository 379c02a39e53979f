#include <LibPlacement/AdmissionControl.h>

#include <algorithm>

namespace zinc {

namespace {

constexpr Milliseconds kDefaultRetry{ 1000 };
constexpr Milliseconds kShortestRetry{ 100 };
constexpr Milliseconds kLongestRetry{ 60'000 };
/// Part of a full queue that has to start before asking again makes sense.
constexpr double kDrainedPart = 0.1;
/// Part of a queue above which a team may not take more than its part of it.
constexpr double kContendedPart = 0.8;
/// Fewer waiting tasks than these say nothing about the wait.
constexpr std::uint32_t kLeastBacklog = 8;
/// Parts of the waiting places above which a class is refused.
constexpr std::array<double, kWorkClassCount> kShedAbove = { 1.0, 0.7, 0.8, 0.9 };

std::uint32_t
CopiesOf(const TaskSpec& aTask)
{
  return std::max(1U, aTask.gangSize);
}

}

std::optional<Verdict>
AdmissionControl::CheckAdmission(const TaskSpec& aTask)
{
  static constexpr std::array<Check, 3> kAlways = { &AdmissionControl::CheckQueueDeclared,
                                                    &AdmissionControl::CheckDuplicate,
                                                    &AdmissionControl::CheckFeasibility };
  static constexpr std::array<Check, 4> kUnlessAdmitted = {
    &AdmissionControl::CheckOverload,
    &AdmissionControl::CheckQueueLimit,
    &AdmissionControl::CheckTeamShareOfQueue,
    &AdmissionControl::CheckDeadline
  };
  for (const Check check : kAlways) {
    if (auto verdict = (this->*check)(aTask)) {
      return verdict;
    }
  }
  if (this->IsInAdmittedGang(aTask)) {
    return {};
  }
  for (const Check check : kUnlessAdmitted) {
    if (auto verdict = (this->*check)(aTask)) {
      return verdict;
    }
  }
  return {};
}

std::optional<Milliseconds>
AdmissionControl::EffectiveDeadline(const TaskSpec& aTask) const
{
  const auto& ofQueue = this->FindQueue(aTask).config.deadline;
  if (!ofQueue) {
    return aTask.deadline;
  }
  return std::min(aTask.deadline.value_or(*ofQueue), *ofQueue);
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
  return NotRun(ErrorCode::Conflict, "The task " + aTask.id.value + " is known already.");
}

std::optional<Verdict>
AdmissionControl::CheckFeasibility(const TaskSpec& aTask)
{
  const WorkerPool& pool = this->state.pool;
  const std::uint32_t copies = CopiesOf(aTask);
  if (pool.PresentWorkers().empty() ||
      pool.CountFittingWhenEmpty(aTask.request, copies) >= copies) {
    return {};
  }
  return NotRun(ErrorCode::Impossible,
                copies > 1 ? "The known workers together could never hold this job."
                           : "No known worker could ever hold this task.");
}

std::optional<Verdict>
AdmissionControl::CheckOverload(const TaskSpec& aTask)
{
  std::uint64_t waiting = CopiesOf(aTask);
  for (const std::uint32_t count : this->state.queuedByClass) {
    waiting += count;
  }
  const double part = aTask.urgency == Urgency::Urgent
                        ? 1.0
                        : kShedAbove.at(static_cast<std::size_t>(aTask.workClass));
  const double limit = part * static_cast<double>(this->state.options.maxQueuedTotal);
  if (static_cast<double>(waiting) <= limit) {
    return {};
  }
  const DrainMeter* meter = this->FindTeamMeter(aTask);
  const auto estimate =
    meter == nullptr ? std::nullopt
                     : meter->EstimateTimeToStart(meter->WaitingCount() * kDrainedPart, this->now);
  return NotRun(ErrorCode::Overloaded,
                "Too many tasks wait for work of this class to be taken.",
                this->JitteredRetryDelay(estimate));
}

std::optional<Verdict>
AdmissionControl::CheckQueueLimit(const TaskSpec& aTask)
{
  const QueueRecord& queue = this->FindQueue(aTask);
  if (queue.drainMeter.WaitingCount() + CopiesOf(aTask) <= queue.config.maxQueued) {
    return {};
  }
  const double places = CopiesOf(aTask) + queue.config.maxQueued * kDrainedPart;
  return NotRun(ErrorCode::LimitReached,
                "The queue " + aTask.queue.value + " is full.",
                this->JitteredRetryDelay(queue.drainMeter.EstimateTimeToStart(places, this->now)));
}

std::optional<Verdict>
AdmissionControl::CheckTeamShareOfQueue(const TaskSpec& aTask)
{
  const QueueRecord& queue = this->FindQueue(aTask);
  const DrainMeter* meter = this->FindTeamMeter(aTask);
  const double limit = queue.config.maxQueued;
  if (meter == nullptr || meter->WaitingCount() == 0 || queue.waitingTeamCount < 2 ||
      queue.drainMeter.WaitingCount() < limit * kContendedPart ||
      meter->WaitingCount() < limit / (queue.waitingTeamCount + 1)) {
    return {};
  }
  return NotRun(ErrorCode::LimitReached,
                "The team has its part of the queue " + aTask.queue.value + " waiting.",
                this->JitteredRetryDelay(
                  meter->EstimateTimeToStart(meter->WaitingCount() * kDrainedPart, this->now)));
}

std::optional<Verdict>
AdmissionControl::CheckDeadline(const TaskSpec& aTask)
{
  const auto deadline = this->EffectiveDeadline(aTask);
  if (!deadline) {
    return {};
  }
  if (*deadline <= Milliseconds(0)) {
    return NotRun(ErrorCode::DeadlineExceeded, "The deadline has passed already.");
  }
  const DrainMeter* meter = this->FindTeamMeter(aTask);
  if (meter == nullptr || meter->WaitingCount() < kLeastBacklog) {
    return {};
  }
  const auto wait = meter->EstimateTimeToStart(meter->WaitingCount(), this->now);
  if (!wait || *wait <= *deadline) {
    return {};
  }
  return NotRun(ErrorCode::DeadlineExceeded,
                "The team's waiting tasks will not have started by the deadline.",
                this->JitteredRetryDelay(*wait - *deadline));
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
  const Milliseconds base =
    std::clamp(aEstimate.value_or(kDefaultRetry), kShortestRetry, kLongestRetry);
  // Callers that were refused together should not come back together.
  const auto spread = static_cast<std::uint32_t>(base.count() / 2 + 1);
  return base * 3 / 4 + Milliseconds(this->state.random(spread));
}

}
