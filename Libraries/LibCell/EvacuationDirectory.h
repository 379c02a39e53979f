#pragma once

/// @file
/// The evacuated zones as read from the operators' table of the store.

#include <LibCell/EvacuatedZones.h>
#include <LibCell/TableWatcher.h>
#include <LibLog/Logger.h>
#include <functional>
#include <set>
#include <string>

namespace zinc::cell {

/// Keeps the evacuated zones up to date from the updates of a @ref TableWatcher. Every instance has
/// one, so that it knows the zones when it becomes leader.
class EvacuationDirectory
{
public:
  /// Decodes a key of the table.
  /// @return the evacuated zone, nothing for a row about something else, or an error for a
  /// malformed key
  using Decoder = std::function<Result<std::optional<ZoneId>>(std::string_view)>;

  EvacuationDirectory(Decoder aDecode, EvacuatedZonesOptions aOptions, const Logger& aLog);

  /// Applies changes or a snapshot. A row that a snapshot lacks was removed.
  /// @return true if the evacuated zones have changed
  bool Apply(const TableUpdate& aUpdate, TimePoint aNow);
  [[nodiscard]] const EvacuatedZones& Zones() const { return this->zones; }

private:
  /// @return the zone of an evacuation row
  [[nodiscard]] std::optional<ZoneId> ReadZone(const RowKey& aKey);

  Decoder decode;
  const Logger& log;
  EvacuatedZones zones;
  /// Malformed keys that were logged.
  std::set<std::string> malformedKeys;
};

}
