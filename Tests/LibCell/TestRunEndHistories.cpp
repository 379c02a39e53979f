#include "CellSchedulerFixture.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <ostream>
#include <rapidcheck/gtest.h>
#include <set>

namespace zinc::cell::test {

namespace {

constexpr int kWorkerCount = 4;
constexpr Milliseconds kStep{ 10 };

/// What happens in one step of a history.
enum class Event : std::uint8_t
{
  Fail,
  Succeed,
  Wait,
  CutWorker,
  LoseResponses,
  RestoreWorker,
  Crash,
  Unlist,
  List,
  Drain,
  LoseStore,
  DelayWrites,
  DropWriteResponses,
  RestoreStore,
  Publish,
  ChangeLeader,
};

/// Prints an event of a failed history.
void
showValue(Event aEvent, std::ostream& aStream)
{
  constexpr std::array kNames = {
    "Fail",
    "Succeed",
    "Wait",
    "CutWorker",
    "LoseResponses",
    "RestoreWorker",
    "Crash",
    "Unlist",
    "List",
    "Drain",
    "LoseStore",
    "DelayWrites",
    "DropWriteResponses",
    "RestoreStore",
    "Publish",
    "ChangeLeader",
  };
  aStream << kNames.at(static_cast<std::size_t>(aEvent));
}

/// An end of a run at a worker, and what became of its report.
struct TrackedEnd
{
  std::string worker;
  TaskName task;
  std::uint64_t run = 0;
  RunOutcome outcome = RunOutcome::Failed;
  std::uint64_t sequence = 0;
  TimePoint endedAt{};
  bool isAcknowledged = false;
  /// The worker has crashed since the acknowledgement.
  bool isOver = false;
  /// The worker's lease expired before the acknowledgement: the platform lets the end be forgotten.
  bool hasLapsed = false;
};

/// A leader with unreliable workers and an unreliable store, which is replaced again and again. Its
/// successor knows only what the store holds.
class RunEndHistory : public CellSchedulerFixture
{
protected:
  RunEndHistory()
  {
    this->publishesWorkers = false;
    for (int number = 0; number < kWorkerCount; ++number) {
      this->entries.push_back(this->workers.Add(WorkerName(number), 4));
    }
  }

  [[nodiscard]] static std::string WorkerName(int aNumber) { return fmt::format("w{}", aNumber); }

  void AcceptJobs()
  {
    this->AcceptJob(MakeJob("single", 1, 1));
    this->AcceptJob(MakeJob("several", 3, 1));
    auto gang = MakeJob("gang", 2, 2);
    gang.steps.front().isGang = true;
    gang.steps.push_back({ .count = 1, .demand = { .milliCores = 1000 }, .dependsOn = { 0 } });
    this->AcceptJob(gang);
  }

  /// Does what the election does: renews the leader record if the store is there.
  void Publish()
  {
    if (this->store.mode != StoreMode::Available) {
      return;
    }
    const auto report = this->scheduler->MakeLeaderReport();
    this->drainingJobs = report.drainingJobs;
    this->suspendedLeases.clear();
    for (const auto& [id, left] : report.suspendedLeases) {
      this->suspendedLeases.emplace(id, this->clock.Now() + left);
    }
    this->fencedIncarnations = report.fencedIncarnations;
    this->recordsStarts = report.recordsStarts;
    this->recordedAt = report.madeAt;
    this->recordedLease = this->clock.Now() + report.longestLease;
    this->recordedWorkers = report.workers;
    this->scheduler->OnReportStored(report, ++this->store.version);
  }

  void ChangeLeader()
  {
    if (this->store.mode != StoreMode::Available &&
        this->store.mode != StoreMode::DroppingResponses) {
      return;
    }
    std::vector<WorkerId> previous;
    for (const auto& name : this->recordedWorkers) {
      previous.push_back({ name });
    }
    for (const auto& [id, jobs] : this->drainingJobs) {
      previous.push_back(id);
    }
    this->hasLostLeadership = false;
    this->hasStartRecords =
      this->recordsStarts && this->clock.Now() - this->recordedAt < kStartRecordPromise;
    const auto leases =
      std::max(this->options.LeaseExpiryBound(), this->recordedLease - this->clock.Now());
    this->recordNamesListedWorkers = false;
    this->BeginTerm(true, leases, std::move(previous));
    this->Publish();
  }

