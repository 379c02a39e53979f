#pragma once

/// @file
/// Dense indices by which the placement classes refer to tasks, workers and other records.

#include <cstdint>
#include <limits>

namespace zinc {

using TaskIndex = std::uint32_t;
using WorkerIndex = std::uint32_t;
using TeamIndex = std::uint32_t;
using QueueIndex = std::uint32_t;
using GangIndex = std::uint32_t;
using DomainIndex = std::uint32_t;

/// The invalid index of every kind.
inline constexpr std::uint32_t kNoIndex = std::numeric_limits<std::uint32_t>::max();

}
