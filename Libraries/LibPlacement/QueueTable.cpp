#include <LibPlacement/QueueTable.h>

namespace zinc {

void
QueueTable::SetDeclaredQueues(const std::vector<Queue>& aQueues)
{
  for (QueueRecord& record : this->records) {
    record.isDeclared = false;
  }
  for (const Queue& queue : aQueues) {
    QueueRecord& record = this->records[this->Ensure(queue.id)];
    record.config = queue;
    record.isDeclared = true;
  }
}

QueueIndex
QueueTable::Ensure(const QueueId& aId)
{
  const QueueIndex index = this->indices.Intern(aId);
  if (index == this->records.size()) {
    this->records.emplace_back();
  }
  return index;
}

void
QueueTable::OnTaskQueued(QueueIndex aQueue, TeamIndex aTeam, TimePoint aNow)
{
  QueueRecord& queue = this->records[aQueue];
  DrainMeter& teamMeter = queue.drainMetersByTeam[aTeam];
  queue.waitingTeamCount += teamMeter.WaitingCount() == 0 ? 1 : 0;
  queue.drainMeter.OnEnqueue(aNow);
  teamMeter.OnEnqueue(aNow);
}

void
QueueTable::OnTaskDequeued(QueueIndex aQueue,
                           TeamIndex aTeam,
                           DequeueReason aReason,
                           TimePoint aNow)
{
  QueueRecord& queue = this->records[aQueue];
  DrainMeter& teamMeter = queue.drainMetersByTeam[aTeam];
  if (aReason == DequeueReason::Started) {
    queue.drainMeter.OnStart(aNow);
    teamMeter.OnStart(aNow);
  } else {
    queue.drainMeter.OnRemove();
    teamMeter.OnRemove();
  }
  queue.waitingTeamCount -= teamMeter.WaitingCount() == 0 ? 1 : 0;
}

QueueIndex
QueueTable::FindDeclared(const QueueId& aId) const
{
  const QueueIndex index = this->indices.Find(aId);
  return index != kNoIndex && this->records[index].isDeclared ? index : kNoIndex;
}

}