  /// Ends the run of a task; the members of a gang succeed together.
  void EndRun(std::size_t aChoice, RunOutcome aOutcome)
  {
    std::vector<std::pair<std::string, TaskName>> running;
    for (int number = 0; number < kWorkerCount; ++number) {
      const auto& worker = this->workers.At(WorkerName(number));
      if (worker.leaseExpiry <= this->clock.Now()) {
        continue;
      }
      for (const auto& [key, run] : worker.running) {
        running.emplace_back(WorkerName(number), run.task);
      }
    }
    if (running.empty()) {
      return;
    }
    const auto& [worker, task] = running[aChoice % running.size()];
    const bool isGang = task.job.value == "gang" && task.key.step == 0;
    for (const auto& [otherWorker, other] : running) {
      const bool isMember = isGang && other.job == task.job && other.key.step == 0;
      if (other == task) {
        this->workers.End(otherWorker, other, aOutcome);
      } else if (isMember) {
        const bool isSuccess = aOutcome == RunOutcome::Succeeded;
        this->workers.End(otherWorker, other, isSuccess ? aOutcome : RunOutcome::GangMemberEnded);
      }
    }
  }

  /// Takes a worker down with its runs and with the ends that are not acknowledged.
  void CrashWorker(const std::string& aName)
  {
    if (this->workers.At(aName).restartAt) {
      return;
    }
    this->workers.Crash(aName);
    this->hasCrashes = true;
    this->lastTracked[aName] = 0;
    std::erase_if(this->ends, [&aName](const TrackedEnd& aEnd) {
      return aEnd.worker == aName && !aEnd.isAcknowledged;
    });
    for (auto& end : this->ends) {
      end.isOver = end.isOver || end.worker == aName;
    }
  }

  /// Adds new ends to @ref ends and updates the others.
  void TrackEnds()
  {
    for (int number = 0; number < kWorkerCount; ++number) {
      const auto name = WorkerName(number);
      const auto& worker = this->workers.At(name);
      for (const auto& end : worker.ended) {
        auto& lastTracked = this->lastTracked[name];
        if (end.sequence <= lastTracked) {
          continue;
        }
        lastTracked = end.sequence;
        this->ends.push_back({ .worker = name,
                               .task = end.task,
                               .run = end.run,
                               .outcome = end.outcome,
                               .sequence = end.sequence,
                               .endedAt = this->clock.Now() });
      }
    }
    for (auto& end : this->ends) {
      if (end.isOver) {
        continue;
      }
      const auto& worker = this->workers.At(end.worker);
      const bool isKept =
        std::ranges::find(worker.ended, end.sequence, &EndedRun::sequence) != worker.ended.end();
      end.isAcknowledged = end.isAcknowledged || !isKept;
      end.hasLapsed =
        end.hasLapsed || (!end.isAcknowledged && worker.leaseExpiry <= this->clock.Now());
    }
  }

  /// Checks that no two runs of a task exist under valid leases.
  void CheckRuns()
  {
    std::set<std::string> seen;
    for (int number = 0; number < kWorkerCount; ++number) {
      const auto& worker = this->workers.At(WorkerName(number));
      if (worker.leaseExpiry <= this->clock.Now()) {
        continue;
      }
      for (const auto& [key, run] : worker.running) {
        RC_ASSERT(seen.insert(key).second);
      }
    }
  }

  void RunAndTrack(Milliseconds aDuration)
  {
    for (auto elapsed = Milliseconds{ 0 }; elapsed < aDuration; elapsed += kStep) {
      this->RunFor(kStep);
      this->TrackEnds();
      this->CheckRuns();
    }
  }

  void Apply(Event aEvent, int aWorker, std::size_t aChoice)
  {
    const auto name = WorkerName(aWorker);
    auto& worker = this->workers.At(name);
    const auto entry = std::ranges::find(this->entries, WorkerId{ name }, &WorkerEntry::id);
    switch (aEvent) {
      case Event::Fail:
        this->EndRun(aChoice, RunOutcome::Failed);
        break;
      case Event::Succeed:
        this->EndRun(aChoice, RunOutcome::Succeeded);
        break;
      case Event::Wait:
        this->RunAndTrack(Milliseconds{ 50 + 10 * static_cast<int>(aChoice) });
        break;
      case Event::CutWorker:
        worker.isReachable = false;
        break;
      case Event::LoseResponses:
        worker.losesResponses = true;
        break;
      case Event::RestoreWorker:
        worker.isReachable = !worker.restartAt;
        worker.losesResponses = false;
        break;
      case Event::Crash:
        this->CrashWorker(name);
        break;
      case Event::Unlist:
        if (entry != this->entries.end()) {
          this->entries.erase(entry);
          if (this->store.mode == StoreMode::Available) {
            this->scheduler->OnWorkerUnlisted({ name });
          }
        }
        break;
      case Event::List:
        if (entry == this->entries.end()) {
          this->entries.push_back(worker.entry);
          this->scheduler->OnWorkerEntry(worker.entry);
        }
        break;
      case Event::Drain:
        worker.entry.isDraining = !worker.entry.isDraining;
        if (entry != this->entries.end()) {
          *entry = worker.entry;
          this->scheduler->OnWorkerEntry(worker.entry);
        }
        break;
      case Event::LoseStore:
        this->store.mode = StoreMode::Unavailable;
        break;
      case Event::DelayWrites:
        this->store.mode = StoreMode::DelayingRequests;
        break;
      case Event::DropWriteResponses:
        this->store.mode = StoreMode::DroppingResponses;
        break;
      case Event::RestoreStore:
        this->store.mode = StoreMode::Available;
        this->store.ExecuteDelayedRequests();
        break;
      case Event::Publish:
        this->Publish();
        break;
      case Event::ChangeLeader:
        this->ChangeLeader();
        break;
    }
    this->RunAndTrack(kStep);
  }

