#include <Soak/SoakRun.h>

#include <Soak/Checks.h>
#include <Soak/SoakCallers.h>
#include <Soak/SoakCell.h>
#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <thread>

namespace zinc::soak {

namespace {

constexpr Milliseconds kStep{ 20 };

/// A fault's beginning or end.
struct Moment
{
  Milliseconds at{ 0 };
  bool begins = false;
  SoakFault fault;
};

std::vector<Moment>
MomentsOf(const SoakSchedule& aSchedule)
{
  std::vector<Moment> moments;
  for (const auto& fault : aSchedule) {
    moments.push_back({ fault.at, true, fault });
    moments.push_back({ fault.at + fault.lasts, false, fault });
  }
  std::ranges::stable_sort(moments, {}, &Moment::at);
  return moments;
}

void
Disturb(SoakCell& aCell,
        const SoakOptions& aOptions,
        const Recorder& aRecorder,
        Milliseconds aBegin)
{
  const auto moments = MomentsOf(aOptions.schedule);
  const auto last = moments.empty() ? Milliseconds{ 0 } : moments.back().at;
  auto next = moments.begin();
  const auto end = std::max(aOptions.load, last + kStep);
  while (aRecorder.Now() - aBegin < end) {
    for (; next != moments.end() && next->at <= aRecorder.Now() - aBegin; ++next) {
      if (next->begins) {
        aCell.Begin(next->fault);
      } else {
        aCell.End(next->fault);
      }
    }
    aCell.Supervise();
    std::this_thread::sleep_for(kStep);
  }
}

void
WriteHistory(const std::string& aFile, const History& aHistory)
{
  constexpr std::string_view kNames[] = {
    "sent",           "accepted",       "refused",         "unanswered",      "shown",
    "denied",         "cancel_sent",    "cancel_answered", "started",         "ended",
    "noted",          "worker_lost",    "fault",           "exit_asked",      "exited",
    "capacity_shown", "zone_evacuated", "zone_returned",   "store_disturbed", "store_restored"
  };
  std::ofstream file(aFile);
  for (const auto& event : aHistory) {
    file << fmt::format("{:6} {:15} job={} task={} run={} place={} text={} amount={}\n",
                        event.at.count(),
                        kNames[static_cast<std::size_t>(event.kind)],
                        event.job,
                        event.task,
                        event.run,
                        event.place,
                        event.text,
                        event.amount);
  }
}

std::size_t
Count(const History& aHistory, EventKind aKind)
{
  return static_cast<std::size_t>(
    std::ranges::count(aHistory, aKind, [](const Event& aEvent) { return aEvent.kind; }));
}

}

Result<SoakReport>
PerformSoak(const SoakOptions& aOptions)
{
  Recorder recorder;
  SoakCellOptions cellOptions{ .program = aOptions.program,
                               .directory = aOptions.directory,
                               .seed = aOptions.seed,
                               .instances = aOptions.instances };
  const auto workerMilliCores = cellOptions.fleet.milliCores;
  auto started = SoakCell::Start(std::move(cellOptions), recorder);
  if (IsError(started)) {
    return ErrorOf(started);
  }
  auto& cell = *ValueOf(started);
  {
    SoakCallers callers(
      { .cell = cell, .recorder = recorder, .seed = aOptions.seed, .callers = aOptions.callers });
    Disturb(cell, aOptions, recorder, recorder.Now());
    callers.Stop();
    std::atomic<bool> isSettled{ false };
    std::thread asking([&] {
      callers.AwaitEnds(aOptions.settle);
      isSettled = true;
    });
    while (!isSettled) {
      cell.Supervise();
      std::this_thread::sleep_for(kStep);
    }
    asking.join();
  }
  cell.Stop();
  const auto history = recorder.Events();
  WriteHistory(aOptions.directory + "/history.txt", history);
  return SoakReport{
    .violations = CheckHistory(history,
                               { .plans = recorder.Plans(),
                                 .workerMilliCores = workerMilliCores,
                                 .maximum = { { "nights", kSecondMaximum } } }),
    .accepted = Count(history, EventKind::Accepted),
    .refused = Count(history, EventKind::Refused),
    .unanswered = Count(history, EventKind::Unanswered),
    .starts = Count(history, EventKind::Started),
  };
}

}
