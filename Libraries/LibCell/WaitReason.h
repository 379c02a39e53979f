#pragma once

/// @file
/// Why a step still has tasks to place after a placement attempt.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace zinc::cell {

/// Why a step's tasks are still pending after a placement attempt.
enum class WaitReason : std::uint8_t
{
  None,
  NoWorkers,
  Advice,
  Limit,
  Headroom,
  Room,
  /// Workers with room are kept for a gang.
  Earmark,
  Ticket,
  /// Not every member of the gang is ready to start.
  Members,
  /// The record of a suspect's start is not stored yet, or the one that tasks of the step may have
  /// started.
  Record,
  /// Only workers of evacuated zones could run it.
  Evacuated,
  /// Workers have not reported yet at which runs of a previous leader may exist.
  Reports,
  Count,
};

inline constexpr auto kWaitReasonCount = static_cast<std::size_t>(WaitReason::Count);

/// @return the reason's name in the log
[[nodiscard]] constexpr std::string_view
ToString(WaitReason aReason)
{
  constexpr std::array<std::string_view, kWaitReasonCount> kNames = {
    "nothing", "workers", "advice",  "limit",  "headroom",  "room",
    "earmark", "ticket",  "members", "record", "evacuated", "reports"
  };
  return kNames.at(static_cast<std::size_t>(aReason));
}

}
