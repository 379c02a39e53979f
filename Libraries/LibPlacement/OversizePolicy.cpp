#include <LibPlacement/OversizePolicy.h>

#include <algorithm>

namespace zinc {

namespace {

double
Excess(const TaskRecord& aRecord, const Resources& aCapacity)
{
  return DominantShare(aRecord.charged - aRecord.spec.request, aCapacity);
}

}

void
OversizePolicy::RelieveWorker(WorkerIndex aWorker)
{
  const WorkerRecord& worker = this->state.pool[aWorker];
  if (worker.used.FitsIn(worker.info.capacity)) {
    return;
  }
  TaskIndex furthest = kNoIndex;
  double furthestExcess = 0;
  for (const TaskIndex task : worker.tasks) {
    const TaskRecord& record = this->state.tasks[task];
    if (record.phase == TaskPhase::Preempting) {
      return;
    }
    const double excess = Excess(record, worker.info.capacity);
    if (this->CanPreempt(record) && excess > furthestExcess) {
      furthest = task;
      furthestExcess = excess;
    }
  }
  if (furthest != kNoIndex) {
    this->state.RequestPreemption(furthest, PreemptReason::ExceededRequest);
  }
}

bool
OversizePolicy::CanPreempt(const TaskRecord& aRecord) const
{
  return aRecord.spec.idempotence == Idempotence::Idempotent && aRecord.gang == kNoIndex &&
         !aRecord.isCancelled && aRecord.preemptionCount < this->state.policy.maxPreemptions;
}

}
