#include <LibCell/WorkerTable.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// Projection for the order of @ref WorkerTable::All.
const WorkerId&
IdOf(const Worker* aWorker)
{
  return aWorker->entry.id;
}

}

Worker&
WorkerTable::Add(const WorkerEntry& aEntry)
{
  auto worker = std::make_unique<Worker>();
  worker->entry = aEntry;
  worker->number = static_cast<WorkerNumber>(this->byNumber.size());
  auto* added = worker.get();
  this->byNumber.push_back(added);
  this->sorted.insert(std::ranges::lower_bound(this->sorted, aEntry.id, {}, &IdOf), added);
  this->byId.emplace(aEntry.id, std::move(worker));
  return *added;
}

void
WorkerTable::Remove(const WorkerId& aId)
{
  const auto found = this->byId.find(aId);
  if (found == this->byId.end()) {
    return;
  }
  this->byNumber[found->second->number] = nullptr;
  std::erase(this->sorted, found->second.get());
  this->byId.erase(found);
}

Worker*
WorkerTable::Find(const WorkerId& aId) const
{
  const auto found = this->byId.find(aId);
  return found == this->byId.end() ? nullptr : found->second.get();
}

Worker*
WorkerTable::FindByNumber(WorkerNumber aNumber) const
{
  return aNumber < this->byNumber.size() ? this->byNumber[aNumber] : nullptr;
}

std::unordered_set<JobId>
WorkerTable::FindJobsWithRuns() const
{
  std::unordered_set<JobId> jobs;
  for (const auto* worker : this->sorted) {
    for (const auto& allocation : worker->allocations) {
      jobs.insert(allocation.task.job);
    }
  }
  return jobs;
}

}
