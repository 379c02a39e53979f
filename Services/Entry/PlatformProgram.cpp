#include "PlatformProgram.h"

#include "ConnectionReport.h"
#include "ReadFile.h"
#include "TrafficThreads.h"
#include <LibBase/BootClock.h>
#include <LibInstance/CellInstance.h>
#include <LibInstance/RequestForwarder.h>
#include <LibInstanceCalls/InstanceCalls.h>
#include <LibLog/LineWriter.h>
#include <LibTraffic/HttpServer.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fmt/format.h>
#include <platform/AdviceClient.h>
#include <platform/BootSettings.h>
#include <platform/CallerInterface.h>
#include <platform/Decoders.h>
#include <platform/ReplyLimits.h>
#include <platform/StoreClient.h>
#include <platform/WorkerClient.h>
#include <random>
#include <unistd.h>

namespace zinc {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

/// Calls of the store take a few ms, and up to 250 ms while it is slow.
constexpr Milliseconds kStoreTimeout{ 1200 };
/// For orders to workers and requests to the policy service.
constexpr Milliseconds kOrderTimeout{ 700 };
/// A reachable worker accepts a connection within a few ms; a new leader waits for each worker.
constexpr Milliseconds kWorkerConnectTimeout{ 300 };
constexpr Milliseconds kInstanceCallTimeout{ 500 };
/// Concurrent watches and transactions; each takes a connection.
constexpr std::size_t kStoreConnections = 24;
/// A watch of the job table responds with up to 500 rows, several hundred KiB.
constexpr std::size_t kStoreReadBufferBytes = std::size_t{ 64 } << 10;
/// The policy service handles an instance's requests one at a time; a second one queues there.
constexpr std::size_t kAdviceConnections = 3;
constexpr std::size_t kInstanceConnections = 6;
/// Fraction of the grace period after which connections are closed as soon as they are idle.
constexpr double kServingFraction = 0.75;
/// The process exits at the latest this long before its grace period ends.
constexpr Milliseconds kExitMargin{ 800 };
constexpr Milliseconds kShutdownTickInterval{ 50 };
/// Maximum delay of a log line, and of a change of the document's limits for requests.
constexpr Milliseconds kHousekeepingInterval{ 200 };
/// Part of the memory that requests may hold over all connections. The rest is for jobs and
/// workers.
constexpr std::int64_t kRequestMemoryDivisor = 4;
/// Descriptors that the platform keeps for files.
constexpr std::int64_t kFileDescriptors = 200;
/// Parts of the other descriptors for connections of callers and of other instances. The rest is
/// for connections to workers, to the store and to instances.
constexpr std::int64_t kCallerDescriptorDivisor = 2;
constexpr std::int64_t kPeerDescriptorDivisor = 8;
/// Connections of the readiness probe, and of readers of metrics.
constexpr std::size_t kProbeConnections = 16;
constexpr std::size_t kProbeBodyBytes = 4096;
/// Longest body of a call between instances, unless the document allows callers' requests that need
/// more: a forwarded request escapes its body and adds its header.
constexpr std::size_t kPeerBodyBytes = std::size_t{ 1 } << 20U;
constexpr std::size_t kForwardedBodyFactor = 2;
constexpr std::size_t kForwardedExtraBytes = std::size_t{ 64 } << 10U;
/// Caps the platform's limit. Longer leases would only delay the restart of tasks whose worker is
/// gone: network partitions last at most 6 s, and a lease is renewed every 0.7 s.
constexpr Milliseconds kMaxLease{ 7500 };
/// Part of the bound on starts in an evacuated zone after which the operators' table is read in
/// full. The rest is for the read itself, in case the store dropped the change from the watch.
constexpr double kRereadFraction = 0.8;
/// Full reads that are more frequent would load the store more than the watch.
constexpr Milliseconds kMinRereadInterval{ 500 };

/// Implements the timers of LibCell on the I/O context of the control thread.
class AsioTimer final : public cell::TimerPort
{
public:
  explicit AsioTimer(boost::asio::io_context& aControl)
    : control(aControl)
  {
  }

