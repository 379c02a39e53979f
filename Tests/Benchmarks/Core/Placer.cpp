#include "Placer.h"

#include <cassert>
#include <limits>

namespace zinc {

CorePlacer::CorePlacer(const Document& aDocument, std::uint64_t aSeed)
{
  auto created =
    Scheduler::Create({ .seed = aSeed, .maxQueuedTotal = std::numeric_limits<std::size_t>::max() });
  this->scheduler = std::move(ValueOf(created));
  this->scheduler->ApplyDocument(aDocument);
  for (const Team& team : aDocument.teams) {
    this->scheduler->SetAllowance(team.id, team.limit);
  }
}

void
CorePlacer::AddWorker(const WorkerInfo& aWorker)
{
  this->scheduler->UpsertWorker(aWorker);
}

void
CorePlacer::Enqueue(const TaskSpec& aTask, TimePoint aNow)
{
  [[maybe_unused]] const auto result = this->scheduler->Enqueue(aTask, aNow);
  assert(!IsError(result));
}

void
CorePlacer::ReportEnd(const TaskId& aTask, TaskOutcome aOutcome, TimePoint aNow)
{
  this->scheduler->ReportEnd(aTask, aOutcome, aNow);
}

void
CorePlacer::ReportUsage(const TaskId& aTask, const Resources& aUsage, TimePoint aNow)
{
  this->scheduler->ReportUsage(aTask, aUsage, aNow);
}

std::vector<Decision>
CorePlacer::Decide(TimePoint aNow)
{
  return this->scheduler->Decide(aNow);
}

QueuePlacer::QueuePlacer(PlacementStrategy aStrategy, std::uint64_t aSeed)
  : strategy(aStrategy)
  , strategies(aSeed)
{
}

void
QueuePlacer::AddWorker(const WorkerInfo& aWorker)
{
  this->pool.Upsert(aWorker);
}

void
QueuePlacer::Enqueue(const TaskSpec& aTask, TimePoint)
{
  this->queue.push_back(aTask);
}

void
QueuePlacer::ReportEnd(const TaskId& aTask, TaskOutcome, TimePoint)
{
  const auto found = this->running.find(aTask);
  this->pool.Release(found->second.worker, found->second.request, RoomUse::Other);
  this->running.erase(found);
}

std::vector<Decision>
QueuePlacer::Decide(TimePoint)
{
  std::vector<Decision> decisions;
  while (!this->queue.empty() && this->PlaceFirst(this->queue.front().gangSize, decisions)) {
  }
  return decisions;
}

bool
QueuePlacer::PlaceFirst(std::size_t aCount, std::vector<Decision>& aDecisions)
{
  std::vector<Placed> placed;
  for (std::size_t index = 0; index < aCount; ++index) {
    const Resources& request = this->queue[index].request;
    const WorkerIndex worker =
      this->strategies.Choose(this->pool,
                              { .request = request,
                                .kind = RoomKind::Bulk,
                                .strategy = this->strategy,
                                .candidates = this->pool.PresentWorkers() });
    if (worker == kNoIndex) {
      break;
    }
    this->pool.Allocate(worker, request, RoomUse::Other);
    placed.push_back({ .worker = worker, .request = request });
  }
  if (placed.size() < aCount) {
    for (const Placed& task : placed) {
      this->pool.Release(task.worker, task.request, RoomUse::Other);
    }
    return false;
  }
  for (const Placed& task : placed) {
    this->running[this->queue.front().id] = task;
    aDecisions.emplace_back(StartTask{ .task = std::move(this->queue.front()),
                                       .worker = this->pool[task.worker].info.id });
    this->queue.pop_front();
  }
  return true;
}

}
