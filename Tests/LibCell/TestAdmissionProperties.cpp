#include "CellSchedulerFixture.h"
#include <LibCell/GatedIntake.h>

#include <algorithm>
#include <rapidcheck/gtest.h>
#include <set>

namespace zinc::cell::test {

namespace {

/// What happens in one step of a history.
enum class Event : std::uint8_t
{
  Submit,
  SwitchGate,
  LoseResponses,
  DelayResponses,
  LoseStore,
  RestoreStore,
};

constexpr std::array kEvents = { Event::Submit,     Event::Submit,        Event::Submit,
                                 Event::SwitchGate, Event::LoseResponses, Event::DelayResponses,
                                 Event::LoseStore,  Event::RestoreStore };
constexpr std::size_t kInstanceCount = 2;
constexpr int kIdCount = 5;

/// Two receiving instances with one store, and the leader that runs what is in it.
class AdmissionHistory : public CellSchedulerFixture
{
protected:
  struct Receiver
  {
    explicit Receiver(AdmissionHistory& aTest)
      : store(aTest.CellSchedulerFixture::store, aTest.clock, aTest.log, aTest.metrics)
      , intake(this->store, aTest.clock)
      , gated({ .store = this->store,
                .intake = this->intake,
                .log = aTest.log,
                .metrics = aTest.metrics,
                .findForecast = [this, &aTest] {
                  return this->isGateOpen
                           ? ForecastView{}
                           : ForecastView{ .waits = aTest.waits, .age = Milliseconds{ 100 } };
                } })
    {
    }

    bool isGateOpen = true;
    MonitoredStore store;
    Intake intake;
    GatedIntake gated;
  };

  /// What callers know of an id.
  struct Known
  {
    int attempts = 0;
    int refusals = 0;
    bool isAccepted = false;
  };

  [[nodiscard]] bool IsStored(const std::string& aId) const
  {
    return this->store.rows.contains(JobRowKey({ aId }, JobRowKind::Specification));
  }

  void Submit(Receiver& aReceiver, const std::string& aId)
  {
    ++this->known[aId].attempts;
    aReceiver.gated.Submit(MakeJob(aId, 1, 1), [this, aId](Result<Done> aResult) {
      auto& known = this->known[aId];
      if (!IsError(aResult)) {
        known.isAccepted = true;
        return;
      }
      const auto& verdict = ErrorOf(aResult);
      if (verdict.code == ErrorCode::Overloaded) {
        ++known.refusals;
        RC_ASSERT(verdict.run == RunState::NotRun);
        RC_ASSERT(!known.isAccepted);
        RC_ASSERT(!this->IsStored(aId));
      }
    });
  }

  void Apply(Event aEvent, std::size_t aReceiver, const std::string& aId)
  {
    auto& receiver = *this->receivers.at(aReceiver);
    switch (aEvent) {
      case Event::Submit:
        this->Submit(receiver, aId);
        break;
      case Event::SwitchGate:
        receiver.isGateOpen = !receiver.isGateOpen;
        break;
      case Event::LoseResponses:
        this->store.mode = StoreMode::DroppingResponses;
        break;
      case Event::DelayResponses:
        this->store.mode = StoreMode::DelayingResponses;
        break;
      case Event::LoseStore:
        this->store.mode = StoreMode::Unavailable;
        break;
      case Event::RestoreStore:
        this->store.mode = StoreMode::Available;
        this->store.DeliverResponses();
        break;
    }
  }

