#include <LibCell/CellScheduler.h>

#include <algorithm>

namespace zinc::cell {

void
CellScheduler::SetEvacuatedZones(EvacuatedZones aZones)
{
  this->evacuatedZones = std::move(aZones);
  this->evacuationReport.LogChanges(
    *this->evacuatedZones, this->workers.All(), this->dependencies.clock.Now());
  const auto isEvacuated = [this](const Worker* aWorker) {
    return aWorker != nullptr && this->evacuatedZones->IsEvacuated(aWorker->entry.zone);
  };
  for (auto* worker : this->workers.All()) {
    if (isEvacuated(worker)) {
      worker->earmarkedInGangRound = 0;
    }
  }
  for (const auto& [id, job] : this->activeJobs) {
    for (auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        auto& run = occurrence.steps[step];
        const bool isReservedThere =
          run.reservation &&
          std::ranges::any_of(run.reservation->workers, [&](WorkerNumber aNumber) {
            return isEvacuated(this->workers.FindByNumber(aNumber));
          });
        if (isReservedThere) {
          this->ReleaseReservation(run, job->spec.steps[step], ReservationEnd::Evacuated);
        }
      }
    }
  }
  this->adviceDispatcher->CancelPending([&](const AdviceRequest& aRequest) {
    return std::ranges::any_of(aRequest.workers, [&](const WorkerId& aWorker) {
      return isEvacuated(this->workers.Find(aWorker));
    });
  });
  this->isPlacementDue = true;
  this->NotifyPlacementDue();
}

}