  void RunAfter(Milliseconds aDelay, std::function<void()> aFunction) override
  {
    if (aDelay.count() == 0) {
      boost::asio::post(this->control, std::move(aFunction));
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->control, aDelay);
    timer->async_wait([timer, function = std::move(aFunction)](boost::system::error_code aError) {
      if (!aError) {
        function();
      }
    });
  }

private:
  boost::asio::io_context& control;
};

cell::WallTime
WallNow()
{
  return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

Result<platform::BootSettings>
LoadBootSettings(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return NotRun(ErrorCode::BadRequest,
                  fmt::format("The settings file {} cannot be read.", aPath));
  }
  return platform::DecodeBootSettings(*text);
}

/// Creates and runs the components of the process. The order of the members is that of their
/// dependencies.
class PlatformProgram
{
public:
  PlatformProgram(const PlatformProgramOptions& aOptions, platform::BootSettings aBoot)
    : options(aOptions)
    , boot(std::move(aBoot))
    , log({ .writer = &this->logWriter })
    , timer(this->control)
  {
  }

  /// Runs the process until a shutdown is complete.
  /// @return the exit code of the program.
  int Run();

private:
  [[nodiscard]] HttpOptions HttpOptionsFor(const Endpoint& aEndpoint,
                                           std::size_t aConnections,
                                           Milliseconds aTimeout);
  /// @return the context that runs connections: the control context if there are no other threads.
  [[nodiscard]] boost::asio::io_context& Traffic()
  {
    return this->options.trafficThreads == 0 ? this->control : this->traffic;
  }
  [[nodiscard]] Result<Done> CreateClients();
  void CreateInstance();
  void CreateRequestForwarder(std::uint64_t aSeed);
  /// @return the version of the document in force; 0 before the first one is known.
  [[nodiscard]] std::uint64_t DocumentVersion() const;
  [[nodiscard]] Result<Done> OpenServers();
  /// Opens a port whose requests are handled on the control thread.
  [[nodiscard]] Result<std::shared_ptr<HttpServer>> OpenServer(
    HttpServerOptions aOptions,
    std::function<void(const IncomingRequest&, Respond)> aHandler);
  /// @return how many connections a listener may have that gets this part of the descriptors
  [[nodiscard]] std::size_t ConnectionsFor(std::int64_t aDescriptorDivisor) const;
  /// Lets the servers read what the document in force allows.
  void ApplyRequestLimits();
  /// Flushes the log, applies the document's limits and reports on connections, again and again.
  void RunHousekeeping();
  /// Waits for SIGTERM, SIGINT and SIGHUP.
  void AwaitSignals();
  void OnSignal(int aSignal);
  void ReloadSettings();
  /// Logs what of the settings cannot be read, and the limits and bounds that hold instead.
  void LogSettings(const platform::BootSettings& aSettings) const;
  /// Hands over leadership, reports not ready and starts the timer that ends the process.
  void BeginShutdown();
  /// Closes connections late in the grace period and ends the process once requests are answered.
  void TickShutdown();

