#pragma once

/// @file
/// Entries that share a team's limit on one platform in memory.

#include <Fakes/MemoryTable.h>
#include <LibLimits/QuotaManager.h>
#include <LibLimits/TeamQuotaRow.h>
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace zinc {

inline const TeamId kTestTeam{ "nights" };
inline constexpr Resources kTaskResources{ .milliCores = 100, .slots = 1 };

/// @return the resources of some equal tasks.
[[nodiscard]] inline Resources
TaskResources(std::int64_t aCount)
{
  return { .milliCores = kTaskResources.milliCores * aCount,
           .slots = kTaskResources.slots * aCount };
}

/// Keeps the hints that are to be passed on.
struct RecordingObserver : public QuotaObserver
{
  void OnQuotaChanged(const TeamId&, const Resources&) override {}
  void SendHint(const TeamId&, QuotaHint aHint) override { this->hints.push_back(aHint); }

  std::vector<QuotaHint> hints;
};

/// Options that make things happen faster than in service.
[[nodiscard]] inline QuotaOptions
FastQuotaOptions()
{
  return { .pollInterval = Milliseconds(100),
           .idlePollInterval = Milliseconds(400),
           .minWriteInterval = Milliseconds(20),
           .idleReturnDelay = Milliseconds(1000),
           .minRetryDelay = Milliseconds(5),
           .maxRetryDelay = Milliseconds(100) };
}

/// One life of an entry's process with the tasks that it believes to be running.
struct SimulatedInstance
{
  SimulatedInstance(MemoryPlatform& aPlatform,
                    const Clock& aClock,
                    const std::string& aName,
                    std::uint64_t aSeed,
                    QuotaOptions aOptions = FastQuotaOptions())
    : name{ aName }
    , table(aPlatform, this->link)
  {
    aOptions.self = this->name;
    aOptions.seed = aSeed;
    auto created = QuotaManager::Create(std::move(aOptions),
                                        { .table = this->table,
                                          .clock = aClock,
                                          .budget = this->budget,
                                          .observer = this->observer });
    this->book = std::move(ValueOf(created));
  }

  ~SimulatedInstance() { this->link->isGone = true; }
  SimulatedInstance(const SimulatedInstance&) = delete;
  SimulatedInstance& operator=(const SimulatedInstance&) = delete;

  void Report()
  {
    this->book->ReportUsage(kTestTeam,
                            { .running = TaskResources(this->running),
                              .demand = TaskResources(this->running + this->queued),
                              .nextTask = this->queued > 0 ? kTaskResources : Resources{} });
  }

  /// Starts what the allowance admits.
  void StartQueued()
  {
    while (this->queued > 0 &&
           TaskResources(this->running + 1).FitsIn(this->book->UsableQuota(kTestTeam))) {
      ++this->running;
      --this->queued;
    }
    this->Report();
  }

  EntryId name;
  std::shared_ptr<MemoryLink> link = std::make_shared<MemoryLink>();
  MemoryTable table;
  WriteBudget budget{ { .rowsPerSecond = 2000.0, .burst = 20.0 } };
  RecordingObserver observer;
  std::unique_ptr<QuotaManager> book;
  int running = 0;
  int queued = 0;
};

/// Passes the hints of each entry on to all.
template<typename Processes>
void
DeliverHints(const Processes& aProcesses)
{
  for (SimulatedInstance* const from : aProcesses) {
    for (const QuotaHint hint : std::exchange(from->observer.hints, {})) {
      for (SimulatedInstance* const to : aProcesses) {
        to->book->OnHint(kTestTeam, hint);
      }
    }
  }
}

/// @return the team's row as the table holds it.
[[nodiscard]] inline TeamQuotaRow
ReadStoredRow(const MemoryPlatform& aPlatform)
{
  const auto found = aPlatform.Rows().find(TeamQuotaKey(kTestTeam));
  return found == aPlatform.Rows().end() ? TeamQuotaRow{}
                                         : ValueOf(DecodeTeamQuotaRow(found->second.value));
}

}
