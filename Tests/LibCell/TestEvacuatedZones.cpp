#include "CellSchedulerFixture.h"

#include <LibCell/EvacuationDirectory.h>
#include <algorithm>

namespace zinc::cell::test {

namespace {

/// A cell whose workers are named after their zones: a1, a2, b1, ...
class EvacuatedZonesTest : public CellSchedulerFixture
{
protected:
  EvacuatedZonesTest() { this->policy.routes.front().queue.maxAttempts = 100; }

  void AddWorkers(const std::string& aZones, int aPerZone, std::int64_t aCores)
  {
    for (const char zone : aZones) {
      for (int number = 1; number <= aPerZone; ++number) {
        const auto id = zone + std::to_string(number);
        this->workers.Add(id, aCores, "r-" + id);
        auto& entry = this->workers.At(id).entry;
        entry.zone = { std::string(1, zone) };
        entry.labels.push_back("zone-" + entry.zone.value);
        this->entries.push_back(entry);
      }
    }
  }

  void SetEvacuated(const std::set<ZoneId>& aZones)
  {
    this->zones.Update(aZones, this->clock.Now());
    if (this->scheduler) {
      this->scheduler->SetEvacuatedZones(this->zones);
    }
  }

  [[nodiscard]] std::size_t CountStartsIn(const std::string& aZone) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(this->workers.starts, [&aZone](const ObservedStart& aStart) {
        return aStart.worker.value.starts_with(aZone);
      }));
  }

  [[nodiscard]] static JobSpecification MakeGang(const std::string& aId,
                                                 std::uint32_t aCount,
                                                 std::int64_t aCores)
  {
    auto gang = MakeJob(aId, aCount, aCores, 6000);
    gang.steps.front().isGang = true;
    return gang;
  }

  [[nodiscard]] Gauge& RunningIn(const std::string& aZone)
  {
    return this->metrics.FindGauge({ .name = "zinc_cell_evacuated_zone_tasks" },
                                   { { "zone", aZone } });
  }
};

}

