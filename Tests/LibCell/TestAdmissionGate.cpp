#include <LibCell/AdmissionGate.h>
#include <LibCell/Job.h>

#include <gtest/gtest.h>
#include <set>

namespace zinc::cell {

namespace {

constexpr Milliseconds kFresh{ 300 };

/// @return a job of the critical path 1,000 ms and the objective 2,000 ms, which must start within
/// 5,000 ms
JobSpecification
MakeJob(const std::string& aId, const std::string& aWorkspace = "team")
{
  JobSpecification spec{ .id = { aId }, .workspace = { aWorkspace } };
  spec.queue = { .name = { "queue" }, .stretch = 1.5, .slack = Milliseconds{ 500 } };
  spec.steps.push_back({ .estimate = Milliseconds{ 400 } });
  spec.steps.push_back({ .estimate = Milliseconds{ 600 }, .dependsOn = { 0 } });
  return spec;
}

/// Forecasts of one wait, which is so long by default that every job is refused.
struct Forecast
{
  explicit Forecast(Milliseconds aWait = Milliseconds{ 60'000 },
                    const std::string& aWorkspace = "",
                    std::optional<Milliseconds> aAge = kFresh)
    : waits{ { .queue = { "queue" }, .workspace = { aWorkspace }, .wait = aWait } }
    , age(aAge)
  {
  }

  [[nodiscard]] ForecastView View() const { return { .waits = this->waits, .age = this->age }; }

  std::vector<ExpectedWait> waits;
  std::optional<Milliseconds> age;
};

constexpr int kJobCount = 1000;

/// @return how many of a thousand jobs are admitted
int
CountAdmitted(const Forecast& aForecast)
{
  int admitted = 0;
  for (int index = 0; index < kJobCount; ++index) {
    admitted += FindRefusal(MakeJob(std::to_string(index)), aForecast.View()) ? 0 : 1;
  }
  return admitted;
}

}

// Load: a queue whose wait is far beyond three times the objective. Guards against jobs that are
// accepted although they have no value when they end.
TEST(AdmissionGate, RefusesAJobThatWouldEndTooLate)
{
  const auto refusal = FindRefusal(MakeJob("a"), Forecast().View());
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::Queue);
  EXPECT_EQ(refusal->criticalPath, Milliseconds{ 1000 });
  EXPECT_EQ(refusal->objective, Milliseconds{ 2000 });
  EXPECT_EQ(refusal->longestUsefulWait, Milliseconds{ 5000 });
  EXPECT_EQ(refusal->forecastAge, kFresh);
  EXPECT_EQ(refusal->expectedWait, Milliseconds{ 60'000 } - kFresh);
}

// Load: a wait near the limit. Guards against refusals of jobs that might still end in time.
TEST(AdmissionGate, AdmitsWithinTheMargin)
{
  EXPECT_EQ(CountAdmitted(Forecast(Milliseconds{ 5000 })), kJobCount);
  EXPECT_EQ(CountAdmitted(Forecast(Milliseconds{ 6250 } + kFresh)), kJobCount);
}

// Load: waits between the longest admitted one and one and a half times as much. Guards against
// instances that all refuse, and a moment later all admit, on the same forecasts.
TEST(AdmissionGate, AdmittedShareFollowsTheExcess)
{
  constexpr int kTolerance = 60;
  EXPECT_NEAR(CountAdmitted(Forecast(Milliseconds{ 7031 } + kFresh)), 750, kTolerance);
  EXPECT_NEAR(CountAdmitted(Forecast(Milliseconds{ 7812 } + kFresh)), 500, kTolerance);
  EXPECT_NEAR(CountAdmitted(Forecast(Milliseconds{ 8593 } + kFresh)), 250, kTolerance);
  EXPECT_EQ(CountAdmitted(Forecast(Milliseconds{ 9375 } + kFresh)), 0);
}

// Load: callers that retry immediately at two instances with the same forecasts. Guards against a
// job that is admitted after enough attempts, and against more load from such callers.
TEST(AdmissionGate, DecidesTheSameForTheSameId)
{
  const Forecast first(Milliseconds{ 7900 });
  const Forecast second(Milliseconds{ 7900 });
  for (int index = 0; index < kJobCount; ++index) {
    const auto job = MakeJob(std::to_string(index));
    const auto refusal = FindRefusal(job, first.View());
    const auto repeated = FindRefusal(job, second.View());
    ASSERT_EQ(refusal.has_value(), repeated.has_value());
    if (refusal) {
      ASSERT_EQ(refusal->retryAfter, repeated->retryAfter);
    }
  }
}

// Load: many refused callers. Guards against all of them returning at the same moment.
TEST(AdmissionGate, SpreadsRetriesOverHalfAsMuchAgain)
{
  const Forecast forecast(Milliseconds{ 20'000 } + kFresh);
  std::set<Milliseconds> delays;
  for (int index = 0; index < kJobCount; ++index) {
    delays.insert(FindRefusal(MakeJob(std::to_string(index)), forecast.View())->retryAfter);
  }
  EXPECT_GE(*delays.begin(), Milliseconds{ 20'000 });
  EXPECT_LE(*delays.rbegin(), Milliseconds{ 30'000 });
  EXPECT_LT(*delays.begin(), Milliseconds{ 20'200 });
  EXPECT_GT(*delays.rbegin(), Milliseconds{ 29'800 });
  EXPECT_GT(delays.size(), 900U);
}

// Load: a wait at which half of the jobs are admitted. Guards against refused callers that return
// in a part of the range only, since admission depends on a hash of the same id.
TEST(AdmissionGate, SpreadsRetriesOfAPartlyAdmittedQueue)
{
  constexpr Milliseconds kWait{ 7812 };
  const Forecast forecast(kWait + kFresh);
  std::set<Milliseconds> delays;
  for (int index = 0; index < kJobCount; ++index) {
    if (const auto refusal = FindRefusal(MakeJob(std::to_string(index)), forecast.View())) {
      delays.insert(refusal->retryAfter);
    }
  }
  ASSERT_FALSE(delays.empty());
  EXPECT_LT(*delays.begin(), kWait * 1.02);
  EXPECT_GT(*delays.rbegin(), kWait * 1.48);
}

// Failures: the leader is dead, its record is an hour old, its age is unknown, or the leader is
// recovering. Guards against refusals by a forecast that says nothing about the present load.
TEST(AdmissionGate, AdmitsWithoutACurrentForecast)
{
  const auto admits = [](std::optional<Milliseconds> aAge) {
    return !FindRefusal(MakeJob("a"), Forecast(Milliseconds{ 600'000 }, "", aAge).View());
  };
  EXPECT_FALSE(admits(Milliseconds{ 2000 }));
  EXPECT_TRUE(admits(Milliseconds{ 2001 }));
  EXPECT_TRUE(admits(Milliseconds{ 3'600'000 }));
  EXPECT_TRUE(admits({}));
  const Forecast forecast;
  auto view = forecast.View();
  view.isRecovering = true;
  EXPECT_FALSE(FindRefusal(MakeJob("a"), view));
  EXPECT_FALSE(FindRefusal(MakeJob("a"), {}));
}

// Load: a workspace beyond its weight. Guards against refusals of other workspaces and queues.
TEST(AdmissionGate, AppliesAWorkspacesWaitToThatWorkspaceOnly)
{
  const Forecast forecast(Milliseconds{ 60'000 }, "loud");
  const auto refusal = FindRefusal(MakeJob("a", "loud"), forecast.View());
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::Workspace);
  EXPECT_FALSE(FindRefusal(MakeJob("a", "calm"), forecast.View()));
  auto job = MakeJob("a", "loud");
  job.queue.name = { "other" };
  EXPECT_FALSE(FindRefusal(job, forecast.View()));
}

// Guards against refusals of jobs whose end has no deadline, that start later, or that wait for no
// processors.
TEST(AdmissionGate, AdmitsServicesBestEffortJobsAndJobsWithStartTimes)
{
  auto service = MakeJob("a");
  service.steps.back().isService = true;
  EXPECT_FALSE(FindRefusal(service, Forecast().View()));
  auto bestEffort = MakeJob("a");
  bestEffort.steps.back().isBestEffort = true;
  EXPECT_TRUE(FindRefusal(bestEffort, Forecast().View())) << "the other step needs processors";
  bestEffort.steps.front().isBestEffort = true;
  EXPECT_FALSE(FindRefusal(bestEffort, Forecast().View()));
  auto timed = MakeJob("a");
  timed.occurrences = 2;
  EXPECT_FALSE(FindRefusal(timed, Forecast().View()));
}

}
