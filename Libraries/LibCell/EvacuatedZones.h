#pragma once

/// @file
/// The availability zones that operators have evacuated, and the stepwise return of load to cold
/// workers. Load: an operator takes a zone away and gives it back while the cell is busy.

#include <LibBase/Time.h>
#include <LibCell/Candidate.h>
#include <LibCell/Worker.h>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace zinc::cell {

/// The steps in which load returns to cold workers.
struct EvacuatedZonesOptions
{
  /// Equal parts of a worker's capacity; the first is usable at once, one more after each step.
  std::int64_t returnParts = 4;
  /// Duration of a step after a withdrawal. A worker's row is at most 1.7 s old (heartbeat and read
  /// interval), so a row that reports a longer cold time arrives within the first step.
  Milliseconds returnStep{ 2000 };
  /// Whether load also returns in steps to workers that are cold according to their row.
  bool limitsColdWorkers = false;
};

/// Tells which zones are evacuated and since when, and how much of a worker is usable.
class EvacuatedZones
{
public:
  /// A request that was made or withdrawn.
  struct Change
  {
    ZoneId zone;
    bool isEvacuated = false;
    /// Time since this instance read the request.
    Milliseconds age{ 0 };
  };

  explicit EvacuatedZones(EvacuatedZonesOptions aOptions = {})
    : options(aOptions)
  {
  }

  /// Replaces the set of evacuated zones. Load returns in steps to zones that are no longer in it.
  /// @return the changes
  std::vector<Change> Update(const std::set<ZoneId>& aZones, TimePoint aNow);

  [[nodiscard]] bool IsEvacuated(const ZoneId& aZone) const
  {
    return !this->requests.empty() && this->requests.contains(aZone);
  }
  /// @return the evacuated zones, and when this instance read each request
  [[nodiscard]] const std::map<ZoneId, TimePoint>& Requests() const { return this->requests; }

  /// @return the parts of the worker's capacity that may be in use now, of
  /// @ref EvacuatedZonesOptions::returnParts; 0 in an evacuated zone
  [[nodiscard]] std::int64_t UsableParts(const Worker& aWorker, TimePoint aNow) const;
  /// Sets @ref Worker::withheld of the workers of a pool. A pool whose workers are all cold
  /// according to their rows is used in full, since there is no other place for its load.
  void WithholdColdCapacity(std::span<Worker* const> aPool, TimePoint aNow) const;

private:
  [[nodiscard]] std::int64_t PartsAt(TimePoint aSince, TimePoint aUntil, TimePoint aNow) const;
  [[nodiscard]] Milliseconds ReturnDuration() const
  {
    return this->options.returnStep * (this->options.returnParts - 1);
  }

  EvacuatedZonesOptions options;
  std::map<ZoneId, TimePoint> requests;
  /// When the requests for other zones were withdrawn.
  std::map<ZoneId, TimePoint> withdrawals;
};

/// Applies the remaining cold time of a worker's row that was just read.
void
UpdateColdTime(Worker& aWorker, Milliseconds aColdLeft, TimePoint aNow);

/// Tells whether a step waits for the end of an evacuation: only with workers of evacuated zones
/// are there enough that satisfy its label, size and, as far as known, the policy service.
/// @param aUsable the workers of the step's pool that may get tasks
/// @param aEvacuated the pool's workers in evacuated zones
[[nodiscard]] bool
NeedsEvacuatedWorkers(const Candidate& aCandidate,
                      std::span<Worker* const> aUsable,
                      std::span<Worker* const> aEvacuated);

}
