#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

constexpr std::int64_t kCoresPerWorker = 10;
/// Longest time that a step may stand still, by the platform's rules.
constexpr Milliseconds kMaxStandstill{ 3000 };

/// A cell with the headrooms of the product, in which one workspace has a limit. A step of it could
/// run: its workers have room for it twice over, and less than half of the limit is in use.
class StepsThatCouldRun : public CellSchedulerFixture
{
protected:
  StepsThatCouldRun()
  {
    this->options.limitHeadroom = CellSchedulerOptions{}.limitHeadroom;
    this->options.urgentHeadroom = CellSchedulerOptions{}.urgentHeadroom;
    this->policy.workspaces[{ "other" }] = { .name = { "other" }, .weight = 1000.0 };
  }

  void AddWorkers(const std::string& aLabel, std::int64_t aCount)
  {
    for (std::int64_t number = 0; number < aCount; ++number) {
      this->entries.push_back(this->workers.Add(aLabel + std::to_string(number), kCoresPerWorker));
      this->entries.back().labels = { aLabel };
    }
  }

  void Begin()
  {
    this->BeginTerm();
    this->RunFor(Milliseconds{ 50 });
  }

  void SetLimit(std::int64_t aCores)
  {
    this->policy.workspaces[{ "team" }].quota = { .milliCores = aCores * 1000 };
  }

  /// Sets the priority of the queue; 0 is the most urgent.
  void SetPriority(std::uint32_t aPriority)
  {
    this->policy.routes.front().queue.priority = aPriority;
    this->scheduler->SetPolicy(std::make_shared<CellPolicy>(this->policy));
  }

  [[nodiscard]] static JobSpecification MakeLabelled(const std::string& aId,
                                                     const std::string& aLabel,
                                                     std::uint32_t aCount,
                                                     std::int64_t aCores,
                                                     std::int64_t aEstimateMs,
                                                     bool aIsGang = false)
  {
    auto job = MakeJob(aId, aCount, aCores, aEstimateMs);
    job.steps.front().requiredLabel = aLabel;
    job.steps.front().isGang = aIsGang;
    return job;
  }

  /// Lets tasks of a workspace run for long.
  void Run(JobSpecification aSpec, const std::string& aWorkspace)
  {
    aSpec.workspace = { aWorkspace };
    this->AcceptJob(aSpec);
    this->RunFor(Milliseconds{ 300 });
    ASSERT_EQ(this->CountStarts(aSpec.id.value), aSpec.steps.front().count);
  }

  /// Runs the cell until a job has started more than @p aStarts tasks.
  /// @return how long that took, at most about twice @ref kMaxStandstill
  [[nodiscard]] Milliseconds MeasureStandstill(const std::string& aJob, std::size_t aStarts = 0)
  {
    Milliseconds waited{ 0 };
    while (this->CountStarts(aJob) <= aStarts && waited < 2 * kMaxStandstill) {
      this->RunFor(Milliseconds{ 50 });
      waited += Milliseconds{ 50 };
    }
    return waited;
  }
};

}

