#pragma once

/// @file
/// Workers that batch tasks leave to pending gangs.

#include <LibCell/Worker.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace zinc::cell {

/// What is earmarked in the current round for gangs. An earmark holds until the next one begins.
struct GangEarmarks
{
  void BeginRound()
  {
    ++this->round;
    this->gangs = 0;
    this->workers.clear();
  }

  std::uint64_t round = 1;
  /// Gangs for which workers are earmarked.
  std::size_t gangs = 0;
  std::vector<WorkerNumber> workers;
};

}
