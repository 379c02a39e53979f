#pragma once

/// @file
/// The store's content at the beginning of a leader's term.

#include <LibBase/Time.h>
#include <LibCell/Ports.h>
#include <LibCell/Records.h>
#include <cstdint>
#include <map>
#include <vector>

namespace zinc::cell {

/// What was read from the store at the beginning of a term.
struct TermSnapshot
{
  std::uint64_t fencingToken = 0;
  /// Workers at which the previous leader may have started runs.
  std::vector<WorkerId> previousWorkers;
  /// Those of them that were draining, and the only jobs that may have runs there.
  DrainingJobs drainingJobs;
  /// Those of them that the previous leader was not in contact with, and when their leases have
  /// expired.
  std::map<WorkerId, TimePoint> suspendedLeases;
  /// Those of them that started lately and carry out no order for an earlier incarnation.
  FencedIncarnations fencedIncarnations;
  bool hadPredecessor = false;
  /// Progress rows name all steps whose tasks previous leaders may have started.
  bool hasStartRecords = false;
  std::vector<Row> jobRows;
  std::vector<WorkerEntry> workers;
};

}
