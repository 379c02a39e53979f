#pragma once

/// @file
/// Workers in memory that keep the platform's rules, and can be cut off, lose answers and die.

#include <LibCell/Ports.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zinc::cell::test {

/// A start that a worker took.
struct ObservedStart
{
  WorkerId worker;
  TaskName task;
  std::uint64_t run = 0;
  std::uint64_t token = 0;
  std::string checkpoint;
  std::string ticket;
  TimePoint at{};
};

/// All workers of a cell. Answers are queued and delivered by @ref Deliver, so that the caller
/// decides about their order and loss.
class SimulatedWorkers final : public WorkerPort
{
public:
  struct Worker
  {
    WorkerEntry entry;
    bool isReachable = true;
    /// Orders are carried out, answers are lost.
    bool losesAnswers = false;
    bool refusesStarts = false;
    /// Stops are answered and not yet carried out.
    bool ignoresStops = false;
    /// Its runs make no progress.
    bool isHanging = false;
    /// What they show instead.
    int hangingPercent = 0;
    std::uint64_t token = 0;
    std::uint64_t lastSequence = 0;
    TimePoint leaseEnd{};
    std::map<std::string, ActiveRun> running;
    std::vector<EndedRun> ended;
    std::map<std::string, std::uint64_t> highestRun;
  };

  explicit SimulatedWorkers(const ManualClock& aClock)
    : clock(aClock)
  {
  }

  /// Adds a worker with this many whole cores.
  WorkerEntry Add(const std::string& aId, std::int64_t aCores, const std::string& aRack = "r1");
  [[nodiscard]] Worker& At(const std::string& aId) { return this->workers.at({ aId }); }

  /// Ends a run and lists its end.
  void End(const std::string& aWorker, const TaskName& aTask, RunOutcome aKind);
  /// Ends everything that runs at any worker.
  void EndAll(RunOutcome aKind = RunOutcome::Succeeded);
  /// Delivers all answers that are due; a hold that waits for an end is answered only by one.
  void Deliver();

  void RenewLease(LeaseRenewal aOrder,
                  Handler<std::variant<WorkerReport, OrderResult>> aHandler) override;
  void Start(StartOrder aOrder, Handler<OrderResult> aHandler) override;
  void Stop(RunOrder aOrder, Handler<OrderResult> aHandler) override;
  void Throttle(RunOrder aOrder, int aPercent, Handler<OrderResult> aHandler) override;
  void Disconnect(const WorkerId& aWorker) override { this->forgotten.insert(aWorker); }

  std::vector<ObservedStart> starts;
  std::vector<RunOrder> stops;
  std::vector<std::pair<RunOrder, int>> paces;
  std::vector<LeaseRenewal> holds;
  std::set<WorkerId> forgotten;

private:
  [[nodiscard]] std::string KeyOf(const TaskName& aTask) const;
  void Lapse(Worker& aWorker);
  [[nodiscard]] OrderResult CarryOut(Worker& aWorker, const StartOrder& aOrder);
  [[nodiscard]] WorkerReport ReportOf(const Worker& aWorker) const;
  void Answer(const WorkerId& aWorker, std::function<void()> aLost, std::function<void()> aAnswer);

  const ManualClock& clock;
  std::map<WorkerId, Worker> workers;
  std::deque<std::function<void()>> answers;
  struct WaitingHold
  {
    WorkerId worker;
    TimePoint until{};
    std::function<void()> answer;
  };
  std::vector<WaitingHold> waiting;
};

}
