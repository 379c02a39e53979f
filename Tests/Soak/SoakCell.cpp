#include <Soak/SoakCell.h>

#include <LibPlatform/Json.h>
#include <System/HttpCaller.h>
#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <json/json.h>
#include <thread>
#include <unistd.h>

namespace zinc::soak {

namespace {

/// Longest wait for the cell to come up; only a failing run lasts so long.
constexpr Milliseconds kStartBound{ 20'000 };
constexpr Milliseconds kPollInterval{ 50 };
/// Time after which the platform starts a process again.
constexpr Milliseconds kRestartDelay{ 300 };
/// Time from SIGTERM to SIGKILL, and a margin in which the end is noted.
constexpr Milliseconds kGracePeriod{ 6000 };
constexpr Milliseconds kExitMargin{ 1000 };
constexpr unsigned kOk = 200;
constexpr std::size_t kPeerPorts = 15;
/// Disturbances of the store and of workers.
constexpr Milliseconds kLateness{ 1500 };
/// Longer than a job may still start after its cancellation.
constexpr Milliseconds kLatenessOfSeconds{ 5800 };
constexpr Milliseconds kSlowStore{ 250 };
constexpr Milliseconds kSlowWorker{ 400 };
constexpr Milliseconds kSlowPath{ 200 };
/// A worker shrinks to this part of its capacity.
constexpr std::int64_t kShrinkDivisor = 4;
/// Hosts of the platform and of the first instance in the run's own loopback network.
constexpr std::size_t kPlatform = 1;
constexpr std::size_t kFirstInstance = 10;

/// @return a loopback address that no other process of the soak uses.
std::string
HostAddress(std::size_t aHost)
{
  constexpr int kNetworks = 250;
  const auto process = ::getpid();
  return fmt::format(
    "127.{}.{}.{}", 1 + process / kNetworks % kNetworks, process % kNetworks, aHost);
}

}

std::string
KeyRing::KeyOf(std::size_t aWorkspace) const
{
  const auto& name = this->workspaces[aWorkspace % this->workspaces.size()];
  return fmt::format("key-{}-{}", name, this->version);
}

const SoakCell::Behaviour SoakCell::kBehaviours[] = {
  { FaultKind::KillInstance, &SoakCell::KillInstance, &SoakCell::Nothing },
  { FaultKind::StopInstance, &SoakCell::StopInstance, &SoakCell::Nothing },
  { FaultKind::FreezeInstance, &SoakCell::FreezeInstance, &SoakCell::ThawInstance },
  { FaultKind::KillAllInstances, &SoakCell::KillAll, &SoakCell::Nothing },
  { FaultKind::CutStore, &SoakCell::DisturbPath, &SoakCell::RestorePath },
  { FaultKind::CutStoreToTarget, &SoakCell::DisturbPath, &SoakCell::RestorePath },
  { FaultKind::CutStoreToClient, &SoakCell::DisturbPath, &SoakCell::RestorePath },
  { FaultKind::RefuseStore, &SoakCell::DisturbPath, &SoakCell::RestorePath },
  { FaultKind::DelayStore, &SoakCell::DisturbPath, &SoakCell::RestorePath },
  { FaultKind::SilenceStore, &SoakCell::DisturbPath, &SoakCell::RestorePath },
  { FaultKind::StoreDown, &SoakCell::DisturbStore, &SoakCell::RestoreStore },
  { FaultKind::StoreSlow, &SoakCell::DisturbStore, &SoakCell::RestoreStore },
  { FaultKind::StoreLosesAnswers, &SoakCell::DisturbStore, &SoakCell::RestoreStore },
  { FaultKind::StoreLate, &SoakCell::DisturbStore, &SoakCell::RestoreStore },
  { FaultKind::StoreForgetsHistory, &SoakCell::DisturbStore, &SoakCell::Nothing },
  { FaultKind::CrashWorker, &SoakCell::DisturbWorker, &SoakCell::Nothing },
  { FaultKind::DrainWorker, &SoakCell::DisturbWorker, &SoakCell::Nothing },
  { FaultKind::FreezeWorker, &SoakCell::DisturbWorker, &SoakCell::RestoreWorker },
  { FaultKind::SilenceWorker, &SoakCell::DisturbWorker, &SoakCell::Nothing },
  { FaultKind::WorkerLosesAnswers, &SoakCell::DisturbWorker, &SoakCell::RestoreWorker },
  { FaultKind::WorkerLate, &SoakCell::DisturbWorker, &SoakCell::RestoreWorker },
  { FaultKind::WorkerSlow, &SoakCell::DisturbWorker, &SoakCell::RestoreWorker },
  { FaultKind::ChangeDocument, &SoakCell::ChangeDocument, &SoakCell::Nothing },
  { FaultKind::ShrinkWorker, &SoakCell::ShrinkWorker, &SoakCell::RestoreCapacity },
  { FaultKind::EvacuateZone, &SoakCell::EvacuateZone, &SoakCell::ReturnZone },
  { FaultKind::StoreLateBySeconds, &SoakCell::DisturbStore, &SoakCell::RestoreStore },
};

SoakCell::SoakCell(SoakCellOptions aOptions, Recorder& aRecorder)
  : options(std::move(aOptions))
  , recorder(aRecorder)
  , peerPort(FreePort())
  , keys{ .version = 1, .workspaces = { "days", "nights", "spares" } }
{
}

SoakCell::~SoakCell()
{
  for (auto& instance : this->instances) {
    instance.process.reset();
  }
  this->thread.Run([this] {
    for (auto& instance : this->instances) {
      instance.store.reset();
    }
    this->workers.reset();
    this->store.reset();
  });
}

Endpoint
SoakCell::Callers(std::size_t aInstance) const
{
  return this->instances[aInstance].callers;
}

Endpoint
SoakCell::Readiness(std::size_t aInstance) const
{
  return this->instances[aInstance].readiness;
}

Endpoint
SoakCell::Peers(std::size_t aInstance) const
{
  return { this->instances[aInstance].address, this->peerPort };
}

ChildProcess*
SoakCell::ProcessOf(std::size_t aInstance)
{
  auto& process = this->instances[aInstance].process;
  return process ? &*process : nullptr;
}

const std::string&
SoakCell::NameOf(std::size_t aInstance) const
{
  return this->instances[aInstance].name;
}

KeyRing
SoakCell::Keys() const
{
  const std::lock_guard lock(this->keysMutex);
  return this->keys;
}

Result<std::unique_ptr<SoakCell>>
SoakCell::Start(SoakCellOptions aOptions, Recorder& aRecorder)
{
  std::unique_ptr<SoakCell> cell(new SoakCell(std::move(aOptions), aRecorder));
  auto started = cell->StartPlatform();
  for (auto& instance : cell->instances) {
    started = IsError(started) ? started : cell->StartProcess(instance);
  }
  if (IsError(started)) {
    return ErrorOf(started);
  }
  const auto until = SteadyClock().Now() + kStartBound;
  for (const auto& instance : cell->instances) {
    while (!cell->IsReady(instance)) {
      if (SteadyClock().Now() >= until) {
        return NotRun(ErrorCode::Internal, instance.name + " did not come up.");
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return cell;
}

Result<Done>
SoakCell::StartPlatform()
{
  return this->thread.Run([this]() -> Result<Done> {
    auto made = StoreServer::Create(
      this->thread.Context(), { HostAddress(kPlatform), FreePort() }, this->options.seed);
    if (IsError(made)) {
      return ErrorOf(made);
    }
    this->store = std::move(ValueOf(made));
    this->store->Put("op", "config", this->Document());
    this->workers =
      std::make_unique<WorkerServers>(WorkerServers::Options{ .context = this->thread.Context(),
                                                              .store = *this->store,
                                                              .recorder = this->recorder,
                                                              .size = this->options.fleet,
                                                              .host = HostAddress(kPlatform),
                                                              .seed = this->options.seed });
    auto begun = this->workers->Start();
    const auto& zones = this->options.fleet.zones;
    for (std::size_t number = 0; number < this->options.instances && !IsError(begun); ++number) {
      const auto zone = zones[number % zones.size()];
      auto relay = Relay::Create({ .context = this->thread.Context(),
                                   .listen = { HostAddress(kPlatform), FreePort() },
                                   .target = this->store->Address() });
      if (IsError(relay)) {
        return ErrorOf(relay);
      }
      // Each instance has a loopback address of its own, as all use one port between them.
      const auto address = HostAddress(kFirstInstance + number);
      this->instances.push_back({ .name = fmt::format("{}-{}", zone, number),
                                  .zone = zone,
                                  .address = address,
                                  .callers = { address, FreePort() },
                                  .readiness = { address, FreePort() },
                                  .store = std::move(ValueOf(relay)) });
    }
    return begun;
  });
}

std::string
SoakCell::Document() const
{
  const auto keyRing = this->Keys();
  Json::Value document(Json::objectValue);
  document["Version"] = Json::UInt64(keyRing.version);
  Json::Value route(Json::objectValue);
  route["Name"] = "work";
  // Callers connect by address and send no other name.
  for (std::size_t number = 0; number < this->options.instances; ++number) {
    route["Host"] = HostAddress(kFirstInstance + number);
    route["PathPrefix"] = "/work/";
    route["Service"] = "pool";
    route["Attempts"] = 3;
    route["Stretch"] = 2.0;
    route["SloMs"] = 1000;
    document["Routes"].append(route);
  }
  Json::Value pool(Json::objectValue);
  pool["Name"] = "pool";
  pool["HealthPath"] = "/health";
  document["Services"].append(pool);
  for (std::size_t number = 0; number < keyRing.workspaces.size(); ++number) {
    Json::Value workspace(Json::objectValue);
    workspace["Name"] = keyRing.workspaces[number];
    workspace["Weight"] = 1.0;
    if (number == 1) {
      workspace["Maximum"]["Cpu"] = Json::Int64(kSecondMaximum);
    }
    // The key before stays valid, so that calls on their way are not refused.
    const auto before = KeyRing{ keyRing.version - 1, keyRing.workspaces };
    workspace["ApiKeys"].append(keyRing.KeyOf(number));
    workspace["ApiKeys"].append(before.KeyOf(number));
    document["Tenants"].append(workspace);
  }
  return WriteJson(document);
}

std::string
SoakCell::BootSettings(const Instance& aInstance) const
{
  const auto text = [](const Endpoint& aEndpoint) {
    return fmt::format("{}:{}", aEndpoint.address, aEndpoint.port);
  };
  Json::Value settings(Json::objectValue);
  settings["Node"] = aInstance.name;
  settings["Zone"] = aInstance.zone;
  settings["Ip"] = aInstance.address;
  settings["Listen"]["Front"] = text(aInstance.callers);
  settings["Listen"]["Ready"] = text(aInstance.readiness);
  settings["PortRange"].append(this->peerPort);
  settings["PortRange"].append(Json::UInt64(this->peerPort + kPeerPorts));
  settings["platform"]["Address"] = text(aInstance.store->Address());
  settings["Limits"]["CpuShare"] = 0.25;
  settings["Limits"]["Cores"] = 1;
  settings["Limits"]["MemoryMb"] = Json::Int64(this->options.limits.memoryMiB);
  settings["Limits"]["MaxFds"] = Json::Int64(this->options.limits.descriptors);
  settings["Bounds"]["GraceS"] = 6;
  settings["Bounds"]["HoldMaxMs"] = 6000;
  settings["Bounds"]["status_s"] = 120;
  return WriteJson(settings);
}

Result<Done>
SoakCell::StartProcess(Instance& aInstance)
{
  const auto file = fmt::format("{}/{}.json", this->options.directory, aInstance.name);
  std::ofstream(file) << this->BootSettings(aInstance);
  auto process = ChildProcess::Start(
    { .program = this->options.program,
      .arguments = { "--platform", "ZINCSHORE_BOOT" },
      .environment = { "ZINCSHORE_BOOT=" + file },
      .logFile = fmt::format("{}/{}.log", this->options.directory, aInstance.name) });
  if (IsError(process)) {
    return ErrorOf(process);
  }
  aInstance.process = std::move(ValueOf(process));
  aInstance.wasFrozen = false;
  aInstance.askedAt.reset();
  return Done{};
}

bool
SoakCell::IsReady(const Instance& aInstance) const
{
  const auto outcome = PerformHttp({ .to = aInstance.readiness, .target = "/v1/readiness" });
  const auto* answer = std::get_if<HttpAnswer>(&outcome);
  return answer != nullptr && answer->status == kOk;
}

SoakCell::Instance&
SoakCell::InstanceOf(const SoakFault& aFault)
{
  return this->instances[aFault.target % this->instances.size()];
}

void
SoakCell::Begin(const SoakFault& aFault)
{
  this->recorder.Record(
    { .kind = EventKind::Fault,
      .text = fmt::format("{}#{} begins", ToString(aFault.kind), aFault.target) });
  if (KeepsFromStore(aFault.kind)) {
    this->recorder.Record({ .kind = EventKind::StoreDisturbed });
  }
  for (const auto& behaviour : kBehaviours) {
    if (behaviour.kind == aFault.kind) {
      (this->*behaviour.begin)(aFault);
    }
  }
}

void
SoakCell::End(const SoakFault& aFault)
{
  this->recorder.Record(
    { .kind = EventKind::Fault,
      .text = fmt::format("{}#{} ends", ToString(aFault.kind), aFault.target) });
  for (const auto& behaviour : kBehaviours) {
    if (behaviour.kind == aFault.kind) {
      (this->*behaviour.end)(aFault);
    }
  }
  if (KeepsFromStore(aFault.kind)) {
    this->recorder.Record({ .kind = EventKind::StoreRestored });
  }
}

void
SoakCell::NoteEnd(Instance& aInstance)
{
  const auto code = aInstance.process->WaitFor(Milliseconds{ 0 });
  this->recorder.Record({ .kind = EventKind::Exited,
                          .place = aInstance.name,
                          .text = aInstance.wasFrozen ? "frozen" : "",
                          .amount = code.value_or(0) });
  aInstance.process.reset();
  aInstance.downUntil = std::max(aInstance.downUntil, this->recorder.Now() + kRestartDelay);
}

void
SoakCell::Supervise()
{
  for (auto& instance : this->instances) {
    const auto deadline = instance.askedAt.value_or(this->recorder.Now()) + kGracePeriod;
    if (instance.process && this->recorder.Now() > deadline + kExitMargin) {
      instance.process->Kill();
    }
    if (instance.process && !instance.process->IsRunning()) {
      this->NoteEnd(instance);
    }
    if (!instance.process && this->recorder.Now() >= instance.downUntil) {
      const auto started = this->StartProcess(instance);
      if (IsError(started)) {
        this->recorder.Record(
          { .kind = EventKind::Fault, .place = instance.name, .text = ErrorOf(started).message });
      }
    }
  }
}

void
SoakCell::Stop()
{
  for (auto& instance : this->instances) {
    if (instance.process && !instance.askedAt) {
      this->recorder.Record({ .kind = EventKind::ExitAsked, .place = instance.name });
      instance.process->Signal(SIGTERM);
    }
  }
  for (auto& instance : this->instances) {
    if (!instance.process) {
      continue;
    }
    if (!instance.process->WaitFor(kGracePeriod + kExitMargin)) {
      instance.process->Kill();
    }
    this->NoteEnd(instance);
  }
}

void
SoakCell::Nothing(const SoakFault&)
{
}

void
SoakCell::KillInstance(const SoakFault& aFault)
{
  auto& instance = this->InstanceOf(aFault);
  // What ended by itself before is told as such.
  if (instance.process && !instance.process->IsRunning()) {
    this->NoteEnd(instance);
  }
  if (instance.process) {
    this->recorder.Record({ .kind = EventKind::Exited, .place = instance.name, .text = "killed" });
  }
  instance.process.reset();
  instance.downUntil = std::max(instance.downUntil, this->recorder.Now() + aFault.lasts);
}

void
SoakCell::KillAll(const SoakFault& aFault)
{
  for (std::uint32_t target = 0; target < this->instances.size(); ++target) {
    this->KillInstance({ .kind = aFault.kind, .target = target, .lasts = kRestartDelay });
  }
}

void
SoakCell::StopInstance(const SoakFault& aFault)
{
  auto& instance = this->InstanceOf(aFault);
  if (!instance.process || instance.askedAt || !instance.process->IsRunning()) {
    return;
  }
  instance.askedAt = this->recorder.Now();
  this->recorder.Record({ .kind = EventKind::ExitAsked, .place = instance.name });
  instance.process->Signal(SIGTERM);
}

void
SoakCell::FreezeInstance(const SoakFault& aFault)
{
  auto& instance = this->InstanceOf(aFault);
  if (instance.process) {
    instance.wasFrozen = true;
    instance.process->Signal(SIGSTOP);
  }
}

void
SoakCell::ThawInstance(const SoakFault& aFault)
{
  if (auto& process = this->InstanceOf(aFault).process) {
    process->Signal(SIGCONT);
  }
}

void
SoakCell::DisturbPath(const SoakFault& aFault)
{
  RelayFault fault;
  switch (aFault.kind) {
    case FaultKind::CutStore:
      fault.mode = RelayMode::Cut;
      break;
    case FaultKind::CutStoreToTarget:
      fault.mode = RelayMode::CutToTarget;
      break;
    case FaultKind::CutStoreToClient:
      fault.mode = RelayMode::CutToClient;
      break;
    case FaultKind::RefuseStore:
      fault.mode = RelayMode::Refuse;
      break;
    case FaultKind::SilenceStore:
      fault.silenceOpenConnections = true;
      break;
    default:
      fault.delay = kSlowPath;
      break;
  }
  auto relay = this->InstanceOf(aFault).store;
  this->thread.Run([relay, fault] { relay->Apply(fault); });
}

void
SoakCell::RestorePath(const SoakFault& aFault)
{
  auto relay = this->InstanceOf(aFault).store;
  this->thread.Run([relay] { relay->Apply({}); });
}

void
SoakCell::DisturbStore(const SoakFault& aFault)
{
  this->thread.Run([&] {
    switch (aFault.kind) {
      case FaultKind::StoreDown:
        this->store->Apply({ .isDown = true });
        this->workers->SetStoreReachable(false);
        break;
      case FaultKind::StoreSlow:
        this->store->Apply({ .delay = kSlowStore });
        break;
      case FaultKind::StoreLosesAnswers:
        this->store->Apply({ .losesAnswers = true });
        break;
      case FaultKind::StoreLate:
        this->store->Apply({ .lateness = kLateness });
        break;
      case FaultKind::StoreLateBySeconds:
        this->store->Apply({ .lateness = kLatenessOfSeconds });
        break;
      default:
        this->store->DropHistory();
        break;
    }
  });
}

void
SoakCell::RestoreStore(const SoakFault&)
{
  this->thread.Run([this] {
    this->store->Apply({});
    this->workers->SetStoreReachable(true);
  });
}

void
SoakCell::DisturbWorker(const SoakFault& aFault)
{
  this->thread.Run([&] {
    const auto worker = aFault.target % this->workers->Count();
    switch (aFault.kind) {
      case FaultKind::CrashWorker:
        this->workers->Crash(worker, aFault.lasts);
        break;
      case FaultKind::DrainWorker:
        this->workers->Drain(worker);
        break;
      case FaultKind::FreezeWorker:
        this->workers->SetMode(worker, ServerMode::Holding);
        break;
      case FaultKind::SilenceWorker:
        this->workers->SilenceOpenConnections(worker);
        break;
      case FaultKind::WorkerLosesAnswers:
        this->workers->Apply(worker, { .losesAnswers = true });
        break;
      case FaultKind::WorkerLate:
        this->workers->Apply(worker, { .lateness = kLateness });
        break;
      default:
        this->workers->Apply(worker, { .delay = kSlowWorker });
        break;
    }
  });
}

void
SoakCell::RestoreWorker(const SoakFault& aFault)
{
  this->thread.Run([&] {
    const auto worker = aFault.target % this->workers->Count();
    this->workers->Apply(worker, {});
    this->workers->SetMode(worker, ServerMode::Serving);
  });
}

void
SoakCell::ShrinkWorker(const SoakFault& aFault)
{
  this->thread.Run([&] {
    this->workers->Resize(aFault.target % this->workers->Count(),
                          this->options.fleet.milliCores / kShrinkDivisor);
  });
}

void
SoakCell::RestoreCapacity(const SoakFault& aFault)
{
  this->thread.Run([&] {
    this->workers->Resize(aFault.target % this->workers->Count(), this->options.fleet.milliCores);
  });
}

void
SoakCell::ChangeDocument(const SoakFault&)
{
  {
    const std::lock_guard lock(this->keysMutex);
    ++this->keys.version;
  }
  const auto document = this->Document();
  this->thread.Run([&] { this->store->Put("op", "config", document); });
}

void
SoakCell::EvacuateZone(const SoakFault& aFault)
{
  const auto& zones = this->options.fleet.zones;
  const auto& zone = zones[aFault.target % zones.size()];
  if (++this->evacuations[zone] == 1) {
    this->thread.Run([&] { this->store->Put("op", "evacuate/" + zone, "{}"); });
    this->recorder.Record({ .kind = EventKind::ZoneEvacuated, .place = zone });
  }
}

void
SoakCell::ReturnZone(const SoakFault& aFault)
{
  const auto& zones = this->options.fleet.zones;
  const auto& zone = zones[aFault.target % zones.size()];
  if (--this->evacuations[zone] == 0) {
    this->recorder.Record({ .kind = EventKind::ZoneReturned, .place = zone });
    this->thread.Run([&] { this->store->Remove("op", "evacuate/" + zone); });
  }
}

}
