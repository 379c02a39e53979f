#include "SimulatedCell.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace zinc::cell::bench {

namespace {

constexpr Milliseconds kTickInterval{ 10 };
constexpr Milliseconds kCallDelay{ 3 };
constexpr Milliseconds kCommitDelay{ 8 };
constexpr Milliseconds kTicketValidity{ 1500 };
constexpr Milliseconds kTermDuration{ 1'000'000'000 };
constexpr std::int64_t kWorkerMilliCores = 32'000;
constexpr std::int64_t kWorkerMiB = 65'536;
constexpr std::int64_t kTaskMiB = 1024;
constexpr std::size_t kWorkersPerRack = 8;
constexpr int kMsPerPercent = 50;
/// Fraction of the workers that are eligible for a step.
constexpr double kEligibleFraction = 0.25;
/// Speeds of the workers in an uneven cell.
constexpr std::array kUnevenSpeeds{ 0.6, 1.0, 1.6 };

}

SimulatedCell::SimulatedCell(SimulatedCellOptions aOptions)
  : options(std::move(aOptions))
{
  this->clock.Advance(Milliseconds{ 1'000'000 });
  auto policy = std::make_shared<CellPolicy>();
  policy->version = 1;
  policy->pools["pool"] = { .name = "pool" };
  policy->workspaces[{ "team" }] = { .name = { "team" }, .weight = 1'000'000.0 };
  for (const auto& kind : this->options.kinds) {
    QueueRoute route{ .host = "host", .pathPrefix = "/" + kind.queue + "/" };
    route.queue = { .name = { kind.queue },
                    .pool = "pool",
                    .priority = kind.priority,
                    .maxAttempts = 3,
                    .stretch = 2.0,
                    .slack = Milliseconds{ 1000 },
                    .needsAdvice = true,
                    .advice = { .baseMs = 5.0,
                                .perWorkerMs = kind.advicePerWorkerMs,
                                .ticketValidity = kTicketValidity } };
    policy->AddRoute(route);
  }
  std::vector<WorkerEntry> entries;
  for (std::size_t number = 0; number < this->options.workers; ++number) {
    const auto rack = fmt::format("r{}", number / kWorkersPerRack);
    entries.push_back({ .id = { fmt::format("worker-{:05}", number) },
                        .pool = "pool",
                        .address = "10.0.0.1",
                        .port = 1,
                        .zone = { "zone" },
                        .rack = { rack },
                        .labels = { "standard", rack },
                        .capacity = { .milliCores = kWorkerMilliCores, .memoryMiB = kWorkerMiB },
                        .machine = fmt::format("machine-{}", number),
                        .incarnation = 1 });
    auto& worker = this->workers[entries.back().id];
    if (this->options.hasUnevenWorkers) {
      worker.speed = kUnevenSpeeds.at(number % kUnevenSpeeds.size());
    }
  }
  std::vector<std::string> instances;
  for (std::size_t number = 0; number < this->options.instances; ++number) {
    instances.push_back(fmt::format("instance-{}", number));
  }
  this->scheduler = std::make_unique<CellScheduler>(
    CellScheduler::Dependencies{ .workers = *this,
                                 .store = *this,
                                 .advice = *this,
                                 .clock = this->clock,
                                 .log = this->log,
                                 .metrics = this->metrics,
                                 .wallClock = [] { return WallTime{}; },
                                 .onLeadershipLost = [] {} },
    CellSchedulerOptions{});
  this->scheduler->SetPolicy(policy);
  this->scheduler->SetEvacuatedZones(EvacuatedZones());
  this->scheduler->SetInstances(instances);
  this->scheduler->SetTermEnd(this->clock.Now() + kTermDuration);
  this->scheduler->BeginTerm({ .fencingToken = 1, .workers = entries });
  for (std::size_t kind = 0; kind < this->options.kinds.size(); ++kind) {
    this->Arrive(kind);
  }
}

SimulatedCell::~SimulatedCell() = default;

void
SimulatedCell::After(Milliseconds aDelay, std::function<void()> aRun)
{
  this->events.push(
    { .at = this->clock.Now() + aDelay, .order = ++this->eventOrder, .run = std::move(aRun) });
}

void
SimulatedCell::Measure(const std::function<void()>& aCall)
{
  const auto begin = std::chrono::steady_clock::now();
  aCall();
  const auto duration = std::chrono::steady_clock::now() - begin;
  this->cost.time += duration;
  this->cost.longestTick = std::max<std::chrono::nanoseconds>(this->cost.longestTick, duration);
}

SchedulerCost
SimulatedCell::RunFor(Milliseconds aDuration)
{
  this->cost = {};
  const auto end = this->clock.Now() + aDuration;
  while (this->clock.Now() < end) {
    while (!this->events.empty() && this->events.top().at <= this->clock.Now()) {
      const auto run = this->events.top().run;
      this->events.pop();
      run();
    }
    this->Measure([this] { this->scheduler->Tick(); });
    this->scheduler->OnReportStored(this->scheduler->MakeLeaderReport(), 0);
    this->clock.Advance(kTickInterval);
  }
  return this->cost;
}

void
SimulatedCell::Arrive(std::size_t aKind)
{
  const auto& kind = this->options.kinds[aKind];
  const double rate = kind.jobsPerSecond * this->options.load *
                      static_cast<double>(this->options.workers) / kReferenceWorkers;
  constexpr double kMsPerSecond = 1000.0;
  // Several jobs arrive in one interval where the rate is high.
  const double perInterval = rate * static_cast<double>(kTickInterval.count()) / kMsPerSecond;
  const auto jobs = std::max<std::size_t>(1, static_cast<std::size_t>(perInterval));
  this->After(
    Milliseconds(static_cast<std::int64_t>(static_cast<double>(jobs) * kMsPerSecond / rate)),
    [this, aKind, jobs] {
      this->Submit(this->options.kinds[aKind], jobs);
      this->Arrive(aKind);
    });
}

void
SimulatedCell::Submit(const JobKind& aKind, std::size_t aJobs)
{
  std::vector<Row> rows;
  for (std::size_t number = 0; number < aJobs; ++number) {
    JobSpecification spec{ .id = { fmt::format("{:016x}", ++this->jobsSubmitted) },
                           .workspace = { "team" } };
    spec.queue.name = { aKind.queue };
    spec.payload = "payload";
    spec.steps.push_back({ .count = aKind.tasks,
                           .demand = { .milliCores = aKind.milliCores, .memoryMiB = kTaskMiB },
                           .estimate = aKind.runTime,
                           .isGang = aKind.isGang,
                           .image = aKind.image });
    this->runTimes[spec.id] = aKind.runTime;
    rows.push_back({ .key = JobRowKey(spec.id, JobRowKind::Specification),
                     .value = EncodeSpecification(spec),
                     .version = ++this->storeVersion });
  }
  this->Measure([this, &rows] { this->scheduler->OnJobRows(rows); });
}

void
SimulatedCell::RenewLease(LeaseRenewal aOrder,
                          Handler<std::variant<WorkerReport, OrderResult>> aHandler)
{
  const auto id = aOrder.target.worker;
  auto& worker = this->workers.at(id);
  std::erase_if(worker.endedRuns, [&aOrder](const EndedRun& aEnd) {
    return aEnd.sequence <= aOrder.acknowledgedSequence;
  });
  worker.waitingRenewal = std::move(aHandler);
  const auto wait = worker.endedRuns.empty() ? aOrder.maxWait : Milliseconds{ 0 };
  this->After(wait + kCallDelay, [this, id] { this->Respond(id); });
}

void
SimulatedCell::Respond(const WorkerId& aWorker)
{
  auto& worker = this->workers.at(aWorker);
  if (!worker.waitingRenewal) {
    return;
  }
  const auto handler = std::exchange(worker.waitingRenewal, {});
  const auto now = this->clock.Now().time_since_epoch().count();
  WorkerReport report{
    .clockMs = now, .incarnation = 1, .activeRuns = worker.activeRuns, .endedRuns = worker.endedRuns
  };
  for (auto& run : report.activeRuns) {
    run.progressPercent = static_cast<int>(now / kMsPerPercent % 100);
  }
  this->Measure([&] { handler(std::variant<WorkerReport, OrderResult>(std::move(report))); });
}

void
SimulatedCell::Start(StartOrder aOrder, Handler<OrderResult> aHandler)
{
  ++this->cost.starts;
  this->After(kCallDelay, [this, order = std::move(aOrder), handler = std::move(aHandler)] {
    this->workers.at(order.target.worker)
      .activeRuns.push_back({ .task = order.task, .run = order.run });
    this->After(this->RunTimeOf(order),
                [this, worker = order.target.worker, task = order.task, run = order.run] {
                  this->EndRun(worker, task, run);
                });
    this->Measure([&] { handler(OrderResult::Accepted); });
  });
}

Milliseconds
SimulatedCell::RunTimeOf(const StartOrder& aOrder) const
{
  const auto usual = static_cast<double>(this->runTimes.at(aOrder.task.job).count());
  return Milliseconds(
    static_cast<std::int64_t>(usual / this->workers.at(aOrder.target.worker).speed));
}

void
SimulatedCell::EndRun(const WorkerId& aWorker, const TaskName& aTask, std::uint64_t aRun)
{
  auto& worker = this->workers.at(aWorker);
  const auto erased = std::erase_if(worker.activeRuns, [&](const ActiveRun& aActive) {
    return aActive.run == aRun && aActive.task == aTask;
  });
  if (erased == 0) {
    return;
  }
  worker.endedRuns.push_back({ .sequence = ++worker.lastSequence,
                               .task = aTask,
                               .run = aRun,
                               .outcome = RunOutcome::Succeeded });
  this->After(kCallDelay, [this, aWorker] { this->Respond(aWorker); });
}

void
SimulatedCell::Stop(RunOrder aOrder, Handler<OrderResult> aHandler)
{
  this->After(kCallDelay, [this, order = std::move(aOrder), handler = std::move(aHandler)] {
    this->EndRun(order.target.worker, order.task, order.run);
    this->Measure([&] { handler(OrderResult::Accepted); });
  });
}

void
SimulatedCell::Throttle(RunOrder /*aOrder*/, int /*aPercent*/, Handler<OrderResult> aHandler)
{
  this->After(kCallDelay, [this, handler = std::move(aHandler)] {
    this->Measure([&] { handler(OrderResult::Accepted); });
  });
}

void
SimulatedCell::Read(const RowRange& /*aRange*/, Handler<RowBatch> aHandler)
{
  aHandler(RowBatch{});
}

void
SimulatedCell::Watch(const std::string& /*aTable*/,
                     std::uint64_t /*aAfterVersion*/,
                     Milliseconds /*aMaxWait*/,
                     Handler<RowBatch> /*aHandler*/)
{
}

void
SimulatedCell::Commit(Transaction /*aTransaction*/, Handler<CommitResult> aHandler)
{
  this->After(kCommitDelay, [this, handler = std::move(aHandler)] {
    const CommitResult result{ .isCommitted = true, .version = ++this->storeVersion };
    this->Measure([&] { handler(result); });
  });
}

bool
SimulatedCell::IsEligible(const StepName& aStep, const WorkerId& aWorker) const
{
  constexpr std::size_t kBuckets = 1000;
  const auto hash = std::hash<std::string>{}(aStep.job.value + aWorker.value);
  return static_cast<double>(hash % kBuckets) < kEligibleFraction * static_cast<double>(kBuckets);
}

void
SimulatedCell::RequestAdvice(const std::string& aInstance,
                             AdviceRequest aRequest,
                             Handler<AdviceResponse> aHandler)
{
  auto& busyUntil = this->adviceBusyUntil[aInstance];
  busyUntil = std::max(busyUntil, this->clock.Now()) + aRequest.expectedDuration;
  const auto delay = busyUntil - this->clock.Now() + kCallDelay;
  this->After(delay, [this, request = std::move(aRequest), handler = std::move(aHandler)] {
    AdviceResponse response;
    for (const auto& worker : request.workers) {
      if (this->IsEligible(request.step, worker)) {
        response.tickets.push_back({ .worker = worker, .text = "ticket" });
      }
    }
    this->Measure([&] { handler(std::move(response)); });
  });
}

}
