#include "SimulatedWorkers.h"

#include <algorithm>
#include <fmt/format.h>

namespace zinc::cell::test {

namespace {

constexpr Milliseconds kMaxLease{ 6000 };
/// By how much the clock of a worker's next incarnation is behind that of the previous one, ms.
constexpr std::int64_t kClockReset = 100'000;
constexpr std::int64_t kMaxPercent = 100;

}

WorkerEntry
SimulatedWorkers::Add(const std::string& aId, std::int64_t aCores, const std::string& aRack)
{
  Worker worker;
  worker.entry = { .id = { aId },
                   .pool = "pool",
                   .address = "10.0.0.1",
                   .port = 1,
                   .zone = { "zone" },
                   .rack = { aRack },
                   .labels = { "a", aRack },
                   .capacity = { .milliCores = aCores * 1000, .memoryMiB = aCores * 2048 },
                   .machine = "m-" + aId,
                   .incarnation = 1 };
  this->workers[{ aId }] = worker;
  return worker.entry;
}

std::string
SimulatedWorkers::KeyOfTask(const TaskName& aTask) const
{
  return fmt::format(
    "{}.{}.{}.{}", aTask.job.value, aTask.key.occurrence, aTask.key.step, aTask.key.index);
}

void
SimulatedWorkers::End(const std::string& aWorker, const TaskName& aTask, RunOutcome aOutcome)
{
  auto& worker = this->At(aWorker);
  const auto found = worker.running.find(this->KeyOfTask(aTask));
  if (found == worker.running.end()) {
    return;
  }
  worker.ended.push_back({ .sequence = ++worker.lastSequence,
                           .task = aTask,
                           .run = found->second.run,
                           .outcome = aOutcome,
                           .checkpoint = found->second.checkpoint });
  worker.running.erase(found);
}

void
SimulatedWorkers::EndAll(RunOutcome aOutcome)
{
  for (auto& [id, worker] : this->workers) {
    const auto running = worker.running;
    for (const auto& [key, entry] : running) {
      this->End(id.value, entry.task, aOutcome);
    }
  }
}

void
SimulatedWorkers::ExpireLease(Worker& aWorker)
{
  if (this->clock.Now() < aWorker.leaseExpiry) {
    return;
  }
  const auto running = aWorker.running;
  for (const auto& [key, entry] : running) {
    this->End(aWorker.entry.id.value, entry.task, RunOutcome::LeaseExpired);
  }
}

std::uint64_t
SimulatedWorkers::ConnectionTo(const Worker& aWorker)
{
  return static_cast<std::uint64_t>(aWorker.entry.incarnation);
}

WorkerReport
SimulatedWorkers::MakeReport(const Worker& aWorker) const
{
  WorkerReport report{ .clockMs =
                         this->clock.Now().time_since_epoch().count() + aWorker.clockOffset,
                       .incarnation = aWorker.entry.incarnation,
                       .endedRuns = aWorker.ended,
                       .hasMoreEnds = aWorker.ended.size() > this->maxReportedEnds,
                       .connection = ConnectionTo(aWorker) };
  report.endedRuns.resize(std::min(report.endedRuns.size(), this->maxReportedEnds));
  for (const auto& [key, entry] : aWorker.running) {
    report.activeRuns.push_back(entry);
    report.activeRuns.back().progressPercent = aWorker.stalledPercent;
    const bool hangs = this->hangs && this->hangs(entry.task);
    if (!aWorker.isStalled && !hangs) {
      report.activeRuns.back().progressPercent =
        static_cast<int>(this->clock.Now().time_since_epoch() / this->timePerPercent % kMaxPercent);
    }
  }
  return report;
}

void
SimulatedWorkers::QueueResponse(const WorkerId& aWorker,
                                std::function<void()> aReportLoss,
                                std::function<void()> aRespond)
{
  const auto& worker = this->workers.at(aWorker);
  const bool isLost = !worker.isReachable || worker.losesResponses;
  this->pendingResponses.push_back(isLost ? std::move(aReportLoss) : std::move(aRespond));
}

void
SimulatedWorkers::RenewLease(LeaseRenewal aOrder,
                             Handler<std::variant<WorkerReport, OrderResult>> aHandler)
{
  this->leaseRenewals.push_back(aOrder);
  auto reportLoss = [aHandler] { aHandler(MayHaveRun(ErrorCode::Timeout, "lost")); };
  const auto found = this->workers.find(aOrder.target.worker);
  if (found == this->workers.end() || !found->second.isReachable) {
    this->pendingResponses.push_back(reportLoss);
    return;
  }
  auto& worker = found->second;
  if (aOrder.connection && *aOrder.connection != ConnectionTo(worker)) {
    this->pendingResponses.push_back(
      [aHandler] { aHandler(NotRun(ErrorCode::Unavailable, "closed")); });
    return;
  }
  if (worker.isReplaced) {
    this->pendingResponses.push_back([aHandler] {
      aHandler(std::variant<WorkerReport, OrderResult>(OrderResult::WrongIncarnation));
    });
    return;
  }
  this->ExpireLease(worker);
  if (aOrder.target.fencingToken < worker.token) {
    this->pendingResponses.push_back(
      [aHandler] { aHandler(std::variant<WorkerReport, OrderResult>(OrderResult::Fenced)); });
    return;
  }
  worker.token = aOrder.target.fencingToken;
  std::erase_if(worker.ended, [&aOrder](const EndedRun& aEnd) {
    return aEnd.sequence <= aOrder.acknowledgedSequence;
  });
  if (aOrder.leaseDeadline) {
    const TimePoint until{ Milliseconds(*aOrder.leaseDeadline - worker.clockOffset) };
    worker.leaseExpiry =
      std::max(worker.leaseExpiry, std::min(until, this->clock.Now() + kMaxLease));
  }
  auto respond = [this, id = aOrder.target.worker, aHandler] {
    aHandler(std::variant<WorkerReport, OrderResult>(this->MakeReport(this->workers.at(id))));
  };
  if (aOrder.maxWait.count() > 0 && worker.ended.empty()) {
    this->delayedRenewals.push_back({ .worker = aOrder.target.worker,
                                      .incarnation = worker.entry.incarnation,
                                      .reportLoss = reportLoss,
                                      .until = this->clock.Now() + aOrder.maxWait,
                                      .respond = respond });
    return;
  }
  this->QueueResponse(aOrder.target.worker, reportLoss, respond);
}

OrderResult
SimulatedWorkers::ExecuteStart(Worker& aWorker, const StartOrder& aOrder)
{
  if (aOrder.target.fencingToken < aWorker.token) {
    return OrderResult::Fenced;
  }
  aWorker.token = aOrder.target.fencingToken;
  const TimePoint until{ Milliseconds(aOrder.leaseDeadline - aWorker.clockOffset) };
  if (until <= this->clock.Now()) {
    return OrderResult::DeadlinePassed;
  }
  if (aWorker.rejectsStarts) {
    return OrderResult::Rejected;
  }
  if (this->rejectsTask && this->rejectsTask(aOrder.task)) {
    ++this->rejections;
    return OrderResult::Rejected;
  }
  aWorker.leaseExpiry =
    std::max(aWorker.leaseExpiry, std::min(until, this->clock.Now() + kMaxLease));
  const auto key = this->KeyOfTask(aOrder.task);
  if (aOrder.run <= aWorker.highestRun[key]) {
    return OrderResult::StaleRun;
  }
  aWorker.highestRun[key] = aOrder.run;
  aWorker.running[key] = { .task = aOrder.task,
                           .run = aOrder.run,
                           .checkpoint = aOrder.checkpoint };
  this->starts.push_back({ .worker = aOrder.target.worker,
                           .task = aOrder.task,
                           .run = aOrder.run,
                           .token = aOrder.target.fencingToken,
                           .checkpoint = aOrder.checkpoint,
                           .ticket = aOrder.ticket,
                           .acceptedAt = this->clock.Now() });
  if (this->crashesWorker && this->crashesWorker(aOrder.task) && !aWorker.crashAt) {
    aWorker.crashAt = this->clock.Now() + this->crashDelay;
  }
  return OrderResult::Accepted;
}

void
SimulatedWorkers::Start(StartOrder aOrder, Handler<OrderResult> aHandler)
{
  auto reportLoss = [aHandler] { aHandler(MayHaveRun(ErrorCode::Timeout, "lost")); };
  const auto found = this->workers.find(aOrder.target.worker);
  if (found == this->workers.end() || !found->second.isReachable) {
    this->pendingResponses.push_back(reportLoss);
    return;
  }
  if (this->startsToLose > 0) {
    --this->startsToLose;
    this->Crash(aOrder.target.worker.value);
    this->pendingResponses.push_back(reportLoss);
    return;
  }
  if (found->second.delaysStarts) {
    this->delayedStarts.push_back(std::move(aOrder));
    this->pendingResponses.push_back(reportLoss);
    return;
  }
  this->ExpireLease(found->second);
  const auto result = this->ExecuteStart(found->second, aOrder);
  this->QueueResponse(aOrder.target.worker, reportLoss, [aHandler, result] { aHandler(result); });
}

void
SimulatedWorkers::Stop(RunOrder aOrder, Handler<OrderResult> aHandler)
{
  this->stops.push_back(aOrder);
  auto reportLoss = [aHandler] { aHandler(MayHaveRun(ErrorCode::Timeout, "lost")); };
  const auto found = this->workers.find(aOrder.target.worker);
  if (found == this->workers.end() || !found->second.isReachable) {
    this->pendingResponses.push_back(reportLoss);
    return;
  }
  auto& worker = found->second;
  if (worker.isReplaced) {
    this->pendingResponses.push_back([aHandler] { aHandler(OrderResult::WrongIncarnation); });
    return;
  }
  if (aOrder.target.fencingToken < worker.token) {
    this->pendingResponses.push_back([aHandler] { aHandler(OrderResult::Fenced); });
    return;
  }
  auto& highest = worker.highestRun[this->KeyOfTask(aOrder.task)];
  highest = std::max(highest, aOrder.run);
  if (!worker.ignoresStops) {
    this->End(aOrder.target.worker.value, aOrder.task, RunOutcome::Stopped);
  }
  this->QueueResponse(
    aOrder.target.worker, reportLoss, [aHandler] { aHandler(OrderResult::Accepted); });
}

void
SimulatedWorkers::Throttle(RunOrder aOrder, int aPercent, Handler<OrderResult> aHandler)
{
  this->throttles.emplace_back(aOrder, aPercent);
  this->pendingResponses.push_back([aHandler] { aHandler(OrderResult::Accepted); });
}

WorkerEntry
SimulatedWorkers::SetCapacity(const std::string& aId, std::int64_t aCores)
{
  auto& worker = this->At(aId);
  worker.entry.capacity = { .milliCores = aCores * 1000, .memoryMiB = aCores * 2048 };
  return worker.entry;
}

void
SimulatedWorkers::Crash(const std::string& aId)
{
  auto& worker = this->At(aId);
  ObservedCrash crash{ .worker = { aId } };
  for (const auto& [key, run] : worker.running) {
    crash.tasks.push_back(run.task);
  }
  this->crashes.push_back(std::move(crash));
  worker.running.clear();
  worker.ended.clear();
  worker.isReachable = false;
  worker.crashAt.reset();
  worker.restartAt = this->clock.Now() + this->restartDelay;
}

void
SimulatedWorkers::Restart(const Worker& aWorker, std::vector<WorkerEntry>& aEntries)
{
  Worker next;
  next.entry = aWorker.entry;
  ++next.entry.incarnation;
  next.clockOffset = aWorker.clockOffset - kClockReset;
  if (this->restartMode == RestartMode::GetsNewId) {
    next.entry.id = { fmt::format("{}-{}", next.entry.machine, next.entry.incarnation) };
  }
  const auto id = next.entry.id;
  aEntries.push_back(next.entry);
  this->workers[id] = std::move(next);
  this->delayedStartsDue = this->clock.Now() + this->startDelay;
}

void
SimulatedWorkers::RepeatRenewal(const LeaseRenewal& aOrder)
{
  auto order = aOrder;
  order.connection.reset();
  this->RenewLease(std::move(order), [](const auto&) {});
}

WorkerEntry
SimulatedWorkers::RestartAtOnce(const std::string& aId)
{
  this->Crash(aId);
  std::vector<WorkerEntry> entries;
  const auto crashed = this->At(aId);
  this->Restart(crashed, entries);
  return entries.front();
}

void
SimulatedWorkers::ExecuteDelayedStarts()
{
  if (this->clock.Now() < this->delayedStartsDue) {
    return;
  }
  for (const auto& order : this->delayedStarts) {
    static_cast<void>(this->ExecuteStart(this->At(order.target.worker.value), order));
  }
  this->delayedStarts.clear();
}

std::vector<WorkerEntry>
SimulatedWorkers::Advance()
{
  const auto now = this->clock.Now();
  this->ExecuteDelayedStarts();
  for (auto& [id, worker] : this->workers) {
    this->ExpireLease(worker);
  }
  std::vector<std::string> crashing;
  std::vector<Worker> restarting;
  for (auto& [id, worker] : this->workers) {
    if (worker.crashAt && *worker.crashAt <= now) {
      crashing.push_back(id.value);
    } else if (worker.restartAt && *worker.restartAt <= now) {
      restarting.push_back(worker);
      worker.restartAt.reset();
    }
  }
  for (const auto& id : crashing) {
    this->Crash(id);
  }
  std::vector<WorkerEntry> entries;
  for (const auto& worker : restarting) {
    this->Restart(worker, entries);
  }
  return entries;
}

void
SimulatedWorkers::Deliver()
{
  const auto now = this->clock.Now();
  auto delayed = std::move(this->delayedRenewals);
  this->delayedRenewals.clear();
  for (auto& renewal : delayed) {
    const auto& worker = this->workers.at(renewal.worker);
    if (worker.restartAt || worker.entry.incarnation != renewal.incarnation) {
      this->pendingResponses.push_back(std::move(renewal.reportLoss));
    } else if (!worker.ended.empty() || renewal.until <= now || !worker.isReachable) {
      this->pendingResponses.push_back(std::move(renewal.respond));
    } else {
      this->delayedRenewals.push_back(std::move(renewal));
    }
  }
  auto due = std::move(this->pendingResponses);
  this->pendingResponses.clear();
  for (const auto& respond : due) {
    respond();
  }
}

}