  /// Restores everything, and lets all ends be acknowledged.
  void Finish()
  {
    this->Apply(Event::RestoreStore, 0, 0);
    for (int number = 0; number < kWorkerCount; ++number) {
      this->Apply(Event::RestoreWorker, number, 0);
      this->Apply(Event::List, number, 0);
    }
    for (int round = 0; round < 20; ++round) {
      this->Publish();
      this->RunAndTrack(Milliseconds{ 500 });
    }
  }

  /// @return the ends of a task before a start that its leader has to take into account
  [[nodiscard]] std::ptrdiff_t CountEndsBefore(const ObservedStart& aStart,
                                               RunOutcome aOutcome) const
  {
    const bool isGang = aStart.task.job.value == "gang" && aStart.task.key.step == 0;
    std::set<std::uint64_t> runs;
    for (const auto& end : this->ends) {
      const bool isSame = end.task == aStart.task ||
                          (isGang && end.task.job == aStart.task.job && end.task.key.step == 0);
      // The end of a run that has succeeded counts from when the worker has it.
      const bool counts = end.isAcknowledged || aOutcome == RunOutcome::Succeeded;
      if (isSame && end.outcome == aOutcome && counts && !end.hasLapsed && end.run < aStart.run) {
        runs.insert(end.run);
      }
    }
    return std::ssize(runs);
  }

  bool hasCrashes = false;
  std::vector<std::string> recordedWorkers;
  TimePoint recordedLease{};
  TimePoint recordedAt{};
  bool recordsStarts = false;
  std::map<std::string, std::uint64_t> lastTracked;
  std::vector<TrackedEnd> ends;
};

constexpr std::array kEvents = {
  Event::Fail,          Event::Fail,         Event::Fail,          Event::Fail,
  Event::Succeed,       Event::Wait,         Event::Wait,          Event::Wait,
  Event::CutWorker,     Event::CutWorker,    Event::LoseResponses, Event::RestoreWorker,
  Event::RestoreWorker, Event::Crash,        Event::Unlist,        Event::List,
  Event::Drain,         Event::LoseStore,    Event::DelayWrites,   Event::DropWriteResponses,
  Event::RestoreStore,  Event::RestoreStore, Event::Publish,       Event::ChangeLeader,
  Event::ChangeLeader,
};

}

// Load: tasks that fail and succeed while leaders change, workers are cut off, unlisted and drained
// or crash, and writes fail, get lost or take effect late. Guards against starts beyond the last
// attempt, runs after a success, two runs of a task at a time, and outcomes without cause.
RC_GTEST_FIXTURE_PROP(RunEndHistory, WhatAWorkerReportedOutlivesItsLeader, ())
{
  this->policy.routes.front().queue.maxAttempts = *rc::gen::inRange(1U, 4U);
  this->BeginTerm();
  this->Publish();
  this->AcceptJobs();
  const auto length = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, 120));
  for (int step = 0; step < length; ++step) {
    this->Apply(*rc::gen::elementOf(kEvents),
                *rc::gen::inRange(0, kWorkerCount),
                *rc::gen::inRange<std::size_t>(0, 12));
  }
  this->Finish();
  for (const auto& start : this->workers.starts) {
    RC_ASSERT(this->CountEndsBefore(start, RunOutcome::Succeeded) == 0);
    RC_ASSERT(this->CountEndsBefore(start, RunOutcome::Failed) <
              this->policy.routes.front().queue.maxAttempts);
  }
  for (const auto* job : { "single", "several", "gang" }) {
    const auto outcome = this->StatusOf(job).outcome;
    const bool hasFailure = std::ranges::any_of(this->ends, [job](const TrackedEnd& aEnd) {
      return aEnd.task.job.value == job && aEnd.outcome == RunOutcome::Failed;
    });
    RC_ASSERT(outcome != JobOutcome::Failed || hasFailure || this->hasCrashes);
  }
}

}
