#include <Soak/Checks.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace zinc::soak {

namespace {

const std::string kJob = "00000000000000aa";

std::string
Task(std::size_t aStep = 0, std::size_t aIndex = 0)
{
  return kJob + ".0." + std::to_string(aStep) + "." + std::to_string(aIndex);
}

Event
At(std::int64_t aTime, Event aEvent)
{
  aEvent.at = Milliseconds(aTime);
  aEvent.job = kJob;
  return aEvent;
}

Event
Start(std::int64_t aTime,
      const std::string& aTask,
      std::uint64_t aRun,
      const std::string& aPlace,
      std::int64_t aUsed = 500)
{
  return At(aTime,
            { .kind = EventKind::Started,
              .task = aTask,
              .run = aRun,
              .place = aPlace,
              .text = kJob,
              .amount = aUsed,
              .orderedAt = Milliseconds(aTime) });
}

Event
End(std::int64_t aTime,
    const std::string& aTask,
    std::uint64_t aRun,
    const std::string& aPlace,
    const std::string& aKind = "done")
{
  return At(
    aTime,
    { .kind = EventKind::Ended, .task = aTask, .run = aRun, .place = aPlace, .text = aKind });
}

Event
Simple(std::int64_t aTime, EventKind aKind, const std::string& aText = "")
{
  return At(aTime, { .kind = aKind, .text = aText });
}

/// A job of two steps, of two tasks and of one.
CheckContext
Context()
{
  const StepPlan wide{ .count = 2, .milliCores = 500, .duration = Milliseconds{ 100 } };
  const StepPlan narrow{ .count = 1, .milliCores = 500, .duration = Milliseconds{ 100 } };
  return { .plans = { { kJob, { .id = kJob, .workspace = "nights", .steps = { wide, narrow } } } },
           .attempts = 2,
           .workerMilliCores = 4000,
           .maximum = { { "nights", 1000 } } };
}

History
GoodHistory()
{
  return { Simple(0, EventKind::Sent),           Simple(5, EventKind::Accepted),
           Start(10, Task(0, 0), 1, "w1"),       Start(11, Task(0, 1), 1, "w2"),
           End(110, Task(0, 0), 1, "w1"),        End(111, Task(0, 1), 1, "w2", "failed"),
           Start(120, Task(0, 1), 2, "w2"),      End(220, Task(0, 1), 2, "w2"),
           Start(230, Task(1, 0), 1, "w1"),      End(330, Task(1, 0), 1, "w1"),
           Simple(400, EventKind::Shown, "done") };
}

/// @return the names of the checks that a history breaks, each once.
std::vector<std::string>
Broken(const History& aHistory)
{
  std::vector<std::string> names;
  for (const auto& check : AllChecks()) {
    if (!check.perform(aHistory, Context()).empty()) {
      names.emplace_back(check.name);
    }
  }
  return names;
}

/// @return the good history with an event put in before the first of a later time.
History
With(Event aEvent)
{
  auto history = GoodHistory();
  const auto place = std::find_if(
    history.begin(), history.end(), [&](const Event& aOther) { return aOther.at > aEvent.at; });
  history.insert(place, std::move(aEvent));
  return history;
}

using Names = std::vector<std::string>;

}

TEST(SoakChecks, PassAGoodHistory)
{
  EXPECT_EQ(Broken(GoodHistory()), Names{});
}

TEST(SoakChecks, FindTwoRunsAtOneTime)
{
  EXPECT_EQ(Broken(With(Start(50, Task(0, 0), 2, "w3"))), Names{ "single runs" });
}

TEST(SoakChecks, FindAStartAfterAnEndThatWasNoted)
{
  auto history = With(Start(300, Task(0, 0), 2, "w3"));
  EXPECT_EQ(Broken(history), Names{});
  history.push_back(
    At(500, { .kind = EventKind::Noted, .task = Task(0, 0), .run = 1, .place = "w1" }));
  EXPECT_EQ(Broken(history), Names{ "single runs" });
}