  PlatformProgramOptions options;
  platform::BootSettings boot;
  boost::asio::io_context control{ 1 };
  boost::asio::io_context traffic;
  LineWriter logWriter{ {} };
  Logger log;
  BootClock clock;
  MetricRegistry metrics;
  AsioTimer timer;
  std::unique_ptr<platform::StoreClient> store;
  std::unique_ptr<platform::WorkerClient> workers;
  /// Null if the platform has no policy service.
  std::unique_ptr<platform::AdviceClient> advice;
  std::unique_ptr<InstanceCallClient> instanceCalls;
  std::unique_ptr<CellInstance> instance;
  std::unique_ptr<platform::CallerInterface> callerInterface;
  std::unique_ptr<InstanceCallServer> instanceCallServer;
  std::unique_ptr<RequestForwarder> requestForwarder;
  std::vector<std::shared_ptr<HttpServer>> servers;
  std::unique_ptr<ConnectionReport> connectionReport;
  /// Servers whose requests the document limits.
  std::shared_ptr<HttpServer> callerServer;
  std::shared_ptr<HttpServer> peerServer;
  std::unique_ptr<boost::asio::signal_set> signals;
  std::optional<TimePoint> shutdownStartedAt;
  /// True once the servers close idle connections.
  bool isDraining = false;
};

HttpOptions
PlatformProgram::HttpOptionsFor(const Endpoint& aEndpoint,
                                std::size_t aConnections,
                                Milliseconds aTimeout)
{
  return { .endpoints = { aEndpoint },
           .connections = aConnections,
           .requestTimeout = aTimeout,
           .userAgent = this->boot.instance,
           .traffic = this->Traffic(),
           .control = this->control.get_executor() };
}

Result<Done>
PlatformProgram::CreateClients()
{
  auto storeOptions = this->HttpOptionsFor(this->boot.store, kStoreConnections, kStoreTimeout);
  storeOptions.readBufferBytes = kStoreReadBufferBytes;
  storeOptions.replyLimit = platform::kStoreReplyLimit;
  auto storeHttp = HttpClient::Create(std::move(storeOptions));
  if (IsError(storeHttp)) {
    return ErrorOf(storeHttp);
  }
  this->store = std::make_unique<platform::StoreClient>(ValueOf(storeHttp));
  if (this->boot.advice) {
    auto adviceOptions =
      this->HttpOptionsFor(*this->boot.advice, kAdviceConnections, kOrderTimeout);
    adviceOptions.replyLimit = platform::kAdviceReplyLimit;
    auto adviceHttp = HttpClient::Create(std::move(adviceOptions));
    if (IsError(adviceHttp)) {
      return ErrorOf(adviceHttp);
    }
    this->advice = std::make_unique<platform::AdviceClient>(ValueOf(adviceHttp), this->log);
  }
  auto workerHttp = this->HttpOptionsFor({}, 1, kOrderTimeout);
  workerHttp.connectTimeout = kWorkerConnectTimeout;
  workerHttp.replyLimit = platform::kWorkerReplyLimit;
  this->workers = std::make_unique<platform::WorkerClient>(
    platform::WorkerClient::Options{ .http = std::move(workerHttp) }, this->log);
  auto instanceHttp = this->HttpOptionsFor({}, kInstanceConnections, kInstanceCallTimeout);
  instanceHttp.replyLimit = platform::kInstanceReplyLimit;
  this->instanceCalls = std::make_unique<InstanceCallClient>(std::move(instanceHttp));
  return Done{};
}

void
PlatformProgram::CreateInstance()
{
  std::random_device randomDevice;
  CellInstanceOptions instanceOptions{
    .identity = { .name = this->boot.instance,
                  .incarnation = fmt::format("{:08x}{:08x}", randomDevice(), randomDevice()),
                  .address = this->boot.address,
                  .port = this->boot.peerPort,
                  .milliCores = this->boot.milliCores },
    .zone = this->boot.zone,
  };
  instanceOptions.scheduler.maxLease = std::min(this->boot.maxLease, kMaxLease);
  instanceOptions.scheduler.maxGrantedLease = this->boot.maxLease;
  instanceOptions.scheduler.maxStopDuration = this->boot.maxStopDuration;
  instanceOptions.election.maxLeaseAfterTerm = instanceOptions.scheduler.LeaseExpiryBound();
  instanceOptions.documentRereadInterval = std::clamp(
    std::chrono::duration_cast<Milliseconds>(this->boot.evacuationBound * kRereadFraction),
    kMinRereadInterval,
    instanceOptions.documentRereadInterval);
  instanceOptions.evacuation.limitsColdWorkers = this->boot.hasZoneContract;
  instanceOptions.scheduler.statusRetention = this->boot.statusRetention;
  this->instance = std::make_unique<CellInstance>(
    CellInstance::Dependencies{
      .store = *this->store,
      .workers = *this->workers,
      .advise =
        [this](const cell::AdviceRequest& aRequest, cell::Handler<cell::AdviceResponse> aHandler) {
          if (!this->advice) {
            aHandler(
              NotRun(ErrorCode::Unavailable, "The platform's settings name no policy service."));
            return;
          }
          this->advice->RequestAdvice(aRequest, std::move(aHandler));
        },
      .calls = *this->instanceCalls,
      .timer = this->timer,
      .clock = this->clock,
      .wallClock = &WallNow,
      .log = this->log,
      .metrics = this->metrics,
      .layout = { .documentTable = platform::kOperatorTable,
                  .documentKey = platform::kDocumentKey,
                  .decodeDocument = &platform::DecodeDocument,
                  .decodeEvacuation = &platform::DecodeEvacuationKey,
                  .workerTable = platform::kWorkerTable,
                  .decodeWorker = &platform::DecodeWorkerEntry } },
    std::move(instanceOptions));
  this->callerInterface = std::make_unique<platform::CallerInterface>(
    platform::CallerInterface::Dependencies{ .caller = *this->instance,
                                             .log = this->log,
                                             .metrics = this->metrics,
                                             .wallClock = &WallNow });
  this->instanceCallServer = std::make_unique<InstanceCallServer>(InstanceCallServer::Handlers{
    .advise =
      [this](const cell::AdviceRequest& aRequest, cell::Handler<cell::AdviceResponse> aHandler) {
        this->instance->RequestAdvice(this->boot.instance, aRequest, std::move(aHandler));
      },
    .jobStatus = [this](const JobId& aJob) { return this->instance->JobStatusIfLeader(aJob); },
    .checkStore =
      [this](cell::Handler<bool> aHandler) { this->instance->CheckStore(std::move(aHandler)); },
    .onLeaderResigned =
      [this](cell::Resignation aResignation) {
        this->instance->OnLeaderResigned(std::move(aResignation));
      },
    .documentVersion = [this] { return this->DocumentVersion(); },
    .handleForwarded =
      [this](const IncomingRequest& aRequest, Respond aRespond) {
        this->callerInterface->Handle(aRequest, std::move(aRespond));
      } });
  this->CreateRequestForwarder(randomDevice());
}

std::uint64_t
PlatformProgram::DocumentVersion() const
{
  const auto policy = this->instance->Policy();
  return policy ? policy->version : 0;
}

void
PlatformProgram::CreateRequestForwarder(std::uint64_t aSeed)
{
  this->requestForwarder = std::make_unique<RequestForwarder>(
    RequestForwarder::Dependencies{
      .timer = this->timer,
      .clock = this->clock,
      .log = this->log,
      .isStoreReachable = [this] { return this->instance->IsStoreReachable(); },
      .listPeers = [this] { return this->instance->PeersToProbe(); },
      .onPeerReachesStore =
        [this](const std::string& aPeer) { this->instance->OnPeerReachesStore(aPeer); },
      .probePeer =
        [this](const std::string& aPeer, std::function<void(Result<bool>)> aHandler) {
          this->instanceCalls->ProbeStore(this->instance->EndpointOf(aPeer), std::move(aHandler));
        },
      .documentVersion = [this] { return this->DocumentVersion(); },
      .forward =
        [this](const std::string& aPeer,
               const ForwardedRequest& aRequest,
               std::function<void(Result<ForwardedResponse>)> aHandler) {
          this->instanceCalls->ForwardRequest(
            this->instance->EndpointOf(aPeer), aRequest, std::move(aHandler));
        },
      .handleLocally =
        [this](const IncomingRequest& aRequest, Respond aRespond) {
          this->callerInterface->Handle(aRequest, std::move(aRespond));
        } },
    aSeed);
}

Result<std::shared_ptr<HttpServer>>
PlatformProgram::OpenServer(HttpServerOptions aOptions,
                            std::function<void(const IncomingRequest&, Respond)> aHandler)
{
  return HttpServer::Create(
    this->Traffic(),
    std::move(aOptions),
    [this, handler = std::move(aHandler)](IncomingRequest aRequest, Respond aRespond) {
      boost::asio::post(
        this->control,
        [handler, request = std::move(aRequest), respond = std::move(aRespond)]() mutable {
          handler(request, std::move(respond));
        });
    });
}

std::size_t
PlatformProgram::ConnectionsFor(std::int64_t aDescriptorDivisor) const
{
  const auto descriptors =
    std::max<std::int64_t>(aDescriptorDivisor, this->boot.maxDescriptors - kFileDescriptors);
  return static_cast<std::size_t>(descriptors / aDescriptorDivisor);
}

Result<Done>
PlatformProgram::OpenServers()
{
  const auto registry = std::make_shared<ConnectionRegistry>(
    static_cast<std::size_t>((this->boot.memoryMiB << 20U) / kRequestMemoryDivisor));
  this->connectionReport = std::make_unique<ConnectionReport>(registry, this->metrics, this->log);
  struct Listener
  {
    HttpServerOptions options;
    std::function<void(const IncomingRequest&, Respond)> handler;
  };
  std::vector<Listener> listeners = {
    { .options = { .listen = this->boot.readiness,
                   .maxBodyBytes = kProbeBodyBytes,
                   .maxConnections = kProbeConnections,
                   .registry = registry },
      .handler =
        [this](const IncomingRequest& aRequest, const Respond& aRespond) {
          this->callerInterface->HandleReadiness(aRequest, aRespond);
        } },
    { .options = { .listen = { .address = this->boot.address, .port = this->boot.peerPort },
                   .maxConnections = this->ConnectionsFor(kPeerDescriptorDivisor),
                   .registry = registry },
      .handler =
        [this](const IncomingRequest& aRequest, Respond aRespond) {
          this->instanceCallServer->Handle(aRequest, std::move(aRespond));
        } },
    { .options = { .listen = this->boot.callers,
                   .maxConnections = this->ConnectionsFor(kCallerDescriptorDivisor),
                   .registry = registry },
      .handler =
        [this](const IncomingRequest& aRequest, Respond aRespond) {
          this->requestForwarder->Handle(aRequest, std::move(aRespond));
        } },
  };
  if (this->options.metricsPort != 0) {
    listeners.push_back(
      { .options = { .listen = { .address = this->boot.address, .port = this->options.metricsPort },
                     .maxBodyBytes = kProbeBodyBytes,
                     .maxConnections = kProbeConnections,
                     .registry = registry },
        .handler = [this](const IncomingRequest&, const Respond& aRespond) {
          aRespond({ .contentType = "text/plain; version=0.0.4", .body = this->metrics.Render() });
        } });
  }
  for (auto& listener : listeners) {
    auto opened = this->OpenServer(std::move(listener.options), std::move(listener.handler));
    if (IsError(opened)) {
      return ErrorOf(opened);
    }
    this->servers.push_back(ValueOf(opened));
  }
  this->peerServer = this->servers[1];
  this->callerServer = this->servers[2];
  this->ApplyRequestLimits();
  return Done{};
}

void
PlatformProgram::ApplyRequestLimits()
{
  const auto policy = this->instance->Policy();
  const cell::CellPolicy defaults;
  const auto& limits = policy ? *policy : defaults;
  this->callerServer->SetRequestLimits(limits.maxBodyBytes, limits.maxHeaderBytes);
  const auto forwardedBytes = limits.maxBodyBytes * kForwardedBodyFactor + kForwardedExtraBytes;
  this->peerServer->SetRequestLimits(std::max(kPeerBodyBytes, forwardedBytes),
                                     limits.maxHeaderBytes);
}

void
PlatformProgram::AwaitSignals()
{
  if (!this->signals) {
    this->signals =
      std::make_unique<boost::asio::signal_set>(this->control, SIGTERM, SIGINT, SIGHUP);
  }
  this->signals->async_wait([this](const boost::system::error_code& aError, int aSignal) {
    if (!aError) {
      this->OnSignal(aSignal);
      this->AwaitSignals();
    }
  });
}

void
PlatformProgram::OnSignal(int aSignal)
{
  if (aSignal == SIGHUP) {
    this->ReloadSettings();
    return;
  }
  this->BeginShutdown();
}

void
PlatformProgram::ReloadSettings()
{
  auto loaded = LoadBootSettings(this->options.settingsPath);
  if (IsError(loaded)) {
    this->log.Log(LogLevel::Error, "settings_refused", { { "reason", ErrorOf(loaded).message } });
    return;
  }
  // Addresses and leases are fixed while the process runs; only the grace period can change.
  const auto& settings = ValueOf(loaded);
  this->boot.gracePeriod = settings.gracePeriod;
  this->LogSettings(settings);
  this->log.Log(LogLevel::Info,
                "settings_reloaded",
                { { "grace_ms", this->boot.gracePeriod.count() },
                  { "needs_restart", platform::ListChangedBounds(this->boot, settings) } });
}

void
PlatformProgram::LogSettings(const platform::BootSettings& aSettings) const
{
  for (const auto& fault : aSettings.faults) {
    this->log.Log(LogLevel::Error, "settings_field_unreadable", { { "reason", fault } });
  }
  this->log.Log(LogLevel::Info,
                "settings_read",
                { { "grace_ms", aSettings.gracePeriod.count() },
                  { "max_lease_ms", aSettings.maxLease.count() },
                  { "max_stop_ms", aSettings.maxStopDuration.count() },
                  { "status_retention_ms", aSettings.statusRetention.count() },
                  { "evacuation_bound_ms", aSettings.evacuationBound.count() },
                  { "millicores", aSettings.milliCores },
                  { "memory_mib", aSettings.memoryMiB },
                  { "descriptors", aSettings.maxDescriptors } });
}

void
PlatformProgram::BeginShutdown()
{
  if (this->shutdownStartedAt) {
    return;
  }
  // The platform's grace period is that of the file, which may have changed without a signal.
  this->ReloadSettings();
  this->shutdownStartedAt = this->clock.Now();
  this->log.Log(LogLevel::Info, "leaving", { { "grace_ms", this->boot.gracePeriod.count() } });
  this->instance->BeginShutdown();
  this->TickShutdown();
}

void
PlatformProgram::TickShutdown()
{
  const auto elapsed = this->clock.Now() - *this->shutdownStartedAt;
  const auto servingTime = Milliseconds(static_cast<std::int64_t>(
    static_cast<double>(this->boot.gracePeriod.count()) * kServingFraction));
  if (elapsed >= servingTime && !this->isDraining) {
    this->isDraining = true;
    for (const auto& server : this->servers) {
      server->Drain();
    }
  }
  std::size_t openRequests = 0;
  for (const auto& server : this->servers) {
    openRequests += server->OpenRequests();
  }
  const bool isExitDue = elapsed + kExitMargin >= this->boot.gracePeriod;
  if ((this->isDraining && openRequests == 0) || isExitDue) {
    this->log.Log(LogLevel::Info, "stopped", { { "open_requests", openRequests } });
    this->control.stop();
    return;
  }
  this->timer.RunAfter(kShutdownTickInterval, [this] { this->TickShutdown(); });
}

void
PlatformProgram::RunHousekeeping()
{
  this->logWriter.Flush();
  this->ApplyRequestLimits();
  this->connectionReport->Update(this->clock.Now());
  this->timer.RunAfter(kHousekeepingInterval, [this] { this->RunHousekeeping(); });
}

int
PlatformProgram::Run()
{
  const auto clients = this->CreateClients();
  if (IsError(clients)) {
    fmt::print(stderr, "zinc-entry: {}\n", ErrorOf(clients).message);
    return kExitFailed;
  }
  this->CreateInstance();
  const auto opened = this->OpenServers();
  if (IsError(opened)) {
    fmt::print(stderr, "zinc-entry: {}\n", ErrorOf(opened).message);
    return kExitFailed;
  }
  this->AwaitSignals();
  this->log.Log(LogLevel::Info,
                "started",
                { { "instance", this->boot.instance },
                  { "zone", this->boot.zone },
                  { "callers", this->boot.callers.port },
                  { "threads", this->options.trafficThreads } });
  this->LogSettings(this->boot);
  const TrafficThreads threads(this->traffic, this->options.trafficThreads);
  this->instance->Start();
  this->requestForwarder->Start();
  this->RunHousekeeping();
  this->control.run();
  return kExitOk;
}

}

int
RunOnPlatform(const PlatformProgramOptions& aOptions)
{
  auto boot = LoadBootSettings(aOptions.settingsPath);
  if (IsError(boot)) {
    fmt::print(stderr, "zinc-entry: {}: {}\n", aOptions.settingsPath, ErrorOf(boot).message);
    return kExitBadSettings;
  }
  // Writing to the log must not end the process when the log's reader has closed the pipe.
  std::signal(SIGPIPE, SIG_IGN);
  PlatformProgram program(aOptions, std::move(ValueOf(boot)));
  return program.Run();
}

}
