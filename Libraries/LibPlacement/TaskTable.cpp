#include <LibPlacement/TaskTable.h>

#include <cassert>

namespace zinc {

std::uint64_t
MakeTeamQueueKey(const TaskRecord& aRecord)
{
  constexpr unsigned kTeamShift = 32;
  return (static_cast<std::uint64_t>(aRecord.team) << kTeamShift) | aRecord.queue;
}

TaskIndex
TaskTable::Insert(TaskRecord aRecord)
{
  assert(!this->indices.contains(aRecord.spec.id));
  TaskIndex index = static_cast<TaskIndex>(this->records.size());
  if (this->freeIndices.empty()) {
    this->records.emplace_back();
  } else {
    index = this->freeIndices.back();
    this->freeIndices.pop_back();
  }
  this->indices.emplace(aRecord.spec.id, index);
  this->records[index] = std::move(aRecord);
  return index;
}

void
TaskTable::Erase(TaskIndex aTask)
{
  this->indices.erase(this->records[aTask].spec.id);
  this->records[aTask] = {};
  this->freeIndices.push_back(aTask);
}

TaskIndex
TaskTable::Find(const TaskId& aId) const
{
  const auto found = this->indices.find(aId);
  return found == this->indices.end() ? kNoIndex : found->second;
}

}
