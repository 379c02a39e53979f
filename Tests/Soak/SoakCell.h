#pragma once

/// @file
/// The instances of a run as processes, and the platform around them.

#include <Soak/SoakFaults.h>
#include <Soak/StoreServer.h>
#include <Soak/WorkerServers.h>
#include <StandIns/Relay.h>
#include <StandIns/StandInThread.h>
#include <System/ChildProcess.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace zinc::soak {

/// Thousandths of a core that the second workspace may have running.
inline constexpr std::int64_t kSecondMaximum = 6000;

/// What an instance may use of its machine, as its settings say.
struct InstanceLimits
{
  std::int64_t memoryMiB = 260;
  std::int64_t descriptors = 4200;
};

/// Where and with what a cell runs.
struct SoakCellOptions
{
  /// Path of the instances' program.
  std::string program;
  /// Directory for settings and logs; must exist.
  std::string directory;
  std::uint64_t seed = 1;
  std::size_t instances = 4;
  FleetSize fleet{ .zones = { "east", "west" } };
  InstanceLimits limits;
};

/// Keys that the document in force and the one before it hold, by workspace.
struct KeyRing
{
  std::uint64_t version = 0;
  std::vector<std::string> workspaces;

  [[nodiscard]] std::string KeyOf(std::size_t aWorkspace) const;
};

/// Starts, disturbs and ends the processes. The driver's thread calls all of it but the addresses,
/// which any thread may read after the start.
class SoakCell
{
public:
  /// @return a verdict that names what did not come up.
  [[nodiscard]] static Result<std::unique_ptr<SoakCell>> Start(SoakCellOptions aOptions,
                                                               Recorder& aRecorder);
  ~SoakCell();
  SoakCell(const SoakCell&) = delete;
  SoakCell& operator=(const SoakCell&) = delete;

  [[nodiscard]] std::size_t Instances() const { return this->instances.size(); }
  [[nodiscard]] Endpoint Callers(std::size_t aInstance) const;
  [[nodiscard]] Endpoint Readiness(std::size_t aInstance) const;
  /// @return where the instance listens for calls of the others
  [[nodiscard]] Endpoint Peers(std::size_t aInstance) const;
  /// @return the instance's process, or null while it does not run
  [[nodiscard]] ChildProcess* ProcessOf(std::size_t aInstance);
  [[nodiscard]] const std::string& NameOf(std::size_t aInstance) const;
  [[nodiscard]] KeyRing Keys() const;

  void Begin(const SoakFault& aFault);
  void End(const SoakFault& aFault);
  /// Notes processes that ended, starts those again that the platform would.
  void Supervise();
  /// Ends every process by SIGTERM and waits for it.
  void Stop();

private:
  struct Instance
  {
    std::string name;
    std::string zone;
    std::string address;
    Endpoint callers;
    Endpoint readiness;
    std::shared_ptr<Relay> store;
    std::optional<ChildProcess> process;
    /// It stays down until then.
    Milliseconds downUntil{ 0 };
    /// When SIGTERM was sent.
    std::optional<Milliseconds> askedAt;
    /// It was frozen in this life.
    bool wasFrozen = false;
  };

  using Action = void (SoakCell::*)(const SoakFault&);

  struct Behaviour
  {
    FaultKind kind;
    Action begin;
    Action end;
  };

  SoakCell(SoakCellOptions aOptions, Recorder& aRecorder);

  static const Behaviour kBehaviours[];

  [[nodiscard]] Result<Done> StartPlatform();
  [[nodiscard]] Result<Done> StartProcess(Instance& aInstance);
  [[nodiscard]] std::string BootSettings(const Instance& aInstance) const;
  [[nodiscard]] std::string Document() const;
  void NoteEnd(Instance& aInstance);
  [[nodiscard]] Instance& InstanceOf(const SoakFault& aFault);
  [[nodiscard]] bool IsReady(const Instance& aInstance) const;

  void Nothing(const SoakFault& aFault);
  void KillInstance(const SoakFault& aFault);
  void KillAll(const SoakFault& aFault);
  void StopInstance(const SoakFault& aFault);
  void FreezeInstance(const SoakFault& aFault);
  void ThawInstance(const SoakFault& aFault);
  void DisturbPath(const SoakFault& aFault);
  void RestorePath(const SoakFault& aFault);
  void DisturbStore(const SoakFault& aFault);
  void RestoreStore(const SoakFault& aFault);
  void DisturbWorker(const SoakFault& aFault);
  void RestoreWorker(const SoakFault& aFault);
  void ChangeDocument(const SoakFault& aFault);
  void ShrinkWorker(const SoakFault& aFault);
  void RestoreCapacity(const SoakFault& aFault);
  void EvacuateZone(const SoakFault& aFault);
  void ReturnZone(const SoakFault& aFault);

  SoakCellOptions options;
  Recorder& recorder;
  StandInThread thread;
  std::shared_ptr<StoreServer> store;
  std::unique_ptr<WorkerServers> workers;
  std::vector<Instance> instances;
  /// Requests in force to evacuate each zone.
  std::map<std::string, int> evacuations;
  std::uint16_t peerPort = 0;
  mutable std::mutex keysMutex;
  KeyRing keys;
};

}
