#pragma once

/// @file
/// Identifiers of entry instances, which contain the name of their availability zone.

#include <LibBase/Identifier.h>
#include <cstdint>
#include <fmt/format.h>
#include <string_view>

namespace zinc {

/// @param aRandom a random number, so that a restarted process has a new identifier
/// @return "<zone>/<name>-<random>"
[[nodiscard]] inline EntryId
MakeEntryId(const ZoneId& aZone, std::string_view aName, std::uint64_t aRandom)
{
  return { fmt::format("{}/{}-{:016x}", aZone.value, aName, aRandom) };
}

/// @return the availability zone of an entry instance.
[[nodiscard]] inline ZoneId
ZoneOfEntry(const EntryId& aEntry)
{
  return { aEntry.value.substr(0, aEntry.value.find('/')) };
}

}