// Guards against starts in an evacuated zone, and against an evacuation that harms what runs there:
// its leases must be renewed beyond their duration.
TEST_F(EvacuatedZonesTest, KeepsRunningWorkAndStartsNothingElse)
{
  this->AddWorkers("ab", 2, 4);
  this->AcceptJob(MakeJob("before", 16, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStartsIn("a"), 8U);
  this->SetEvacuated({ { "a" } });
  EXPECT_EQ(this->RunningIn("a").Value(), 8.0);
  this->AcceptJob(MakeJob("after", 20, 1));
  this->AcceptJob(MakeGang("gang", 4, 1));
  this->RunFor(Milliseconds{ 20'000 });
  EXPECT_EQ(this->workers.At("a1").running.size() + this->workers.At("a2").running.size(), 8U);
  EXPECT_TRUE(this->workers.stops.empty());
  for (int round = 0; round < 4; ++round) {
    this->workers.EndAll();
    this->RunFor(Milliseconds{ 300 });
  }
  EXPECT_EQ(this->CountStartsIn("a"), 8U);
  for (const auto* id : { "before", "after", "gang" }) {
    EXPECT_EQ(this->StatusOf(id).outcome, JobOutcome::Succeeded) << id;
  }
  EXPECT_EQ(this->RunningIn("a").Value(), 0.0);
}

// Guards against a service task that is stopped by an evacuation, or starts in the zone again.
TEST_F(EvacuatedZonesTest, RestartsAnEndedServiceTaskElsewhere)
{
  this->AddWorkers("a", 1, 4);
  auto service = MakeJob("service", 1, 2);
  service.steps.front().isService = true;
  this->AcceptJob(service);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  this->AddWorkers("b", 1, 4);
  this->scheduler->OnWorkerEntry(this->entries.back());
  this->SetEvacuated({ { "a" } });
  this->RunFor(Milliseconds{ 1000 });
  ASSERT_EQ(this->workers.starts.size(), 1U);
  this->workers.EndAll(RunOutcome::Failed);
  this->RunFor(Milliseconds{ 1000 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  EXPECT_EQ(this->workers.starts.back().worker.value, "b1");
}

// Guards against a gang that starts at workers reserved before the request, and against requests to
// the policy service, sent or queued, that name workers of the zone.
TEST_F(EvacuatedZonesTest, ReleasesGangsAndRequestsNoAdviceForTheZone)
{
  auto& queue = this->policy.routes.front().queue;
  queue.needsAdvice = true;
  queue.advice = { .baseMs = 500.0, .ticketValidity = Milliseconds{ 300 } };
  QueueRoute plain{ .host = "host", .pathPrefix = "/plain/" };
  plain.queue = { .name = { "plain" }, .pool = "pool", .priority = 0 };
  this->policy.AddRoute(plain);
  this->AddWorkers("ab", 3, 4);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeGang("full", 6, 4));
  this->RunFor(Milliseconds{ 200 });
  this->AcceptJob(MakeGang("gang", 5, 4));
  this->RunFor(Milliseconds{ 1000 });
  // The tickets of the second gang have expired, so it reserves workers and asks for new ones.
  this->advice.isPaused = true;
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 60 });
  // Queued behind the requests in flight.
  for (int number = 0; number < 8; ++number) {
    this->AcceptJob(MakeGang("queued" + std::to_string(number), 2, 4));
  }
  this->RunFor(Milliseconds{ 100 });
  const auto requestsBefore = this->advice.requests.size();
  const auto startsBefore = this->CountStartsIn("a");
  this->SetEvacuated({ { "a" } });
  auto free = MakeJob("free", 3, 4);
  free.queue = plain.queue;
  this->AcceptJob(free);
  this->RunFor(this->options.minFlushInterval + Milliseconds{ 50 });
  EXPECT_EQ(this->CountStartsIn("b"), 6U) << "room reserved elsewhere for the gang is free as well";
  this->advice.isPaused = false;
  this->RunFor(Milliseconds{ 300 });
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStartsIn("a"), startsBefore);
  EXPECT_GT(this->CountStartsIn("b"), 6U);
  ASSERT_GT(this->advice.requests.size(), requestsBefore);
  for (auto index = requestsBefore; index < this->advice.requests.size(); ++index) {
    for (const auto& worker : this->advice.requests[index].workers) {
      EXPECT_FALSE(worker.value.starts_with("a")) << worker.value;
    }
  }
}

// Guards against a gang that keeps its reservation while it waits for the end of an evacuation: the
// loss of a reserved worker leaves too few workers outside the zone.
TEST_F(EvacuatedZonesTest, ReleasesTheReservationOfAGangThatNeedsTheZone)
{
  auto& queue = this->policy.routes.front().queue;
  queue.needsAdvice = true;
  queue.advice = { .baseMs = 500.0, .ticketValidity = Milliseconds{ 300 } };
  QueueRoute plain{ .host = "host", .pathPrefix = "/plain/" };
  plain.queue = { .name = { "plain" }, .pool = "pool", .priority = 1 };
  this->policy.AddRoute(plain);
  this->AddWorkers("ab", 3, 4);
  this->SetEvacuated({ { "a" } });
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  this->AcceptJob(MakeGang("full", 3, 4));
  this->RunFor(Milliseconds{ 200 });
  ASSERT_EQ(this->CountStartsIn("b"), 3U);
  this->AcceptJob(MakeGang("gang", 3, 4));
  this->RunFor(Milliseconds{ 1000 });
  // The tickets of the second gang have expired, so it reserves workers and asks for new ones.
  this->advice.isPaused = true;
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 100 });
  // The response arrives before the next placement round sees the loss of the worker.
  this->scheduler->OnWorkerUnlisted({ "b3" });
  this->advice.isPaused = false;
  this->advice.Deliver();
  auto free = MakeJob("free", 2, 4);
  free.queue = plain.queue;
  this->AcceptJob(free);
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStartsIn("b"), 5U) << "the other reserved workers are free again";
  EXPECT_EQ(this->CountStartsIn("a"), 0U);
}

// Guards against the start of a crash suspect where it was recorded before the request.
TEST_F(EvacuatedZonesTest, ChoosesRecordedStartsAgain)
{
  this->AddWorkers("a", 2, 4);
  this->AcceptJob(MakeJob("suspect", 1, 2));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 500 });
  this->workers.Crash(this->workers.starts.front().worker.value);
  this->RunFor(Milliseconds{ 1500 });
  this->store.mode = StoreMode::DelayingResponses;
  this->RunFor(Milliseconds{ 8000 });
  ASSERT_EQ(this->workers.starts.size(), 1U) << "the record of the next start is not stored yet";
  this->AddWorkers("b", 1, 4);
  this->scheduler->OnWorkerEntry(this->entries.back());
  this->SetEvacuated({ { "a" } });
  this->store.mode = StoreMode::Available;
  this->store.DeliverResponses();
  this->RunFor(Milliseconds{ 1000 });
  ASSERT_EQ(this->workers.starts.size(), 2U);
  EXPECT_EQ(this->workers.starts.back().worker.value, "b1");
}

