#include <LibCell/StepAdvice.h>

#include <algorithm>

namespace zinc::cell {

void
StepAdvice::AddTicket(CachedTicket aTicket)
{
  const auto position =
    std::ranges::lower_bound(this->tickets, aTicket.worker, {}, &CachedTicket::worker);
  if (position != this->tickets.end() && position->worker == aTicket.worker) {
    *position = std::move(aTicket);
    return;
  }
  this->tickets.insert(position, std::move(aTicket));
}

void
StepAdvice::RemoveTicket(WorkerNumber aWorker)
{
  std::erase_if(this->tickets,
                [aWorker](const CachedTicket& aTicket) { return aTicket.worker == aWorker; });
}

const CachedTicket*
StepAdvice::FindTicket(WorkerNumber aWorker) const
{
  const auto position = std::ranges::lower_bound(this->tickets, aWorker, {}, &CachedTicket::worker);
  return position != this->tickets.end() && position->worker == aWorker ? &*position : nullptr;
}

CachedTicket*
StepAdvice::FindTicket(WorkerNumber aWorker)
{
  const auto position = std::ranges::lower_bound(this->tickets, aWorker, {}, &CachedTicket::worker);
  return position != this->tickets.end() && position->worker == aWorker ? &*position : nullptr;
}

void
StepAdvice::MarkRequested(WorkerNumber aWorker)
{
  if (aWorker >= this->isRequested.size()) {
    this->isRequested.resize(aWorker + 1);
  }
  this->requestedCount += this->isRequested[aWorker] ? 0 : 1;
  this->isRequested[aWorker] = true;
}

void
StepAdvice::ForgetRequest(WorkerNumber aWorker)
{
  if (this->WasRequested(aWorker) && this->FindTicket(aWorker) == nullptr) {
    this->isRequested[aWorker] = false;
    --this->requestedCount;
  }
}

}
