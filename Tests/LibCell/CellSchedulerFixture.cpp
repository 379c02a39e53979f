#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

void
FakeAdvicePort::RequestAdvice(const std::string& aInstance,
                              AdviceRequest aRequest,
                              Handler<AdviceResponse> aHandler)
{
  auto& busyUntil = this->busyUntil[aInstance];
  busyUntil = std::max(busyUntil, this->clock.Now()) +
              (this->duration ? this->duration(aRequest) : Milliseconds{ 0 });
  this->dueTimes.push_back(busyUntil);
  this->instances.push_back(aInstance);
  this->requests.push_back(aRequest);
  this->pending.emplace_back(std::move(aRequest), std::move(aHandler));
}

void
FakeAdvicePort::Deliver()
{
  if (this->isPaused) {
    return;
  }
  auto batch = std::move(this->pending);
  const auto due = std::move(this->dueTimes);
  this->pending.clear();
  this->dueTimes.clear();
  for (std::size_t index = 0; index < batch.size(); ++index) {
    auto& [request, handler] = batch[index];
    if (due[index] > this->clock.Now()) {
      this->dueTimes.push_back(due[index]);
      this->pending.push_back(std::move(batch[index]));
      continue;
    }
    if (this->failuresLeft > 0) {
      --this->failuresLeft;
      handler(NotRun(ErrorCode::Unavailable, "lost"));
      continue;
    }
    AdviceResponse response;
    for (const auto& worker : request.workers) {
      if (this->isEligibleFor ? this->isEligibleFor(request.step, worker)
                              : this->isEligible(worker)) {
        response.tickets.push_back(
          { .worker = worker, .text = "t" + std::to_string(++this->ticketsIssued) });
        this->issuedAt[response.tickets.back().text] = this->clock.Now();
      }
    }
    handler(std::move(response));
  }
}

CellSchedulerFixture::CellSchedulerFixture()
{
  this->clock.Advance(Milliseconds{ 1'000'000 });
  this->options.urgentHeadroom = 0.0;
  this->options.limitHeadroom = 0.0;
  this->policy.version = 1;
  this->policy.pools["pool"] = { .name = "pool" };
  QueueRoute route{ .host = "host", .pathPrefix = "/q/" };
  route.queue = { .name = { "queue" },
                  .pool = "pool",
                  .priority = 1,
                  .maxAttempts = 3,
                  .stretch = 4.0,
                  .slack = Milliseconds{ 1000 } };
  this->policy.AddRoute(route);
  this->policy.workspaces[{ "team" }] = { .name = { "team" }, .weight = 1000.0 };
}

JobSpecification
CellSchedulerFixture::MakeJob(const std::string& aId,
                              std::uint32_t aCount,
                              std::int64_t aCores,
                              std::int64_t aEstimateMs)
{
  JobSpecification spec{ .id = { aId }, .workspace = { "team" } };
  spec.queue = {
    .name = { "queue" }, .pool = "pool", .priority = 1, .maxAttempts = 3, .stretch = 4.0
  };
  spec.payload = "payload";
  spec.steps.push_back({ .count = aCount,
                         .demand = { .milliCores = aCores * 1000, .memoryMiB = 100 },
                         .estimate = Milliseconds(aEstimateMs) });
  return spec;
}

void
CellSchedulerFixture::AcceptJob(const JobSpecification& aSpec)
{
  const auto key = JobRowKey(aSpec.id, JobRowKind::Specification);
  this->store.Put(key, EncodeSpecification(aSpec));
  if (this->scheduler) {
    this->scheduler->OnJobRows({ this->store.rows.at(key) });
  }
}

std::uint64_t
CellSchedulerFixture::WriteTermRows()
{
  const auto token = ++this->store.version;
  for (std::uint32_t partition = 0; partition < kProgressPartitionCount; ++partition) {
    const auto key = ProgressTermRowKey(partition);
    this->store.rows[key] = { .key = key, .value = "{}", .version = token };
  }
  return token;
}

void
CellSchedulerFixture::BeginTerm(bool aHasPredecessor,
                                Milliseconds aPriorLeasesExpiry,
                                std::vector<WorkerId> aPreviousWorkers)
{
  this->scheduler = std::make_unique<CellScheduler>(
    CellScheduler::Dependencies{ .workers = this->workers,
                                 .store = this->store,
                                 .advice = this->advice,
                                 .clock = this->clockOverride ? *this->clockOverride : this->clock,
                                 .log = this->log,
                                 .metrics = this->metrics,
                                 .wallClock = [this] { return this->wallTime; },
                                 .onLeadershipLost = [this] { this->hasLostLeadership = true; } },
    this->options);
  this->scheduler->SetPolicy(std::make_shared<CellPolicy>(this->policy));
  if (this->hasReadZones) {
    this->scheduler->SetEvacuatedZones(this->zones);
  }
  this->scheduler->SetInstances({ "one", "two", "three" });
  this->scheduler->SetTermEnd(this->clock.Now() + Milliseconds{ 1'000'000 });
  this->scheduler->SetPriorLeasesExpiry(this->clock.Now() + aPriorLeasesExpiry);
  for (const auto& entry : this->entries) {
    if (this->recordNamesListedWorkers) {
      aPreviousWorkers.push_back(entry.id);
    }
  }
  this->fencingToken = this->WriteTermRows();
  this->scheduler->BeginTerm({ .fencingToken = this->fencingToken,
                               .previousWorkers = std::move(aPreviousWorkers),
                               .drainingJobs = this->drainingJobs,
                               .suspendedLeases = this->suspendedLeases,
                               .fencedIncarnations = this->fencedIncarnations,
                               .hadPredecessor = aHasPredecessor,
                               .hasStartRecords = this->hasStartRecords,
                               .jobRows = this->store.RowsOf(std::string(kJobTable)),
                               .workers = this->entries });
}

void
CellSchedulerFixture::ListRestartedWorkers()
{
  for (const auto& entry : this->workers.Advance()) {
    std::erase_if(this->entries,
                  [&entry](const WorkerEntry& aEntry) { return aEntry.machine == entry.machine; });
    this->entries.push_back(entry);
    this->scheduler->OnWorkerEntry(entry);
  }
}

std::size_t
CellSchedulerFixture::CountStarts(const std::string& aJob) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    this->workers.starts, [&aJob](const auto& aStart) { return aStart.task.job.value == aJob; }));
}

void
CellSchedulerFixture::RunFor(Milliseconds aDuration)
{
  constexpr Milliseconds kStep{ 10 };
  for (auto elapsed = Milliseconds{ 0 }; elapsed < aDuration; elapsed += kStep) {
    this->scheduler->Tick();
    if (this->publishesWorkers) {
      this->scheduler->OnReportStored(this->scheduler->MakeLeaderReport(), ++this->store.version);
    }
    this->ListRestartedWorkers();
    this->workers.Deliver();
    this->advice.Deliver();
    this->clock.Advance(kStep);
  }
}

}