// Guards against starts by a new leader that does not know of a request yet: the takeover happens
// while the request is in force. Running work there must be adopted all the same.
TEST_F(EvacuatedZonesTest, PlacesNothingBeforeANewLeaderHasReadTheZones)
{
  this->AddWorkers("ab", 1, 4);
  this->AcceptJob(MakeJob("before", 8, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  this->AcceptJob(MakeJob("after", 4, 1));
  this->hasReadZones = false;
  this->BeginTerm(true);
  this->workers.End("b1", this->workers.starts.back().task, RunOutcome::Succeeded);
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 9000 });
  EXPECT_EQ(this->workers.starts.size(), 8U);
  EXPECT_EQ(this->StatusOf("before").outcome, JobOutcome::Succeeded);
  this->SetEvacuated({ { "a" } });
  this->RunFor(Milliseconds{ 100 });
  EXPECT_EQ(this->CountStartsIn("a"), 4U);
  EXPECT_EQ(this->workers.starts.size(), 12U);
}

// Guards against the loss of one of two requests made at the same time, and against work that may
// run only in an evacuated zone and never starts after the request is withdrawn.
TEST_F(EvacuatedZonesTest, HoldsWorkThatMayRunOnlyInOneOfTwoEvacuatedZones)
{
  this->AddWorkers("abc", 1, 8);
  this->SetEvacuated({ { "a" }, { "b" } });
  auto bound = MakeJob("bound", 1, 1);
  bound.steps.front().requiredLabel = "zone-a";
  this->AcceptJob(bound);
  this->AcceptJob(MakeJob("free", 8, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 3000 });
  EXPECT_EQ(this->CountStartsIn("c"), 8U);
  EXPECT_EQ(this->workers.starts.size(), 8U);
  this->SetEvacuated({ { "b" } });
  this->RunFor(Milliseconds{ 100 });
  EXPECT_EQ(this->CountStartsIn("a"), 1U);
  EXPECT_EQ(this->CountStartsIn("b"), 0U);
}

