#pragma once

/// @file
/// Holds the lease of one worker and listens to its events.

#include <LibMembership/WorkerLease.h>
#include <LibPlatform/InstanceList.h>
#include <LibPlatform/Worker.h>
#include <memory>

namespace zinc {

/// Is told of the workers whose lease is held. Runs on the control thread.
class FleetObserver
{
public:
  virtual ~FleetObserver() = default;

  /// The lease was acquired under a new term; the grant lists what runs at the worker.
  virtual void WorkerAcquired(const Instance& aWorker, const LeaseGrant& aGrant) = 0;

  /// The lease is not held any more, or not certainly.
  virtual void WorkerLost(const WorkerId& aWorker) = 0;

  /// Attempts have ended or their usage was measured.
  virtual void WorkerChanged(const WorkerId& aWorker, const EventBatch& aEvents) = 0;

  /// Another holds the lease.
  virtual void WorkerRefused(const WorkerId& aWorker) = 0;

  /// The lease is to be handed over. Called again until it returns true.
  /// @return true once the worker runs nothing that the hand-over would cut off.
  [[nodiscard]] virtual bool PrepareRelease(const WorkerId& aWorker) = 0;
};

/// What an agent works with; all of it outlives the agent.
struct WorkerAgentEnvironment
{
  EntryId self;
  const Clock& clock;
  LeaseTiming timing;
  FleetObserver& observer;
};

/// Not thread-safe; used on the control thread.
class WorkerAgent : public std::enable_shared_from_this<WorkerAgent>
{
public:
  /// @return a verdict if the timing is unusable.
  [[nodiscard]] static Result<std::shared_ptr<WorkerAgent>>
  Create(WorkerAgentEnvironment aEnvironment, Instance aInstance, std::shared_ptr<Worker> aClient);

  /// Asks for the lease and keeps it.
  void Acquire();

  /// Gives the lease up.
  void GiveUp();

  /// Applies the time and makes the calls that are due. Call it several times a lease.
  void Tick();

  [[nodiscard]] bool IsHeld() const { return this->held; }
  [[nodiscard]] bool MayStart() const;
  [[nodiscard]] LeaseTerm Term() const { return this->lease.Term(); }
  [[nodiscard]] Worker& Client() const { return *this->client; }
  [[nodiscard]] const Instance& Description() const { return this->instance; }
  void Describe(Instance aInstance) { this->instance = std::move(aInstance); }

private:
  WorkerAgent(WorkerAgentEnvironment aEnvironment,
              Instance aInstance,
              std::shared_ptr<Worker> aClient,
              WorkerLease aLease);

  [[nodiscard]] WorkerId Id() const { return { this->instance.name }; }
  void Make(const LeaseCall& aCall);
  void Release(const LeaseCall& aCall);
  void OnGrant(const LeaseCall& aCall, const Result<LeaseGrant>& aReply);
  void OnUnwanted(LeaseTerm aTerm);
  void Poll();
  void OnEvents(LeaseTerm aTerm, TimePoint aSentAt, const Result<EventBatch>& aReply);
  void NoteLoss();

  WorkerAgentEnvironment environment;
  Instance instance;
  std::shared_ptr<Worker> client;
  WorkerLease lease;
  /// True from the observer's being told of a term until it is told of its loss.
  bool held = false;
  bool polling = false;
  std::uint64_t lastEvent = 0;
};

}
