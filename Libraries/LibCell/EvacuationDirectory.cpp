#include <LibCell/EvacuationDirectory.h>

namespace zinc::cell {

namespace {

/// Malformed keys that are remembered as logged; bounds the memory that foreign rows take.
constexpr std::size_t kMaxMalformedKeys = 64;

}

EvacuationDirectory::EvacuationDirectory(Decoder aDecode,
                                         EvacuatedZonesOptions aOptions,
                                         const Logger& aLog)
  : decode(std::move(aDecode))
  , log(aLog)
  , zones(aOptions)
{
}

bool
EvacuationDirectory::Apply(const TableUpdate& aUpdate, TimePoint aNow)
{
  std::set<ZoneId> evacuated;
  if (!aUpdate.isSnapshot) {
    for (const auto& [zone, since] : this->zones.Requests()) {
      evacuated.insert(zone);
    }
  }
  for (const auto& row : aUpdate.rows) {
    const auto zone = this->ReadZone(row.key);
    if (zone && row.isDeleted) {
      evacuated.erase(*zone);
    } else if (zone) {
      evacuated.insert(*zone);
    }
  }
  const auto changes = this->zones.Update(evacuated, aNow);
  for (const auto& change : changes) {
    this->log.Log(LogLevel::Info,
                  change.isEvacuated ? "evacuation_requested" : "evacuation_withdrawn",
                  { { "zone", change.zone.value },
                    { "age_ms", change.age.count() },
                    { "by_full_read", aUpdate.isSnapshot } });
  }
  return !changes.empty();
}

std::optional<ZoneId>
EvacuationDirectory::ReadZone(const RowKey& aKey)
{
  if (!aKey.partition.empty()) {
    return {};
  }
  auto zone = this->decode(aKey.key);
  if (!IsError(zone)) {
    return std::move(ValueOf(zone));
  }
  const bool isNew =
    this->malformedKeys.size() < kMaxMalformedKeys && this->malformedKeys.insert(aKey.key).second;
  if (isNew) {
    this->log.Log(LogLevel::Warning,
                  "evacuation_unreadable",
                  { { "key", aKey.key }, { "reason", ErrorOf(zone).message } });
  }
  return {};
}

}
