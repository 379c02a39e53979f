#pragma once

/// @file
/// The workers of a run on sockets, their entries in the store, and their faults.

#include <Soak/StoreServer.h>
#include <Soak/WorkerFleet.h>
#include <StandIns/HttpServer.h>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

namespace zinc::soak {

/// What is wrong with a worker's answers at the moment.
struct WorkerFault
{
  /// Half of the orders are carried out and get no answer.
  bool losesAnswers = false;
  /// Half of the orders get no answer and are carried out after this time.
  Milliseconds lateness{ 0 };
  /// Time that every call takes.
  Milliseconds delay{ 0 };
};

/// How many workers there are and of what size.
struct FleetSize
{
  std::vector<std::string> zones;
  std::size_t perZone = 4;
  /// Thousandths of a core.
  std::int64_t milliCores = 4000;
};

/// Lives on one thread of the context.
class WorkerServers
{
public:
  struct Options
  {
    boost::asio::io_context& context;
    StoreServer& store;
    Recorder& recorder;
    FleetSize size;
    /// Address on which the workers listen.
    std::string host;
    std::uint64_t seed = 1;
  };

  explicit WorkerServers(Options aOptions);
  ~WorkerServers() = default;
  WorkerServers(const WorkerServers&) = delete;
  WorkerServers& operator=(const WorkerServers&) = delete;

  /// Begins the first life of every worker.
  [[nodiscard]] Result<Done> Start();

  [[nodiscard]] std::size_t Count() const { return this->slots.size(); }
  /// Ends a worker at once; a new life, with or without the old id, begins after a time.
  void Crash(std::size_t aWorker, Milliseconds aDown);
  /// Changes the capacity of a worker's life and what its entry says of it.
  void Resize(std::size_t aWorker, std::int64_t aMilliCores);
  /// Lets a worker say that it leaves, leave, and begin a new life.
  void Drain(std::size_t aWorker);
  /// Keeps a worker's calls waiting until it serves again.
  void SetMode(std::size_t aWorker, ServerMode aMode);
  void SilenceOpenConnections(std::size_t aWorker);
  void Apply(std::size_t aWorker, const WorkerFault& aFault);
  /// Stops or resumes what workers write to the store.
  void SetStoreReachable(bool aIsReachable) { this->isStoreReachable = aIsReachable; }

private:
  struct Slot
  {
    std::string name;
    std::string zone;
    std::string rack;
    std::uint32_t lives = 0;
    /// Id of the life; empty while the worker is down.
    std::string id;
    std::shared_ptr<HttpServer> server;
    Endpoint listen;
    WorkerFault fault;
    bool isFrozen = false;
    std::uint64_t heartbeats = 0;
    /// Capacity that the entry of this life shows; 0 before the first.
    std::int64_t shownMilliCores = 0;
    Milliseconds lastHeartbeat{ 0 };
  };

  /// A call that was read.
  struct PendingOrder
  {
    HttpCallPointer call;
    Json::Value order;
    bool answers = true;
    Milliseconds until{ 0 };
  };

  [[nodiscard]] Result<Done> Begin(std::size_t aWorker, bool aKeepsId);
  void End(std::size_t aWorker, Milliseconds aDown, LossCause aCause);
  /// Crashes the workers at which a crashing run has begun.
  void CrashWorkersOfCrashingRuns();
  void Handle(std::size_t aWorker, HttpCallPointer aCall);
  void Perform(std::size_t aWorker, const HttpCallPointer& aCall, bool aAnswers);
  /// Carries an order out; one that waits for an end is answered when there is one or its time is
  /// over.
  void CarryOut(std::size_t aWorker, const PendingOrder& aPending);
  void Publish(Slot& aSlot);
  void Heartbeat();
  void Tick();
  void After(Milliseconds aDelay, std::function<void()> aFunction);

  Options options;
  pcg32 random;
  WorkerFleet fleet;
  std::vector<Slot> slots;
  bool isStoreReachable = true;
  /// Ends with this object; timers that are still set then do nothing.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