// Load: a gang too wide for what is left of its workspace's limit, and single tasks behind it.
// Guards against a task that stands still below half of the limit because all of it is kept for the
// gang for as long as the gang waits.
TEST_F(StepsThatCouldRun, ATaskStartsBesideAGangThatWaitsForTheLimit)
{
  this->SetLimit(100);
  this->AddWorkers("busy", 20);
  this->AddWorkers("free", 20);
  this->Begin();
  this->Run(MakeLabelled("running", "busy", 4, kCoresPerWorker, 60'000), "team");
  this->AcceptJob(MakeLabelled("wide", "busy", 7, kCoresPerWorker, 10'000, true));
  this->RunFor(Milliseconds{ 100 });
  this->AcceptJob(MakeLabelled("waiting", "free", 1, 1, 10'000));
  EXPECT_LT(this->MeasureStandstill("waiting"), kMaxStandstill);
}

// Load: one gang too wide for what is left of its workspace's limit, and many small tasks that
// leave the limit to it. Guards against a gang that fits and is never looked at behind these, since
// a round skips the rest of a workspace after 64 steps beyond its limit.
TEST_F(StepsThatCouldRun, AGangStartsBehindTasksThatLeaveTheLimitToAnotherGang)
{
  constexpr int kTasks = 64;
  this->SetLimit(100);
  this->AddWorkers("busy", 20);
  this->AddWorkers("free", 20);
  this->Begin();
  this->Run(MakeLabelled("running", "busy", 4, kCoresPerWorker, 60'000), "team");
  this->AcceptJob(MakeLabelled("wide", "busy", 7, kCoresPerWorker, 10'000, true));
  this->RunFor(Milliseconds{ 100 });
  for (int number = 0; number < kTasks; ++number) {
    this->AcceptJob(MakeLabelled("narrow" + std::to_string(number), "busy", 1, 1, 15'000));
  }
  this->AcceptJob(MakeLabelled("waiting", "free", 2, 1, 20'000, true));
  EXPECT_LT(this->MeasureStandstill("waiting"), kMaxStandstill);
}

// Load: a backlog of gangs, each too wide for what is left of their workspace's limit. Guards
// against a gang that fits and is never looked at, since a round skips the rest of a workspace
// after 64 steps beyond its limit.
TEST_F(StepsThatCouldRun, AGangStartsBehindABacklogBeyondTheLimit)
{
  constexpr int kBacklog = 64;
  this->SetLimit(100);
  this->AddWorkers("busy", 20);
  this->AddWorkers("free", 20);
  this->Begin();
  this->Run(MakeLabelled("running", "busy", 4, kCoresPerWorker, 60'000), "team");
  for (int number = 0; number < kBacklog; ++number) {
    this->AcceptJob(
      MakeLabelled("wide" + std::to_string(number), "busy", 7, kCoresPerWorker, 10'000, true));
  }
  this->RunFor(Milliseconds{ 100 });
  this->AcceptJob(MakeLabelled("waiting", "free", 2, 1, 20'000, true));
  EXPECT_LT(this->MeasureStandstill("waiting"), kMaxStandstill);
}

// Load: urgent tasks fill the pool while part of a job runs. Guards against a job that stands still
// for what a pool keeps free, without a bound since one of its tasks has ended before.
TEST_F(StepsThatCouldRun, TheRestOfAStepStartsInAPoolThatIsFullButForIt)
{
  this->AddWorkers("busy", 98);
  this->AddWorkers("free", 2);
  this->Begin();
  this->AcceptJob(MakeLabelled("waiting", "free", 4, kCoresPerWorker, 10'000));
  this->RunFor(Milliseconds{ 300 });
  ASSERT_EQ(this->CountStarts("waiting"), 2U);
  this->SetPriority(0);
  this->Run(MakeLabelled("filling", "busy", 98, kCoresPerWorker, 60'000), "other");
  this->SetPriority(1);
  for (const auto& start : std::vector(this->workers.starts)) {
    if (start.task.job.value == "waiting") {
      this->workers.End(start.worker.value, start.task, RunOutcome::Succeeded);
    }
  }
  EXPECT_LT(this->MeasureStandstill("waiting", 2), kMaxStandstill);
}

// Load: a gang that needs idle workers, on each of which a small task runs. Guards against a task
// that stands still on workers with room because they are kept for the gang.
TEST_F(StepsThatCouldRun, ATaskStartsOnWorkersThatAreKeptForAGang)
{
  this->AddWorkers("busy", 20);
  this->AddWorkers("free", 4);
  this->Begin();
  auto small = MakeLabelled("small", "free", 4, 1, 60'000);
  small.steps.front().maxTasksPerWorker = 1;
  this->Run(small, "other");
  this->AcceptJob(MakeLabelled("wide", "free", 4, kCoresPerWorker, 10'000, true));
  this->RunFor(Milliseconds{ 100 });
  this->AcceptJob(MakeLabelled("waiting", "free", 1, 1, 10'000));
  EXPECT_LT(this->MeasureStandstill("waiting"), kMaxStandstill);
}

namespace {

/// Steps that need advice, of which each call takes half a second and more.
class StepsWithSlowAdvice : public StepsThatCouldRun
{
protected:
  StepsWithSlowAdvice()
  {
    auto& queue = this->policy.routes.front().queue;
    queue.needsAdvice = true;
    queue.advice = { .baseMs = 540.0, .perWorkerMs = 7.7, .ticketValidity = Milliseconds{ 1500 } };
    this->advice.duration = [&queue](const AdviceRequest& aRequest) {
      return Milliseconds(static_cast<std::int64_t>(
        queue.advice.baseMs +
        queue.advice.perWorkerMs * static_cast<double>(aRequest.workers.size())));
    };
  }
};

}

// Load: a task that a tenth of the idle workers may run, those that the order of requests names
// last. Guards against a task that asks for ten workers at a time until it finds one.
TEST_F(StepsWithSlowAdvice, ATaskStartsThoughTheFirstWorkersNamedAreNotAdmitted)
{
  this->AddWorkers("closed", 90);
  this->AddWorkers("open", 10);
  this->advice.isEligible = [](const WorkerId& aWorker) {
    return aWorker.value.starts_with("open");
  };
  this->Begin();
  this->AcceptJob(MakeLabelled("waiting", "", 1, 1, 10'000));
  EXPECT_LT(this->MeasureStandstill("waiting"), kMaxStandstill);
}

// Load: a wide gang of which each worker may run one task, in an idle cell. Guards against a gang
// that asks for a few workers at a time, since a worker counts as room for as many tasks as fit.
TEST_F(StepsWithSlowAdvice, AWideGangWithOneTaskPerWorkerStartsInAnIdleCell)
{
  this->AddWorkers("free", 350);
  this->Begin();
  this->scheduler->SetInstances({ "i1", "i2", "i3", "i4", "i5", "i6" });
  auto gang = MakeLabelled("waiting", "free", 99, 1, 30'000, true);
  gang.steps.front().maxTasksPerWorker = 1;
  this->AcceptJob(gang);
  EXPECT_LT(this->MeasureStandstill("waiting"), kMaxStandstill);
}

// Load: requests for gangs, each longer than a second, beyond what the instances can send. Guards
// against a step with short requests that stands still although the instance that is kept for them
// is idle, since the long requests that wait count as a backlog of all.
TEST_F(StepsThatCouldRun, AStepWithShortRequestsStartsBesideABacklogOfLongOnes)
{
  constexpr int kGangs = 40;
  auto& queue = this->policy.routes.front().queue;
  queue.needsAdvice = true;
  queue.advice = { .baseMs = 540.0, .perWorkerMs = 7.7, .ticketValidity = Milliseconds{ 1500 } };
  QueueRoute route{ .host = "host", .pathPrefix = "/short/" };
  route.queue = queue;
  route.queue.name = { "short" };
  route.queue.advice = { .baseMs = 20.0,
                         .perWorkerMs = 0.5,
                         .ticketValidity = Milliseconds{ 1500 } };
  this->policy.AddRoute(route);
  this->advice.duration = [this](const AdviceRequest& aRequest) {
    const auto& advice = aRequest.step.job.value == "waiting"
                           ? this->policy.routes.back().queue.advice
                           : this->policy.routes.front().queue.advice;
    return Milliseconds(static_cast<std::int64_t>(
      advice.baseMs + advice.perWorkerMs * static_cast<double>(aRequest.workers.size())));
  };
  this->AddWorkers("free", 100);
  this->Begin();
  for (int number = 0; number < kGangs; ++number) {
    auto gang = MakeLabelled("gang" + std::to_string(number), "free", 5, 2, 10'000, true);
    gang.workspace = { "other" };
    this->AcceptJob(gang);
  }
  this->RunFor(Milliseconds{ 100 });
  auto job = MakeLabelled("waiting", "free", 2, 1, 20'000, true);
  job.queue = this->policy.routes.back().queue;
  this->AcceptJob(job);
  EXPECT_LT(this->MeasureStandstill("waiting"), kMaxStandstill);
}

namespace {

/// Lets time pass with each look at it, as on a machine that gives the leader a part of a core.
class SlowClock final : public Clock
{
public:
  SlowClock(ManualClock& aClock, const Milliseconds& aTimePerLook)
    : clock(aClock)
    , timePerLook(aTimePerLook)
  {
  }

  [[nodiscard]] TimePoint Now() const override
  {
    this->clock.Advance(this->timePerLook);
    return this->clock.Now();
  }

private:
  ManualClock& clock;
  const Milliseconds& timePerLook;
};

}

// Load: a backlog of steps without room, of which a round gets through a part. Guards against a
// step with room at the end of the order that no round ever reaches, since each begins at the top.
TEST_F(StepsThatCouldRun, AStepStartsBehindMoreStepsThanARoundGetsThrough)
{
  constexpr int kBacklog = 1000;
  /// Of 16 placement attempts.
  Milliseconds timePerLook{ 0 };
  this->clockOverride = std::make_unique<SlowClock>(this->clock, timePerLook);
  this->AddWorkers("busy", 20);
  this->AddWorkers("free", 20);
  this->Begin();
  this->Run(MakeLabelled("running", "busy", 20, kCoresPerWorker, 60'000), "other");
  for (int number = 0; number < kBacklog; ++number) {
    auto job = MakeLabelled("wide" + std::to_string(number), "busy", 1, 5, 10'000);
    job.workspace = { "other" };
    this->AcceptJob(job);
  }
  this->RunFor(Milliseconds{ 100 });
  timePerLook = Milliseconds{ 2 };
  const auto begin = this->clock.Now();
  this->AcceptJob(MakeLabelled("waiting", "free", 1, 1, 20'000));
  while (this->CountStarts("waiting") == 0 && this->clock.Now() - begin < 2 * kMaxStandstill) {
    this->RunFor(Milliseconds{ 10 });
  }
  EXPECT_LT(this->clock.Now() - begin, kMaxStandstill);
}

// Load: jobs that fail wherever they run, at the only workers that have their label. Guards against
// a job that stands still because all its workers are in quarantine at the same time.
TEST_F(StepsThatCouldRun, AJobStartsAfterOthersHaveFailedAtAllItsWorkers)
{
  constexpr int kFailingJobs = 6;
  this->policy.routes.front().queue.maxAttempts = 1;
  this->AddWorkers("busy", 20);
  this->AddWorkers("free", 2);
  this->Begin();
  for (int number = 0; number < kFailingJobs; ++number) {
    auto failing = MakeLabelled("failing" + std::to_string(number), "free", 1, 3, 10'000);
    failing.queue.maxAttempts = 1;
    this->Run(failing, "other");
  }
  this->workers.EndAll(RunOutcome::Failed);
  this->RunFor(Milliseconds{ 100 });
  this->AcceptJob(MakeLabelled("waiting", "free", 1, 1, 10'000));
  EXPECT_LT(this->MeasureStandstill("waiting"), kMaxStandstill);
}

// Load: short requests of other steps that keep all instances busy. Guards against a gang that
// stands still since no instance is ever without a call, as a long request needs.
TEST_F(StepsThatCouldRun, AGangStartsBesideASteadyStreamOfShortRequests)
{
  auto& queue = this->policy.routes.front().queue;
  queue.needsAdvice = true;
  queue.advice = { .baseMs = 540.0, .perWorkerMs = 7.7, .ticketValidity = Milliseconds{ 1500 } };
  QueueRoute route{ .host = "host", .pathPrefix = "/short/" };
  route.queue = queue;
  route.queue.name = { "short" };
  route.queue.advice = { .baseMs = 100.0,
                         .perWorkerMs = 0.4,
                         .ticketValidity = Milliseconds{ 1500 } };
  this->policy.AddRoute(route);
  this->advice.duration = [this](const AdviceRequest& aRequest) {
    const auto& advice = aRequest.step.job.value.starts_with("narrow")
                           ? this->policy.routes.back().queue.advice
                           : this->policy.routes.front().queue.advice;
    return Milliseconds(static_cast<std::int64_t>(
      advice.baseMs + advice.perWorkerMs * static_cast<double>(aRequest.workers.size())));
  };
  this->AddWorkers("free", 100);
  this->Begin();
  int narrow = 0;
  const auto acceptNarrow = [&] {
    auto job = MakeLabelled("narrow" + std::to_string(narrow++), "free", 1, 1, 20'000);
    job.workspace = { "other" };
    job.queue = this->policy.routes.back().queue;
    this->AcceptJob(job);
  };
  const Milliseconds interval{ 30 };
  for (Milliseconds elapsed{ 0 }; elapsed < Milliseconds{ 500 }; elapsed += interval) {
    acceptNarrow();
    this->RunFor(interval);
  }
  this->AcceptJob(MakeLabelled("waiting", "free", 5, 1, 10'000, true));
  Milliseconds waited{ 0 };
  for (; this->CountStarts("waiting") == 0 && waited < 2 * kMaxStandstill; waited += interval) {
    acceptNarrow();
    this->RunFor(interval);
  }
  EXPECT_LT(waited, kMaxStandstill);
}

// Load: more batch tasks than the pool can run at a time. Guards against an urgent task that finds
// no room, since batch tasks whose workers have room only once take all that the pool keeps free.
TEST_F(StepsThatCouldRun, LeaveRoomForAnUrgentTaskInAnOverloadedPool)
{
  constexpr int kBacklog = 300;
  QueueRoute route{ .host = "host", .pathPrefix = "/urgent/" };
  route.queue = this->policy.routes.front().queue;
  route.queue.name = { "urgent" };
  route.queue.priority = 0;
  this->policy.AddRoute(route);
  this->AddWorkers("busy", 100);
  this->Begin();
  for (int number = 0; number < kBacklog; ++number) {
    this->AcceptJob(MakeLabelled("batch" + std::to_string(number), "busy", 1, 5, 20'000));
    this->RunFor(Milliseconds{ 10 });
  }
  this->RunFor(Milliseconds{ 5000 });
  auto job = MakeLabelled("urgent", "busy", 1, 5, 1000);
  job.queue = this->policy.routes.back().queue;
  this->AcceptJob(job);
  EXPECT_LT(this->MeasureStandstill("urgent"), kMaxStandstill);
}

// Load: workers of one label that have just started, in a pool with others that are warm. Guards
// against a task that needs more than the usable quarter of each worker that may run it.
TEST_F(StepsThatCouldRun, ATaskStartsIfAllWorkersThatMayRunItAreCold)
{
  this->zones = EvacuatedZones({ .limitsColdWorkers = true });
  this->AddWorkers("free", 4);
  for (auto& entry : this->entries) {
    entry.coldLeft = Milliseconds{ 30'000 };
  }
  this->AddWorkers("busy", 20);
  this->Begin();
  this->AcceptJob(MakeLabelled("waiting", "free", 1, 6, 10'000));
  EXPECT_LT(this->MeasureStandstill("waiting"), kMaxStandstill);
}

}
