#pragma once

/// @file
/// A simulated cell under load: workers, policy service, store and callers around a scheduler,
/// driven by events in simulated time. Measures the time spent in the scheduler alone.

#include <LibBase/Time.h>
#include <LibCell/CellScheduler.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinc::cell::bench {

/// A kind of job and its rate.
struct JobKind
{
  std::string queue;
  std::uint32_t priority = 1;
  std::uint32_t tasks = 1;
  std::int64_t milliCores = 1000;
  Milliseconds runTime{ 1000 };
  bool isGang = false;
  /// Time that the policy service needs for each worker in a request, ms.
  double advicePerWorkerMs = 1.0;
  /// Jobs a second in a cell of @ref SimulatedCell::kReferenceWorkers workers.
  double jobsPerSecond = 1.0;
  std::string image;
};

/// Size and load of a cell.
struct SimulatedCellOptions
{
  std::size_t workers = 48;
  /// Instances that can call the policy service.
  std::size_t instances = 6;
  /// Multiplies the rates of all kinds of job.
  double load = 1.0;
  std::vector<JobKind> kinds;
  /// Every third worker has 0.6 times and every third 1.6 times the usual speed.
  bool hasUnevenWorkers = false;
};

/// Time in the scheduler and what it achieved in it.
struct SchedulerCost
{
  std::chrono::nanoseconds time{ 0 };
  std::chrono::nanoseconds longestTick{ 0 };
  std::uint64_t starts = 0;
};

class SimulatedCell final
  : public WorkerPort
  , public StorePort
  , public AdvicePort
{
public:
  /// Cell size to which the rates of @ref JobKind refer.
  static constexpr double kReferenceWorkers = 1100.0;

  explicit SimulatedCell(SimulatedCellOptions aOptions);
  ~SimulatedCell() override;

  /// Advances the simulation.
  /// @return the cost of the scheduler during this time
  SchedulerCost RunFor(Milliseconds aDuration);
  /// Submits jobs at once, beyond the rates of the kinds.
  void Submit(const JobKind& aKind, std::size_t aJobs);

  void RenewLease(LeaseRenewal aOrder,
                  Handler<std::variant<WorkerReport, OrderResult>> aHandler) override;
  void Start(StartOrder aOrder, Handler<OrderResult> aHandler) override;
  void Stop(RunOrder aOrder, Handler<OrderResult> aHandler) override;
  void Throttle(RunOrder aOrder, int aPercent, Handler<OrderResult> aHandler) override;
  void Disconnect(const WorkerId& /*aWorker*/) override {}
  void Read(const RowRange& aRange, Handler<RowBatch> aHandler) override;
  void Watch(const std::string& aTable,
             std::uint64_t aAfterVersion,
             Milliseconds aMaxWait,
             Handler<RowBatch> aHandler) override;
  void Commit(Transaction aTransaction, Handler<CommitResult> aHandler) override;
  void RequestAdvice(const std::string& aInstance,
                     AdviceRequest aRequest,
                     Handler<AdviceResponse> aHandler) override;

private:
  struct WorkerState
  {
    double speed = 1.0;
    std::uint64_t lastSequence = 0;
    std::vector<ActiveRun> activeRuns;
    std::vector<EndedRun> endedRuns;
    /// A lease renewal that waits for a run to end.
    Handler<std::variant<WorkerReport, OrderResult>> waitingRenewal;
  };
  struct Event
  {
    TimePoint at{};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const Event& aOther) const
    {
      return std::tie(this->at, this->order) > std::tie(aOther.at, aOther.order);
    }
  };

  void After(Milliseconds aDelay, std::function<void()> aRun);
  /// Runs a call of the scheduler and adds its duration to the cost.
  void Measure(const std::function<void()>& aCall);
  void Arrive(std::size_t aKind);
  void EndRun(const WorkerId& aWorker, const TaskName& aTask, std::uint64_t aRun);
  void Respond(const WorkerId& aWorker);
  [[nodiscard]] Milliseconds RunTimeOf(const StartOrder& aOrder) const;
  [[nodiscard]] bool IsEligible(const StepName& aStep, const WorkerId& aWorker) const;

  SimulatedCellOptions options;
  ManualClock clock;
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t eventOrder = 0;
  std::unordered_map<WorkerId, WorkerState> workers;
  std::unordered_map<JobId, Milliseconds> runTimes;
  std::map<std::string, TimePoint> adviceBusyUntil;
  std::uint64_t storeVersion = 1;
  std::uint64_t jobsSubmitted = 0;
  SchedulerCost cost;
  std::unique_ptr<CellScheduler> scheduler;
};

}
