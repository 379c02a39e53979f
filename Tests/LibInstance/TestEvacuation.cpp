#include "ManualTimer.h"
#include <LibInstance/CellInstance.h>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <set>

namespace zinc {

namespace {

constexpr const char* kOperators = "operators";
constexpr const char* kWorkers = "workers";
constexpr const char* kDocument = "document";
/// The platform's bound on starts in a zone after the request was stored.
constexpr Milliseconds kBound{ 5000 };
constexpr Milliseconds kCallTime{ 2 };

/// Rows that all instances share.
struct SharedRows
{
  std::map<cell::RowKey, cell::Row> rows;
  std::uint64_t version = 0;
  bool isAvailable = true;
  /// Watches show no changes of the operators' table.
  bool losesChanges = false;
  bool failsOperatorReads = false;
  std::size_t operatorReads = 0;

  void Put(const cell::RowKey& aKey, const std::string& aValue, bool aIsDeleted = false)
  {
    this->rows[aKey] = {
      .key = aKey, .value = aValue, .version = ++this->version, .isDeleted = aIsDeleted
    };
  }
  void SetEvacuated(const std::string& aZone, bool aIsEvacuated)
  {
    this->Put({ .table = kOperators, .key = "zone/" + aZone }, "{}", !aIsEvacuated);
  }
};

/// One instance's timers and paths to the store and to the workers; nothing passes once it is dead.
class Machine final
  : public cell::TimerPort
  , public cell::StorePort
  , public cell::WorkerPort
{
public:
  Machine(ManualTimer& aTimer, ManualClock& aClock, SharedRows& aRows)
    : timer(aTimer)
    , clock(aClock)
    , shared(aRows)
  {
  }

  void RunAfter(Milliseconds aDelay, std::function<void()> aFunction) override
  {
    this->timer.RunAfter(aDelay, [this, function = std::move(aFunction)] {
      if (!this->isDead) {
        function();
      }
    });
  }

  void Read(const cell::RowRange& aRange, cell::Handler<cell::RowBatch> aHandler) override
  {
    this->RunAfter(kCallTime, [this, aRange, handler = std::move(aHandler)] {
      this->shared.operatorReads += aRange.table == kOperators ? 1 : 0;
      const bool fails = this->shared.failsOperatorReads && aRange.table == kOperators;
      if (!this->shared.isAvailable || fails) {
        handler(NotRun(ErrorCode::Unavailable, "down"));
        return;
      }
      cell::RowBatch batch{ .version = this->shared.version };
      for (const auto& [key, row] : this->shared.rows) {
        if (key.table == aRange.table && key.partition == aRange.partition && !row.isDeleted &&
            key.key >= aRange.from && (aRange.to.empty() || key.key < aRange.to)) {
          batch.rows.push_back(row);
        }
      }
      handler(std::move(batch));
    });
  }

  void Watch(const std::string& aTable,
             std::uint64_t aAfter,
             Milliseconds aMaxWait,
             cell::Handler<cell::RowBatch> aHandler) override
  {
    this->RunAfter(kCallTime, [this, aTable, aAfter, aMaxWait, handler = std::move(aHandler)] {
      const bool fails = this->shared.failsOperatorReads && aTable == kOperators;
      if (!this->shared.isAvailable || fails) {
        handler(NotRun(ErrorCode::Unavailable, "down"));
        return;
      }
      cell::RowBatch batch{ .version = this->shared.version };
      for (const auto& [key, row] : this->shared.rows) {
        if (key.table == aTable && row.version > aAfter &&
            !(this->shared.losesChanges && aTable == kOperators)) {
          batch.rows.push_back(row);
        }
      }
      if (batch.rows.empty() && aMaxWait > kCallTime) {
        this->Watch(aTable, aAfter, aMaxWait - kCallTime, handler);
        return;
      }
      handler(std::move(batch));
    });
  }

  void Commit(cell::Transaction aTransaction, cell::Handler<cell::CommitResult> aHandler) override
  {
    this->RunAfter(kCallTime,
                   [this, transaction = std::move(aTransaction), handler = std::move(aHandler)] {
                     if (!this->shared.isAvailable) {
                       handler(NotRun(ErrorCode::Unavailable, "down"));
                       return;
                     }
                     handler(this->Apply(transaction));
                   });
  }

  void RenewLease(
    cell::LeaseRenewal aOrder,
    cell::Handler<std::variant<cell::WorkerReport, cell::OrderResult>> aHandler) override
  {
    this->RunAfter(std::max(kCallTime, aOrder.maxWait), [this, aOrder, handler = aHandler] {
      handler(cell::WorkerReport{ .clockMs = this->clock.Now().time_since_epoch().count(),
                                  .incarnation = 1,
                                  .activeRuns = this->running[aOrder.target.worker] });
    });
  }

  void Start(cell::StartOrder aOrder, cell::Handler<cell::OrderResult> aHandler) override
  {
    this->starts.emplace_back(this->clock.Now(), aOrder.target.worker.value);
    // A run that made no progress would count as hung.
    this->running[aOrder.target.worker].push_back(
      { .task = aOrder.task, .run = aOrder.run, .progressPercent = 99 });
    this->RunAfter(kCallTime,
                   [handler = std::move(aHandler)] { handler(cell::OrderResult::Accepted); });
  }

  void Stop(cell::RunOrder, cell::Handler<cell::OrderResult>) override {}
  void Throttle(cell::RunOrder, int, cell::Handler<cell::OrderResult>) override {}
  void Disconnect(const WorkerId&) override {}

  bool isDead = false;
  /// Time and worker of each start order.
  std::vector<std::pair<TimePoint, std::string>> starts;

private:
  [[nodiscard]] cell::CommitResult Apply(const cell::Transaction& aTransaction)
  {
    cell::CommitResult result{ .isCommitted = true };
    for (const auto& condition : aTransaction.conditions) {
      const auto found = this->shared.rows.find(condition.key);
      const auto version = found == this->shared.rows.end() ? 0 : found->second.version;
      result.isCommitted = result.isCommitted && version == condition.version;
      if (found != this->shared.rows.end()) {
        result.currentRows.push_back(found->second);
      }
    }
    if (!result.isCommitted) {
      return result;
    }
    result.version = this->shared.version + 1;
    for (const auto& write : aTransaction.writes) {
      this->shared.version = result.version - 1;
      this->shared.Put(write.key, write.value);
    }
    for (const auto& key : aTransaction.removals) {
      this->shared.rows.erase(key);
    }
    return result;
  }

  ManualTimer& timer;
  ManualClock& clock;
  SharedRows& shared;
  std::map<WorkerId, std::vector<cell::ActiveRun>> running;
};

Result<std::optional<ZoneId>>
DecodeZoneKey(std::string_view aKey)
{
  return aKey.starts_with("zone/") ? std::optional(ZoneId{ std::string(aKey.substr(5)) })
                                   : std::nullopt;
}

Result<cell::CellPolicy>
DecodeTestDocument(std::string_view)
{
  cell::CellPolicy policy;
  policy.version = 1;
  policy.pools["pool"] = { .name = "pool" };
  policy.workspaces[{ "team" }] = { .name = { "team" }, .weight = 1000.0 };
  cell::QueueRoute route{ .host = "host", .pathPrefix = "/q/" };
  route.queue = { .name = { "queue" }, .pool = "pool", .maxAttempts = 3 };
  policy.AddRoute(route);
  return policy;
}

/// A worker's id is the name of its zone.
Result<cell::WorkerEntry>
DecodeTestWorker(const std::string& aId, std::string_view)
{
  return cell::WorkerEntry{ .id = { aId },
                            .pool = "pool",
                            .address = "10.0.0.1",
                            .port = 1,
                            .zone = { aId },
                            .rack = { aId },
                            .labels = { aId },
                            .capacity = { .milliCores = 1'000'000, .memoryMiB = 1'000'000 },
                            .machine = aId,
                            .incarnation = 1 };
}

/// Instances with a worker in each of three zones. Every 100 ms a job arrives for each zone.
class EvacuationTest : public testing::Test
{
protected:
  struct Instance
  {
    std::unique_ptr<Machine> machine;
    std::unique_ptr<CellInstance> instance;
  };