  std::vector<ExpectedWait> waits{ { { "queue" }, {}, Milliseconds{ 600'000 } } };
  std::map<std::string, Known> known;
  std::array<std::unique_ptr<Receiver>, kInstanceCount> receivers{
    std::make_unique<Receiver>(*this),
    std::make_unique<Receiver>(*this)
  };
};

}

// Load: callers that retry at two instances while the gate opens and closes. Failures: the store
// loses or delays responses, or is unavailable. Guards against "not run" for a job that was
// accepted or that starts.
RC_GTEST_FIXTURE_PROP(AdmissionHistory, ARefusedJobWasNeverAcceptedAndNeverStarts, ())
{
  const auto length = *rc::gen::inRange(1, 60);
  for (int step = 0; step < length; ++step) {
    this->Apply(*rc::gen::elementOf(kEvents),
                *rc::gen::inRange<std::size_t>(0, kInstanceCount),
                std::to_string(*rc::gen::inRange(0, kIdCount)));
    this->clock.Advance(Milliseconds{ 20 });
  }
  this->Apply(Event::RestoreStore, 0, "");
  this->entries.push_back(this->workers.Add("worker", kIdCount));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 200 });
  std::set<std::string> started;
  for (const auto& start : this->workers.starts) {
    started.insert(start.task.job.value);
  }
  for (const auto& [id, state] : this->known) {
    if (state.refusals == state.attempts) {
      RC_ASSERT(!this->IsStored(id));
      RC_ASSERT(!started.contains(id));
    }
    RC_ASSERT(!state.isAccepted || started.contains(id));
  }
}

namespace {

constexpr Milliseconds kRound{ 500 };

/// A queue whose jobs are placed in the scheduler's order: those within their workspace's weight
/// first. Each job is one task of a second.
class WaitingQueue
{
public:
  /// @return false if the gate refuses the job
  bool Submit(const std::string& aWorkspace, bool aIsBeyondWeight)
  {
    auto job = std::make_unique<Job>();
    job->spec.id = { std::to_string(this->submitted++) };
    job->spec.workspace = { aWorkspace };
    job->spec.queue = { .name = { "queue" }, .pool = "pool" };
    job->spec.steps.push_back(
      { .demand = { .milliCores = 1000 }, .estimate = Milliseconds{ 1000 } });
    if (FindRefusal(job->spec, { .waits = this->waits, .age = Milliseconds{ 100 } })) {
      return false;
    }
    job->criticalPaths = ComputeCriticalPaths(job->spec);
    job->workspaceUsage = &this->usage;
    job->isBeyondWeight = aIsBeyondWeight;
    job->receivedAt = this->clock.Now();
    auto& occurrence = job->occurrences[0];
    occurrence.deadline = this->clock.Now() + Milliseconds{ 3000 };
    occurrence.steps.resize(1);
    occurrence.steps[0].CreateTasks(1);
    occurrence.steps[0].isReady = true;
    this->jobs.push_back(std::move(job));
    return true;
  }

  /// Starts up to @p aCount jobs, and updates the forecast.
  void RunRound(std::size_t aCount)
  {
    std::ranges::stable_sort(
      this->jobs, {}, [](const std::unique_ptr<Job>& aJob) { return aJob->isBeyondWeight; });
    const auto count = std::min(aCount, this->jobs.size());
    for (std::size_t index = 0; index < count; ++index) {
      this->forecast.RecordStart(CandidateOf(*this->jobs[index]), this->clock.Now());
      this->forecast.RecordFirstStart(this->jobs[index]->spec.id, this->clock.Now());
    }
    this->jobs.erase(this->jobs.begin(), this->jobs.begin() + static_cast<std::ptrdiff_t>(count));
    this->clock.Advance(kRound);
    std::vector<Candidate> candidates;
    for (const auto& job : this->jobs) {
      candidates.push_back(CandidateOf(*job));
    }
    this->waits = this->forecast.Update(candidates, this->clock.Now());
  }

private:
  [[nodiscard]] static Candidate CandidateOf(Job& aJob)
  {
    return { .job = &aJob,
             .run = aJob.occurrences[0].steps.data(),
             .specification = aJob.spec.steps.data(),
             .queue = &aJob.spec.queue };
  }

  ManualClock clock;
  WorkspaceUsage usage;
  CompletionForecast forecast{ CellSchedulerOptions{}.limitHeadroom };
  std::vector<std::unique_ptr<Job>> jobs;
  std::vector<ExpectedWait> waits;
  std::size_t submitted = 0;
};

}

// Load: a workspace at many times its weight, for up to 30 s, next to one within its weight; both
// weights together fit into the capacity. Guards against refusals of the calm workspace.
RC_GTEST_PROP(AdmissionProperties, AWorkspaceWithinItsWeightIsNotRefusedForABurst, ())
{
  WaitingQueue queue;
  const auto capacity = *rc::gen::inRange(2, 12);
  const auto calmWeight = *rc::gen::inRange(1, capacity);
  const auto burstWeight = capacity - calmWeight;
  const auto burst = *rc::gen::inRange(1, 100);
  const auto rounds = *rc::gen::inRange(1, 60);
  for (int round = 0; round < rounds; ++round) {
    for (int index = 0; index < burst; ++index) {
      (void)queue.Submit("burst", index >= burstWeight);
    }
    const auto calm = *rc::gen::inRange(0, calmWeight + 1);
    for (int index = 0; index < calm; ++index) {
      RC_ASSERT(queue.Submit("calm", false));
    }
    queue.RunRound(static_cast<std::size_t>(capacity));
  }
}

// Load: a workspace at several times the capacity for 60 s. Guards against a gate that never
// closes.
TEST(AdmissionProperties, RefusesMostOfALongBurst)
{
  constexpr int kCapacity = 5;
  constexpr int kBurst = 20;
  constexpr int kRounds = 120;
  WaitingQueue queue;
  int admitted = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (int index = 0; index < kBurst; ++index) {
      admitted += queue.Submit("burst", index > 0) ? 1 : 0;
    }
    queue.RunRound(kCapacity);
  }
  EXPECT_GT(admitted, kCapacity * kRounds * 9 / 10) << "capacity must not be left idle";
  EXPECT_LT(admitted, kCapacity * kRounds * 13 / 10);
}

}
