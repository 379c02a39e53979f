#include <LibPlacement/Scheduler.h>

#include <LibPlacement/AdmissionControl.h>
#include <LibPlacement/OverusePolicy.h>
#include <LibPlacement/PlacementPass.h>
#include <LibPlacement/PreemptionPlanner.h>
#include <LibPlacement/QueueSweep.h>
#include <LibPlacement/ResourceMath.h>
#include <algorithm>
#include <iterator>
#include <utility>

namespace zinc {

struct Scheduler::State
{
  explicit State(SchedulerOptions aOptions)
    : cell(aOptions)
  {
  }

  CellState cell;
  /// Number of the latest placement pass.
  std::uint64_t passNumber = 0;
};

Result<std::unique_ptr<Scheduler>>
Scheduler::Create(SchedulerOptions aOptions)
{
  if (aOptions.maxStarts == 0) {
    return NotRun(ErrorCode::BadRequest,
                  "The maximum number of starts per decision must be at least 1.");
  }
  return std::unique_ptr<Scheduler>(new Scheduler(std::make_unique<State>(aOptions)));
}

Scheduler::Scheduler(std::unique_ptr<State> aState)
  : state(std::move(aState))
{
}

Scheduler::~Scheduler() = default;

void
Scheduler::ApplyDocument(const Document& aDocument)
{
  CellState& cell = this->state->cell;
  cell.policy = aDocument.placement;
  cell.quarantine.SetMaxQuarantinedFraction(aDocument.placement.maxQuarantined);
  cell.queueTable.SetDeclaredQueues(aDocument.queues);
  cell.headroom.SetChecksDeclared(std::ranges::find(aDocument.queues,
                                                    WorkClass::Check,
                                                    &Queue::workClass) != aDocument.queues.end());
  for (const Team& team : aDocument.teams) {
    cell.shares[cell.EnsureTeam(team.id)].weight = team.share;
  }
}

void
Scheduler::SetAllowance(const TeamId& aTeam, const Resources& aAllowance)
{
  CellState& cell = this->state->cell;
  cell.shares[cell.EnsureTeam(aTeam)].allowance = aAllowance;
}

void
Scheduler::UpsertWorker(const WorkerInfo& aWorker)
{
  CellState& cell = this->state->cell;
  cell.pool.Upsert(aWorker);
  cell.shares.SetCapacity(cell.pool.TotalCapacity());
}

void
Scheduler::SetWorkerMode(const WorkerId& aWorker, WorkerMode aMode)
{
  CellState& cell = this->state->cell;
  const WorkerIndex worker = cell.pool.Find(aWorker);
  if (worker != kNoIndex) {
    cell.pool.SetMode(worker, aMode);
  }
}

std::vector<TaskSpec>
Scheduler::RemoveWorker(const WorkerId& aWorker)
{
  CellState& cell = this->state->cell;
  const WorkerIndex worker = cell.pool.Find(aWorker);
  if (worker == kNoIndex) {
    return {};
  }
  std::vector<TaskSpec> removed;
  while (!cell.pool[worker].tasks.empty()) {
    const TaskIndex task = cell.pool[worker].tasks.back();
    cell.ReleaseAllocation(task);
    removed.push_back(cell.tasks[task].spec);
    cell.RemoveTask(task);
  }
  cell.urgentReservations.OnWorkerRemoved(worker);
  cell.quarantine.OnWorkerRemoved(worker);
  cell.pool.Remove(worker);
  cell.shares.SetCapacity(cell.pool.TotalCapacity());
  return removed;
}

Result<Done>
Scheduler::Enqueue(TaskSpec aTask, TimePoint aNow)
{
  CellState& cell = this->state->cell;
  AdmissionControl admission(cell, aNow);
  if (auto rejection = admission.CheckAdmission(aTask)) {
    return *std::move(rejection);
  }
  if (aTask.workClass == WorkClass::Check) {
    cell.headroom.ObserveRequest(aTask.request);
  }
  const auto deadline = admission.EffectiveDeadline(aTask);
  const TaskIndex task = cell.AddTask(std::move(aTask), aNow);
  if (deadline) {
    cell.tasks[task].expiresAt = aNow + *deadline;
  }
  cell.EnqueueTask(task, aNow);
  return Done{};
}

void
Scheduler::Adopt(const TaskSpec& aTask, const WorkerId& aWorker, TimePoint aNow)
{
  CellState& cell = this->state->cell;
  const WorkerIndex worker = cell.pool.Find(aWorker);
  if (worker == kNoIndex) {
    return;
  }
  const TaskIndex existing = cell.tasks.Find(aTask.id);
  if (existing != kNoIndex) {
    if (!CellState::IsWaiting(cell.tasks[existing])) {
      return;
    }
    cell.DequeueTask(existing, DequeueReason::Removed, aNow);
    cell.RemoveTask(existing);
  }
  const TaskIndex task = cell.AddTask(aTask, aNow);
  cell.tasks[task].mayHaveRun = true;
  cell.Allocate(task, worker, aNow);
}

CancelOutcome
Scheduler::Cancel(const TaskId& aTask)
{
  CellState& cell = this->state->cell;
  const TaskIndex task = cell.tasks.Find(aTask);
  if (task == kNoIndex) {
    return CancelOutcome::NotFound;
  }
  if (!CellState::IsWaiting(cell.tasks[task])) {
    cell.tasks[task].isCancelled = true;
    return CancelOutcome::IsRunning;
  }
  cell.CancelQueued(task);
  return CancelOutcome::WasQueued;
}

std::vector<Decision>
Scheduler::Decide(TimePoint aNow)
{
  CellState& cell = this->state->cell;
  for (TaskIndex task = cell.deadlines.FirstExpired(aNow); task != kNoIndex;
       task = cell.deadlines.FirstExpired(aNow)) {
    const auto& drainMeter = cell.queueTable[cell.tasks[task].queue].drainMeter;
    const auto retryAfter = drainMeter.EstimateTimeToStart(drainMeter.WaitingCount(), aNow);
    cell.RejectQueued(task,
                      NotRun(ErrorCode::DeadlineExceeded,
                             "The deadline passed before the task could be started.",
                             retryAfter),
                      aNow);
  }
  const std::uint32_t checkCount =
    cell.queuedByClass.at(static_cast<std::size_t>(WorkClass::Check)) + cell.runningChecks;
  cell.headroom.Update(cell.pool, checkCount, aNow);
  cell.quarantine.Update(cell.pool, cell.tasks, aNow);
  QueueSweep(cell, aNow).Run();
  PlacementPass pass(cell, aNow, ++this->state->passNumber);
  std::vector<Decision> starts = pass.Run();
  PreemptionPlanner(cell, aNow).Run();
  std::vector<Decision> decisions = std::exchange(cell.pendingRejections, {});
  std::ranges::move(starts, std::back_inserter(decisions));
  for (PreemptTask& preemption : std::exchange(cell.pendingPreemptions, {})) {
    const TaskIndex task = cell.tasks.Find(preemption.task);
    if (task != kNoIndex && cell.tasks[task].phase == TaskPhase::Preempting) {
      decisions.emplace_back(std::move(preemption));
    }
  }
  return decisions;
}

void
Scheduler::ReportEnd(const TaskId& aTask, TaskOutcome aOutcome, TimePoint aNow)
{
  CellState& cell = this->state->cell;
  const TaskIndex task = cell.tasks.Find(aTask);
  if (task == kNoIndex || CellState::IsWaiting(cell.tasks[task])) {
    return;
  }
  const TaskRecord& record = cell.tasks[task];
  const bool wasPreempted =
    record.phase == TaskPhase::Preempting && aOutcome == TaskOutcome::Stopped;
  const bool isRequeued =
    !record.isCancelled && (wasPreempted || aOutcome == TaskOutcome::NotStarted);
  cell.quarantine.OnTaskEnded(
    cell.pool, record, aOutcome, cell.estimator.EstimateRunTime(record), aNow);
  cell.estimator.ObserveUsage(record);
  if (aOutcome == TaskOutcome::Succeeded) {
    cell.estimator.ObserveRunTime(record, aNow - record.startedAt);
  }
  cell.ReleaseAllocation(task);
  if (!isRequeued) {
    cell.RemoveTask(task);
    return;
  }
  ++cell.tasks[task].spec.attempt;
  cell.EnqueueTask(task, aNow);
}

void
Scheduler::ReportUsage(const TaskId& aTask, const Resources& aUsage, TimePoint)
{
  CellState& cell = this->state->cell;
  const TaskIndex task = cell.tasks.Find(aTask);
  if (task == kNoIndex || CellState::IsWaiting(cell.tasks[task])) {
    return;
  }
  TaskRecord& record = cell.tasks[task];
  record.peakUsage = ElementwiseMax(record.peakUsage, aUsage);
  cell.UpdateAllocation(task, ElementwiseMax(record.spec.request, aUsage));
  OverusePolicy(cell).RelieveWorker(record.worker);
}

SchedulerLoad
Scheduler::CurrentLoad() const
{
  const CellState& cell = this->state->cell;
  SchedulerLoad load{ .capacity = cell.pool.TotalCapacity(),
                      .used = cell.pool.TotalUsed(),
                      .queued = cell.queuedByClass,
                      .running = cell.runningCount };
  for (const Resources& room : cell.pool.Rooms(RoomKind::Check)) {
    load.largestRoom.milliCores = std::max(load.largestRoom.milliCores, room.milliCores);
    load.largestRoom.memoryMiB = std::max(load.largestRoom.memoryMiB, room.memoryMiB);
    load.largestRoom.accelerators = std::max(load.largestRoom.accelerators, room.accelerators);
    load.largestRoom.slots = std::max(load.largestRoom.slots, room.slots);
  }
  return load;
}

bool
Scheduler::IsQuarantined(const WorkerId& aWorker) const
{
  const CellState& cell = this->state->cell;
  const WorkerIndex worker = cell.pool.Find(aWorker);
  return worker != kNoIndex && cell.quarantine.IsRestricted(worker);
}

Resources
Scheduler::Demand(const TeamId& aTeam) const
{
  const CellState& cell = this->state->cell;
  const TeamIndex team = cell.teams.Find(aTeam);
  return team == kNoIndex ? Resources{}
                          : cell.shares[team].runningRequests + cell.shares[team].queuedRequests;
}

Resources
Scheduler::RunningResources(const TeamId& aTeam) const
{
  const CellState& cell = this->state->cell;
  const TeamIndex team = cell.teams.Find(aTeam);
  return team == kNoIndex ? Resources{} : cell.shares[team].runningRequests;
}

}