TEST(SoakChecks, LetARunBeginWhereTheWorkerOfTheLastOneWent)
{
  auto history = GoodHistory();
  history.erase(history.begin() + 4);
  history.insert(history.begin() + 4,
                 { At(60, { .kind = EventKind::WorkerLost, .place = "w1" }),
                   Start(61, Task(0, 0), 2, "w3"),
                   End(109, Task(0, 0), 2, "w3") });
  EXPECT_EQ(Broken(history), Names{});
}

TEST(SoakChecks, FindAWorkerOverItsCapacity)
{
  auto history = GoodHistory();
  history[6].amount = 4001;
  EXPECT_EQ(Broken(history), Names{ "capacity" });
}

TEST(SoakChecks, FindAWorkerOverACapacityThatHasShrunk)
{
  const auto shows = [](std::int64_t aTime, std::int64_t aMilliCores) {
    return At(aTime, { .kind = EventKind::CapacityShown, .place = "w1", .amount = aMilliCores });
  };
  const auto checkStart = [&shows](std::int64_t aTime) {
    const History history{ shows(0, 4000), shows(1000, 400), Start(aTime, Task(0, 0), 1, "w1") };
    const auto broken = Broken(history);
    return std::count(broken.begin(), broken.end(), "capacity");
  };
  EXPECT_EQ(checkStart(5400), 0) << "the worker has shown it for less than the notice";
  EXPECT_EQ(checkStart(5600), 1);
}

TEST(SoakChecks, FindAStartInAnEvacuatedZone)
{
  const auto operates = [](std::int64_t aTime, EventKind aKind) {
    return At(aTime, { .kind = aKind, .place = "east" });
  };
  const auto checkStart = [](History aHistory, std::int64_t aTime, const std::string& aPlace) {
    aHistory.push_back(Start(aTime, Task(0, 0), 1, aPlace));
    const auto broken = Broken(aHistory);
    return std::count(broken.begin(), broken.end(), "evacuations");
  };
  const History evacuated{ operates(1000, EventKind::ZoneEvacuated) };
  EXPECT_EQ(checkStart(evacuated, 5900, "east-w0-1@1"), 0) << "before the bound";
  EXPECT_EQ(checkStart(evacuated, 6100, "west-w0-1@1"), 0);
  EXPECT_EQ(checkStart(evacuated, 6100, "east-w0-1@1"), 1);
  const History disturbed{ operates(1000, EventKind::ZoneEvacuated),
                           Simple(2000, EventKind::StoreDisturbed),
                           Simple(4000, EventKind::StoreRestored) };
  EXPECT_EQ(checkStart(disturbed, 8900, "east-w0-1@1"), 0);
  EXPECT_EQ(checkStart(disturbed, 9100, "east-w0-1@1"), 1);
  const History returned{ operates(1000, EventKind::ZoneEvacuated),
                          operates(7000, EventKind::ZoneReturned) };
  EXPECT_EQ(checkStart(returned, 7100, "east-w0-1@1"), 0);
}

TEST(SoakChecks, FindATaskThatCrashesWorkersWithoutEnd)
{
  auto context = Context();
  context.plans[kJob].steps.front().crashesWorkers = true;
  History history{ Simple(0, EventKind::Sent) };
  const auto countViolations = [&](std::string_view aCheck) {
    const auto found = CheckHistory(history, context);
    return std::count_if(found.begin(), found.end(), [&](const std::string& aLine) {
      return aLine.starts_with(aCheck);
    });
  };
  for (std::int64_t run = 1; run <= 5; ++run) {
    history.push_back(Start(run * 100, Task(0, 0), static_cast<std::uint64_t>(run), "w1"));
    history.push_back(
      At(run * 100 + 10, { .kind = EventKind::WorkerLost, .place = "w1", .text = "crash" }));
  }
  EXPECT_EQ(countViolations("crashing tasks"), 0);
  history.push_back(Simple(600, EventKind::Shown, "failed"));
  EXPECT_EQ(countViolations("states shown"), 0);
  history.push_back(Start(700, Task(0, 0), 6, "w1"));
  EXPECT_EQ(countViolations("crashing tasks"), 1);
}

TEST(SoakChecks, FindAJobThatIsGivenUpForOneCrash)
{
  EXPECT_EQ(Broken({ Simple(0, EventKind::Sent),
                     Start(10, Task(0, 0), 1, "w1"),
                     At(20, { .kind = EventKind::WorkerLost, .place = "w1", .text = "crash" }),
                     Simple(30, EventKind::Shown, "failed") }),
            Names{ "states shown" });
}

