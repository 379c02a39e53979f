#include <LibPlacement/PreemptionPlanner.h>

#include <algorithm>

namespace zinc {

namespace {

/// Urgent tasks for which one call of Run makes room.
constexpr std::size_t kMaxTasksPerRun = 32;
/// Running tasks examined per search for an eviction.
constexpr std::size_t kMaxExaminedTasks = 4096;
/// Preempting a service task costs as much as this many batch tasks of its size.
constexpr double kServiceCostFactor = 4;

}

void
PreemptionPlanner::Run()
{
  for (const TaskIndex task : this->FindOverdueTasks()) {
    this->state.urgentReservations.Release(this->state.pool, task);
    this->MakeRoomFor(task);
  }
}

std::vector<TaskIndex>
PreemptionPlanner::FindOverdueTasks() const
{
  std::vector<TaskIndex> overdue;
  for (const TeamIndex team : this->state.teamQueues.TeamsWithTasks(Tier::Urgent)) {
    TeamTierQueue& queue = this->state.teamQueues.QueueFor(Tier::Urgent, team);
    Resources requested;
    for (const auto& key : queue.BucketOrder()) {
      for (const auto& [sequence, first] : queue.Bucket(key.bucket).tasks) {
        if (this->now - this->state.tasks[first].enqueuedAt < this->state.policy.preemptAfter) {
          break;
        }
        for (const TaskIndex task : this->state.MembersOf(first)) {
          requested += this->state.tasks[task].spec.request;
          if (overdue.size() >= kMaxTasksPerRun ||
              !this->state.shares.FitsAllowance(team, requested)) {
            return overdue;
          }
          if (!this->state.urgentReservations.IsPending(task, this->now)) {
            overdue.push_back(task);
          }
        }
      }
    }
  }
  return overdue;
}

void
PreemptionPlanner::MakeRoomFor(TaskIndex aTask)
{
  const Resources request = this->state.SizeForPlacement(aTask);
  Eviction eviction = this->ChooseEviction(request, GangMembers::Excluded);
  if (eviction.worker == kNoIndex) {
    eviction = this->ChooseEviction(request, GangMembers::Included);
  }
  if (eviction.worker == kNoIndex) {
    return;
  }
  for (const TaskIndex task : eviction.tasks) {
    this->state.RequestPreemption(task, PreemptReason::UrgentWork);
  }
  this->state.urgentReservations.Add(this->state.pool, aTask, eviction.worker, request, this->now);
}

PreemptionPlanner::Eviction
PreemptionPlanner::ChooseEviction(const Resources& aRequest, GangMembers aGangMembers) const
{
  CandidatesByWorker candidates;
  std::size_t examined = 0;
  for (const TeamIndex team : this->SortTeamsByShare()) {
    for (const TaskIndex task : this->state.shares[team].running) {
      if (++examined > kMaxExaminedTasks) {
        break;
      }
      const TaskRecord& record = this->state.tasks[task];
      if (this->IsCandidate(record, aGangMembers)) {
        candidates[record.worker].push_back(task);
      }
    }
    Eviction eviction = this->FindCheapestEviction(aRequest, candidates);
    if (eviction.worker != kNoIndex) {
      return eviction;
    }
  }
  return {};
}

PreemptionPlanner::Eviction
PreemptionPlanner::FindCheapestEviction(const Resources& aRequest,
                                        CandidatesByWorker& aCandidates) const
{
  Eviction cheapest;
  for (auto& [worker, tasks] : aCandidates) {
    const WorkerRecord& record = this->state.pool[worker];
    if (record.isClosed || record.isOnProbation || record.mode == WorkerMode::Draining) {
      continue;
    }
    Eviction eviction = this->PlanEviction(worker, tasks, aRequest);
    if (eviction.worker == kNoIndex) {
      continue;
    }
    const bool isCheaper = cheapest.worker == kNoIndex || eviction.cost < cheapest.cost ||
                           (eviction.cost == cheapest.cost && worker < cheapest.worker);
    if (isCheaper) {
      cheapest = std::move(eviction);
    }
  }
  return cheapest;
}

PreemptionPlanner::Eviction
PreemptionPlanner::PlanEviction(WorkerIndex aWorker,
                                std::vector<TaskIndex>& aTasks,
                                const Resources& aRequest) const
{
  const WorkerRecord& worker = this->state.pool[aWorker];
  Resources room = this->state.pool.RoomIgnoringReservations(aWorker) - worker.reservedForUrgent;
  std::ranges::sort(aTasks, [this](TaskIndex aLeft, TaskIndex aRight) {
    const TaskRecord& left = this->state.tasks[aLeft];
    const TaskRecord& right = this->state.tasks[aRight];
    // The most recently started task loses the least progress.
    return std::pair(left.startedAt, left.sequence) > std::pair(right.startedAt, right.sequence);
  });
  Eviction eviction;
  for (const TaskIndex task : aTasks) {
    if (aRequest.FitsIn(room)) {
      break;
    }
    const TaskRecord& record = this->state.tasks[task];
    room += record.charged;
    eviction.cost += this->ComputeCost(record);
    eviction.tasks.push_back(task);
  }
  if (aRequest.FitsIn(room)) {
    eviction.worker = aWorker;
  }
  return eviction;
}

std::vector<TeamIndex>
PreemptionPlanner::SortTeamsByShare() const
{
  std::vector<std::pair<double, TeamIndex>> byShare;
  for (TeamIndex team = 0; team < this->state.shares.Size(); ++team) {
    if (!this->state.shares[team].running.empty()) {
      byShare.emplace_back(-this->state.shares.WeightedShare(team), team);
    }
  }
  std::ranges::sort(byShare);
  std::vector<TeamIndex> teams;
  for (const auto& [share, team] : byShare) {
    teams.push_back(team);
  }
  return teams;
}

bool
PreemptionPlanner::IsCandidate(const TaskRecord& aRecord, GangMembers aGangMembers) const
{
  if (aRecord.gang == kNoIndex) {
    return this->IsPreemptible(aRecord);
  }
  if (aGangMembers == GangMembers::Excluded) {
    return false;
  }
  return std::ranges::all_of(this->state.gangs[aRecord.gang].members, [this](TaskIndex aMember) {
    return this->IsPreemptible(this->state.tasks[aMember]);
  });
}

bool
PreemptionPlanner::IsPreemptible(const TaskRecord& aRecord) const
{
  return aRecord.phase == TaskPhase::Running && aRecord.startedAt < this->now &&
         !aRecord.isCancelled && aRecord.spec.urgency == Urgency::Normal &&
         aRecord.spec.idempotence == Idempotence::Idempotent &&
         aRecord.spec.workClass != WorkClass::Check &&
         aRecord.preemptionCount < this->state.policy.maxPreemptions;
}

double
PreemptionPlanner::ComputeCost(const TaskRecord& aRecord) const
{
  const double weight = aRecord.spec.workClass == WorkClass::Service ? kServiceCostFactor : 1;
  return weight * DominantShare(aRecord.charged, this->state.pool.TotalCapacity());
}

}
