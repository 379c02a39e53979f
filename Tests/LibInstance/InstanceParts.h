#pragma once

/// @file
/// One instance with a store in memory, timers and workers that do not respond.

#include "LibCell/MemoryStore.h"
#include <LibCell/Ports.h>
#include <LibCell/Timer.h>
#include <LibInstance/CellInstance.h>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <utility>

namespace zinc {

/// Runs functions as the test advances the clock.
class StepTimer final : public cell::TimerPort
{
public:
  explicit StepTimer(ManualClock& aClock)
    : clock(aClock)
  {
  }

  void RunAfter(Milliseconds aDelay, std::function<void()> aFunction) override
  {
    this->functions.emplace(this->clock.Now() + std::max(aDelay, Milliseconds{ 1 }),
                            std::move(aFunction));
  }

  void Advance(Milliseconds aTime)
  {
    for (auto left = aTime; left > Milliseconds{ 0 }; left -= Milliseconds{ 1 }) {
      this->clock.Advance(Milliseconds{ 1 });
      while (!this->functions.empty() && this->functions.begin()->first <= this->clock.Now()) {
        this->functions.extract(this->functions.begin()).mapped()();
      }
    }
  }

private:
  ManualClock& clock;
  std::multimap<TimePoint, std::function<void()>> functions;
};

/// A store in memory that reports its time and delays the responses to watches.
class TimedStore final : public cell::StorePort
{
public:
  static constexpr Milliseconds kWatchDelay{ 20 };

  TimedStore(StepTimer& aTimer, ManualClock& aClock)
    : timer(aTimer)
    , clock(aClock)
  {
  }

  [[nodiscard]] Milliseconds Time() const { return this->clock.Now().time_since_epoch(); }

  void Read(const cell::RowRange& aRange, cell::Handler<cell::RowBatch> aHandler) override
  {
    this->RunCall([this, aRange, handler = this->AddTime(std::move(aHandler))] {
      this->memory.Read(aRange, handler);
    });
  }
  void Watch(const std::string& aTable,
             std::uint64_t aAfterVersion,
             Milliseconds aMaxWait,
             cell::Handler<cell::RowBatch> aHandler) override
  {
    this->timer.RunAfter(
      kWatchDelay, [this, aTable, aAfterVersion, aMaxWait, handler = std::move(aHandler)] {
        this->memory.Watch(aTable, aAfterVersion, aMaxWait, this->AddTime(handler));
      });
  }
  void Commit(cell::Transaction aTransaction, cell::Handler<cell::CommitResult> aHandler) override
  {
    this->RunCall([this, transaction = std::move(aTransaction), handler = std::move(aHandler)] {
      this->memory.Commit(transaction, handler);
    });
  }

  cell::test::MemoryStore memory;
  /// How long reads and transactions take; they are done at once by default.
  Milliseconds callTime{ 0 };

private:
  void RunCall(std::function<void()> aCall)
  {
    if (this->callTime == Milliseconds{ 0 }) {
      aCall();
      return;
    }
    this->timer.RunAfter(this->callTime, std::move(aCall));
  }
  [[nodiscard]] cell::Handler<cell::RowBatch> AddTime(cell::Handler<cell::RowBatch> aHandler)
  {
    return [this, handler = std::move(aHandler)](Result<cell::RowBatch> aBatch) {
      if (!IsError(aBatch)) {
        ValueOf(aBatch).storeTime = this->Time();
      }
      handler(std::move(aBatch));
    };
  }

  StepTimer& timer;
  ManualClock& clock;
};

/// Workers that do not respond.
class NoWorkers final : public cell::WorkerPort
{
public:
  void RenewLease(cell::LeaseRenewal,
                  cell::Handler<std::variant<cell::WorkerReport, cell::OrderResult>>) override
  {
  }
  void Start(cell::StartOrder, cell::Handler<cell::OrderResult>) override {}
  void Stop(cell::RunOrder, cell::Handler<cell::OrderResult>) override {}
  void Throttle(cell::RunOrder, int, cell::Handler<cell::OrderResult>) override {}
  void Disconnect(const WorkerId&) override {}
};

/// What an instance needs beside its options.
struct InstanceParts
{
  InstanceParts() { this->clock.Advance(Milliseconds{ 1'000'000 }); }

  /// @param aPolicy content of the document, which is in the row "config" of the table "op"
  [[nodiscard]] CellInstance::Dependencies MakeDependencies(cell::CellPolicy aPolicy)
  {
    return {
      .store = this->store,
      .workers = this->workers,
      .advise = [](const cell::AdviceRequest&, const cell::Handler<cell::AdviceResponse>&) {},
      .calls = this->calls,
      .timer = this->timer,
      .clock = this->clock,
      .wallClock = [] { return cell::WallTime{}; },
      .log = this->log,
      .metrics = this->metrics,
      .layout = { .documentTable = "op",
                  .documentKey = "config",
                  .decodeDocument =
                    [policy = std::move(aPolicy)](std::string_view) {
                      return Result<cell::CellPolicy>(policy);
                    },
                  .decodeEvacuation =
                    [](std::string_view) { return Result<std::optional<ZoneId>>(std::nullopt); },
                  .workerTable = "workers",
                  .decodeWorker =
                    [](const std::string&, std::string_view) {
                      return Result<cell::WorkerEntry>(cell::WorkerEntry{});
                    } }
    };
  }

  ManualClock clock;
  StepTimer timer{ this->clock };
  TimedStore store{ this->timer, this->clock };
  NoWorkers workers;
  boost::asio::io_context context;
  InstanceCallClient calls{ HttpOptions{ .traffic = this->context,
                                         .control = this->context.get_executor() } };
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
};

}
