#pragma once

/// @file
/// In-memory workers that follow the platform's rules, and can become unreachable, lose responses,
/// stall and crash.

#include <LibCell/Ports.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zinc::cell::test {

/// A start order that a worker accepted.
struct ObservedStart
{
  WorkerId worker;
  TaskName task;
  std::uint64_t run = 0;
  std::uint64_t token = 0;
  std::string checkpoint;
  std::string ticket;
  TimePoint acceptedAt{};
};

/// A crash of a worker with what ran there.
struct ObservedCrash
{
  WorkerId worker;
  std::vector<TaskName> tasks;
};

/// How a worker returns after a crash.
enum class RestartMode : std::uint8_t
{
  KeepsId,
  GetsNewId,
};

/// All workers of a cell. Orders take effect immediately; responses are queued until @ref Deliver,
/// so that a test controls their time and loss.
class SimulatedWorkers final : public WorkerPort
{
public:
  struct Worker
  {
    WorkerEntry entry;
    /// The worker's clock minus the test's, ms.
    std::int64_t clockOffset = 1'000'000;
    bool isReachable = true;
    /// Orders take effect, but their responses are lost.
    bool losesResponses = false;
    /// Start orders get the result @ref OrderResult::Rejected.
    bool rejectsStarts = false;
    /// Stop orders are accepted without effect.
    bool ignoresStops = false;
    /// Another incarnation responds at its address: lease renewals and stops get
    /// @ref OrderResult::WrongIncarnation.
    bool isReplaced = false;
    /// Start orders that get no response are carried out by the next incarnation under the same id.
    bool delaysStarts = false;
    /// When the worker crashes.
    std::optional<TimePoint> crashAt;
    /// When the worker starts again after a crash.
    std::optional<TimePoint> restartAt;
    /// Its runs make no progress.
    bool isStalled = false;
    /// Progress that stalled runs report.
    int stalledPercent = 0;
    /// Highest fencing token seen.
    std::uint64_t token = 0;
    std::uint64_t lastSequence = 0;
    TimePoint leaseExpiry{};
    std::map<std::string, ActiveRun> running;
    std::vector<EndedRun> ended;
    /// Highest run number started or stopped, by task.
    std::map<std::string, std::uint64_t> highestRun;
  };

  explicit SimulatedWorkers(const ManualClock& aClock)
    : clock(aClock)
  {
  }

  /// Adds a worker.
  /// @param aCores number of whole cores
  /// @return its entry, for the scheduler
  WorkerEntry Add(const std::string& aId, std::int64_t aCores, const std::string& aRack = "r1");
  [[nodiscard]] Worker& At(const std::string& aId) { return this->workers.at({ aId }); }

  /// Ends the run of a task, if there is one, and adds its end to the worker's report.
  void End(const std::string& aWorker, const TaskName& aTask, RunOutcome aOutcome);
  /// Ends the runs of all workers.
  void EndAll(RunOutcome aOutcome = RunOutcome::Succeeded);
  /// Carries out an earlier lease renewal of a worker once more, at its present incarnation.
  void RepeatRenewal(const LeaseRenewal& aOrder);
  /// Ends the incarnation of a worker and begins the next one at once, under the same id.
  /// @return its entry, for the scheduler
  WorkerEntry RestartAtOnce(const std::string& aId);
  /// Ends all runs of a worker without a report. It returns after @ref restartDelay as a new
  /// incarnation.
  void Crash(const std::string& aId);
  /// Crashes and restarts the workers that are due.
  /// @return the entries of workers that have restarted, for the scheduler
  std::vector<WorkerEntry> Advance();
  /// Changes what a worker says of its capacity.
  /// @return its entry, for the scheduler
  WorkerEntry SetCapacity(const std::string& aId, std::int64_t aCores);
  /// @return the number of start orders that wait for the next incarnation
  [[nodiscard]] std::size_t CountDelayedStarts() const { return this->delayedStarts.size(); }
  /// Delivers the queued responses. The response to a lease renewal that waits for an end
  /// is due once there is one, the wait is over or the worker is unreachable.
  void Deliver();

  void RenewLease(LeaseRenewal aOrder,
                  Handler<std::variant<WorkerReport, OrderResult>> aHandler) override;
  void Start(StartOrder aOrder, Handler<OrderResult> aHandler) override;
  void Stop(RunOrder aOrder, Handler<OrderResult> aHandler) override;
  void Throttle(RunOrder aOrder, int aPercent, Handler<OrderResult> aHandler) override;
  void Disconnect(const WorkerId& aWorker) override { this->disconnected.insert(aWorker); }

  /// Returns true for tasks that crash their worker after @ref crashDelay.
  std::function<bool(const TaskName&)> crashesWorker;
  /// Returns true for tasks that make no progress at any worker.
  std::function<bool(const TaskName&)> hangs;
  /// Returns true for tasks that every worker rejects.
  std::function<bool(const TaskName&)> rejectsTask;
  /// Number of next start orders whose worker is down when they arrive.
  int startsToLose = 0;
  /// Number of starts rejected by @ref rejectsTask.
  std::size_t rejections = 0;
  /// Ends that a report lists at most.
  std::size_t maxReportedEnds = 500;
  /// Time in which a run's progress changes by one percent.
  Milliseconds timePerPercent{ 50 };
  Milliseconds crashDelay{ 100 };
  Milliseconds restartDelay{ 2000 };
  /// Time from a restart until the new incarnation carries out start orders that were delayed.
  Milliseconds startDelay{ 1000 };
  RestartMode restartMode = RestartMode::KeepsId;
  std::vector<ObservedCrash> crashes;
  std::vector<ObservedStart> starts;
  std::vector<RunOrder> stops;
  std::vector<std::pair<RunOrder, int>> throttles;
  std::vector<LeaseRenewal> leaseRenewals;
  std::set<WorkerId> disconnected;

private:
  [[nodiscard]] std::string KeyOfTask(const TaskName& aTask) const;
  void ExpireLease(Worker& aWorker);
  [[nodiscard]] OrderResult ExecuteStart(Worker& aWorker, const StartOrder& aOrder);
  /// @return the number of the connection to a worker, which ends with its incarnation
  [[nodiscard]] static std::uint64_t ConnectionTo(const Worker& aWorker);
  [[nodiscard]] WorkerReport MakeReport(const Worker& aWorker) const;
  void QueueResponse(const WorkerId& aWorker,
                     std::function<void()> aReportLoss,
                     std::function<void()> aRespond);

  const ManualClock& clock;
  std::map<WorkerId, Worker> workers;
  std::deque<std::function<void()>> pendingResponses;
  /// Carries out the delayed start orders that are due.
  void ExecuteDelayedStarts();
  void Restart(const Worker& aWorker, std::vector<WorkerEntry>& aEntries);

  struct DelayedRenewal
  {
    WorkerId worker;
    std::int64_t incarnation = 0;
    std::function<void()> reportLoss;
    TimePoint until{};
    std::function<void()> respond;
  };
  std::vector<DelayedRenewal> delayedRenewals;
  /// Start orders that the next incarnation carries out.
  std::vector<StartOrder> delayedStarts;
  TimePoint delayedStartsDue = TimePoint::max();
};

}
