#pragma once

/// @file
/// Entry instances that share a team's limit in one in-memory table.

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

/// @return the resources of @p aCount equal tasks.
[[nodiscard]] inline Resources
TaskResources(std::int64_t aCount)
{
  return { .milliCores = kTaskResources.milliCores * aCount,
           .slots = kTaskResources.slots * aCount };
}

/// Records hints until the test delivers them.
struct RecordingObserver : public QuotaObserver
{
  void OnQuotaChanged(const TeamId&, const Resources&) override {}
  void SendHint(const TeamId&, QuotaHint aHint) override { this->hints.push_back(aHint); }

  std::vector<QuotaHint> hints;
};

/// @return options with shorter delays than in production.
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

/// One incarnation of an entry instance with the tasks that it considers running.
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
    this->manager = std::move(ValueOf(created));
  }

  ~SimulatedInstance() { this->link->isGone = true; }
  SimulatedInstance(const SimulatedInstance&) = delete;
  SimulatedInstance& operator=(const SimulatedInstance&) = delete;

  void Report()
  {
    this->manager->ReportUsage(kTestTeam,
                               { .running = TaskResources(this->running),
                                 .demand = TaskResources(this->running + this->queued),
                                 .nextTask = this->queued > 0 ? kTaskResources : Resources{} });
  }

  /// Starts queued tasks within the usable quota.
  void StartQueued()
  {
    while (this->queued > 0 &&
           TaskResources(this->running + 1).FitsIn(this->manager->UsableQuota(kTestTeam))) {
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
  std::unique_ptr<QuotaManager> manager;
  int running = 0;
  int queued = 0;
};

/// Delivers the recorded hints of each entry instance to all.
template<typename Instances>
void
DeliverHints(const Instances& aInstances)
{
  for (SimulatedInstance* const from : aInstances) {
    for (const QuotaHint hint : std::exchange(from->observer.hints, {})) {
      for (SimulatedInstance* const to : aInstances) {
        to->manager->OnHint(kTestTeam, hint);
      }
    }
  }
}

/// @return the team's row in the table.
[[nodiscard]] inline TeamQuotaRow
ReadStoredRow(const MemoryPlatform& aPlatform)
{
  const auto found = aPlatform.Rows().find(TeamQuotaKey(kTestTeam));
  return found == aPlatform.Rows().end() ? TeamQuotaRow{}
                                         : ValueOf(DecodeTeamQuotaRow(found->second.value));
}

}
