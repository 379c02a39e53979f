#pragma once

/// @file
/// What gangs are expected to take of the workers about which they ask the policy service.

#include <LibCell/Worker.h>
#include <cstdint>
#include <span>
#include <vector>

namespace zinc::cell {

/// Spreads the requests of gangs that ask at the same time over the workers of a pool. Otherwise
/// all would name the same workers, whose room is gone once the first of the gangs have started.
class AdviceClaims
{
public:
  /// Notes a request in flight.
  /// @param aWorkers the workers that it names
  /// @param aMilliCores what the gang is expected to take of each
  void Add(std::span<const WorkerNumber> aWorkers, std::int64_t aMilliCores);
  /// Removes a request that was added with the same parameters.
  void Remove(std::span<const WorkerNumber> aWorkers, std::int64_t aMilliCores);

  /// Sorts workers by the processors that neither runs, reservations nor claims take, most first.
  /// @param aWorkers workers in the order in which requests prefer them
  /// @param aKeepsBands sorts only among neighbours of the same speed band
  /// @return the sorted workers; those that are equally free keep their order
  [[nodiscard]] std::vector<Worker*> SortByUnclaimedCores(std::span<Worker* const> aWorkers,
                                                          bool aKeepsBands) const;

  /// @return true if no request is in flight
  [[nodiscard]] bool IsEmpty() const { return this->requests == 0; }

private:
  [[nodiscard]] std::int64_t ClaimAt(WorkerNumber aWorker) const
  {
    return aWorker < this->milliCores.size() ? this->milliCores[aWorker] : 0;
  }

  /// Claimed processors by worker number.
  std::vector<std::int64_t> milliCores;
  std::size_t requests = 0;
};

}
