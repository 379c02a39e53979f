#pragma once

/// @file
/// The workers of a run: what they start, run, end and list.

#include <LibCell/Specification.h>
#include <Soak/Event.h>
#include <json/value.h>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace zinc::soak {

/// Name of a task and number of its run.
struct RunName
{
  std::string task;
  std::uint64_t run = 0;

  bool operator==(const RunName&) const = default;
  bool operator<(const RunName& aOther) const
  {
    return std::tie(this->task, this->run) < std::tie(aOther.task, aOther.run);
  }
};

/// Why a worker goes.
enum class LossCause : std::uint8_t
{
  Crash,
  Drain,
};

/// One life of a worker. Times are those of the recorder unless they are said to be the worker's.
struct WorkerLife
{
  struct Run
  {
    Milliseconds startedAt{ 0 };
    /// Empty while a gang is not complete.
    std::optional<Milliseconds> endsAt;
    std::string end = "done";
    std::int64_t milliCores = 0;
    std::string gang;
  };

  struct End
  {
    std::uint64_t number = 0;
    RunName name;
    std::string kind;
    bool isNoted = false;
    /// The lease ran out after the end; taking note of it then counts for nothing.
    bool isLapsed = false;
  };

  std::string id;
  std::string zone;
  std::string rack;
  std::int64_t milliCores = 0;
  /// Unix milliseconds of its start.
  std::int64_t born = 0;
  /// The worker's clock shows this at the recorder's zero, and runs at this rate.
  std::int64_t clockOffset = 0;
  double clockRate = 1.0;
  bool isDraining = false;
  std::uint64_t fencingToken = 0;
  /// End of the lease on the worker's clock.
  std::int64_t deadline = 0;
  std::map<RunName, Run> running;
  /// Highest run of each task that was stopped or ended here.
  std::map<std::string, std::uint64_t> ended;
  std::vector<End> ends;
  std::uint64_t lastEnd = 0;

  [[nodiscard]] std::int64_t Clock(Milliseconds aNow) const;
};

/// An answer to an order.
struct OrderReply
{
  unsigned status = 200;
  Json::Value body = Json::Value(Json::objectValue);
};

/// All workers; has no network and no clock of its own.
class WorkerFleet
{
public:
  explicit WorkerFleet(Recorder& aRecorder)
    : recorder(aRecorder)
  {
  }

  /// Begins a life.
  WorkerLife& Add(WorkerLife aLife);
  /// Ends a life with everything that runs there.
  void Remove(const std::string& aWorker, LossCause aCause);
  /// @return the workers at which a crashing run has begun since the last call
  [[nodiscard]] std::vector<std::string> TakeCrashing();
  [[nodiscard]] WorkerLife* Find(const std::string& aWorker);

  /// Carries out an order.
  /// @param aPath path of the call
  /// @param aOrderedAt when the order reached the worker
  /// @return status and body, as the platform's protocol has them.
  OrderReply Perform(const std::string& aWorker,
                     std::string_view aPath,
                     const Json::Value& aOrder,
                     Milliseconds aOrderedAt);

  /// Ends what is due by now.
  void Advance();

private:
  using Operation = OrderReply (WorkerFleet::*)(WorkerLife&, const Json::Value&);

  struct Route
  {
    std::string_view path;
    Operation operation;
  };

  static const Route kRoutes[];

  OrderReply Start(WorkerLife& aLife, const Json::Value& aOrder);
  OrderReply Stop(WorkerLife& aLife, const Json::Value& aOrder);
  OrderReply Hold(WorkerLife& aLife, const Json::Value& aOrder);

  [[nodiscard]] OrderReply Refuse(const WorkerLife& aLife, const std::string& aReason) const;
  void Extend(WorkerLife& aLife, const Json::Value& aOrder) const;
  void Begin(WorkerLife& aLife,
             const RunName& aName,
             const cell::TaskName& aTask,
             const Json::Value& aSpec);
  void JoinGang(const std::string& aGang, std::size_t aSize, Milliseconds aDuration);
  void End(WorkerLife& aLife, const RunName& aName, const std::string& aKind);
  void BreakGang(const std::string& aGang);
  void EndDue(WorkerLife& aLife);
  [[nodiscard]] OrderReply Reply(const WorkerLife& aLife, unsigned aStatus = 200) const;

  Recorder& recorder;
  /// When the order that is carried out reached its worker.
  Milliseconds orderedAt{ 0 };
  std::map<std::string, WorkerLife> lives;
  std::vector<std::string> crashing;
};

}