  EvacuationTest()
  {
    this->clock.Advance(Milliseconds{ 1'000'000 });
    this->rows.Put({ .table = kOperators, .key = kDocument }, "{}");
    for (const auto* zone : { "a", "b", "c" }) {
      this->rows.Put({ .table = kWorkers, .key = zone }, "{}");
    }
  }

  /// Starts an instance in zone a.
  Instance& StartInstance()
  {
    const auto name = "i" + std::to_string(this->instances.size());
    auto machine = std::make_unique<Machine>(this->timer, this->clock, this->rows);
    auto instance = std::make_unique<CellInstance>(
      CellInstance::Dependencies{ .store = *machine,
                                  .workers = *machine,
                                  .advise = {},
                                  .calls = this->calls,
                                  .timer = *machine,
                                  .clock = this->clock,
                                  .wallClock = [] { return cell::WallTime{}; },
                                  .log = this->log,
                                  .metrics = this->metrics,
                                  .layout = { .documentTable = kOperators,
                                              .documentKey = kDocument,
                                              .decodeDocument = &DecodeTestDocument,
                                              .decodeEvacuation = &DecodeZoneKey,
                                              .workerTable = kWorkers,
                                              .decodeWorker = &DecodeTestWorker } },
      CellInstanceOptions{
        .identity = { .name = name, .incarnation = name, .address = "10.0.0.2", .milliCores = 500 },
        .zone = "a" });
    instance->Start();
    this->instances.push_back({ .machine = std::move(machine), .instance = std::move(instance) });
    return this->instances.back();
  }