// Guards against the whole backlog that rushes to a zone as soon as its request is withdrawn, while
// the workers of another zone are cut off and their load waits too.
TEST_F(EvacuatedZonesTest, ReturnsLoadInStepsWhileAnotherZoneIsPartitioned)
{
  this->AddWorkers("abc", 1, 8);
  this->SetEvacuated({ { "a" } });
  this->AcceptJob(MakeJob("backlog", 64, 1, 60'000));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 500 });
  ASSERT_EQ(this->workers.starts.size(), 16U);
  this->workers.At("c1").isReachable = false;
  this->RunFor(Milliseconds{ 2000 });
  this->SetEvacuated({});
  const std::vector<std::size_t> perStep{ 2, 4, 6, 8 };
  for (const auto started : perStep) {
    this->RunFor(Milliseconds{ 1900 });
    EXPECT_EQ(this->CountStartsIn("a"), started);
    this->RunFor(Milliseconds{ 100 });
  }
}

// Guards against a rush to a worker that restarts under its id while it is still cold.
TEST_F(EvacuatedZonesTest, BeginsTheStepsAnewWhenAColdWorkerRestarts)
{
  this->zones = EvacuatedZones({ .limitsColdWorkers = true });
  this->AddWorkers("ab", 1, 8);
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  auto entry = this->entries.front();
  entry.coldLeft = Milliseconds{ 8000 };
  this->scheduler->OnWorkerEntry(entry);
  this->RunFor(Milliseconds{ 6000 });
  entry.incarnation = ++this->workers.At("a1").entry.incarnation;
  this->scheduler->OnWorkerEntry(entry);
  this->AcceptJob(MakeJob("backlog", 64, 1, 60'000));
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->CountStartsIn("a"), 2U);
  EXPECT_EQ(this->CountStartsIn("b"), 8U);
}

// Guards against a rush to workers that have just started, and against a cell that holds back load
// although all its workers have just started.
TEST(EvacuatedZones, LimitsWorkersThatAreColdByTheirRow)
{
  EvacuatedZones zones({ .limitsColdWorkers = true });
  const TimePoint now{ Milliseconds{ 1000 } };
  Worker cold;
  cold.entry.capacity = { .milliCores = 8000, .memoryMiB = 800 };
  cold.used = { .milliCores = 1000 };
  Worker warm = cold;
  UpdateColdTime(cold, Milliseconds{ 8000 }, now);
  const std::vector<Worker*> both{ &cold, &warm };
  zones.WithholdColdCapacity(both, now);
  EXPECT_EQ(cold.FreeResources().milliCores, 1000);
  EXPECT_EQ(warm.FreeResources().milliCores, 7000);
  // Later rows report the time that is left.
  UpdateColdTime(cold, Milliseconds{ 4000 }, now + Milliseconds{ 4000 });
  EXPECT_EQ(zones.UsableParts(cold, now + Milliseconds{ 4000 }), 2);
  EXPECT_EQ(zones.UsableParts(cold, now + Milliseconds{ 8000 }), 4);
  const std::vector<Worker*> onlyCold{ &cold };
  zones.WithholdColdCapacity(onlyCold, now);
  EXPECT_EQ(cold.FreeResources().milliCores, 7000);
  EXPECT_EQ(EvacuatedZones().UsableParts(cold, now), 4) << "not in force without the contract";
  // There is always another place for the load of a zone that was evacuated until now.
  zones.Update({ cold.entry.zone }, now);
  zones.Update({}, now);
  zones.WithholdColdCapacity(onlyCold, now);
  EXPECT_EQ(cold.FreeResources().milliCores, 1000);
  zones.WithholdColdCapacity(onlyCold, now + Milliseconds{ 6000 });
  EXPECT_EQ(cold.FreeResources().milliCores, 7000);
}

// Guards against a wrong reason of a wait: only a step that no other worker could run waits for the
// end of an evacuation.
TEST(EvacuatedZones, NamesTheEvacuationAsTheReasonOfAWait)
{
  Worker small;
  small.entry = { .labels = { "a" }, .capacity = { .milliCores = 4000 } };
  Worker large;
  large.number = 1;
  large.entry = { .labels = { "a", "b" }, .capacity = { .milliCores = 8000 } };
  const std::vector<Worker*> usable{ &small };
  const std::vector<Worker*> evacuated{ &large };
  StepSpecification step{ .count = 2, .demand = { .milliCores = 3000 } };
  QueuePolicy queue;
  StepRun run;
  const Candidate candidate{ .run = &run, .specification = &step, .queue = &queue };
  const auto needs = [&] { return NeedsEvacuatedWorkers(candidate, usable, evacuated); };
  EXPECT_FALSE(needs());
  step.isGang = true;
  EXPECT_TRUE(needs());
  step.isGang = false;
  step.requiredLabel = "b";
  EXPECT_TRUE(needs());
  step.requiredLabel = "c";
  EXPECT_FALSE(needs());
  step.requiredLabel = "";
  queue.needsAdvice = true;
  run.advice.MarkRequested(small.number);
  EXPECT_TRUE(needs()) << "no other worker is eligible";
  run.advice.requestsInFlight = 1;
  EXPECT_FALSE(needs());
}

// Guards against a withdrawal that is missed because the watch lost the deletion, against a request
// that is forgotten after a change of another row, and against foreign rows.
TEST(EvacuationDirectory, FollowsChangesAndSnapshots)
{
  const Logger log{ { .level = LogLevel::Error } };
  EvacuationDirectory directory(
    [](std::string_view aKey) -> Result<std::optional<ZoneId>> {
      if (aKey == "bad") {
        return NotRun(ErrorCode::BadRequest, "bad");
      }
      return aKey == "document" ? std::optional<ZoneId>() : ZoneId{ std::string(aKey) };
    },
    {},
    log);
  const auto row = [](const std::string& aKey, bool aIsDeleted = false) {
    return Row{ .key = { .table = "t", .key = aKey }, .isDeleted = aIsDeleted };
  };
  const auto isEvacuated = [&](const char* aZone) {
    return directory.Zones().IsEvacuated({ aZone });
  };
  EXPECT_TRUE(directory.Apply({ .rows = { row("a"), row("b"), row("bad") } }, {}));
  EXPECT_FALSE(directory.Apply({ .rows = { row("document"), row("bad"), row("a") } }, {}));
  EXPECT_TRUE(isEvacuated("a") && isEvacuated("b"));
  EXPECT_TRUE(directory.Apply({ .rows = { row("a", true) } }, {}));
  EXPECT_FALSE(isEvacuated("a"));
  EXPECT_TRUE(directory.Apply({ .rows = { row("document"), row("c") }, .isSnapshot = true }, {}));
  EXPECT_TRUE(isEvacuated("c") && !isEvacuated("b"));
}

}
