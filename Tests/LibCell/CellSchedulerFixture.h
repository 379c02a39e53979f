#pragma once

/// @file
/// Test fixture: a cell scheduler with a manual clock and workers, store and policy service in
/// memory.

#include "MemoryStore.h"
#include "SimulatedWorkers.h"
#include <LibCell/CellScheduler.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>

namespace zinc::cell::test {

/// Policy service that responds on @ref Deliver. All requested workers are eligible by default.
class FakeAdvicePort final : public AdvicePort
{
public:
  explicit FakeAdvicePort(const ManualClock& aClock)
    : clock(aClock)
  {
  }

  void RequestAdvice(const std::string& aInstance,
                     AdviceRequest aRequest,
                     Handler<AdviceResponse> aHandler) override;

  /// Delivers the responses that are due.
  void Deliver();

  std::function<bool(const WorkerId&)> isEligible = [](const WorkerId&) { return true; };
  /// Eligibility that also depends on the step, in place of @ref isEligible if set.
  std::function<bool(const StepName&, const WorkerId&)> isEligibleFor;
  /// How long a call takes; calls of one instance are handled one after the other. By default all
  /// responses are due at once.
  std::function<Milliseconds(const AdviceRequest&)> duration;
  std::vector<std::string> instances;
  std::vector<AdviceRequest> requests;
  std::vector<std::pair<AdviceRequest, Handler<AdviceResponse>>> pending;
  int ticketsIssued = 0;
  /// When the tickets were issued.
  std::map<std::string, TimePoint> issuedAt;
  /// While true no response is delivered.
  bool isPaused = false;
  /// Number of next requests that fail.
  int failuresLeft = 0;

private:
  const ManualClock& clock;
  /// When the responses to @ref pending are due.
  std::vector<TimePoint> dueTimes;
  std::map<std::string, TimePoint> busyUntil;
};

class CellSchedulerFixture : public testing::Test
{
protected:
  /// A job starts in the step after the one in which it is recorded that it may have started.
  static constexpr Milliseconds kStartDelay{ 20 };

  CellSchedulerFixture();

  /// @return a job with one step of @p aCount tasks of @p aCores cores each.
  [[nodiscard]] static JobSpecification MakeJob(const std::string& aId,
                                                std::uint32_t aCount,
                                                std::int64_t aCores,
                                                std::int64_t aEstimateMs = 1000);
  /// Writes the job's row, as the instance that accepts the job does.
  void AcceptJob(const JobSpecification& aSpec);
  /// Writes the rows with which a leader's takeover marks the start of its term.
  /// @return their version, which is the fencing token of the term
  std::uint64_t WriteTermRows();
  /// Begins the term of a new leader with the rows of the store.
  /// @param aPreviousWorkers workers without a row that the predecessor's leader record names; it
  /// names all that have one
  void BeginTerm(bool aHasPredecessor = false,
                 Milliseconds aPriorLeasesExpiry = Milliseconds{ 12'400 },
                 std::vector<WorkerId> aPreviousWorkers = {});
  /// Jobs at draining workers in the predecessor's leader record at the next @ref BeginTerm.
  DrainingJobs drainingJobs;
  /// Workers whose leases the predecessor did not renew, in its leader record at the next
  /// @ref BeginTerm, and when they have expired.
  std::map<WorkerId, TimePoint> suspendedLeases;
  /// Workers that the predecessor knew to be fenced, in its leader record at the next
  /// @ref BeginTerm.
  FencedIncarnations fencedIncarnations;
  /// Whether the predecessor has recorded starts, by its leader record at the next @ref BeginTerm.
  bool hasStartRecords = false;
  /// Hands the rows of workers that have restarted to the scheduler.
  void ListRestartedWorkers();
  /// Advances the clock in steps of 10 ms; each runs a tick and delivers responses.
  void RunFor(Milliseconds aDuration);
  [[nodiscard]] JobStatus StatusOf(const std::string& aId) const
  {
    return this->scheduler->StatusOf({ aId });
  }

  /// @return how many starts of the job's tasks the workers have accepted
  [[nodiscard]] std::size_t CountStarts(const std::string& aJob) const;

  ManualClock clock;
  SimulatedWorkers workers{ this->clock };
  MemoryStore store;
  FakeAdvicePort advice{ this->clock };
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  CellSchedulerOptions options;
  CellPolicy policy;
  std::vector<WorkerEntry> entries;
  /// Evacuated zones at the next @ref BeginTerm, and whether they have been read by then.
  EvacuatedZones zones;
  bool hasReadZones = true;
  bool hasLostLeadership = false;
  /// Whether the leader record is renewed in each step.
  bool publishesWorkers = true;
  /// Whether the predecessor's leader record names all listed workers at the next @ref BeginTerm.
  bool recordNamesListedWorkers = true;
  std::uint64_t fencingToken = 0;
  /// Unix time by the leader's clock.
  WallTime wallTime{ Milliseconds{ 1'000'000 } };
  /// Clock of the scheduler in place of @ref clock, if set.
  std::unique_ptr<Clock> clockOverride;
  std::unique_ptr<CellScheduler> scheduler;
};

}
