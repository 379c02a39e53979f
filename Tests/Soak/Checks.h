#pragma once

/// @file
/// The promises of the platform's pages, checked on what callers and workers saw.

#include <Soak/Event.h>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinc::soak {

/// What the checks need besides the history.
struct CheckContext
{
  std::map<std::string, JobPlan> plans;
  /// Attempts that a task has, from the document.
  std::uint32_t attempts = 3;
  /// Thousandths of a core of each worker.
  std::int64_t workerMilliCores = 0;
  /// Thousandths of a core that each workspace may have running.
  std::map<std::string, std::int64_t> maximum;
  /// Bound on starts after a cancellation was answered; the pages' `cancel_ms`.
  Milliseconds cancellation{ 4000 };
  /// A job may be unknown so long after it was accepted; the pages' `visible_ms`.
  Milliseconds visibility{ 3000 };
  /// Crashes after which a task may be given up.
  std::uint32_t crashesToGiveUp = 2;
  /// After this many crashes under a task, this many more starts of it are a violation.
  std::uint32_t crashBudget = 3;
  std::uint32_t startsBeyondBudget = 3;
  /// A capacity that has shrunk counts so long after the worker's entry shows it: the pages'
  /// `ContactMs` and one heartbeat.
  Milliseconds capacityNotice{ 4500 };
  /// Nothing starts in a zone so long after its evacuation was stored; the pages' `EvacMs`.
  Milliseconds evacuationBound{ 5000 };
  /// Time from SIGTERM in which a process has to end; the pages' `GraceS`.
  Milliseconds gracePeriod{ 6000 };
};

/// Name of a check and how to run it.
struct Check
{
  std::string_view name;
  std::vector<std::string> (*perform)(std::span<const Event> aHistory,
                                      const CheckContext& aContext);
};

/// @return every check.
[[nodiscard]] std::span<const Check>
AllChecks();

/// Runs every check. @return the violations, a line each.
[[nodiscard]] std::vector<std::string>
CheckHistory(std::span<const Event> aHistory, const CheckContext& aContext);

}
