#include <LibPlacement/OverusePolicy.h>

#include <algorithm>

namespace zinc {

namespace {

/// @return the dominant share of the usage beyond the request.
double
ExcessShare(const TaskRecord& aRecord, const Resources& aCapacity)
{
  return DominantShare(aRecord.charged - aRecord.spec.request, aCapacity);
}

}

void
OverusePolicy::RelieveWorker(WorkerIndex aWorker)
{
  const WorkerRecord& worker = this->state.pool[aWorker];
  if (worker.used.FitsIn(worker.info.capacity)) {
    return;
  }
  TaskIndex candidate = kNoIndex;
  double maxExcess = 0;
  for (const TaskIndex task : worker.tasks) {
    const TaskRecord& record = this->state.tasks[task];
    if (record.phase == TaskPhase::Preempting) {
      return;
    }
    const double excess = ExcessShare(record, worker.info.capacity);
    if (this->CanPreempt(record) && excess > maxExcess) {
      candidate = task;
      maxExcess = excess;
    }
  }
  if (candidate != kNoIndex) {
    this->state.RequestPreemption(candidate, PreemptReason::ExceededRequest);
  }
}

bool
OverusePolicy::CanPreempt(const TaskRecord& aRecord) const
{
  return aRecord.spec.idempotence == Idempotence::Idempotent && aRecord.gang == kNoIndex &&
         !aRecord.isCancelled && aRecord.preemptionCount < this->state.policy.maxPreemptions;
}

}
