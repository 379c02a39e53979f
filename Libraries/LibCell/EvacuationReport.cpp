#include <LibCell/EvacuationReport.h>

#include <algorithm>

namespace zinc::cell {

namespace {

/// The workers of a zone and the tasks that run there.
struct ZoneLoad
{
  std::size_t workers = 0;
  std::size_t running = 0;
};

ZoneLoad
LoadOf(const ZoneId& aZone, std::span<Worker* const> aWorkers)
{
  ZoneLoad load;
  for (const auto* worker : aWorkers) {
    if (worker->entry.zone == aZone) {
      ++load.workers;
      load.running += worker->allocations.size();
    }
  }
  return load;
}

}

EvacuationReport::~EvacuationReport()
{
  for (const auto& [zone, since] : this->reported) {
    this->GaugeOf(zone).Set(0.0);
  }
}

void
EvacuationReport::LogChanges(const EvacuatedZones& aZones,
                             std::span<Worker* const> aWorkers,
                             TimePoint aNow)
{
  const auto logChange =
    [&](LogLevel aLevel, std::string_view aEvent, const ZoneId& aZone, TimePoint aSince) {
      const auto load = LoadOf(aZone, aWorkers);
      this->log.Log(aLevel,
                    aEvent,
                    { { "zone", aZone.value },
                      { "age_ms", (aNow - aSince).count() },
                      { "workers", load.workers },
                      { "running", load.running } });
    };
  for (const auto& [zone, since] : this->reported) {
    if (!aZones.IsEvacuated(zone)) {
      logChange(LogLevel::Info, "zone_returned", zone, since);
      this->GaugeOf(zone).Set(0.0);
    }
  }
  for (const auto& [zone, since] : aZones.Requests()) {
    if (!this->reported.contains(zone)) {
      const bool isKnown = LoadOf(zone, aWorkers).workers > 0;
      logChange(
        LogLevel::Warning, isKnown ? "zone_evacuated" : "evacuation_of_unknown_zone", zone, since);
    }
  }
  this->reported = aZones.Requests();
  this->UpdateGauges(aWorkers);
}

void
EvacuationReport::UpdateGauges(std::span<Worker* const> aWorkers)
{
  for (const auto& [zone, since] : this->reported) {
    this->GaugeOf(zone).Set(static_cast<double>(LoadOf(zone, aWorkers).running));
  }
}

Gauge&
EvacuationReport::GaugeOf(const ZoneId& aZone)
{
  return this->metrics.FindGauge(
    { .name = "zinc_cell_evacuated_zone_tasks", .help = "Tasks that run in an evacuated zone." },
    { { "zone", aZone.value } });
}

}