TEST(SoakChecks, FindAStepThatStartsTooEarly)
{
  auto history = GoodHistory();
  std::swap(history[7], history[8]);
  EXPECT_EQ(Broken(history), Names{ "order of steps" });
}

TEST(SoakChecks, FindAStateThatIsShownTooEarlyOrWithoutACause)
{
  EXPECT_EQ(Broken(With(Simple(300, EventKind::Shown, "done"))), Names{ "states shown" });
  EXPECT_EQ(Broken(With(Simple(200, EventKind::Shown, "failed"))).front(), "states shown");
  EXPECT_EQ(Broken(With(Simple(200, EventKind::Shown, "cancelled"))).front(), "states shown");
}

TEST(SoakChecks, FindAStartThatNobodyAskedFor)
{
  auto unknown = GoodHistory();
  unknown.erase(unknown.begin());
  EXPECT_EQ(Broken(unknown), Names{ "asked work only" });
  auto cancelled = GoodHistory();
  cancelled.insert(cancelled.begin() + 2,
                   { Simple(6, EventKind::CancelSent), Simple(7, EventKind::CancelAnswered) });
  EXPECT_EQ(Broken(cancelled), Names{});
  // An order that was on its way when the job was cancelled and that the worker kept.
  cancelled[8].at = Milliseconds{ 4100 };
  EXPECT_EQ(Broken(cancelled), Names{});
  cancelled[8].orderedAt = Milliseconds{ 4100 };
  EXPECT_EQ(Broken(cancelled), Names{ "asked work only" });
}

TEST(SoakChecks, FindARefusalThatIsNotTrue)
{
  auto history = GoodHistory();
  history[1] = Simple(5, EventKind::Refused);
  EXPECT_EQ(Broken(history), Names{ "refusals are true" });
}

TEST(SoakChecks, FindAStartAfterTheLastAttempt)
{
  auto history = GoodHistory();
  history[7].text = "failed";
  const auto note = [](std::uint64_t aRun) {
    return At(225, { .kind = EventKind::Noted, .task = Task(0, 1), .run = aRun, .place = "w2" });
  };
  history.insert(history.begin() + 8, { note(1), note(2), Start(226, Task(0, 1), 3, "w2") });
  const auto broken = Broken(history);
  EXPECT_EQ(std::count(broken.begin(), broken.end(), "attempts"), 1);
}

TEST(SoakChecks, FindAWorkspaceOverItsMaximum)
{
  auto context = Context();
  context.maximum["nights"] = 400;
  EXPECT_NE(CheckHistory(GoodHistory(), context).size(), 0U);
  context.maximum["nights"] = 500;
  EXPECT_EQ(CheckHistory(GoodHistory(), context).size(), 0U);
}

TEST(SoakChecks, FindAJobThatIsLost)
{
  auto denied = With(Simple(3200, EventKind::Denied));
  EXPECT_EQ(Broken(denied), Names{ "nothing lost" });
  auto open = GoodHistory();
  open.back().text = "running";
  EXPECT_EQ(Broken(open), Names{ "nothing lost" });
}

TEST(SoakChecks, FindAProcessThatEndsByItselfOrLate)
{
  const auto exited = [](std::int64_t aTime, std::int64_t aCode, const std::string& aText = "") {
    return At(aTime,
              { .kind = EventKind::Exited, .place = "east-0", .text = aText, .amount = aCode });
  };
  const auto asked = At(500, { .kind = EventKind::ExitAsked, .place = "east-0" });
  EXPECT_EQ(Broken({ exited(600, 0) }), Names{ "exits" });
  EXPECT_EQ(Broken({ exited(600, 0, "killed") }), Names{});
  EXPECT_EQ(Broken({ asked, exited(600, 0) }), Names{});
  EXPECT_EQ(Broken({ asked, exited(600, 1) }), Names{ "exits" });
  EXPECT_EQ(Broken({ asked, exited(7000, 0) }), Names{ "exits" });
  EXPECT_EQ(Broken({ asked, exited(7000, 0, "frozen") }), Names{});
}

}