  void RunFor(Milliseconds aDuration)
  {
    constexpr Milliseconds kArrivalInterval{ 100 };
    for (auto elapsed = Milliseconds{ 0 }; elapsed < aDuration; elapsed += kArrivalInterval) {
      for (const auto* zone : { "a", "b", "c" }) {
        cell::JobSpecification spec{ .id = { "job" + std::to_string(++this->jobCount) },
                                     .workspace = { "team" } };
        spec.queue = { .name = { "queue" }, .pool = "pool", .maxAttempts = 3 };
        spec.steps.push_back({ .count = 1,
                               .demand = { .milliCores = 100, .memoryMiB = 1 },
                               .estimate = Milliseconds{ 600'000 },
                               .requiredLabel = zone });
        this->rows.Put(cell::JobRowKey(spec.id, cell::JobRowKind::Specification),
                       cell::EncodeSpecification(spec));
      }
      this->timer.Advance(kArrivalInterval);
    }
  }

  /// @return the starts at the worker of a zone at or after a time
  [[nodiscard]] std::size_t CountStarts(const std::string& aZone, TimePoint aFrom) const
  {
    std::size_t count = 0;
    for (const auto& item : this->instances) {
      for (const auto& [at, worker] : item.machine->starts) {
        count += at >= aFrom && worker == aZone ? 1 : 0;
      }
    }
    return count;
  }

  ManualClock clock;
  ManualTimer timer{ this->clock };
  SharedRows rows;
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  boost::asio::io_context context;
  InstanceCallClient calls{ { .traffic = this->context, .control = this->context.get_executor() } };
  std::vector<Instance> instances;
  int jobCount = 0;
};

}

// Guards against a request, and a withdrawal, of which the watch lost the change: the full read
// must find each within the bound.
TEST_F(EvacuationTest, FindsAChangeThatTheWatchMisses)
{
  this->StartInstance();
  this->RunFor(Milliseconds{ 6100 });
  ASSERT_GT(this->CountStarts("a", {}), 0U);
  this->rows.losesChanges = true;
  // Right after a full read, so that the next one is as far away as possible. A fifth of the bound
  // has to be left for the read of a busy store.
  for (const auto reads = this->rows.operatorReads; this->rows.operatorReads == reads;) {
    this->RunFor(Milliseconds{ 100 });
  }
  this->rows.SetEvacuated("a", true);
  const auto requestedAt = this->clock.Now();
  this->RunFor(Milliseconds{ 12'000 });
  EXPECT_EQ(this->CountStarts("a", requestedAt + kBound * 4 / 5), 0U);
  EXPECT_GT(this->CountStarts("b", requestedAt + kBound), 0U);
  this->rows.SetEvacuated("a", false);
  const auto withdrawnAt = this->clock.Now();
  this->RunFor(kBound + Milliseconds{ 200 });
  EXPECT_GT(this->CountStarts("a", withdrawnAt), 0U);
}

// Guards against starts in two zones whose requests arrive at once, one of them that of the leader
// itself, which has to go on placing work in the third.
TEST_F(EvacuationTest, EvacuatesTwoZonesAmongThemTheLeadersOwn)
{
  this->StartInstance();
  this->RunFor(Milliseconds{ 4000 });
  this->rows.SetEvacuated("a", true);
  this->rows.SetEvacuated("b", true);
  const auto requestedAt = this->clock.Now();
  this->RunFor(Milliseconds{ 8000 });
  EXPECT_EQ(this->CountStarts("a", requestedAt + Milliseconds{ 100 }), 0U);
  EXPECT_EQ(this->CountStarts("b", requestedAt + Milliseconds{ 100 }), 0U);
  EXPECT_GT(this->CountStarts("c", requestedAt + Milliseconds{ 7000 }), 0U);
}

// Guards against a request that is made while the leader dies and another instance takes over,
// which cannot read it at first: what the successor read before its term is not enough.
TEST_F(EvacuationTest, KeepsARequestMadeDuringATakeover)
{
  this->StartInstance();
  this->RunFor(Milliseconds{ 2000 });
  this->StartInstance();
  this->RunFor(Milliseconds{ 2000 });
  this->instances.front().machine->isDead = true;
  this->RunFor(Milliseconds{ 1000 });
  this->rows.failsOperatorReads = true;
  this->rows.SetEvacuated("a", true);
  const auto requestedAt = this->clock.Now();
  this->RunFor(Milliseconds{ 20'000 });
  EXPECT_EQ(this->CountStarts("b", requestedAt), 0U);
  this->rows.failsOperatorReads = false;
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->CountStarts("a", requestedAt), 0U);
  EXPECT_GT(this->CountStarts("b", requestedAt), 0U);
}

// Guards against a request that lapses when the store is lost after it was read.
TEST_F(EvacuationTest, KeepsARequestWhileTheStoreIsUnavailable)
{
  this->StartInstance();
  this->RunFor(Milliseconds{ 4000 });
  this->rows.SetEvacuated("a", true);
  this->RunFor(Milliseconds{ 200 });
  const auto readAt = this->clock.Now();
  this->rows.isAvailable = false;
  this->RunFor(Milliseconds{ 9000 });
  this->rows.isAvailable = true;
  const auto recoveredAt = this->clock.Now();
  this->RunFor(Milliseconds{ 20'000 });
  EXPECT_EQ(this->CountStarts("a", readAt), 0U);
  EXPECT_GT(this->CountStarts("b", recoveredAt), 0U);
}

// Guards against starts by an instance that restarts, and becomes leader, while a request is in
// force that it cannot read at first.
TEST_F(EvacuationTest, PlacesNothingAfterARestartBeforeItHasReadTheRequest)
{
  this->StartInstance();
  this->RunFor(Milliseconds{ 4000 });
  this->rows.SetEvacuated("a", true);
  this->RunFor(Milliseconds{ 1000 });
  this->instances.front().machine->isDead = true;
  this->rows.failsOperatorReads = true;
  this->StartInstance();
  const auto restartedAt = this->clock.Now();
  this->RunFor(Milliseconds{ 20'000 });
  EXPECT_EQ(this->instances.back().machine->starts.size(), 0U);
  this->rows.failsOperatorReads = false;
  this->RunFor(Milliseconds{ 2000 });
  EXPECT_EQ(this->CountStarts("a", restartedAt), 0U);
  EXPECT_GT(this->CountStarts("b", restartedAt), 0U);
}

}
