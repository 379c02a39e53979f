#pragma once

/// @file
/// The workers of a pool, as a placement round sees them.

#include <LibBase/Resources.h>
#include <LibCell/Worker.h>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace zinc::cell {

/// The workers of a pool that may get tasks in the current placement round.
struct Pool
{
  /// @return the workers, those with the most free processors at the start of the round first.
  /// Sorts once per round, and only if a step needs the order.
  [[nodiscard]] std::span<Worker* const> SortByFreeCores();
  /// @return true if one task of the step, or its whole gang, fits into the pool
  [[nodiscard]] bool HasRoomFor(const StepSpecification& aStep);

  std::vector<Worker*> workers;
  /// The pool's listed workers in evacuated zones.
  std::vector<Worker*> evacuated;
  Resources capacity;
  Resources free;
  /// Empty until the round needs it; see @ref SortByFreeCores.
  std::vector<Worker*> byFreeCores;
  /// Demands that fitted nowhere in this round. Room only shrinks within a round, so they need no
  /// other scan.
  std::vector<std::pair<Resources, std::uint32_t>> demandsWithoutRoom;
};

}
