#include <LibPlacement/PlacementPass.h>

#include <LibPlacement/ReservationPlanner.h>
#include <LibPlacement/ResourceMath.h>
#include <algorithm>
#include <functional>

namespace zinc {

namespace {

/// Minimum interval between attempts to place a gang that has no reservation.
constexpr Milliseconds kGangRetryInterval{ 20 };
/// The maximum gained room is recomputed after a start if at most this many workers gained room.
constexpr std::size_t kMaxWorkersToRescan = 32;

}

PlacementPass::PlacementPass(CellState& aState, TimePoint aNow, std::uint64_t aPassNumber)
  : state(aState)
  , now(aNow)
  , passNumber(aPassNumber)
{
}

std::vector<Decision>
PlacementPass::Run()
{
  this->RunTier(Tier::Urgent, TeamFilter::All);
  const bool isBulkQueued = !this->state.teamQueues.TeamsWithTasks(Tier::Bulk).empty();
  const bool includedAllTeams =
    this->RunTier(Tier::Check, isBulkQueued ? TeamFilter::WithinCheckShare : TeamFilter::All);
  this->RunTier(Tier::Bulk, TeamFilter::All);
  if (!includedAllTeams) {
    this->RunTier(Tier::Check, TeamFilter::All);
  }
  if (!this->HasReachedStartLimit()) {
    this->state.pool.ClearGainedRoom();
  }
  return std::move(this->starts);
}

bool
PlacementPass::RunTier(Tier aTier, TeamFilter aFilter)
{
  using Entry = std::pair<double, TeamIndex>;
  const auto& teams = this->state.teamQueues.TeamsWithTasks(aTier);
  if (teams.empty()) {
    return true;
  }
  this->RefreshMaxGainedRoom(aTier);
  const double activeWeights =
    aFilter == TeamFilter::WithinCheckShare ? this->state.shares.SumActiveWeights() : 0;
  std::vector<Entry> heap;
  for (const TeamIndex team : teams) {
    heap.emplace_back(this->TeamOrderKey(aTier, team), team);
  }
  std::ranges::make_heap(heap, std::greater<>{});
  bool includedAllTeams = true;
  while (!heap.empty() && !this->HasReachedStartLimit()) {
    std::ranges::pop_heap(heap, std::greater<>{});
    const TeamIndex team = heap.back().second;
    heap.pop_back();
    if (aFilter == TeamFilter::WithinCheckShare && !this->IsWithinCheckShare(team, activeWeights)) {
      includedAllTeams = false;
      continue;
    }
    if (this->TryStartFromTeam(aTier, team)) {
      heap.emplace_back(this->TeamOrderKey(aTier, team), team);
      std::ranges::push_heap(heap, std::greater<>{});
    }
  }
  return includedAllTeams;
}

bool
PlacementPass::TryStartFromTeam(Tier aTier, TeamIndex aTeam)
{
  TeamTierQueue& queue = this->state.teamQueues.QueueFor(aTier, aTeam);
  const auto fitsGainedRoom = [this, &queue] {
    return queue.MinRequest().FitsIn(this->maxGainedRoom);
  };
  if (!queue.HasUnblockedBuckets() && !fitsGainedRoom()) {
    return false;
  }
  for (const auto& key : queue.BucketOrder()) {
    TaskBucket& bucket = queue.Bucket(key.bucket);
    if (bucket.lastFailedPass == this->passNumber) {
      continue;
    }
    if (this->TryStartFromBucket(aTier, queue, key.bucket) == AttemptResult::Started) {
      return true;
    }
    bucket.lastFailedPass = this->passNumber;
  }
  queue.RecomputeMinRequest();
  return false;
}

void
PlacementPass::RefreshMaxGainedRoom(Tier aTier)
{
  const WorkerPool& pool = this->state.pool;
  const auto rooms = pool.Rooms(aTier == Tier::Bulk ? RoomKind::Backfill : RoomKind::Check);
  const auto urgentRooms = pool.Rooms(RoomKind::Urgent);
  this->maxGainedRoom = { .milliCores = -1, .memoryMiB = -1, .accelerators = -1, .slots = -1 };
  for (const WorkerIndex worker : pool.WorkersWithGainedRoom()) {
    this->maxGainedRoom = ElementwiseMax(this->maxGainedRoom, rooms[worker]);
    if (aTier == Tier::Urgent) {
      this->maxGainedRoom = ElementwiseMax(this->maxGainedRoom, urgentRooms[worker]);
    }
  }
}

PlacementPass::AttemptResult
PlacementPass::TryStartFromBucket(Tier aTier, TeamTierQueue& aQueue, std::uint32_t aBucket)
{
  const WorkerPool& pool = this->state.pool;
  TaskBucket& bucket = aQueue.Bucket(aBucket);
  if (bucket.isBlocked && !bucket.request.FitsIn(this->maxGainedRoom)) {
    return AttemptResult::NoRoom;
  }
  const TaskIndex task = bucket.tasks.begin()->second;
  const bool isGang = this->state.tasks[task].gang != kNoIndex;
  const auto candidates = bucket.isBlocked ? pool.WorkersWithGainedRoom() : pool.PresentWorkers();
  const AttemptResult result =
    isGang ? this->TryStartGang(aTier, bucket, task) : this->TryStartTask(aTier, task, candidates);
  if (result == AttemptResult::Started) {
    if (pool.WorkersWithGainedRoom().size() <= kMaxWorkersToRescan) {
      this->RefreshMaxGainedRoom(aTier);
    }
    return result;
  }
  // A task that is limited by its allowance did not fail for lack of room: the next attempt has to
  // consider every worker.
  aQueue.SetBlocked(aBucket, result == AttemptResult::NoRoom && !isGang);
  if (result == AttemptResult::NoRoom) {
    ReservationPlanner(this->state, this->now).ReserveIfEligible(task);
  } else if (this->state.reservation.Holder() == task) {
    this->state.reservation.Release(this->state.pool);
  }
  return result;
}

PlacementPass::AttemptResult
PlacementPass::TryStartTask(Tier aTier, TaskIndex aTask, std::span<const WorkerIndex> aCandidates)
{
  TaskRecord& record = this->state.tasks[aTask];
  if (!this->state.shares.FitsAllowance(record.team, record.spec.request)) {
    return AttemptResult::OverAllowance;
  }
  record.charged = this->state.SizeForPlacement(aTask);
  const RoomKind roomKind = this->RoomKindOf(aTier, aTask);
  WorkerIndex worker = this->ChooseWorker(record, roomKind, aCandidates);
  if (worker == kNoIndex && roomKind == RoomKind::Bulk) {
    worker = this->ChooseBackfillWorker(record, aCandidates);
  }
  if (worker == kNoIndex) {
    return AttemptResult::NoRoom;
  }
  this->state.DequeueTask(aTask, DequeueReason::Started, this->now);
  this->Start(aTask, worker);
  return AttemptResult::Started;
}

PlacementPass::AttemptResult
PlacementPass::TryStartGang(Tier aTier, TaskBucket& aBucket, TaskIndex aFirst)
{
  const bool hasReservation = this->state.reservation.Holder() == aFirst;
  if (!hasReservation && this->now < aBucket.retryAt) {
    return AttemptResult::NoRoom;
  }
  aBucket.retryAt = this->now + kGangRetryInterval;
  const std::vector<TaskIndex> members = this->state.MembersOf(aFirst);
  Resources request;
  for (const TaskIndex member : members) {
    request += this->state.tasks[member].spec.request;
  }
  if (!this->state.shares.FitsAllowance(this->state.tasks[aFirst].team, request)) {
    return AttemptResult::OverAllowance;
  }
  const std::vector<WorkerIndex> workers = this->ChooseGangWorkers(aTier, members);
  if (workers.size() < members.size()) {
    return AttemptResult::NoRoom;
  }
  for (const TaskIndex member : members) {
    this->state.DequeueTask(member, DequeueReason::Started, this->now);
  }
  for (std::size_t index = 0; index < members.size(); ++index) {
    this->Start(members[index], workers[index]);
  }
  return AttemptResult::Started;
}

std::vector<WorkerIndex>
PlacementPass::ChooseGangWorkers(Tier aTier, std::span<const TaskIndex> aMembers)
{
  WorkerPool& pool = this->state.pool;
  const RoomKind roomKind = this->RoomKindOf(aTier, aMembers.front());
  Resources minRequest = this->state.SizeForPlacement(aMembers.front());
  for (const TaskIndex member : aMembers) {
    TaskRecord& record = this->state.tasks[member];
    record.charged = this->state.SizeForPlacement(member);
    minRequest = ElementwiseMin(minRequest, record.charged);
  }
  if (pool.CountFittingNow(minRequest, roomKind, aMembers.size()) < aMembers.size()) {
    return {};
  }
  std::vector<WorkerIndex> workers;
  for (const TaskIndex member : aMembers) {
    const TaskRecord& record = this->state.tasks[member];
    const WorkerIndex worker = this->ChooseWorker(record, roomKind, pool.PresentWorkers());
    if (worker == kNoIndex) {
      break;
    }
    pool.AllocateTentatively(worker, record.charged);
    workers.push_back(worker);
  }
  for (std::size_t index = 0; index < workers.size(); ++index) {
    pool.ReleaseTentative(workers[index], this->state.tasks[aMembers[index]].charged);
  }
  return workers;
}

WorkerIndex
PlacementPass::ChooseWorker(const TaskRecord& aRecord,
                            RoomKind aRoomKind,
                            std::span<const WorkerIndex> aCandidates)
{
  const ClassPolicy& policy = this->state.PolicyOf(aRecord.spec.workClass);
  std::vector<std::uint32_t> domainPenalties;
  if (policy.spread != SpreadDomain::None) {
    domainPenalties = this->state.spreadTracker.ComputePenalties(aRecord);
  }
  PlacementQuery query{ .request = aRecord.charged,
                        .kind = aRoomKind,
                        .strategy = policy.strategy,
                        .candidates = aCandidates,
                        .domainPenalties = domainPenalties,
                        .spread = policy.spread };
  const WorkerIndex chosen = this->state.strategies.Choose(this->state.pool, query);
  if (chosen == kNoIndex || !this->state.pool[chosen].isOnProbation ||
      aRecord.spec.idempotence == Idempotence::Idempotent) {
    return chosen;
  }
  std::vector<WorkerIndex> notOnProbation;
  std::ranges::copy_if(
    aCandidates, std::back_inserter(notOnProbation), [this](WorkerIndex aWorker) {
      return !this->state.pool[aWorker].isOnProbation;
    });
  query.candidates = notOnProbation;
  return this->state.strategies.Choose(this->state.pool, query);
}

WorkerIndex
PlacementPass::ChooseBackfillWorker(const TaskRecord& aRecord,
                                    std::span<const WorkerIndex> aCandidates)
{
  GangReservation& reservation = this->state.reservation;
  if (!reservation.AllowsBackfill(this->state.estimator.EstimateRunTime(aRecord), this->now)) {
    return kNoIndex;
  }
  const WorkerIndex worker = this->ChooseWorker(aRecord, RoomKind::Backfill, aCandidates);
  if (worker != kNoIndex) {
    reservation.CountBackfill();
  }
  return worker;
}

void
PlacementPass::Start(TaskIndex aTask, WorkerIndex aWorker)
{
  this->state.Allocate(aTask, aWorker, this->now);
  TaskRecord& record = this->state.tasks[aTask];
  record.mayHaveRun = true;
  this->starts.emplace_back(
    StartTask{ .task = record.spec, .worker = this->state.pool[aWorker].info.id });
}

RoomKind
PlacementPass::RoomKindOf(Tier aTier, TaskIndex aTask) const
{
  if (aTier == Tier::Bulk && this->state.reservation.Holder() == aTask) {
    return RoomKind::Backfill;
  }
  if (aTier == Tier::Urgent && !this->state.urgentReservations.Contains(aTask)) {
    // Room that was freed for another urgent task is not available to a task without a reservation.
    const bool isCheck = this->state.tasks[aTask].spec.workClass == WorkClass::Check;
    return isCheck ? RoomKind::Check : RoomKind::Backfill;
  }
  static constexpr std::array<RoomKind, kTierCount> kRoomKinds = { RoomKind::Urgent,
                                                                   RoomKind::Check,
                                                                   RoomKind::Bulk };
  return kRoomKinds.at(static_cast<std::size_t>(aTier));
}

double
PlacementPass::TeamOrderKey(Tier aTier, TeamIndex aTeam) const
{
  return aTier == Tier::Check ? this->state.shares.WeightedCheckShare(aTeam)
                              : this->state.shares.WeightedShare(aTeam);
}

bool
PlacementPass::IsWithinCheckShare(TeamIndex aTeam, double aActiveWeights) const
{
  return this->state.shares.WeightedCheckShare(aTeam) * aActiveWeights <= 1.0;
}

bool
PlacementPass::HasReachedStartLimit() const
{
  return this->starts.size() >= this->state.options.maxStarts;
}

}
