#pragma once

/// @file
/// What a leader publishes about its term with each renewal of the leader record.

#include <LibBase/Time.h>
#include <LibCell/ExpectedWait.h>
#include <LibCell/Records.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinc::cell {

/// State of the leader that each renewal publishes; see @ref LeaderRecord.
struct LeaderReport
{
  /// Workers at which runs may exist, except those in @ref drainingJobs.
  std::vector<std::string> workers;
  /// Draining workers, which get no more tasks, and the jobs that may have runs there.
  DrainingJobs drainingJobs;
  /// Workers of both kinds whose leases the leader does not renew.
  SuspendedLeases suspendedLeases;
  /// Workers of both kinds that started lately and carry out no order for an earlier incarnation.
  FencedIncarnations fencedIncarnations;
  /// Progress rows name all steps whose tasks may have started.
  bool recordsStarts = false;
  /// When the scheduler made the report.
  TimePoint madeAt{};
  /// Time until the last lease of those that started lately has expired; 0 if a lease granted now
  /// expires later.
  Milliseconds longestLease{ 0 };
  /// Number of the report within the term, for @ref LeaseSuspensions; 0 before the scheduler
  /// starts.
  std::uint64_t number = 0;
  /// Accepted jobs of each queue that have not started.
  std::map<std::string, std::uint64_t> pendingJobs;
  /// Expected waits of jobs that arrive now.
  std::vector<ExpectedWait> expectedWaits;
  /// Runs of earlier leaders may still exist at workers that have not reported yet.
  bool isRecovering = false;
  /// Time until the leases of such runs have expired.
  Milliseconds recoveryLeft{ 0 };
};

}
