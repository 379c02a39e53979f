#include <LibPlacement/CellState.h>

#include <LibPlacement/ResourceMath.h>
#include <algorithm>
#include <cassert>

namespace zinc {

CellState::CellState(SchedulerOptions aOptions)
  : options(aOptions)
  , strategies(aOptions.seed)
  , random(aOptions.seed + 1)
{
}

TaskIndex
CellState::AddTask(TaskSpec aTask, TimePoint aNow)
{
  TaskRecord record;
  record.spec = std::move(aTask);
  record.phase = TaskPhase::Assembling;
  record.sequence = this->nextSequence++;
  record.team = this->EnsureTeam(record.spec.team);
  record.queue = this->queueTable.Ensure(record.spec.queue);
  record.charged = record.spec.request;
  record.enqueuedAt = aNow;
  const TaskIndex task = this->tasks.Insert(std::move(record));
  TaskRecord& inserted = this->tasks[task];
  if (inserted.spec.gangSize > 1) {
    inserted.gang = this->gangs.Ensure(inserted.spec.job, inserted.spec.gangSize);
    GangRecord& gang = this->gangs[inserted.gang];
    gang.members.push_back(task);
    gang.size = std::max(gang.size, static_cast<std::uint32_t>(gang.members.size()));
  }
  return task;
}

void
CellState::EnqueueTask(TaskIndex aTask, TimePoint aNow)
{
  TaskRecord& record = this->tasks[aTask];
  this->shares[record.team].queuedRequests += record.spec.request;
  this->queueTable.OnTaskQueued(record.queue, record.team, aNow);
  ++this->queuedByClass.at(static_cast<std::size_t>(record.spec.workClass));
  this->deadlines.Insert(aTask, record);
  if (record.gang != kNoIndex) {
    record.phase = TaskPhase::Assembling;
    this->EnqueueGangMember(aTask);
    return;
  }
  record.phase = TaskPhase::Queued;
  this->teamQueues.Insert(aTask, record);
}

void
CellState::DequeueTask(TaskIndex aTask, DequeueReason aReason, TimePoint aNow)
{
  TaskRecord& record = this->tasks[aTask];
  assert(IsWaiting(record));
  this->shares[record.team].queuedRequests -= record.spec.request;
  this->queueTable.OnTaskDequeued(record.queue, record.team, aReason, aNow);
  --this->queuedByClass.at(static_cast<std::size_t>(record.spec.workClass));
  this->deadlines.Erase(aTask, record);
  this->ReleaseReservations(aTask, aReason);
  if (record.gang != kNoIndex) {
    this->DequeueGang(aTask);
  } else {
    this->teamQueues.Erase(aTask, record, this->tasks);
  }
  record.phase = TaskPhase::Assembling;
}

void
CellState::Allocate(TaskIndex aTask, WorkerIndex aWorker, TimePoint aNow)
{
  TaskRecord& record = this->tasks[aTask];
  record.phase = TaskPhase::Running;
  record.worker = aWorker;
  record.startedAt = aNow;
  auto& workerTasks = this->pool[aWorker].tasks;
  record.indexOnWorker = static_cast<std::uint32_t>(workerTasks.size());
  workerTasks.push_back(aTask);
  this->pool.Allocate(aWorker, record.charged, RoomUseOf(record.spec));
  TeamUsage& team = this->shares[record.team];
  team.runningRequests += record.spec.request;
  team.charged += record.charged;
  if (record.spec.workClass == WorkClass::Check) {
    team.chargedByChecks += record.charged;
    ++this->runningChecks;
  }
  record.indexInTeam = static_cast<std::uint32_t>(team.running.size());
  team.running.push_back(aTask);
  if (record.gang != kNoIndex) {
    this->gangs[record.gang].hasStarted = true;
  }
  record.spreadDomain = this->SpreadDomainOf(record, aWorker);
  if (record.spreadDomain != kNoIndex) {
    this->spreadTracker.Add(record, record.spreadDomain);
  }
  ++this->runningCount;
  this->urgentReservations.OnTaskStarted(this->pool, aTask, aWorker);
  this->quarantine.OnTaskStarted(this->pool, aWorker);
}

void
CellState::UpdateAllocation(TaskIndex aTask, const Resources& aCharged)
{
  TaskRecord& record = this->tasks[aTask];
  const RoomUse use = RoomUseOf(record.spec);
  TeamUsage& team = this->shares[record.team];
  this->pool.Release(record.worker, record.charged, use);
  this->pool.Allocate(record.worker, aCharged, use);
  team.charged += aCharged - record.charged;
  if (record.spec.workClass == WorkClass::Check) {
    team.chargedByChecks += aCharged - record.charged;
  }
  record.charged = aCharged;
}

void
CellState::ReleaseAllocation(TaskIndex aTask)
{
  TaskRecord& record = this->tasks[aTask];
  assert(record.worker != kNoIndex);
  auto& workerTasks = this->pool[record.worker].tasks;
  workerTasks[record.indexOnWorker] = workerTasks.back();
  this->tasks[workerTasks.back()].indexOnWorker = record.indexOnWorker;
  workerTasks.pop_back();
  this->pool.Release(record.worker, record.charged, RoomUseOf(record.spec));
  TeamUsage& team = this->shares[record.team];
  team.runningRequests -= record.spec.request;
  team.charged -= record.charged;
  if (record.spec.workClass == WorkClass::Check) {
    team.chargedByChecks -= record.charged;
    --this->runningChecks;
  }
  team.running[record.indexInTeam] = team.running.back();
  this->tasks[team.running.back()].indexInTeam = record.indexInTeam;
  team.running.pop_back();
  if (record.spreadDomain != kNoIndex) {
    this->spreadTracker.Remove(record, record.spreadDomain);
    record.spreadDomain = kNoIndex;
  }
  record.worker = kNoIndex;
  record.charged = record.spec.request;
  record.phase = TaskPhase::Assembling;
  --this->runningCount;
}

void
CellState::RemoveTask(TaskIndex aTask)
{
  const GangIndex gang = this->tasks[aTask].gang;
  if (gang != kNoIndex) {
    GangRecord& record = this->gangs[gang];
    std::erase(record.members, aTask);
    record.size -= record.hasStarted ? 1 : 0;
    if (record.members.empty()) {
      this->gangs.Erase(gang);
    } else {
      this->EnqueueIfComplete(record);
    }
  }
  this->tasks.Erase(aTask);
}

void
CellState::RequestPreemption(TaskIndex aTask, PreemptReason aReason)
{
  TaskRecord& record = this->tasks[aTask];
  assert(record.phase == TaskPhase::Running);
  record.phase = TaskPhase::Preempting;
  record.preemptionCount += aReason == PreemptReason::IncompleteGang ? 0 : 1;
  this->pendingPreemptions.push_back(
    { .task = record.spec.id, .worker = this->pool[record.worker].info.id, .reason = aReason });
}

void
CellState::RejectQueued(TaskIndex aTask, const Verdict& aVerdict, TimePoint aNow)
{
  const GangIndex gang = this->tasks[aTask].gang;
  this->DequeueTask(aTask, DequeueReason::Removed, aNow);
  this->EmitRejection(aTask, aVerdict);
  this->RejectIncompleteGang(gang, aVerdict);
}

void
CellState::CancelQueued(TaskIndex aTask)
{
  const GangIndex gang = this->tasks[aTask].gang;
  this->DequeueTask(aTask, DequeueReason::Removed, {});
  this->RemoveTask(aTask);
  this->RejectIncompleteGang(
    gang, NotRun(ErrorCode::Cancelled, "Another task of the same job was cancelled."));
}

TeamIndex
CellState::EnsureTeam(const TeamId& aTeam)
{
  const TeamIndex team = this->teams.Intern(aTeam);
  this->shares.Ensure(team);
  this->teamQueues.Ensure(team);
  return team;
}

std::vector<TaskIndex>
CellState::MembersOf(TaskIndex aTask) const
{
  const GangIndex gang = this->tasks[aTask].gang;
  return gang == kNoIndex ? std::vector{ aTask } : this->gangs[gang].members;
}

Resources
CellState::SizeForPlacement(TaskIndex aTask) const
{
  const TaskRecord& record = this->tasks[aTask];
  const Resources size = this->estimator.EstimateUsage(record);
  if (size == record.spec.request || this->pool.CountFittingWhenEmpty(size, 1) > 0) {
    return size;
  }
  // An estimate from other tasks must not make this task impossible to place.
  return ElementwiseMax(record.spec.request, record.peakUsage);
}

RoomUse
CellState::RoomUseOf(const TaskSpec& aTask)
{
  return aTask.workClass == WorkClass::Check ? RoomUse::Check : RoomUse::Other;
}

const ClassPolicy&
CellState::PolicyOf(WorkClass aClass) const
{
  static constexpr std::array<ClassPolicy PlacementPolicy::*, kWorkClassCount> kPolicies = {
    &PlacementPolicy::check,
    &PlacementPolicy::batch,
    &PlacementPolicy::allAtOnce,
    &PlacementPolicy::service,
  };
  return this->policy.*kPolicies.at(static_cast<std::size_t>(aClass));
}

DomainIndex
CellState::SpreadDomainOf(const TaskRecord& aRecord, WorkerIndex aWorker) const
{
  switch (this->PolicyOf(aRecord.spec.workClass).spread) {
    case SpreadDomain::Rack:
      return this->pool[aWorker].rack;
    case SpreadDomain::Worker:
      return aWorker;
    case SpreadDomain::None:
      break;
  }
  return kNoIndex;
}

bool
CellState::IsWaiting(const TaskRecord& aRecord)
{
  return aRecord.worker == kNoIndex;
}

void
CellState::ReleaseReservations(TaskIndex aTask, DequeueReason aReason)
{
  if (aReason == DequeueReason::Removed) {
    this->urgentReservations.Release(this->pool, aTask);
  }
  const TaskIndex reservationHolder = this->reservation.Holder();
  if (reservationHolder == kNoIndex) {
    return;
  }
  const GangIndex gang = this->tasks[aTask].gang;
  if (reservationHolder == aTask ||
      (gang != kNoIndex && this->tasks[reservationHolder].gang == gang)) {
    this->reservation.Release(this->pool);
  }
}

void
CellState::EnqueueGangMember(TaskIndex aTask)
{
  GangRecord& gang = this->gangs[this->tasks[aTask].gang];
  this->PreemptRunningMembers(gang);
  this->EnqueueIfComplete(gang);
}

void
CellState::EnqueueIfComplete(GangRecord& aGang)
{
  const auto isWaiting = [this](TaskIndex aMember) { return IsWaiting(this->tasks[aMember]); };
  if (aGang.isQueued || aGang.members.size() < aGang.size ||
      !std::ranges::all_of(aGang.members, isWaiting)) {
    return;
  }
  for (const TaskIndex member : aGang.members) {
    this->tasks[member].phase = TaskPhase::Queued;
  }
  aGang.isQueued = true;
  const TaskIndex first = aGang.members.front();
  this->teamQueues.Insert(first, this->tasks[first]);
}

void
CellState::PreemptRunningMembers(const GangRecord& aGang)
{
  for (const TaskIndex member : aGang.members) {
    const TaskRecord& record = this->tasks[member];
    if (record.phase == TaskPhase::Running && record.spec.idempotence == Idempotence::Idempotent) {
      this->RequestPreemption(member, PreemptReason::IncompleteGang);
    }
  }
}

void
CellState::DequeueGang(TaskIndex aTask)
{
  GangRecord& gang = this->gangs[this->tasks[aTask].gang];
  if (!gang.isQueued) {
    return;
  }
  gang.isQueued = false;
  const TaskIndex first = gang.members.front();
  this->teamQueues.Erase(first, this->tasks[first], this->tasks);
  for (const TaskIndex member : gang.members) {
    this->tasks[member].phase = TaskPhase::Assembling;
  }
}

void
CellState::EmitRejection(TaskIndex aTask, Verdict aVerdict)
{
  const TaskRecord& record = this->tasks[aTask];
  if (record.mayHaveRun) {
    aVerdict.run = RunState::MayHaveRun;
  }
  this->pendingRejections.emplace_back(
    RejectTask{ .task = record.spec.id, .verdict = std::move(aVerdict) });
  this->RemoveTask(aTask);
}

void
CellState::RejectIncompleteGang(GangIndex aGang, const Verdict& aVerdict)
{
  if (aGang == kNoIndex) {
    return;
  }
  const std::vector<TaskIndex> members = this->gangs[aGang].members;
  for (const TaskIndex member : members) {
    if (IsWaiting(this->tasks[member])) {
      this->DequeueTask(member, DequeueReason::Removed, {});
      this->EmitRejection(member, aVerdict);
    }
  }
}

}
